"""Billing records on their way into the log: pure state and decisions.

Each entry owns the records of the requests that it answered until the log has
them, and holds copies of the records of other entries. A record's id is the
request id, so a record that is appended twice counts once; every unclear case
is therefore settled by appending again.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
from collections.abc import Iterable

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.messages.peers import BillCopy, BillRelease, NumberedBill
from lovagestage.types import RequestId, ServiceId, VmId, WorkspaceId, ZoneId

BILLING_STREAM = "billing"
FORMAT_MAJOR = 1
FORMAT_MINOR = 0
MAX_BILL_BYTES = 1024
"""Room that is set aside for each open request; see `BillingLedger.reserve`."""
MAX_COPY_RECORDS = 500
HOLD_TIMEOUT_S = 5.0
"""Copies whose owner has not renewed them for so long are taken over. The
owner renews every second; an owner that was only slow makes duplicates."""


class BillOutcome(enum.Enum):
    """How a billed request ended."""

    FINISHED = "f"
    CANCELLED = "c"
    """The caller left; tokens are those that had reached the entry."""


class Bill(msgspec.Struct, frozen=True, array_like=True):
    """What one request used; fields may only be appended, with defaults.

    Attributes:
        request_id: The request; also the id of the bill.
        workspace: Who pays.
        service: The service.
        version: `MODEL@VERSION` that answered.
        at_s: Unix time of the answer's end.
        prompt_tokens: As the engine counted; 0 where it did not say.
        completion_tokens: As the engine counted.
        outcome: How it ended.
    """

    request_id: RequestId
    workspace: WorkspaceId
    service: ServiceId
    version: str
    at_s: int
    prompt_tokens: int
    completion_tokens: int
    outcome: BillOutcome = BillOutcome.FINISHED


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another entry that can hold copies."""

    vm: VmId
    zone: ZoneId


@dataclasses.dataclass(slots=True)
class _Pending:
    bill: NumberedBill
    holder: VmId | None = None


@dataclasses.dataclass
class _Held:
    renewed_s: float
    bills: dict[int, bytes] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Batch:
    """Bills that go into the log as one record.

    Attributes:
        last_number: Number of the last bill in it.
        bills: Encoded bills.
    """

    last_number: int
    bills: list[bytes]


class BillingLedger:
    """Bills of one entry, and copies that it holds for others.

    Args:
        vm: This entry.
        zone: Its availability zone.
        incarnation: Start time of this process.
        limit_bytes: Most bytes of own bills, and as many of copies.
        batch_bytes: Most bytes of one append.
    """

    def __init__(
        self,
        vm: VmId,
        zone: ZoneId,
        incarnation: int,
        limit_bytes: int,
        batch_bytes: int,
    ) -> None:
        self._vm = vm
        self._zone = zone
        self._incarnation = incarnation
        self._limit_bytes = limit_bytes
        self._batch_bytes = batch_bytes
        self._reserved = 0
        self._last_number = 0
        self._appended = 0
        self._pending: collections.deque[_Pending] = collections.deque()
        self._by_number: dict[int, _Pending] = {}
        self._pending_bytes = 0
        self._held: dict[tuple[VmId, int], _Held] = {}
        self._held_bytes = 0

    def reserve(self) -> bool:
        """Sets room aside for the bill of a request; False where it is full.

        Room is taken before the request runs: a bill that found no room after
        its answer would have to be dropped.
        """
        room_bytes = (self._reserved + 1) * MAX_BILL_BYTES
        if self._pending_bytes + room_bytes > self._limit_bytes:
            return False
        self._reserved += 1
        return True

    def release(self) -> None:
        """Gives the room of an ended request back."""
        self._reserved -= 1

    def add(self, bill: Bill) -> int:
        """Takes a bill; returns its number."""
        return self._add(msgspec.msgpack.encode(bill))

    def make_copy(self, number: int, holder: VmId) -> BillCopy | None:
        """Makes the message that copies one bill; None once it is appended.

        `on_copied` says that `holder` has it.
        """
        pending = self._by_number.get(number)
        if pending is None:
            return None
        return BillCopy(self._vm, self._incarnation, [pending.bill])

    def make_missing_copy(self, holder: VmId) -> BillCopy | None:
        """Makes the message that copies bills which `holder` lacks."""
        missing = [p.bill for p in self._pending if p.holder != holder]
        if not missing:
            return None
        return BillCopy(self._vm, self._incarnation, missing[:MAX_COPY_RECORDS])

    def on_copied(self, copy: BillCopy, holder: VmId) -> None:
        """Notes that `holder` has the bills of `copy`."""
        for bill in copy.bills:
            pending = self._by_number.get(bill.number)
            if pending is not None:
                pending.holder = holder

    def choose_holder(self, peers: Iterable[Peer]) -> VmId | None:
        """Chooses who holds copies: the same peer while it lives.

        A peer in another availability zone goes before one in the same, so
        that a lost zone does not take both. Rendezvous hashing spreads the
        owners over the peers without any exchange.
        """
        best = min(peers, key=self._get_rank, default=None)
        return best.vm if best else None

    def make_release(self) -> BillRelease:
        """Makes the message that renews copies and drops those appended."""
        return BillRelease(self._vm, self._incarnation, self._appended)

    def make_batch(self) -> Batch | None:
        """The oldest bills, as many as one append may hold."""
        bills: list[bytes] = []
        size_bytes = 0
        last_number = 0
        for pending in self._pending:
            size_bytes += len(pending.bill.data)
            if bills and size_bytes > self._batch_bytes:
                break
            bills.append(pending.bill.data)
            last_number = pending.bill.number
        return Batch(last_number, bills) if bills else None

    def on_appended(self, batch: Batch) -> None:
        """Forgets the bills of a batch that is in the log for certain."""
        while self._pending:
            bill = self._pending[0].bill
            if bill.number > batch.last_number:
                break
            self._pending.popleft()
            del self._by_number[bill.number]
            self._pending_bytes -= len(bill.data)
        self._appended = max(self._appended, batch.last_number)

    def hold(self, copy: BillCopy, now_s: float) -> bool:
        """Keeps copies for their owner; False where there is no room."""
        size_bytes = sum(len(bill.data) for bill in copy.bills)
        if self._held_bytes + size_bytes > self._limit_bytes:
            return False
        held = self._get_held(copy.owner, copy.incarnation, now_s)
        for bill in copy.bills:
            if bill.number not in held.bills:
                held.bills[bill.number] = bill.data
                self._held_bytes += len(bill.data)
        return True

    def on_release(self, release: BillRelease, now_s: float) -> None:
        """Drops the copies that their owner has appended."""
        held = self._get_held(release.owner, release.incarnation, now_s)
        for number in [n for n in held.bills if n <= release.last_number]:
            self._held_bytes -= len(held.bills.pop(number))

    def take_over(self, now_s: float) -> int:
        """Makes copies whose owner is gone this entry's own bills.

        Returns:
            The number of bills taken over.
        """
        gone = [
            key
            for key, held in self._held.items()
            if now_s - held.renewed_s > HOLD_TIMEOUT_S
            or self._has_later_incarnation(*key)
        ]
        count = 0
        for key in gone:
            for data in self._held.pop(key).bills.values():
                self._held_bytes -= len(data)
                self._add(data)
                count += 1
        return count

    def get_sizes(self) -> dict[str, int]:
        """Sizes of the tables, for the state dump."""
        return {
            "reserved": self._reserved,
            "pending": len(self._pending),
            "pending_bytes": self._pending_bytes,
            "held": sum(len(held.bills) for held in self._held.values()),
            "held_bytes": self._held_bytes,
            "limit_bytes": self._limit_bytes,
        }

    def _add(self, data: bytes) -> int:
        self._last_number += 1
        pending = _Pending(NumberedBill(self._last_number, data))
        self._pending.append(pending)
        self._by_number[self._last_number] = pending
        self._pending_bytes += len(data)
        return self._last_number

    def _get_held(self, owner: VmId, incarnation: int, now_s: float) -> _Held:
        held = self._held.setdefault((owner, incarnation), _Held(now_s))
        held.renewed_s = now_s
        return held

    def _has_later_incarnation(self, owner: VmId, incarnation: int) -> bool:
        # An owner that was replaced under the same name renews only what it
        # copied since: without this its earlier bills would wait for long.
        return any(
            other == owner and later > incarnation
            for other, later in self._held
        )

    def _get_rank(self, peer: Peer) -> tuple[bool, bytes]:
        name = f"{self._vm} {peer.vm}".encode()
        return peer.zone == self._zone, hashlib.sha256(name).digest()


class _BatchForm(msgspec.Struct, frozen=True, array_like=True):
    bills: list[Bill]


_decoder = msgspec.msgpack.Decoder(_BatchForm)


def encode_batch(batch: Batch) -> bytes:
    """Encodes a batch for the log."""
    body = msgspec.msgpack.encode([[msgspec.Raw(b) for b in batch.bills]])
    return bytes((FORMAT_MAJOR, FORMAT_MINOR)) + body


def decode_batch(data: bytes) -> list[Bill]:
    """Decodes a record of the billing stream.

    Raises:
        CodecError: The bytes are no batch of this format.
    """
    if len(data) < 2 or data[0] != FORMAT_MAJOR:
        raise CodecError(
            f"Expected billing format {FORMAT_MAJOR}, found {data[:2].hex()!r}."
        )
    try:
        return _decoder.decode(data[2:]).bills
    except msgspec.MsgspecError as error:
        raise CodecError(f"A batch does not decode: {error}.") from error

"""State and decisions for billing records that the log has not stored yet.

Each entry owns the records of the requests that it answered until the log has
stored them, and holds copies of the records of other entries. The id of a
record is the request id, so a record that is appended twice counts once. Every
unclear case is therefore resolved by appending the record again.

The decisions are pure: they read no clock and open no socket.
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
"""Number of bytes that are reserved for each open request; see
`BillingLedger.reserve`."""
MAX_COPY_RECORDS = 500
"""Maximum number of bills in one message of `make_missing_copy`."""
COPY_RENEWAL_TIMEOUT_S = 5.0
"""Seconds after which the holder takes copies over if their owner has not
renewed them. The owner renews its copies every second; an owner that was only
slow causes duplicates."""


class BillOutcome(enum.Enum):
    """Outcome of a billed request."""

    FINISHED = "f"
    CANCELLED = "c"
    """The caller disconnected; the bill counts the tokens that had reached the
    entry."""


class Bill(msgspec.Struct, frozen=True, array_like=True):
    """Usage of one request.

    Fields may only be appended, and need defaults, so that older records
    decode.

    Attributes:
        request_id: Id of the request; also the id of the bill.
        workspace: Workspace that is charged.
        service: The service.
        version: Version that answered, `MODEL@VERSION`.
        at_s: Unix time in seconds at which the answer ended.
        prompt_tokens: Number of prompt tokens that the engine counted; 0 if it
            reported none.
        completion_tokens: Number of generated tokens that the engine counted.
        outcome: Outcome of the request.
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
    """Another entry that can hold copies of bills."""

    vm: VmId
    zone: ZoneId


@dataclasses.dataclass(slots=True)
class _PendingBill:
    bill: NumberedBill
    holder: VmId | None = None


@dataclasses.dataclass
class _HeldCopies:
    renewed_s: float
    bills: dict[int, bytes] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Batch:
    """Bills that are appended to the log as one record.

    Attributes:
        last_number: Number of the last bill in the batch.
        bills: Encoded bills.
    """

    last_number: int
    bills: list[bytes]


class BillingLedger:
    """Bills of one entry, and copies of bills that it holds for others.

    Args:
        vm: VM of this entry.
        zone: Availability zone of this entry.
        incarnation: Start time of this process.
        limit_bytes: Maximum number of bytes of own bills, and of copies.
        batch_bytes: Maximum number of bytes of one append.
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
        self._last_appended = 0
        self._pending: collections.deque[_PendingBill] = collections.deque()
        self._by_number: dict[int, _PendingBill] = {}
        self._pending_bytes = 0
        self._held: dict[tuple[VmId, int], _HeldCopies] = {}
        self._held_bytes = 0

    def reserve(self) -> bool:
        """Reserves space for the bill of a request; False if none is left.

        The space is reserved before the request runs. If it were missing after
        the answer, the bill would have to be dropped.
        """
        reserved_bytes = (self._reserved + 1) * MAX_BILL_BYTES
        if self._pending_bytes + reserved_bytes > self._limit_bytes:
            return False
        self._reserved += 1
        return True

    def release(self) -> None:
        """Releases the space that was reserved for an ended request."""
        self._reserved -= 1

    def add(self, bill: Bill) -> int:
        """Adds a bill of this entry and returns its number."""
        return self._add(msgspec.msgpack.encode(bill))

    def make_copy(self, number: int, holder: VmId) -> BillCopy | None:
        """Makes the message that copies one bill; None once it is appended.

        The caller reports with `on_copied` that `holder` has stored the copy.
        """
        pending = self._by_number.get(number)
        if pending is None:
            return None
        return BillCopy(self._vm, self._incarnation, [pending.bill])

    def make_missing_copy(self, holder: VmId) -> BillCopy | None:
        """Makes the message that copies the bills that `holder` lacks."""
        missing = [p.bill for p in self._pending if p.holder != holder]
        if not missing:
            return None
        return BillCopy(self._vm, self._incarnation, missing[:MAX_COPY_RECORDS])

    def on_copied(self, copy: BillCopy, holder: VmId) -> None:
        """Records that `holder` has stored the bills of `copy`."""
        for bill in copy.bills:
            pending = self._by_number.get(bill.number)
            if pending is not None:
                pending.holder = holder

    def choose_holder(self, peers: Iterable[Peer]) -> VmId | None:
        """Chooses the peer that holds copies: the same one while it is alive.

        A peer in another availability zone is preferred to one in the same
        zone, so that the loss of a zone does not lose both the bill and its
        copy. Rendezvous hashing distributes the owners among the peers without
        any messages.
        """
        best = min(peers, key=self._get_holder_rank, default=None)
        return best.vm if best else None

    def make_release(self) -> BillRelease:
        """Makes the message that renews copies and drops the appended ones."""
        return BillRelease(self._vm, self._incarnation, self._last_appended)

    def make_batch(self) -> Batch | None:
        """Returns the oldest bills, as many as one append may contain."""
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
        """Removes the bills of a batch that the log has certainly stored."""
        while self._pending:
            bill = self._pending[0].bill
            if bill.number > batch.last_number:
                break
            self._pending.popleft()
            del self._by_number[bill.number]
            self._pending_bytes -= len(bill.data)
        self._last_appended = max(self._last_appended, batch.last_number)

    def store_copies(self, copy: BillCopy, now_s: float) -> bool:
        """Stores copies for their owner; returns False if space is lacking."""
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
        """Drops the copies of bills that their owner has appended."""
        held = self._get_held(release.owner, release.incarnation, now_s)
        for number in [n for n in held.bills if n <= release.last_number]:
            self._held_bytes -= len(held.bills.pop(number))

    def take_over_bills(self, now_s: float) -> int:
        """Turns copies without renewal by their owner into bills of this entry.

        Returns:
            Number of bills that were taken over.
        """
        orphaned_keys = [
            key
            for key, held in self._held.items()
            if now_s - held.renewed_s > COPY_RENEWAL_TIMEOUT_S
            or self._has_later_incarnation(*key)
        ]
        count = 0
        for key in orphaned_keys:
            for data in self._held.pop(key).bills.values():
                self._held_bytes -= len(data)
                self._add(data)
                count += 1
        return count

    def get_sizes(self) -> dict[str, int]:
        """Returns the sizes of the tables for the state dump."""
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
        pending = _PendingBill(NumberedBill(self._last_number, data))
        self._pending.append(pending)
        self._by_number[self._last_number] = pending
        self._pending_bytes += len(data)
        return self._last_number

    def _get_held(
        self, owner: VmId, incarnation: int, now_s: float
    ) -> _HeldCopies:
        held = self._held.setdefault((owner, incarnation), _HeldCopies(now_s))
        held.renewed_s = now_s
        return held

    def _has_later_incarnation(self, owner: VmId, incarnation: int) -> bool:
        # An owner that was replaced by a process with the same name renews only
        # the bills that it has copied since its start. Without this check the
        # bills of its predecessor would wait for the full timeout.
        return any(
            other_owner == owner and later > incarnation
            for other_owner, later in self._held
        )

    def _get_holder_rank(self, peer: Peer) -> tuple[bool, bytes]:
        name = f"{self._vm} {peer.vm}".encode()
        return peer.zone == self._zone, hashlib.sha256(name).digest()


class _EncodedBatch(msgspec.Struct, frozen=True, array_like=True):
    bills: list[Bill]


_decoder = msgspec.msgpack.Decoder(_EncodedBatch)


def encode_batch(batch: Batch) -> bytes:
    """Encodes a batch for the log."""
    body = msgspec.msgpack.encode([[msgspec.Raw(b) for b in batch.bills]])
    return bytes((FORMAT_MAJOR, FORMAT_MINOR)) + body


def decode_batch(data: bytes) -> list[Bill]:
    """Decodes a record of the billing stream.

    Raises:
        CodecError: The bytes are not a batch in this format.
    """
    if len(data) < 2 or data[0] != FORMAT_MAJOR:
        raise CodecError(
            f"Expected billing format {FORMAT_MAJOR}, found {data[:2].hex()!r}."
        )
    try:
        return _decoder.decode(data[2:]).bills
    except msgspec.MsgspecError as error:
        raise CodecError(f"A batch does not decode: {error}.") from error

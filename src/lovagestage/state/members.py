"""The entries that hold the request keys, folded from the `control` stream.

Every process folds the same joins and removals in the same order, so all
processes agree on the holders of a key at an epoch (the offset of the last
change). The keys are divided over a fixed number of slots. The two holders of a
slot are chosen by rendezvous hashing. The past holders of each slot are
retained, so that a new holder knows which processes to ask for claims and
whether the claims of past holders are lost.
"""

from __future__ import annotations

import functools

import msgspec
import xxhash

from lovagestage.state.outcomes import OutcomeTable
from lovagestage.types import Offset, VmId, WorkspaceId, ZoneId

SLOTS = 256
MAX_PERIODS = 8
"""Number of periods that are retained for each slot.

Claims that were made before the oldest retained period count as lost.
"""


class MemberJoined(msgspec.Struct, frozen=True, tag="member_joined"):
    """Record of an entry that starts to hold request keys.

    Attributes:
        vm: The entry's VM.
        zone: Availability zone of the VM.
        incarnation: Incarnation of the entry's process; a higher number
            replaces the VM's earlier process.
        bus: Address of the entry's listener as `HOST:PORT`.
    """

    vm: VmId
    zone: ZoneId
    incarnation: int
    bus: str


class MemberRemoved(msgspec.Struct, frozen=True, tag="member_removed"):
    """Record of an entry that holds no request keys from this record on.

    Attributes:
        vm: The entry's VM.
        incarnation: Incarnation of the process that is removed; a process
            with another incarnation stays a member.
        ended: Whether the process has certainly ended, because the VM list no
            longer names the VM or the process itself appended the record. A
            process that only stopped answering may be paused.
    """

    vm: VmId
    incarnation: int
    ended: bool


MemberRecord = MemberJoined | MemberRemoved


class MemberId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies one process of an entry."""

    vm: VmId
    incarnation: int


class HolderPeriod(msgspec.Struct, frozen=True, array_like=True):
    """Period in which a slot had the same holders.

    Attributes:
        start: Log offset of the change that began the period.
        holders: Owner and copy holder of the slot, in this order; only the
            owner if there is one member, empty if there is none.
        is_first: Whether the slot had no period before this one.
    """

    start: Offset
    holders: tuple[MemberId, ...]
    is_first: bool


class _EncodedState(msgspec.Struct):
    epoch: Offset
    members: list[MemberJoined]
    may_be_paused: list[MemberId]
    periods: list[list[HolderPeriod]]


class MemberView:
    """State folded from the member records.

    The view is a sub-state of `fold.ControlState`.

    Args:
        slots: Number of slots; every process must use the same number.

    Attributes:
        epoch: Log offset of the last change; -1 before the first change.
        members: Join records of the members, by VM.
        may_be_paused: Incarnations of removed processes that are not known to
            have ended, by VM.
        periods: Retained periods of each slot, oldest first.
        outcomes: Always empty, because member records are idempotent and have
            no result.
    """

    name = "members"
    record_types: tuple[type[msgspec.Struct], ...] = (
        MemberJoined,
        MemberRemoved,
    )

    def __init__(self, slots: int = SLOTS) -> None:
        self.epoch = Offset(-1)
        self.members: dict[VmId, MemberJoined] = {}
        self.may_be_paused: dict[VmId, int] = {}
        self.periods: list[list[HolderPeriod]] = [[] for _ in range(slots)]
        self.outcomes = OutcomeTable(0)

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies the member record at `offset`."""
        assert isinstance(record, MemberJoined | MemberRemoved)
        if isinstance(record, MemberJoined):
            changed = self._join(record)
        else:
            changed = self._remove(record)
        if changed:
            self.epoch = offset
            self._update_periods(offset)

    def encode(self) -> bytes:
        """Returns the encoded state for a snapshot."""
        return msgspec.msgpack.encode(
            _EncodedState(
                self.epoch,
                list(self.members.values()),
                [MemberId(v, i) for v, i in self.may_be_paused.items()],
                self.periods,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces this state by the encoded state of a snapshot."""
        encoded = msgspec.msgpack.decode(data, type=_EncodedState)
        self.epoch = encoded.epoch
        self.members = {m.vm: m for m in encoded.members}
        self.may_be_paused = {
            m.vm: m.incarnation for m in encoded.may_be_paused
        }
        self.periods = encoded.periods

    def is_member(self, member: MemberId) -> bool:
        """Whether a process is a member under its own incarnation."""
        current = self.members.get(member.vm)
        return current is not None and current.incarnation == member.incarnation

    def has_certainly_ended(self, member: MemberId) -> bool:
        """Whether a process can never again grant or confirm a claim."""
        if self.is_member(member):
            return False
        return self.may_be_paused.get(member.vm) != member.incarnation

    def get_slot(self, workspace: WorkspaceId, key: str) -> int:
        """Returns the slot of a request key."""
        digest = xxhash.xxh3_64_intdigest(f"{workspace}\0{key}".encode())
        return int(digest % len(self.periods))

    def get_holders(self, slot: int) -> tuple[MemberId, ...]:
        """Returns the current owner and copy holder of a slot."""
        periods = self.periods[slot]
        return periods[-1].holders if periods else ()

    def _join(self, record: MemberJoined) -> bool:
        current = self.members.get(record.vm)
        if current is not None and current.incarnation >= record.incarnation:
            return False
        self.members[record.vm] = record
        # A VM runs one entry process at a time, so the join of a later
        # process proves that the earlier process has ended.
        self.may_be_paused.pop(record.vm, None)
        return True

    def _remove(self, record: MemberRemoved) -> bool:
        member = MemberId(record.vm, record.incarnation)
        if self.is_member(member):
            del self.members[record.vm]
            if not record.ended:
                self.may_be_paused[record.vm] = record.incarnation
            return True
        if record.ended and not self.has_certainly_ended(member):
            del self.may_be_paused[record.vm]
        return False

    def _update_periods(self, offset: Offset) -> None:
        for slot, periods in enumerate(self.periods):
            holders = choose_holders(slot, self.members)
            if periods and periods[-1].holders == holders:
                continue
            periods.append(HolderPeriod(offset, holders, not periods))
            del periods[:-MAX_PERIODS]


def choose_holders(
    slot: int, members: dict[VmId, MemberJoined]
) -> tuple[MemberId, ...]:
    """Chooses the owner and the copy holder of a slot by rendezvous hashing.

    The copy holder is in another availability zone than the owner if there
    is such a member, so that the loss of one zone loses no claim.

    Args:
        slot: Number of the slot.
        members: Join records of the members, by VM.
    """
    ranked = sorted(
        members.values(),
        key=lambda m: _get_scores(m.vm)[slot],
        reverse=True,
    )
    if not ranked:
        return ()
    owner, *others = ranked
    other_zone = [m for m in others if m.zone != owner.zone] or others
    chosen = [owner, *other_zone[:1]]
    return tuple(MemberId(m.vm, m.incarnation) for m in chosen)


@functools.lru_cache(maxsize=4096)
def _get_scores(vm: VmId) -> list[int]:
    return [
        xxhash.xxh3_64_intdigest(f"{slot}\0{vm}".encode())
        for slot in range(SLOTS)
    ]

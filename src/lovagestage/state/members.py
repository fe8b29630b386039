"""The entries that hold the request keys, folded from the `control` stream.

Every process folds the same joins and removals in the same order, so that
all agree on who holds a key at an epoch (the offset of the last change). The
keys are divided over a fixed number of slots; the pair of a slot is chosen by
rendezvous hashing, and the past pairs of each slot are kept, so that a new
holder can tell whom to ask and whether what they knew is lost.
"""

from __future__ import annotations

import functools

import msgspec
import xxhash

from lovagestage.state.outcomes import OutcomeTable
from lovagestage.types import Offset, VmId, WorkspaceId, ZoneId

SLOTS = 256
MAX_PERIODS = 8
"""Past pairs kept for each slot; what lies before them counts as lost."""


class MemberJoined(msgspec.Struct, frozen=True, tag="member_joined"):
    """An entry that starts to hold keys.

    Attributes:
        vm: The entry's VM.
        zone: Its availability zone.
        incarnation: A higher one replaces the VM's earlier process.
        bus: `HOST:PORT` of its listener.
    """

    vm: VmId
    zone: ZoneId
    incarnation: int
    bus: str


class MemberRemoved(msgspec.Struct, frozen=True, tag="member_removed"):
    """An entry that holds no keys from now on.

    Attributes:
        vm: The entry's VM.
        incarnation: The process that is removed; another one stays.
        ended: Whether the process has certainly ended: the VM list no longer
            names it or it said so itself. A silent one may only be paused.
    """

    vm: VmId
    incarnation: int
    ended: bool


MemberRecord = MemberJoined | MemberRemoved


class MemberId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One process of an entry."""

    vm: VmId
    incarnation: int


class Period(msgspec.Struct, frozen=True, array_like=True):
    """Time in which a slot had the same holders.

    Attributes:
        start: Offset of the change that began it.
        holders: Owner and copy; the owner alone, or nobody.
        is_first: There was no holder before it.
    """

    start: Offset
    holders: tuple[MemberId, ...]
    is_first: bool


class _Snapshot(msgspec.Struct):
    epoch: Offset
    members: list[MemberJoined]
    may_be_paused: list[MemberId]
    periods: list[list[Period]]


class MemberView:
    """State folded from the member records.

    Part of `fold.ControlState`.

    Args:
        slots: Number of slots; every process must have the same.

    Attributes:
        epoch: Offset of the last change; -1 before the first.
        members: Entries by VM.
        may_be_paused: Removed processes not known to have ended.
        periods: For each slot its pairs, oldest first.
        outcomes: Empty: member records are idempotent and have no result.
    """

    name = "members"
    kinds: tuple[type[msgspec.Struct], ...] = (MemberJoined, MemberRemoved)

    def __init__(self, slots: int = SLOTS) -> None:
        self.epoch = Offset(-1)
        self.members: dict[VmId, MemberJoined] = {}
        self.may_be_paused: dict[VmId, int] = {}
        self.periods: list[list[Period]] = [[] for _ in range(slots)]
        self.outcomes = OutcomeTable(0)

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies the record at `offset`."""
        assert isinstance(record, MemberJoined | MemberRemoved)
        if isinstance(record, MemberJoined):
            changed = self._join(record)
        else:
            changed = self._remove(record)
        if changed:
            self.epoch = offset
            self._update_periods(offset)

    def encode(self) -> bytes:
        """Encodes the state for a snapshot."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self.epoch,
                list(self.members.values()),
                [MemberId(v, i) for v, i in self.may_be_paused.items()],
                self.periods,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self.epoch = snapshot.epoch
        self.members = {m.vm: m for m in snapshot.members}
        self.may_be_paused = {
            m.vm: m.incarnation for m in snapshot.may_be_paused
        }
        self.periods = snapshot.periods

    def has(self, member: MemberId) -> bool:
        """Whether this very process is a member."""
        known = self.members.get(member.vm)
        return known is not None and known.incarnation == member.incarnation

    def has_certainly_ended(self, member: MemberId) -> bool:
        """Whether a process can neither grant nor confirm a claim again."""
        if self.has(member):
            return False
        return self.may_be_paused.get(member.vm) != member.incarnation

    def get_slot(self, workspace: WorkspaceId, key: str) -> int:
        """The slot of a request key."""
        digest = xxhash.xxh3_64_intdigest(f"{workspace}\0{key}".encode())
        return int(digest % len(self.periods))

    def get_holders(self, slot: int) -> tuple[MemberId, ...]:
        """Owner and copy of a slot now."""
        periods = self.periods[slot]
        return periods[-1].holders if periods else ()

    def _join(self, record: MemberJoined) -> bool:
        known = self.members.get(record.vm)
        if known is not None and known.incarnation >= record.incarnation:
            return False
        self.members[record.vm] = record
        # A VM has one slot for the process: a later one proves the end of
        # the earlier.
        self.may_be_paused.pop(record.vm, None)
        return True

    def _remove(self, record: MemberRemoved) -> bool:
        member = MemberId(record.vm, record.incarnation)
        if self.has(member):
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
            periods.append(Period(offset, holders, not periods))
            del periods[:-MAX_PERIODS]


def choose_holders(
    slot: int, members: dict[VmId, MemberJoined]
) -> tuple[MemberId, ...]:
    """Owner and copy by rendezvous hashing.

    The copy is in another availability zone than the owner where there is
    one, so that the loss of one zone forgets nothing.
    """
    ranked = sorted(
        members.values(),
        key=lambda m: _get_scores(m.vm)[slot],
        reverse=True,
    )
    if not ranked:
        return ()
    owner, *others = ranked
    distant = [m for m in others if m.zone != owner.zone] or others
    chosen = [owner, *distant[:1]]
    return tuple(MemberId(m.vm, m.incarnation) for m in chosen)


@functools.lru_cache(maxsize=4096)
def _get_scores(vm: VmId) -> list[int]:
    return [
        xxhash.xxh3_64_intdigest(f"{slot}\0{vm}".encode())
        for slot in range(SLOTS)
    ]

"""Ledger of request keys at an entry: pure, no clock and no socket.

A claim names the one run that may execute a key. The owner of the key's slot
grants it only after the copy has taken it in the same epoch, and both answer
only for slots whose past they know whole. Therefore any one holder that lives
on knows each grant, and a holder that has moved on to a later epoch stops all
grants of the earlier ones.
"""

from __future__ import annotations

import dataclasses
import enum
import uuid

from lovagestage.messages.keys import (
    Claim,
    ClaimAnswer,
    ClaimOutcome,
    Copy,
    CopyAnswer,
    LedgerEntry,
    Pull,
    PullAnswer,
)
from lovagestage.state.members import SLOTS, MemberId, MemberView, Period
from lovagestage.types import Offset, WorkspaceId

NEVER_WHOLE = Offset(-1)
_UNSEEN = Offset(-2)
CALLER_CLOCK_MARGIN_MS = 60_000
"""How far a caller's clock may be wrong when its key carries a time."""

EntryKey = tuple[WorkspaceId, str]


@dataclasses.dataclass
class Slot:
    """What a holder knows of one slot.

    Attributes:
        whole_start: Start of the latest period through which every grant of
            the slot is in `entries`.
        seen_start: Start of the latest period that was looked at.
        lost_at_ms: Wall time at which older entries were found lost; 0
            where none ever were.
        lost_holders: Who knew the lost entries.
        entries: Claims by workspace and key.
    """

    whole_start: Offset = NEVER_WHOLE
    seen_start: Offset = NEVER_WHOLE
    lost_at_ms: int = 0
    lost_holders: tuple[MemberId, ...] = ()
    entries: dict[EntryKey, LedgerEntry] = dataclasses.field(
        default_factory=dict
    )


class PullState(enum.Enum):
    """What a holder that does not know its slot whole has to do."""

    WHOLE = "whole"
    ASK = "ask"
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class PullStep:
    """Next step towards a whole slot.

    Attributes:
        state: What to do.
        sources: Whom to ask, any of them.
        lost: Holders that took the slot's past with them.
    """

    state: PullState
    sources: tuple[MemberId, ...] = ()
    lost: tuple[MemberId, ...] = ()


class Ledger:
    """Keys held by one process.

    Args:
        own: This process.
        max_entries: Most claims held; past it new keys are refused.
        window_s: How long a claim is remembered.
        slots: Number of slots; the view's.
    """

    def __init__(
        self,
        own: MemberId,
        max_entries: int,
        window_s: float,
        slots: int = SLOTS,
    ) -> None:
        self.own = own
        self.slots = [Slot() for _ in range(slots)]
        self.size = 0
        self._max_entries = max_entries
        self._window_s = window_s

    def apply_view(self, view: MemberView) -> None:
        """Moves on to a view; what is whole stays so while it is held."""
        for index, slot in enumerate(self.slots):
            periods = view.periods[index]
            if periods and periods[0].start > slot.seen_start:
                # Periods were dropped unseen: grants in them are not known.
                slot.seen_start = _UNSEEN
            for period in periods:
                if period.start > slot.seen_start:
                    self._enter(slot, period)

    def is_whole(self, view: MemberView, slot: int) -> bool:
        """Whether every claim of a slot that is held now is known."""
        periods = view.periods[slot]
        return (
            bool(periods)
            and self.own in periods[-1].holders
            and self.slots[slot].whole_start == periods[-1].start
        )

    def claim(
        self, view: MemberView, claim: Claim, now_s: float, now_ms: int
    ) -> ClaimAnswer | Copy:
        """Decides a claim as owner; a `Copy` has to be confirmed first."""
        index = view.get_slot(claim.workspace, claim.key)
        holders = view.get_holders(index)
        if claim.epoch != view.epoch or holders[:1] != (self.own,):
            return ClaimAnswer(ClaimOutcome.STALE_VIEW)
        if not self.is_whole(view, index):
            return ClaimAnswer(ClaimOutcome.BUSY)
        slot = self.slots[index]
        known = slot.entries.get((claim.workspace, claim.key))
        refusal = self._check(view, slot, known, claim, now_ms)
        if refusal is not None:
            return ClaimAnswer(refusal, known)
        if claim.run is None:
            return Copy(view.epoch, index, None)
        entry = LedgerEntry(
            claim.workspace,
            claim.key,
            claim.fingerprint,
            claim.run,
            claim.version,
            (view.epoch, known.stamp[1] + 1 if known else 0),
            now_s,
        )
        self._put(slot, entry)
        return Copy(view.epoch, index, entry)

    def confirm(
        self, view: MemberView, copy: Copy, answer: CopyAnswer | None
    ) -> ClaimAnswer:
        """Answers a claim after its copy; None where no answer came.

        A grant that the copy has not taken would be forgotten with this
        process, and the key could run again: it is not given.
        """
        if view.epoch != copy.epoch:
            return ClaimAnswer(ClaimOutcome.STALE_VIEW)
        is_alone = len(view.get_holders(copy.slot)) == 1
        if not is_alone and (answer is None or not answer.taken):
            return ClaimAnswer(ClaimOutcome.BUSY)
        entry = copy.entry
        if entry is None:
            return ClaimAnswer(ClaimOutcome.FREE)
        known = self.slots[copy.slot].entries.get((entry.workspace, entry.key))
        if known is None or known.run != entry.run:
            return ClaimAnswer(ClaimOutcome.BUSY)
        return ClaimAnswer(ClaimOutcome.GRANTED, known)

    def take_copy(
        self, view: MemberView, copy: Copy, now_s: float
    ) -> CopyAnswer:
        """Takes a claim as copy; refused in another epoch."""
        if copy.epoch != view.epoch or not self.is_whole(view, copy.slot):
            return CopyAnswer(False)
        entry = copy.entry
        if entry is None:
            return CopyAnswer(True)
        slot = self.slots[copy.slot]
        known = slot.entries.get((entry.workspace, entry.key))
        if known is not None and known.stamp > entry.stamp:
            return CopyAnswer(False)
        if known is None and self.size >= self._max_entries:
            return CopyAnswer(False)
        self._put(slot, entry.at(now_s))
        return CopyAnswer(True)

    def answer_pull(
        self, view: MemberView, pull: Pull, now_s: float
    ) -> PullAnswer:
        """Tells what is known of a slot; only in the same epoch."""
        if pull.epoch != view.epoch:
            return PullAnswer(view.epoch, NEVER_WHOLE, 0, (), [])
        slot = self.slots[pull.slot]
        return PullAnswer(
            view.epoch,
            slot.whole_start,
            slot.lost_at_ms,
            slot.lost_holders,
            [e.at(now_s - e.put_at_s) for e in slot.entries.values()],
        )

    def plan_pull(
        self,
        view: MemberView,
        index: int,
        answers: dict[MemberId, Offset],
    ) -> PullStep:
        """Finds whom to ask for a slot's past, latest period first.

        Args:
            view: The view.
            index: The slot.
            answers: `whole_start` of those that answered in this epoch.
        """
        if self.is_whole(view, index):
            return PullStep(PullState.WHOLE)
        periods = view.periods[index]
        for period in reversed(periods):
            step = self._look_at(view, index, period, answers)
            if step is not None:
                return step
        if periods and periods[0].is_first:
            return PullStep(PullState.WHOLE)
        # Nobody can tell who held the claims before; a member that lives
        # stands for them, so that a key's time never proves it new.
        return PullStep(PullState.LOST, lost=(self.own,))

    def finish_pull(self, view: MemberView, index: int) -> None:
        """Marks a slot as whole after its sources have been read."""
        self.slots[index].whole_start = view.periods[index][-1].start

    def merge(self, index: int, answer: PullAnswer, now_s: float) -> None:
        """Takes entries from another holder; the later claim wins."""
        slot = self.slots[index]
        for entry in answer.entries:
            known = slot.entries.get((entry.workspace, entry.key))
            if known is None or known.stamp < entry.stamp:
                self._put(slot, entry.at(now_s - entry.put_at_s))
        if answer.lost_at_ms > slot.lost_at_ms:
            slot.lost_at_ms = answer.lost_at_ms
            slot.lost_holders = answer.lost_holders

    def mark_lost(
        self, index: int, lost: tuple[MemberId, ...], now_ms: int
    ) -> None:
        """Notes that claims made before now may be forgotten."""
        slot = self.slots[index]
        slot.lost_at_ms = now_ms
        slot.lost_holders = (*slot.lost_holders, *lost)

    def remove_expired(self, now_s: float, now_ms: int) -> None:
        """Forgets claims, and losses, past the window."""
        horizon_s = now_s - self._window_s
        for slot in self.slots:
            for key, entry in list(slot.entries.items()):
                if entry.put_at_s > horizon_s:
                    break
                del slot.entries[key]
                self.size -= 1
            if slot.lost_at_ms < now_ms - self._window_s * 1000:
                slot.lost_at_ms = 0
                slot.lost_holders = ()

    def _enter(self, slot: Slot, period: Period) -> None:
        was_whole = slot.whole_start == slot.seen_start
        slot.seen_start = period.start
        if self.own not in period.holders:
            return
        if period.is_first or (was_whole and slot.whole_start >= 0):
            slot.whole_start = period.start

    def _look_at(
        self,
        view: MemberView,
        index: int,
        period: Period,
        answers: dict[MemberId, Offset],
    ) -> PullStep | None:
        """None: nothing was granted in the period, look at the one before."""
        starts = [answers[m] for m in period.holders if m in answers]
        if self.own in period.holders:
            starts.append(self.slots[index].whole_start)
        if any(start >= period.start for start in starts):
            return PullStep(PullState.WHOLE)
        others = tuple(
            m
            for m in period.holders
            if m != self.own and m not in answers and view.has(m)
        )
        # One holder that was not whole is enough to prove that nothing was
        # granted; this process asks the other all the same, which may know
        # the periods before.
        if others and (not starts or self.own in period.holders):
            return PullStep(PullState.ASK, others)
        if starts or not period.holders:
            return None
        return PullStep(PullState.LOST, lost=period.holders)

    def _check(
        self,
        view: MemberView,
        slot: Slot,
        known: LedgerEntry | None,
        claim: Claim,
        now_ms: int,
    ) -> ClaimOutcome | None:
        """Why the claim's run may not have the key; None where it may."""
        if known is None:
            return self._check_new(view, slot, claim, now_ms)
        if known.fingerprint != claim.fingerprint:
            return ClaimOutcome.OTHER_BODY
        if claim.run is not None and known.run in (claim.run, claim.after):
            return None
        return ClaimOutcome.HELD

    def _check_new(
        self, view: MemberView, slot: Slot, claim: Claim, now_ms: int
    ) -> ClaimOutcome | None:
        if claim.after is not None:
            return ClaimOutcome.BUSY
        if self.size >= self._max_entries:
            return ClaimOutcome.FULL
        if not slot.lost_at_ms or claim.repeatable:
            return None
        # Those that held the lost claims may be paused and still grant; a
        # time in the key proves nothing until they have certainly ended.
        if all(view.has_certainly_ended(m) for m in slot.lost_holders):
            minted_ms = get_minted_ms(claim.key)
            earliest_ms = slot.lost_at_ms + CALLER_CLOCK_MARGIN_MS
            if earliest_ms < minted_ms <= now_ms + CALLER_CLOCK_MARGIN_MS:
                return None
        return ClaimOutcome.HISTORY_LOST

    def _put(self, slot: Slot, entry: LedgerEntry) -> None:
        key = (entry.workspace, entry.key)
        # Kept in the order of their time, so that expiry stops early.
        self.size += slot.entries.pop(key, None) is None
        slot.entries[key] = entry


def get_minted_ms(key: str) -> int:
    """Wall time in a UUIDv7; 0 for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    return parsed.int >> 80 if parsed.version == 7 else 0

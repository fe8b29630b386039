"""Ledger in which an entry stores request keys.

A claim names the one run that may execute a key. The owner of the key's slot
grants a claim only after the holder of the slot's copy has stored it in the
same epoch. Owner and copy holder answer only for slots of which they know the
complete history. Therefore any single holder that survives knows each grant,
and a holder that has moved on to a later epoch stops all grants of earlier
epochs.

The decisions are pure: they read no clock and open no socket.
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
from lovagestage.state.members import SLOTS, HolderPeriod, MemberId, MemberView
from lovagestage.types import Offset, WorkspaceId

NEVER_COMPLETE = Offset(-1)
"""Value of `complete_start` for a slot whose history was never complete."""
_PERIODS_MISSED = Offset(-2)
"""Value of `processed_start` after periods were missed. It differs from any
`complete_start`, so that the slot does not count as complete."""
CALLER_CLOCK_MARGIN_MS = 60_000
"""Greatest error in milliseconds that is assumed of a caller's clock when its
key contains a time."""

EntryKey = tuple[WorkspaceId, str]


@dataclasses.dataclass
class Slot:
    """State of one slot at one of its holders.

    Attributes:
        complete_start: Start of the latest period up to which, and including
            which, `entries` contains every grant of the slot.
        processed_start: Start of the latest period that the holder has
            processed.
        lost_at_ms: Wall time in milliseconds at which the loss of older entries
            was detected; 0 if no entries were ever lost.
        lost_holders: Holders that knew the lost entries.
        entries: Claims by workspace and key.
    """

    complete_start: Offset = NEVER_COMPLETE
    processed_start: Offset = NEVER_COMPLETE
    lost_at_ms: int = 0
    lost_holders: tuple[MemberId, ...] = ()
    entries: dict[EntryKey, LedgerEntry] = dataclasses.field(
        default_factory=dict
    )


class PullState(enum.Enum):
    """Next action of a holder that completes the history of a slot."""

    COMPLETE = "whole"
    ASK = "ask"
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class PullStep:
    """Next step towards the complete history of a slot.

    Attributes:
        state: The action to take.
        sources: Holders that can be asked; an answer of any one of them is a
            step forward.
        lost_holders: Holders that were lost together with the history of the
            slot.
    """

    state: PullState
    sources: tuple[MemberId, ...] = ()
    lost_holders: tuple[MemberId, ...] = ()


class KeyLedger:
    """Stores the request keys of the slots that one process holds.

    Args:
        own: The process that holds the keys.
        max_entries: Maximum number of claims; beyond it new keys are refused.
        window_s: Seconds for which a claim is retained.
        slots: Number of slots; it must equal that of the member view.
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
        """Processes the periods of a newer member view.

        A slot whose history is complete stays complete for as long as this
        process holds the slot without interruption.
        """
        for index, slot in enumerate(self.slots):
            periods = view.periods[index]
            if periods and periods[0].start > slot.processed_start:
                # The view dropped periods before this process had seen them, so
                # the grants of these periods are unknown.
                slot.processed_start = _PERIODS_MISSED
            for period in periods:
                if period.start > slot.processed_start:
                    self._enter_period(slot, period)

    def is_complete(self, view: MemberView, slot: int) -> bool:
        """Returns whether this process knows all claims of a slot it holds."""
        periods = view.periods[slot]
        return (
            bool(periods)
            and self.own in periods[-1].holders
            and self.slots[slot].complete_start == periods[-1].start
        )

    def claim(
        self, view: MemberView, claim: Claim, now_s: float, now_ms: int
    ) -> ClaimAnswer | Copy:
        """Decides a claim as the owner of its slot.

        Args:
            view: The member view in force.
            claim: The claim to decide.
            now_s: Monotonic time in seconds.
            now_ms: Wall time in milliseconds.

        Returns:
            The answer, or a `Copy` that the holder of the slot's copy has to
            confirm before the claim may be answered.
        """
        index = view.get_slot(claim.workspace, claim.key)
        holders = view.get_holders(index)
        if claim.epoch != view.epoch or holders[:1] != (self.own,):
            return ClaimAnswer(ClaimOutcome.STALE_VIEW)
        if not self.is_complete(view, index):
            return ClaimAnswer(ClaimOutcome.BUSY)
        slot = self.slots[index]
        existing = slot.entries.get((claim.workspace, claim.key))
        refusal = self._find_refusal(view, slot, existing, claim, now_ms)
        if refusal is not None:
            return ClaimAnswer(refusal, existing)
        if claim.run is None:
            return Copy(view.epoch, index, None)
        entry = LedgerEntry(
            claim.workspace,
            claim.key,
            claim.fingerprint,
            claim.run,
            claim.version,
            (view.epoch, existing.stamp[1] + 1 if existing else 0),
            now_s,
        )
        self._store_entry(slot, entry)
        return Copy(view.epoch, index, entry)

    def confirm(
        self, view: MemberView, copy: Copy, answer: CopyAnswer | None
    ) -> ClaimAnswer:
        """Answers a claim after its copy was sent.

        A grant that the copy holder has not stored would be forgotten if this
        process ended, and the key could run again. Such a grant is therefore
        not given.

        Args:
            view: The member view in force.
            copy: The copy that was sent.
            answer: Answer of the copy holder; None if no answer arrived.
        """
        if view.epoch != copy.epoch:
            return ClaimAnswer(ClaimOutcome.STALE_VIEW)
        is_only_holder = len(view.get_holders(copy.slot)) == 1
        if not is_only_holder and (answer is None or not answer.accepted):
            return ClaimAnswer(ClaimOutcome.BUSY)
        entry = copy.entry
        if entry is None:
            return ClaimAnswer(ClaimOutcome.FREE)
        existing = self.slots[copy.slot].entries.get(
            (entry.workspace, entry.key)
        )
        if existing is None or existing.run != entry.run:
            return ClaimAnswer(ClaimOutcome.BUSY)
        return ClaimAnswer(ClaimOutcome.GRANTED, existing)

    def store_copy(
        self, view: MemberView, copy: Copy, now_s: float
    ) -> CopyAnswer:
        """Stores a claim as copy holder; refuses it in another epoch."""
        if copy.epoch != view.epoch or not self.is_complete(view, copy.slot):
            return CopyAnswer(False)
        entry = copy.entry
        if entry is None:
            return CopyAnswer(True)
        slot = self.slots[copy.slot]
        existing = slot.entries.get((entry.workspace, entry.key))
        if existing is not None and existing.stamp > entry.stamp:
            return CopyAnswer(False)
        if existing is None and self.size >= self._max_entries:
            return CopyAnswer(False)
        self._store_entry(slot, entry.with_put_at(now_s))
        return CopyAnswer(True)

    def answer_pull(
        self, view: MemberView, pull: Pull, now_s: float
    ) -> PullAnswer:
        """Returns the known claims of a slot; none in another epoch."""
        if pull.epoch != view.epoch:
            return PullAnswer(view.epoch, NEVER_COMPLETE, 0, (), [])
        slot = self.slots[pull.slot]
        return PullAnswer(
            view.epoch,
            slot.complete_start,
            slot.lost_at_ms,
            slot.lost_holders,
            [e.with_put_at(now_s - e.put_at_s) for e in slot.entries.values()],
        )

    def plan_pull(
        self,
        view: MemberView,
        index: int,
        answers: dict[MemberId, Offset],
    ) -> PullStep:
        """Finds the holders to ask for a slot's history, latest period first.

        Args:
            view: The member view in force.
            index: Number of the slot.
            answers: `complete_start` of each holder that has answered in this
                epoch.
        """
        if self.is_complete(view, index):
            return PullStep(PullState.COMPLETE)
        periods = view.periods[index]
        for period in reversed(periods):
            step = self._plan_period_pull(view, index, period, answers)
            if step is not None:
                return step
        if periods and periods[0].is_first:
            return PullStep(PullState.COMPLETE)
        # No record names the holders of the earlier claims. This process stands
        # in for them: it is a live member, so the time in a key never proves
        # that the key is new.
        return PullStep(PullState.LOST, lost_holders=(self.own,))

    def finish_pull(self, view: MemberView, index: int) -> None:
        """Marks a slot's history as complete after its sources were read."""
        self.slots[index].complete_start = view.periods[index][-1].start

    def merge(self, index: int, answer: PullAnswer, now_s: float) -> None:
        """Adds entries of another holder; of two claims the later one wins."""
        slot = self.slots[index]
        for entry in answer.entries:
            existing = slot.entries.get((entry.workspace, entry.key))
            if existing is None or existing.stamp < entry.stamp:
                self._store_entry(
                    slot, entry.with_put_at(now_s - entry.put_at_s)
                )
        if answer.lost_at_ms > slot.lost_at_ms:
            slot.lost_at_ms = answer.lost_at_ms
            slot.lost_holders = answer.lost_holders

    def mark_lost(
        self, index: int, lost: tuple[MemberId, ...], now_ms: int
    ) -> None:
        """Records that claims made before now may have been lost."""
        slot = self.slots[index]
        slot.lost_at_ms = now_ms
        slot.lost_holders = (*slot.lost_holders, *lost)

    def remove_expired(self, now_s: float, now_ms: int) -> None:
        """Removes claims, and records of lost claims, older than the window."""
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

    def _enter_period(self, slot: Slot, period: HolderPeriod) -> None:
        was_complete = slot.complete_start == slot.processed_start
        slot.processed_start = period.start
        if self.own not in period.holders:
            return
        if period.is_first or (was_complete and slot.complete_start >= 0):
            slot.complete_start = period.start

    def _plan_period_pull(
        self,
        view: MemberView,
        index: int,
        period: HolderPeriod,
        answers: dict[MemberId, Offset],
    ) -> PullStep | None:
        """Returns the step for one period of a slot.

        Returns:
            The step, or None if nothing was granted in this period, so that the
            period before it has to be examined.
        """
        starts = [answers[m] for m in period.holders if m in answers]
        if self.own in period.holders:
            starts.append(self.slots[index].complete_start)
        if any(start >= period.start for start in starts):
            return PullStep(PullState.COMPLETE)
        other_holders = tuple(
            m
            for m in period.holders
            if m != self.own and m not in answers and view.is_member(m)
        )
        # One holder with an incomplete history is enough to prove that nothing
        # was granted in the period. This process nevertheless asks the other
        # holder, which may know the earlier periods.
        if other_holders and (not starts or self.own in period.holders):
            return PullStep(PullState.ASK, other_holders)
        if starts or not period.holders:
            return None
        return PullStep(PullState.LOST, lost_holders=period.holders)

    def _find_refusal(
        self,
        view: MemberView,
        slot: Slot,
        existing: LedgerEntry | None,
        claim: Claim,
        now_ms: int,
    ) -> ClaimOutcome | None:
        """Returns why the claim's run can't have the key; None if it can."""
        if existing is None:
            return self._find_new_key_refusal(view, slot, claim, now_ms)
        if existing.fingerprint != claim.fingerprint:
            return ClaimOutcome.OTHER_BODY
        if claim.run is not None and existing.run in (
            claim.run,
            claim.replaces,
        ):
            return None
        return ClaimOutcome.HELD

    def _find_new_key_refusal(
        self, view: MemberView, slot: Slot, claim: Claim, now_ms: int
    ) -> ClaimOutcome | None:
        if claim.replaces is not None:
            return ClaimOutcome.BUSY
        if self.size >= self._max_entries:
            return ClaimOutcome.FULL
        if not slot.lost_at_ms or claim.repeatable:
            return None
        # The holders of the lost claims may only be paused and may still grant.
        # A time in the key proves nothing until these holders have certainly
        # ended.
        if all(view.has_certainly_ended(m) for m in slot.lost_holders):
            key_time_ms = get_uuid7_time_ms(claim.key)
            earliest_ms = slot.lost_at_ms + CALLER_CLOCK_MARGIN_MS
            if earliest_ms < key_time_ms <= now_ms + CALLER_CLOCK_MARGIN_MS:
                return None
        return ClaimOutcome.HISTORY_LOST

    def _store_entry(self, slot: Slot, entry: LedgerEntry) -> None:
        key = (entry.workspace, entry.key)
        # Entries are ordered by the time at which they were stored, so that the
        # expiry loop can stop at the first entry that has not expired.
        self.size += slot.entries.pop(key, None) is None
        slot.entries[key] = entry


def get_uuid7_time_ms(key: str) -> int:
    """Returns the time, in Unix ms, in a UUIDv7; 0 for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    return parsed.int >> 80 if parsed.version == 7 else 0

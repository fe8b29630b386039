"""Serves the ledger of request keys: claims, copies and synchronized slots."""

from __future__ import annotations

import asyncio
import logging
import time

import mode

from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.control.membership import Membership
from lovagestage.control.reader import ControlReader
from lovagestage.decisions.request_keys import KeyLedger, PullState
from lovagestage.messages.envelope import Message
from lovagestage.messages.keys import (
    Claim,
    ClaimAnswer,
    ClaimOutcome,
    Copy,
    CopyAnswer,
    Pull,
    PullAnswer,
)
from lovagestage.settings import EntrySettings
from lovagestage.state.members import SLOTS, MemberId, MemberView
from lovagestage.types import Offset, VmId

_log = logging.getLogger(__name__)

COPY_TIMEOUT_S = 0.5
CLAIM_TIMEOUT_S = 1.0
PULL_TIMEOUT_S = 1.0
PULL_INTERVAL_S = 0.2
MAX_CONCURRENT_PULLS = 16
EXPIRY_INTERVAL_S = 10.0


class KeyService(mode.Service):
    """Holds this entry's share of the request keys.

    Args:
        settings: Limits of the ledger.
        control: Configuration in force.
        membership: The entries that are members, with this process.
        peers: Connections to the other entries.
        hub: Delivers the other entries' questions.
    """

    def __init__(
        self,
        settings: EntrySettings,
        control: ControlReader,
        membership: Membership,
        peers: LinkTable,
        hub: Hub,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._membership = membership
        self._peers = peers
        self._ledger = self._make_ledger()
        self._view_changed = asyncio.Event()
        control.subscribe(self._on_control)
        hub.register_query_handler(Claim, self._answer_claim)
        hub.register_query_handler(Copy, self._answer_copy)
        hub.register_query_handler(Pull, self._answer_pull)

    @property
    def view(self) -> MemberView:
        """Current view of the member entries."""
        return self._membership.view

    async def claim(self, claim: Claim) -> ClaimAnswer:
        """Asks the owner of a key to decide a claim; it may be this process.

        Args:
            claim: The claim.

        Returns:
            The owner's answer; `STALE_VIEW` where the view has changed or has
            no holders, and `BUSY` where the owner does not answer in time.
        """
        holders = self._get_holders(claim)
        if not holders or claim.epoch != self.view.epoch:
            return ClaimAnswer(ClaimOutcome.STALE_VIEW)
        if holders[0] == self._ledger.own:
            return await self._decide(claim)
        answer = await self._ask(holders[0].vm, claim, CLAIM_TIMEOUT_S)
        if isinstance(answer, ClaimAnswer):
            return answer
        return ClaimAnswer(ClaimOutcome.BUSY)

    def get_dump(self) -> dict[str, object]:
        """Returns the view and the ledger's sizes, for the state dump."""
        own = self._ledger.own
        held_slots = [
            s for s in range(SLOTS) if own in self.view.get_holders(s)
        ]
        return {
            "epoch": self.view.epoch,
            "members": sorted(self.view.members),
            "may_be_paused": sorted(self.view.may_be_paused),
            "keys": self._ledger.size,
            "key_limit": self._settings.key_limit,
            "slots_held": len(held_slots),
            "slots_whole": sum(
                self._ledger.is_complete(self.view, s) for s in held_slots
            ),
            "slots_with_loss": sum(
                self._ledger.slots[s].lost_at_ms > 0 for s in held_slots
            ),
        }

    def _get_holders(self, claim: Claim) -> tuple[MemberId, ...]:
        slot = self.view.get_slot(claim.workspace, claim.key)
        return self.view.get_holders(slot)

    def _make_ledger(self) -> KeyLedger:
        return KeyLedger(
            self._membership.get_own_id(),
            self._settings.key_limit,
            self._settings.key_window_s,
        )

    def _on_control(self) -> None:
        # This runs in the same step as the fold and before any question is
        # answered, so that no answer combines an old ledger with a new view.
        if self._ledger.own != self._membership.get_own_id():
            self._ledger = self._make_ledger()
        self._ledger.apply_view(self.view)
        self._view_changed.set()

    async def _answer_claim(self, message: Message) -> Message:
        assert isinstance(message, Claim)
        return await self._decide(message)

    async def _answer_copy(self, message: Message) -> Message:
        assert isinstance(message, Copy)
        return self._ledger.store_copy(self.view, message, time.monotonic())

    async def _answer_pull(self, message: Message) -> Message:
        assert isinstance(message, Pull)
        return self._ledger.answer_pull(self.view, message, time.monotonic())

    async def _decide(self, claim: Claim) -> ClaimAnswer:
        ledger = self._ledger
        decision = ledger.claim(
            self.view, claim, time.monotonic(), _get_wall_ms()
        )
        if isinstance(decision, ClaimAnswer):
            return decision
        answer: Message | None = None
        for holder in self.view.get_holders(decision.slot)[1:]:
            answer = await self._ask(holder.vm, decision, COPY_TIMEOUT_S)
        copy_answer = answer if isinstance(answer, CopyAnswer) else None
        return ledger.confirm(self.view, decision, copy_answer)

    async def _ask(
        self, vm: VmId, question: Message, timeout_s: float
    ) -> Message | None:
        return await self._peers.ask(vm, question, timeout_s)

    @mode.Service.task
    async def _sync_slots(self) -> None:
        limit = asyncio.Semaphore(MAX_CONCURRENT_PULLS)
        while not self.should_stop:
            self._view_changed.clear()
            synced = await asyncio.gather(
                *(self._sync_slot(slot, limit) for slot in range(SLOTS))
            )
            if not all(synced):
                await self.sleep(PULL_INTERVAL_S)
            else:
                await self._view_changed.wait()

    @mode.Service.task
    async def _expire_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(EXPIRY_INTERVAL_S)
            self._ledger.remove_expired(time.monotonic(), _get_wall_ms())

    async def _sync_slot(self, slot: int, limit: asyncio.Semaphore) -> bool:
        """Synchronizes a slot that this process holds.

        Args:
            slot: Number of the slot.
            limit: Limits the number of concurrent pulls.

        Returns:
            False where a source did not answer or the view has changed.
        """
        if self._is_in_sync(slot):
            return True
        async with limit:
            return await self._pull_slot(slot)

    def _is_in_sync(self, slot: int) -> bool:
        ledger = self._ledger
        return ledger.own not in self.view.get_holders(
            slot
        ) or ledger.is_complete(self.view, slot)

    async def _pull_slot(self, slot: int) -> bool:
        ledger, epoch = self._ledger, self.view.epoch
        answers: dict[MemberId, Offset] = {}
        while not self._is_in_sync(slot):
            step = ledger.plan_pull(self.view, slot, answers)
            if step.state is not PullState.ASK:
                if step.state is PullState.LOST:
                    _log.warning("slot_history_lost", extra={"slot": slot})
                    ledger.mark_lost(slot, step.lost_holders, _get_wall_ms())
                ledger.finish_pull(self.view, slot)
                return True
            source = step.sources[0]
            answer = await self._ask(
                source.vm, Pull(epoch, slot), PULL_TIMEOUT_S
            )
            if epoch != self.view.epoch or ledger is not self._ledger:
                return False
            if not isinstance(answer, PullAnswer) or answer.epoch != epoch:
                return False
            ledger.merge(slot, answer, time.monotonic())
            answers[source] = answer.complete_start
        return True


def _get_wall_ms() -> int:
    return time.time_ns() // 1_000_000

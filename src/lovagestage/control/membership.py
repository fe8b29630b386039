"""Keeps this entry in the log's list of key holders, and dead ones out."""

from __future__ import annotations

import asyncio
import logging
import time

import mode

from lovagestage.adapters.protocols import Log, Vm
from lovagestage.bus.links import LinkTable
from lovagestage.control.reader import ControlReader
from lovagestage.exceptions import LogError
from lovagestage.state.members import (
    MemberId,
    MemberJoined,
    MemberRecord,
    MemberRemoved,
    MemberView,
)
from lovagestage.state.records import CONTROL_STREAM, encode_record
from lovagestage.types import VmId

_log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
MAX_CHECK_GAP_S = 1.5
RANK_DELAY_S = 1.0
MAX_RANKS = 8
"""Turns; two watchers with the same one append the same record twice."""
APPEND_RETRY_S = 1.0
LAST_HOLDER_SILENCE_S = 60.0
"""Silence of an entry that may alone know claims; see `_may_hold_alone`.

As long as a sidecar remembers forbidden runs for a paused sender.
"""


class Membership(mode.Service):
    """Appends this entry's join and the removal of silent entries.

    Args:
        control: Configuration in force.
        log: The platform's log.
        peers: Connections to the other entries.
        own: This process as a member.
        silence_s: Silence after which an entry is removed.

    Attributes:
        own: This process as a member; a new incarnation after a removal.
    """

    def __init__(
        self,
        control: ControlReader,
        log: Log,
        peers: LinkTable,
        own: MemberJoined,
        silence_s: float,
    ) -> None:
        super().__init__()
        self.own = own
        self._control = control
        self._platform_log = log
        self._peers = peers
        self._silence_s = silence_s
        self._listed: set[VmId] | None = None
        self._heard_s: dict[MemberId, float] = {}
        self._checked_s = time.monotonic()
        self._members: set[VmId] = set()
        self._removed_s = self._checked_s
        self._append_after_s = 0.0
        self._has_joined = False
        control.subscribe(self._on_control)

    @property
    def view(self) -> MemberView:
        """The members now."""
        return self._control.folded.members

    def get_own_id(self) -> MemberId:
        """This process's present incarnation."""
        return MemberId(self.own.vm, self.own.incarnation)

    def apply_vm_list(self, vms: list[Vm]) -> None:
        """Takes the platform's list of VMs."""
        self._listed = {vm.vm for vm in vms}

    def _on_control(self) -> None:
        members = set(self.view.members)
        if self._members - members:
            self._removed_s = time.monotonic()
        self._members = members

    async def on_stop(self) -> None:
        """Leaves, so that others take over without waiting for silence."""
        if self.view.has(self.get_own_id()):
            await self._append(
                MemberRemoved(self.own.vm, self.own.incarnation, ended=True)
            )

    @mode.Service.task
    async def _check_often(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            if self._control.caught_up and not self.should_stop:
                await self._check()

    async def _check(self) -> None:
        now_s = time.monotonic()
        if now_s - self._checked_s > MAX_CHECK_GAP_S:
            # This process was paused: everyone seems silent to it, and it
            # would remove the entries that went on. It starts to count anew.
            self._heard_s.clear()
            self._removed_s = now_s
        self._checked_s = now_s
        if not self.view.has(self.get_own_id()):
            await self._join(now_s)
            return
        self._has_joined = True
        for removal in self._get_due_removals(now_s):
            if now_s >= self._append_after_s:
                _log.info(
                    "member_removed",
                    extra={"member": removal.vm, "ended": removal.ended},
                )
                await self._append(removal)
                if not removal.ended:
                    # Who else is due may now be the last to know claims.
                    break

    async def _join(self, now_s: float) -> None:
        if now_s < self._append_after_s:
            return
        if self._has_joined:
            # Others removed this process while it was paused or cut off; what
            # it holds may be out of date, so it comes back as a new one.
            self.own = MemberJoined(
                self.own.vm, self.own.zone, time.time_ns(), self.own.bus
            )
            self._has_joined = False
        await self._append(self.own)

    def _get_due_removals(self, now_s: float) -> list[MemberRemoved]:
        own = self.get_own_id()
        others = [
            MemberId(m.vm, m.incarnation)
            for m in self.view.members.values()
            if m.vm != own.vm and self._peers.is_watched(m.vm)
        ]
        silent = [m for m in others if self._is_silent(m, len(others), now_s)]
        if len(others) > 2 and len(silent) * 2 > len(others):
            # More likely this process is cut off than most others gone.
            _log.warning("most_members_silent", extra={"silent": len(silent)})
            return []
        removals = [
            MemberRemoved(m.vm, m.incarnation, not self._is_listed(m.vm))
            for m in silent
        ]
        paused = [
            MemberRemoved(vm, incarnation, ended=True)
            for vm, incarnation in self.view.may_be_paused.items()
            if not self._is_listed(vm)
        ]
        return removals + paused

    def _is_silent(self, member: MemberId, others: int, now_s: float) -> bool:
        link = self._peers.links.get(member.vm)
        known_s = self._heard_s.setdefault(member, now_s)
        if link is not None:
            # What has been asked nothing since it answered is not silent.
            heard_s = now_s if link.asked_s is None else link.heard_s
            self._heard_s[member] = known_s = max(known_s, heard_s)
        # The watchers take turns by name: one record, not one from each.
        rank = sorted(self.view.members).index(self.own.vm)
        delay_s = RANK_DELAY_S * min(rank % MAX_RANKS, others)
        limit_s = self._silence_s
        if self._may_hold_alone(member, known_s):
            limit_s = max(limit_s, LAST_HOLDER_SILENCE_S)
        return now_s - known_s > limit_s + delay_s

    def _may_hold_alone(self, member: MemberId, known_s: float) -> bool:
        """Whether a silent entry may know claims that nobody else knows.

        One that was not heard since another was removed may not have handed
        on what the two held. With both removed, each key of theirs that comes
        again is refused for the whole window, though a pause of seconds had
        harmed nothing. Until it is heard, callers are told to come back.
        """
        link = self._peers.links.get(member.vm)
        if not self._is_listed(member.vm) or (link is not None and link.gone):
            return False
        return known_s <= self._removed_s

    def _is_listed(self, vm: VmId) -> bool:
        return self._listed is None or vm in self._listed

    async def _append(self, record: MemberRecord) -> None:
        # The records are idempotent: a lost answer is mended by appending
        # again, if the fold does not show the change by then.
        self._append_after_s = time.monotonic() + APPEND_RETRY_S
        try:
            async with asyncio.timeout(APPEND_RETRY_S):
                await self._platform_log.append(
                    CONTROL_STREAM, encode_record(record)
                )
        except (LogError, TimeoutError) as error:
            _log.warning("member_append_failed", extra={"error": repr(error)})

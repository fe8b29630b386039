"""Keeps this entry in the log's member list and removes failed entries.

The members are the entries that hold request keys.
"""

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
MAX_CHECK_DELAY_S = 1.5
REMOVAL_RANK_DELAY_S = 1.0
MAX_REMOVAL_RANKS = 8
"""Number of distinct delays that the entries wait before a removal.

Two entries with the same delay may both append the same removal record.
"""
APPEND_RETRY_S = 1.0
LAST_HOLDER_TIMEOUT_S = 60.0
"""Inactivity timeout, in seconds, of an entry that may alone know claims.

See `_may_hold_alone`. The timeout equals the time for which a sidecar remembers
forbidden runs for a sender that is paused.
"""


class Membership(mode.Service):
    """Appends this entry's join record and removes entries that stop answering.

    Args:
        control: Reader that holds the folded control state.
        log: Client of the platform's log.
        peers: Connections to the other entries.
        own: Join record of this process.
        inactivity_timeout_s: Seconds without an answer after which an entry
            is removed.

    Attributes:
        own: Join record of this process; has a new incarnation after this
            process was removed.
    """

    def __init__(
        self,
        control: ControlReader,
        log: Log,
        peers: LinkTable,
        own: MemberJoined,
        inactivity_timeout_s: float,
    ) -> None:
        super().__init__()
        self.own = own
        self._control = control
        self._platform_log = log
        self._peers = peers
        self._inactivity_timeout_s = inactivity_timeout_s
        self._listed_vms: set[VmId] | None = None
        self._last_answer_s: dict[MemberId, float] = {}
        self._last_check_s = time.monotonic()
        self._members: set[VmId] = set()
        self._removed_s = self._last_check_s
        self._append_after_s = 0.0
        self._has_joined = False
        control.subscribe(self._on_control)

    @property
    def view(self) -> MemberView:
        """The folded member list."""
        return self._control.folded.members

    def get_own_id(self) -> MemberId:
        """Returns the member id of this process's current incarnation."""
        return MemberId(self.own.vm, self.own.incarnation)

    def apply_vm_list(self, vms: list[Vm]) -> None:
        """Replaces the set of VMs that the platform lists.

        Args:
            vms: The VMs of the platform's latest list.
        """
        self._listed_vms = {vm.vm for vm in vms}

    def _on_control(self) -> None:
        members = set(self.view.members)
        if self._members - members:
            self._removed_s = time.monotonic()
        self._members = members

    async def on_stop(self) -> None:
        """Removes this process, so that others need not await the timeout."""
        if self.view.is_member(self.get_own_id()):
            await self._append(
                MemberRemoved(self.own.vm, self.own.incarnation, ended=True)
            )

    @mode.Service.task
    async def _check_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            if self._control.caught_up and not self.should_stop:
                await self._check()

    async def _check(self) -> None:
        now_s = time.monotonic()
        if now_s - self._last_check_s > MAX_CHECK_DELAY_S:
            # This process was paused, so no entry seems to have answered, and
            # this process would remove entries that kept running. The
            # inactivity times are counted from zero again.
            self._last_answer_s.clear()
            self._removed_s = now_s
        self._last_check_s = now_s
        if not self.view.is_member(self.get_own_id()):
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
                    # Another entry that is due for removal may now be the
                    # last that knows some claims.
                    break

    async def _join(self, now_s: float) -> None:
        if now_s < self._append_after_s:
            return
        if self._has_joined:
            # Other entries removed this process while it was paused or
            # disconnected. The claims that it holds may be out of date, so it
            # joins again under a new incarnation.
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
            if m.vm != own.vm and self._peers.must_monitor(m.vm)
        ]
        inactive = [
            m for m in others if self._is_inactive(m, len(others), now_s)
        ]
        if len(others) > 2 and len(inactive) * 2 > len(others):
            # This process has more likely lost its own network connection
            # than most other entries have failed.
            _log.warning("most_members_silent", extra={"silent": len(inactive)})
            return []
        removals = [
            MemberRemoved(m.vm, m.incarnation, not self._is_listed(m.vm))
            for m in inactive
        ]
        paused = [
            MemberRemoved(vm, incarnation, ended=True)
            for vm, incarnation in self.view.may_be_paused.items()
            if not self._is_listed(vm)
        ]
        return removals + paused

    def _is_inactive(self, member: MemberId, others: int, now_s: float) -> bool:
        link = self._peers.links.get(member.vm)
        last_answer_s = self._last_answer_s.setdefault(member, now_s)
        if link is not None:
            # A peer that has answered every request is not inactive, however
            # long ago its last answer came.
            answered_s = (
                now_s if link.unanswered_since_s is None else link.last_answer_s
            )
            self._last_answer_s[member] = last_answer_s = max(
                last_answer_s, answered_s
            )
        # The entries wait for different delays, ordered by name. The first
        # entry appends the removal, and the others read it in the log before
        # their own delays end.
        rank = sorted(self.view.members).index(self.own.vm)
        delay_s = REMOVAL_RANK_DELAY_S * min(rank % MAX_REMOVAL_RANKS, others)
        timeout_s = self._inactivity_timeout_s
        if self._may_hold_alone(member, last_answer_s):
            timeout_s = max(timeout_s, LAST_HOLDER_TIMEOUT_S)
        return now_s - last_answer_s > timeout_s + delay_s

    def _may_hold_alone(self, member: MemberId, last_answer_s: float) -> bool:
        """Whether an inactive entry may know claims that no other entry knows.

        An entry that has sent nothing since another member was removed may not
        have transferred the claims that the two held together. If both are
        removed, each retried key that they held is refused for the full
        window, although a pause of a few seconds would have done no harm.
        Until the inactive entry answers, callers are asked to retry later.
        """
        link = self._peers.links.get(member.vm)
        if not self._is_listed(member.vm) or (
            link is not None and link.is_port_refused
        ):
            return False
        return last_answer_s <= self._removed_s

    def _is_listed(self, vm: VmId) -> bool:
        return self._listed_vms is None or vm in self._listed_vms

    async def _append(self, record: MemberRecord) -> None:
        # The records are idempotent. If the answer to an append is lost, the
        # record is appended again unless the folded state shows the change.
        self._append_after_s = time.monotonic() + APPEND_RETRY_S
        try:
            async with asyncio.timeout(APPEND_RETRY_S):
                await self._platform_log.append(
                    CONTROL_STREAM, encode_record(record)
                )
        except (LogError, TimeoutError) as error:
            _log.warning("member_append_failed", extra={"error": repr(error)})

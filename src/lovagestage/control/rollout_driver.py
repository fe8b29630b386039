"""Advances roll-outs in the entry that holds the roll-out lease.

The driver holds no state of a roll-out that would be lost with the process.
The phase and step are in the log, and the loaded versions are in the sidecars'
heartbeats, so another entry can continue from any point. The duration of a
step is counted from when this process first saw the step. After another entry
takes over, a step therefore lasts longer, never shorter.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Protocol

import mode

from lovagestage.bus.upstreams import UpstreamTable
from lovagestage.control.leasing import LeaseKeeper
from lovagestage.control.reader import ControlReader
from lovagestage.control.writer import RecordWriter, make_change_id
from lovagestage.decisions.routing import UpstreamView
from lovagestage.exceptions import LogError, LovagestageError
from lovagestage.messages.envelope import Order, OrderResult, OrderState
from lovagestage.state.document import RolloutState
from lovagestage.state.records import RolloutProgress
from lovagestage.state.rollout_chart import (
    Observation,
    Position,
    get_next_position,
)
from lovagestage.state.rollouts import (
    ROLLOUT_LEASE,
    Progress,
    Rollout,
    RolloutKey,
)
from lovagestage.types import RolloutPhase, VmId

_log = logging.getLogger(__name__)

DRIVE_INTERVAL_S = 0.5
ORDER_TIMEOUT_S = 5.0
APPEND_TIMEOUT_S = 5.0
MAX_CONCURRENT_LOADS = 2
"""Largest number of engines that load a version at the same time.

More concurrent loads would reach the weight store's rate limit, and an engine
that loads serves fewer requests.
"""
THROTTLE_PAUSE_S = 2.0
LOAD_TIMEOUT_S = 120.0
_FINAL_PHASES = (RolloutPhase.DONE, RolloutPhase.ROLLED_BACK)


class EvidenceSource(Protocol):
    """Evidence for and against the new version of a roll-out."""

    def may_step(self, rollout: Rollout) -> bool:
        """Whether the evidence permits the roll-out's next step."""


class RolloutDriver(mode.Service):
    """Advances all roll-outs while this process holds the roll-out lease.

    Args:
        control: Reader that holds the folded control state.
        lease: Keeper of the roll-out lease.
        writer: Writer that appends progress records to the log.
        upstreams: Connections to the sidecars.
        evidence: Evidence for and against new versions.
    """

    def __init__(
        self,
        control: ControlReader,
        lease: LeaseKeeper,
        writer: RecordWriter,
        upstreams: UpstreamTable,
        evidence: EvidenceSource,
    ) -> None:
        super().__init__()
        self._control = control
        self._lease = lease
        self._writer = writer
        self._upstreams = upstreams
        self._evidence = evidence
        self._step_entered_s: dict[tuple[RolloutKey, int], float] = {}
        self._load_started_s: dict[tuple[VmId, str], float] = {}
        self._pause_until_s = 0.0

    @mode.Service.task
    async def _drive_periodically(self) -> None:
        while not self.should_stop:
            rollouts = self._control.folded.rollouts.get_all()
            is_driver = self._lease.is_held and self._control.is_usable
            # The driver sends load orders to each upstream of the fleet, so
            # it follows all upstreams. If it followed only its subset, a
            # version would count as loaded everywhere while most upstreams
            # lack it.
            has_unfinished = any(
                rollout.progress.phase not in _FINAL_PHASES
                for rollout in rollouts
            )
            if self._upstreams.keep_all_connected(is_driver and has_unfinished):
                for rollout in rollouts:
                    await self._drive_rollout(rollout)
            await self.sleep(DRIVE_INTERVAL_S)

    async def _drive_rollout(self, rollout: Rollout) -> None:
        try:
            if self._needs_loading(rollout):
                await self._load_missing(rollout.spec.new)
            observation = self._observe(rollout)
            position = get_next_position(rollout.progress.position, observation)
            if position != rollout.progress.position:
                await self._append_progress(rollout.progress, position)
        except LovagestageError as error:
            _log.warning(
                "rollout_not_moved",
                extra={"model": rollout.progress.key.model, "code": error.code},
            )

    def _needs_loading(self, rollout: Rollout) -> bool:
        return (
            rollout.progress.phase
            in (RolloutPhase.LOADING, RolloutPhase.STEPPING)
            and not rollout.progress.stop_reason
            and rollout.spec.state is RolloutState.RUNNING
        )

    def _observe(self, rollout: Rollout) -> Observation:
        spec, progress = rollout.spec, rollout.progress
        views = self._get_engines()
        entered_s = self._get_entered_s(progress)
        has_lasted = time.monotonic() - entered_s >= spec.step_min_s
        return Observation(
            loaded=bool(views) and not _get_missing(views, spec.new),
            old_loaded=any(spec.old in view.versions for view in views),
            step_due=has_lasted and self._evidence.may_step(rollout),
            last_step=progress.step >= len(spec.steps) - 1,
            paused=spec.state is RolloutState.PAUSED,
            aborted=spec.state is RolloutState.ABORTED,
            stopped=bool(progress.stop_reason),
        )

    def _get_engines(self) -> list[UpstreamView]:
        # The upstream of a plain service never loads a version. If such
        # upstreams were counted, no roll-out would leave its first phase.
        return [v for v in self._upstreams.get_views() if v.is_engine]

    def _get_entered_s(self, progress: Progress) -> float:
        key = (progress.key, progress.count)
        if key not in self._step_entered_s:
            self._step_entered_s = {
                other: entered_s
                for other, entered_s in self._step_entered_s.items()
                if other[0] != progress.key
            }
            self._step_entered_s[key] = time.monotonic()
        return self._step_entered_s[key]

    async def _load_missing(self, version: str) -> None:
        now_s = time.monotonic()
        missing = _get_missing(self._get_engines(), version)
        self._load_started_s = {
            key: started_s
            for key, started_s in self._load_started_s.items()
            if (key[1] != version or key[0] in missing)
            and now_s - started_s < LOAD_TIMEOUT_S
        }
        if now_s < self._pause_until_s:
            return
        free_slots = MAX_CONCURRENT_LOADS - len(self._load_started_s)
        not_started = [
            vm for vm in missing if (vm, version) not in self._load_started_s
        ]
        await asyncio.gather(
            *(
                self._order_load(vm, version)
                for vm in not_started[: max(0, free_slots)]
            )
        )

    async def _order_load(self, vm: VmId, version: str) -> None:
        fencing = self._lease.get_fencing()
        answer = await self._upstreams.ask(
            vm, Order(ROLLOUT_LEASE, fencing, version), ORDER_TIMEOUT_S
        )
        if not isinstance(answer, OrderResult):
            return
        if answer.state is OrderState.THROTTLED:
            self._pause_until_s = time.monotonic() + THROTTLE_PAUSE_S
        elif answer.state in (OrderState.STARTED, OrderState.DONE):
            self._load_started_s[(vm, version)] = time.monotonic()

    async def _append_progress(
        self, progress: Progress, position: Position
    ) -> None:
        record = RolloutProgress(
            make_change_id(),
            progress.key.service,
            progress.key.model,
            progress.key.revision,
            self._lease.get_fencing(),
            progress.count,
            position.phase,
            position.step,
        )
        try:
            result = await self._writer.append(record, APPEND_TIMEOUT_S)
        except LogError as error:
            # The next iteration reads from the log whether the record was
            # appended, and continues from the folded progress.
            _log.warning("rollout_append_failed", extra={"code": error.code})
            return
        _log.info(
            "rollout_moved",
            extra={
                "service": progress.key.service,
                "model": progress.key.model,
                "phase": position.phase.value,
                "step": position.step,
                "outcome": result.outcome.value,
            },
        )


def _get_missing(views: list[UpstreamView], version: str) -> list[VmId]:
    return [view.vm for view in views if version not in view.versions]

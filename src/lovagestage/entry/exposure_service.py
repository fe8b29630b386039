"""Runs the exposure gates of all roll-outs in force at one entry."""

from __future__ import annotations

import asyncio
import logging
import random
import time

import mode

from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.transport import PeerId
from lovagestage.control.reader import ControlReader
from lovagestage.control.writer import RecordWriter
from lovagestage.decisions.admission import (
    Choice,
    Trial,
    is_in_rollout,
    withdraw_stopped,
)
from lovagestage.decisions.exposure import ExposureGate, StopReason
from lovagestage.exceptions import LogError
from lovagestage.messages.envelope import Hello, Message
from lovagestage.messages.peers import EvidenceReport
from lovagestage.state.document import ServiceDocument, get_open_versions
from lovagestage.state.records import RolloutStop
from lovagestage.state.rollouts import Rollout, RolloutKey
from lovagestage.timers import TimerService
from lovagestage.types import (
    ChangeId,
    ModelVersion,
    RolloutPhase,
    WorkspaceId,
    parse_model_version,
)

_log = logging.getLogger(__name__)

PUBLISH_INTERVAL_S = 1.0
APPEND_TIMEOUT_S = 5.0
APPEND_RETRY_S = 0.5
BACKUP_DELAY_S = 3.0
"""Time in seconds after which an entry that received a stop from a peer appends
it too, in case the entry that found the stop failed before it could append. The
shared change id makes both appends one change."""


class ExposureService(mode.Service):
    """Assigns requests to versions, and stops roll-outs.

    A stop takes effect at this entry with the observation that proves it; it
    waits neither for the log nor for another entry. The other entries receive
    it immediately and again each second, and it is appended to the log as soon
    as the log accepts the append.

    Args:
        control: The state that is folded from the log.
        writer: Appends stops to the log.
        peers: Connections to the other entries.
        timers: Timer service.
        hub: Delivers the other entries' evidence.
        own: Name and incarnation of this process.
        rng: Source of randomness for assignments.
        has_rater: Whether a rater is configured, so that ratings will arrive.
    """

    def __init__(
        self,
        control: ControlReader,
        writer: RecordWriter,
        peers: LinkTable,
        timers: TimerService,
        hub: Hub,
        own: Hello,
        rng: random.Random,
        has_rater: bool,
    ) -> None:
        super().__init__()
        self._control = control
        self._writer = writer
        self._peers = peers
        self._own = own
        self._rng = rng
        self._has_rater = has_rater
        self._gates: dict[RolloutKey, ExposureGate] = {}
        self._stopped_at_s: dict[RolloutKey, float] = {}
        self._stop_found = asyncio.Event()
        hub.register(EvidenceReport, self._on_report)
        control.subscribe(self._apply_rollouts)
        timers.subscribe(PUBLISH_INTERVAL_S, self._on_publish_due)

    def get_document(self, document: ServiceDocument) -> ServiceDocument:
        """Returns the document with the stopped versions withdrawn.

        Args:
            document: Document of a service.
        """
        stopped = [
            gate.spec.new
            for key, gate in self._gates.items()
            if key.service == document.service and gate.stop_reason is not None
        ]
        return withdraw_stopped(document, stopped)

    def choose_version(
        self,
        name: str,
        resolved: ModelVersion,
        document: ServiceDocument,
        workspace: WorkspaceId,
    ) -> Choice:
        """Chooses between the old and the new version of a roll-out in force.

        Args:
            name: The service, model or version that the request names.
            resolved: The version that the request gets without a roll-out.
            document: Document of the service, from `get_document`.
            workspace: The workspace that sent the request.

        Returns:
            The version, with the trial where a roll-out has assigned it.
        """
        rollout = self._control.folded.rollouts.get(
            document.service, resolved.model
        )
        if rollout is None:
            return Choice(resolved)
        allowed = get_open_versions(document, workspace)
        if not is_in_rollout(name, resolved, rollout.spec, allowed):
            return Choice(resolved)
        assignment = self._get_gate(rollout).assign(self._rng)
        spec = rollout.spec
        version = parse_model_version(
            spec.new if assignment.is_new else spec.old
        )
        assert version is not None
        return Choice(version, Trial(rollout.progress.key, assignment))

    def add_outcome(self, trial: Trial, failed: bool) -> None:
        """Records the outcome of a request that was assigned at this entry.

        Args:
            trial: The assignment of the request.
            failed: Whether the request failed.
        """
        gate = self._gates.get(trial.key)
        if gate is not None:
            gate.add_outcome(trial.assignment, failed)
            self._record_stop(trial.key, gate)

    def add_rating(self, trial: Trial, score: float) -> None:
        """Records the rating of an answer whose request was assigned here.

        Args:
            trial: The assignment of the request.
            score: The rating, from 0 to 1.
        """
        gate = self._gates.get(trial.key)
        if gate is not None:
            gate.add_rating(trial.assignment.is_new, score)
            self._record_stop(trial.key, gate)

    def may_step(self, rollout: Rollout) -> bool:
        """Returns whether a roll-out may proceed to its next step.

        See `rollout_driver.EvidenceSource`. Without a rater no evidence is
        required: any roll-out that was not stopped may proceed.

        Args:
            rollout: The roll-out.
        """
        gate = self._get_gate(rollout)
        if self._has_rater:
            return gate.has_sufficient_evidence()
        return gate.stop_reason is None

    def get_dump(self) -> list[dict[str, object]]:
        """Returns the state of each gate, for the state dump."""
        return [
            {
                "service": key.service,
                "model": key.model,
                "revision": key.revision,
                "step": gate.step,
                "share": gate.get_share(),
                "held": gate.is_budget_spent(),
                "exposed": gate.exposed,
                "has_proof": gate.has_sufficient_evidence(),
                "stop_reason": gate.stop_reason and gate.stop_reason.value,
                "is_recorded": self._is_recorded(key),
            }
            for key, gate in self._gates.items()
        ]

    def _is_recorded(self, key: RolloutKey) -> bool:
        rollout = self._control.folded.rollouts.get(key.service, key.model)
        return (
            rollout is not None
            and rollout.progress.key == key
            and bool(rollout.progress.stop_reason)
        )

    def _get_gate(self, rollout: Rollout) -> ExposureGate:
        key = rollout.progress.key
        gate = self._gates.get(key)
        if gate is None:
            gate = ExposureGate(
                rollout.spec,
                key.revision,
                len(self._peers.get_listed()) + 1,
                self._own.vm,
                self._own.incarnation,
            )
            self._gates[key] = gate
        self._apply_progress(gate, rollout)
        return gate

    def _apply_progress(self, gate: ExposureGate, rollout: Rollout) -> None:
        progress = rollout.progress
        gate.raise_entry_count(len(self._peers.get_listed()) + 1)
        is_done = progress.phase is RolloutPhase.DONE
        step = len(rollout.spec.steps) if is_done else progress.step
        gate.apply_recorded_step(step, rollout.get_share())
        if progress.stop_reason:
            gate.stop(_parse_stop_reason(progress.stop_reason))
            self._record_stop(progress.key, gate)

    def _apply_rollouts(self) -> None:
        # Gates are created even where no request needs them, because a stop
        # from another entry is applied to an existing gate only.
        rollouts = self._control.folded.rollouts.get_all()
        for rollout in rollouts:
            self._get_gate(rollout)
        keys = {rollout.progress.key for rollout in rollouts}
        for key in self._gates.keys() - keys:
            del self._gates[key]
            self._stopped_at_s.pop(key, None)

    def _record_stop(self, key: RolloutKey, gate: ExposureGate) -> None:
        if gate.stop_reason is None or key in self._stopped_at_s:
            return
        self._stopped_at_s[key] = time.monotonic()
        _log.warning(
            "rollout_stopped",
            extra={
                "service": key.service,
                "model": key.model,
                "version": gate.spec.new,
                "reason": gate.stop_reason.value,
                "exposed": gate.exposed,
            },
        )
        self._publish_evidence(key, gate)
        self._stop_found.set()

    def _on_publish_due(self) -> None:
        for key, gate in self._gates.items():
            self._publish_evidence(key, gate)

    def _publish_evidence(self, key: RolloutKey, gate: ExposureGate) -> None:
        report = EvidenceReport(key.service, key.model, gate.make_evidence())
        # The report goes to all entries instead of the subset: an entry that
        # misses a stop continues the roll-out.
        for vm in self._peers.get_listed():
            self._peers.send(vm, report)

    def _on_report(self, peer: PeerId, message: Message) -> None:
        del peer
        assert isinstance(message, EvidenceReport)
        epoch = message.evidence.epoch
        key = RolloutKey(message.service, message.model, epoch)
        gate = self._gates.get(key)
        if gate is not None:
            gate.apply_evidence(message.evidence)
            self._record_stop(key, gate)

    @mode.Service.task
    async def _append_stops(self) -> None:
        while not self.should_stop:
            self._stop_found.clear()
            for key, gate in list(self._gates.items()):
                if self._is_append_due(key, gate):
                    await self._append_stop(key, gate)
            try:
                await asyncio.wait_for(self._stop_found.wait(), APPEND_RETRY_S)
            except TimeoutError:
                pass

    def _is_append_due(self, key: RolloutKey, gate: ExposureGate) -> bool:
        stopped_at_s = self._stopped_at_s.get(key)
        if stopped_at_s is None or self._is_recorded(key):
            return False
        waited_s = time.monotonic() - stopped_at_s
        return (
            gate.stop_reason is not StopReason.PEER
            or waited_s >= BACKUP_DELAY_S
        )

    async def _append_stop(self, key: RolloutKey, gate: ExposureGate) -> None:
        assert gate.stop_reason is not None
        record = RolloutStop(
            _make_stop_id(key),
            key.service,
            key.model,
            key.revision,
            gate.stop_reason.value,
        )
        try:
            await self._writer.append(record, APPEND_TIMEOUT_S)
        except LogError as error:
            # The stop is in effect here and at the peers without the log.
            _log.warning(
                "rollout_stop_not_appended", extra={"code": error.code}
            )


def _make_stop_id(key: RolloutKey) -> ChangeId:
    """Makes the change id of a stop, which is the same at all entries.

    However many entries append the stop, it is one change.
    """
    return ChangeId(f"stop-{key.service}-{key.model}-{key.revision}")


def _parse_stop_reason(recorded: str) -> StopReason:
    if recorded == StopReason.OPERATOR.value:
        return StopReason.OPERATOR
    return StopReason.PEER

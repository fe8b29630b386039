"""Progress of roll-outs, folded from the log.

A roll-out is identified by service, model and the revision of the document that
last changed the roll-out, so an operator's edit always starts a new roll-out.
Only the holder of the roll-out lease moves a roll-out forward. A stop needs no
lease: any process may append it. A stop can't be reverted and lasts until the
operator edits the roll-out.
"""

from __future__ import annotations

import dataclasses

import msgspec

from lovagestage.state.document import RolloutSpec, RolloutState
from lovagestage.state.documents import Documents
from lovagestage.state.leases import Leases
from lovagestage.state.outcomes import (
    ChangeResult,
    Outcome,
    OutcomeEntry,
    OutcomeTable,
)
from lovagestage.state.records import RolloutProgress, RolloutStop
from lovagestage.state.rollout_chart import Position
from lovagestage.types import LeaseId, Offset, RolloutPhase, ServiceId

ROLLOUT_LEASE = LeaseId("rollout")
MAX_OUTCOMES = 512

_NO_SHARE = frozenset(
    (
        RolloutPhase.LOADING,
        RolloutPhase.ROLLING_BACK,
        RolloutPhase.ROLLED_BACK,
    )
)


class RolloutKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies a roll-out.

    Attributes:
        service: Name of the service.
        model: Name of the model.
        revision: Revision of the document that last changed the roll-out.
    """

    service: ServiceId
    model: str
    revision: int


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a roll-out.

    Attributes:
        key: Identifies the roll-out.
        count: Number of moves and stops; the next move names this number as
            its base.
        phase: Phase of the roll-out.
        step: Index into the document's steps.
        stop_reason: Reason for which the roll-out was stopped; empty if it
            was not stopped.
    """

    key: RolloutKey
    count: int = 0
    phase: RolloutPhase = RolloutPhase.LOADING
    step: int = 0
    stop_reason: str = ""

    @property
    def position(self) -> Position:
        """Phase and step of the roll-out."""
        return Position(self.phase, self.step)


class _EncodedState(msgspec.Struct, frozen=True, array_like=True):
    progress: list[Progress]
    outcomes: list[OutcomeEntry]


@dataclasses.dataclass(frozen=True)
class Rollout:
    """A roll-out in force: the operator's specification and the progress.

    Attributes:
        spec: Specification of the roll-out in the document in force.
        progress: Progress of the roll-out.
    """

    spec: RolloutSpec
    progress: Progress

    def get_share(self) -> float:
        """Returns the new version's share, from 0 to 1, of new requests."""
        progress = self.progress
        if progress.stop_reason or self.spec.state is RolloutState.ABORTED:
            return 0.0
        if progress.phase is RolloutPhase.DONE:
            return 1.0
        if progress.phase in _NO_SHARE:
            return 0.0
        return self.spec.steps[min(progress.step, len(self.spec.steps) - 1)]


class Rollouts:
    """Progress of the roll-outs of all services.

    Args:
        documents: Documents in force, of the same control state.
        leases: Leases, of the same control state.

    Attributes:
        outcomes: Results of the latest roll-out records.
    """

    name = "rollouts"
    record_types: tuple[type[msgspec.Struct], ...] = (
        RolloutProgress,
        RolloutStop,
    )

    def __init__(self, documents: Documents, leases: Leases) -> None:
        self.outcomes = OutcomeTable(MAX_OUTCOMES)
        self._documents = documents
        self._leases = leases
        self._progress: dict[RolloutKey, Progress] = {}

    def get(self, service: ServiceId, model: str) -> Rollout | None:
        """Returns the roll-out in force of a model; None if it has none."""
        in_force = self._documents.services.get(service)
        spec = in_force.document.rollouts.get(model) if in_force else None
        if in_force is None or spec is None:
            return None
        key = RolloutKey(service, model, in_force.rollout_revisions[model])
        return Rollout(spec, self._progress.get(key, Progress(key)))

    def get_all(self) -> list[Rollout]:
        """Returns all roll-outs in force."""
        found = [
            self.get(service, model)
            for service, in_force in self._documents.services.items()
            for model in in_force.document.rollouts
        ]
        return [rollout for rollout in found if rollout is not None]

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies a move or a stop if its roll-out is still in force."""
        assert isinstance(record, RolloutProgress | RolloutStop)
        if record.change_id in self.outcomes:
            return
        rollout = self.get(record.service, record.model)
        outcome = Outcome.CONFLICT
        count = 0
        if (
            rollout is not None
            and rollout.progress.key.revision == record.revision
        ):
            changed = self._apply_to_progress(rollout.progress, record)
            if changed is not None:
                outcome = Outcome.ACCEPTED
                self._store_progress(changed)
            count = (changed or rollout.progress).count
        self.outcomes.add(
            record.change_id, ChangeResult(outcome, count, offset)
        )

    def encode(self) -> bytes:
        """Returns the canonical encoding: equal states give equal bytes."""
        progress = sorted(self._progress.values(), key=lambda p: p.key)
        return msgspec.msgpack.encode(
            _EncodedState(progress, self.outcomes.get_entries())
        )

    def restore(self, data: bytes) -> None:
        """Replaces this state by an encoded one.

        Raises:
            msgspec.MsgspecError: The bytes are not an encoded state.
        """
        encoded = msgspec.msgpack.decode(data, type=_EncodedState)
        self._progress = {
            progress.key: progress for progress in encoded.progress
        }
        self.outcomes.restore(encoded.outcomes)

    def _apply_to_progress(
        self, progress: Progress, record: RolloutProgress | RolloutStop
    ) -> Progress | None:
        if isinstance(record, RolloutStop):
            if progress.stop_reason:
                return None
            return msgspec.structs.replace(
                progress, stop_reason=record.reason, count=progress.count + 1
            )
        # The fencing number is compared in the fold and not only by the
        # writer. A holder that was paused until its lease expired may append
        # a move that it decided on before, and every reader must reject that
        # move.
        if record.fencing != self._leases.get_fencing(ROLLOUT_LEASE):
            return None
        if record.base != progress.count:
            return None
        return msgspec.structs.replace(
            progress,
            phase=record.phase,
            step=record.step,
            count=progress.count + 1,
        )

    def _store_progress(self, progress: Progress) -> None:
        key = progress.key
        for other in list(self._progress):
            if (other.service, other.model) == (key.service, key.model):
                del self._progress[other]
        self._progress[key] = progress

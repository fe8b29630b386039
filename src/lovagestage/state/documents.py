"""Service documents in force, folded from the `control` stream."""

from __future__ import annotations

import dataclasses

import msgspec

from lovagestage.state.document import ServiceDocument
from lovagestage.state.operators import Operators
from lovagestage.state.outcomes import (
    ChangeResult,
    Outcome,
    OutcomeEntry,
    OutcomeTable,
)
from lovagestage.state.records import DocumentChange
from lovagestage.types import Offset, ServiceId

MAX_OUTCOMES = 4096
"""Number of change outcomes that are remembered.

At 1,600 changes a day, the outcomes cover two and a half days.
"""


@dataclasses.dataclass(frozen=True)
class ServiceInForce:
    """A service's document in force, with its revision.

    Attributes:
        revision: Number of accepted changes of the service's document.
        document: The decoded document.
        source: The document's bytes as the operator appended them.
        offset: Log offset of the record that put the document in force.
        rollout_revisions: Revision that last changed the roll-out, by model.
    """

    revision: int
    document: ServiceDocument
    source: bytes
    offset: Offset
    rollout_revisions: dict[str, int]


class _EncodedService(msgspec.Struct, frozen=True, array_like=True):
    service: ServiceId
    revision: int
    source: bytes
    offset: Offset
    rollout_revisions: dict[str, int]


class _EncodedState(msgspec.Struct, frozen=True, array_like=True):
    services: list[_EncodedService]
    outcomes: list[OutcomeEntry]


class Documents:
    """Documents in force by service, with the results of recent changes.

    Args:
        operators: Operators in force, who decide which changes are permitted.

    Attributes:
        services: Documents in force, by service.
        outcomes: Results of the latest changes.
    """

    name = "documents"
    record_types: tuple[type[msgspec.Struct], ...] = (DocumentChange,)

    def __init__(self, operators: Operators) -> None:
        self._operators = operators
        self.services: dict[ServiceId, ServiceInForce] = {}
        self.outcomes = OutcomeTable(MAX_OUTCOMES)

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies a change if its author may edit and its base is in force."""
        assert isinstance(record, DocumentChange)
        if record.change_id in self.outcomes:
            return
        current = self.services.get(record.service)
        revision = current.revision if current else 0
        outcome = Outcome.ACCEPTED
        document = _decode_document(record.document)
        if document is None or document.service != record.service:
            outcome = Outcome.INVALID
        elif not self._may_edit(record, current, document):
            outcome = Outcome.FORBIDDEN
        elif record.base != revision:
            outcome = Outcome.CONFLICT
        else:
            assert document is not None
            revision += 1
            self.services[record.service] = ServiceInForce(
                revision,
                document,
                record.document,
                offset,
                _get_rollout_revisions(current, document, revision),
            )
        self.outcomes.add(
            record.change_id, ChangeResult(outcome, revision, offset)
        )

    def _may_edit(
        self,
        record: DocumentChange,
        current: ServiceInForce | None,
        document: ServiceDocument,
    ) -> bool:
        # The author needs the right to edit for both teams if a change names
        # another team as the owner. Otherwise an operator could take over
        # another team's document by naming their own team as its owner.
        teams = {document.team}
        if current is not None:
            teams.add(current.document.team)
        return all(self._operators.may_edit(record, team) for team in teams)

    def encode(self) -> bytes:
        """Returns the canonical encoding: equal states give equal bytes."""
        services = [
            _EncodedService(
                name,
                service.revision,
                service.source,
                service.offset,
                dict(sorted(service.rollout_revisions.items())),
            )
            for name, service in sorted(self.services.items())
        ]
        return msgspec.msgpack.encode(
            _EncodedState(services, self.outcomes.get_entries())
        )

    def restore(self, data: bytes) -> None:
        """Replaces this state by an encoded one.

        Raises:
            msgspec.MsgspecError: The bytes are not an encoded state.
        """
        encoded = msgspec.msgpack.decode(data, type=_EncodedState)
        self.services = {
            entry.service: ServiceInForce(
                entry.revision,
                msgspec.json.decode(entry.source, type=ServiceDocument),
                entry.source,
                entry.offset,
                entry.rollout_revisions,
            )
            for entry in encoded.services
        }
        self.outcomes.restore(encoded.outcomes)


def _get_rollout_revisions(
    current: ServiceInForce | None, document: ServiceDocument, revision: int
) -> dict[str, int]:
    unchanged = {
        model: current.rollout_revisions[model]
        for model, spec in document.rollouts.items()
        if current is not None and current.document.rollouts.get(model) == spec
    }
    return {
        model: unchanged.get(model, revision) for model in document.rollouts
    }


def _decode_document(source: bytes) -> ServiceDocument | None:
    try:
        return msgspec.json.decode(source, type=ServiceDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None

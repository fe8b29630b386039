"""Edits of a service document, as the short commands make them."""

from __future__ import annotations

import msgspec

from lovagestage.exceptions import DocumentInvalidError, ServiceUnknownError
from lovagestage.operations.operator_client import (
    Edit,
    OperatorClient,
    get_services_of,
)
from lovagestage.state.document import (
    RolloutSpec,
    RolloutState,
    ServiceDocument,
    VersionState,
)


def make_withdrawal(version: str) -> Edit:
    """An edit that withdraws a version and aborts roll-outs to it."""

    def edit(document: ServiceDocument) -> ServiceDocument:
        versions = [
            msgspec.structs.replace(v, state=VersionState.WITHDRAWN)
            if v.name == version
            else v
            for v in document.versions
        ]
        rollouts = {
            model: spec
            for model, spec in document.rollouts.items()
            if version not in (spec.old, spec.new)
        }
        return msgspec.structs.replace(
            document, versions=versions, rollouts=rollouts
        )

    return edit


def make_rollout_edit(model: str, wanted: RolloutSpec | RolloutState) -> Edit:
    """An edit that sets a model's roll-out, or only its state."""

    def edit(document: ServiceDocument) -> ServiceDocument:
        if isinstance(wanted, RolloutSpec):
            spec = wanted
        elif model in document.rollouts:
            spec = msgspec.structs.replace(
                document.rollouts[model], state=wanted
            )
        else:
            raise DocumentInvalidError(
                f"rollouts.{model}: There is no roll-out of this model."
            )
        rollouts = {**document.rollouts, model: spec}
        return msgspec.structs.replace(document, rollouts=rollouts)

    return edit


def resolve_service(
    client: OperatorClient, service: str | None, version: str
) -> str:
    """The service meant: the named one, or the only one with the version.

    Raises:
        ServiceUnknownError: None or several have it.
    """
    if service is not None:
        return service
    documents = {n: h.document for n, h in client.control.services.items()}
    names = get_services_of(documents, version)
    if len(names) != 1:
        raise ServiceUnknownError(
            f"Services with {version!r}: {sorted(names)}; expected one, or"
            " name it with --service."
        )
    return names[0]

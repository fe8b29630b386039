"""Edits of a service document, made by `withdraw` and `rollout` commands."""

from __future__ import annotations

import msgspec

from lovagestage.exceptions import DocumentInvalidError, UnknownServiceError
from lovagestage.operations.operator_client import (
    Edit,
    OperatorClient,
    find_services_with_version,
)
from lovagestage.state.document import (
    RolloutSpec,
    RolloutState,
    ServiceDocument,
    VersionState,
)


def make_withdrawal_edit(version: str) -> Edit:
    """Makes an edit that withdraws a version.

    The edit also removes each roll-out that has the version as its old or new
    version.
    """

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


def make_rollout_edit(model: str, target: RolloutSpec | RolloutState) -> Edit:
    """Makes an edit that sets the roll-out of a model, or only its state.

    Args:
        model: Model whose roll-out is edited.
        target: The complete roll-out, or the new state of an existing one.

    Returns:
        The edit. It raises `DocumentInvalidError` where only the state is
        given and the document has no roll-out of the model.
    """

    def edit(document: ServiceDocument) -> ServiceDocument:
        if isinstance(target, RolloutSpec):
            spec = target
        elif model in document.rollouts:
            spec = msgspec.structs.replace(
                document.rollouts[model], state=target
            )
        else:
            raise DocumentInvalidError(
                f"rollouts.{model}: This model has no roll-out."
            )
        rollouts = {**document.rollouts, model: spec}
        return msgspec.structs.replace(document, rollouts=rollouts)

    return edit


def resolve_service(
    client: OperatorClient, service: str | None, version: str
) -> str:
    """Returns the service that a command applies to.

    Args:
        client: Client that has read the log.
        service: Service named by the operator, or None.
        version: Version by which the service is found if none is named.

    Raises:
        UnknownServiceError: No service was named, and no service or several
            services have the version.
    """
    if service is not None:
        return service
    documents = {
        name: in_force.document
        for name, in_force in client.control.services.items()
    }
    names = find_services_with_version(documents, version)
    if len(names) != 1:
        raise UnknownServiceError(
            f"Services with {version!r}: {sorted(names)}; expected exactly"
            " one; otherwise name the service with --service."
        )
    return names[0]

"""Whether a request may run where it is about to: by the document in force.

Asked twice, by the entry right before a request is sent and by the sidecar
right before it runs: either may act on an older document than the other, and
the later one decides.
"""

from __future__ import annotations

from lovagestage.control.reader import ControlReader
from lovagestage.decisions.plain_calls import POOL_MODEL, has_pool
from lovagestage.decisions.sessions import is_pinned
from lovagestage.exceptions import (
    ModelNotAllowedError,
    NotReadyError,
    RouteNotAllowedError,
    VersionWithdrawnError,
)
from lovagestage.execution.request import Request
from lovagestage.state.document import (
    ServiceDocument,
    get_allowed_versions,
    get_open_versions,
    is_version_granted,
)
from lovagestage.types import ModelVersion, PoolId, WorkspaceId

WITHDRAWN_RETRY_S = 1
"""When a refused caller may come back: another version is chosen then."""


class RequestRights:
    """The entry's check of a request that it is about to send.

    A request may have been held after its admission, for instance until a
    silent upstream is heard again. Sent without this check, it would reach a
    sidecar that was paused, has not read of a withdrawal yet and would run it.

    Args:
        control: Documents in force.
    """

    def __init__(self, control: ControlReader) -> None:
        self._control = control

    def check(self, request: Request) -> None:
        """Passes a request that may still run.

        Raises:
            RequestRefusedError: It may not any more.
        """
        service = self._control.services.get(request.service)
        if service is None:
            raise NotReadyError(
                "The entry has lost the document of the service.",
                retry_after_s=WITHDRAWN_RETRY_S,
            )
        version = request.version
        if version.model == POOL_MODEL:
            pool = PoolId(version.version)
            check_pool(service.document, request.workspace, pool)
            return
        check_version(
            service.document,
            request.workspace,
            version,
            in_session=is_pinned(request.session, version),
        )


def check_version(
    document: ServiceDocument,
    workspace: WorkspaceId,
    version: ModelVersion,
    *,
    in_session: bool,
) -> None:
    """Passes a request of a workspace for a version.

    Args:
        document: In force here.
        workspace: Who asks.
        version: Where the request is about to run.
        in_session: Whether an open session is pinned to the version.

    Raises:
        ModelNotAllowedError: The workspace may not use the version.
        VersionWithdrawnError: The version takes no new work.
    """
    if not is_version_granted(document, workspace, version):
        raise ModelNotAllowedError(
            f"Workspace {workspace!r} may not use {str(version)!r}."
        )
    get_versions = get_allowed_versions if in_session else get_open_versions
    if version not in get_versions(document, workspace):
        raise VersionWithdrawnError(
            f"The version {str(version)!r} takes no new work.",
            retry_after_s=WITHDRAWN_RETRY_S,
        )


def check_pool(
    document: ServiceDocument, workspace: WorkspaceId, pool: PoolId
) -> None:
    """Passes a call of a workspace to a pool of a plain service.

    Raises:
        RouteNotAllowedError: The workspace has no route there.
    """
    if not has_pool(document, workspace, pool):
        raise RouteNotAllowedError(
            f"Workspace {workspace!r} has no route to pool {pool!r}."
        )

"""Checks whether a request may run, by the document in force.

The check is made twice: by the entry immediately before it sends a request, and
by the sidecar immediately before it runs the request. Either process may use an
older document than the other, and the later check decides.
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
"""Seconds after which a refused caller may retry; another version is chosen
then."""


class RequestPermissions:
    """The entry's check of a request that it is about to send.

    A request may have been held after its admission, for instance while the
    dispatcher waited for an upstream that had stopped answering. Sent without
    this check, it could reach a sidecar that was paused and has not read of a
    withdrawal yet, and that sidecar would run it.

    Args:
        control: Documents in force.
    """

    def __init__(self, control: ControlReader) -> None:
        self._control = control

    def check(self, request: Request) -> None:
        """Checks that a request may still run.

        Args:
            request: The request.

        Raises:
            RequestRefusedError: The request may no longer run.
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
    """Checks that a workspace may send a request to a version.

    Args:
        document: The document in force at this process.
        workspace: The workspace that sent the request.
        version: Version that the request is about to run on.
        in_session: Whether an open session is pinned to the version.

    Raises:
        ModelNotAllowedError: The workspace may not use the version.
        VersionWithdrawnError: The version accepts no new work.
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
    """Checks that a workspace may call a pool of a plain service.

    Args:
        document: The document in force at this process.
        workspace: The workspace that made the call.
        pool: The pool.

    Raises:
        RouteNotAllowedError: The workspace has no route to the pool.
    """
    if not has_pool(document, workspace, pool):
        raise RouteNotAllowedError(
            f"Workspace {workspace!r} has no route to pool {pool!r}."
        )

"""Which workspace a caller's API key belongs to."""

from __future__ import annotations

import dataclasses

from aiohttp import web

from lovagestage.control import ControlReader
from lovagestage.document import ServiceDocument, get_key_digest
from lovagestage.exceptions import NotReadyError, WrongKeyError
from lovagestage.keyed_refusals import get_progress
from lovagestage.trials import Trials
from lovagestage.types import WorkspaceId

_BEARER = "Bearer "


@dataclasses.dataclass(frozen=True)
class Caller:
    """Who asks, by its API key.

    Attributes:
        workspace: The workspace.
        document: The document in force that names it.
    """

    workspace: WorkspaceId
    document: ServiceDocument


class Authenticator:
    """Finds callers by their API keys.

    Args:
        control: Configuration in force.
        trials: Knows which versions are stopped.
    """

    def __init__(self, control: ControlReader, trials: Trials) -> None:
        self._control = control
        self._trials = trials

    def get_caller(self, request: web.Request) -> Caller:
        """Finds who sent a request.

        Raises:
            NotReadyError: No configuration is in force.
            WrongKeyError: The API key belongs to no workspace.
        """
        if not self._control.services:
            raise NotReadyError(
                "No service document is in force yet.", retry_after_s=1
            )
        header = request.headers.get("Authorization", "")
        digest = get_key_digest(header.removeprefix(_BEARER))
        for service in self._control.services.values():
            for name, workspace in service.document.workspaces.items():
                if digest in workspace.key_digests:
                    get_progress(request).workspace = name
                    document = self._trials.get_document(service.document)
                    return Caller(name, document)
        raise WrongKeyError("The API key belongs to no workspace.")

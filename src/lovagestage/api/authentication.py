"""Which workspace a caller's API key belongs to."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from aiohttp import web

from lovagestage.control.reader import ControlReader
from lovagestage.entry.keyed_refusals import get_progress
from lovagestage.entry.trials import Trials
from lovagestage.exceptions import NotReadyError, WrongKeyError
from lovagestage.state.document import ServiceDocument, get_key_digest
from lovagestage.state.documents import ServiceInForce
from lovagestage.state.fold import ControlState
from lovagestage.types import Offset, ServiceId, WorkspaceId

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
        self._index: dict[str, Caller] = {}
        self._indexed: tuple[ControlState, Offset] | None = None

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
        owner = self._get_index().get(digest)
        if owner is None:
            raise WrongKeyError("The API key belongs to no workspace.")
        get_progress(request).workspace = owner.workspace
        document = self._trials.get_document(owner.document)
        return dataclasses.replace(owner, document=document)

    def _get_index(self) -> dict[str, Caller]:
        """Owners by key digest, made anew where records have come."""
        folded = self._control.folded
        current = (folded, folded.next_offset)
        if self._indexed != current:
            self._index = _make_index(self._control.services)
            self._indexed = current
        return self._index


def _make_index(
    services: Mapping[ServiceId, ServiceInForce],
) -> dict[str, Caller]:
    index: dict[str, Caller] = {}
    for service in services.values():
        for name, workspace in service.document.workspaces.items():
            owner = Caller(name, service.document)
            for digest in workspace.key_digests:
                # The first service that names a key keeps it.
                index.setdefault(digest, owner)
    return index

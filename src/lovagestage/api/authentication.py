"""Finds the workspace that a caller's API key belongs to."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from aiohttp import web

from lovagestage.control.reader import ControlReader
from lovagestage.entry.answer_tracking import AnswerTracker
from lovagestage.entry.keyed_refusals import get_progress
from lovagestage.exceptions import InvalidApiKeyError, NotReadyError
from lovagestage.state.document import ServiceDocument, get_key_digest
from lovagestage.state.documents import ServiceInForce
from lovagestage.state.fold import ControlState
from lovagestage.types import Offset, ServiceId, WorkspaceId

_BEARER = "Bearer "


@dataclasses.dataclass(frozen=True)
class Caller:
    """The sender of a request, as its API key identifies it.

    Attributes:
        workspace: The workspace that the API key belongs to.
        document: The service document in force that lists the API key.
    """

    workspace: WorkspaceId
    document: ServiceDocument


class Authenticator:
    """Identifies callers by their API keys.

    Args:
        control: Reader of the configuration in force.
        trials: Roll-outs, which remove stopped versions from documents.
    """

    def __init__(self, control: ControlReader, trials: AnswerTracker) -> None:
        self._control = control
        self._trials = trials
        self._index: dict[str, Caller] = {}
        self._indexed_state: tuple[ControlState, Offset] | None = None

    def identify_caller(self, request: web.Request) -> Caller:
        """Identifies the caller that sent a request.

        Raises:
            NotReadyError: No configuration is in force.
            InvalidApiKeyError: The API key belongs to no workspace.
        """
        if not self._control.services:
            raise NotReadyError(
                "No service document is in force yet.", retry_after_s=1
            )
        header = request.headers.get("Authorization", "")
        digest = get_key_digest(header.removeprefix(_BEARER))
        caller = self._get_index().get(digest)
        if caller is None:
            raise InvalidApiKeyError("The API key belongs to no workspace.")
        get_progress(request).workspace = caller.workspace
        document = self._trials.get_document(caller.document)
        return dataclasses.replace(caller, document=document)

    def _get_index(self) -> dict[str, Caller]:
        """Returns the callers by key digest.

        The index is built again after new records of the configuration were
        applied.
        """
        folded = self._control.folded
        current = (folded, folded.next_offset)
        if self._indexed_state != current:
            self._index = _make_index(self._control.services)
            self._indexed_state = current
        return self._index


def _make_index(
    services: Mapping[ServiceId, ServiceInForce],
) -> dict[str, Caller]:
    index: dict[str, Caller] = {}
    for service in services.values():
        for name, workspace in service.document.workspaces.items():
            caller = Caller(name, service.document)
            for digest in workspace.key_digests:
                # A key that several services list belongs to the first one.
                index.setdefault(digest, caller)
    return index

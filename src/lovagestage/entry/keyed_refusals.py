"""Refusals of keyed requests before their key is claimed, made true.

A caller that is told `not_run` may conclude that its key was never used. A
check before the claim (API key, body, route, model, session, room for a bill)
proves only that this request was not run: an earlier one with the same key may
have, before the workspace lost the model or the session expired.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time

from aiohttp import web

from lovagestage.entry.key_service import KeyService
from lovagestage.entry.keyed_runs import (
    CLAIM_LIMIT_S,
    CLAIM_RETRY_S,
    HEADER_KEY,
    check_key,
    get_body_digest,
)
from lovagestage.exceptions import RequestRefusedError
from lovagestage.messages.keys import Claim, ClaimOutcome
from lovagestage.types import RunState, WorkspaceId

_UNREAD = b""
"""No body has this digest: whatever the key was used with is another one."""
_NEVER_RUN = (ClaimOutcome.FREE, ClaimOutcome.FULL)
"""The holders agree that the key is new."""
_UNDECIDED = (ClaimOutcome.STALE_VIEW, ClaimOutcome.BUSY)


@dataclasses.dataclass
class Progress:
    """How far a request came before it was refused.

    Attributes:
        workspace: Who asks; None where the API key is not known.
        body: What its key stands for; None where it was not read whole.
        is_claiming: The key's claim has begun; refusals from there on know
            of earlier runs.
    """

    workspace: WorkspaceId | None = None
    body: bytes | None = None
    is_claiming: bool = False


_PROGRESS = web.RequestKey("progress", Progress)


def get_progress(request: web.Request) -> Progress:
    """The progress of a request, which its handlers keep up to date."""
    if _PROGRESS not in request:
        request[_PROGRESS] = Progress()
    return request[_PROGRESS]


class KeyedRefusals:
    """Asks the holders of a key before `not_run` is said of it.

    Args:
        keys: Claims of request keys.
    """

    def __init__(self, keys: KeyService) -> None:
        self._keys = keys

    async def correct(
        self, request: web.Request, error: RequestRefusedError
    ) -> None:
        """Turns `not_run` into `unknown` where the key may have run."""
        key = request.headers.get(HEADER_KEY)
        progress = get_progress(request)
        if key is None or progress.is_claiming:
            return
        if error.run is RunState.NOT_RUN and _is_valid(key):
            if not await self._is_new(key, progress):
                error.run = RunState.UNKNOWN

    async def _is_new(self, key: str, progress: Progress) -> bool:
        if progress.workspace is None:
            # The API key may have been taken from the workspace since.
            return False
        outcome = await self._ask(key, progress.workspace, progress.body)
        if outcome is ClaimOutcome.OTHER_BODY:
            # What ran was another request than this one.
            return progress.body is not None
        return outcome in _NEVER_RUN

    async def _ask(
        self, key: str, workspace: WorkspaceId, body: bytes | None
    ) -> ClaimOutcome:
        end_s = time.monotonic() + CLAIM_LIMIT_S
        digest = _UNREAD if body is None else get_body_digest(body)
        while True:
            epoch = self._keys.view.epoch
            question = Claim(epoch, workspace, key, digest, None, "", False)
            outcome = (await self._keys.claim(question)).outcome
            if outcome not in _UNDECIDED or time.monotonic() > end_s:
                return outcome
            await asyncio.sleep(CLAIM_RETRY_S)


def _is_valid(key: str) -> bool:
    # A key of another form is refused by every claim, so it never ran.
    try:
        check_key(key)
    except RequestRefusedError:
        return False
    return True

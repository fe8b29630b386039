"""Corrects the run state of refusals that precede the claim of a request key.

A caller that receives `not_run` may conclude that its key was never used. A
check before the claim (API key, body, route, model, session, space for a bill)
proves only that this request was not run: an earlier request with the same key
may have run before the workspace lost the model or the session expired.
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

_UNREAD_BODY_DIGEST = b""
"""Digest for a body that was not read completely. No body has this digest, so
that a key which was used counts as used with another body."""
_NEW_KEY_OUTCOMES = (ClaimOutcome.FREE, ClaimOutcome.FULL)
"""Outcomes which mean that the holders agree that the key is new."""
_RETRYABLE_OUTCOMES = (ClaimOutcome.STALE_VIEW, ClaimOutcome.BUSY)


@dataclasses.dataclass
class RequestProgress:
    """How far a request was processed before it was refused.

    Attributes:
        workspace: The workspace that sent the request; None where the API key
            is unknown.
        body: The body whose digest the request key is bound to; None where
            the body was not read completely.
        is_claiming: Whether the claim of the key has begun. Refusals after
            that already take earlier runs into account.
    """

    workspace: WorkspaceId | None = None
    body: bytes | None = None
    is_claiming: bool = False


_PROGRESS = web.RequestKey("progress", RequestProgress)


def get_progress(request: web.Request) -> RequestProgress:
    """Returns the progress of a request, which its handlers keep up to date.

    Args:
        request: The HTTP request.
    """
    if _PROGRESS not in request:
        request[_PROGRESS] = RequestProgress()
    return request[_PROGRESS]


class KeyedRefusalCorrector:
    """Asks the holders of a key before a refusal may say `not_run`.

    Args:
        keys: Claims request keys.
    """

    def __init__(self, keys: KeyService) -> None:
        self._keys = keys

    async def correct_run_state(
        self, request: web.Request, error: RequestRefusedError
    ) -> None:
        """Changes `not_run` to `unknown` where the key may have run.

        Args:
            request: The HTTP request.
            error: The refusal; its run state is changed in place.
        """
        key = request.headers.get(HEADER_KEY)
        progress = get_progress(request)
        if key is None or progress.is_claiming:
            return
        if error.run is RunState.NOT_RUN and _is_valid(key):
            if not await self._is_key_new(key, progress):
                error.run = RunState.UNKNOWN

    async def _is_key_new(self, key: str, progress: RequestProgress) -> bool:
        if progress.workspace is None:
            # The API key may have been removed from its workspace since the
            # request key was used.
            return False
        outcome = await self._query_key(key, progress.workspace, progress.body)
        if outcome is ClaimOutcome.OTHER_BODY:
            # The request that ran had another body than this request.
            return progress.body is not None
        return outcome in _NEW_KEY_OUTCOMES

    async def _query_key(
        self, key: str, workspace: WorkspaceId, body: bytes | None
    ) -> ClaimOutcome:
        end_s = time.monotonic() + CLAIM_LIMIT_S
        digest = _UNREAD_BODY_DIGEST if body is None else get_body_digest(body)
        while True:
            epoch = self._keys.view.epoch
            question = Claim(epoch, workspace, key, digest, None, "", False)
            outcome = (await self._keys.claim(question)).outcome
            if outcome not in _RETRYABLE_OUTCOMES or time.monotonic() > end_s:
                return outcome
            await asyncio.sleep(CLAIM_RETRY_S)


def _is_valid(key: str) -> bool:
    # Every claim refuses a key of an invalid form, so that it never ran.
    try:
        check_key(key)
    except RequestRefusedError:
        return False
    return True

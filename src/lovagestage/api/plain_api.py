"""The entry's handler of calls to plain services."""

from __future__ import annotations

import secrets
import time

from aiohttp import web
from multidict import CIMultiDict

from lovagestage.decisions.plain_calls import (
    HEADER_REQUEST_ID,
    is_repeatable,
    make_pool_version,
    make_request_headers,
    make_target,
)
from lovagestage.entry.dispatcher import Dispatcher
from lovagestage.entry.keyed_refusals import get_progress
from lovagestage.entry.keyed_runs import HEADER_KEY, KeyedRuns
from lovagestage.exceptions import CodecError, UpstreamFailedError
from lovagestage.execution.request import Request, Result
from lovagestage.messages.calls import (
    Header,
    PlainAnswer,
    PlainCall,
    decode_answer,
    encode_call,
)
from lovagestage.state.document import RouteSpec, ServiceDocument
from lovagestage.telemetry.measurement import get_measurement
from lovagestage.types import PoolId, RequestId, RunState, WorkspaceId

HEADER_ATTEMPTS = "X-Attempts"
PRIORITY = 1
"""Priority of each call to a plain service."""


class PlainApi:
    """Handles calls that a route assigns to a plain service.

    Args:
        dispatcher: Runs requests.
        keyed: Runs requests that have an idempotency key.
        deadline_s: Deadline in seconds of each call.
    """

    def __init__(
        self, dispatcher: Dispatcher, keyed: KeyedRuns, deadline_s: float
    ) -> None:
        self._dispatcher = dispatcher
        self._keyed = keyed
        self._deadline_s = deadline_s

    async def handle_call(
        self,
        request: web.Request,
        content: bytes,
        workspace: WorkspaceId,
        document: ServiceDocument,
        route: RouteSpec,
    ) -> web.Response:
        """Runs a call and returns the service's answer.

        Raises:
            RequestRefusedError: There is no answer; the error says whether
                the call was run.
        """
        admitted = self._admit(request, content, workspace, document, route)
        result = Result(admitted.version)
        get_progress(request).is_claiming = True
        key = request.headers.get(HEADER_KEY)
        chunks = (
            self._dispatcher.run(admitted, result)
            if key is None
            else self._keyed.run(admitted, key, result)
        )
        try:
            data = b"".join([chunk async for chunk in chunks])
        finally:
            get_measurement(request).record_attempts(result.attempts)
        return _make_response(_decode(data), admitted, result)

    def _admit(
        self,
        request: web.Request,
        content: bytes,
        workspace: WorkspaceId,
        document: ServiceDocument,
        route: RouteSpec,
    ) -> Request:
        target = make_target(route, request.raw_path)
        headers = (Header(str(n), v) for n, v in request.headers.items())
        return Request(
            RequestId(secrets.token_hex(16)),
            workspace,
            document.service,
            make_pool_version(PoolId(route.pool)),
            PRIORITY,
            is_repeatable(route, request.method),
            time.monotonic() + self._deadline_s,
            True,
            encode_call(PlainCall(request.method, target, content)),
            headers=tuple(make_request_headers(headers)),
        )


def _decode(data: bytes) -> PlainAnswer:
    try:
        return decode_answer(data)
    except CodecError as error:
        raise UpstreamFailedError(error.message, RunState.RAN) from error


def _make_response(
    answer: PlainAnswer, admitted: Request, result: Result
) -> web.Response:
    headers = CIMultiDict((h.name, h.value) for h in answer.headers)
    headers[HEADER_REQUEST_ID] = result.request_id or admitted.request_id
    headers[HEADER_ATTEMPTS] = str(result.attempts)
    return web.Response(
        status=answer.status, headers=headers, body=answer.content
    )

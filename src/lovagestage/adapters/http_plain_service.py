"""Client of a plain service over HTTP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

import aiohttp
import yarl
from multidict import CIMultiDict

from lovagestage.adapters.answer_notices import NoticeListener, read_notices
from lovagestage.adapters.http_calls import CONNECT_TIMEOUT_S
from lovagestage.decisions.plain_calls import make_answer_headers
from lovagestage.exceptions import EngineError, EngineRefusedError
from lovagestage.messages.calls import Header, PlainAnswer, PlainCall
from lovagestage.types import RequestId, RunState

_CALL_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=None
)
"""Timeout of a call, which limits only the connection set-up: the deadline of
the run ends the call, see `execution.runs`."""
_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class _SendOnceMiddleware:
    """Prevents aiohttp from sending a request twice.

    When a connection breaks before the answer, aiohttp by itself retries GET,
    PUT, DELETE and other idempotent methods, so a PUT on a route that may not
    be retried would run twice. The middleware runs before each connection is
    made; raising an error on the second pass means that the request is sent
    only once.
    """

    def __init__(self) -> None:
        self._was_sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        if self._was_sent:
            raise aiohttp.ServerDisconnectedError
        self._was_sent = True
        return await handler(request)


class HttpPlainService:
    """Client of a plain service over HTTP.

    Args:
        session: HTTP client; it must open a new connection for each call. On a
            kept-alive connection that the service has just closed, a call
            that never ran would look as if it might have run.
        url: Base URL of the service.
        max_answer_bytes: Maximum size of an answer; larger ones are refused.
        on_notices: Receives what the service says of itself in its answers.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        max_answer_bytes: int,
        on_notices: NoticeListener,
    ) -> None:
        self._session = session
        self._on_notices = on_notices
        self._url = yarl.URL(url.rstrip("/"))
        self._max_answer_bytes = max_answer_bytes

    async def call(
        self, call: PlainCall, headers: Sequence[Header]
    ) -> PlainAnswer:
        """See `PlainService.call`."""
        sent_s = time.monotonic()
        try:
            async with self._session.request(
                call.method,
                yarl.URL(f"{self._url}{call.target}", encoded=True),
                data=call.content or None,
                headers=CIMultiDict((h.name, h.value) for h in headers),
                skip_auto_headers=_AUTO_HEADERS,
                allow_redirects=False,
                auto_decompress=False,
                timeout=_CALL_TIMEOUT,
                middlewares=(_SendOnceMiddleware(),),
            ) as response:
                self._on_notices(read_notices(response), sent_s)
                return PlainAnswer(
                    response.status,
                    _make_headers(response),
                    await self._read_content(response),
                )
        except aiohttp.ClientConnectorError as error:
            raise EngineRefusedError(
                f"The plain service can't be reached: {error}."
            ) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            raise EngineError(
                f"The plain service's answer is lost: {error!r}.",
                RunState.UNKNOWN,
            ) from error

    async def cancel(self, request_id: RequestId) -> None:
        """See `PlainService.cancel`."""

    async def is_up(self) -> bool:
        """See `PlainService.is_up`."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    self._url.host, self._url.port
                )
        except OSError:  # TimeoutError is a subclass of OSError.
            return False
        writer.close()
        return True

    async def _read_content(self, response: aiohttp.ClientResponse) -> bytes:
        content = bytearray()
        async for data in response.content.iter_any():
            content += data
            if len(content) > self._max_answer_bytes:
                raise EngineError(
                    "Expected an answer of at most"
                    f" {self._max_answer_bytes} bytes.",
                    RunState.RAN,
                )
        return bytes(content)


def _make_headers(response: aiohttp.ClientResponse) -> list[Header]:
    return make_answer_headers(
        Header(str(name), value) for name, value in response.headers.items()
    )

"""Client of an OpenAI-compatible model engine over HTTP."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from lovagestage.adapters.answer_notices import NoticeListener, read_notices
from lovagestage.adapters.http_calls import SHORT_TIMEOUT, STREAM_TIMEOUT
from lovagestage.adapters.protocols import EngineLoad
from lovagestage.exceptions import EngineError, EngineRefusedError
from lovagestage.messages.envelope import OrderState
from lovagestage.types import FencingNumber, RequestId, RunState

_ORDER_STATES = {
    200: OrderState.DONE,
    202: OrderState.STARTED,
    503: OrderState.THROTTLED,
}


MAX_EVENT_BYTES = 1024 * 1024
"""Longest event of a stream. An engine in trouble may send data without end,
which would be held in memory until an event ends."""
MAX_EVENT_PARTS = 4096
"""Parts in which an event may be received: the longest one in small packets."""
MAX_STATE_BYTES = 1024 * 1024
"""Longest answer of an engine on its load or its versions."""


class _LoadResponse(msgspec.Struct):
    running: int
    waiting: int
    max_batch: int
    kv_used_ratio: float
    token_interval_ms: float


class _ModelEntry(msgspec.Struct):
    id: str


class _ModelsResponse(msgspec.Struct):
    data: list[_ModelEntry]


class HttpEngine:
    """Client of an OpenAI-compatible model engine over HTTP.

    Args:
        session: HTTP client of the process.
        url: Base URL of the engine.
        on_notices: Receives what the engine says of itself in its answers to
            requests.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        on_notices: NoticeListener,
    ) -> None:
        self._session = session
        self._on_notices = on_notices
        self._url = url.rstrip("/")

    async def run(
        self, request_id: RequestId, priority: int, body: bytes
    ) -> AsyncIterator[bytes]:
        """See `Engine.run`."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
            "X-Priority": str(priority),
        }
        request = self._session.post(
            f"{self._url}/v1/chat/completions",
            data=body,
            headers=headers,
            timeout=STREAM_TIMEOUT,
        )
        async for block in self._read_blocks(request):
            yield block

    async def resume(
        self, request_id: RequestId, from_seq: int
    ) -> AsyncIterator[bytes]:
        """See `Engine.resume`."""
        request = self._session.get(
            f"{self._url}/v1/streams/{request_id}",
            params={"from_seq": str(from_seq)},
            timeout=STREAM_TIMEOUT,
        )
        async for block in self._read_blocks(request):
            yield block

    async def cancel(self, request_id: RequestId) -> None:
        """See `Engine.cancel`."""
        try:
            async with self._session.delete(
                f"{self._url}/v1/streams/{request_id}", timeout=SHORT_TIMEOUT
            ):
                pass
        except (TimeoutError, aiohttp.ClientError):
            # A lost cancellation is harmless: the request ends by itself at
            # the engine, and only the tokens that the engine generates until
            # then are wasted.
            return

    async def get_load(self) -> EngineLoad:
        """See `Engine.get_load`."""
        decoded = msgspec.json.decode(
            await self._get_body("/load"), type=_LoadResponse
        )
        return EngineLoad(
            decoded.running,
            decoded.waiting,
            decoded.max_batch,
            decoded.kv_used_ratio,
            decoded.token_interval_ms,
        )

    async def get_versions(self) -> list[str]:
        """See `Engine.get_versions`."""
        decoded = msgspec.json.decode(
            await self._get_body("/v1/models"), type=_ModelsResponse
        )
        return [model.id for model in decoded.data]

    async def order(self, version: str, fencing: FencingNumber) -> OrderState:
        """See `Engine.order`."""
        model, _, name = version.partition("@")
        body = {
            "kind": "load",
            "model": model,
            "version": name,
            "fencing": fencing,
        }
        try:
            async with self._session.post(
                f"{self._url}/orders", json=body, timeout=SHORT_TIMEOUT
            ) as response:
                return _ORDER_STATES.get(response.status, OrderState.REFUSED)
        except (TimeoutError, aiohttp.ClientError) as error:
            raise EngineError(
                f"The engine does not answer an order: {error!r}.",
                RunState.UNKNOWN,
            ) from error

    async def _get_body(self, path: str) -> bytes:
        try:
            async with self._session.get(
                f"{self._url}{path}", timeout=SHORT_TIMEOUT
            ) as response:
                response.raise_for_status()
                body = bytearray()
                while part := await response.content.readany():
                    body += part
                    if len(body) > MAX_STATE_BYTES:
                        raise EngineError(
                            f"The engine's answer to {path} is too long.",
                            RunState.RAN,
                        )
                return bytes(body)
        except (TimeoutError, aiohttp.ClientError) as error:
            raise EngineError(
                f"The engine does not answer {path}: {error!r}.",
                RunState.UNKNOWN,
            ) from error

    async def _read_blocks(
        self, request: aiohttp.client._RequestContextManager
    ) -> AsyncIterator[bytes]:
        response_started = False
        sent_s = time.monotonic()
        try:
            async with request as response:
                response_started = True
                self._on_notices(read_notices(response), sent_s)
                if response.status in (404, 429, 503):
                    raise EngineRefusedError(
                        f"The engine refused with {response.status}."
                    )
                if response.status != 200:
                    raise EngineError(
                        f"The engine answered {response.status}.",
                        RunState.RAN,
                    )
                async for block in _split_events(response.content):
                    yield block
        except aiohttp.ClientConnectorError as error:
            raise EngineRefusedError(
                f"The engine can't be reached: {error}."
            ) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            stage = (
                "while it answered"
                if response_started
                else "before it answered"
            )
            raise EngineError(
                f"The engine was lost {stage}: {error!r}.", RunState.UNKNOWN
            ) from error


async def _split_events(
    content: aiohttp.StreamReader,
) -> AsyncIterator[bytes]:
    """Yields blocks of complete server-sent events.

    Each block holds all events that had been received completely when the
    data was read.

    Raises:
        EngineError: An event is too long or comes in too many parts.
    """
    buffer = bytearray()
    parts = 0
    while data := await content.readany():
        # The end of an event may have been received in part.
        searched = max(0, len(buffer) - 1)
        buffer += data
        parts += 1
        end = buffer.rfind(b"\n\n", searched)
        if end >= 0:
            block = bytes(buffer[: end + 2])
            del buffer[: end + 2]
            parts = 0
            yield block
        if len(buffer) > MAX_EVENT_BYTES or parts > MAX_EVENT_PARTS:
            raise EngineError(
                "The engine sent an event without end.", RunState.RAN
            )

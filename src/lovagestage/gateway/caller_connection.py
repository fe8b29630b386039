"""A caller's connection: reads its requests and sends the answers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

import h11
import msgspec

import lovagestage.platform.headers as wire
from lovagestage.adapters.http1 import Channel, Headers
from lovagestage.exceptions import (
    CallerLostError,
    CallerMessageError,
    ChannelResetError,
    GatewayRefusalError,
    ProcessEndingError,
)
from lovagestage.gateway.admission import RETRY_AFTER_S
from lovagestage.gateway.configuration import ClientLimits
from lovagestage.gateway.messages import AnswerHead, CallerRequest

BODY_INACTIVITY_TIMEOUT_S = 10.0
"""Inactivity timeout in seconds while a request's body is received; without it,
a caller that stalls would hold memory forever. A caller that sends slowly has
as much time as it waits for its answer: if it were refused because its body
takes long, it would send the body again from the start."""
BODY_TIMEOUT_S = 60.0
"""Limit in seconds for receiving a complete body, however long the caller waits
for its answer."""


class CallerConnection:
    """Reads requests from one caller and sends the answers.

    Args:
        channel: The connection.
        limits: Returns the current limits for requests.
        is_draining: Returns whether callers are to leave this process.

    Attributes:
        channel: The connection.
        is_busy: Whether a request is being read or answered.
        status: Status of the current request's answer; 0 until its head is
            sent.
        closes: Whether the connection is closed after the current answer.
        idle_since_s: Loop time since which no request has been read or
            answered.
    """

    def __init__(
        self,
        channel: Channel,
        limits: Callable[[], ClientLimits],
        is_draining: Callable[[], bool],
    ) -> None:
        self.channel = channel
        self.is_busy = False
        self.status = 0
        self.closes = False
        self._is_head_only = False
        self.idle_since_s = asyncio.get_running_loop().time()
        self._scope: asyncio.Timeout | None = None
        self._limits = limits
        self._is_draining = is_draining
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().head_bytes
        )

    async def read_request(self) -> CallerRequest | None:
        """Reads the next request.

        Returns:
            The request; None if the caller closed the connection or was idle
            for too long.

        Raises:
            CallerMessageError: The request must not be forwarded.
            CallerLostError: The caller reset the connection.
            ProcessEndingError: The process ends before the request was read.
        """
        limits = self._limits()
        if (
            not self._parser.trailing_data[0]
            and not self.channel.has_unread_input
        ):
            data = await self._wait_for_input(limits.idle_timeout_s)
            if data is None:
                return None
            self._parser.receive_data(data)
        self.is_busy = True
        self.status = 0
        self._is_head_only = False
        async with self.open_scope():
            return await self._read_request(limits)

    async def _wait_for_input(self, timeout_s: float) -> bytes | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._receive_bytes()
        except TimeoutError:
            # Bytes that arrived in this turn of the loop are not dropped.
            if not self.channel.has_arrived_input():
                return None
            return await self._receive_bytes()

    async def _receive_bytes(self) -> bytes:
        try:
            return await self.channel.receive()
        except ChannelResetError as error:
            raise CallerLostError(error.message) from error

    async def _read_request(self, limits: ClientLimits) -> CallerRequest | None:
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                event = await self._receive()
            if not isinstance(event, h11.Request):
                return None
            self._is_head_only = event.method == b"HEAD"
            _check_head(event, limits.head_bytes)
            arrived_s = asyncio.get_running_loop().time()
            request = wire.decode_request(event)
            body_s = min(
                BODY_TIMEOUT_S, max(BODY_INACTIVITY_TIMEOUT_S, request.budget_s)
            )
            async with asyncio.timeout(body_s):
                body = await self._read_body(limits.body_bytes)
        except TimeoutError:
            raise CallerMessageError(
                "The request was not received in time.", 408
            ) from None
        return dataclasses.replace(request, body=body, arrived_s=arrived_s)

    @contextlib.asynccontextmanager
    async def open_scope(self) -> AsyncIterator[None]:
        """Opens a scope for work on the current request that `end` ends.

        Raises:
            ProcessEndingError: The work was ended.
        """
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scope = scope
                try:
                    yield
                finally:
                    self._scope = None
        except TimeoutError as error:
            if not scope.expired():
                raise
            raise ProcessEndingError(503, "stopping", RETRY_AFTER_S) from error

    def end(self) -> None:
        """Ends the work on the current request, as the process ends."""
        if self._scope is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())

    def prepare_next_request(self) -> bool:
        """Prepares the connection for another request.

        Returns:
            Whether another request may follow on the connection.
        """
        self.is_busy = False
        self.idle_since_s = asyncio.get_running_loop().time()
        states = (self._parser.our_state, self._parser.their_state)
        if self.closes or states != (h11.DONE, h11.DONE):
            return False
        self._parser.start_next_cycle()
        return True

    async def send_answer(self, head: AnswerHead, body: bytes) -> None:
        """Sends a complete answer of an upstream."""
        headers = list(head.headers)
        if not self._is_head_only:
            headers = [h for h in headers if h[0].lower() != b"content-length"]
            headers.append((b"Content-Length", b"%d" % len(body)))
        await self._send_all(head.status, headers, body)

    async def send_refusal(
        self, request_id: str, refusal: GatewayRefusalError
    ) -> None:
        """Sends an answer that the gateway made itself.

        Args:
            request_id: Id of the request; empty if it is not known.
            refusal: Status and reason of the answer.
        """
        body = msgspec.json.encode(
            {"error": refusal.reason, "status": refusal.status}
        )
        headers = wire.encode_answer(request_id, refusal.retry_after_s, body)
        await self._send_all(refusal.status, headers, body)

    async def send_text(self, status: int, text: str) -> None:
        """Sends a plain text with a status."""
        body = text.encode()
        headers = [
            (b"Content-Type", b"text/plain; version=0.0.4"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        await self._send_all(status, headers, body)

    async def start_stream(self, head: AnswerHead) -> None:
        """Sends the head of a stream."""
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() != b"content-length"
        ]
        headers.append((b"Transfer-Encoding", b"chunked"))
        self._send(self._make_response(head.status, headers))

    async def send_event(self, event: bytes) -> None:
        """Sends an event of a stream."""
        self._send(h11.Data(data=event))
        await self.channel.drain()

    async def finish_stream(self) -> None:
        """Ends a stream that is complete."""
        self._send(h11.EndOfMessage())
        await self.channel.drain()

    def _make_response(self, status: int, headers: Headers) -> h11.Response:
        self.closes = self.closes or self._is_draining()
        if self.closes:
            headers = [
                *(h for h in headers if h[0].lower() != b"connection"),
                (b"Connection", b"close"),
            ]
        self.status = status
        reason = HTTPStatus(status).phrase if status in _STATUSES else ""
        return h11.Response(
            status_code=status, headers=headers, reason=reason.encode()
        )

    async def _send_all(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        events: list[h11.Event] = [self._make_response(status, headers)]
        # The parser takes no body here, and the error would end the caller's
        # connection without an answer.
        if body and not self._is_head_only:
            events.append(h11.Data(data=body))
        self._send(*events, h11.EndOfMessage())
        await self.channel.drain()

    def _send(self, *events: h11.Event) -> None:
        data = b"".join(self._parser.send(event) or b"" for event in events)
        self.channel.write(data)

    async def _read_body(self, limit_bytes: int) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            if self._parser.they_are_waiting_for_100_continue:
                answer = h11.InformationalResponse(status_code=100, headers=[])
                self.channel.write(self._parser.send(answer) or b"")
            async with asyncio.timeout(BODY_INACTIVITY_TIMEOUT_S):
                event = await self._receive()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            if not isinstance(event, h11.Data):
                raise CallerLostError("Connection closed within a request.")
            chunks.append(bytes(event.data))
            size += len(event.data)
            if size > limit_bytes:
                raise CallerMessageError(f"Body over {limit_bytes} bytes.", 413)

    async def _receive(self) -> object:
        while True:
            try:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._parser.receive_data(await self._receive_bytes())
            except h11.RemoteProtocolError as error:
                if not self.channel.is_open:
                    raise CallerLostError(str(error)) from error
                raise CallerMessageError(
                    str(error), error.error_status_hint
                ) from error


def _check_head(event: h11.Request, limit_bytes: int) -> None:
    """Rejects a head that is too long but arrived in one piece.

    The parser's own limit applies only to an incomplete head that it must
    buffer.
    """
    size = len(event.target) + sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in event.headers
    )
    if size > limit_bytes:
        raise CallerMessageError(f"Head over {limit_bytes} bytes.", 431)


_HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line besides name and value: colon, space and line end."""
_STATUSES = frozenset(status.value for status in HTTPStatus)

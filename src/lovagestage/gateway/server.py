"""The side of the gateway that callers reach."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import h11
import msgspec

import lovagestage.platform.headers as wire
from lovagestage.adapters.http1 import Channel, Headers
from lovagestage.exceptions import (
    AttemptFailedError,
    ConnectionLostError,
    GatewayRefusalError,
    WrongMessageError,
)
from lovagestage.gateway.configuration import ClientLimits
from lovagestage.gateway.listeners import BACKLOG
from lovagestage.gateway.messages import AnswerHead, CallerRequest

_log = logging.getLogger(__name__)

BODY_SILENCE_S = 10.0
"""Time without a byte of a body; a caller that stalls would hold memory for
ever. One that sends slowly has as long as it waits for its answer: refused
for the time that its body takes, it would send it again from the start."""
MAX_BODY_S = 60.0
"""Time for a whole body at most, whatever the caller says that it waits."""


class CallerConnection:
    """Reads requests from one caller and sends their answers.

    Args:
        channel: The connection.
        limits: What callers may send, as of now.

    Attributes:
        channel: The connection.
        is_busy: Whether a request is being read or answered.
        status: Status of the last answer.
        closes: Whether the connection ends with the next answer.
    """

    def __init__(
        self, channel: Channel, limits: Callable[[], ClientLimits]
    ) -> None:
        self.channel = channel
        self.is_busy = False
        self.status = 0
        self.closes = False
        self._limits = limits
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().head_bytes
        )

    async def read_request(self) -> CallerRequest | None:
        """Reads the next request.

        Returns:
            The request; None where the caller has closed or was idle for too
            long.

        Raises:
            WrongMessageError: It must not be passed on.
            ConnectionLostError: The caller reset the connection.
        """
        limits = self._limits()
        if not self._parser.trailing_data[0] and not self.channel.has_input:
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    data = await self.channel.receive()
            except TimeoutError:
                return None
            self._parser.receive_data(data)
        self.is_busy = True
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                event = await self._receive()
            if not isinstance(event, h11.Request):
                return None
            _check_head(event, limits.head_bytes)
            arrived_s = asyncio.get_running_loop().time()
            request = wire.decode_request(event)
            body_s = min(MAX_BODY_S, max(BODY_SILENCE_S, request.budget_s))
            async with asyncio.timeout(body_s):
                body = await self._read_body(limits.body_bytes)
        except TimeoutError:
            raise WrongMessageError("Sent too slowly.", 408) from None
        return dataclasses.replace(request, body=body, arrived_s=arrived_s)

    def make_ready_for_next(self) -> bool:
        """Whether another request may follow on the connection."""
        self.is_busy = False
        states = (self._parser.our_state, self._parser.their_state)
        if self.closes or states != (h11.DONE, h11.DONE):
            return False
        self._parser.start_next_cycle()
        return True

    async def send_whole(self, head: AnswerHead, body: bytes) -> None:
        """Sends an upstream's whole answer."""
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() != b"content-length"
        ]
        headers.append((b"Content-Length", b"%d" % len(body)))
        await self._send_all(head.status, headers, body)

    async def send_refusal(
        self, request_id: str, refusal: GatewayRefusalError
    ) -> None:
        """Sends an answer of the gateway's own."""
        body = msgspec.json.encode(
            {"error": refusal.reason, "status": refusal.status}
        )
        headers = wire.encode_answer(
            request_id, refusal.retry_after_s, body, self.closes
        )
        await self._send_all(refusal.status, headers, body)

    async def send_text(self, status: int, text: str) -> None:
        """Sends a plain text."""
        body = text.encode()
        headers = [
            (b"Content-Type", b"text/plain; version=0.0.4"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        await self._send_all(status, headers, body)

    async def start(self, head: AnswerHead) -> None:
        """Sends the head of a stream."""
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() != b"content-length"
        ]
        headers.append((b"Transfer-Encoding", b"chunked"))
        self._send(self._make_response(head.status, headers))

    async def send(self, event: bytes) -> None:
        """Sends an event of a stream."""
        self._send(h11.Data(data=event))
        await self.channel.drain()

    async def finish(self) -> None:
        """Ends a stream that is complete."""
        self._send(h11.EndOfMessage())
        await self.channel.drain()

    def _make_response(self, status: int, headers: Headers) -> h11.Response:
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
        parts: list[h11.Event] = [self._make_response(status, headers)]
        if body:
            parts.append(h11.Data(data=body))
        self._send(*parts, h11.EndOfMessage())
        await self.channel.drain()

    def _send(self, *events: h11.Event) -> None:
        data = b"".join(self._parser.send(event) or b"" for event in events)
        self.channel.write(data)

    async def _read_body(self, limit_bytes: int) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            if self._parser.they_are_waiting_for_100_continue:
                answer = h11.InformationalResponse(status_code=100, headers=[])
                self.channel.write(self._parser.send(answer) or b"")
            async with asyncio.timeout(BODY_SILENCE_S):
                event = await self._receive()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise ConnectionLostError("Closed within a request.")
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > limit_bytes:
                raise WrongMessageError(f"Over {limit_bytes} bytes.", 413)

    async def _receive(self) -> object:
        while True:
            try:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self.channel.receive()
                self._parser.receive_data(data)
            except h11.RemoteProtocolError as error:
                if not self.channel.is_open:
                    raise ConnectionLostError(str(error)) from error
                raise WrongMessageError(
                    str(error), error.error_status_hint
                ) from error


def _check_head(event: h11.Request, limit_bytes: int) -> None:
    """Refuses a head that is too long but came at once.

    The parser's own limit is for what it has to keep.
    """
    size = len(event.target) + sum(
        len(name) + len(value) + _HEADER_EXTRA_BYTES
        for name, value in event.headers
    )
    if size > limit_bytes:
        raise WrongMessageError(f"Head over {limit_bytes} bytes.", 431)


_HEADER_EXTRA_BYTES = 4
"""Colon, space and line end."""
_STATUSES = frozenset(status.value for status in HTTPStatus)

Handler = Callable[[CallerRequest, CallerConnection], Awaitable[None]]


class CallerServer:
    """Accepts callers' connections, one task each.

    Args:
        handler: Answers one request.
        limits: What callers may send, as of now.
    """

    def __init__(
        self, handler: Handler, limits: Callable[[], ClientLimits]
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], CallerConnection] = {}
        self.is_leaving = False

    @property
    def open_requests(self) -> int:
        """Requests that are being read or answered."""
        return sum(connection.is_busy for connection in self._tasks.values())

    async def open(self, listener: socket.socket) -> None:
        """Accepts the connections of a listening socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_channel, sock=listener, backlog=BACKLOG
        )

    def close_idle(self) -> None:
        """Closes connections that carry no request."""
        for connection in self._tasks.values():
            if not connection.is_busy:
                connection.channel.close()

    def close(self) -> None:
        """Stops listening and closes idle connections."""
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def _make_channel(self) -> Channel:
        channel = _AcceptedChannel(self._accept)
        return channel

    def _accept(self, channel: Channel) -> None:
        connection = CallerConnection(channel, self._limits)
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks[task] = connection
        task.add_done_callback(self._tasks.pop)
        # A caller that leaves ends the work on its request at once.
        channel.lost.add_done_callback(lambda _: task.cancel())

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            while await self._serve_one(connection):
                pass
            connection.channel.close()
        except (ConnectionLostError, h11.LocalProtocolError) as error:
            _log.info("caller_lost", extra={"reason": str(error)})
            connection.channel.abort()
        except asyncio.CancelledError:
            connection.channel.abort()
        except Exception:
            _log.exception("caller_connection_failed")
            connection.channel.abort()

    async def _serve_one(self, connection: CallerConnection) -> bool:
        try:
            request = await connection.read_request()
        except WrongMessageError as error:
            _log.warning(
                "message_refused",
                extra={
                    "caller": connection.channel.get_peer(),
                    "reason": error.message,
                    "status": error.status,
                },
            )
            connection.closes = True
            refusal = GatewayRefusalError(error.status, "wrong_message")
            await connection.send_refusal("", refusal)
            return False
        if request is None:
            return False
        connection.closes = self.is_leaving
        try:
            await self._handler(request, connection)
        except AttemptFailedError:
            # The stream must not look complete.
            connection.channel.abort()
            return False
        return connection.make_ready_for_next()


class _AcceptedChannel(Channel):
    def __init__(self, accept: Callable[[Channel], None]) -> None:
        super().__init__()
        self._accept = accept

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._accept(self)

"""HTTP/1.1 over asyncio, with h11 as the parser.

A router must know more about a connection than a general HTTP client reports:
whether any byte of a request was sent, whether bytes follow a complete
response, and whether a response without a length ended with a close or with a
reset.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Sequence
from typing import cast

import h11

from lovagestage.adapters.running_time import timeout_while_running
from lovagestage.decisions.read_limits import (
    MAX_HEAD_BYTES,
    AnswerMeter,
    AnswerPart,
)
from lovagestage.exceptions import (
    ChannelResetError,
    UpstreamConnectionError,
    UpstreamMessageError,
)

Headers = list[tuple[bytes, bytes]]

READ_LIMIT_BYTES = 256 * 1024
"""Unread bytes of a connection above which the process stops reading from its
socket. Without this limit a fast sender could fill the process's memory."""
UPSTREAM_READ_LIMIT_BYTES = 64 * 1024
"""The same for a connection to an upstream, of which each gateway has many."""
READ_SIZE_BYTES = 16 * 1024
"""Bytes that one read from a socket takes at most, so that a peer that sends
without end takes no more of a turn of the event loop than others."""
TURN_EVENTS = 16
"""Parts of an answer that are read in one turn of the event loop."""
USER_TIMEOUT_MS = 1_000
"""Longest time that sent bytes may stay unacknowledged (TCP user timeout). An
unreachable VM or a cut link sends no reset, so without this timeout a request
would hang until its deadline. The value is five times the smallest
retransmission timeout, so a few lost packets are tolerated."""
SMALL_BODY_BYTES = 16 * 1024
"""Largest body of a request for which the TCP user timeout is set. The system
applies it also to a peer that acknowledges all packets but reads nothing, so
that a busy upstream would be taken for a lost one. It takes a smaller body into
its receive buffer in any case."""
KEEPALIVE_IDLE_S = 2
"""Inactivity after which the kernel sends the first TCP keep-alive probe."""
KEEPALIVE_INTERVAL_S = 1
"""Time between TCP keep-alive probes."""
KEEPALIVE_PROBES = 2
"""Number of unanswered TCP keep-alive probes that end the connection. The
probes detect an unreachable peer 4 s after its last packet while nothing is
sent and the process only waits for a response."""
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


_read_buffer = memoryview(bytearray(READ_SIZE_BYTES))
"""Receives the bytes of one read, which are copied before the next one."""


class Channel(asyncio.BufferedProtocol):
    """A TCP connection whose bytes a task reads and writes.

    Args:
        read_limit_bytes: Unread bytes above which reading from the socket
            stops.

    Attributes:
        is_idle: Whether nothing may be received: the connection is closed when
            bytes come, instead of keeping them.
        closed_by_peer: Future that completes when the peer has closed or reset
            the connection.
    """

    def __init__(self, read_limit_bytes: int = READ_LIMIT_BYTES) -> None:
        self.is_idle = False
        self._read_limit_bytes = read_limit_bytes
        self.closed_by_peer: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._is_ended = False
        self._is_reset = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._user_timeout_ms = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; asyncio calls it."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read; asyncio calls it."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keeps the received bytes; asyncio calls it."""
        if self.is_idle:
            self.abort()
            return
        self._buffer += _read_buffer[:nbytes]
        if len(self._buffer) > self._read_limit_bytes and self._transport:
            self._transport.pause_reading()
            self._reading_paused = True
        self._wake_reader()

    def eof_received(self) -> bool:
        """Records that the peer closed the connection; asyncio calls it."""
        self._mark_ended()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Records the end of the connection; asyncio calls it."""
        if not self._is_ended and error is not None:
            self._is_reset = True
        self._writable.set()
        self._mark_ended()

    def pause_writing(self) -> None:
        """Records that the write buffer is full; asyncio calls it."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Records that the write buffer has space again; asyncio calls it."""
        self._writable.set()

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        transport = self._transport
        return not (
            self._is_ended or transport is None or transport.is_closing()
        )

    @property
    def has_unread_input(self) -> bool:
        """Whether received bytes have not been read yet."""
        return bool(self._buffer)

    @property
    def has_unsent_output(self) -> bool:
        """Whether written bytes have not been sent to the peer yet."""
        return bool(self._transport and self._transport.get_write_buffer_size())

    def has_arrived_input(self) -> bool:
        """Returns whether unread input is here or in the kernel's buffer."""
        if self._buffer or self._transport is None or not self.is_open:
            return bool(self._buffer)
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    def get_peer_address(self) -> str:
        """Returns the `IP:PORT` of the peer."""
        assert self._transport is not None
        name = self._transport.get_extra_info("peername") or ("", 0)
        return f"{name[0]}:{name[1]}"

    async def receive(self, limit_bytes: int | None = None) -> bytes:
        """Reads received bytes; waits until there is at least one.

        Args:
            limit_bytes: Most bytes to read; None for all that are here.

        Returns:
            The bytes; empty after the peer has closed the connection.

        Raises:
            ChannelResetError: The connection was reset.
        """
        while not self._buffer:
            if self._is_reset:
                raise ChannelResetError("The connection was reset.")
            if self._is_ended:
                return b""
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        data = bytes(self._buffer[:limit_bytes])
        del self._buffer[: len(data)]
        if self._buffer:
            return data
        if self._reading_paused and self._transport and not self._is_ended:
            self._transport.resume_reading()
            self._reading_paused = False
        return data

    def write(self, data: bytes) -> None:
        """Sends bytes; drops them if the connection is closed.

        No error is raised, because the reader of a closed connection detects
        the close itself.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits until the write buffer has space."""
        await self._writable.wait()

    def close(self) -> None:
        """Closes the connection after all written bytes were sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection immediately; drops unsent bytes."""
        if self._transport is not None:
            self._transport.abort()

    def set_tcp_timeouts(self) -> None:
        """Sets the TCP timeouts by which the kernel detects a lost peer."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return
        tcp = socket.IPPROTO_TCP
        self.set_user_timeout(USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

    def set_user_timeout(self, timeout_ms: int) -> None:
        """Sets the TCP user timeout in milliseconds; 0 for the system's own."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        if sock is None or self._user_timeout_ms == timeout_ms:
            return
        option = socket.TCP_USER_TIMEOUT
        sock.setsockopt(socket.IPPROTO_TCP, option, timeout_ms)
        self._user_timeout_ms = timeout_ms

    def _mark_ended(self) -> None:
        self._is_ended = True
        if not self.closed_by_peer.done():
            self.closed_by_peer.set_result(None)
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)


async def open_channel(address: str, timeout_s: float) -> Channel:
    """Opens a TCP connection to `IP:PORT`.

    Args:
        address: `IP:PORT` of the server.
        timeout_s: Longest time in seconds that the connection set-up may take
            while this process runs.

    Raises:
        UpstreamConnectionError: The connection was refused, timed out or could
            not be opened otherwise; no byte of a request can have been sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with timeout_while_running(timeout_s):
            _, channel = await loop.create_connection(
                lambda: Channel(UPSTREAM_READ_LIMIT_BYTES), host, int(port)
            )
    except (OSError, TimeoutError, ValueError) as error:
        raise UpstreamConnectionError(
            f"{address}: {type(error).__name__}."
        ) from error
    channel.set_tcp_timeouts()
    return channel


class ClientConnection:
    """Client side of an HTTP/1.1 connection.

    Attributes:
        channel: The TCP connection.
        idle_since_s: Loop time at which the connection was last used.
        requests_sent: Number of requests sent on the connection.
    """

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.idle_since_s = 0.0
        self.requests_sent = 0
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._head: h11.Request | None = None
        self._meter = AnswerMeter(_get_time_s())
        self._turn_events = 0

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Sends a complete request.

        Raises:
            UpstreamMessageError: The request is not valid HTTP/1.1.
        """
        self.requests_sent += 1
        self._meter = AnswerMeter(_get_time_s())
        parser = self._parser
        try:
            self._head = h11.Request(
                method=method, target=target, headers=headers
            )
            data = parser.send(self._head) or b""
            if body:
                data += parser.send(h11.Data(data=body)) or b""
            data += parser.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise UpstreamMessageError(str(error)) from error
        is_small = len(body) <= SMALL_BODY_BYTES
        self.channel.set_user_timeout(USER_TIMEOUT_MS if is_small else 0)
        self.channel.write(data)

    async def receive_head(self) -> h11.Response:
        """Reads the head of the response.

        Raises:
            UpstreamConnectionError: The connection ended before the head was
                complete.
            UpstreamMessageError: The received bytes are not a valid response.
        """
        while True:
            event = await self._receive()
            if isinstance(event, h11.Response):
                self._meter.begin(AnswerPart.BODY, _get_time_s())
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamConnectionError("Closed before an answer.")
            self._meter.add_interim_head()
            self._check_meter()

    async def receive_body_part(self) -> bytes | None:
        """Reads a part of the response body.

        Returns:
            The bytes of the part; None after the end of the body.

        Raises:
            UpstreamConnectionError: The connection ended before the body was
                complete.
            UpstreamMessageError: The received bytes are not a valid response.
        """
        event = await self._receive()
        if isinstance(event, h11.Data):
            self._meter.add_content(len(event.data))
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamConnectionError("Closed within an answer.")

    async def discard_response(self) -> None:
        """Reads the body of the last response and prepares to read the next.

        Used when the last response was a late second response to an earlier
        request: the response to the current request follows on the same
        connection.

        Raises:
            UpstreamConnectionError: The connection ended before the body was
                complete.
            UpstreamMessageError: The received bytes are not a valid response,
                or too many to be read.
        """
        self._meter.begin(AnswerPart.DROPPED, _get_time_s())
        while await self.receive_body_part() is not None:
            pass
        trailing, _ = self._parser.trailing_data
        assert self._head is not None
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # The request has been sent. To read its response the parser needs its
        # method alone; a length in the head would make it wait for the body.
        head = h11.Request(
            method=self._head.method,
            target=self._head.target,
            headers=[(b"Host", b"")],
        )
        self._parser.send(head)
        self._parser.send(h11.EndOfMessage())
        self._meter.begin(AnswerPart.HEAD, _get_time_s())
        if trailing:
            self._parser.receive_data(trailing)

    def make_reusable(self) -> bool:
        """Prepares the connection for another request, if that is safe.

        Reuse is unsafe if bytes follow a complete response, since they belong
        to no request. It is also unsafe if a part of the request body is still
        unsent, since the peer would parse that part as the next request.

        Returns:
            Whether the connection can be reused.
        """
        channel, parser = self.channel, self._parser
        trailing, is_closed = parser.trailing_data
        if (
            trailing
            or is_closed
            or channel.has_unread_input
            or channel.has_unsent_output
        ):
            return False
        if not channel.is_open:
            return False
        if (parser.our_state, parser.their_state) != (h11.DONE, h11.DONE):
            return False
        parser.start_next_cycle()
        return True

    def abort(self) -> None:
        """Closes the connection, which also stops the peer's work on it."""
        self.channel.abort()

    async def _receive(self) -> object:
        await self._yield_turn()
        while True:
            try:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                # What is received and not parsed yet is of a later part.
                self._check_meter()
                data = await self.channel.receive(READ_SIZE_BYTES)
                self._meter.add_received(len(data), _get_time_s())
                self._parser.receive_data(data)
            except ChannelResetError as error:
                raise UpstreamConnectionError(error.message) from error
            except h11.ProtocolError as error:
                if self._parser.their_state is h11.ERROR and (
                    not self.channel.is_open
                ):
                    raise UpstreamConnectionError(str(error)) from error
                raise UpstreamMessageError(str(error)) from error

    async def _yield_turn(self) -> None:
        """Lets others run after some parts that were received together."""
        self._turn_events += 1
        if self._turn_events >= TURN_EVENTS:
            self._turn_events = 0
            await asyncio.sleep(0)

    def _check_meter(self) -> None:
        """Checks how much was read of the answer.

        Raises:
            UpstreamMessageError: It was too much.
        """
        excess = self._meter.find_excess(_get_time_s())
        if excess is not None:
            raise UpstreamMessageError(f"Too much of an answer: {excess}.")


def _get_time_s() -> float:
    return asyncio.get_running_loop().time()


def remove_hop_by_hop(headers: Sequence[tuple[bytes, bytes]]) -> Headers:
    """Returns the headers without those that apply to one connection only.

    Args:
        headers: Pairs of name and value, with names in any letter case.
    """
    connection_headers = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    # The `Connection` header must not remove the headers `Content-Length` and
    # `Host`, which belong to the message and not to the connection.
    dropped = HOP_BY_HOP | (connection_headers - {b"content-length", b"host"})
    return [
        (header_name, header_value)
        for header_name, header_value in headers
        if header_name.lower() not in dropped
    ]


def get_raw_headers(
    event: h11.Request | h11.Response,
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a message with names spelled as received."""
    return list(event.headers.raw_items())

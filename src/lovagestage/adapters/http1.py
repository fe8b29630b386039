"""HTTP/1.1 over asyncio, with h11 as the parser.

A router must know more of a connection than a general client tells: whether
any byte of a request was sent, whether bytes follow a whole answer, and
whether an answer without a length ended with a close or with a reset.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from typing import cast

import h11

from lovagestage.exceptions import ConnectionLostError, WrongMessageError

Headers = list[tuple[bytes, bytes]]

READ_LIMIT_BYTES = 256 * 1024
"""Reading stops while this much waits in memory; bounds what a fast sender
can make a process hold for one connection."""
MAX_HEAD_BYTES = 64 * 1024
"""Longest head of an answer; the largest that common servers allow."""
USER_TIMEOUT_MS = 1_000
"""Unacknowledged bytes may stay out this long. A dark VM or a cut link sends
no reset: without it a request to one would hang until its deadline. Five
times the smallest retransmission time-out, so a few lost packets pass."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Probes find a silent peer 4 s after its last packet where nothing is sent
and only an answer is awaited."""
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


class Channel(asyncio.Protocol):
    """Bytes of one TCP connection, as a task reads and writes them.

    Attributes:
        lost: Completed when the peer has closed or reset the connection.
    """

    def __init__(self) -> None:
        self.lost: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._ended = False
        self._reset = False
        self._reader: asyncio.Future[None] | None = None
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; called by asyncio."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Takes bytes; called by asyncio."""
        self._buffer += data
        if len(self._buffer) > READ_LIMIT_BYTES and self._transport:
            self._transport.pause_reading()
            self._paused = True
        self._wake()

    def eof_received(self) -> bool:
        """Notes the peer's orderly close; called by asyncio."""
        self._end()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Notes the end of the connection; called by asyncio."""
        if not self._ended and error is not None:
            self._reset = True
        self._writable.set()
        self._end()

    def pause_writing(self) -> None:
        """Notes a slow peer; called by asyncio."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Notes that the peer reads again; called by asyncio."""
        self._writable.set()

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed it."""
        transport = self._transport
        return not (self._ended or transport is None or transport.is_closing())

    @property
    def has_input(self) -> bool:
        """Whether bytes wait that nobody has read."""
        return bool(self._buffer)

    @property
    def has_output(self) -> bool:
        """Whether bytes wait that the peer has not taken."""
        return bool(self._transport and self._transport.get_write_buffer_size())

    def get_peer(self) -> str:
        """Address of the other end."""
        assert self._transport is not None
        name = self._transport.get_extra_info("peername") or ("", 0)
        return f"{name[0]}:{name[1]}"

    async def receive(self) -> bytes:
        """Reads what is there, waiting for at least one byte.

        Returns:
            The bytes; empty after an orderly close.

        Raises:
            ConnectionLostError: The connection was reset.
        """
        while not self._buffer:
            if self._reset:
                raise ConnectionLostError("The connection was reset.")
            if self._ended:
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._paused and self._transport and not self._ended:
            self._transport.resume_reading()
            self._paused = False
        return data

    def write(self, data: bytes) -> None:
        """Sends bytes; those to a closed connection are dropped.

        The reader of such a connection learns of the close itself.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits until the peer has room."""
        await self._writable.wait()

    def close(self) -> None:
        """Closes after what was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes at once."""
        if self._transport is not None:
            self._transport.abort()

    def limit_silence(self) -> None:
        """Lets the kernel end the connection where the peer is gone."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

    def _end(self) -> None:
        self._ended = True
        if not self.lost.done():
            self.lost.set_result(None)
        self._wake()

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)


async def open_channel(address: str, timeout_s: float) -> Channel:
    """Connects to `IP:PORT`.

    Raises:
        ConnectionLostError: Refused, unreachable or timed out; nothing of a
            request can have been sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(Channel, host, int(port))
    except (OSError, TimeoutError, ValueError) as error:
        raise ConnectionLostError(
            f"{address}: {type(error).__name__}."
        ) from error
    channel.limit_silence()
    return channel


class ClientConnection:
    """The side of a connection that asks.

    Attributes:
        channel: Its bytes.
        idle_since_s: Loop time at which it was last used.
        uses: Requests sent on it.
    """

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.idle_since_s = 0.0
        self.uses = 0
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._head: h11.Request | None = None

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Sends a whole request.

        Raises:
            WrongMessageError: It is no request of HTTP/1.1.
        """
        self.uses += 1
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
            raise WrongMessageError(str(error)) from error
        self.channel.write(data)

    async def receive_head(self) -> h11.Response:
        """Reads the head of the answer.

        Raises:
            ConnectionLostError: The connection ended before it.
            WrongMessageError: The bytes are no answer.
        """
        while True:
            event = await self._receive()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError("Closed before an answer.")

    async def receive_part(self) -> bytes | None:
        """Reads a part of the body; None after the whole of it.

        Raises:
            ConnectionLostError: It ended before the whole body.
            WrongMessageError: The bytes are no answer.
        """
        event = await self._receive()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionLostError("Closed within an answer.")

    def skip_answer(self) -> None:
        """Prepares to read the next answer in place of the last one.

        For a late second answer to an earlier request: the real one follows
        it on the same connection.
        """
        trailing, _ = self._parser.trailing_data
        assert self._head is not None
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._parser.send(self._head)
        self._parser.send(h11.EndOfMessage())
        if trailing:
            self._parser.receive_data(trailing)

    def make_reusable(self) -> bool:
        """Readies the connection for another request, where that is safe.

        Bytes after a whole answer belong to no request, and a request body
        that the peer has not read would be taken for the next request.
        """
        channel, parser = self.channel, self._parser
        trailing, is_closed = parser.trailing_data
        if trailing or is_closed or channel.has_input or channel.has_output:
            return False
        if not channel.is_open:
            return False
        if (parser.our_state, parser.their_state) != (h11.DONE, h11.DONE):
            return False
        parser.start_next_cycle()
        return True

    def abort(self) -> None:
        """Ends the connection, which also ends the peer's work on it."""
        self.channel.abort()

    async def _receive(self) -> object:
        while True:
            try:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._parser.receive_data(await self.channel.receive())
            except h11.RemoteProtocolError as error:
                if self._parser.their_state is h11.ERROR and (
                    not self.channel.is_open
                ):
                    raise ConnectionLostError(str(error)) from error
                raise WrongMessageError(str(error)) from error


def remove_hop_by_hop(headers: Sequence[tuple[bytes, bytes]]) -> Headers:
    """Drops headers that concern one connection only.

    Args:
        headers: Names as received, in any case.
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    # A sender may not name the message's own framing as its connection's.
    dropped = HOP_BY_HOP | (named - {b"content-length", b"host"})
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def get_raw_headers(
    event: h11.Request | h11.Response,
) -> list[tuple[bytes, bytes]]:
    """Headers of a message with names spelled as received."""
    return list(event.headers.raw_items())

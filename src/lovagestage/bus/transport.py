"""pyzmq sockets on the asyncio loop, with CURVE on every connection.

The sockets are read through the loop's reader callbacks and drained in one
go: an awaitable per message costs several times what the message itself
does, which counts at one message per token.
"""

from __future__ import annotations

import abc
import asyncio
import enum
import logging
from collections.abc import Callable

import zmq
import zmq.auth
from zmq.auth.asyncio import AsyncioAuthenticator
from zmq.utils.monitor import parse_monitor_message

from lovagestage.exceptions import CodecError
from lovagestage.messages.envelope import (
    MAX_MESSAGE_BYTES,
    Message,
    decode_message,
    encode_message,
)
from lovagestage.settings import BusSettings

_log = logging.getLogger(__name__)

SEND_QUEUE_MESSAGES = 10_000
DRAIN_BATCH = 256
HANDSHAKE_TIMEOUT_MS = 2_000
PROBE_TIMEOUT_S = 1.0
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000

PeerId = bytes
"""Routing id that a listener gives a connection."""


class _ReadableSocket(abc.ABC):
    """A socket drained by the loop.

    The file descriptor of a zmq socket is edge-triggered: an event that is
    not drained is not signalled again, and a send may consume it. Both cases
    would leave messages unread until the next one arrives; therefore reads go
    on until the socket is empty, and each send looks for input afterwards.
    """

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        self.socket = socket
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(socket.fileno(), self._drain)
        self._loop.call_soon(self._drain)

    @abc.abstractmethod
    def on_frames(self, frames: list[bytes]) -> None:
        """Handles one message."""

    def send_frames(self, frames: list[bytes]) -> bool:
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        if int(self.socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            self._loop.call_soon(self._drain)
        return True

    def close(self) -> None:
        if self.socket.closed:
            return
        self._loop.remove_reader(self.socket.fileno())
        self.socket.close(linger=500)

    def _drain(self) -> None:
        for _ in range(DRAIN_BATCH):
            if self.socket.closed:
                return
            try:
                frames = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            self.on_frames(frames)
        self._loop.call_soon(self._drain)


def _decode_or_log(data: bytes) -> Message | None:
    try:
        return decode_message(data)
    except CodecError as error:
        _log.warning("undecodable_message", extra={"error": error.message})
        return None


class Listener(_ReadableSocket):
    """Accepts connections of other processes.

    Args:
        context: The process's zmq context.
        settings: Address and keys.
        on_message: Called with the connection's id and the message.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        settings: BusSettings,
        on_message: Callable[[PeerId, Message], None],
    ) -> None:
        socket = context.socket(zmq.ROUTER)
        _set_common_options(socket, settings)
        socket.curve_server = True
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.bind(f"tcp://{settings.bind}")
        self._on_message = on_message
        super().__init__(socket)

    def send(self, peer: PeerId, message: Message) -> bool:
        """Sends to a connection; False where it is gone or its queue full."""
        return self.send_frames([peer, encode_message(message)])

    def on_frames(self, frames: list[bytes]) -> None:
        """Handles one message from a connection."""
        message = _decode_or_log(frames[-1])
        if message is not None:
            self._on_message(frames[0], message)


class ConnectionEvent(enum.Enum):
    """What became of a connection."""

    OPENED = "opened"
    CLOSED = "closed"


_EVENTS = {
    int(zmq.EVENT_HANDSHAKE_SUCCEEDED): ConnectionEvent.OPENED,
    int(zmq.EVENT_DISCONNECTED): ConnectionEvent.CLOSED,
    int(zmq.EVENT_CLOSED): ConnectionEvent.CLOSED,
}
"""`EVENT_CLOSED` comes where a connection could not be made."""


class _Monitor(_ReadableSocket):
    """Reads a socket's events."""

    def __init__(
        self,
        watched: zmq.Socket[bytes],
        on_event: Callable[[ConnectionEvent], None],
    ) -> None:
        self._watched = watched
        self._on_event = on_event
        super().__init__(watched.get_monitor_socket(sum(_EVENTS)))

    def on_frames(self, frames: list[bytes]) -> None:
        """Hands on one event."""
        event = _EVENTS.get(int(parse_monitor_message(frames)["event"]))
        if event is not None:
            self._on_event(event)

    def close(self) -> None:
        """Ends the watch; the watched socket must still be open."""
        if self.socket.closed:
            return
        self._loop.remove_reader(self.socket.fileno())
        self._watched.disable_monitor()
        self.socket.close(linger=0)


class Connection(_ReadableSocket):
    """Connects to another process's listener.

    Args:
        context: The process's zmq context.
        settings: Keys of this process.
        address: `HOST:PORT` of the other.
        server_key: Public key of the other, Z85.
        on_message: Called with each message.
        on_event: Called when the connection opens or closes.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        settings: BusSettings,
        address: str,
        server_key: str,
        on_message: Callable[[Message], None],
        on_event: Callable[[ConnectionEvent], None],
    ) -> None:
        socket = context.socket(zmq.DEALER)
        _set_common_options(socket, settings)
        socket.curve_serverkey = server_key.encode()
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        self._monitor = _Monitor(socket, on_event)
        socket.connect(f"tcp://{address}")
        self._on_message = on_message
        super().__init__(socket)

    def close(self) -> None:
        """Closes the connection and its watch."""
        self._monitor.close()
        super().close()

    def send(self, message: Message) -> bool:
        """Sends; False where the queue is full."""
        return self.send_frames([encode_message(message)])

    def on_frames(self, frames: list[bytes]) -> None:
        """Handles one message from the other process."""
        message = _decode_or_log(frames[-1])
        if message is not None:
            self._on_message(message)


async def is_refused(address: str) -> bool:
    """Whether nothing listens at `HOST:PORT`.

    A refusal comes from the other machine's kernel: the process that
    listened there has ended. Silence proves nothing.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False


def _set_common_options(
    socket: zmq.Socket[bytes], settings: BusSettings
) -> None:
    socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.curve_publickey = settings.public_key.encode()
    socket.curve_secretkey = settings.secret_key.encode()


class KeyAuthenticator:
    """Lets in only connections whose public key is in the settings.

    Without it anyone on the network who knows a listener's public key could
    run or cancel requests; CURVE itself checks only the server.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        accepted_keys: list[str],
    ) -> None:
        self._authenticator = AsyncioAuthenticator(context)
        self._accepted_keys = {key.encode() for key in accepted_keys}

    def start(self) -> None:
        """Starts to answer the sockets' questions."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain="*", credentials_provider=self
        )

    def stop(self) -> None:
        """Stops answering."""
        self._authenticator.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Called by pyzmq with a public key in Z85."""
        del domain
        return key in self._accepted_keys

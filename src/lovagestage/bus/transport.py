"""pyzmq sockets on the asyncio loop, with CURVE on every connection.

The loop's reader callback reads a socket until it is empty. An awaitable per
message would cost several times as much as handling the message itself, and
a stream sends one message per token.
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
"""Messages that a socket queues per connection, in each direction."""
DRAIN_BATCH = 256
"""Messages that a socket reads before other callbacks of the loop run."""
HANDSHAKE_TIMEOUT_MS = 2_000
"""Time in which a client must complete the handshake with a listener."""
PROBE_TIMEOUT_S = 1.0
"""Longest time that a probe of a peer's port may take; a slower one proves
nothing."""
RECONNECT_MIN_MS = 50
"""Time that zmq waits before it first reconnects."""
RECONNECT_MAX_MS = 1_000
"""Longest time that zmq waits before it reconnects."""

PeerId = bytes
"""Routing id that a listener gives a connection."""


class _ReadableSocket(abc.ABC):
    """A zmq socket whose messages the asyncio loop reads.

    The file descriptor of a zmq socket is edge-triggered: an event that is
    not drained is not signalled again, and a send may consume the event. In
    both cases messages would stay unread until the next one arrives.
    Therefore each read continues until the socket is empty, and each send
    checks for input afterwards.
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
    """Accepts connections from other processes.

    Args:
        context: The zmq context of this process.
        settings: Address to listen on, and keys of this process.
        on_message: Called with the connection's routing id and the message.
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
        """Sends a message to a connection.

        Returns:
            False if the connection is closed or its send queue is full.
        """
        return self.send_frames([peer, encode_message(message)])

    def on_frames(self, frames: list[bytes]) -> None:
        """Decodes one message from a connection and forwards it."""
        message = _decode_or_log(frames[-1])
        if message is not None:
            self._on_message(frames[0], message)


class ConnectionEvent(enum.Enum):
    """Change of a connection's state that the zmq monitor reports."""

    OPENED = "opened"
    CLOSED = "closed"


_EVENTS = {
    int(zmq.EVENT_HANDSHAKE_SUCCEEDED): ConnectionEvent.OPENED,
    int(zmq.EVENT_DISCONNECTED): ConnectionEvent.CLOSED,
    int(zmq.EVENT_CLOSED): ConnectionEvent.CLOSED,
}
"""Monitored zmq events; `EVENT_CLOSED` follows a failed connection attempt."""


class _Monitor(_ReadableSocket):
    """Reads the monitor events of a socket."""

    def __init__(
        self,
        monitored: zmq.Socket[bytes],
        on_event: Callable[[ConnectionEvent], None],
    ) -> None:
        self._monitored = monitored
        self._on_event = on_event
        super().__init__(monitored.get_monitor_socket(sum(_EVENTS)))

    def on_frames(self, frames: list[bytes]) -> None:
        """Reports one event to the callback."""
        event = _EVENTS.get(int(parse_monitor_message(frames)["event"]))
        if event is not None:
            self._on_event(event)

    def close(self) -> None:
        """Stops the monitoring; the monitored socket must still be open."""
        if self.socket.closed:
            return
        self._loop.remove_reader(self.socket.fileno())
        self._monitored.disable_monitor()
        self.socket.close(linger=0)


class Connection(_ReadableSocket):
    """Connects to the listener of a peer process.

    Args:
        context: The zmq context of this process.
        settings: Keys of this process.
        address: `HOST:PORT` of the peer's listener.
        server_key: Public key of the peer, in Z85.
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
        """Closes the connection and its monitor."""
        self._monitor.close()
        super().close()

    def send(self, message: Message) -> bool:
        """Sends a message; returns False if the send queue is full."""
        return self.send_frames([encode_message(message)])

    def on_frames(self, frames: list[bytes]) -> None:
        """Decodes one message from the peer process and forwards it."""
        message = _decode_or_log(frames[-1])
        if message is not None:
            self._on_message(message)


async def is_connection_refused(address: str) -> bool:
    """Returns whether the machine refuses a TCP connection to `HOST:PORT`.

    The kernel of the peer's machine refuses a connection when no process
    listens on the port, so a refusal proves that the process has ended. A
    missing answer proves nothing.
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
    """Accepts only connections whose public key is in the settings.

    Without this check anyone on the network who knows a listener's public
    key could run or cancel requests, because CURVE by itself authenticates
    only the server.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        accepted_keys: list[str],
    ) -> None:
        self._authenticator = AsyncioAuthenticator(context)
        self._accepted_keys = {key.encode() for key in accepted_keys}

    def start(self) -> None:
        """Starts to handle the authentication requests of the sockets."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain="*", credentials_provider=self
        )

    def stop(self) -> None:
        """Stops handling authentication requests."""
        self._authenticator.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a public key in Z85 is accepted; pyzmq calls it."""
        del domain
        return key in self._accepted_keys

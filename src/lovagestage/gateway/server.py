"""HTTP server on which callers send requests."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable

import h11

from lovagestage.adapters.http1 import Channel
from lovagestage.exceptions import (
    AttemptFailedError,
    ConnectionLostError,
    GatewayRefusalError,
    WrongMessageError,
)
from lovagestage.gateway.caller_connection import CallerConnection
from lovagestage.gateway.configuration import ClientLimits
from lovagestage.gateway.listeners import BACKLOG
from lovagestage.gateway.messages import CallerRequest

_log = logging.getLogger(__name__)

Handler = Callable[[CallerRequest, CallerConnection], Awaitable[None]]


class CallerServer:
    """Accepts callers' connections and runs one task for each.

    Args:
        handler: Answers one request.
        limits: Returns the current limits for requests.
    """

    def __init__(
        self, handler: Handler, limits: Callable[[], ClientLimits]
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], CallerConnection] = {}
        self.is_draining = False

    @property
    def open_requests(self) -> int:
        """Number of requests that are being read or answered."""
        return sum(connection.is_busy for connection in self._tasks.values())

    async def open(self, listener: socket.socket) -> None:
        """Starts accepting the connections of a listening socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_channel, sock=listener, backlog=BACKLOG
        )

    def close_idle(self) -> None:
        """Closes connections on which no request is being read or answered."""
        for connection in self._tasks.values():
            if not connection.is_busy:
                connection.channel.close()

    def close(self) -> None:
        """Stops accepting connections and closes idle ones."""
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
        # When a caller disconnects, the work on its request ends immediately.
        channel.closed_by_peer.add_done_callback(lambda _: task.cancel())

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            while await self._serve_request(connection):
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

    async def _serve_request(self, connection: CallerConnection) -> bool:
        try:
            request = await connection.read_request()
        except WrongMessageError as error:
            _log.warning(
                "message_refused",
                extra={
                    "caller": connection.channel.get_peer_address(),
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
        connection.closes = self.is_draining
        try:
            await self._handler(request, connection)
        except AttemptFailedError:
            # The connection is aborted so that the stream does not look
            # complete.
            connection.channel.abort()
            return False
        return connection.prepare_next_request()


class _AcceptedChannel(Channel):
    def __init__(self, accept: Callable[[Channel], None]) -> None:
        super().__init__()
        self._accept = accept

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._accept(self)

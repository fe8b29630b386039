"""HTTP server on which callers send requests."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable

from lovagestage.adapters.http1 import Channel
from lovagestage.exceptions import (
    AttemptFailedError,
    CallerLostError,
    CallerMessageError,
    GatewayRefusalError,
    ProcessEndingError,
)
from lovagestage.gateway.caller_connection import CallerConnection
from lovagestage.gateway.configuration import ClientLimits
from lovagestage.gateway.listeners import BACKLOG
from lovagestage.gateway.messages import CallerRequest

_log = logging.getLogger(__name__)

IDLE_LINGER_S = 0.25
"""Time in seconds for which a connection stays open after an answer that did
not tell its caller to leave, and after it was accepted: a request that follows
is read and answered or refused. A caller that has more to send does so within
a round trip and a short stall of its process."""

Handler = Callable[[CallerRequest, CallerConnection], Awaitable[None]]


class CallerServer:
    """Accepts callers' connections and runs one task for each.

    Args:
        handler: Answers one request.
        limits: Returns the current limits for requests.
        admits_connection: Returns whether a new connection is served; others
            are closed before anything was read.

    Attributes:
        is_draining: Whether answers tell their callers to leave.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        admits_connection: Callable[[], bool] = lambda: True,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._admits_connection = admits_connection
        self.is_draining = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: dict[Channel, CallerConnection] = {}

    @property
    def open_requests(self) -> int:
        """Number of requests that are being read or answered.

        A request is open until the last byte of its answer has left the
        process.
        """
        return sum(
            connection.is_busy or channel.has_unsent_output
            for channel, connection in self._connections.items()
        )

    @property
    def open_connections(self) -> int:
        """Number of connections that are not closed."""
        return len(self._connections)

    async def open(self, listener: socket.socket) -> None:
        """Starts accepting the connections of a listening socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_channel, sock=listener, backlog=BACKLOG
        )

    def close_idle(self) -> None:
        """Closes connections on which no request is being read or answered.

        One on which bytes have arrived, or may follow its last answer, stays
        open.
        """
        latest_s = asyncio.get_running_loop().time() - IDLE_LINGER_S
        for channel, connection in self._connections.items():
            if (
                not connection.is_busy
                and connection.idle_since_s <= latest_s
                and not channel.has_arrived_input()
            ):
                channel.close()

    def end_requests(self) -> None:
        """Ends the work on all open requests, as the process ends."""
        for connection in self._connections.values():
            connection.end()

    def close(self) -> None:
        """Stops accepting connections and closes idle ones."""
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def _make_channel(self) -> Channel:
        return _AcceptedChannel(self._accept, self._forget)

    def _accept(self, channel: Channel) -> None:
        if not self._admits_connection():
            channel.abort()
            return
        connection = CallerConnection(
            channel, self._limits, lambda: self.is_draining
        )
        self._connections[channel] = connection
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # When a caller disconnects, the work on its request ends immediately.
        channel.closed_by_peer.add_done_callback(lambda _: task.cancel())

    def _forget(self, channel: Channel) -> None:
        self._connections.pop(channel, None)

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            while await self._serve_request(connection):
                pass
            connection.channel.close()
        except CallerLostError as error:
            _log.info("caller_lost", extra={"reason": error.message})
            connection.channel.abort()
        except asyncio.CancelledError:
            connection.channel.abort()
        except Exception:
            _log.exception("caller_connection_failed")
            connection.channel.abort()

    async def _serve_request(self, connection: CallerConnection) -> bool:
        """Serves one request; returns whether another one may follow."""
        try:
            request = await connection.read_request()
        except CallerMessageError as error:
            refusal = GatewayRefusalError(error.status, "wrong_message")
            await self._refuse_unread(connection, refusal, error.message)
            return False
        except ProcessEndingError as refusal:
            await self._refuse_unread(connection, refusal, refusal.reason)
            return False
        except CallerLostError:
            raise
        except Exception:
            _log.exception("request_not_read")
            failure = GatewayRefusalError(503, "internal_error")
            await self._refuse_unread(connection, failure, failure.reason)
            return False
        if request is None:
            return False
        try:
            await self._handler(request, connection)
        except (AttemptFailedError, ProcessEndingError):
            await self._end_answer(request, connection)
            return False
        except Exception:
            _log.exception(
                "caller_connection_failed", extra={"request": request.id}
            )
            await self._end_answer(request, connection)
            return False
        return connection.prepare_next_request()

    async def _refuse_unread(
        self,
        connection: CallerConnection,
        refusal: GatewayRefusalError,
        reason: str,
    ) -> None:
        """Refuses a request that was not read completely."""
        _log.warning(
            "message_refused",
            extra={
                "caller": connection.channel.get_peer_address(),
                "reason": reason,
                "status": refusal.status,
            },
        )
        connection.closes = True
        await connection.send_refusal("", refusal)

    async def _end_answer(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        """Ends the answer to a request that failed; the request may have run.

        A caller that has got the head of an answer can be told by the end of
        its connection alone; any other one gets an answer.
        """
        if connection.status:
            connection.channel.abort()
            return
        connection.closes = True
        refusal = GatewayRefusalError(502, "internal_error")
        await connection.send_refusal(request.id, refusal)


class _AcceptedChannel(Channel):
    def __init__(
        self,
        on_made: Callable[[Channel], None],
        on_lost: Callable[[Channel], None],
    ) -> None:
        super().__init__()
        self._on_made = on_made
        self._on_lost = on_lost

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._on_made(self)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self._on_lost(self)

"""Pool of idle HTTP connections to upstreams."""

from __future__ import annotations

import asyncio
import weakref

from lovagestage.adapters.http1 import ClientConnection, open_channel
from lovagestage.gateway.upstream import Upstream

CONNECT_TIMEOUT_S = 0.4
"""Timeout in seconds for opening a connection. If it takes longer, two opening
packets to a near zone were lost or the VM does not respond: another upstream
answers sooner than a third packet would arrive."""
IDLE_LIMIT_S = 3.0
"""Time in seconds after which an idle connection is no longer reused, unless
the upstream announces a shorter one. Common servers close idle connections
after 5 s or sooner, and a request that meets the close has to be sent again."""
IDLE_MARGIN_S = 0.7
"""Part in seconds of an announced idle timeout that is not used, because the
request must arrive before the upstream closes the connection."""
MAX_IDLE_CONNECTIONS = 6
"""Idle connections pooled for one upstream. An upstream's connection limit
applies to all gateways together, so each gateway may keep only a few open."""


class ConnectionPool:
    """Pools idle connections per upstream process.

    An upstream that restarted under its id is a different pool key. On a
    connection to the previous process, a request would wait for an answer that
    never comes.
    """

    def __init__(self) -> None:
        self._idle: dict[Upstream, list[ClientConnection]] = {}
        self._idle_limits_s: weakref.WeakKeyDictionary[Upstream, float] = (
            weakref.WeakKeyDictionary()
        )

    async def acquire(
        self, upstream: Upstream, may_reuse: bool
    ) -> ClientConnection:
        """Returns the most recently used idle connection, or opens a new one.

        Args:
            upstream: The upstream to connect to.
            may_reuse: Whether an idle pooled connection may be used. It must be
                False for a request that must not run twice: if the request
                crosses the upstream's close of the connection, it may have run,
                so the gateway could neither retry it nor report it as not run.
                The connection's age does not help, since an upstream may close
                at any time.

        Returns:
            A connection on which a request can be sent.

        Raises:
            UpstreamConnectionError: No connection could be opened; nothing was
                sent.
        """
        now_s = asyncio.get_running_loop().time()
        idle_limit_s = min(
            IDLE_LIMIT_S, self._idle_limits_s.get(upstream, IDLE_LIMIT_S)
        )
        idle = self._idle.get(upstream, [])
        while may_reuse and idle:
            connection = idle.pop()
            connection.channel.is_idle = False
            is_reusable = now_s - connection.idle_since_s < idle_limit_s
            if is_reusable and connection.make_reusable():
                return connection
            connection.abort()
        channel = await open_channel(upstream.entry.address, CONNECT_TIMEOUT_S)
        return ClientConnection(channel)

    def release(
        self,
        upstream: Upstream,
        connection: ClientConnection,
        idle_timeout_s: float | None,
    ) -> None:
        """Returns a connection to the pool.

        Args:
            upstream: The upstream at the other end.
            connection: The connection, whose answer has been read completely;
                it is closed if the pool for the upstream is full.
            idle_timeout_s: Idle timeout in seconds that the upstream announced;
                None if it announced none.
        """
        if idle_timeout_s is not None:
            self._idle_limits_s[upstream] = idle_timeout_s - IDLE_MARGIN_S
        idle = self._idle.setdefault(upstream, [])
        channel = connection.channel
        is_usable = channel.is_open and not channel.has_unread_input
        if len(idle) >= MAX_IDLE_CONNECTIONS or not is_usable:
            connection.abort()
            return
        channel.is_idle = True
        connection.idle_since_s = asyncio.get_running_loop().time()
        idle.append(connection)

    def close_expired(self) -> None:
        """Closes connections that have been idle for over `IDLE_LIMIT_S`."""
        now_s = asyncio.get_running_loop().time()
        for upstream, idle in list(self._idle.items()):
            expired = [c for c in idle if now_s - c.idle_since_s > IDLE_LIMIT_S]
            for connection in expired:
                idle.remove(connection)
                connection.abort()
            if not idle:
                del self._idle[upstream]

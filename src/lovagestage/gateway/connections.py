"""Kept connections to upstreams."""

from __future__ import annotations

import asyncio
import weakref

from lovagestage.adapters.http1 import ClientConnection, open_channel
from lovagestage.gateway.upstream import Upstream

CONNECT_TIMEOUT_S = 0.4
"""Two lost opening packets of a near zone, or a dark VM: another upstream
answers sooner than a third packet would arrive."""
IDLE_LIMIT_S = 3.0
"""An idle connection is not used after this, where the upstream names no
shorter time: common servers close after 5 s and sooner."""
IDLE_MARGIN_S = 0.7
"""Part of a named idle time that is not used; the request must arrive before
it is over."""
MAX_IDLE = 6
"""Idle connections kept for one upstream; its limit is for all gateways."""


class ConnectionPool:
    """Idle connections by upstream.

    One that started again under its id is another upstream: a connection to
    the process before would wait for an answer of nobody.
    """

    def __init__(self) -> None:
        self._idle: dict[Upstream, list[ClientConnection]] = {}
        self._idle_limits_s: weakref.WeakKeyDictionary[Upstream, float] = (
            weakref.WeakKeyDictionary()
        )

    async def acquire(
        self, upstream: Upstream, may_reuse: bool
    ) -> ClientConnection:
        """Takes the connection that was used last, or opens one.

        Args:
            upstream: Where to.
            may_reuse: Whether a kept connection will do. Not for a request
                that must not run twice: one that crosses the upstream's
                close may have run, and could be neither repeated nor called
                not run. An upstream may close at any time, so age is no help.

        Raises:
            ConnectionLostError: None could be opened; nothing was sent.
        """
        now_s = asyncio.get_running_loop().time()
        limit_s = min(
            IDLE_LIMIT_S, self._idle_limits_s.get(upstream, IDLE_LIMIT_S)
        )
        idle = self._idle.get(upstream, [])
        while may_reuse and idle:
            connection = idle.pop()
            is_young = now_s - connection.idle_since_s < limit_s
            if is_young and connection.make_reusable():
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
        """Keeps a connection whose answer has been read whole."""
        if idle_timeout_s is not None:
            self._idle_limits_s[upstream] = idle_timeout_s - IDLE_MARGIN_S
        idle = self._idle.setdefault(upstream, [])
        if len(idle) >= MAX_IDLE or not connection.channel.is_open:
            connection.abort()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        idle.append(connection)

    def expire(self) -> None:
        """Closes connections that are too old to be used."""
        now_s = asyncio.get_running_loop().time()
        for upstream, idle in list(self._idle.items()):
            old = [c for c in idle if now_s - c.idle_since_s > IDLE_LIMIT_S]
            for connection in old:
                idle.remove(connection)
                connection.abort()
            if not idle:
                del self._idle[upstream]

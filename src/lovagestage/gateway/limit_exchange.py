"""Tells the other gateways which request limits upstreams state.

A gateway without a share of a limit sends the upstream nothing, so it hears
from other gateways alone that the limit has changed or ended. One that the
upstream has not told yet holds back as well, where it would otherwise send
more until its first answer.

A gateway that reads a new limit tells all others at once. A few gateways repeat
what is in force, which replaces lost datagrams and confirms the limit.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import struct

import mode

from lovagestage.decisions.limit_sharing import get_rank
from lovagestage.decisions.upstream_notices import MAX_REQUESTS_PER_S
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.peers import PeerAddress, PeerSocket, format_peer
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import Upstream
from lovagestage.gateway.upstream_guard import UpstreamGuard

_log = logging.getLogger(__name__)

DATAGRAM_KIND = b"lvl1"
REPEATING_GATEWAYS = 3
"""Number of gateways that repeat the limit of an upstream: one may be down and
another one have lost the upstream."""
REPEAT_INTERVAL_S = 2.0
"""Interval in seconds in which limits are repeated where there are few
gateways."""
REPEATED_DATAGRAMS_PER_S = 40.0
"""Datagrams per second above which the interval grows, so that a gateway sends
some 2 KB/s for this at most."""
NEWS_DATAGRAMS_PER_S = 800.0
"""Datagrams per second that a gateway may send for limits that change."""
NEWS_DELAY_S = 0.03
"""Time in seconds for which a changed limit waits for others that change at the
same moment."""
ENDED_REPEATS = 3
"""Number of times that the end of a limit is repeated."""
MIN_CHANGE_RATIO = 0.1
"""Smallest relative change of a limit that is told to the others at once. A
limit that varies with each answer is repeated with its newest value."""
MAX_ENTRIES = 60
"""Maximum number of upstreams in a datagram, which then fits into a packet."""
AGE_UNIT_S = 0.01
_ENTRY = struct.Struct(">IdH")
_MAX_AGE_UNITS = 0xFFFF
_NO_LIMIT = -1.0


@dataclasses.dataclass
class _Ended:
    """A limit that has ended, and how often its end is still repeated."""

    repeats_left: int = ENDED_REPEATS


class LimitExchange(mode.Service):
    """Exchanges the request limits of upstreams with the other gateways.

    Args:
        socket: Socket for the datagrams.
        rotation: The upstreams.
        guard: Knows and applies the limits.
    """

    def __init__(
        self, socket: PeerSocket, rotation: Rotation, guard: UpstreamGuard
    ) -> None:
        super().__init__()
        self._socket = socket
        self._rotation = rotation
        self._guard = guard
        self._told: dict[Upstream, float | None] = {}
        self._news: set[Upstream] = set()
        self._ended: dict[Upstream, _Ended] = {}
        self._news_added = asyncio.Event()
        self._repeated_s = get_elapsed_s()
        guard.set_limit_listener(self.on_limit_changed)
        socket.register(DATAGRAM_KIND, self.apply_datagram)

    def on_limit_changed(self, upstream: Upstream) -> None:
        """Tells the others of a limit that this gateway has read."""
        per_s = upstream.notices.limit_per_s
        if per_s is None:
            self._ended[upstream] = _Ended()
        else:
            self._ended.pop(upstream, None)
        if _is_change(self._told.get(upstream), per_s):
            self._told[upstream] = per_s
            self._news.add(upstream)
            self._news_added.set()

    def apply_datagram(self, data: bytes, peer: PeerAddress) -> None:
        """Applies the limits in a datagram of another gateway.

        Entries that are malformed are dropped and logged; those of upstreams
        that are not known here are dropped.
        """
        now_s = get_elapsed_s()
        try:
            entries = list(_ENTRY.iter_unpack(data))
        except struct.error as error:
            self._log_refused(peer, str(error))
            return
        for name_hash, value, age_units in entries:
            upstream = self._rotation.find_process(name_hash)
            if upstream is None:
                continue
            per_s = None if value == _NO_LIMIT else value
            if per_s is not None and not 0.0 <= per_s <= MAX_REQUESTS_PER_S:
                self._log_refused(peer, f"limit {value}")
                continue
            self._apply(upstream, per_s, now_s - age_units * AGE_UNIT_S)

    def _apply(
        self, upstream: Upstream, per_s: float | None, heard_s: float
    ) -> None:
        self._guard.record_peer_limit(upstream, per_s, heard_s)
        self._told[upstream] = upstream.notices.limit_per_s
        if per_s is not None:
            self._ended.pop(upstream, None)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(self._get_repeat_interval_s()):
                    await self._news_added.wait()
            except TimeoutError:
                self._repeat()
                continue
            await asyncio.sleep(self._get_news_delay_s())
            self._news_added.clear()
            news, self._news = self._news, set()
            self._send(news)
            if self._is_repeat_due():
                self._repeat()

    def _repeat(self) -> None:
        """Repeats what is in force, and forgets upstreams that are gone."""
        now_s = self._repeated_s = get_elapsed_s()
        noticed = self._guard.get_noticed(now_s)
        gateways = self._guard.get_gateway_set(now_s)
        limited = {
            upstream
            for upstream in noticed
            if upstream.notices.limit_per_s is not None
            and get_rank(gateways, upstream.id) < REPEATING_GATEWAYS
        }
        self._send(limited | self._ended.keys())
        for upstream, ended in list(self._ended.items()):
            ended.repeats_left -= 1
            if ended.repeats_left <= 0:
                del self._ended[upstream]
        for upstream in self._told.keys() - noticed - self._ended.keys():
            del self._told[upstream]

    def _send(self, upstreams: set[Upstream]) -> None:
        now_s = get_elapsed_s()
        entries = [_encode(upstream, now_s) for upstream in upstreams]
        for start in range(0, len(entries), MAX_ENTRIES):
            data = b"".join(entries[start : start + MAX_ENTRIES])
            for peer in self._socket.peers:
                self._socket.send(DATAGRAM_KIND, data, peer)

    def _is_repeat_due(self) -> bool:
        age_s = get_elapsed_s() - self._repeated_s
        return age_s >= self._get_repeat_interval_s()

    def _get_repeat_interval_s(self) -> float:
        peer_count = len(self._socket.peers)
        return max(REPEAT_INTERVAL_S, peer_count / REPEATED_DATAGRAMS_PER_S)

    def _get_news_delay_s(self) -> float:
        peer_count = len(self._socket.peers)
        return max(NEWS_DELAY_S, peer_count / NEWS_DATAGRAMS_PER_S)

    @staticmethod
    def _log_refused(peer: PeerAddress, error: str) -> None:
        _log.warning(
            "limit_refused", extra={"peer": format_peer(peer), "error": error}
        )


def _is_change(told: float | None, per_s: float | None) -> bool:
    if told is None or per_s is None:
        return told != per_s
    return not math.isclose(told, per_s, rel_tol=MIN_CHANGE_RATIO)


def _encode(upstream: Upstream, now_s: float) -> bytes:
    notices = upstream.notices
    age_units = round(max(0.0, now_s - notices.limit_heard_s) / AGE_UNIT_S)
    per_s = notices.limit_per_s
    return _ENTRY.pack(
        upstream.get_process_hash(),
        _NO_LIMIT if per_s is None else per_s,
        min(_MAX_AGE_UNITS, age_units),
    )

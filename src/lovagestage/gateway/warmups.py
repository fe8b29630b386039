"""Keeps a gateway's requests through cold upstreams within their part."""

from __future__ import annotations

from collections.abc import Callable, Collection

from lovagestage.decisions.warmup import Gateways, Warmup, WarmupPolicy
from lovagestage.gateway.peers import PeerAddress, format_peer
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import ZoneId

SETTLE_S = 3.0
"""A gateway that has just started leaves cold upstreams to others: its note
reaches them within about a second, and what waits where tells it of them
several times a second."""


class WarmupGuard:
    """Says which cold upstreams may get one more request from here.

    Args:
        policy: How gateways share the rate of a cold upstream.
        zone: The gateway's availability zone.
        own: The gateway's address; None where gateways can't hear of each
            other.
        get_neighbours: Addresses of the others in the zone.
        started_s: Elapsed time at the start of the process.
    """

    def __init__(
        self,
        policy: WarmupPolicy,
        zone: ZoneId,
        own: PeerAddress | None,
        get_neighbours: Callable[[], Collection[PeerAddress]],
        started_s: float,
    ) -> None:
        self._policy = policy
        self._zone = zone
        self._own = own
        self._get_neighbours = get_neighbours
        self._started_s = started_s

    def has_room(
        self, upstream: Upstream, warmup: Warmup, now_s: float
    ) -> bool:
        """Whether an upstream is warm, or may get one more request."""
        if not upstream.warmup.is_cold(now_s):
            return True
        pace = self._policy.get_pace(
            self._get_gateways(now_s),
            upstream.id,
            upstream.entry.zone,
            warmup.per_s,
        )
        return upstream.warmup.has_room(pace, now_s)

    def _get_gateways(self, now_s: float) -> Gateways:
        neighbours = None
        if self._own is not None:
            neighbours = [format_peer(peer) for peer in self._get_neighbours()]
        return Gateways(
            "" if self._own is None else format_peer(self._own),
            self._zone,
            neighbours,
            now_s - self._started_s >= SETTLE_S,
        )

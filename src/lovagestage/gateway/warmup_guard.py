"""Keeps this gateway within its share of an upstream's warm-up rate."""

from __future__ import annotations

from collections.abc import Callable, Collection

from lovagestage.decisions.warmup import GatewayView, Warmup, WarmupPolicy
from lovagestage.gateway.peers import PeerAddress, format_peer
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import ZoneId

STARTUP_DELAY_S = 3.0
"""Time in seconds after its start in which a gateway leaves upstreams that are
warming up to other gateways: its hello message reaches them within about a
second, and it receives the reported queue times, which name the other
gateways, several times a second."""


class WarmupGuard:
    """Decides whether an upstream that warms up may get another request.

    Args:
        policy: How gateways share the request rate of an upstream that is
            warming up.
        zone: The gateway's availability zone.
        own: The gateway's address; None where gateways cannot discover each
            other.
        get_zone_peers: Returns the addresses of the other gateways in the
            zone.
        started_s: Elapsed time in seconds at the start of the process.
    """

    def __init__(
        self,
        policy: WarmupPolicy,
        zone: ZoneId,
        own: PeerAddress | None,
        get_zone_peers: Callable[[], Collection[PeerAddress]],
        started_s: float,
    ) -> None:
        self._policy = policy
        self._zone = zone
        self._own = own
        self._get_zone_peers = get_zone_peers
        self._started_s = started_s

    def may_send(
        self, upstream: Upstream, warmup: Warmup, now_s: float
    ) -> bool:
        """Returns whether an upstream may get another request from here.

        An upstream that is not warming up may always get one.

        Args:
            upstream: The upstream.
            warmup: Warm-up of the upstream's service.
            now_s: Elapsed time in seconds.
        """
        if not upstream.warmup.is_cold(now_s):
            return True
        rate_limit = self._policy.get_rate_limit(
            self._get_gateways(now_s),
            upstream.id,
            upstream.entry.zone,
            warmup.requests_per_s,
        )
        return upstream.warmup.has_capacity(rate_limit, now_s)

    def _get_gateways(self, now_s: float) -> GatewayView:
        peer_names = None
        if self._own is not None:
            peer_names = [format_peer(peer) for peer in self._get_zone_peers()]
        return GatewayView(
            "" if self._own is None else format_peer(self._own),
            self._zone,
            peer_names,
            now_s - self._started_s >= STARTUP_DELAY_S,
        )

"""Chooses the gateways that exchange queue times with each other (no I/O).

With tens of gateways, reports from each to all others have a bounded volume
only if they are rare. Upstreams fill up and empty between two such reports, so
gateways that hold the same outdated state all choose the same upstream, and
its queue time is a second where 0.05 s were reported. Therefore a part of the
gateways exchange frequent reports, and each extrapolates from them to the
others.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping

from lovagestage.gateway.peers import PeerAddress
from lovagestage.types import ZoneId

MAX_PEERS_FOR_FULL_GOSSIP = 10
"""Number of peers up to which every report is sent to all of them."""
MIN_ZONE_PEERS = 5
"""Minimum number of peers in the zone: a smaller sample is no basis for an
estimate of all gateways."""


@dataclasses.dataclass(frozen=True)
class GossipTargets:
    """The peers that get each report, and the factor from them to all peers.

    Attributes:
        peers: Addresses of these gateways.
        zone: Availability zone of these gateways; None if all peers are
            included.
        ratio: Number of all peers divided by the number of these gateways.
            The queue times that these gateways report, times this ratio,
            estimate the queue times of all peers.
    """

    peers: frozenset[PeerAddress]
    zone: ZoneId | None
    ratio: float


def choose_gossip_targets(
    peers: Collection[PeerAddress],
    zones: Mapping[PeerAddress, ZoneId],
    own_zone: ZoneId,
) -> GossipTargets:
    """Chooses the peers that get each report.

    These are the peers in the gateway's own availability zone, or all peers
    where there are few peers in total or in the zone.

    Args:
        peers: Addresses of all other gateways.
        zones: Availability zones of the gateways that have reported theirs.
        own_zone: Availability zone of this gateway.
    """
    zone_peers = frozenset(
        peer for peer in peers if zones.get(peer) == own_zone
    )
    if (
        len(peers) <= MAX_PEERS_FOR_FULL_GOSSIP
        or len(zone_peers) < MIN_ZONE_PEERS
    ):
        return GossipTargets(frozenset(peers), None, 1.0)
    return GossipTargets(zone_peers, own_zone, len(peers) / len(zone_peers))

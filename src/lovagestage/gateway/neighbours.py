"""Which gateways tell each other what they have waiting: pure decisions.

The load that this answers: with tens of gateways, what each tells all others
is bounded only if it is told seldom. Upstreams fill up and empty within that
time, gateways that have heard the same old state run to the same upstream
together, and its waits are a second where 0.05 s were told. A part of the
gateways tell each other often instead, and take the rest to be like them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping

from lovagestage.gateway.peers import PeerAddress
from lovagestage.types import ZoneId

FEW_PEERS = 10
"""So many are told all, often."""
MIN_NEIGHBOURS = 5
"""Fewer say too little of the others."""


@dataclasses.dataclass(frozen=True)
class Neighbours:
    """Who is told often, and what they stand for.

    Attributes:
        peers: Those gateways.
        zone: Their availability zone; None where all are neighbours.
        ratio: All peers, as a multiple of them: what they have waiting times
            this is about what all have.
    """

    peers: frozenset[PeerAddress]
    zone: ZoneId | None
    ratio: float


def choose_neighbours(
    peers: Collection[PeerAddress],
    zones: Mapping[PeerAddress, ZoneId],
    own_zone: ZoneId,
) -> Neighbours:
    """Chooses the gateways of the own availability zone, where they are many.

    Args:
        peers: All other gateways.
        zones: Availability zones of those that have told it.
        own_zone: The own one.
    """
    near = frozenset(peer for peer in peers if zones.get(peer) == own_zone)
    if len(peers) <= FEW_PEERS or len(near) < MIN_NEIGHBOURS:
        return Neighbours(frozenset(peers), None, 1.0)
    return Neighbours(near, own_zone, len(peers) / len(near))

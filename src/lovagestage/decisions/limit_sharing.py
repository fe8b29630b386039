"""Shares an upstream's stated request limit among the gateways.

The limit binds the sum over all gateways, which can't exchange messages for
every request. Equal parts for all gateways waste the limit where it is small:
with hundreds of gateways each part is one request in minutes, and those that
have no use for it can't give it to others. A hash therefore chooses as many
gateways as the limit has room for, and each of them has an equal share. Small
deployments share among all gateways, so that no caller depends on which
gateway it has reached. Shares that are not needed are lent to gateways that get
more requests (`share_lending`).

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection
from typing import Protocol

import xxhash

from lovagestage.decisions.share_lending import BaseShare
from lovagestage.types import InstanceId

MIN_SHARING_GATEWAYS = 3
"""Number of gateways that share even the smallest limit, so that one may be
down and another one idle."""
GATEWAYS_PER_REQUEST_PER_S = 2.0
"""Number of further gateways that share a limit, for each request per second of
it. In any time, all gateways together send at most what the limit allows in
that time and in the span in which requests are counted, also while shares are
lent. In 4 s, that is one and a half times what the limit allows, and three
requests more."""
MIN_REQUESTS_PER_S = 0.1
"""Smallest limit that is applied. An upstream that accepts nothing gets one
request in ten seconds: only its answer can tell that it accepts more again."""
MIN_SPAN_S = 1.0
"""Shortest time in seconds in which requests are counted: long enough for
requests that come together, and far below the time over which the sum binds."""
ASSUMED_GATEWAYS = 32
"""Number of gateways to divide a limit by where gateways can't learn of each
other."""


@dataclasses.dataclass(frozen=True)
class GatewaySet:
    """The gateways that send to the same upstreams, as one of them knows them.

    Attributes:
        own_name: Name of the gateway that decides.
        peers: Names of all other gateways; None where gateways can't learn of
            each other.
        live_peers: Names of those of them that were heard from lately.
        is_discovery_complete: Whether the gateway has run for long enough that
            it has learnt of the other gateways and they have learnt of it.
    """

    own_name: str
    peers: Collection[str] | None
    live_peers: Collection[str] = ()
    is_discovery_complete: bool = True


class LimitPolicy(Protocol):
    """Shares the request limit of an upstream among the gateways."""

    def get_share(
        self, gateways: GatewaySet, upstream: InstanceId, per_s: float
    ) -> BaseShare:
        """Returns one gateway's share of an upstream's limit.

        Args:
            gateways: The gateways, as the deciding one knows them.
            upstream: The upstream that states the limit.
            per_s: Requests per second that the upstream accepts from all
                gateways together.
        """


class RankedLimitPolicy:
    """Lets as many gateways send as the limit has room for, by a hash.

    The size of a share follows from all known gateways, and those that were
    not heard from lately are passed over. A gateway that is cut off from the
    others therefore goes on with a share of the same size.
    """

    def get_share(
        self, gateways: GatewaySet, upstream: InstanceId, per_s: float
    ) -> BaseShare:
        """Returns one gateway's share of an upstream's limit."""
        per_s = max(MIN_REQUESTS_PER_S, per_s)
        if gateways.peers is None:
            return BaseShare(per_s / ASSUMED_GATEWAYS, ASSUMED_GATEWAYS / per_s)
        count = count_sharing_gateways(1 + len(gateways.peers), per_s)
        span_s = max(MIN_SPAN_S, count / per_s)
        is_sharing = gateways.is_discovery_complete and (
            get_rank(gateways, upstream) < count
        )
        return BaseShare(per_s / count if is_sharing else 0.0, span_s)


def count_sharing_gateways(known: int, per_s: float) -> int:
    """Returns the number of gateways that share a limit.

    Args:
        known: Number of known gateways, the deciding one included.
        per_s: The limit in requests per second.
    """
    room = MIN_SHARING_GATEWAYS + int(GATEWAYS_PER_REQUEST_PER_S * per_s)
    return min(known, room)


def get_sharing_peers(
    gateways: GatewaySet, upstream: InstanceId, per_s: float
) -> list[str]:
    """Returns the names of the other gateways that have a share of a limit."""
    per_s = max(MIN_REQUESTS_PER_S, per_s)
    live = (gateways.own_name, *gateways.live_peers)
    count = count_sharing_gateways(1 + len(gateways.peers or ()), per_s)
    if count < len(live):
        live = tuple(sorted(live, key=lambda name: _get_hash(name, upstream)))
    return [name for name in live[:count] if name != gateways.own_name]


def get_rank(gateways: GatewaySet, upstream: InstanceId) -> int:
    """Returns the deciding gateway's place among the live ones; 0 is first."""
    own_hash = _get_hash(gateways.own_name, upstream)
    return sum(
        _get_hash(name, upstream) < own_hash for name in gateways.live_peers
    )


def _get_hash(gateway: str, upstream: InstanceId) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{upstream}/{gateway}".encode()))

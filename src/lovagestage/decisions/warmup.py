"""Limits the requests that gateways send to an upstream that is warming up.

An upstream that has just started, or that restarts after an outage, has an
empty queue, so every gateway prefers it. For some seconds after its start it
can handle only a few requests, and without a limit the burst crashes it again.
The limit is a rate over all gateways, which can't exchange messages for every
request. A hash therefore chooses a few warm-up gateways for each upstream, and
each of them may use an equal share of the rate.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection
from typing import Protocol

import xxhash

from lovagestage.decisions.send_rates import NO_REQUESTS, RateLimit
from lovagestage.types import InstanceId, ZoneId

WARMUP_GATEWAYS = 3
"""Number of gateways that send to one upstream while it warms up. With several
of them, one that is down or idle leaves most of the rate usable. Each may use a
third of the rate. The rule on requests to an upstream allows over half as much
again as the rate, so it still holds while twice as many gateways consider
themselves chosen."""
ASSUMED_GATEWAYS = 32
"""Number of gateways to divide the rate by where gateways can't learn of each
other."""
RATE_WINDOW_S = 1.0
"""Length in seconds of the sliding window in which requests are counted."""


@dataclasses.dataclass(frozen=True)
class Warmup:
    """Capacity of a service's upstreams after their start.

    Attributes:
        duration_s: Seconds after its start for which an upstream is warming up.
        requests_per_s: Requests per second that an upstream can handle while it
            warms up, summed over all gateways.
    """

    duration_s: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True)
class GatewayView:
    """The set of gateways as one gateway knows it.

    Attributes:
        own_name: Name of the gateway that decides.
        zone: Availability zone of the gateway that decides.
        zone_peers: Names of the other gateways in the zone; None where gateways
            can't learn of each other.
        is_discovery_complete: Whether the gateway has run for long enough that
            it has learnt of the other gateways and they have learnt of it.
    """

    own_name: str
    zone: ZoneId
    zone_peers: Collection[str] | None
    is_discovery_complete: bool


class WarmupPolicy(Protocol):
    """Divides the rate of an upstream that is warming up among the gateways."""

    def get_rate_limit(
        self,
        gateways: GatewayView,
        upstream: InstanceId,
        zone: ZoneId,
        per_s: float,
    ) -> RateLimit:
        """Returns the limit for one gateway's requests to one upstream.

        Args:
            gateways: The set of gateways as the deciding gateway knows it.
            upstream: The upstream that is warming up.
            zone: Availability zone of the upstream.
            per_s: Requests per second that the upstream can handle from all
                gateways together.
        """


class ZoneWarmupPolicy:
    """Lets a few gateways of the upstream's availability zone send to it.

    Gateways of one zone exchange their state several times per second, those of
    different zones once per minute. Gateways of one zone therefore agree on
    which of them are the warm-up gateways.
    """

    def get_rate_limit(
        self,
        gateways: GatewayView,
        upstream: InstanceId,
        zone: ZoneId,
        per_s: float,
    ) -> RateLimit:
        """Returns the limit for one gateway's requests to one upstream."""
        if gateways.zone_peers is None:
            return make_rate_limit(per_s / ASSUMED_GATEWAYS)
        if zone != gateways.zone or not gateways.is_discovery_complete:
            return NO_REQUESTS
        ranked = sorted(
            (gateways.own_name, *gateways.zone_peers),
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{upstream}/{name}".encode()
            ),
        )
        chosen = ranked[: min(WARMUP_GATEWAYS, max(1, int(per_s)))]
        if gateways.own_name not in chosen:
            return NO_REQUESTS
        return make_rate_limit(per_s / len(chosen))


def make_rate_limit(per_s: float) -> RateLimit:
    """Converts a rate in requests per second to a number per time span."""
    if per_s <= 0.0:
        return NO_REQUESTS
    if per_s < 1.0:
        return RateLimit(1, RATE_WINDOW_S / per_s)
    return RateLimit(int(per_s))


class WarmupTracker:
    """Tracks one upstream's warm-up."""

    def __init__(self) -> None:
        self._until_s = 0.0

    def record_time_left(self, left_s: float, now_s: float) -> bool:
        """Records the remaining warm-up time that was reported.

        An earlier report of a later end stays in force, because a report that
        arrives late may describe the time before the warm-up began.

        Args:
            left_s: Seconds until the warm-up ends.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the upstream is warming up and was not known to be.
        """
        was_cold = self.is_cold(now_s)
        self._until_s = max(self._until_s, now_s + left_s)
        return not was_cold and self.is_cold(now_s)

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the upstream may still be warming up."""
        return now_s < self._until_s

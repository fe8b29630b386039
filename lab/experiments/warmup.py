"""Simulates requests to upstreams that are warming up, under gateway churn.

The upstreams of one availability zone restart and warm up while all gateways
prefer that zone to any other. On troubled days, a third of the gateways have
just started and some have stopped for good but are still counted. Each pair of
gateways with a new one discovers each other late, some of them by seconds. The
product's rule runs on a simulated clock. The baseline gives each gateway the
same share of the rate. Both policies process the same arrivals.

The worst second is the maximum number of arrivals at one upstream, over all
gateways, in any second. The used ratio is the number of requests sent divided
by the number that the upstreams can handle while they warm up.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from lab.experiments import Result
from lovagestage.decisions.send_rates import (
    NO_REQUESTS,
    RateLimit,
    SendLog,
)
from lovagestage.decisions.warmup import (
    GatewayView,
    WarmupPolicy,
    ZoneWarmupPolicy,
    make_rate_limit,
)
from lovagestage.types import InstanceId, ZoneId

GATEWAYS_PER_ZONE = 8
UPSTREAMS = 7
PER_S = 14.0
ALLOWED_RATIO, ALLOWED_SLACK = 1.5, 5.0
WARMUP_S = 3.0
ARRIVALS_PER_S = 9.0
"""Requests a second of one gateway that may go to the zone, without a burst.

The simulation runs at burst rate, which is twice as high.
"""
BURST = 2.0
STARTING_RATIO = 0.33
STOPPED_RATIO = 0.1
DISCOVERY_S, LATE_DISCOVERY_S, LATE_RATIO = 0.4, 2.5, 0.1
SETTLED_S = 3.0
DAYS = {3: 60, 31: 40, 390: 2}
MIN_USED = 0.7


class _EvenShares:
    """Warm-up policy that gives each gateway the same share of the rate.

    Args:
        count: Number of gateways of the deployment.
    """

    def __init__(self, count: int) -> None:
        self._count = count

    def get_rate_limit(
        self,
        gateways: GatewayView,
        upstream: InstanceId,
        zone: ZoneId,
        per_s: float,
    ) -> RateLimit:
        """Returns the rate limit of a gateway for an upstream.

        Args:
            gateways: State view of the sending gateway.
            upstream: Upstream that is warming up.
            zone: Availability zone of the upstream.
            per_s: Requests a second that the upstream can handle.
        """
        if not gateways.is_discovery_complete:
            return NO_REQUESTS
        return make_rate_limit(per_s / self._count)


@dataclasses.dataclass(frozen=True)
class _Gateway:
    name: str
    zone: ZoneId
    started_s: float
    is_stopped: bool


@dataclasses.dataclass
class _Totals:
    """Totals over all simulated days of one deployment size.

    Attributes:
        worst: Maximum number of arrivals at one upstream in any second.
        sent: Requests sent to all upstreams.
        violations: Number of upstreams that received more than allowed in any
            second.
    """

    worst: int = 0
    sent: int = 0
    violations: int = 0


def run(seed: int) -> Result:
    """Runs all deployment sizes with the baseline and the product's policy."""
    baseline = _run_sizes(_EvenShares, seed)
    product = _run_sizes(lambda _: ZoneWarmupPolicy(), seed)
    used = product["31 calm"]["used"]
    return Result(
        "warmup",
        seed,
        baseline,
        product,
        round(used / max(0.001, baseline["31 calm"]["used"]), 3),
        used >= MIN_USED and not any(s["broken"] for s in product.values()),
        {
            "upstreams": UPSTREAMS,
            "per_s": PER_S,
            "allowed": PER_S * ALLOWED_RATIO + ALLOWED_SLACK,
            "days": {str(count): days for count, days in DAYS.items()},
        },
    )


def _run_sizes(
    make_policy: Callable[[int], WarmupPolicy], seed: int
) -> dict[str, dict[str, float]]:
    return {
        f"{count} {name}": _run_size(
            count, starting_ratio, make_policy(count), seed
        )
        for count in DAYS
        for name, starting_ratio in (
            ("calm", 0.0),
            ("troubled", STARTING_RATIO),
        )
    }


def _run_size(
    count: int, starting_ratio: float, policy: WarmupPolicy, seed: int
) -> dict[str, float]:
    rng = random.Random(seed)
    totals = _Totals()
    for _ in range(DAYS[count]):
        gateways = _make_gateways(count, starting_ratio, rng)
        _run_day(gateways, policy, rng, totals)
    capacity = DAYS[count] * UPSTREAMS * PER_S * WARMUP_S
    return {
        "worst_second": totals.worst,
        "broken": totals.violations,
        "used": round(totals.sent / capacity, 3),
    }


def _make_gateways(
    count: int, starting_ratio: float, rng: random.Random
) -> list[_Gateway]:
    zones = max(1, round(count / GATEWAYS_PER_ZONE))
    return [
        _Gateway(
            f"10.0.{number // 250}.{number % 250}:7000",
            ZoneId(f"z{number % zones}"),
            rng.uniform(-SETTLED_S, WARMUP_S)
            if rng.random() < starting_ratio
            else -3600.0,
            starting_ratio > 0.0 and rng.random() < STOPPED_RATIO,
        )
        for number in range(count)
    ]


def _run_day(
    gateways: list[_Gateway],
    policy: WarmupPolicy,
    rng: random.Random,
    totals: _Totals,
) -> None:
    upstreams = [InstanceId(f"i-{rng.random()}") for _ in range(UPSTREAMS)]
    discovered_s = _make_discovery_times(gateways, rng)
    logs = {
        (g.name, upstream): SendLog()
        for g in gateways
        for upstream in upstreams
    }
    arrivals: dict[InstanceId, list[float]] = {u: [] for u in upstreams}
    for at_s, gateway in _make_arrivals(gateways, rng):
        known = _get_state_view(gateways, gateway, discovered_s, at_s)
        for upstream in rng.sample(upstreams, len(upstreams)):
            log = logs[gateway.name, upstream]
            rate_limit = policy.get_rate_limit(
                known, upstream, ZoneId("z0"), PER_S
            )
            if log.has_capacity(rate_limit, at_s):
                log.record_placed()
                log.record_sent(at_s)
                arrivals[upstream].append(at_s)
                break
    for times_s in arrivals.values():
        worst = _get_worst_second(times_s)
        totals.sent += len(times_s)
        totals.worst = max(totals.worst, worst)
        totals.violations += worst > PER_S * ALLOWED_RATIO + ALLOWED_SLACK


def _make_discovery_times(
    gateways: list[_Gateway], rng: random.Random
) -> dict[tuple[str, str], float]:
    """Returns the time at which each gateway has discovered each other gateway.

    A gateway discovers another one `DISCOVERY_S` after the later of their
    starts, or with probability `LATE_RATIO` after `LATE_DISCOVERY_S`.
    """
    return {
        (gateway.name, other.name): max(gateway.started_s, other.started_s)
        + (LATE_DISCOVERY_S if rng.random() < LATE_RATIO else DISCOVERY_S)
        for gateway in gateways
        for other in gateways
        if gateway is not other
    }


def _make_arrivals(
    gateways: list[_Gateway], rng: random.Random
) -> list[tuple[float, _Gateway]]:
    arrivals = []
    for gateway in gateways:
        at_s = max(0.0, gateway.started_s)
        while not gateway.is_stopped:
            at_s += rng.expovariate(ARRIVALS_PER_S * BURST)
            if at_s >= WARMUP_S:
                break
            arrivals.append((at_s, gateway))
    return sorted(arrivals, key=lambda arrival: arrival[0])


def _get_state_view(
    gateways: list[_Gateway],
    gateway: _Gateway,
    discovered_s: dict[tuple[str, str], float],
    now_s: float,
) -> GatewayView:
    known = [
        other
        for other in gateways
        if other is not gateway
        and discovered_s[gateway.name, other.name] <= now_s
    ]
    peers_in_zone = [
        other.name for other in known if other.zone == gateway.zone
    ]
    return GatewayView(
        gateway.name,
        gateway.zone,
        peers_in_zone,
        now_s - gateway.started_s >= SETTLED_S,
    )


def _get_worst_second(times_s: list[float]) -> int:
    worst, first = 0, 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - 1.0:
            first += 1
        worst = max(worst, last - first + 1)
    return worst

"""Requests through cold upstreams, with gateways that come, go and disagree.

The upstreams of one availability zone come back cold while all gateways would
rather send there than anywhere else. On troubled days a third of the gateways
have just started, some are gone for good and still counted, and each pair that
has a new one hears of each other late, some of them by seconds. The product's
rule runs on a simulated clock. The baseline gives each gateway the same part
of the rate; both ways see the same arrivals.

The worst second counts arrivals at one upstream over all gateways. What is
used is a share of what the upstreams bear while they are cold.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from lab.experiments import Result
from lovagestage.decisions.warmup import (
    NO_REQUESTS,
    GatewayView,
    RateLimit,
    WarmupPolicy,
    WarmupTracker,
    ZoneWarmupPolicy,
    make_rate_limit,
)
from lovagestage.types import InstanceId, ZoneId

GATEWAYS_A_ZONE = 8
UPSTREAMS = 7
PER_S = 14.0
ALLOWED_RATIO, ALLOWED_SLACK = 1.5, 5.0
COLD_S = 3.0
ARRIVALS_PER_S = 9.0
"""Requests of one gateway that could go there; a burst brings twice as many."""
BURST = 2.0
NEW_RATIO = 0.33
GONE_RATIO = 0.1
HEARD_S, HEARD_LATE_S, LATE_RATIO = 0.4, 2.5, 0.1
SETTLED_S = 3.0
DAYS = {3: 60, 31: 40, 390: 2}
MIN_USED = 0.7


class _EvenShares:
    """Each gateway has the same part of the rate.

    Args:
        count: Gateways of the deployment.
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
        """What the gateway may send to a cold upstream."""
        if not gateways.is_discovery_complete:
            return NO_REQUESTS
        return make_rate_limit(per_s / self._count)


@dataclasses.dataclass(frozen=True)
class _Gateway:
    name: str
    zone: ZoneId
    born_s: float
    is_gone: bool


@dataclasses.dataclass
class _Seen:
    """What all days of one size showed."""

    worst: int = 0
    sent: int = 0
    broken: int = 0


def run(seed: int) -> Result:
    """Runs all sizes with both ways."""
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
        f"{count} {name}": _run_size(count, new_ratio, make_policy(count), seed)
        for count in DAYS
        for name, new_ratio in (("calm", 0.0), ("troubled", NEW_RATIO))
    }


def _run_size(
    count: int, new_ratio: float, policy: WarmupPolicy, seed: int
) -> dict[str, float]:
    rng = random.Random(seed)
    seen = _Seen()
    for _ in range(DAYS[count]):
        gateways = _make_gateways(count, new_ratio, rng)
        _run_day(gateways, policy, rng, seen)
    borne = DAYS[count] * UPSTREAMS * PER_S * COLD_S
    return {
        "worst_second": seen.worst,
        "broken": seen.broken,
        "used": round(seen.sent / borne, 3),
    }


def _make_gateways(
    count: int, new_ratio: float, rng: random.Random
) -> list[_Gateway]:
    zones = max(1, round(count / GATEWAYS_A_ZONE))
    return [
        _Gateway(
            f"10.0.{number // 250}.{number % 250}:7000",
            ZoneId(f"z{number % zones}"),
            rng.uniform(-SETTLED_S, COLD_S)
            if rng.random() < new_ratio
            else -3600.0,
            new_ratio > 0.0 and rng.random() < GONE_RATIO,
        )
        for number in range(count)
    ]


def _run_day(
    gateways: list[_Gateway],
    policy: WarmupPolicy,
    rng: random.Random,
    seen: _Seen,
) -> None:
    upstreams = [InstanceId(f"i-{rng.random()}") for _ in range(UPSTREAMS)]
    heard_s = _make_heard(gateways, rng)
    logs = {
        (g.name, upstream): WarmupTracker()
        for g in gateways
        for upstream in upstreams
    }
    arrivals: dict[InstanceId, list[float]] = {u: [] for u in upstreams}
    for at_s, gateway in _make_arrivals(gateways, rng):
        known = _get_known(gateways, gateway, heard_s, at_s)
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
        seen.sent += len(times_s)
        seen.worst = max(seen.worst, worst)
        seen.broken += worst > PER_S * ALLOWED_RATIO + ALLOWED_SLACK


def _make_heard(
    gateways: list[_Gateway], rng: random.Random
) -> dict[tuple[str, str], float]:
    """When each gateway has heard of each other one, from its start."""
    return {
        (one.name, other.name): max(one.born_s, other.born_s)
        + (HEARD_LATE_S if rng.random() < LATE_RATIO else HEARD_S)
        for one in gateways
        for other in gateways
        if one is not other
    }


def _make_arrivals(
    gateways: list[_Gateway], rng: random.Random
) -> list[tuple[float, _Gateway]]:
    arrivals = []
    for gateway in gateways:
        at_s = max(0.0, gateway.born_s)
        while not gateway.is_gone:
            at_s += rng.expovariate(ARRIVALS_PER_S * BURST)
            if at_s >= COLD_S:
                break
            arrivals.append((at_s, gateway))
    return sorted(arrivals, key=lambda arrival: arrival[0])


def _get_known(
    gateways: list[_Gateway],
    own: _Gateway,
    heard_s: dict[tuple[str, str], float],
    now_s: float,
) -> GatewayView:
    known = [
        other
        for other in gateways
        if other is not own and heard_s[own.name, other.name] <= now_s
    ]
    near = [other.name for other in known if other.zone == own.zone]
    return GatewayView(
        own.name, own.zone, near, now_s - own.born_s >= SETTLED_S
    )


def _get_worst_second(times_s: list[float]) -> int:
    worst, first = 0, 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - 1.0:
            first += 1
        worst = max(worst, last - first + 1)
    return worst

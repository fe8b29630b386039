"""Simulates how gateways share the request limit that an upstream states.

One upstream states a limit while every gateway has more requests for it than
its share. The product's rule runs on a simulated clock and gives the
limit to as many gateways as it has room for; the baseline gives every gateway
the same part. Both process the same arrivals. On troubled days a third of the
gateways have just started, and others discover them late; a tenth have stopped
for good but are still counted; a tenth are cut off from the others and go on
sending.

The worst window is the maximum number of arrivals from all gateways in any 4 s.
The used ratio is the number of requests sent divided by what the limit allows.
"""

from __future__ import annotations

import bisect
import dataclasses
import random
from collections.abc import Callable, Iterator

from lab.experiments import Result
from lovagestage.decisions.limit_sharing import (
    GatewaySet,
    LimitPolicy,
    RankedLimitPolicy,
)
from lovagestage.decisions.send_rates import (
    NO_REQUESTS,
    RateLimit,
    SendLog,
    make_spaced_limit,
)
from lovagestage.types import InstanceId

LIMITS_PER_S = (0.4, 2.3, 20.0)
WINDOW_S = 4.0
ALLOWED_RATIO, ALLOWED_SLACK = 1.5, 5.0
DURATION_S = 40.0
DEMAND_RATIO = 2.0
"""Requests for the upstream from one gateway, as a multiple of an equal part of
the limit."""
MIN_DEMAND_PER_S = 1.0
"""Requests a second for the upstream from one gateway, at the least."""
STARTING_RATIO, STOPPED_RATIO, CUT_RATIO = 0.33, 0.1, 0.1
DISCOVERY_S, LATE_DISCOVERY_S, LATE_RATIO = 0.4, 2.5, 0.1
SETTLED_S = 3.0
DAYS = {3: 40, 31: 20, 390: 4}
MIN_USED = 0.7


class _EvenShares:
    """Gives each known gateway the same part of the limit."""

    def get_rate_limit(
        self, gateways: GatewaySet, upstream: InstanceId, per_s: float
    ) -> RateLimit:
        """See `LimitPolicy.get_rate_limit`."""
        del upstream
        if not gateways.is_discovery_complete:
            return NO_REQUESTS
        return make_spaced_limit(per_s / (1 + len(gateways.peers or ())))


@dataclasses.dataclass(frozen=True)
class _Gateway:
    name: str
    started_s: float
    is_stopped: bool
    is_cut: bool


@dataclasses.dataclass
class _Totals:
    """Totals over all simulated days of one deployment size and limit."""

    worst: int = 0
    sent: int = 0
    broken: int = 0


def run(seed: int) -> Result:
    """Runs all deployment sizes and limits with both ways of sharing."""
    baseline = _run_cases(_EvenShares, seed)
    product = _run_cases(RankedLimitPolicy, seed)
    goals = [
        case["used"] >= MIN_USED
        for name, case in product.items()
        if name.endswith("calm")
    ]
    used = product["31 at 2.3 calm"]["used"]
    return Result(
        "request_limits",
        seed,
        baseline,
        product,
        round(used / max(0.001, baseline["31 at 2.3 calm"]["used"]), 3),
        all(goals) and not any(case["broken"] for case in product.values()),
        {
            "window_s": WINDOW_S,
            "allowed": {str(p): _get_allowed(p) for p in LIMITS_PER_S},
            "days": {str(count): days for count, days in DAYS.items()},
        },
    )


def _get_allowed(per_s: float) -> float:
    return ALLOWED_RATIO * per_s * WINDOW_S + ALLOWED_SLACK


def _run_cases(
    make_policy: Callable[[], LimitPolicy], seed: int
) -> dict[str, dict[str, float]]:
    return {
        f"{count} at {per_s} {name}": _run_case(
            count, per_s, is_troubled, make_policy(), seed
        )
        for count in DAYS
        for per_s in LIMITS_PER_S
        for name, is_troubled in (("calm", False), ("troubled", True))
    }


def _run_case(
    count: int, per_s: float, is_troubled: bool, policy: LimitPolicy, seed: int
) -> dict[str, float]:
    rng = random.Random(f"{seed} {count} {per_s} {is_troubled}")
    totals = _Totals()
    for _ in range(DAYS[count]):
        gateways = _make_gateways(count, is_troubled, rng)
        times_s = list(_run_day(gateways, per_s, policy, rng))
        worst = _get_worst_window(times_s)
        totals.sent += len(times_s)
        totals.worst = max(totals.worst, worst)
        totals.broken += worst > _get_allowed(per_s)
    capacity = DAYS[count] * per_s * DURATION_S
    return {
        "limit": per_s,
        "worst_window": totals.worst,
        "broken": totals.broken,
        "used": round(totals.sent / capacity, 3),
    }


def _make_gateways(
    count: int, is_troubled: bool, rng: random.Random
) -> list[_Gateway]:
    return [
        _Gateway(
            f"10.0.{number // 250}.{number % 250}:7000",
            rng.uniform(-SETTLED_S, DURATION_S / 2)
            if is_troubled and rng.random() < STARTING_RATIO
            else -3600.0,
            is_troubled and rng.random() < STOPPED_RATIO,
            is_troubled and rng.random() < CUT_RATIO,
        )
        for number in range(count)
    ]


def _run_day(
    gateways: list[_Gateway],
    per_s: float,
    policy: LimitPolicy,
    rng: random.Random,
) -> Iterator[float]:
    """Yields the times in seconds at which requests reach the upstream."""
    upstream = InstanceId(f"i-{rng.random()}")
    views = {
        gateway.name: _View(gateway, gateways, rng) for gateway in gateways
    }
    for at_s, gateway in _make_arrivals(gateways, per_s, rng):
        view = views[gateway.name]
        known = view.get(at_s)
        if view.decided_for is not known:
            view.decided_for = known
            view.rate_limit = policy.get_rate_limit(known, upstream, per_s)
        rate_limit = view.rate_limit
        if view.sends.has_capacity(rate_limit, at_s):
            view.sends.record_placed()
            view.sends.record_sent(at_s)
            yield at_s


class _View:
    """What one gateway knows of the others over time.

    A gateway that is cut off knows those that ran when the day began.

    Attributes:
        sends: Requests of the gateway to the upstream.
        decided_for: The gateways for which `rate_limit` was decided.
        rate_limit: Limit of the gateway's requests.
    """

    def __init__(
        self, own: _Gateway, gateways: list[_Gateway], rng: random.Random
    ) -> None:
        self.sends = SendLog()
        self.decided_for: GatewaySet | None = None
        self.rate_limit = NO_REQUESTS
        self._own = own
        others = [each for each in gateways if each is not own]
        if own.is_cut:
            others = [each for each in others if each.started_s < 0.0]
        found = [
            (
                max(own.started_s, each.started_s)
                + (
                    LATE_DISCOVERY_S
                    if rng.random() < LATE_RATIO
                    else DISCOVERY_S
                ),
                each.name,
            )
            for each in others
        ]
        found.sort()
        self._found_s = [at_s for at_s, _ in found]
        self._names = [name for _, name in found]
        self._set: GatewaySet | None = None

    def get(self, now_s: float) -> GatewaySet:
        """Returns the gateways that are known at a time."""
        count = bisect.bisect_right(self._found_s, now_s)
        is_complete = now_s - self._own.started_s >= SETTLED_S
        known = self._set
        if (
            known is None
            or len(known.live_peers) != count
            or known.is_discovery_complete != is_complete
        ):
            names = self._names[:count]
            known = GatewaySet(self._own.name, names, names, is_complete)
            self._set = known
        return known


def _make_arrivals(
    gateways: list[_Gateway], per_s: float, rng: random.Random
) -> list[tuple[float, _Gateway]]:
    rate_per_s = max(MIN_DEMAND_PER_S, DEMAND_RATIO * per_s / len(gateways))
    arrivals = []
    for gateway in gateways:
        at_s = max(0.0, gateway.started_s)
        while not gateway.is_stopped:
            at_s += rng.expovariate(rate_per_s)
            if at_s >= DURATION_S:
                break
            arrivals.append((at_s, gateway))
    return sorted(arrivals, key=lambda arrival: arrival[0])


def _get_worst_window(times_s: list[float]) -> int:
    return max(
        (
            bisect.bisect_left(times_s, first_s + WINDOW_S) - index
            for index, first_s in enumerate(times_s)
        ),
        default=0,
    )

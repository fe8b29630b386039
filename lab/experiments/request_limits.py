"""Simulates how gateways share the request limit that an upstream states.

One upstream states a limit while every gateway has more requests for it than
its share. The product's rule runs on a simulated clock and gives the
limit to as many gateways as it has room for; the baseline gives every gateway
the same part. Both process the same arrivals. On troubled days a third of the
gateways have just started, and others discover them late; a tenth have stopped
for good but are still counted; a tenth are cut off from the others and go on
sending. On skewed days most requests reach one gateway, another one after some
seconds: twice what the limit allows, or half of it on ample days. A tenth of
the datagrams by which gateways lend shares are lost on troubled and skewed
days, and they take some time.

The worst window is the maximum number of arrivals from all gateways in any 4 s.
A day breaks the rule by what gateways that are not cut off have sent: one that
was cut off before it knew of others takes itself for the only one.
The used ratio is the number of requests sent divided by what the limit allows,
the served ratio that of the requests that came.
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
from lovagestage.decisions.send_rates import SendLog
from lovagestage.decisions.share_lending import BaseShare, Loan
from lovagestage.decisions.upstream_notices import AnswerNotices
from lovagestage.gateway.limit_shares import LimitShares, Wish
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.share_exchange import (
    ASK_INTERVAL_S,
    MAX_ASK_INTERVAL_S,
    MAX_LENDERS,
)
from lovagestage.gateway.upstream import Upstream, UpstreamEntry
from lovagestage.types import (
    InstanceId,
    Position,
    ServiceId,
    VersionId,
    ZoneId,
)

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
DAYS = {3: 40, 31: 20, 390: 3}
MIN_USED = 0.7
SKEW_RATIO = 0.9
"""Share of the requests that reach one gateway on skewed days."""
SKEW_S = 8.0
"""Time in seconds after which another gateway gets them."""
AMPLE_RATIO = 0.5
"""Requests on ample days, as a multiple of the limit."""
LOSS_RATIO = 0.1
MAX_DELAY_S = 0.05
DAY_KINDS = ("calm", "troubled", "skewed", "ample")
_SERVICE = ServiceId("pool")


class _EvenShares:
    """Gives each known gateway the same part of the limit."""

    def get_share(
        self, gateways: GatewaySet, upstream: InstanceId, per_s: float
    ) -> BaseShare:
        """See `LimitPolicy.get_share`."""
        del upstream
        count = 1 + len(gateways.peers or ())
        span_s = max(1.0, count / per_s)
        if not gateways.is_discovery_complete:
            return BaseShare(0.0, span_s)
        return BaseShare(per_s / count, span_s)


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
    asked: int = 0
    broken: int = 0
    datagrams: int = 0


def run(seed: int) -> Result:
    """Runs all deployment sizes and limits with both ways of sharing."""
    baseline = _run_cases(_EvenShares, seed, is_lending=False)
    product = _run_cases(RankedLimitPolicy, seed, is_lending=True)
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
    make_policy: Callable[[], LimitPolicy], seed: int, is_lending: bool
) -> dict[str, dict[str, float]]:
    return {
        f"{count} at {per_s} {kind}": _run_case(
            count, per_s, kind, make_policy(), seed, is_lending
        )
        for count in DAYS
        for per_s in LIMITS_PER_S
        for kind in DAY_KINDS
    }


def _run_case(
    count: int,
    per_s: float,
    kind: str,
    policy: LimitPolicy,
    seed: int,
    is_lending: bool,
) -> dict[str, float]:
    rng = random.Random(f"{seed} {count} {per_s} {kind}")
    totals = _Totals()
    for _ in range(DAYS[count]):
        gateways = _make_gateways(count, kind == "troubled", rng)
        arrivals = _make_arrivals(gateways, per_s, kind, rng)
        loss_ratio = 0.0 if kind == "calm" else LOSS_RATIO
        day = _Day(gateways, per_s, policy, loss_ratio, is_lending, rng)
        sent = list(day.run(arrivals))
        times_s = [at_s for at_s, _ in sent]
        bound_s = [at_s for at_s, gateway in sent if not gateway.is_cut]
        totals.sent += len(times_s)
        totals.asked += len(arrivals)
        totals.worst = max(totals.worst, _get_worst_window(times_s))
        totals.broken += _get_worst_window(bound_s) > _get_allowed(per_s)
        totals.datagrams += day.datagrams
    time_s = DAYS[count] * DURATION_S
    return {
        "limit": per_s,
        "worst_window": totals.worst,
        "broken": totals.broken,
        "used": round(totals.sent / (time_s * per_s), 3),
        "served": round(totals.sent / totals.asked, 3),
        "datagrams_per_gateway_s": round(
            totals.datagrams / (time_s * count), 3
        ),
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


@dataclasses.dataclass(frozen=True)
class _Lending:
    arrives_s: float
    borrower: str
    lender: str
    loan: Loan
    asked_s: float


class _Day:
    """One day of all gateways before one upstream.

    Attributes:
        datagrams: Number of datagrams sent by which shares are lent.
    """

    def __init__(
        self,
        gateways: list[_Gateway],
        per_s: float,
        policy: LimitPolicy,
        loss_ratio: float,
        is_lending: bool,
        rng: random.Random,
    ) -> None:
        self.datagrams = 0
        self._per_s = per_s
        self._loss_ratio = loss_ratio
        self._is_lending = is_lending
        self._rng = rng
        name = InstanceId(f"i-{rng.random()}")
        self._views = {
            each.name: _View(each, gateways, name, per_s, policy, rng)
            for each in gateways
        }
        self._lendings: list[_Lending] = []

    def run(
        self, arrivals: list[tuple[float, _Gateway]]
    ) -> Iterator[tuple[float, _Gateway]]:
        """Yields when, in seconds, and from where requests are sent."""
        for at_s, gateway in arrivals:
            self._deliver(at_s)
            view = self._views[gateway.name]
            if self._is_lending:
                self._ask(gateway.name, view, at_s)
            view.shares.record_request(_SERVICE, at_s)
            rate_limit = view.shares.get_rate_limit(
                view.upstream, self._per_s, at_s
            )
            if view.upstream.sends.has_capacity(rate_limit, at_s):
                view.upstream.sends.record_placed()
                view.upstream.sends.record_sent(at_s)
                yield at_s, gateway

    def _ask(self, own_name: str, view: _View, now_s: float) -> None:
        if now_s < view.asks_s:
            return
        wishes = view.shares.find_wishes(MAX_LENDERS, now_s)
        view.interval_s = min(MAX_ASK_INTERVAL_S, 2.0 * view.interval_s)
        if not wishes:
            view.interval_s = ASK_INTERVAL_S
        view.asks_s = now_s + view.interval_s
        for lender, asked in wishes.items():
            for wish in asked:
                self._pass_on(own_name, view, lender, wish, now_s)

    def _pass_on(
        self, own_name: str, view: _View, lender: str, wish: Wish, now_s: float
    ) -> None:
        """Lends at the other gateway; its answer comes a little later."""
        self.datagrams += 1
        other = self._views[lender]
        if other.is_silent or view.is_silent or self._is_lost():
            return
        granted = other.shares.lend(other.upstream, own_name, wish.per_s, now_s)
        if not granted.per_s:
            return
        self.datagrams += 1
        if not self._is_lost():
            arrives_s = now_s + self._rng.uniform(0.0, MAX_DELAY_S)
            lending = _Lending(arrives_s, own_name, lender, granted, now_s)
            self._lendings.append(lending)

    def _deliver(self, now_s: float) -> None:
        due = [each for each in self._lendings if each.arrives_s <= now_s]
        self._lendings = [e for e in self._lendings if e.arrives_s > now_s]
        for lending in due:
            view = self._views[lending.borrower]
            view.interval_s = ASK_INTERVAL_S
            view.shares.borrow(
                view.upstream,
                lending.lender,
                lending.loan,
                lending.asked_s,
                lending.arrives_s,
            )

    def _is_lost(self) -> bool:
        return self._rng.random() < self._loss_ratio


class _View:
    """What one gateway knows of the others over time.

    A gateway that is cut off knows those that ran when the day began.

    Attributes:
        shares: The gateway's shares.
        upstream: The upstream, as the gateway knows it.
        asks_s: Time in seconds from which it asks for shares of others again.
        interval_s: Interval in seconds in which it does.
        is_silent: Whether no datagram reaches it.
    """

    def __init__(
        self,
        own: _Gateway,
        gateways: list[_Gateway],
        name: InstanceId,
        per_s: float,
        policy: LimitPolicy,
        rng: random.Random,
    ) -> None:
        rotation = Rotation()
        self.upstream = _add_upstream(rotation, name, per_s)
        self.shares = LimitShares(policy, rotation, rng, self.get)
        self.asks_s = 0.0
        self.interval_s = ASK_INTERVAL_S
        self.is_silent = own.is_cut or own.is_stopped
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


def _add_upstream(
    rotation: Rotation, name: InstanceId, per_s: float
) -> Upstream:
    entry = UpstreamEntry(
        _SERVICE, "10.1.0.1:8000", ZoneId("a"), VersionId("v1"), 64, False
    )
    rotation.apply(name, entry, Position(1), 0.0, False)
    (upstream,) = rotation.get_all()
    notices = AnswerNotices(request_limit=(str(per_s),))
    upstream.record_answer_notices(notices, 0.0, 0.0)
    upstream.sends = SendLog()
    return upstream


def _make_arrivals(
    gateways: list[_Gateway], per_s: float, kind: str, rng: random.Random
) -> list[tuple[float, _Gateway]]:
    if kind in ("skewed", "ample"):
        ratio = AMPLE_RATIO if kind == "ample" else DEMAND_RATIO
        return _make_skewed_arrivals(gateways, ratio * per_s, rng)
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


def _make_skewed_arrivals(
    gateways: list[_Gateway], rate_per_s: float, rng: random.Random
) -> list[tuple[float, _Gateway]]:
    count = int(DURATION_S / SKEW_S) + 1
    chosen = [rng.choice(gateways) for _ in range(count)]
    arrivals = []
    at_s = rng.expovariate(rate_per_s)
    while at_s < DURATION_S:
        is_skewed = rng.random() < SKEW_RATIO
        first = chosen[int(at_s / SKEW_S)]
        arrivals.append((at_s, first if is_skewed else rng.choice(gateways)))
        at_s += rng.expovariate(rate_per_s)
    return arrivals


def _get_worst_window(times_s: list[float]) -> int:
    return max(
        (
            bisect.bisect_left(times_s, first_s + WINDOW_S) - index
            for index, first_s in enumerate(times_s)
        ),
        default=0,
    )

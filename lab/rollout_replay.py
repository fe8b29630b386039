"""Replays drawn roll-outs without a network and counts the wrong verdicts.

Each gateway has its own view of the roll-out, as in the product, and hears of
the others' answers with a delay. Answers are drawn by their quality.
"""

from __future__ import annotations

import argparse
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from lovagestage.gateway.rollout_evidence import AnswerQuality, TrialEvidence
from lovagestage.gateway.rollout_reports import get_next_report_age_s
from lovagestage.gateway.rollout_shares import get_first_share
from lovagestage.gateway.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutOutcome,
)
from lovagestage.types import InstanceId, Position, ServiceId, VersionId

EXPOSURE_RATIO, EXPOSURE_SLACK = 0.15, 30.0
ROUTES = ("a", "b", "c")
ROUTE_WEIGHTS = (0.4, 0.4, 0.2)
USUAL_SLOW_RATE = 0.03
"""Share of the answers of a good version that are slow."""
ANSWER_S, LATE_S = 0.2, 0.5
"""Time in seconds after which an answer, or a late run, is weighed."""
MESSAGE_S = 0.3
"""Mean time in seconds of a message between gateways."""
CHECK_S, WRITE_S = 0.25, 0.3
"""Interval in seconds between looks at the verdict; time to write it."""


@dataclasses.dataclass(frozen=True)
class Draw:
    """A roll-out to replay.

    Attributes:
        kind: `good`, or how the version is bad: `errors`, `slow`, `late` (from
            the middle on), `route` (on one route) or `loaded` (in the load
            step).
        share: Share of the answers that are bad.
        gateways: Number of gateways.
        rate_per_s: Requests of the service per second.
        duration_s: Duration of the order in seconds.
        is_one_killed: Whether a gateway loses what it knows before the end.
    """

    kind: str
    share: float
    gateways: int
    rate_per_s: float
    duration_s: float
    is_one_killed: bool = False


@dataclasses.dataclass(frozen=True)
class Verdict:
    """How a replay ended.

    Attributes:
        outcome: State of the roll-out at its deadline.
        at_s: Age of the order at the verdict; the duration without one.
        bad_answers: Bad answers until then.
    """

    outcome: RolloutOutcome
    at_s: float
    bad_answers: int


class _Gateway:
    def __init__(self, name: str, order: RolloutOrder, share: float) -> None:
        self.name = name
        self.rollout = Rollout(order, Position(1), 0.0)
        self.rollout.set_first_share(share, 0.3)
        self.own = TrialEvidence()


class _Replay:
    def __init__(self, draw: Draw, rng: random.Random) -> None:
        self._draw, self._rng = draw, rng
        self._order = RolloutOrder(
            ServiceId("s"), VersionId("v2"), draw.duration_s
        )
        expected = draw.rate_per_s * draw.duration_s
        self._share = get_first_share(EXPOSURE_RATIO, EXPOSURE_SLACK, expected)
        self._gateways = [
            _Gateway(f"g{number}", self._order, self._share)
            for number in range(draw.gateways)
        ]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._bad_answers = 0
        self._verdict: Verdict | None = None

    def run(self) -> Verdict:
        draw = self._draw
        self._call_at(self._rng.expovariate(draw.rate_per_s), self._arrive)
        for gateway in self._gateways:
            self._call_at(self._rng.random() * CHECK_S, self._check, gateway)
            self._call_at(self._rng.random(), self._report, gateway)
        if draw.is_one_killed:
            due_s = draw.duration_s * self._rng.uniform(0.3, 0.9)
            self._call_at(due_s, self._kill)
        while self._events and self._verdict is None:
            now_s, _, act = heapq.heappop(self._events)
            if now_s > draw.duration_s:
                break
            act(now_s)
        return self._verdict or Verdict(
            RolloutOutcome.RUNNING, draw.duration_s, self._bad_answers
        )

    def _call_at(
        self, at_s: float, act: Callable[..., None], *args: object
    ) -> None:
        event = (at_s, next(self._numbers), lambda now_s: act(now_s, *args))
        heapq.heappush(self._events, event)

    def _arrive(self, now_s: float) -> None:
        rng, draw = self._rng, self._draw
        self._call_at(now_s + rng.expovariate(draw.rate_per_s), self._arrive)
        gateway = rng.choice(self._gateways)
        if rng.random() >= gateway.rollout.get_share(now_s):
            return
        (route,) = rng.choices(ROUTES, ROUTE_WEIGHTS)
        is_bad = rng.random() < draw.share and self._is_bad_now(
            gateway, route, now_s
        )
        self._bad_answers += is_bad
        quality = AnswerQuality.GOOD
        if is_bad and draw.kind != "slow":
            quality = AnswerQuality.FAILED
        elif is_bad or rng.random() < USUAL_SLOW_RATE:
            quality = AnswerQuality.VERY_SLOW
        delay_s = LATE_S if quality is AnswerQuality.VERY_SLOW else ANSWER_S
        self._call_at(now_s + delay_s, self._weigh, gateway, route, quality)

    def _is_bad_now(self, gateway: _Gateway, route: str, now_s: float) -> bool:
        match self._draw.kind:
            case "good":
                return False
            case "late":
                return now_s > 0.5 * self._draw.duration_s
            case "route":
                return route == ROUTES[0]
            case "loaded":
                return gateway.rollout.is_loaded(now_s)
        return True

    def _weigh(
        self,
        now_s: float,
        gateway: _Gateway,
        route: str,
        quality: AnswerQuality,
    ) -> None:
        rollout, own = gateway.rollout, gateway.own
        evidence = own.add(
            route, quality, USUAL_SLOW_RATE, rollout.is_loaded(now_s)
        )
        rollout.record_answers(gateway.name, own.answers, own.total)
        rollout.add_evidence(route, evidence)
        if quality is AnswerQuality.GOOD:
            return
        upstream = InstanceId(self._rng.choice("xy"))
        rollout.add_failure(upstream, 2)
        told = own.take_unreported()
        report = (gateway.name, own.answers, own.total)
        for other in self._gateways:
            if other is not gateway:
                self._send(
                    now_s,
                    self._hear,
                    other,
                    report,
                    told,
                    route,
                    evidence,
                    upstream,
                )

    def _send(
        self, now_s: float, act: Callable[..., None], *args: object
    ) -> None:
        self._call_at(
            now_s + self._rng.expovariate(1.0 / MESSAGE_S), act, *args
        )

    def _hear(
        self,
        now_s: float,
        gateway: _Gateway,
        report: tuple[str, int, float],
        earlier: dict[str, float],
        route: str,
        evidence: float,
        upstream: InstanceId,
    ) -> None:
        del now_s
        gateway.rollout.record_answers(*report)
        for good_route, good_evidence in earlier.items():
            gateway.rollout.add_evidence(good_route, good_evidence)
        gateway.rollout.add_evidence(route, evidence)
        gateway.rollout.add_failure(upstream, 2)

    def _report(self, now_s: float, gateway: _Gateway) -> None:
        draw, rollout = self._draw, gateway.rollout
        next_s = get_next_report_age_s(
            now_s,
            draw.duration_s,
            rollout.get_due_ratio(),
            draw.gateways,
            self._gateways.index(gateway) / draw.gateways,
        )
        self._call_at(next_s, self._report, gateway)
        report = (gateway.name, gateway.own.answers, gateway.own.total)
        routes = gateway.own.take_unreported()
        for other in self._gateways:
            if other is not gateway:
                self._send(now_s, self._hear_report, other, report, routes)

    def _hear_report(
        self,
        now_s: float,
        gateway: _Gateway,
        report: tuple[str, int, float],
        routes: dict[str, float],
    ) -> None:
        del now_s
        gateway.rollout.record_answers(*report)
        for route, evidence in routes.items():
            gateway.rollout.add_evidence(route, evidence)

    def _kill(self, now_s: float) -> None:
        del now_s
        killed = self._rng.choice(self._gateways)
        fresh = _Gateway(killed.name, self._order, self._share)
        killed.rollout, killed.own = fresh.rollout, fresh.own

    def _check(self, now_s: float, gateway: _Gateway) -> None:
        self._call_at(now_s + CHECK_S, self._check, gateway)
        due = gateway.rollout.get_due_outcome(now_s)
        if due is not RolloutOutcome.RUNNING:
            delay_s = WRITE_S * self._rng.random()
            self._call_at(now_s + delay_s, self._write, gateway)

    def _write(self, now_s: float, gateway: _Gateway) -> None:
        due = gateway.rollout.get_due_outcome(now_s)
        if due is not RolloutOutcome.RUNNING:
            self._verdict = Verdict(due, now_s, self._bad_answers)


def replay(draw: Draw, seed: int) -> Verdict:
    """Replays a drawn roll-out."""
    return _Replay(draw, random.Random(seed)).run()


DRAWS = tuple(
    Draw(kind, share, gateways, rate, duration_s, is_killed)
    for kind, share in (
        ("good", 0.0),
        ("errors", 0.3),
        ("slow", 0.3),
        ("slow", 0.5),
        ("slow", 0.8),
        ("late", 0.5),
        ("route", 0.5),
        ("loaded", 0.5),
    )
    for gateways, rate, duration_s, is_killed in (
        (5, 55.0, 12.0, False),
        (5, 55.0, 24.0, False),
        (5, 90.0, 16.0, True),
        (15, 55.0, 12.0, False),
        (31, 55.0, 12.0, False),
        (31, 300.0, 16.0, True),
        (3, 4.0, 16.0, False),
    )
)
"""Kinds of versions at fleets from 3 to 31 gateways, one of thin traffic."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments."""
    parser.add_argument("--count", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)


def run(args: argparse.Namespace) -> int:
    """Prints how each kind of roll-out ends."""
    print("kind share gateways rate duration kill completed reverted open bad")
    for draw in DRAWS:
        verdicts = [replay(draw, args.seed + n) for n in range(args.count)]
        shares = [
            sum(v.outcome is outcome for v in verdicts) / args.count
            for outcome in (
                RolloutOutcome.COMPLETED,
                RolloutOutcome.REVERTED,
                RolloutOutcome.RUNNING,
            )
        ]
        bad = sorted(v.bad_answers for v in verdicts)
        print(
            f"{draw.kind:7} {draw.share:.1f} {draw.gateways:3}"
            f" {draw.rate_per_s:4.0f} {draw.duration_s:3.0f}"
            f" {draw.is_one_killed!s:5}",
            *(f"{share:.3f}" for share in shares),
            bad[int(0.95 * len(bad))],
        )
    return 0

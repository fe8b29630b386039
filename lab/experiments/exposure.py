"""Requests answered by a version that is bad or turns bad in a roll-out.

The product's gates, one per entry with lossy messages between them, run on
the same trace as a staged canary with fixed thresholds. The canary is given
the best of several thresholds in hindsight: the one with the least exposure
among those whose false stops stay at or under 1%, or else with the fewest
false stops.
"""

from __future__ import annotations

import dataclasses
import heapq
import math
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from lab.experiments import Result
from lovagestage.decisions.exposure import Assignment, ExposureGate
from lovagestage.state.document import RolloutSpec
from lovagestage.types import Offset, VmId

PROCESSES = 3
GOOD_ROLLOUTS = 60
BAD_ROLLOUTS = 3
DURATION_S = 4500
RATE_PER_S = 20
ENTRY_SHARES = (0.5, 0.3, 0.2)
ANSWER_S = 2
SAMPLE_RATIO = 0.15
RATING_DELAY_S = 45.0
MESSAGE_LOSS = 0.05
BASE_FAILURE_RATIO = 0.005
DIURNAL_DROP = 0.05
"""Both versions' ratings fall by so much and rise again in the trace."""
TURN_S = (300, 3600)
STEP_S = 300
SPEC = RolloutSpec(
    "m@1",
    "m@2",
    [0.1, 0.25, 0.5, 1.0],
    step_min_s=STEP_S,
    exposure_budget=3000,
    max_quality_drop=0.04,
)
CANARY_CHECK_S = 60
CANARY_MIN_FAILURES = 10
CANARY_FAILURE_RISE = 0.05
GOAL_RATIO = 0.2
GOAL_FALSE_STOPS = 0.01
GOOD = "good"


@dataclasses.dataclass(frozen=True)
class CanaryRule:
    """When the canary stops.

    Attributes:
        max_drop: Drop of the mean rating.
        min_ratings: Ratings of the new version in one comparison.
    """

    max_drop: float
    min_ratings: int


CANARY_RULES = (
    CanaryRule(0.06, 30),
    CanaryRule(0.08, 30),
    CanaryRule(0.10, 30),
    CanaryRule(0.06, 100),
    CanaryRule(0.04, 300),
)
"""The last are the slow and sure ones: none is a straw man by its noise."""


@dataclasses.dataclass(frozen=True)
class Fault:
    """How a version is bad.

    Attributes:
        failure_ratio: Requests that crash or are refused by the model.
        drop_ratio: Part of the mean rating that is lost.
    """

    failure_ratio: float = BASE_FAILURE_RATIO
    drop_ratio: float = 0.0


FAULTS = {
    GOOD: Fault(),
    "crash": Fault(failure_ratio=1.0),
    "refuse": Fault(failure_ratio=0.2),
    "worse_5": Fault(drop_ratio=0.05),
    "worse_10": Fault(drop_ratio=0.10),
    "worse_30": Fault(drop_ratio=0.30),
}


def score_uniform(rng: random.Random) -> float:
    """Rating of a good answer; mean 0.8."""
    return rng.uniform(0.6, 1.0)


def score_skewed(rng: random.Random) -> float:
    """Rating with a long tail of poor answers; mean 0.8."""
    return rng.betavariate(4.0, 1.0)


def score_mixed(rng: random.Random) -> float:
    """Easy and hard requests in one class; mean 0.8."""
    mean = 0.9 if rng.random() < 0.7 else 0.567
    return min(1.0, max(0.0, rng.gauss(mean, 0.08)))


SHAPES: tuple[Callable[[random.Random], float], ...] = (
    score_uniform,
    score_skewed,
    score_mixed,
)


@dataclasses.dataclass(frozen=True)
class Job:
    """One roll-out under one policy.

    Attributes:
        fault: Name of the fault.
        turns_s: When the version turns bad.
        seed: Seed of the trace.
        rule: The canary's rule; None runs the product.
    """

    fault: str
    turns_s: float
    seed: int
    rule: CanaryRule | None


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of one roll-out.

    Attributes:
        exposed: Requests answered by the version after it turned bad.
        stopped: Whether it was stopped.
        full_s: When it had passed all steps; -1 where it has not.
    """

    exposed: int
    stopped: bool
    full_s: float


class Gates:
    """The product: a gate in each entry and messages between them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        entries = len(ENTRY_SHARES)
        self._gates = [
            ExposureGate(SPEC, Offset(1), entries, VmId(f"e{i}"), 1)
            for i in range(entries)
        ]

    def assign(self, entry: int) -> Assignment:
        return self._gates[entry].assign(self._rng)

    def add_outcome(self, entry: int, how: Assignment, failed: bool) -> None:
        self._gates[entry].add_outcome(how, failed)

    def add_rating(self, entry: int, is_new: bool, score: float) -> None:
        self._gates[entry].add_rating(is_new, score)

    def tick(self, now_s: float) -> None:
        for gate in self._gates:
            gate.advance(now_s)
            evidence = gate.make_evidence()
            for other in self._gates:
                if self._rng.random() >= MESSAGE_LOSS:
                    other.apply_evidence(evidence)

    def is_stopped(self) -> bool:
        return all(g.stop_reason is not None for g in self._gates)

    def is_full(self) -> bool:
        return all(g.step >= len(SPEC.steps) for g in self._gates)


class Canary:
    """Staged roll-out with fixed thresholds, checked every minute."""

    def __init__(self, rng: random.Random, rule: CanaryRule) -> None:
        self._rng = rng
        self._rule = rule
        self._step = 0
        self._stopped = False
        self._scores: dict[bool, list[float]] = {False: [], True: []}
        self._ends = {False: [0, 0], True: [0, 0]}

    def assign(self, entry: int) -> Assignment:
        del entry
        steps = SPEC.steps
        share = 0.0 if self._stopped else steps[min(self._step, 3)]
        return Assignment(self._rng.random() < share, share)

    def add_outcome(self, entry: int, how: Assignment, failed: bool) -> None:
        del entry
        self._ends[how.is_new][0] += failed
        self._ends[how.is_new][1] += 1

    def add_rating(self, entry: int, is_new: bool, score: float) -> None:
        del entry
        self._scores[is_new].append(score)

    def tick(self, now_s: float) -> None:
        if now_s % CANARY_CHECK_S:
            return
        self._check_failures()
        self._check_scores()
        if now_s % STEP_S == 0 and now_s > 0:
            self._step = min(self._step + 1, len(SPEC.steps))

    def _check_failures(self) -> None:
        rates = {new: f / max(1, n) for new, (f, n) in self._ends.items()}
        if rates[True] > rates[False] + CANARY_FAILURE_RISE:
            self._stopped = self._stopped or (
                self._ends[True][1] >= CANARY_MIN_FAILURES
            )
        self._ends[True] = [0, 0]

    def _check_scores(self) -> None:
        old, new = self._scores[False][-1000:], self._scores[True]
        if len(new) < self._rule.min_ratings or not old:
            return
        drop = sum(old) / len(old) - sum(new) / len(new)
        self._stopped = self._stopped or drop > self._rule.max_drop
        self._scores[True] = []

    def is_stopped(self) -> bool:
        return self._stopped

    def is_full(self) -> bool:
        return self._step >= len(SPEC.steps)


def run_job(job: Job) -> Outcome:
    """Runs one roll-out.

    Scores, failures, samples and delays come from the trace's own source of
    randomness, so that both policies see the same requests.
    """
    trace = random.Random(job.seed)
    rng = random.Random(job.seed + 1)
    policy = Canary(rng, job.rule) if job.rule else Gates(rng)
    shape = SHAPES[job.seed % len(SHAPES)]
    fault, good = FAULTS[job.fault], FAULTS[GOOD]
    entries = range(len(ENTRY_SHARES))
    ends: list[tuple[float, int, int, Assignment, bool]] = []
    ratings: list[tuple[float, int, int, bool, float]] = []
    exposed, count, full_s = 0, 0, -1.0
    for now_s in range(DURATION_S):
        low = DIURNAL_DROP * math.sin(math.pi * now_s / DURATION_S)
        for entry in trace.choices(entries, ENTRY_SHARES, k=RATE_PER_S):
            count += 1
            luck, base = trace.random(), shape(trace)
            sampled = trace.random() < SAMPLE_RATIO
            delay_s = 10.0 + trace.expovariate(1.0 / RATING_DELAY_S)
            how = policy.assign(entry)
            bad = how.is_new and now_s >= job.turns_s
            exposed += bad
            now = fault if bad else good
            failed = luck < now.failure_ratio
            heapq.heappush(ends, (now_s + ANSWER_S, count, entry, how, failed))
            if sampled and not failed:
                score = max(0.0, base * (1.0 - now.drop_ratio) - low)
                due = (now_s + delay_s, count, entry, how.is_new, score)
                heapq.heappush(ratings, due)
        while ends and ends[0][0] <= now_s:
            policy.add_outcome(*heapq.heappop(ends)[2:])
        while ratings and ratings[0][0] <= now_s:
            policy.add_rating(*heapq.heappop(ratings)[2:])
        policy.tick(now_s)
        if policy.is_full() and full_s < 0:
            full_s = now_s
        if policy.is_stopped():
            break
    return Outcome(exposed, policy.is_stopped(), full_s)


def make_jobs(seed: int, rule: CanaryRule | None) -> list[Job]:
    """All roll-outs of one policy; the same traces for each policy."""
    start = seed * 100_000
    rng = random.Random(start)
    jobs = [
        Job(GOOD, math.inf, start + 10 * i + i % 3, rule)
        for i in range(GOOD_ROLLOUTS)
    ]
    for fault in FAULTS:
        if fault == GOOD:
            continue
        for i in range(BAD_ROLLOUTS):
            trace = start + 50_000 + 10 * i + i % 3
            jobs.append(Job(fault, 0.0, trace, rule))
            jobs.append(Job(fault, rng.uniform(*TURN_S), trace, rule))
    return jobs


def get_exposure(jobs: list[Job], outcomes: list[Outcome]) -> dict[str, float]:
    """Mean exposed requests of a roll-out, by fault and when it set in."""
    sums: dict[str, float] = {}
    for job, outcome in zip(jobs, outcomes, strict=True):
        if job.fault != GOOD:
            when = "start" if job.turns_s == 0 else "midway"
            key = f"{job.fault}_{when}"
            sums[key] = sums.get(key, 0.0) + outcome.exposed / BAD_ROLLOUTS
    return sums


@dataclasses.dataclass(frozen=True)
class Figures:
    """What all roll-outs of one policy gave.

    Attributes:
        false_stops: Part of the good roll-outs that were stopped.
        finished: Part of the good roll-outs that passed all steps.
        finished_median_s: When they had.
        exposed: Mean exposed requests by fault and when it set in.
    """

    false_stops: float
    finished: float
    finished_median_s: float
    exposed: dict[str, float]

    def get_total(self) -> float:
        """Sum over the faults."""
        return sum(self.exposed.values())


def make_figures(jobs: list[Job], outcomes: list[Outcome]) -> Figures:
    """Sums up the outcomes of one policy."""
    good = outcomes[:GOOD_ROLLOUTS]
    full = sorted(o.full_s for o in good if o.full_s >= 0 and not o.stopped)
    return Figures(
        sum(o.stopped for o in good) / GOOD_ROLLOUTS,
        len(full) / GOOD_ROLLOUTS,
        full[len(full) // 2] if full else -1.0,
        get_exposure(jobs, outcomes),
    )


def get_rank(figures: Figures) -> tuple[float, float]:
    """The canary's order: no more false stops than the goal, then exposure."""
    return (
        max(GOAL_FALSE_STOPS, figures.false_stops),
        figures.get_total(),
    )


def run(seed: int) -> Result:
    """Runs all roll-outs; a ratio of sums over all faults."""
    rules: tuple[CanaryRule | None, ...] = (None, *CANARY_RULES)
    groups = [make_jobs(seed, rule) for rule in rules]
    with ProcessPoolExecutor(PROCESSES) as pool:
        jobs = [job for group in groups for job in group]
        outcomes = iter(list(pool.map(run_job, jobs, chunksize=4)))
    all_figures = [
        make_figures(group, [next(outcomes) for _ in group]) for group in groups
    ]
    mine, canaries = all_figures[0], all_figures[1:]
    theirs = min(canaries, key=get_rank)
    best = CANARY_RULES[canaries.index(theirs)]
    ratio = mine.get_total() / theirs.get_total()
    return Result(
        "exposure",
        seed,
        {"rule": dataclasses.asdict(best)} | dataclasses.asdict(theirs),
        dataclasses.asdict(mine),
        ratio,
        ratio <= GOAL_RATIO and mine.false_stops < GOAL_FALSE_STOPS,
        {
            "good": GOOD_ROLLOUTS,
            "bad_per_case": BAD_ROLLOUTS,
            "ratio_by_fault": {
                key: mine.exposed[key] / max(1.0, theirs.exposed[key])
                for key in mine.exposed
            },
            "false_stops_by_rule": [f.false_stops for f in canaries],
            "exposed_by_rule": [f.get_total() for f in canaries],
        },
    )

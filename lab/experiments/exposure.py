"""Counts requests answered by a version that is or becomes bad in a roll-out.

The product's exposure gates, one per entry with lossy messages between them,
run on the same trace as a staged canary with fixed thresholds. The canary gets
the best of several thresholds in hindsight: the one with the least exposure
among those with at most 1% false stops, or else the one with the fewest false
stops.
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
"""Maximum drop of both versions' ratings in the middle of the trace.

The ratings fall and rise again in half a sine wave.
"""
BAD_FROM_S = (300, 3600)
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
    """Thresholds at which the canary stops a roll-out.

    Attributes:
        max_drop: Drop of the mean rating above which the roll-out is stopped.
        min_ratings: Minimum number of ratings of the new version in one
            comparison.
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
"""Rules that the canary may choose from in hindsight.

The last two compare more ratings, so they are slower but less affected by
noise: the baseline is not weakened by noisy comparisons.
"""


@dataclasses.dataclass(frozen=True)
class Fault:
    """Defect of a model version.

    Attributes:
        failure_ratio: Ratio of requests that crash or are refused by the
            model.
        drop_ratio: Ratio by which ratings are reduced.
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
    """Draws a uniform rating of a good answer; mean 0.8."""
    return rng.uniform(0.6, 1.0)


def score_skewed(rng: random.Random) -> float:
    """Draws a rating with a long tail of poor answers; mean 0.8."""
    return rng.betavariate(4.0, 1.0)


def score_mixed(rng: random.Random) -> float:
    """Draws a rating from a mix of easy and hard requests; mean 0.8."""
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
        fault: Name of the new version's fault in `FAULTS`.
        bad_from_s: Time in seconds from which the new version has the fault.
        seed: Seed of the trace.
        rule: Rule of the canary; None runs the product instead.
    """

    fault: str
    bad_from_s: float
    seed: int
    rule: CanaryRule | None


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of one roll-out.

    Attributes:
        exposed: Requests assigned to the new version after it turned bad.
        stopped: Whether the roll-out was stopped.
        completed_s: Time in seconds at which the roll-out passed its last
            step; -1 if it did not.
    """

    exposed: int
    stopped: bool
    completed_s: float


class Gates:
    """The product's policy: one gate per entry, and messages between them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        entries = len(ENTRY_SHARES)
        self._gates = [
            ExposureGate(SPEC, Offset(1), entries, VmId(f"e{i}"), 1)
            for i in range(entries)
        ]

    def assign(self, entry: int) -> Assignment:
        return self._gates[entry].assign(self._rng)

    def add_outcome(
        self, entry: int, assignment: Assignment, failed: bool
    ) -> None:
        self._gates[entry].add_outcome(assignment, failed)

    def add_rating(self, entry: int, is_new: bool, score: float) -> None:
        self._gates[entry].add_rating(is_new, score)

    def tick(self, now_s: float) -> None:
        for gate in self._gates:
            gate.advance(now_s)
            evidence = gate.make_evidence()
            for receiver in self._gates:
                if self._rng.random() >= MESSAGE_LOSS:
                    receiver.apply_evidence(evidence)

    def is_stopped(self) -> bool:
        return all(g.stop_reason is not None for g in self._gates)

    def is_complete(self) -> bool:
        return all(g.step >= len(SPEC.steps) for g in self._gates)


class Canary:
    """The baseline's policy: staged roll-out with fixed thresholds.

    The thresholds are checked every `CANARY_CHECK_S`, that is each minute.
    """

    def __init__(self, rng: random.Random, rule: CanaryRule) -> None:
        self._rng = rng
        self._rule = rule
        self._step = 0
        self._stopped = False
        self._scores: dict[bool, list[float]] = {False: [], True: []}
        self._failure_counts = {False: [0, 0], True: [0, 0]}

    def assign(self, entry: int) -> Assignment:
        del entry
        steps = SPEC.steps
        share = 0.0 if self._stopped else steps[min(self._step, 3)]
        return Assignment(self._rng.random() < share, share)

    def add_outcome(
        self, entry: int, assignment: Assignment, failed: bool
    ) -> None:
        del entry
        self._failure_counts[assignment.is_new][0] += failed
        self._failure_counts[assignment.is_new][1] += 1

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
        rates = {
            new: f / max(1, n) for new, (f, n) in self._failure_counts.items()
        }
        if rates[True] > rates[False] + CANARY_FAILURE_RISE:
            self._stopped = self._stopped or (
                self._failure_counts[True][1] >= CANARY_MIN_FAILURES
            )
        self._failure_counts[True] = [0, 0]

    def _check_scores(self) -> None:
        old, new = self._scores[False][-1000:], self._scores[True]
        if len(new) < self._rule.min_ratings or not old:
            return
        drop = sum(old) / len(old) - sum(new) / len(new)
        self._stopped = self._stopped or drop > self._rule.max_drop
        self._scores[True] = []

    def is_stopped(self) -> bool:
        return self._stopped

    def is_complete(self) -> bool:
        return self._step >= len(SPEC.steps)


def run_job(job: Job) -> Outcome:
    """Simulates one roll-out.

    Scores, failures, samples and delays are drawn from the trace's own random
    generator, so that both policies process the same requests.
    """
    trace = random.Random(job.seed)
    rng = random.Random(job.seed + 1)
    policy = Canary(rng, job.rule) if job.rule else Gates(rng)
    shape = SHAPES[job.seed % len(SHAPES)]
    fault, no_fault = FAULTS[job.fault], FAULTS[GOOD]
    entries = range(len(ENTRY_SHARES))
    pending_outcomes: list[tuple[float, int, int, Assignment, bool]] = []
    pending_ratings: list[tuple[float, int, int, bool, float]] = []
    exposed, count, completed_s = 0, 0, -1.0
    for now_s in range(DURATION_S):
        rating_dip = DIURNAL_DROP * math.sin(math.pi * now_s / DURATION_S)
        for entry in trace.choices(entries, ENTRY_SHARES, k=RATE_PER_S):
            count += 1
            failure_draw, base = trace.random(), shape(trace)
            sampled = trace.random() < SAMPLE_RATIO
            delay_s = 10.0 + trace.expovariate(1.0 / RATING_DELAY_S)
            assignment = policy.assign(entry)
            is_bad = assignment.is_new and now_s >= job.bad_from_s
            exposed += is_bad
            current_fault = fault if is_bad else no_fault
            failed = failure_draw < current_fault.failure_ratio
            heapq.heappush(
                pending_outcomes,
                (now_s + ANSWER_S, count, entry, assignment, failed),
            )
            if sampled and not failed:
                score = max(
                    0.0, base * (1.0 - current_fault.drop_ratio) - rating_dip
                )
                pending_rating = (
                    now_s + delay_s,
                    count,
                    entry,
                    assignment.is_new,
                    score,
                )
                heapq.heappush(pending_ratings, pending_rating)
        while pending_outcomes and pending_outcomes[0][0] <= now_s:
            policy.add_outcome(*heapq.heappop(pending_outcomes)[2:])
        while pending_ratings and pending_ratings[0][0] <= now_s:
            policy.add_rating(*heapq.heappop(pending_ratings)[2:])
        policy.tick(now_s)
        if policy.is_complete() and completed_s < 0:
            completed_s = now_s
        if policy.is_stopped():
            break
    return Outcome(exposed, policy.is_stopped(), completed_s)


def make_jobs(seed: int, rule: CanaryRule | None) -> list[Job]:
    """Returns all roll-outs of one policy; each policy gets the same traces."""
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
            jobs.append(Job(fault, rng.uniform(*BAD_FROM_S), trace, rule))
    return jobs


def get_exposure(jobs: list[Job], outcomes: list[Outcome]) -> dict[str, float]:
    """Returns the mean exposed requests per roll-out, by fault and onset."""
    sums: dict[str, float] = {}
    for job, outcome in zip(jobs, outcomes, strict=True):
        if job.fault != GOOD:
            when = "start" if job.bad_from_s == 0 else "midway"
            key = f"{job.fault}_{when}"
            sums[key] = sums.get(key, 0.0) + outcome.exposed / BAD_ROLLOUTS
    return sums


@dataclasses.dataclass(frozen=True)
class Figures:
    """Summary of all roll-outs of one policy.

    Attributes:
        false_stops: Ratio of good roll-outs that were stopped.
        finished: Ratio of good roll-outs that passed all steps unstopped.
        finished_median_s: Median time in seconds at which these had passed
            all steps; -1 if there are none.
        exposed: Mean exposed requests per roll-out, by fault and its onset.
    """

    false_stops: float
    finished: float
    finished_median_s: float
    exposed: dict[str, float]

    def get_total(self) -> float:
        """Returns the sum of the mean exposed requests over all faults."""
        return sum(self.exposed.values())


def make_figures(jobs: list[Job], outcomes: list[Outcome]) -> Figures:
    """Summarizes the outcomes of one policy."""
    good_outcomes = outcomes[:GOOD_ROLLOUTS]
    completion_times_s = sorted(
        o.completed_s
        for o in good_outcomes
        if o.completed_s >= 0 and not o.stopped
    )
    return Figures(
        sum(o.stopped for o in good_outcomes) / GOOD_ROLLOUTS,
        len(completion_times_s) / GOOD_ROLLOUTS,
        completion_times_s[len(completion_times_s) // 2]
        if completion_times_s
        else -1.0,
        get_exposure(jobs, outcomes),
    )


def get_rank(figures: Figures) -> tuple[float, float]:
    """Returns the sort key that selects the canary's best rule.

    Rules with fewer false stops come first, where all ratios up to the goal
    count as equal; among these, the least exposure wins.
    """
    return (
        max(GOAL_FALSE_STOPS, figures.false_stops),
        figures.get_total(),
    )


def run(seed: int) -> Result:
    """Runs all roll-outs of the product and of each rule of the canary.

    The ratio is the product's exposure divided by the canary's, each summed
    over all faults.
    """
    rules: tuple[CanaryRule | None, ...] = (None, *CANARY_RULES)
    groups = [make_jobs(seed, rule) for rule in rules]
    with ProcessPoolExecutor(PROCESSES) as pool:
        jobs = [job for group in groups for job in group]
        outcomes = iter(list(pool.map(run_job, jobs, chunksize=4)))
    all_figures = [
        make_figures(group, [next(outcomes) for _ in group]) for group in groups
    ]
    product, canaries = all_figures[0], all_figures[1:]
    canary = min(canaries, key=get_rank)
    best = CANARY_RULES[canaries.index(canary)]
    ratio = product.get_total() / canary.get_total()
    return Result(
        "exposure",
        seed,
        {"rule": dataclasses.asdict(best)} | dataclasses.asdict(canary),
        dataclasses.asdict(product),
        ratio,
        ratio <= GOAL_RATIO and product.false_stops < GOAL_FALSE_STOPS,
        {
            "good": GOOD_ROLLOUTS,
            "bad_per_case": BAD_ROLLOUTS,
            "ratio_by_fault": {
                key: product.exposed[key] / max(1.0, canary.exposed[key])
                for key in product.exposed
            },
            "false_stops_by_rule": [f.false_stops for f in canaries],
            "exposed_by_rule": [f.get_total() for f in canaries],
        },
    )

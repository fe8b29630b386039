"""Cost at a quality target: learned plans against the best model always.

Generating model, in four shapes: a request has a latent difficulty, seen
only through its prompt's length, with noise. Each version has a skill; its
answer's true rating falls with difficulty beyond the skill. The rater sees a
sample, late, with noise of its own. An answer is flagged doubtful (cut off,
refused) more often where it is poor. The learner is given lengths, flags,
and the sampled ratings when they arrive; the oracle is given every true
rating, and the best fixed threshold is chosen in hindsight on the same trace.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import msgspec
import numpy as np
import numpy.typing as npt

from lab.experiments import Result
from lovagestage.decisions.cascade import (
    CascadeTable,
    get_difficulty,
    may_escalate,
)
from lovagestage.decisions.learned import Learned
from lovagestage.messages.counters import Arm, Plan
from lovagestage.types import VmId

PROCESSES = 3
SEEDS = 100
REQUESTS = 60_000
RATE_PER_S = 20
ENTRIES = 3
SOLVE_EVERY = 400
WINDOW_S = 600
SAMPLE_RATIO = 0.15
DELAY_S = 60.0
RATER_NOISE = 0.15
CLASS = "default"
VERSIONS = ("small@1", "medium@1", "large@1")
PRICES = np.array([1.0, 4.0, 12.0])
TARGET_BELOW_BEST = 0.03
GOAL_COST = 0.5
GOAL_MET = 0.95
GOAL_THRESHOLD_GAP = 0.1

Floats = npt.NDArray[np.float64]


@dataclasses.dataclass(frozen=True)
class Shape:
    """Parameters of a generating model.

    Attributes:
        difficulty: Draws latent difficulties, 0 easy to 1 hard.
        skills: Skill of each version.
        slope: Rating lost per difficulty beyond the skill.
        length_noise: Deviation of the length feature, in doublings.
        drift: Difficulty added over the whole trace.
    """

    difficulty: Callable[[np.random.Generator, int], Floats]
    skills: tuple[float, float, float]
    slope: float
    length_noise: float
    drift: float = 0.0


SHAPES = (
    Shape(lambda g, n: g.beta(1.2, 2.5, n), (0.35, 0.6, 0.85), 1.2, 0.7),
    Shape(lambda g, n: g.uniform(0, 1, n), (0.5, 0.7, 0.95), 1.0, 0.7),
    Shape(
        lambda g, n: np.where(
            g.random(n) < 0.7, g.beta(2, 8, n), g.beta(8, 3, n)
        ),
        (0.3, 0.5, 0.8),
        0.9,
        1.0,
    ),
    Shape(lambda g, n: g.beta(1.2, 2.5, n), (0.35, 0.6, 0.85), 1.2, 0.7, 0.15),
)


@dataclasses.dataclass(frozen=True)
class Trace:
    """All that is true of a trace; rows are requests, columns versions.

    Attributes:
        prompt_bytes: Prompt lengths.
        tokens: Tokens of an answer, in thousands.
        scores: True ratings.
        doubtful: Whether each answer is flagged.
        target: The team's quality target.
    """

    prompt_bytes: Floats
    tokens: Floats
    scores: Floats
    doubtful: npt.NDArray[np.bool_]
    target: float


@dataclasses.dataclass(frozen=True)
class Outcome:
    """One seed: costs are parts of the best model's cost."""

    shape: int
    cost: float
    quality: float
    target: float
    threshold_cost: float
    oracle_cost: float
    wire_bytes_per_s: float


def make_trace(seed: int) -> Trace:
    """Draws a trace; the shape goes round with the seed."""
    rng = np.random.default_rng(seed)
    shape = SHAPES[seed % len(SHAPES)]
    hard = shape.difficulty(rng, REQUESTS)
    hard = hard + shape.drift * np.linspace(0, 1, REQUESTS)
    noise = rng.normal(0, shape.length_noise, REQUESTS)
    prompt_bytes = 128.0 * 2.0 ** np.clip(7.5 * hard + noise, 0, 12)
    gaps = np.maximum(0.0, hard[:, None] - np.array(shape.skills)[None, :])
    own = rng.normal(0, 0.06, gaps.shape)
    scores = np.clip(0.92 - shape.slope * gaps + own, 0, 1)
    chance = np.clip(0.03 + 1.4 * (0.85 - scores), 0.02, 0.9)
    doubtful = rng.random(gaps.shape) < chance
    tokens = rng.gamma(2.0, 0.1, REQUESTS)
    target = float(scores[:, -1].mean()) - TARGET_BELOW_BEST
    return Trace(prompt_bytes, tokens, scores, doubtful, target)


def get_threshold_cost(trace: Trace) -> float:
    """Cheapest pair of length thresholds, with or without escalation."""
    order = np.argsort(trace.prompt_bytes)
    costs = trace.tokens[:, None] * PRICES[None, :]
    steps = np.linspace(0, REQUESTS, 21).astype(int)
    best = float(costs[:, 2].sum())
    for escalates in (False, True):
        scores, spent = trace.scores.copy(), costs.copy()
        if escalates:
            for column in (0, 1):
                flags = trace.doubtful[:, column]
                scores[flags, column] = trace.scores[flags, 2]
                spent[flags, column] += costs[flags, 2]
        score_sums = np.vstack([np.zeros(3), scores[order].cumsum(axis=0)])
        cost_sums = np.vstack([np.zeros(3), spent[order].cumsum(axis=0)])
        for low in steps:
            for high in steps[steps >= low]:
                cuts = np.array([0, low, high, REQUESTS])
                score = sum(
                    score_sums[cuts[v + 1], v] - score_sums[cuts[v], v]
                    for v in range(3)
                )
                cost = sum(
                    cost_sums[cuts[v + 1], v] - cost_sums[cuts[v], v]
                    for v in range(3)
                )
                if score / REQUESTS >= trace.target:
                    best = min(best, float(cost))
    return best


def get_oracle_cost(trace: Trace) -> float:
    """Least cost with every true rating known, by a multiplier."""
    costs = trace.tokens[:, None] * PRICES[None, :]
    rows = np.arange(REQUESTS)
    low, high = 0.0, 1e4
    for _ in range(50):
        middle = (low + high) / 2
        pick = (costs - middle * trace.scores).argmin(axis=1)
        if trace.scores[rows, pick].mean() >= trace.target:
            high = middle
        else:
            low = middle
    pick = (costs - high * trace.scores).argmin(axis=1)
    return float(costs[rows, pick].sum())


def get_noise(score: float) -> float:
    """Half width of the rater's noise, such that it is not biased."""
    return min(RATER_NOISE, score, 1.0 - score)


class Fleet:
    """Entries that learn and tell each other what they learned."""

    def __init__(self, target: float) -> None:
        self._target = target
        self.learned = [Learned(VmId(f"e{i}"), 1) for i in range(ENTRIES)]
        self.tables = [self._solve(one) for one in self.learned]
        self.wire_bytes = 0

    def refresh(self, now_s: float) -> None:
        for one in self.learned:
            one.set_window(int(now_s // WINDOW_S))
            delta = one.make_delta()
            self.wire_bytes += len(msgspec.msgpack.encode(delta))
            for other in self.learned:
                other.merge(delta)
        self.tables = [self._solve(one) for one in self.learned]

    def _solve(self, learned: Learned) -> CascadeTable:
        sums = learned.get_sums()
        return CascadeTable(VERSIONS, CLASS, self._target, sums)


def run_seed(seed: int) -> Outcome:
    """Runs one trace."""
    trace = make_trace(seed)
    rng = random.Random(seed)
    fleet = Fleet(trace.target)
    ratings: list[tuple[float, int, Arm, float]] = []
    cost = quality = 0.0
    for index in range(REQUESTS):
        now_s = index / RATE_PER_S
        if index % SOLVE_EVERY == 0:
            fleet.refresh(now_s)
        entry = rng.randrange(ENTRIES)
        difficulty = get_difficulty(int(trace.prompt_bytes[index]))
        plan = fleet.tables[entry].choose(difficulty, rng)
        spent, score = run_plan(trace, index, plan)
        cost += spent
        quality += score
        arm = Arm(CLASS, difficulty, plan)
        fleet.learned[entry].add_request(arm, spent)
        if rng.random() < SAMPLE_RATIO:
            seen = score + rng.uniform(-1, 1) * get_noise(score)
            due_s = now_s + 10.0 + rng.expovariate(1.0 / DELAY_S)
            heapq.heappush(ratings, (due_s, entry, arm, seen))
        while ratings and ratings[0][0] <= now_s:
            _, owner, rated, value = heapq.heappop(ratings)
            fleet.learned[owner].add_rating(rated, value)
    full = float((trace.tokens * PRICES[2]).sum())
    sent = fleet.wire_bytes * (ENTRIES - 1) / ENTRIES
    return Outcome(
        seed % len(SHAPES),
        cost / full,
        quality / REQUESTS,
        trace.target,
        get_threshold_cost(trace) / full,
        get_oracle_cost(trace) / full,
        sent / (REQUESTS / RATE_PER_S),
    )


def run_plan(trace: Trace, index: int, plan: Plan) -> tuple[float, float]:
    """Cost and true rating of one request."""
    column = VERSIONS.index(plan.first)
    spent = trace.tokens[index] * PRICES[column]
    if may_escalate(plan, bool(trace.doubtful[index, column]), 0.0, 1.0):
        column = VERSIONS.index(plan.escalate_to)
        spent += trace.tokens[index] * PRICES[column]
    return float(spent), float(trace.scores[index, column])


def run(seed: int) -> Result:
    """Runs a hundred traces."""
    seeds = range(seed * 1000, seed * 1000 + SEEDS)
    with ProcessPoolExecutor(PROCESSES) as pool:
        ends = list(pool.map(run_seed, seeds, chunksize=4))
    met = sum(e.quality >= e.target for e in ends) / SEEDS
    ratio = sum(e.cost for e in ends) / SEEDS
    threshold = sum(e.threshold_cost for e in ends) / SEEDS
    gap = ratio / threshold - 1.0
    by_shape = [[e for e in ends if e.shape == s] for s in range(len(SHAPES))]
    return Result(
        "cost",
        seed,
        {
            "cost": 1.0,
            "best_threshold_cost": threshold,
            "oracle_cost": sum(e.oracle_cost for e in ends) / SEEDS,
        },
        {
            "cost": ratio,
            "target_met": met,
            "gap_to_threshold": gap,
            "wire_bytes_per_s": max(e.wire_bytes_per_s for e in ends),
            "mean_margin": sum(e.quality - e.target for e in ends) / SEEDS,
        },
        ratio,
        ratio <= GOAL_COST and met >= GOAL_MET and gap <= GOAL_THRESHOLD_GAP,
        {
            "seeds": SEEDS,
            "cost_by_shape": [
                sum(e.cost for e in s) / len(s) for s in by_shape
            ],
            "threshold_by_shape": [
                sum(e.threshold_cost for e in s) / len(s) for s in by_shape
            ],
            "met_by_shape": [
                sum(e.quality >= e.target for e in s) / len(s) for s in by_shape
            ],
        },
    )

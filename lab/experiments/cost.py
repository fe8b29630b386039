"""Compares the cost of learned plans with that of always using the best model.

Both have to reach a quality target. Traces come from a generative model with
four sets of parameters: a request has a latent difficulty, observable only
through the length of its prompt, with noise. Each model version has a skill;
the true rating of its answer falls as the difficulty exceeds the skill. The
rater rates a sample of the answers, after a delay and with noise of its own.
Poor answers are more likely to be flagged as doubtful (truncated, refused).
The learner receives prompt lengths, flags and the sampled ratings when they
arrive. The oracle knows every true rating, and the best fixed threshold is
chosen in hindsight on the same trace.
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
from lovagestage.decisions.learned_counters import LearnedCounters
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
    """Parameters of the generative model of a trace.

    Attributes:
        difficulty: Draws latent difficulties, from 0 (easy) to 1 (hard).
        skills: Skill of each model version.
        slope: Loss of rating for each unit of difficulty above the skill.
        length_noise: Standard deviation of the prompt length, in doublings.
        drift: Increase of the difficulty over the full trace.
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
    """Ground truth of a trace; rows are requests, columns are versions.

    Attributes:
        prompt_bytes: Prompt lengths in bytes.
        tokens: Tokens of each request's answer, in thousands.
        scores: True rating of each answer, 0 to 1.
        doubtful: Whether each answer is flagged as doubtful.
        target: Quality target of the team: the minimum mean rating.
    """

    prompt_bytes: Floats
    tokens: Floats
    scores: Floats
    doubtful: npt.NDArray[np.bool_]
    target: float


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Results of one trace; costs are relative to always using the best model.

    Attributes:
        shape: Index of the generative model's parameters in `SHAPES`.
        cost: Cost of the learned plans.
        quality: Mean true rating under the learned plans.
        target: Quality target.
        threshold_cost: Cost of the best fixed length thresholds.
        oracle_cost: Cost with all true ratings known.
        wire_bytes_per_s: Bytes a second of learned deltas that each entry
            receives from the other entries.
    """

    shape: int
    cost: float
    quality: float
    target: float
    threshold_cost: float
    oracle_cost: float
    wire_bytes_per_s: float


def make_trace(seed: int) -> Trace:
    """Draws a trace; the seed selects the parameters in turn."""
    rng = np.random.default_rng(seed)
    shape = SHAPES[seed % len(SHAPES)]
    difficulties = shape.difficulty(rng, REQUESTS)
    difficulties = difficulties + shape.drift * np.linspace(0, 1, REQUESTS)
    noise = rng.normal(0, shape.length_noise, REQUESTS)
    prompt_bytes = 128.0 * 2.0 ** np.clip(7.5 * difficulties + noise, 0, 12)
    shortfalls = np.maximum(
        0.0, difficulties[:, None] - np.array(shape.skills)[None, :]
    )
    score_noise = rng.normal(0, 0.06, shortfalls.shape)
    scores = np.clip(0.92 - shape.slope * shortfalls + score_noise, 0, 1)
    flag_probabilities = np.clip(0.03 + 1.4 * (0.85 - scores), 0.02, 0.9)
    doubtful = rng.random(shortfalls.shape) < flag_probabilities
    tokens = rng.gamma(2.0, 0.1, REQUESTS)
    target = float(scores[:, -1].mean()) - TARGET_BELOW_BEST
    return Trace(prompt_bytes, tokens, scores, doubtful, target)


def get_threshold_cost(trace: Trace) -> float:
    """Returns the cost of the cheapest pair of prompt length thresholds.

    Pairs with and without escalation of doubtful answers are tried. Without a
    pair that reaches the target, the cost is that of the best model.
    """
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
    """Returns the least cost if every true rating is known.

    The optimum is found by bisection of a Lagrange multiplier on quality.
    """
    costs = trace.tokens[:, None] * PRICES[None, :]
    rows = np.arange(REQUESTS)
    low, high = 0.0, 1e4
    for _ in range(50):
        multiplier = (low + high) / 2
        choices = (costs - multiplier * trace.scores).argmin(axis=1)
        if trace.scores[rows, choices].mean() >= trace.target:
            high = multiplier
        else:
            low = multiplier
    choices = (costs - high * trace.scores).argmin(axis=1)
    return float(costs[rows, choices].sum())


def get_noise(score: float) -> float:
    """Returns the half width of the rater's noise.

    The noise is limited so that ratings stay within 0 to 1 without bias.
    """
    return min(RATER_NOISE, score, 1.0 - score)


class Fleet:
    """Entries that learn from ratings and exchange what they have learned."""

    def __init__(self, target: float) -> None:
        self._target = target
        self.learned = [
            LearnedCounters(VmId(f"e{i}"), 1) for i in range(ENTRIES)
        ]
        self.tables = [self._solve(learner) for learner in self.learned]
        self.wire_bytes = 0

    def refresh(self, now_s: float) -> None:
        for learner in self.learned:
            learner.set_window(int(now_s // WINDOW_S))
            delta = learner.make_delta()
            self.wire_bytes += len(msgspec.msgpack.encode(delta))
            for other in self.learned:
                other.merge(delta)
        self.tables = [self._solve(learner) for learner in self.learned]

    def _solve(self, learned: LearnedCounters) -> CascadeTable:
        sums = learned.get_sums()
        return CascadeTable(VERSIONS, CLASS, self._target, sums)


def run_seed(seed: int) -> Outcome:
    """Simulates the requests of one trace under learned plans."""
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
        plan = fleet.tables[entry].choose_plan(difficulty, rng)
        spent, score = run_plan(trace, index, plan)
        cost += spent
        quality += score
        arm = Arm(CLASS, difficulty, plan)
        fleet.learned[entry].add_request(arm, spent)
        if rng.random() < SAMPLE_RATIO:
            noisy_score = score + rng.uniform(-1, 1) * get_noise(score)
            due_s = now_s + 10.0 + rng.expovariate(1.0 / DELAY_S)
            heapq.heappush(ratings, (due_s, entry, arm, noisy_score))
        while ratings and ratings[0][0] <= now_s:
            _, owner, rated, value = heapq.heappop(ratings)
            fleet.learned[owner].add_rating(rated, value)
    best_model_cost = float((trace.tokens * PRICES[2]).sum())
    bytes_per_entry = fleet.wire_bytes * (ENTRIES - 1) / ENTRIES
    return Outcome(
        seed % len(SHAPES),
        cost / best_model_cost,
        quality / REQUESTS,
        trace.target,
        get_threshold_cost(trace) / best_model_cost,
        get_oracle_cost(trace) / best_model_cost,
        bytes_per_entry / (REQUESTS / RATE_PER_S),
    )


def run_plan(trace: Trace, index: int, plan: Plan) -> tuple[float, float]:
    """Returns the cost and the true rating of one request under a plan."""
    column = VERSIONS.index(plan.first)
    spent = trace.tokens[index] * PRICES[column]
    if may_escalate(plan, bool(trace.doubtful[index, column]), 0.0, 1.0):
        column = VERSIONS.index(plan.escalate_to)
        spent += trace.tokens[index] * PRICES[column]
    return float(spent), float(trace.scores[index, column])


def run(seed: int) -> Result:
    """Runs a hundred traces and summarizes their results."""
    seeds = range(seed * 1000, seed * 1000 + SEEDS)
    with ProcessPoolExecutor(PROCESSES) as pool:
        outcomes = list(pool.map(run_seed, seeds, chunksize=4))
    target_met_ratio = (
        sum(outcome.quality >= outcome.target for outcome in outcomes) / SEEDS
    )
    ratio = sum(outcome.cost for outcome in outcomes) / SEEDS
    threshold_cost = sum(outcome.threshold_cost for outcome in outcomes) / SEEDS
    gap = ratio / threshold_cost - 1.0
    by_shape = [
        [outcome for outcome in outcomes if outcome.shape == s]
        for s in range(len(SHAPES))
    ]
    return Result(
        "cost",
        seed,
        {
            "cost": 1.0,
            "best_threshold_cost": threshold_cost,
            "oracle_cost": sum(outcome.oracle_cost for outcome in outcomes)
            / SEEDS,
        },
        {
            "cost": ratio,
            "target_met": target_met_ratio,
            "gap_to_threshold": gap,
            "wire_bytes_per_s": max(
                outcome.wire_bytes_per_s for outcome in outcomes
            ),
            "mean_margin": sum(
                outcome.quality - outcome.target for outcome in outcomes
            )
            / SEEDS,
        },
        ratio,
        ratio <= GOAL_COST
        and target_met_ratio >= GOAL_MET
        and gap <= GOAL_THRESHOLD_GAP,
        {
            "seeds": SEEDS,
            "cost_by_shape": [
                sum(outcome.cost for outcome in s) / len(s) for s in by_shape
            ],
            "threshold_by_shape": [
                sum(outcome.threshold_cost for outcome in s) / len(s)
                for s in by_shape
            ],
            "met_by_shape": [
                sum(outcome.quality >= outcome.target for outcome in s) / len(s)
                for s in by_shape
            ],
        },
    )

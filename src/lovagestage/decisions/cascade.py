"""Chooses the cheapest plan that meets the quality target of a class.

A plan names a version that answers a request, and optionally a better version
that is asked if the first answer is doubtful (Chen, Zaharia and Zou 2023,
FrugalGPT; Ding et al. 2024, Hybrid LLM). Plans are chosen separately for each
level of difficulty, which is a feature that is cheap to compute. The lower
confidence bound of the class's mean rating has to stay at or above the target.
The solver is greedy: each move to a cheaper plan is the one that saves most for
the quality that it loses.

The decisions are pure: they map counters to plans.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Mapping, Sequence

from lovagestage.messages.counters import Arm, Counter, Plan

Z_SCORE = 1.65
"""One-sided 95% quantile of the normal distribution, for each solution
separately."""
MIN_RATINGS = 8
"""Number of ratings that a plan needs at a level before it may be used
there."""
MAX_EXPLORE_RATIO = 0.12
"""Maximum fraction of requests that follow a plan only to obtain its
ratings."""
MIN_EXPLORE_RATIO = 0.01
"""Fraction of requests that explore if the class has no quality to spare, and
at a cold start."""
EXPLORE_SLACK_RATIO = 0.9
"""Fraction of the best version's lead over the target that exploration may
cost."""
UNKNOWN_SCORE = 0.5
"""Mean rating that is assumed of an explored plan without ratings."""
SUFFICIENT_RATINGS = 40
"""Number of ratings at a level from which a plan is no longer explored
there."""
MOVE_FRACTIONS = (1.0, 0.75, 0.5, 0.25, 0.1)
"""Fractions of a level's requests that one move may transfer to a plan."""
MAX_SHARES = 3
"""Maximum number of plans among which the requests of one level are divided."""
BASE_PROMPT_BYTES = 128
"""Prompt length in bytes from which each doubling adds a difficulty level."""
MAX_DIFFICULTY = 7
"""Highest difficulty level; all longer prompts have this level too."""
MIN_LEFT_RATIO = 2.0
"""A second answer is requested only if the time left before the deadline is at
least this multiple of the time that the first answer took."""


def get_difficulty(prompt_bytes: int) -> int:
    """Returns a prompt's difficulty level: one level per doubled length."""
    level = int(math.log2(max(1.0, prompt_bytes / BASE_PROMPT_BYTES)))
    return min(MAX_DIFFICULTY, level)


def make_plans(versions: Sequence[str]) -> list[Plan]:
    """Returns all plans over versions, with the best version alone last.

    Args:
        versions: The versions in order from cheapest to best.
    """
    plans = []
    for index, first in enumerate(versions[:-1]):
        plans.append(Plan(first))
        plans += [
            Plan(first, escalate_to)
            for escalate_to in versions[index + 1 :][-1:]
        ]
    return [*plans, *(Plan(version) for version in versions[-1:])]


def may_escalate(
    plan: Plan, is_doubtful: bool, spent_s: float, left_s: float
) -> bool:
    """Returns whether a second answer is requested.

    Args:
        plan: Plan of the request.
        is_doubtful: Whether the first answer was cut off, empty or a refusal.
        spent_s: Seconds that the first answer took.
        left_s: Seconds until the deadline.
    """
    return (
        is_doubtful
        and bool(plan.escalate_to)
        and left_s >= MIN_LEFT_RATIO * spent_s
    )


@dataclasses.dataclass(frozen=True)
class Share:
    """Fraction of a level's requests that follows a plan."""

    plan: Plan
    ratio: float


@dataclasses.dataclass(frozen=True)
class _Move:
    """Transfer of a fraction of a level's requests to a cheaper plan.

    Attributes:
        difficulty: The difficulty level.
        plan: The plan that the requests move to.
        ratio: Fraction of the requests that move.
        saved: Cost saved per request of the class if all of them moved.
        lost: Mean rating lost per request of the class if all of them moved.
    """

    difficulty: int
    plan: Plan
    ratio: float
    saved: float
    lost: float

    def get_rank(self) -> tuple[bool, float, float]:
        """Returns a sort key; a higher key is a better move.

        Moves that lose no quality rank first, then moves by the cost saved per
        quality lost. Fractions of the same move differ by their size alone.
        """
        free = self.lost <= 0.0
        value = self.saved if free else self.saved / self.lost
        return free, round(value, 9), self.ratio


@dataclasses.dataclass(frozen=True)
class _Contribution:
    """Contribution of a level to the class's mean rating and its variance."""

    mean: float
    variance: float


class CascadeTable:
    """Plans of one class by difficulty level, solved from the counters.

    Args:
        versions: Allowed versions, `MODEL@VERSION`, in order from cheapest to
            best; not empty.
        class_name: The request class.
        quality_target: Mean rating that the plans have to reach.
        counters: Sums by arm; arms of other classes are ignored.
    """

    def __init__(
        self,
        versions: Sequence[str],
        class_name: str,
        quality_target: float,
        counters: Mapping[Arm, Counter],
    ) -> None:
        self._plans = make_plans(versions)
        self._best = self._plans[-1]
        self._class_name = class_name
        self._target = quality_target
        self._counters = counters
        self._pooled_counters: dict[tuple[int, Plan], Counter] = {}
        levels = range(MAX_DIFFICULTY + 1)
        self._weights = {d: float(self._count_requests(d)) for d in levels}
        total = sum(self._weights.values())
        self._weights = {d: w / total for d, w in self._weights.items() if w}
        self.shares = {d: [Share(self._best, 1.0)] for d in self._weights}
        self._plans_to_explore = {
            d: self._get_plans_to_explore(d) for d in levels
        }
        self.explore_ratio = self._make_explore_ratio()
        self._contributions = {
            d: self._make_contribution(d, s) for d, s in self.shares.items()
        }
        self._solve()

    def choose_plan(self, difficulty: int, rng: random.Random) -> Plan:
        """Chooses the plan of one request."""
        plans_to_explore = self._plans_to_explore.get(difficulty)
        if plans_to_explore and rng.random() < self.explore_ratio:
            return rng.choice(plans_to_explore)
        draw = rng.random()
        for share in self.shares.get(difficulty, ()):
            draw -= share.ratio
            if draw < 0.0:
                return share.plan
        return self._best

    def get_lower_bound(self) -> float:
        """Returns the lower confidence bound of the class's mean rating."""
        return _get_bound(self._contributions)

    def _count_requests(self, difficulty: int) -> int:
        return sum(
            self._get_counter(difficulty, p).requests for p in self._plans
        )

    def _get_counter(self, difficulty: int, plan: Plan) -> Counter:
        arm = Arm(self._class_name, difficulty, plan)
        return self._counters.get(arm, _EMPTY_COUNTER)

    def _get_pooled_counter(self, difficulty: int, plan: Plan) -> Counter:
        """Returns the sums of a level, pooled with harder levels if needed.

        Harder levels are added until there are enough ratings. Requests of
        harder levels are rated no better, so pooling errs on the safe side.
        """
        key = (difficulty, plan)
        pooled = self._pooled_counters.get(key)
        if pooled is None:
            pooled = Counter()
            for level in range(difficulty, MAX_DIFFICULTY + 1):
                pooled.add(self._get_counter(level, plan))
                if pooled.ratings >= MIN_RATINGS:
                    break
            self._pooled_counters[key] = pooled
        return pooled

    def _get_plans_to_explore(self, difficulty: int) -> list[Plan]:
        return [
            plan
            for plan in self._plans[:-1]
            if self._get_counter(difficulty, plan).ratings < SUFFICIENT_RATINGS
        ]

    def _get_explored_mean(self, difficulty: int) -> float:
        plans = self._plans_to_explore[difficulty]
        if not plans:
            return 0.0
        counters = [self._get_counter(difficulty, plan) for plan in plans]
        means = [c.get_mean() if c.ratings else UNKNOWN_SCORE for c in counters]
        return sum(means) / len(means)

    def _make_explore_ratio(self) -> float:
        """Returns the exploration that the best version's lead can pay for.

        The lead is the margin of the best version's mean rating over the
        target.
        """
        lead, loss = -self._target, 0.0
        for difficulty, weight in self._weights.items():
            best = self._get_pooled_counter(difficulty, self._best).get_mean()
            lead += weight * best
            if self._plans_to_explore[difficulty]:
                shortfall = best - self._get_explored_mean(difficulty)
                loss += weight * max(0.0, shortfall)
        ratio = EXPLORE_SLACK_RATIO * lead / max(loss, 1e-3)
        return min(MAX_EXPLORE_RATIO, max(MIN_EXPLORE_RATIO, ratio))

    def _solve(self) -> None:
        while True:
            moves = sorted(self._get_moves(), key=_Move.get_rank, reverse=True)
            if not any(self._try_move(move) for move in moves):
                return

    def _try_move(self, move: _Move) -> bool:
        shares = self._make_shares(move)
        contribution = self._make_contribution(move.difficulty, shares)
        contributions = self._contributions | {move.difficulty: contribution}
        if _get_bound(contributions) < self._target:
            return False
        self.shares[move.difficulty] = shares
        self._contributions = contributions
        return True

    def _get_moves(self) -> list[_Move]:
        return [
            move
            for difficulty, weight in self._weights.items()
            for plan in self._plans
            for move in self._make_moves(difficulty, weight, plan)
        ]

    def _make_moves(
        self, difficulty: int, weight: float, plan: Plan
    ) -> list[_Move]:
        candidate = self._get_pooled_counter(difficulty, plan)
        if candidate.ratings < MIN_RATINGS:
            return []
        shares = self.shares[difficulty]
        current = self._get_pooled_counter(difficulty, shares[-1].plan)
        request_share = shares[-1].ratio * weight
        saved = request_share * (current.get_cost() - candidate.get_cost())
        lost = request_share * (current.get_mean() - candidate.get_mean())
        if not saved > 0.0 or len(shares) >= MAX_SHARES:
            return []
        return [
            _Move(difficulty, plan, ratio, saved, lost)
            for ratio in MOVE_FRACTIONS
        ]

    def _make_shares(self, move: _Move) -> list[Share]:
        *unchanged, last = self.shares[move.difficulty]
        unchanged.append(Share(move.plan, last.ratio * move.ratio))
        if move.ratio < 1.0:
            unchanged.append(Share(last.plan, last.ratio * (1.0 - move.ratio)))
        return unchanged

    def _make_contribution(
        self, difficulty: int, shares: Sequence[Share]
    ) -> _Contribution:
        weight = self._weights[difficulty]
        explored = self._plans_to_explore[difficulty]
        regular_weight = (
            weight * (1.0 - self.explore_ratio) if explored else weight
        )
        mean = variance = 0.0
        for share in shares:
            counter = self._get_pooled_counter(difficulty, share.plan)
            if not counter.ratings:
                continue  # Counts as the worst score until there is one.
            weight_of_share = regular_weight * share.ratio
            mean += weight_of_share * counter.get_mean()
            variance += (weight_of_share * counter.get_error()) ** 2
        mean += (weight - regular_weight) * self._get_explored_mean(difficulty)
        return _Contribution(mean, variance)


def _get_bound(contributions: Mapping[int, _Contribution]) -> float:
    mean = sum(contribution.mean for contribution in contributions.values())
    variance = sum(
        contribution.variance for contribution in contributions.values()
    )
    return mean - Z_SCORE * math.sqrt(variance)


_EMPTY_COUNTER = Counter()

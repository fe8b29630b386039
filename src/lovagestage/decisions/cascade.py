"""Chooses the cheapest plan that holds a class's quality target.

A plan is a version that answers, and perhaps a better one that is asked where
the first answer is doubtful (Chen, Zaharia and Zou 2023, FrugalGPT; Ding et
al. 2024, Hybrid LLM). Plans are chosen for each level of a cheap difficulty
feature such that the lower confidence bound of the class's mean rating stays
at the target: each switch to a cheaper plan is the one that saves most for
the quality that it loses. Pure: counters in, plans out.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Mapping, Sequence

from lovagestage.messages.counters import Arm, Counter, Plan

Z_SCORE = 1.65
"""One-sided 95%, for each solution on its own."""
MIN_RATINGS = 8
"""Ratings of a plan at a level before it may be used there."""
MAX_EXPLORE_RATIO = 0.12
"""Most requests that go to a plan for the sake of its ratings alone."""
MIN_EXPLORE_RATIO = 0.01
"""Exploration of a class without quality to spare, and at a cold start."""
EXPLORE_SLACK_RATIO = 0.9
"""Part of the best version's lead over the target spent on exploration."""
UNKNOWN_SCORE = 0.5
"""Mean rating assumed of a plan that is explored without ratings yet."""
SETTLED_RATINGS = 40
"""A plan with so many ratings at a level is explored no more."""
FRACTIONS = (1.0, 0.75, 0.5, 0.25, 0.1)
"""Parts of a level's requests that may move to a plan."""
MAX_SHARES = 3
"""Plans that the requests of one level are divided among."""
BASE_PROMPT_BYTES = 128
MAX_DIFFICULTY = 7
MIN_LEFT_RATIO = 2.0
"""A second answer is asked for where this many times the first one's time is
left before the deadline."""


def get_difficulty(prompt_bytes: int) -> int:
    """Difficulty level of a prompt: each doubling of its length is one."""
    level = int(math.log2(max(1.0, prompt_bytes / BASE_PROMPT_BYTES)))
    return min(MAX_DIFFICULTY, level)


def make_plans(versions: Sequence[str]) -> list[Plan]:
    """All plans over versions in order from cheapest to best; best last."""
    plans = []
    for index, start in enumerate(versions[:-1]):
        plans.append(Plan(start))
        plans += [Plan(start, then) for then in versions[index + 1 :][-1:]]
    return [*plans, *(Plan(version) for version in versions[-1:])]


def may_escalate(
    plan: Plan, is_doubtful: bool, spent_s: float, left_s: float
) -> bool:
    """Whether a second answer is asked for.

    Args:
        plan: The request's plan.
        is_doubtful: The first answer was cut off, empty or a refusal.
        spent_s: Time that it took.
        left_s: Time until the deadline.
    """
    return (
        is_doubtful and bool(plan.then) and left_s >= MIN_LEFT_RATIO * spent_s
    )


@dataclasses.dataclass(frozen=True)
class Share:
    """Part of a level's requests that follows a plan."""

    plan: Plan
    ratio: float


@dataclasses.dataclass(frozen=True)
class _Move:
    """A switch of part of a level to a cheaper plan.

    Attributes:
        difficulty: The level.
        plan: The plan to use.
        ratio: Part of the level's requests.
        saved: Cost saved if all of them moved, per request of the class.
        lost: Mean rating lost if all of them moved, likewise.
    """

    difficulty: int
    plan: Plan
    ratio: float
    saved: float
    lost: float

    def get_rank(self) -> tuple[bool, float, float]:
        """Higher is better: nothing lost first, then saved per lost.

        Parts of one move rank by their size alone.
        """
        free = self.lost <= 0.0
        value = self.saved if free else self.saved / self.lost
        return free, round(value, 9), self.ratio


@dataclasses.dataclass(frozen=True)
class _Part:
    """What a level adds to the class's mean rating and its variance."""

    mean: float
    variance: float


class CascadeTable:
    """Plans of one class, by level, as solved from the counters.

    Args:
        versions: Allowed `MODEL@VERSION` from cheapest to best; not empty.
        class_name: The request class.
        quality_target: Mean rating to hold.
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
        self._pooled: dict[tuple[int, Plan], Counter] = {}
        levels = range(MAX_DIFFICULTY + 1)
        self._weights = {d: float(self._count_requests(d)) for d in levels}
        total = sum(self._weights.values())
        self._weights = {d: w / total for d, w in self._weights.items() if w}
        self.shares = {d: [Share(self._best, 1.0)] for d in self._weights}
        self._explored = {d: self._get_unsettled(d) for d in levels}
        self.explore_ratio = self._make_explore_ratio()
        self._parts = {d: self._get_part(d, s) for d, s in self.shares.items()}
        self._solve()

    def choose(self, difficulty: int, rng: random.Random) -> Plan:
        """Chooses the plan of one request."""
        unsettled = self._explored.get(difficulty)
        if unsettled and rng.random() < self.explore_ratio:
            return rng.choice(unsettled)
        draw = rng.random()
        for share in self.shares.get(difficulty, ()):
            draw -= share.ratio
            if draw < 0.0:
                return share.plan
        return self._best

    def get_bound(self) -> float:
        """Lower confidence bound of the class's mean rating."""
        return _get_bound(self._parts)

    def _count_requests(self, difficulty: int) -> int:
        return sum(self._get(difficulty, p).requests for p in self._plans)

    def _get(self, difficulty: int, plan: Plan) -> Counter:
        arm = Arm(self._class_name, difficulty, plan)
        return self._counters.get(arm, _NOTHING)

    def _pool(self, difficulty: int, plan: Plan) -> Counter:
        """Sums of a level, with harder levels where it has few ratings.

        Harder requests are rated no better, so pooling errs on the safe side.
        """
        key = (difficulty, plan)
        pooled = self._pooled.get(key)
        if pooled is None:
            pooled = Counter()
            for level in range(difficulty, MAX_DIFFICULTY + 1):
                pooled.add(self._get(level, plan))
                if pooled.ratings >= MIN_RATINGS:
                    break
            self._pooled[key] = pooled
        return pooled

    def _get_unsettled(self, difficulty: int) -> list[Plan]:
        return [
            plan
            for plan in self._plans[:-1]
            if self._get(difficulty, plan).ratings < SETTLED_RATINGS
        ]

    def _get_explored_mean(self, difficulty: int) -> float:
        plans = self._explored[difficulty]
        if not plans:
            return 0.0
        counters = [self._get(difficulty, plan) for plan in plans]
        means = [c.get_mean() if c.ratings else UNKNOWN_SCORE for c in counters]
        return sum(means) / len(means)

    def _make_explore_ratio(self) -> float:
        """Exploration that the best version's lead over the target pays."""
        lead, loss = -self._target, 0.0
        for difficulty, weight in self._weights.items():
            best = self._pool(difficulty, self._best).get_mean()
            lead += weight * best
            if self._explored[difficulty]:
                worse = best - self._get_explored_mean(difficulty)
                loss += weight * max(0.0, worse)
        ratio = EXPLORE_SLACK_RATIO * lead / max(loss, 1e-3)
        return min(MAX_EXPLORE_RATIO, max(MIN_EXPLORE_RATIO, ratio))

    def _solve(self) -> None:
        while True:
            moves = sorted(self._get_moves(), key=_Move.get_rank, reverse=True)
            if not any(self._try(move) for move in moves):
                return

    def _try(self, move: _Move) -> bool:
        shares = self._make_shares(move)
        part = self._get_part(move.difficulty, shares)
        parts = self._parts | {move.difficulty: part}
        if _get_bound(parts) < self._target:
            return False
        self.shares[move.difficulty] = shares
        self._parts = parts
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
        after = self._pool(difficulty, plan)
        if after.ratings < MIN_RATINGS:
            return []
        shares = self.shares[difficulty]
        before = self._pool(difficulty, shares[-1].plan)
        part = shares[-1].ratio * weight
        saved = part * (before.get_cost() - after.get_cost())
        lost = part * (before.get_mean() - after.get_mean())
        if not saved > 0.0 or len(shares) >= MAX_SHARES:
            return []
        return [
            _Move(difficulty, plan, ratio, saved, lost) for ratio in FRACTIONS
        ]

    def _make_shares(self, move: _Move) -> list[Share]:
        *kept, left = self.shares[move.difficulty]
        kept.append(Share(move.plan, left.ratio * move.ratio))
        if move.ratio < 1.0:
            kept.append(Share(left.plan, left.ratio * (1.0 - move.ratio)))
        return kept

    def _get_part(self, difficulty: int, shares: Sequence[Share]) -> _Part:
        weight = self._weights[difficulty]
        explored = self._explored[difficulty]
        used = weight * (1.0 - self.explore_ratio) if explored else weight
        mean = variance = 0.0
        for share in shares:
            counter = self._pool(difficulty, share.plan)
            if not counter.ratings:
                continue  # Counts as the worst score until there is one.
            part = used * share.ratio
            mean += part * counter.get_mean()
            variance += (part * counter.get_error()) ** 2
        mean += (weight - used) * self._get_explored_mean(difficulty)
        return _Part(mean, variance)


def _get_bound(parts: Mapping[int, _Part]) -> float:
    mean = sum(part.mean for part in parts.values())
    variance = sum(part.variance for part in parts.values())
    return mean - Z_SCORE * math.sqrt(variance)


_NOTHING = Counter()

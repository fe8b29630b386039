"""Counters of what entries learn of versions, and how they are sent."""

from __future__ import annotations

import math

import msgspec

from lovagestage.types import VmId

PRIOR_DEVIATION = 0.25
"""Deviation of scores assumed until they show their own."""
PRIOR_COUNT = 8.0


class Plan(msgspec.Struct, frozen=True, array_like=True, order=True):
    """How a request is answered.

    Attributes:
        start: `MODEL@VERSION` that answers first.
        then: Version asked next where that answer is doubtful; empty for
            none.
    """

    start: str
    then: str = ""


class Arm(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What one counter is about.

    Attributes:
        class_name: Request class.
        difficulty: Level of the request's difficulty feature.
        plan: How the requests were answered.
    """

    class_name: str
    difficulty: int
    plan: Plan


class Counter(msgspec.Struct, array_like=True):
    """Sums over the requests of an arm.

    Attributes:
        requests: Requests answered.
        cost: Their cost, in the document's price units.
        ratings: Answers that were rated.
        score_sum: Sum of their scores.
        square_sum: Sum of the squares of their scores.
    """

    requests: int = 0
    cost: float = 0.0
    ratings: int = 0
    score_sum: float = 0.0
    square_sum: float = 0.0

    def add(self, other: Counter) -> None:
        """Adds the sums of another counter."""
        self.requests += other.requests
        self.cost += other.cost
        self.ratings += other.ratings
        self.score_sum += other.score_sum
        self.square_sum += other.square_sum

    def is_later(self, other: Counter) -> bool:
        """Whether this is a later copy of the same counter."""
        mine = (self.requests + self.ratings, self.requests)
        return mine > (other.requests + other.ratings, other.requests)

    def get_mean(self) -> float:
        """Mean score; 0 without ratings."""
        return self.score_sum / self.ratings if self.ratings else 0.0

    def get_error(self) -> float:
        """Standard error of the mean score, drawn towards a prior."""
        if not self.ratings:
            return math.inf
        spread = self.square_sum - self.score_sum * self.get_mean()
        prior = PRIOR_COUNT * PRIOR_DEVIATION**2
        count = self.ratings + PRIOR_COUNT
        variance = (max(0.0, spread) + prior) / count
        return math.sqrt(variance / self.ratings)

    def get_cost(self) -> float:
        """Mean cost of a request; infinite without requests."""
        return self.cost / self.requests if self.requests else math.inf


class CounterEntry(msgspec.Struct, frozen=True, array_like=True):
    """One counter with its key, as sent."""

    arm: Arm
    window: int
    counter: Counter


class LearnedDelta(msgspec.Struct, frozen=True, array_like=True, tag="learned"):
    """Counters of one entry that changed since its last message.

    Attributes:
        vm: The entry.
        incarnation: Start time of its process; its counters began then.
        entries: The counters, whole and not as differences.
    """

    vm: VmId
    incarnation: int
    entries: list[CounterEntry]

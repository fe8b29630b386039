"""Counters of the cost and quality of versions, and the message with them."""

from __future__ import annotations

import math

import msgspec

from lovagestage.types import VmId

PRIOR_DEVIATION = 0.25
"""Standard deviation of scores that is assumed while there are few ratings.

With too few ratings, the deviation of the scores themselves would give a
standard error that is too small.
"""
PRIOR_COUNT = 8.0


class Plan(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Versions that answer a request, in the order in which they are asked.

    Attributes:
        first: Version, as `MODEL@VERSION`, that answers first.
        escalate_to: Version that the request escalates to if the first answer
            is doubtful; empty if the request does not escalate.
    """

    first: str
    escalate_to: str = ""


class Arm(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Group of requests that share one counter.

    Attributes:
        class_name: Request class of the requests.
        difficulty: Level of the requests' difficulty feature.
        plan: Versions that answered the requests.
    """

    class_name: str
    difficulty: int
    plan: Plan


class Counter(msgspec.Struct, array_like=True):
    """Sums over the requests of an arm.

    Attributes:
        requests: Number of requests that were answered.
        cost: Total cost of the requests, in the document's price units.
        ratings: Number of answers that were rated.
        score_sum: Sum of the scores of the rated answers.
        square_sum: Sum of the squares of the scores of the rated answers.
    """

    requests: int = 0
    cost: float = 0.0
    ratings: int = 0
    score_sum: float = 0.0
    square_sum: float = 0.0

    def add(self, other: Counter) -> None:
        """Adds the sums of another counter to this counter."""
        self.requests += other.requests
        self.cost += other.cost
        self.ratings += other.ratings
        self.score_sum += other.score_sum
        self.square_sum += other.square_sum

    def is_newer_than(self, other: Counter) -> bool:
        """Whether this counter is a newer copy of the same counter."""
        mine = (self.requests + self.ratings, self.requests)
        return mine > (other.requests + other.ratings, other.requests)

    def get_mean(self) -> float:
        """Returns the mean score; 0 if there are no ratings."""
        return self.score_sum / self.ratings if self.ratings else 0.0

    def get_error(self) -> float:
        """Returns the standard error of the mean score.

        The variance is shrunk towards a prior; the error is infinite if there
        are no ratings.
        """
        if not self.ratings:
            return math.inf
        spread = self.square_sum - self.score_sum * self.get_mean()
        prior = PRIOR_COUNT * PRIOR_DEVIATION**2
        count = self.ratings + PRIOR_COUNT
        variance = (max(0.0, spread) + prior) / count
        return math.sqrt(variance / self.ratings)

    def get_cost(self) -> float:
        """Returns the mean cost of a request; infinite if there are none."""
        return self.cost / self.requests if self.requests else math.inf


class CounterEntry(msgspec.Struct, frozen=True, array_like=True):
    """One counter with its arm and time window, as sent to other entries."""

    arm: Arm
    window: int
    counter: Counter


class LearnedDelta(msgspec.Struct, frozen=True, array_like=True, tag="learned"):
    """Counters of one entry that changed since the entry's last message.

    Attributes:
        vm: VM of the entry.
        incarnation: Start time of the entry's process, at which its counters
            started from zero.
        entries: The counters as full sums, not as differences.
    """

    vm: VmId
    incarnation: int
    entries: list[CounterEntry]

"""What entries learn of versions from ratings, as counters that merge.

Each entry counts only in its own counters, by time window; they grow, so the
larger of two copies is the later one and merging is commutative, associative
and idempotent (a state-based CRDT, Shapiro et al. 2011). No process holds
anything that the others lack, and a lost message is made good by the next
one that carries the same counter. Old windows are forgotten, which is how
drift leaves the estimates.
"""

from __future__ import annotations

import math

import msgspec

from lovagestage.types import VmId

WINDOWS = 6
"""Windows kept; an older one says little of the present."""
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


_Owner = tuple[VmId, int]


class Learned:
    """All counters that an entry knows.

    Args:
        vm: This entry.
        incarnation: Start time of this process.
    """

    def __init__(self, vm: VmId, incarnation: int) -> None:
        self._owner = (vm, incarnation)
        self._window = 0
        self._counters: dict[int, dict[Arm, dict[_Owner, Counter]]] = {}
        self._changed: set[tuple[int, Arm]] = set()

    def set_window(self, window: int) -> None:
        """Moves to a time window, as wall clock over window length."""
        self._window = max(self._window, window)
        for old in [w for w in self._counters if w <= self._window - WINDOWS]:
            del self._counters[old]
        self._changed = {k for k in self._changed if k[0] in self._counters}

    def add_request(self, arm: Arm, cost: float) -> None:
        """Counts a request that was answered."""
        self._add(arm, Counter(1, cost))

    def add_rating(self, arm: Arm, score: float) -> None:
        """Counts the rating, from 0 to 1, of an answer."""
        self._add(arm, Counter(0, 0.0, 1, score, score * score))

    def get_sums(self) -> dict[Arm, Counter]:
        """Sums over all entries and windows."""
        sums: dict[Arm, Counter] = {}
        for arms in self._counters.values():
            for arm, owners in arms.items():
                total = sums.setdefault(arm, Counter())
                for counter in owners.values():
                    total.add(counter)
        return sums

    def make_delta(self) -> LearnedDelta:
        """Builds the message of what changed and forgets that it did."""
        entries = [
            CounterEntry(arm, window, self._counters[window][arm][self._owner])
            for window, arm in sorted(self._changed)
        ]
        self._changed = set()
        return LearnedDelta(*self._owner, entries)

    def merge(self, delta: LearnedDelta) -> None:
        """Takes another entry's counters; late and repeated ones are kept."""
        owner = (delta.vm, delta.incarnation)
        if owner == self._owner:
            return
        for entry in delta.entries:
            if entry.window <= self._window - WINDOWS:
                continue
            owners = self._get_owners(entry.window, entry.arm)
            if entry.counter.is_later(owners.get(owner, Counter())):
                owners[owner] = entry.counter

    def _add(self, arm: Arm, amount: Counter) -> None:
        owners = self._get_owners(self._window, arm)
        owners.setdefault(self._owner, Counter()).add(amount)
        self._changed.add((self._window, arm))

    def _get_owners(self, window: int, arm: Arm) -> dict[_Owner, Counter]:
        return self._counters.setdefault(window, {}).setdefault(arm, {})

"""Counters of requests and ratings that entries merge with each other.

Each entry increments only its own counters, one for each time window. Counters
only grow, so the larger of two copies is the later one, and merging is
commutative, associative and idempotent (a state-based CRDT, Shapiro et al.
2011). Every process obtains the counters of all others, and the next message
with the same counter makes up for a lost one. Old windows are dropped, so that
the estimates follow drift.
"""

from __future__ import annotations

from lovagestage.messages.counters import (
    Arm,
    Counter,
    CounterEntry,
    LearnedDelta,
)
from lovagestage.types import VmId

RETAINED_WINDOWS = 6
"""Number of retained time windows; older ones say little about the present."""

_Owner = tuple[VmId, int]


class LearnedCounters:
    """All counters that an entry knows.

    Args:
        vm: VM of this entry.
        incarnation: Start time of this process.
    """

    def __init__(self, vm: VmId, incarnation: int) -> None:
        self._owner = (vm, incarnation)
        self._window = 0
        self._counters: dict[int, dict[Arm, dict[_Owner, Counter]]] = {}
        self._changed: set[tuple[int, Arm]] = set()

    def set_window(self, window: int) -> None:
        """Moves to a time window and drops windows that are too old.

        Args:
            window: Wall-clock time divided by the length of a window.
        """
        self._window = max(self._window, window)
        for expired in [
            w for w in self._counters if w <= self._window - RETAINED_WINDOWS
        ]:
            del self._counters[expired]
        self._changed = {
            changed for changed in self._changed if changed[0] in self._counters
        }

    def add_request(self, arm: Arm, cost: float) -> None:
        """Counts a request that was answered, with its cost."""
        self._add_to_counter(arm, Counter(1, cost))

    def add_rating(self, arm: Arm, score: float) -> None:
        """Counts the rating, from 0 to 1, of an answer."""
        self._add_to_counter(arm, Counter(0, 0.0, 1, score, score * score))

    def get_sums(self) -> dict[Arm, Counter]:
        """Returns the sums over all entries and windows by arm."""
        sums: dict[Arm, Counter] = {}
        for arms in self._counters.values():
            for arm, owners in arms.items():
                total = sums.setdefault(arm, Counter())
                for counter in owners.values():
                    total.add(counter)
        return sums

    def make_delta(self) -> LearnedDelta:
        """Builds the message of changed counters; clears the change marks."""
        entries = [
            CounterEntry(arm, window, self._counters[window][arm][self._owner])
            for window, arm in sorted(self._changed)
        ]
        self._changed = set()
        return LearnedDelta(*self._owner, entries)

    def merge(self, delta: LearnedDelta) -> None:
        """Merges another entry's counters.

        Late and repeated messages are accepted, because merging is idempotent.
        """
        owner = (delta.vm, delta.incarnation)
        if owner == self._owner:
            return
        for entry in delta.entries:
            if entry.window <= self._window - RETAINED_WINDOWS:
                continue
            owners = self._get_owners(entry.window, entry.arm)
            if entry.counter.is_newer_than(owners.get(owner, Counter())):
                owners[owner] = entry.counter

    def _add_to_counter(self, arm: Arm, amount: Counter) -> None:
        owners = self._get_owners(self._window, arm)
        owners.setdefault(self._owner, Counter()).add(amount)
        self._changed.add((self._window, arm))

    def _get_owners(self, window: int, arm: Arm) -> dict[_Owner, Counter]:
        return self._counters.setdefault(window, {}).setdefault(arm, {})

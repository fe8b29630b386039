"""What entries learn of versions from ratings, as counters that merge.

Each entry counts only in its own counters, by time window; they grow, so the
larger of two copies is the later one and merging is commutative, associative
and idempotent (a state-based CRDT, Shapiro et al. 2011). No process holds
anything that the others lack, and a lost message is made good by the next
one that carries the same counter. Old windows are forgotten, which is how
drift leaves the estimates.
"""

from __future__ import annotations

from lovagestage.messages.counters import (
    Arm,
    Counter,
    CounterEntry,
    LearnedDelta,
)
from lovagestage.types import VmId

WINDOWS = 6
"""Windows kept; an older one says little of the present."""

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

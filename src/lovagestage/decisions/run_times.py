"""Tells how long runs of one kind last, those under way included (no I/O).

Runs that have ended are the quick ones of all that have begun. An estimate by
them alone is too short while many runs are under way, most of all for a
version that is slow.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable, Iterable, Sequence

MAX_SAMPLES = 64
"""Ended runs of a kind that are remembered, the last ones."""
MIN_SAMPLES = 8
"""Ended runs of a kind from which its times are known."""


def estimate_open_share(
    ended_s: Iterable[float], under_way_s: Iterable[float], age_s: float
) -> float:
    """Returns the share of runs that are still under way at an age.

    This is the Kaplan-Meier estimate: a run under way counts as a run of at
    least its age.

    Args:
        ended_s: Times in seconds that ended runs took.
        under_way_s: Ages in seconds of the runs under way.
        age_s: The age in seconds.
    """
    ended = [(time_s, True) for time_s in ended_s]
    under_way = [(time_s, False) for time_s in under_way_s]
    # A run that ends at the age of another one was still beside it.
    times = sorted(ended + under_way, key=lambda item: (item[0], not item[1]))
    share = 1.0
    for index, (time_s, has_ended) in enumerate(times):
        if time_s > age_s:
            break
        if has_ended:
            share *= 1.0 - 1.0 / (len(times) - index)
    return share


class RunTimeTable:
    """Times that the last runs of each kind took."""

    def __init__(self) -> None:
        self._ended_s: dict[Hashable, collections.deque[float]] = {}

    def record(self, kind: Hashable, time_s: float) -> None:
        """Adds the time in seconds of a run that has ended."""
        known = self._ended_s.setdefault(
            kind, collections.deque(maxlen=MAX_SAMPLES)
        )
        known.append(time_s)

    def get_open_share(
        self, kind: Hashable, under_way_s: Sequence[float], age_s: float
    ) -> float | None:
        """Returns the share of runs that are still under way at an age.

        Args:
            kind: Kind of the runs.
            under_way_s: Ages in seconds of the kind's runs under way.
            age_s: The age in seconds.

        Returns:
            The share; None while too few ended runs of the kind are known.
        """
        ended_s = self._ended_s.get(kind, ())
        if len(ended_s) < MIN_SAMPLES:
            return None
        return estimate_open_share(ended_s, under_way_s, age_s)

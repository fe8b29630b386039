"""Measures how many requests a gateway gets (no I/O)."""

from __future__ import annotations

import collections
import math

SLICE_S = 0.25
SHORT_SLICES = 4
"""Slices of the time over which a rate that rises is seen."""
LONG_SLICES = 16
"""Slices of the time for which a rate that has fallen is still counted."""
KEPT_DEVIATIONS = 2.0
"""Standard deviations of the number of requests in a second that a gateway
leaves room for where it could lend a share: they come unevenly."""
WANTED_DEVIATIONS = 3.0
"""The same where it could borrow what others leave unused."""


def get_sufficient_rate(per_s: float, deviations: float) -> float:
    """Returns the rate in requests per second that suffices for a mean one.

    The number of requests in a second is taken to have a Poisson distribution.

    Args:
        per_s: Mean rate in requests per second.
        deviations: Standard deviations of that number to leave room for.
    """
    return per_s + deviations * math.sqrt(per_s)


class RequestRate:
    """Requests per second, of the last second or the last four."""

    def __init__(self) -> None:
        self._counts: collections.deque[tuple[int, int]] = collections.deque()

    def record(self, now_s: float) -> None:
        """Counts a request."""
        index = int(now_s / SLICE_S)
        if self._counts and self._counts[-1][0] == index:
            self._counts[-1] = (index, self._counts[-1][1] + 1)
            return
        self._counts.append((index, 1))
        self._expire(index)

    def get_per_s(self, now_s: float) -> float:
        """Returns the larger one of the two rates."""
        index = int(now_s / SLICE_S)
        self._expire(index)
        long = sum(count for _, count in self._counts)
        short = sum(
            count for each, count in self._counts if each > index - SHORT_SLICES
        )
        return max(short / SHORT_SLICES, long / LONG_SLICES) / SLICE_S

    def _expire(self, index: int) -> None:
        while self._counts and self._counts[0][0] <= index - LONG_SLICES:
            self._counts.popleft()

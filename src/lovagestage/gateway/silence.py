"""When the silence of an upstream is a sign that it hangs: pure decisions.

The load that this answers: an upstream takes requests and answers none, while
it passes for healthy. Requests that may run once wait there until their
deadline, and each new one is sent after them, since nothing has failed yet.
"""

from __future__ import annotations

import itertools

MIN_PATIENCE_S = 0.25
"""Silence that is no sign by itself: ten times what a plain answer takes, and
several steps of an engine that reads a long prompt."""
PATIENCE_MEANS = 4.0
"""The same as a multiple of what such answers take to begin: on a full day
silence is a queue."""
UNKNOWN_PATIENCE_S = 1.0
"""The same while it is not known how long such answers take."""


def get_patience_s(expected_s: float | None) -> float:
    """How long an upstream may be silent while such a request waits there."""
    if expected_s is None:
        return UNKNOWN_PATIENCE_S
    return max(MIN_PATIENCE_S, PATIENCE_MEANS * expected_s)


class Silence:
    """Requests that wait at one upstream, and when it was last heard.

    Anything that it sends, also to other requests, shows that it works: one
    that only has much to do is told apart from one that hangs.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count()
        self._heard_s = 0.0

    def add(self, now_s: float, patience_s: float) -> int:
        """Notes a request that waits from now on; returns its number."""
        number = next(self._numbers)
        self._waiting[number] = (now_s, patience_s)
        return number

    def remove(self, number: int) -> None:
        """Notes that a request waits no longer."""
        self._waiting.pop(number, None)

    def note_heard(self, now_s: float) -> None:
        """Notes that something came."""
        self._heard_s = now_s

    def is_stalled(self, now_s: float) -> bool:
        """Whether it has been silent for longer than one request may wait."""
        if not self._waiting:
            return False
        return any(
            now_s > max(sent_s, self._heard_s) + patience_s
            for sent_s, patience_s in self._waiting.values()
        )

"""Decides whether an upstream that sends nothing has stalled (no I/O).

The detection covers an upstream that accepts requests and answers none of them,
while it counts as healthy. Requests that must not run twice wait there until
their deadline, and further requests are sent to the same upstream, since none
has failed yet.
"""

from __future__ import annotations

import itertools

MIN_STALL_TIMEOUT_S = 0.25
"""Shortest stall timeout in seconds: ten times the time of a plain answer, and
several steps of an engine during the prefill of a long prompt."""
STALL_TIMEOUT_FACTOR = 4.0
"""Stall timeout as a multiple of the expected time until such an answer begins.
Under high load, a longer time without data means a queue and no fault."""
DEFAULT_STALL_TIMEOUT_S = 1.0
"""Stall timeout in seconds while the expected time until an answer begins is
not known."""


def get_stall_timeout_s(expected_s: float | None) -> float:
    """Returns the stall timeout for a request, in seconds.

    An upstream that sends nothing for this time while the request waits there
    counts as stalled.

    Args:
        expected_s: Expected time in seconds until the answer begins; None if
            not known.
    """
    if expected_s is None:
        return DEFAULT_STALL_TIMEOUT_S
    return max(MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_FACTOR * expected_s)


class StallDetector:
    """Tracks the waiting requests of one upstream and its last received data.

    Any data from the upstream shows that it works, also data for other
    requests. This distinguishes an upstream that is only busy from one that
    has stalled.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count()
        self._last_data_s = 0.0

    @property
    def last_data_s(self) -> float:
        """Elapsed time in seconds of the last data from the upstream."""
        return self._last_data_s

    def add(self, now_s: float, stall_timeout_s: float) -> int:
        """Adds a request that waits for its answer from now on.

        Args:
            now_s: Elapsed time in seconds.
            stall_timeout_s: Stall timeout of the request in seconds.

        Returns:
            A number by which `remove` identifies the request.
        """
        number = next(self._numbers)
        self._waiting[number] = (now_s, stall_timeout_s)
        return number

    def remove(self, number: int) -> None:
        """Removes a request that no longer waits."""
        self._waiting.pop(number, None)

    def record_data(self, now_s: float) -> None:
        """Records that data from the upstream was received."""
        self._last_data_s = now_s

    def is_stalled(self, now_s: float) -> bool:
        """Whether the stall timeout of a waiting request has passed.

        The timeout counts from the last data of the upstream, or from the
        request if that is later.
        """
        if not self._waiting:
            return False
        return any(
            now_s > max(sent_s, self._last_data_s) + stall_timeout_s
            for sent_s, stall_timeout_s in self._waiting.values()
        )

"""Tells callers that are refused for lack of room when to return.

Callers that are refused together and told the same time return together, and
all but one are refused again. Each is therefore given the next turn after those
that are given already.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import math


class ReturnTurns:
    """Turns of refused callers at the upstreams of one service."""

    def __init__(self) -> None:
        self._last_turn_s = -math.inf

    def assign(
        self, wait_s: float, interval_s: float, remaining_s: float, now_s: float
    ) -> float:
        """Returns the time in seconds after which a caller should return.

        A turn that comes after the caller's deadline is told and stays free for
        the next caller.

        Args:
            wait_s: Time in seconds until the upstreams accept a request.
            interval_s: Mean time in seconds between two requests that they
                accept from then on; 0 for no limit.
            remaining_s: Time in seconds until the caller's deadline.
            now_s: Monotonic time in seconds.
        """
        turn_s = now_s + wait_s
        if interval_s > 0.0:
            turn_s = max(turn_s, self._last_turn_s + interval_s)
        if turn_s - now_s <= remaining_s:
            self._last_turn_s = max(self._last_turn_s, turn_s)
        return turn_s - now_s

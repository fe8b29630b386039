"""Token bucket that limits the request rates of the stand-ins."""

from __future__ import annotations

import time


class TokenBucket:
    """Token bucket: admits operations at a mean rate with limited bursts.

    Args:
        rate_per_s: Mean number of admitted operations per second.
        burst: Maximum number of operations admitted without a pause.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at_s = time.monotonic()

    def try_acquire(self) -> bool:
        """Takes one token; returns whether one was available."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def get_wait_s(self) -> float:
        """Returns the time in seconds until a token is available."""
        return max(0.0, (1 - self._tokens) / self._rate_per_s)

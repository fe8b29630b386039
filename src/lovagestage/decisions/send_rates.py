"""Limits of the requests that one gateway sends to one upstream.

An upstream that warms up, or that states how many requests it accepts, gets a
limited number of requests in any span of time. The log counts what was sent,
so that a limit that becomes known covers earlier requests as well.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses

MAX_REQUESTS_PER_SPAN = 64
"""Maximum number of requests of a limit that is made from a rate. A higher rate
gets a shorter span, so that the log's bounded number of times covers it."""
MIN_WAIT_S = 1e-6
"""Shortest wait in seconds: rounding could otherwise make it 0 while the limit
is still used up."""
SEND_TIME_RETENTION_S = 100.0
"""Seconds for which send times are retained; it covers the span of any
limit."""
MAX_SEND_TIMES = 256
"""Maximum number of retained send times. It is larger than the number of
requests that any limit lets one gateway send in its span."""


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """Maximum number of requests in any time span of a given length.

    Attributes:
        requests: Maximum number of requests; 0 if none may be sent at any time.
        span_s: Length of the span in seconds.
    """

    requests: int
    span_s: float = 1.0


NO_REQUESTS = RateLimit(0)
"""Limit of a gateway that may not send to the upstream."""


def make_spaced_limit(per_s: float) -> RateLimit:
    """Converts a rate to a limit that is used up by evenly spaced requests.

    Args:
        per_s: Requests per second, above 0.
    """
    requests = min(MAX_REQUESTS_PER_SPAN, max(1, int(per_s)))
    return RateLimit(requests, min(SEND_TIME_RETENTION_S, requests / per_s))


class SendLog:
    """Counts one gateway's requests to one process of an upstream.

    A request counts from the moment at which it is placed until its send time
    is older than the span of the limit.
    """

    def __init__(self) -> None:
        self._placed_count = 0
        self._send_times_s: list[float] = []

    def has_capacity(self, rate_limit: RateLimit, now_s: float) -> bool:
        """Returns whether one more request stays within a limit."""
        return self._count(rate_limit, now_s) < rate_limit.requests

    def is_within(self, rate_limit: RateLimit, now_s: float) -> bool:
        """Returns whether the requests that are already placed may be sent."""
        return self._count(rate_limit, now_s) <= rate_limit.requests

    def get_wait_s(self, rate_limit: RateLimit, now_s: float) -> float:
        """Returns the time in seconds until one more request may be sent."""
        recent_s = self._get_recent_s(rate_limit, now_s)
        free = rate_limit.requests - self._placed_count
        if free > len(recent_s):
            return 0.0
        if free <= 0:
            return rate_limit.span_s
        wait_s = recent_s[-free] + rate_limit.span_s - now_s
        return max(MIN_WAIT_S, wait_s)

    def count_since(self, start_s: float) -> int:
        """Returns the requests placed, and those sent since a time."""
        sent = sum(sent_s > start_s for sent_s in self._send_times_s)
        return self._placed_count + sent

    def record_placed(self) -> None:
        """Counts a request that will either be sent or be withdrawn."""
        self._placed_count += 1

    def record_withdrawn(self) -> None:
        """Removes a request from the count that was placed but not sent."""
        self._placed_count -= 1

    def record_sent(self, now_s: float) -> None:
        """Moves a placed request to the sent ones and stores its send time."""
        self._placed_count -= 1
        self._send_times_s.append(now_s)
        if (
            self._send_times_s[0] < now_s - SEND_TIME_RETENTION_S
            or len(self._send_times_s) >= 2 * MAX_SEND_TIMES
        ):
            retention_start_s = now_s - SEND_TIME_RETENTION_S
            retained = [
                sent_s
                for sent_s in self._send_times_s
                if sent_s >= retention_start_s
            ]
            self._send_times_s = retained[-MAX_SEND_TIMES:]

    def _count(self, rate_limit: RateLimit, now_s: float) -> int:
        return self._placed_count + len(self._get_recent_s(rate_limit, now_s))

    def _get_recent_s(self, rate_limit: RateLimit, now_s: float) -> list[float]:
        start_s = now_s - rate_limit.span_s
        return [sent_s for sent_s in self._send_times_s if sent_s > start_s]

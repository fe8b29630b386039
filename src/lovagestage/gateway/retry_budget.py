"""Limits how often requests are retried at another upstream (no I/O).

Several upstreams may crash at the same time, and each stream that ran there
has to continue elsewhere at that moment. The deployment's limit on retries is
a share of its requests over a window plus some slack, for all gateways
together. Each gateway therefore accumulates the retries that it leaves unused,
and its share of the slack.
"""

from __future__ import annotations

import collections

from lovagestage.decisions.retries import RetryBudget

EARNED_RATIO = 0.8
"""Share of the allowed retry ratio that requests earn as they arrive. The
rest, over one window, is the most that may be accumulated: together they keep
the ratio in a window that begins with all of it accumulated, as long as the
request rate does not fall. Where it falls, the limit counts the requests of
the window before."""
SLACK_RATIO = 0.8
"""Share of the slack that the running gateways divide among them; the rest is
for gateways that restart within a window and begin with tokens of their own."""
MIN_STARTUP_GATEWAYS = 8
"""Minimum number of gateways that is assumed while the process is younger than
a window: it discovers the other gateways one by one, and small deployments
have fewer than this."""
ASSUMED_GATEWAYS = 32
"""Number of gateways that is assumed where gateways cannot discover each
other: too high a number denies retries, too low a number exceeds the limit."""
MIN_LIMIT = 1.0
"""Minimum number of retries that may be accumulated: the first request of an
idle gateway may fail, too."""
RESERVED_RATIO = 0.25
"""Share of the limit on accumulated retries that escalations to larger models
leave to failed requests: a poorer answer is better than none."""
MAX_RESERVED = 2.0
"""Maximum number of retries that escalations leave to failed requests: the
limit grows immediately when the number of the other gateways becomes known,
while retries are earned only as requests arrive."""
_WINDOW_SLICES = 10
"""Slices of the window, in each of which requests are counted."""


class ServiceRetryBudget:
    """Retry budget of one service's requests at this gateway.

    Args:
        now_s: Elapsed time in seconds.
        ratio: Retries that the service may receive in a window, as a share of
            its requests.
        window_s: Length of the window in seconds.
        slack: Retries in a window beyond that share, for all gateways
            together.
        started_s: Elapsed time in seconds at the start of the process.
        gateways: Gateways of the deployment, this one included; None where
            gateways cannot discover each other.
    """

    def __init__(
        self,
        now_s: float,
        ratio: float,
        window_s: float,
        slack: float,
        started_s: float,
        gateways: int | None,
    ) -> None:
        self._accumulated_ratio = (1.0 - EARNED_RATIO) * ratio
        self._slack = SLACK_RATIO * slack
        self._window_s = window_s
        self._started_s = started_s
        self._slice_counts: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._requests = 0
        self._bucket = RetryBudget(
            now_s,
            ratio=EARNED_RATIO * ratio,
            minimum_per_s=0.0,
            limit=self.get_limit(now_s, gateways),
        )

    @property
    def tokens(self) -> float:
        """Number of retries that are left."""
        return self._bucket.tokens

    def get_limit(self, now_s: float, gateways: int | None) -> float:
        """Returns the number of retries that may be accumulated.

        Args:
            now_s: Elapsed time in seconds.
            gateways: Gateways of the deployment, this one included; None where
                gateways cannot discover each other.
        """
        if gateways is None:
            gateways = ASSUMED_GATEWAYS
        elif now_s - self._started_s < self._window_s:
            gateways = max(gateways, MIN_STARTUP_GATEWAYS)
        share = self._slack / max(1, gateways)
        return max(MIN_LIMIT, share + self._accumulated_ratio * self._requests)

    def record_request(self, now_s: float, gateways: int | None) -> None:
        """Counts a request and adds the share of a retry that it earns."""
        slice_s = self._window_s / _WINDOW_SLICES
        slice_index = int(now_s / slice_s)
        while (
            self._slice_counts
            and self._slice_counts[0][0] <= slice_index - _WINDOW_SLICES
        ):
            self._requests -= self._slice_counts.popleft()[1]
        if self._slice_counts and self._slice_counts[-1][0] == slice_index:
            self._slice_counts[-1] = (
                slice_index,
                self._slice_counts[-1][1] + 1,
            )
        else:
            self._slice_counts.append((slice_index, 1))
        self._requests += 1
        self._bucket.limit = self.get_limit(now_s, gateways)
        self._bucket.record_request(now_s)

    def try_acquire(self, now_s: float) -> bool:
        """Takes a retry for a failed request; False where none is left."""
        return self._bucket.try_acquire(now_s)

    def try_acquire_escalation(self, now_s: float) -> bool:
        """Takes a retry for an escalation to a larger model.

        Returns:
            False where fewer retries would be left than are reserved for
            failed requests.
        """
        reserve = min(MAX_RESERVED, RESERVED_RATIO * self._bucket.limit)
        return self._bucket.try_acquire(now_s, reserve)

    def release(self) -> None:
        """Returns a retry that reached no upstream to the budget."""
        self._bucket.release()

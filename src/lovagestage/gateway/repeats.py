"""How often requests may be sent to a second upstream: pure decisions.

The load that this answers: several upstreams crash at once, and each stream
that ran there is to go on elsewhere in the same moment. What the deployment
allows for that is a share of its requests over a window and some slack, for
all gateways together. A gateway therefore saves up what it leaves unused, and
its part of the slack.
"""

from __future__ import annotations

import collections

from lovagestage.decisions.retries import RetryBudget

EARNED_RATIO = 0.8
"""Part of the allowed ratio that requests earn as they come. The rest, over
one window, is what may be saved up: both together keep the ratio in a window
that begins with all saved up, as long as requests do not become fewer. Where
they do, the allowance counts the window before."""
SLACK_RATIO = 0.8
"""Part of the slack that gateways share; the rest is for those that start
anew, with tokens of their own, within a window."""
UNSURE_GATEWAYS = 8
"""Gateways that are reckoned with at least while a process is younger than a
window: it hears of the others one by one, and a small deployment has fewer."""
UNKNOWN_GATEWAYS = 32
"""The same where gateways cannot hear of each other: too many cost repeats,
too few break the limit."""
MIN_SAVED = 1.0
"""One repeat is always left: an idle gateway's first request may fail."""
KEPT_RATIO = 0.25
"""Part of what may be saved up that larger models leave for requests that
failed: a poorer answer is better than none."""
MAX_KEPT = 2.0
"""Most that they leave: what may be saved up grows at once when the other
gateways are known, and what is there only as requests come."""
_SLICES = 10


class RepeatBudget:
    """Repeats of one service's requests at this gateway.

    Args:
        now_s: Elapsed time.
        ratio: Arrivals beyond the first of each request that the service may
            get in a window, as a share of its requests.
        window_s: Length of the window.
        slack: Such arrivals beyond the share, for all gateways together.
        started_s: Elapsed time at the start of the process.
        gateways: Gateways of the deployment, this one included; None where
            they cannot hear of each other.
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
        self._unused_ratio = (1.0 - EARNED_RATIO) * ratio
        self._slack = SLACK_RATIO * slack
        self._window_s = window_s
        self._started_s = started_s
        self._counts: collections.deque[tuple[int, int]] = collections.deque()
        self._requests = 0
        self._bucket = RetryBudget(
            now_s,
            ratio=EARNED_RATIO * ratio,
            minimum_per_s=0.0,
            limit=self.get_limit(now_s, gateways),
        )

    @property
    def tokens(self) -> float:
        """Repeats that are left."""
        return self._bucket.tokens

    def get_limit(self, now_s: float, gateways: int | None) -> float:
        """Repeats that may be saved up.

        Args:
            now_s: Elapsed time.
            gateways: Gateways of the deployment; None as for the class.
        """
        if gateways is None:
            gateways = UNKNOWN_GATEWAYS
        elif now_s - self._started_s < self._window_s:
            gateways = max(gateways, UNSURE_GATEWAYS)
        share = self._slack / max(1, gateways)
        return max(MIN_SAVED, share + self._unused_ratio * self._requests)

    def note_request(self, now_s: float, gateways: int | None) -> None:
        """Counts a request and adds its share."""
        slice_s = self._window_s / _SLICES
        number = int(now_s / slice_s)
        while self._counts and self._counts[0][0] <= number - _SLICES:
            self._requests -= self._counts.popleft()[1]
        if self._counts and self._counts[-1][0] == number:
            self._counts[-1] = (number, self._counts[-1][1] + 1)
        else:
            self._counts.append((number, 1))
        self._requests += 1
        self._bucket.limit = self.get_limit(now_s, gateways)
        self._bucket.note_request(now_s)

    def take(self, now_s: float) -> bool:
        """Takes a repeat of a request that failed; False where none is left."""
        return self._bucket.take(now_s)

    def take_larger(self, now_s: float) -> bool:
        """Takes one for a larger model; False where too few would be left."""
        kept = min(MAX_KEPT, KEPT_RATIO * self._bucket.limit)
        return self._bucket.take(now_s, kept)

    def give_back(self) -> None:
        """Takes back a repeat that reached no upstream, and so counts none."""
        self._bucket.give_back()

"""How long upstreams take to write answers.

The load that this answers: after a loss of power callers come back all at
once, some with a second of their time left. A larger model takes three times
as long to write, and an answer that its caller's deadline cuts off is worth
nothing, where that of the smaller model would have been whole.
"""

from __future__ import annotations

from lovagestage.gateway.latency import LatencyTable

SPREAD = 1.5
"""What is reckoned with, as a multiple of the mean: estimates of the length
are off by a half, and upstreams get fuller while an answer is written."""


class WritingTimes:
    """Time for a token of an answer, by model."""

    def __init__(self) -> None:
        self._token_times = LatencyTable()

    def add(self, model: str | None, tokens: int, time_s: float) -> None:
        """Takes the time from an answer's first event to its end.

        Args:
            model: Model that answered.
            tokens: Length that its caller expected; 0 if it named none.
            time_s: Time that it took.
        """
        if tokens > 0:
            self._token_times.add(model, time_s / tokens)

    def get_limit(self, model: str | None, tokens: int) -> float:
        """Time that will most likely do; 0 while too little is known."""
        token_s = self._token_times.get(model) or 0.0
        return SPREAD * token_s * tokens

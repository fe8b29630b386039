"""Prefill times of prompts, without the queue time before the prefill.

The time until an answer begins includes the time in the upstream's queue. If
queues were summed from such times, each waiting request would count the queue
time of the requests before it again, and requests would avoid the upstream
that has cached their prompt's shared prefix. Only the time that a prompt needs
by itself may be summed.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from lovagestage.gateway.latency import DEFAULT_ANSWER_S
from lovagestage.gateway.messages import PromptSegment

OVERHEAD_S = 0.02
"""Time in seconds that an answer takes besides the prefill: the network round
trip and the first steps of an engine, 3 to 9 ms each."""
MIN_TOKENS = 500
"""Shortest prompt in tokens whose time is used: in shorter ones the overhead
takes longer than the prefill, so they say nothing about its speed."""
QUANTILE = 0.25
"""Share of the answers that are assumed not to have waited in a queue: under
high load most answers have waited, and under low load the quantile is as good
as any other."""
GAIN = 0.1
"""Step by which the estimate changes, relative to itself. Ten answers raise
the estimate at most 1.28-fold, so that it never doubles within them, and lower
it at most to 0.46 of itself."""
START_GAIN = 0.4
"""Step for the first `START_SAMPLES` answers, relative to the estimate. It is
larger, since any of these answers may have waited for long."""
START_SAMPLES = 8
"""Number of first answers whose step is `START_GAIN`."""


@dataclasses.dataclass(frozen=True)
class PrefillTokens:
    """Number of tokens of a prompt that an upstream has to prefill.

    Attributes:
        fresh_tokens: Tokens where the shared prompt prefix is not cached.
        cached_tokens: Tokens where the shared prompt prefix is cached.
    """

    fresh_tokens: int
    cached_tokens: int


def count_prefill_tokens(
    parts: Sequence[PromptSegment],
) -> PrefillTokens | None:
    """Counts the tokens to prefill of a prompt with these segments.

    The last segment is the request's own text, and the segment before it is
    the shared prompt prefix. Earlier segments are shared by so many requests
    that every upstream has cached them.

    Args:
        parts: Segments of the prompt in their order.

    Returns:
        The tokens; None for a prompt without segments.
    """
    if not parts:
        return None
    own_tokens = parts[-1].tokens
    prefix_tokens = parts[-2].tokens if len(parts) > 1 else 0
    return PrefillTokens(own_tokens + prefix_tokens, own_tokens)


class _TokenTime:
    """A low quantile of the prefill time per token, in seconds."""

    def __init__(self) -> None:
        self.token_s = 0.0
        self._samples = 0

    def add(self, token_s: float) -> None:
        self._samples += 1
        if self._samples == 1:
            self.token_s = token_s
            return
        gain = START_GAIN if self._samples <= START_SAMPLES else GAIN
        if token_s < self.token_s:
            self.token_s *= 1.0 - gain * (1.0 - QUANTILE)
        else:
            self.token_s *= 1.0 + gain * QUANTILE


class PrefillTimes:
    """Prefill time per token of a prompt, by model."""

    def __init__(self) -> None:
        self._token_times: dict[str | None, _TokenTime] = {}

    def record(self, model: str | None, tokens: int, time_s: float) -> None:
        """Records the time until an answer began.

        Args:
            model: Model that answered.
            tokens: Tokens that the model had to prefill.
            time_s: Time in seconds from the call to the first event.
        """
        if tokens < MIN_TOKENS or time_s <= OVERHEAD_S:
            return
        token_time = self._token_times.setdefault(model, _TokenTime())
        token_time.add((time_s - OVERHEAD_S) / tokens)

    def get_prefill_s(self, model: str | None, tokens: int) -> float:
        """Returns the expected prefill time in seconds.

        Args:
            model: The model.
            tokens: Tokens to prefill.

        Returns:
            The time with the overhead; a default while no time of the model is
            known.
        """
        token_time = self._token_times.get(model)
        if token_time is None:
            return DEFAULT_ANSWER_S
        return OVERHEAD_S + token_time.token_s * tokens

"""How long upstreams take to read prompts, apart from what waits there.

The time until an answer begins holds the queue before it. Were queues summed
from such times, each waiting request would count the wait of those before it
again, and requests would run away from the upstream that has read their
prompt's shared parts. Only what a prompt needs by itself may be summed.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from lovagestage.gateway.latency import UNKNOWN_S
from lovagestage.gateway.messages import PromptPart

OVERHEAD_S = 0.02
"""What an answer takes besides reading: the way there and back and the first
steps of an engine, 3 to 9 ms each."""
MIN_TOKENS = 500
"""Shorter prompts say nothing of reading: the rest of their time is longer."""
QUANTILE = 0.25
"""Part of the answers that are taken not to have waited: on full days most
wait, and on empty ones the quantile is as good as any."""
GAIN = 0.1
"""Step of the estimate, as part of itself: at most doubled in ten answers."""
START_GAIN = 0.4
"""The same for the first answers, any of which may have waited for long."""
START_SAMPLES = 8


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What an upstream has to read of a prompt.

    Attributes:
        fresh_tokens: Where its subject has not been read before.
        cached_tokens: Where it has.
    """

    fresh_tokens: int
    cached_tokens: int


def make_prompt(parts: Sequence[PromptPart]) -> Prompt | None:
    """What is read of a prompt with these parts; None without parts.

    The last part is the request's own, the one before it the subject. What
    comes before is shared by so many requests that every upstream has it.
    """
    if not parts:
        return None
    own = parts[-1].tokens
    subject = parts[-2].tokens if len(parts) > 1 else 0
    return Prompt(own + subject, own)


class _Rate:
    """A low quantile of the time for a token."""

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


class ReadingTimes:
    """Time for a token of a prompt, by model."""

    def __init__(self) -> None:
        self._rates: dict[str | None, _Rate] = {}

    def add(self, model: str | None, tokens: int, time_s: float) -> None:
        """Takes the time until an answer began.

        Args:
            model: Model that answered.
            tokens: What it had to read.
            time_s: Time from the call to the first event.
        """
        if tokens < MIN_TOKENS or time_s <= OVERHEAD_S:
            return
        rate = self._rates.setdefault(model, _Rate())
        rate.add((time_s - OVERHEAD_S) / tokens)

    def get(self, model: str | None, tokens: int) -> float:
        """Time that reading so many tokens takes; a guess while unknown."""
        rate = self._rates.get(model)
        if rate is None:
            return UNKNOWN_S
        return OVERHEAD_S + rate.token_s * tokens

"""How long answers take, and what that says of load and of versions."""

from __future__ import annotations

from collections.abc import Hashable

MEAN_GAIN = 0.1
"""Weight of the newest value: about the last ten answers count."""
MIN_SAMPLES = 8
"""Answers before a mean is used to call another one slow."""
SLOW_RATIO = 3.0
"""An answer that takes so many times the mean is slow; queueing on a busy
day doubles times, faulty versions are several times slower."""
SLOW_EXTRA_S = 0.15
"""And at least so much longer: short answers vary by more than a factor."""
IDLE_AIM_RATIO = 0.1
"""Part of the aim that first events take where nothing waits."""
FULL_AIM_RATIO = 0.65
"""Part of the aim at which prompts of typical length get no larger model any
more: the slowest answers are late by then."""


UNKNOWN_S = 0.1
"""Time that an answer is expected to take while too little is known, about
what one takes where nothing waits. After a start the first requests would
otherwise count as no load at all, and all be sent to one upstream."""


class _Mean:
    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        self.samples += 1
        gain = max(MEAN_GAIN, 1.0 / self.samples)
        self.value += gain * (value - self.value)


class LatencyTable:
    """Mean times by kind of answer."""

    def __init__(self) -> None:
        self._means: dict[Hashable, _Mean] = {}

    def add(self, kind: Hashable, time_s: float) -> None:
        """Takes the time of one answer."""
        self._means.setdefault(kind, _Mean()).add(time_s)

    def get(self, kind: Hashable) -> float | None:
        """The mean; None while too little is known."""
        mean = self._means.get(kind)
        if mean is None or mean.samples < MIN_SAMPLES:
            return None
        return mean.value

    def is_slow(
        self, kind: Hashable, time_s: float, extra_s: float = 0.0
    ) -> bool:
        """Whether an answer took several times as long as others do.

        Args:
            kind: Kind of the answer.
            time_s: How long it took.
            extra_s: What its upstream had to do before. A good new version on
                trial is full and has read no prompt yet: against the mean of
                the old one alone it would be taken for slow, and reverted.
        """
        mean_s = self.get(kind)
        if mean_s is None:
            return False
        usual_s = mean_s + extra_s
        return time_s > max(SLOW_RATIO * usual_s, usual_s + SLOW_EXTRA_S)


class LoadGauge:
    """How full the upstreams are, by how long first events take.

    What a gateway has sent says little, since others send to the same
    upstreams; the time until an answer begins shows the load of all.
    """

    def __init__(self) -> None:
        self._mean = _Mean()

    def add(self, time_s: float, aim_s: float) -> None:
        """Takes the time of one first event."""
        self._mean.add(time_s / aim_s)

    def get_pressure(self, wait_s: float, aim_s: float) -> float:
        """0 where nothing waits, 1 where answers are about to be late.

        Args:
            wait_s: Expected wait at the upstream that is least busy. Answers
                show a load only once they begin; in the first second of a
                burst, or of a process, this alone tells of it.
            aim_s: Time within which an answer should begin.
        """
        span = FULL_AIM_RATIO - IDLE_AIM_RATIO
        ratio = max(self._mean.value, wait_s / aim_s)
        return min(1.0, max(0.0, (ratio - IDLE_AIM_RATIO) / span))

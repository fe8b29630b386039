"""Records answer times; detects slow answers and the load by them."""

from __future__ import annotations

from collections.abc import Hashable

from lovagestage.gateway.rollout_evidence import AnswerQuality

MEAN_GAIN = 0.1
"""Weight of the newest value in a running mean: about the last ten answers
count."""
MIN_SAMPLES = 8
"""Answers that a mean must include before an answer is compared with it and
called slow."""
SLOW_RATIO = 2.0
"""Multiple of the mean time above which an answer is slow. The mean is one of
short and long prompts, and a new version on trial is loaded more than the old
one: as many answers of a good version are slow as of a bad one."""
VERY_SLOW_RATIO = 4.0
"""Multiple of the mean time above which an answer is very slow: about one in 20
answers of a good version, and most of those that a bad one slows down."""
SLOW_EXTRA_S = 0.05
"""Time in seconds by which an answer must also exceed the mean to be slow: the
times of the shortest answers vary by more than a factor."""
QUEUE_MEANS = 2.0
"""Longest queue time that excuses a late answer, as a multiple of the mean
time: a good version on trial is loaded about as the others are in a burst."""
SLOW_PACE_EXTRA_S = 0.01
"""Time in seconds by which the mean interval between a stream's events must
also exceed the usual one to be slow."""
IDLE_TARGET_RATIO = 0.1
"""Share of the target latency that first events take where no request waits."""
FULL_TARGET_RATIO = 0.65
"""Share of the target latency from which prompts of typical length are no
longer escalated to a larger model: by then the slowest answers are late."""


FAST_TARGET_RATIO = 0.05
"""Share of the target latency within which an answer is fast, whatever its
kind: half of what first events take where no request waits."""
DEFAULT_ANSWER_S = 0.1
"""Time in seconds that an answer is expected to take while too few answers are
known, about the time of an answer at an idle upstream. Without this value the
first requests after a start would count as no load, and all of them would be
sent to one upstream."""


class _RunningMean:
    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        self.samples += 1
        gain = max(MEAN_GAIN, 1.0 / self.samples)
        self.value += gain * (value - self.value)


class LatencyTable:
    """Running means of answer times by kind of answer."""

    def __init__(self) -> None:
        self._means: dict[Hashable, _RunningMean] = {}

    def record(self, kind: Hashable, time_s: float) -> None:
        """Adds the time in seconds of one answer to the mean of its kind."""
        self._means.setdefault(kind, _RunningMean()).add(time_s)

    def get(self, kind: Hashable) -> float | None:
        """Returns the mean time in seconds; None while it has few samples."""
        mean = self._means.get(kind)
        if mean is None or mean.samples < MIN_SAMPLES:
            return None
        return mean.value

    def is_slow(
        self,
        kind: Hashable,
        time_s: float,
        queue_s: float = 0.0,
        prefill_s: float = 0.0,
        ratio: float = SLOW_RATIO,
    ) -> bool:
        """Returns whether an answer took several times as long as the mean.

        Args:
            kind: Kind of the answer.
            time_s: Time in seconds that the answer took.
            queue_s: As in `get_slow_limit_s`.
            prefill_s: As in `get_slow_limit_s`.
            ratio: As in `get_slow_limit_s`.
        """
        limit_s = self.get_slow_limit_s(kind, queue_s, prefill_s, ratio)
        return limit_s is not None and time_s > limit_s

    def get_slow_limit_s(
        self,
        kind: Hashable,
        queue_s: float = 0.0,
        prefill_s: float = 0.0,
        ratio: float = SLOW_RATIO,
    ) -> float | None:
        """Returns the time in seconds above which an answer is slow.

        Args:
            kind: Kind of the answer.
            queue_s: Expected time in seconds in the upstream's queue before. A
                good new version on trial is fully loaded.
            prefill_s: Time in seconds that the prefill of an uncached prompt
                prefix takes: a new version has none cached yet, and would be
                considered slow by the old version's mean alone.
            ratio: Multiple of the mean time above which an answer is slow.

        Returns:
            The limit; None while too few answers of the kind are known.
        """
        mean_s = self.get(kind)
        if mean_s is None:
            return None
        expected_s = mean_s + prefill_s
        extra_s = (ratio - 1.0) * max(expected_s, SLOW_EXTRA_S)
        limit_s = expected_s + extra_s
        # A slow upstream has a long queue: its own slowness excuses nothing.
        return limit_s + min(queue_s, max(QUEUE_MEANS * mean_s, SLOW_EXTRA_S))

    def get_slow_pace_s(
        self, kind: Hashable, ratio: float = SLOW_RATIO
    ) -> float | None:
        """Returns the mean interval in seconds above which a stream is slow.

        Args:
            kind: Kind of the stream.
            ratio: Multiple of the mean interval above which a stream is slow.

        Returns:
            The limit; None while too few streams of the kind are known.
        """
        mean_s = self.get(kind)
        if mean_s is None:
            return None
        return mean_s + (ratio - 1.0) * max(mean_s, SLOW_PACE_EXTRA_S)

    def judge_pace(
        self, kind: Hashable, interval_s: float
    ) -> AnswerQuality | None:
        """Judges the mean interval between a stream's events.

        Args:
            kind: Kind of the stream.
            interval_s: The mean interval in seconds.

        Returns:
            The quality; None while too few streams of the kind are known.
        """
        slow_s = self.get_slow_pace_s(kind)
        very_slow_s = self.get_slow_pace_s(kind, VERY_SLOW_RATIO)
        if slow_s is None or very_slow_s is None:
            return None
        if interval_s > very_slow_s:
            return AnswerQuality.VERY_SLOW
        return AnswerQuality.SLOW if interval_s > slow_s else AnswerQuality.GOOD


def judge_unknown_kind(time_s: float, target_s: float) -> AnswerQuality:
    """Judges an answer of a kind of which too few answers are known.

    Args:
        time_s: Time in seconds that the answer took.
        target_s: Target latency of its route in seconds.
    """
    if time_s > target_s:
        return AnswerQuality.VERY_SLOW
    if time_s > FAST_TARGET_RATIO * target_s:
        return AnswerQuality.UNJUDGED
    return AnswerQuality.GOOD


class LoadGauge:
    """Load of the upstreams, from the time that first events take.

    A gateway's own requests say little about the load, since other gateways
    send to the same upstreams; the time until an answer begins shows the load
    from all gateways.
    """

    def __init__(self) -> None:
        self._mean = _RunningMean()

    def record_first_event(
        self, time_s: float, target_latency_s: float
    ) -> None:
        """Records one first event.

        Args:
            time_s: Time in seconds until the event.
            target_latency_s: Target latency of the route in seconds.
        """
        self._mean.add(time_s / target_latency_s)

    def get_load(self, wait_s: float, target_latency_s: float) -> float:
        """Returns the load, from 0 for idle to 1 for answers about to be late.

        Args:
            wait_s: Expected queue time in seconds at the least busy upstream.
                Answer times show a load only once answers begin; in the first
                second of a burst, or of the process, the queue time alone
                shows it.
            target_latency_s: Time in seconds within which an answer should
                begin.
        """
        span = FULL_TARGET_RATIO - IDLE_TARGET_RATIO
        ratio = max(self._mean.value, wait_s / target_latency_s)
        return min(1.0, max(0.0, (ratio - IDLE_TARGET_RATIO) / span))

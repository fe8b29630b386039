"""Measures a stream's pace without what this process or the caller adds."""

from __future__ import annotations

import asyncio
import dataclasses

from lovagestage.gateway.clocks import get_elapsed_s

STALL_S = 0.05
"""Delay in seconds from which a timer shows that this process itself stood
still, and time from which a caller that takes no data holds a stream up."""
STALL_CHECK_S = 0.1
"""Interval in seconds between looks at whether this process stands still."""
MIN_INTERVALS = 2
"""Intervals between events that a stream's pace is judged by."""


@dataclasses.dataclass(frozen=True)
class Pace:
    """Pace of a stream.

    Attributes:
        interval_s: Mean time in seconds between events.
        is_excused: Whether intervals were left out. Events that have waited
            meanwhile follow each other too fast, which is no proof.
    """

    interval_s: float
    is_excused: bool


class PaceClock:
    """Times the events of one stream.

    Intervals in which this process stood still, or the caller took no data, are
    left out.

    Attributes:
        excused_s: Time in seconds of the intervals that were left out.
    """

    def __init__(self) -> None:
        self.excused_s = 0.0
        self._intervals = 0
        self._total_s = 0.0
        self._last_s: float | None = None
        self._is_interval_excused = False
        self._is_sending = False
        self._is_excused = False
        self._due_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def record_event(self) -> None:
        """Records that an event was received, which is sent to the caller."""
        if self._last_s is None:
            self._set_timer()
        else:
            self._end_interval()
            self._intervals += not self._is_interval_excused
        self._last_s = get_elapsed_s()
        self._is_interval_excused = False
        self._is_sending = True

    def record_sent(self) -> None:
        """Records that the caller's connection has taken the last event."""
        self._is_sending = False
        if self._last_s is not None:
            held_s = get_elapsed_s() - self._last_s
            self._is_interval_excused |= held_s > STALL_S

    @property
    def is_held_up(self) -> bool:
        """Whether the present interval will be left out."""
        return self._is_sending or self._is_interval_excused

    def get_interval_so_far_s(self) -> float | None:
        """Returns the mean time in seconds between events until now.

        The time since the last event counts as far as it makes the mean longer.

        Returns:
            The mean; None while too few intervals are known.
        """
        if self._intervals < MIN_INTERVALS or self._last_s is None:
            return None
        waited_s = get_elapsed_s() - self._last_s
        return max(
            self._total_s / self._intervals,
            (self._total_s + waited_s) / (self._intervals + 1),
        )

    def stop(self, is_complete: bool) -> Pace | None:
        """Ends the measurement.

        Args:
            is_complete: Whether the stream has ended; otherwise the time since
                its last event counts as an interval.

        Returns:
            The pace; None if too few intervals are known.
        """
        if self._timer is not None:
            self._timer.cancel()
        if self._last_s is not None:
            self._is_interval_excused |= self._is_sending and not is_complete
            self._end_interval()
            if not is_complete and not self._is_interval_excused:
                self._intervals += 1
        if self._intervals < MIN_INTERVALS:
            return None
        return Pace(self._total_s / self._intervals, self._is_excused)

    def _end_interval(self) -> None:
        assert self._last_s is not None
        now_s = get_elapsed_s()
        # An event is read before a timer that was due earlier runs.
        self._look(now_s)
        if self._is_interval_excused:
            self._is_excused = True
            self.excused_s += now_s - self._last_s
        else:
            self._total_s += now_s - self._last_s

    def _set_timer(self) -> None:
        self._due_s = get_elapsed_s() + STALL_CHECK_S
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(STALL_CHECK_S, self._on_timer)

    def _on_timer(self) -> None:
        self._look(get_elapsed_s())
        self._set_timer()

    def _look(self, now_s: float) -> None:
        if now_s > self._due_s + STALL_S:
            self._is_interval_excused = True
            self._due_s = now_s

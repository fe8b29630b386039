"""Decides which requests a gateway accepts while it stops (no I/O)."""

from __future__ import annotations

DRAIN_NOTICE_S = 2.6
"""Time in seconds for the load balancer to detect that the gateway is draining:
two probes, one second apart, and the time for the answer."""
STOP_MARGIN_S = 0.6
"""Time in seconds before the end of the allowed stop time at which a stopping
process exits by itself, so that it is not killed."""
ANSWER_MARGIN_S = 0.5
"""Time in seconds between a request's deadline and the end of the process,
so that the last byte of its answer reaches a caller that reads slowly."""


class PlannedStop:
    """Times of a gateway's planned stop.

    Until the load balancer has noticed the stop it sends requests here that
    run nowhere else, so all are accepted. After that, only callers with an open
    connection send some, and they have other gateways: a request is accepted
    only if it ends before the process does, whatever its kind.
    """

    def __init__(self) -> None:
        self._notice_end_s: float | None = None
        self._end_s = 0.0

    def begin(self, now_s: float, stop_s: float) -> None:
        """Begins the stop.

        Args:
            now_s: Current time in seconds.
            stop_s: Time in seconds after which the process is killed.
        """
        self._notice_end_s = now_s + DRAIN_NOTICE_S
        self._end_s = now_s + stop_s - STOP_MARGIN_S

    @property
    def end_s(self) -> float:
        """Time in seconds at which a stop that has begun ends the process."""
        return self._end_s

    def accepts(self, deadline_s: float, now_s: float) -> bool:
        """Returns whether a request may still be sent to an upstream.

        Args:
            deadline_s: Time in seconds by which the request is answered.
            now_s: Current time in seconds.
        """
        if self._notice_end_s is None or now_s < self._notice_end_s:
            return True
        return deadline_s + ANSWER_MARGIN_S <= self._end_s

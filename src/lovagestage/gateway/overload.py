"""Watches the event loop's delay and sheds new connections under overload."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from lovagestage.decisions.connection_shedding import ConnectionShedding
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.timers import TimerService

_log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05
"""Interval in seconds of the timer whose delay is measured."""
REPORT_INTERVAL_S = 1.0
"""Interval in seconds in which shed connections are logged."""


class OverloadWatch:
    """Decides whether the gateway serves a new connection.

    Args:
        timers: Calls back periodically.
        exposition: Metrics, for the delay and the shed connections.
        rng: Source of randomness.
        count_peers: Returns the number of other gateways. Callers find nobody
            else to serve them where there is none.
    """

    def __init__(
        self,
        timers: TimerService,
        exposition: Exposition,
        rng: random.Random,
        count_peers: Callable[[], int],
    ) -> None:
        self._exposition = exposition
        self._rng = rng
        self._count_peers = count_peers
        self._checked_s = get_elapsed_s()
        self._reported_s = self._checked_s
        self._delay_s = 0.0
        self._max_delay_s = 0.0
        self._shed_count = 0
        self._shedding = ConnectionShedding(self._checked_s)
        exposition.add_gauge(Series.LOOP_DELAY_S, lambda: self._delay_s)
        timers.subscribe(CHECK_INTERVAL_S, self._check)

    def admits_connection(self) -> bool:
        """Returns whether a new connection is served; counts others."""
        if self._shedding.admits(self._rng.random()) or not self._count_peers():
            return True
        self._shed_count += 1
        self._exposition.count(Series.SHED_CONNECTIONS)
        return False

    def _check(self) -> None:
        now_s = get_elapsed_s()
        delay_s = max(0.0, now_s - self._checked_s - CHECK_INTERVAL_S)
        self._checked_s = now_s
        self._delay_s = delay_s
        self._max_delay_s = max(self._max_delay_s, delay_s)
        self._shedding.record_delay(delay_s, now_s)
        if now_s - self._reported_s >= REPORT_INTERVAL_S:
            self._report(now_s)

    def _report(self, now_s: float) -> None:
        if self._shed_count:
            _log.warning(
                "connections_shed",
                extra={
                    "connections": self._shed_count,
                    "share": round(self._shedding.share, 2),
                    "delay_s": round(self._max_delay_s, 3),
                },
            )
        self._reported_s = now_s
        self._shed_count, self._max_delay_s = 0, 0.0

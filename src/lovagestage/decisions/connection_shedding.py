"""Decides which new connections an overloaded gateway closes unread.

The platform may hand one gateway far more connections than its processor can
serve, while the others idle. Each request that it reads delays all others,
until none is answered in time. A connection that is closed before anything was
read from it costs its caller one more connection: retries meet other gateways.

The sign of overload is the delay of the event loop's turns. Its smallest value
over a time is used: a single long turn is no overload.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import math

TARGET_DELAY_S = 0.1
"""Delay in seconds that is borne: a request takes some five turns of the event
loop until it reaches its upstream."""
WINDOW_S = 0.4
"""Time in seconds over which the smallest delay is taken."""
RAISE_RATIO = 0.15
"""Increase of the share that is closed, for each window and each time that the
delay exceeds the target by as much as the target."""
MAX_EXCESS = 3.0
"""Largest excess, as a multiple of the target, that the increase follows."""
LOWER_RATIO = 0.04
"""Decrease of the share for each window without overload. It is slower than the
increase, as requests that were read keep the processor busy for seconds."""
MAX_SHARE = 0.9
"""Largest share that is closed: where all gateways are overloaded, a caller's
retries would find none that reads them."""


class ConnectionShedding:
    """Share of the new connections that are closed unread.

    Args:
        now_s: Monotonic time in seconds.

    Attributes:
        share: The share, from 0 to `MAX_SHARE`.
    """

    def __init__(self, now_s: float) -> None:
        self.share = 0.0
        self._window_start_s = now_s
        self._min_delay_s = math.inf

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Records how late a turn of the event loop began."""
        self._min_delay_s = min(self._min_delay_s, delay_s)
        if now_s - self._window_start_s < WINDOW_S:
            return
        excess = self._min_delay_s / TARGET_DELAY_S - 1.0
        if excess > 0.0:
            self.share += RAISE_RATIO * min(excess, MAX_EXCESS)
        else:
            self.share -= LOWER_RATIO
        self.share = min(MAX_SHARE, max(0.0, self.share))
        self._window_start_s, self._min_delay_s = now_s, math.inf

    def admits(self, draw: float) -> bool:
        """Returns whether a new connection is served.

        Args:
            draw: A random number from 0 to 1.
        """
        return draw >= self.share

"""Clocks of a gateway."""

from __future__ import annotations

import time


def get_elapsed_s() -> float:
    """Seconds that also count while the VM is suspended.

    What a gateway believes of the outside ages during a suspension; the
    monotonic clock stands still then, and the time of day may be set back.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

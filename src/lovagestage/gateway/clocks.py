"""Clock that a gateway uses for timeouts and ages."""

from __future__ import annotations

import time


def get_elapsed_s() -> float:
    """Returns the seconds since boot, time in VM suspension included.

    The gateway's information about other processes ages while the VM is
    suspended. The monotonic clock stops during a suspension, and the time of
    day may be set back, so neither can measure that age.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""Timers that count the time in which the event loop runs.

A process that stands still for a moment, or that has more to do than its
processor can, sees late what has arrived in time. A timer that fires in the
same turn of the loop would take that for missing.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

PARTS = 6
"""Parts in which a time is waited for. Opening a connection takes four turns
of the loop, and each part gives at least one."""


class RunningTimer:
    """Calls back after a time, of which a stall counts for one part at most.

    Args:
        limit_s: Time in seconds.
        callback: Called once at its end.
    """

    def __init__(self, limit_s: float, callback: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._part_s = max(0.0, limit_s) / PARTS
        self._parts_left = PARTS
        self._callback = callback
        self._timer = self._loop.call_later(self._part_s, self._end_part)

    def cancel(self) -> None:
        """Cancels the timer; it does not call back any more."""
        self._timer.cancel()

    def _end_part(self) -> None:
        self._parts_left -= 1
        if not self._parts_left:
            self._callback()
            return
        self._timer = self._loop.call_later(self._part_s, self._end_part)


@contextlib.asynccontextmanager
async def timeout_while_running(limit_s: float) -> AsyncIterator[None]:
    """Ends what is awaited within after a time in which the event loop ran.

    Args:
        limit_s: Time in seconds.

    Raises:
        TimeoutError: The time has passed.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        timer = RunningTimer(limit_s, lambda: scope.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()

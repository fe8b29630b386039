"""Timer service that calls its subscribers periodically.

One task wakes up for all subscribers, so that a process with many components
has only one timer. Tests call `TimerService.fire_due` with a clock of their
own.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
import time
from collections.abc import Callable

import mode

_log = logging.getLogger(__name__)

Callback = Callable[[], None]


class Subscription:
    """A periodic callback that is registered with the timer service.

    Attributes:
        period_s: Time between two calls, in seconds.
        active: Whether the subscription was not cancelled.
    """

    def __init__(self, period_s: float, callback: Callback) -> None:
        self.period_s = period_s
        self.active = True
        self._callback = callback

    def cancel(self) -> None:
        """Cancels the subscription; the callback is not called any more."""
        self.active = False

    def fire(self) -> None:
        """Calls the callback."""
        self._callback()


class TimerService(mode.Service):
    """Calls each subscriber's callback at its period.

    A callback that is overdue is called once, not once per missed period.

    Args:
        clock: Returns the current time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._sequence = itertools.count()
        self._due_heap: list[tuple[float, int, Subscription]] = []
        self._new_subscription = asyncio.Event()

    def subscribe(self, period_s: float, callback: Callback) -> Subscription:
        """Calls `callback` every `period_s`, for the first time after one."""
        subscription = Subscription(period_s, callback)
        self._schedule(self._clock() + period_s, subscription)
        self._new_subscription.set()
        return subscription

    def fire_due(self) -> float | None:
        """Calls all callbacks that are due.

        Returns:
            Seconds until the next callback is due; None if there is none.
        """
        now_s = self._clock()
        while self._due_heap and self._due_heap[0][0] <= now_s:
            _, _, subscription = heapq.heappop(self._due_heap)
            if not subscription.active:
                continue
            self._schedule(now_s + subscription.period_s, subscription)
            try:
                subscription.fire()
            except Exception:
                # The others must go on, and this one may succeed next time.
                _log.exception("timer_failed")
        return self._due_heap[0][0] - now_s if self._due_heap else None

    def _schedule(self, due_at_s: float, subscription: Subscription) -> None:
        heapq.heappush(
            self._due_heap, (due_at_s, next(self._sequence), subscription)
        )

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            delay_s = self.fire_due()
            self._new_subscription.clear()
            try:
                await asyncio.wait_for(self._new_subscription.wait(), delay_s)
            except TimeoutError:
                pass

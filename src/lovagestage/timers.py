"""Timer service: parts subscribe to a period and are called back.

One task wakes for all subscribers, so that a process with many parts has one
timer; tests drive `TimerService.fire_due` with a clock of their own.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable

import mode

Callback = Callable[[], None]


class Subscription:
    """A subscriber's place in the timer service.

    Attributes:
        period_s: Time between calls.
        active: False after `cancel`.
    """

    def __init__(self, period_s: float, callback: Callback) -> None:
        self.period_s = period_s
        self.active = True
        self._callback = callback

    def cancel(self) -> None:
        """Ends the subscription."""
        self.active = False

    def fire(self) -> None:
        """Calls the subscriber."""
        self._callback()


class TimerService(mode.Service):
    """Calls subscribers at their periods.

    A subscriber that is late is called once, not once per missed period.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._order = itertools.count()
        self._due: list[tuple[float, int, Subscription]] = []
        self._changed = asyncio.Event()

    def subscribe(self, period_s: float, callback: Callback) -> Subscription:
        """Calls `callback` every `period_s` from one period from now."""
        subscription = Subscription(period_s, callback)
        self._push(self._clock() + period_s, subscription)
        self._changed.set()
        return subscription

    def fire_due(self) -> float | None:
        """Calls those that are due; seconds until the next, or None."""
        now = self._clock()
        while self._due and self._due[0][0] <= now:
            _, _, subscription = heapq.heappop(self._due)
            if not subscription.active:
                continue
            self._push(now + subscription.period_s, subscription)
            subscription.fire()
        return self._due[0][0] - now if self._due else None

    def _push(self, due_at: float, subscription: Subscription) -> None:
        heapq.heappush(self._due, (due_at, next(self._order), subscription))

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            delay_s = self.fire_due()
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), delay_s)
            except TimeoutError:
                pass

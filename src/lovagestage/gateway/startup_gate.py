"""Holds callers' requests until the gateway has its first configuration.

This handles a simultaneous start of all gateways, some of which receive a large
configuration over a narrow link for a second. A caller whose request is refused
retries at another gateway that has just started as well, and few callers retry
a second time.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

POLL_INTERVAL_S = 0.05
"""Interval in seconds between checks whether the store is still sending the
first configuration."""
MAX_WAIT_RATIO = 1 / 3
"""Share of a request's time budget for which the gateway holds it at most. The
caller abandons its attempt after that and has enough time left to be served by
another gateway."""


class StartupGate:
    """Makes requests wait while the first configuration is being received.

    Args:
        is_arriving: Returns whether the store is sending the first
            configuration.
    """

    def __init__(self, is_arriving: Callable[[], bool]) -> None:
        self._is_arriving = is_arriving
        self._has_configuration = asyncio.Event()

    def set_configured(self) -> None:
        """Releases all waiting requests, as a configuration is now known."""
        self._has_configuration.set()

    async def wait_for_configuration(self, budget_s: float) -> None:
        """Waits until a configuration is known or none is being received.

        Args:
            budget_s: Time in seconds for which the caller waits for its answer;
                the wait is limited to a share of it.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + MAX_WAIT_RATIO * budget_s
        while not self._has_configuration.is_set():
            left_s = end_s - loop.time()
            if left_s <= 0.0 or not self._is_arriving():
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(POLL_INTERVAL_S, left_s)):
                    await self._has_configuration.wait()

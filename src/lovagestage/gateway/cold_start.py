"""Callers of a gateway that has no configuration yet.

The load that this answers: all gateways start at once, and the narrow links of
some carry a large configuration for a second. A caller that is refused comes
back to another gateway that has just started, and few of them ask a third time.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

POLL_S = 0.05
"""Time between looks whether the store still answers."""
HELD_RATIO = 1 / 3
"""Part of its time for which a caller is held at most: it gives an attempt up
after that, and has enough left to be served elsewhere."""


class ColdStart:
    """Lets callers wait while the first configuration arrives.

    Args:
        is_arriving: Whether the store is sending it.
    """

    def __init__(self, is_arriving: Callable[[], bool]) -> None:
        self._is_arriving = is_arriving
        self._has_configuration = asyncio.Event()

    def end(self) -> None:
        """Notes that there is a configuration."""
        self._has_configuration.set()

    async def wait(self, budget_s: float) -> None:
        """Returns once there is a configuration, or none is on its way.

        Args:
            budget_s: Time that the caller waits for its answer.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + HELD_RATIO * budget_s
        while not self._has_configuration.is_set():
            left_s = end_s - loop.time()
            if left_s <= 0.0 or not self._is_arriving():
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(POLL_S, left_s)):
                    await self._has_configuration.wait()

"""Times in which the soak's own process did not run."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Sequence

POLL_INTERVAL_S = 0.05
MIN_STALL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Stall:
    """A time in which callers, workers and the store stood still.

    Attributes:
        begun_s: Monotonic time in seconds of its start.
        ended_s: Monotonic time in seconds of its end.
        cpu_s: CPU time in seconds that the process used meanwhile; about as
            long as the stall where it computed, and short where it waited.
    """

    begun_s: float
    ended_s: float
    cpu_s: float


async def record_stalls(stalls: list[Stall]) -> None:
    """Records stalls of the event loop until the task is cancelled."""
    while True:
        begun_s, cpu_s = time.monotonic(), time.process_time()
        await asyncio.sleep(POLL_INTERVAL_S)
        ended_s = time.monotonic()
        if ended_s - begun_s > MIN_STALL_S:
            used_s = time.process_time() - cpu_s
            stalls.append(Stall(begun_s, ended_s, used_s))


def get_stalled_s(
    stalls: Sequence[Stall], begun_s: float, ended_s: float
) -> float:
    """Returns the time in seconds between two times that was lost to stalls."""
    return sum(
        max(0.0, min(ended_s, stall.ended_s) - max(begun_s, stall.begun_s))
        for stall in stalls
    )

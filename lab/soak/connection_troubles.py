"""Times in which most new connections go to one gateway."""

from __future__ import annotations

import asyncio
import collections
import math
import time

from lab.soak.deployment import CONTACT_S
from lab.soak.records import SkewedTime, StatedLimit
from lab.soak.world import SoakEnvironment

LIMIT_LEAD_S = 2 * CONTACT_S
"""Seconds from the statement of the limits until connections are skewed: time
to share the limits out, and to count what is served under them."""
SKEWED_TIMES_S = (CONTACT_S + 3.0, CONTACT_S + 6.0)
RATE_WINDOW_S = 2.0
LIMIT_FACTOR = 2.0
"""All limits together, as a multiple of the requests at the busiest time."""


async def skew_connections(environment: SoakEnvironment) -> None:
    """Makes most new connections go to one gateway, to another once it is out.

    Nothing happens during another such time.
    """
    rng, times = environment.rng, environment.skewed_times
    if times and math.isinf(times[-1].ended_s):
        return
    skewed = SkewedTime(time.monotonic(), rng.choice(environment.gateways).name)
    times.append(skewed)
    await asyncio.sleep(rng.uniform(*SKEWED_TIMES_S))
    skewed.ended_s = time.monotonic()


async def skew_connections_under_limits(environment: SoakEnvironment) -> None:
    """Does the same after all workers have stated ample request limits.

    Together, the limits allow more than all callers ask for.
    """
    limits = _state_ample_limits(environment)
    await asyncio.sleep(LIMIT_LEAD_S)
    await skew_connections(environment)
    for limit in limits:
        limit.ended_s = time.monotonic()
        environment.workers[limit.worker].notices = {}


def _state_ample_limits(environment: SoakEnvironment) -> list[StatedLimit]:
    """Makes all live workers state the same limit."""
    now_s = time.monotonic()
    names = [
        name
        for name in environment.get_live_workers()
        if not environment.workers[name].notices
    ]
    per_s = LIMIT_FACTOR * _get_peak_rate(environment) / max(1, len(names))
    limits = [StatedLimit(name, round(per_s, 1), now_s) for name in names]
    for limit in limits:
        notices = {"Server-Limit": f"{limit.per_s}"}
        environment.workers[limit.worker].notices = notices
    environment.limits += limits
    return limits


def _get_peak_rate(environment: SoakEnvironment) -> float:
    """Returns the requests per second that ran at the busiest time so far."""
    counts = collections.Counter(
        int(run.begun_s / RATE_WINDOW_S)
        for runs in environment.serving.runs.values()
        for run in runs
    )
    return max(counts.values(), default=0) / RATE_WINDOW_S

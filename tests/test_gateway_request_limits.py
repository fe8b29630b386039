"""Tests that upstreams get no more requests than they state in answers."""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

from lab.worker import answer_plain, make_stream
from tests.gateway_harness import run_gateway_harness

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that an upstream may get in a window, from all gateways together."""
SETTLE_S = 3.0
"""Time in seconds from the first statement of a limit until it must hold."""


async def run_script(arrival, writer):
    script = answer_plain
    if arrival.target.startswith("/stream/"):
        script = make_stream(events=2)
    await script(arrival, writer)


async def call_all_gateways(harness, times_s, end_s):
    """Calls each gateway some twenty times a second on each kind of route."""
    numbers = itertools.count()

    async def call_gateway(gateway, kind):
        while time.monotonic() < end_s:
            number = next(numbers)
            await harness.call(
                f"/{kind}/{number}", gateway, request_id=f"a{number}"
            )
            await asyncio.sleep(0.05)

    async def record_arrivals():
        seen = 0
        while time.monotonic() < end_s:
            arrived = len(harness.workers["w1"].arrivals)
            times_s.extend([time.monotonic()] * (arrived - seen))
            seen = arrived
            await asyncio.sleep(0.01)

    await asyncio.gather(
        record_arrivals(),
        *(
            call_gateway(gateway, kind)
            for gateway in range(len(harness.gateways))
            for kind in ("safe", "unsafe", "stream")
        ),
    )


def get_most_in_window(times_s, start_s):
    late_s = [at_s for at_s in times_s if at_s >= start_s]
    return max(
        (
            sum(first_s <= at_s < first_s + WINDOW_S for at_s in late_s)
            for first_s in late_s
        ),
        default=0,
    )


@pytest.mark.parametrize("gateways", [1, 3])
async def test_limited_upstream_gets_no_more_than_its_limit(gateways):
    # Guards against gateways that send on to an upstream in need, each for
    # itself, while the limit binds the sum over all of them.
    async with run_gateway_harness(2, run_script, gateways=gateways) as harness:
        harness.workers["w1"].notices = {"Server-Limit": str(LIMIT_PER_S)}
        times_s = []
        start_s = time.monotonic()
        end_s = start_s + SETTLE_S + WINDOW_S + 1.0
        await call_all_gateways(harness, times_s, end_s)
        assert get_most_in_window(times_s, start_s + SETTLE_S) <= ALLOWED
        assert len(harness.workers["w2"].arrivals) > len(times_s)

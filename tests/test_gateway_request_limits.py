"""Tests that upstreams get no more requests than they state in answers."""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

from lab.worker import answer_plain, make_stream, reset
from lovagestage.gateway import upstream_guard
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


@pytest.fixture
def settled(monkeypatch):
    monkeypatch.setattr(upstream_guard, "STARTUP_DELAY_S", 0.0)


async def test_refuses_at_once_and_says_when_to_return(settled):
    # Guards against callers that wait until their deadline, or come back before
    # the upstream accepts another request.
    async with run_gateway_harness(1) as harness:
        harness.workers["w1"].notices = {"Server-Limit": "1"}
        assert (await harness.call("/safe/1")).status == 200
        started_s = time.monotonic()
        refusal = await harness.call("/safe/2", request_id="a2")
        assert refusal.status == 503
        assert time.monotonic() - started_s < 0.5
        wait_s = float(refusal.headers["retry-after"])
        assert 0.0 < wait_s <= 1.0
        await asyncio.sleep(wait_s + 0.02)
        reply = await harness.call("/safe/3", request_id="a3")
        assert reply.status == 200
        assert len(harness.workers["w1"].arrivals) == 2


async def test_keeps_a_ready_answer_when_no_upstream_accepts_another(settled):
    # Guards against a small model's answer that is dropped for a larger model
    # that may not be asked.
    script = make_stream(events=2, confidence={"small": 5})
    async with run_gateway_harness(1, script) as harness:
        harness.workers["w1"].notices = {"Server-Limit": "1"}
        reply = await harness.call("/sized/1", Model_Name="*")
        assert (reply.status, reply.is_complete) == (200, True)
        assert b"small" in reply.body
        assert len(harness.workers["w1"].arrivals) == 1


async def test_broken_kept_connection_does_not_exceed_the_limit(settled):
    # Guards against the second send of a request whose kept connection broke,
    # which no choice of an upstream goes before.
    async def reset_second(arrival, writer):
        script = reset if arrival.request_id == "a2" else answer_plain
        await script(arrival, writer)

    async with run_gateway_harness(1, reset_second) as harness:
        harness.workers["w1"].notices = {"Server-Limit": "2"}
        assert (await harness.call("/safe/1")).status == 200
        reply = await harness.call("/safe/2", request_id="a2")
        assert reply.status == 502
        assert len(harness.workers["w1"].arrivals) == 2


async def test_refused_callers_are_told_different_times(settled):
    # Guards against callers that are refused together, return together, and
    # are all refused again but for one.
    async with run_gateway_harness(1) as harness:
        harness.workers["w1"].notices = {"Server-Limit": "1"}
        assert (await harness.call("/safe/1")).status == 200
        refusals = await asyncio.gather(
            *(harness.call(f"/safe/{n}", request_id=f"b{n}") for n in range(3))
        )
        times_s = sorted(float(r.headers["retry-after"]) for r in refusals)
        assert {r.status for r in refusals} == {503}
        # Two turns lie between the first and the last, less the time that
        # passes between the refusals.
        assert times_s[2] - times_s[0] > 1.0

"""Tests that upstreams get the rest that they ask for when they refuse."""

from __future__ import annotations

import asyncio
import time

import pytest

from lab.worker import (
    answer_plain,
    make_refusal_with_rest,
    make_stream,
    send,
)
from tests.gateway_harness import run_gateway_harness

REST_S = 2.0
LONG_REST_S = 30.0
"""Longer than any test lasts."""
MAX_ARRIVALS = 2
"""Number of requests that may reach an upstream between half a second after it
has asked for a rest and the end of that rest."""


ask_for_rest = make_refusal_with_rest(REST_S)


async def run_script(arrival, writer):
    script = answer_plain
    if arrival.target.startswith("/stream/"):
        script = make_stream(events=2)
    await script(arrival, writer)


async def test_upstream_that_asked_for_a_rest_gets_it():
    # Guards against an upstream that refuses everything and attracts ever more
    # requests, since its queue is empty.
    async with run_gateway_harness(2, run_script) as harness:
        resting = harness.workers["w1"]
        resting.script = ask_for_rest
        deadline_s = time.monotonic() + 3.0
        while not resting.arrivals and time.monotonic() < deadline_s:
            await harness.call("/safe/first")
        asked_s = time.monotonic()
        await asyncio.sleep(0.5)
        before = len(resting.arrivals)
        number = 0
        while time.monotonic() < asked_s + REST_S - 0.2:
            for kind in ("safe", "unsafe", "stream"):
                number += 1
                name = f"a{number}"
                reply = await harness.call(f"/{kind}/1", request_id=name)
                assert reply.status == 200
        assert number > 2 * MAX_ARRIVALS
        assert len(resting.arrivals) - before <= MAX_ARRIVALS


async def test_refuses_at_once_until_the_rest_is_over():
    # Guards against callers that wait, or come back while the rest still lasts.
    async with run_gateway_harness(1, ask_for_rest) as harness:
        worker = harness.workers["w1"]
        assert (await harness.call("/safe/1")).status == 503
        started_s = time.monotonic()
        refusal = await harness.call("/safe/2", request_id="a2")
        assert refusal.status == 503
        assert time.monotonic() - started_s < 0.5
        wait_s = float(refusal.headers["retry-after"])
        assert 0.5 * REST_S < wait_s <= REST_S
        assert len(worker.arrivals) == 1
        worker.script = answer_plain
        await asyncio.sleep(wait_s + 0.02)
        assert (await harness.call("/safe/3", request_id="a3")).status == 200


@pytest.mark.parametrize("text", ["", "soon", "-1", "inf", "nan", "1, x"])
async def test_a_malformed_rest_harms_nobody(text):
    async def refuse_oddly(arrival, writer):
        odd = {"Retry_After": text, "Not_Executed": "1"}
        await send(writer, 503, arrival, b"", signed=False, **odd)

    async with run_gateway_harness(1, refuse_oddly) as harness:
        assert (await harness.call("/safe/1")).status == 503
        harness.workers["w1"].script = answer_plain
        await asyncio.sleep(1.02 if text == "1, x" else 0.0)
        assert (await harness.call("/safe/2", request_id="a2")).status == 200


async def test_a_stream_is_not_resumed_at_a_resting_upstream():
    # Guards against the next run of a broken stream, which is no new request.
    breaking = make_stream(events=4, break_after=2, pause_s=0.05)
    async with run_gateway_harness(1, breaking) as harness:
        long_rest = make_refusal_with_rest(LONG_REST_S)
        resting = await harness.add_worker("w2", long_rest)
        rotation = harness.gateway.deployment.rotation
        await harness.wait_until(lambda: len(rotation) == 2)
        while not resting.arrivals:
            await harness.call("/stream/1")
        arrived = len(resting.arrivals)
        for number in range(5):
            await harness.call("/stream/1", request_id=f"a{number}")
        assert len(resting.arrivals) == arrived

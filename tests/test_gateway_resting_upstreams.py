"""Tests that upstreams get the rest that they ask for when they refuse."""

from __future__ import annotations

import asyncio
import time

from lab.worker import answer_plain, make_stream, send
from tests.gateway_harness import run_gateway_harness

REST_S = 2.0
MAX_ARRIVALS = 2
"""Number of requests that may reach an upstream between half a second after it
has asked for a rest and the end of that rest."""


async def ask_for_rest(arrival, writer):
    await send(
        writer,
        503,
        arrival,
        b"",
        signed=False,
        Not_Executed="1",
        Retry_After=str(REST_S),
    )


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
        assert number > 20
        assert len(resting.arrivals) - before <= MAX_ARRIVALS

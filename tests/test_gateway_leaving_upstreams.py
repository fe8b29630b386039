"""Tests that upstreams get nothing once they have said that they leave."""

from __future__ import annotations

import asyncio

import pytest

from lab.worker import answer_plain, make_stream
from tests.gateway_harness import make_route, run_gateway_harness

DRAIN_S = 2.0
"""Time in seconds after a departure was stated until it must be in force."""
LEAVING = {"Server-Leaving": "1"}
ROUTES = [
    make_route("safe", Public=True),
    make_route("unsafe", "unsafe", Public=True),
    make_route("stream", "streaming", Public=True, Resumable=True),
]
"""Public routes are served though the store is away."""


async def run_script(arrival, writer):
    script = answer_plain
    if arrival.target.startswith("/stream/"):
        script = make_stream(events=2)
    await script(arrival, writer)


def get_failures(caplog):
    """Returns upstream and reason of each failed attempt, for a failed test."""
    return [
        (record.upstream, record.reason)
        for record in caplog.records
        if record.message == "attempt_failed"
    ]


async def call_often(harness, count, caplog):
    for number in range(count):
        for kind in ("safe", "unsafe", "stream"):
            name = f"a{number}"
            reply = await harness.call(f"/{kind}/{number}", request_id=name)
            assert reply.status == 200, get_failures(caplog)


@pytest.mark.parametrize("outage", ["", "silent"])
async def test_upstream_that_said_it_leaves_gets_nothing(outage, caplog):
    # Guards against requests to an upstream that can't report its departure to
    # the store, or whose entry says otherwise, until it exits.
    async with run_gateway_harness(2, run_script, routes=ROUTES) as harness:
        harness.store.faults.update({"outage": outage})
        leaving = harness.workers["w1"]
        leaving.notices = LEAVING
        await call_often(harness, 5, caplog)
        assert leaving.arrivals
        await asyncio.sleep(DRAIN_S)
        told = len(leaving.arrivals)
        await call_often(harness, 15, caplog)
        assert len(leaving.arrivals) == told

"""Tests what counts as evidence against a new version, over real connections.

The new version answers some requests at once and leaves others without an
answer: what is known of it by its answers alone is good.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json

import pytest

from lab import worker as lab
from tests.gateway_harness import run_gateway_harness
from tests.test_gateway_rollouts import get_status, put_order

SILENCE_S = 30.0
DURATION_S = 5.0


def make_partly_silent(period):
    """Makes a script that is silent on all but each `period`-th request."""
    numbers = itertools.count()

    async def run(arrival, writer):
        if next(numbers) % period:
            await asyncio.sleep(SILENCE_S)
        await lab.answer_plain(arrival, writer)

    return run


def put_share(harness, share):
    record = {
        "State": "in_progress",
        "Target": "v2",
        "Order": harness.store.get_topic("keyed.op").end,
        "Share": share,
    }
    harness.store.append_keyed(
        "keyed.status", "rollout/pool", json.dumps(record).encode()
    )


async def call_and_leave(harness, path, number, patience_s):
    with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(patience_s):
            await harness.call(path, request_id=f"q{number}")


async def run_rollout(harness, path, patience_s):
    """Sends requests until the roll-out is settled or overdue."""
    put_share(harness, 0.4)
    await put_order(harness, duration_s=DURATION_S)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + DURATION_S + 1.0
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            group.create_task(call_and_leave(harness, path, number, patience_s))
            await asyncio.sleep(0.015)
            state = get_status(harness).get("State")
            if state != "in_progress" or loop.time() > end_s:
                return state


@pytest.mark.parametrize(
    ("path", "patience_s"), [("/safe/x", 3.0), ("/unsafe/x", 0.6)]
)
async def test_version_that_leaves_requests_unanswered_is_reverted(
    path, patience_s
):
    # Its fast answers were all that was known of it, and it was completed: an
    # attempt that is given up for another one, and one whose caller left,
    # counted for nothing.
    async with run_gateway_harness() as harness:
        for name in ("n1", "n2", "n3"):
            script = make_partly_silent(3)
            await harness.add_worker(name, script, Version="v2")
        state = await run_rollout(harness, path, patience_s)
        assert state == "reverted"


async def test_version_that_is_slow_within_its_streams_is_reverted():
    # Its answers begin in time, and their events come at a fraction of the
    # usual pace: it was judged by their first events alone.
    async with run_gateway_harness(
        script=lab.make_stream(pause_s=0.01)
    ) as harness:
        for name in ("n1", "n2", "n3"):
            script = lab.make_stream(pause_s=0.12)
            await harness.add_worker(name, script, Version="v2")
        assert await run_rollout(harness, "/stream/x", 3.0) == "reverted"


async def test_good_version_whose_upstreams_crash_is_completed():
    # All requests at an upstream end with it: weighed one by one, the crash of
    # two upstreams would end the roll-out of a good version.
    async with run_gateway_harness() as harness:

        async def answer_slowly(arrival, writer):
            await asyncio.sleep(0.05)
            await lab.answer_plain(arrival, writer)

        for worker in harness.workers.values():
            worker.script = answer_slowly
        for number in range(5):
            await harness.add_worker(f"n{number}", answer_slowly, Version="v2")

        async def crash():
            await asyncio.sleep(0.6 * DURATION_S)
            for name in ("n0", "n1"):
                await harness.workers[name].stop()
                harness.put_entry(name, Version="v2", State="draining")

        crashes = asyncio.ensure_future(crash())
        assert await run_rollout(harness, "/safe/x", 3.0) == "completed"
        await crashes

"""Requests that crash their upstreams, over all their attempts."""

from __future__ import annotations

import asyncio
import contextlib
import time

from lab import worker as lab
from tests.gateway_harness import run_gateway_harness

CRASHING_BODY = b"crash me"
MAX_LOST = 3
"""Upstreams that a request may crash, over all gateways."""
LEARN_S = 3.0
"""Time in seconds within which each gateway must have learned of a crash."""


@contextlib.asynccontextmanager
async def run_crash_harness(workers, gateways=1):
    """Yields a harness whose workers crash under one body."""
    async with run_gateway_harness(workers=0, gateways=gateways) as harness:

        async def run(arrival, writer):
            if arrival.body != CRASHING_BODY:
                await lab.answer_plain(arrival, writer)
                return
            for worker in list(harness.workers.values()):
                if arrival in worker.arrivals:
                    await worker.stop()

        for number in range(workers):
            await harness.add_worker(f"w{number}", run)
        for gateway in harness.gateways:
            await harness.wait_until(
                lambda g=gateway: len(g.deployment.rotation) == workers
            )
        yield harness


async def crash_once(harness, gateway, number):
    """Sends the request on an unsafe route, so that it runs once."""
    return await harness.call(
        "/unsafe/x", gateway, body=CRASHING_BODY, request_id=f"b{number}"
    )


def count_crashes(harness):
    return sum(
        arrival.body == CRASHING_BODY
        for worker in harness.workers.values()
        for arrival in worker.arrivals
    )


async def test_a_request_that_crashes_upstreams_is_stopped_after_three():
    # A request's body crashes each upstream that runs it, and its caller sends
    # it repeatedly under new ids. After the third crash no upstream may
    # receive it, while other requests are still served.
    async with run_crash_harness(workers=6) as harness:
        replies = [
            await harness.call(
                "/safe/x", body=CRASHING_BODY, request_id=f"b{number}"
            )
            for number in range(4)
        ]
        assert count_crashes(harness) == 3
        assert replies[-1].status == 503
        assert "retry-after" not in replies[-1].headers
        good = await harness.call("/safe/x", body=b"fine", request_id="g")
        assert good.status == 200


async def test_a_lost_connection_alone_is_no_crash():
    # The upstream resets each connection but accepts new ones, as after a
    # failure of a network link. The request is not suspected and may be sent
    # again.
    async with run_gateway_harness(script=lab.reset) as harness:
        for number in range(4):
            reply = await harness.call("/safe/x", request_id=f"a{number}")
            assert reply.status == 502
        arrivals = sum(len(w.arrivals) for w in harness.workers.values())
        assert arrivals == 8


async def test_crashes_on_kept_connections_count():
    # Guards against crashes that pass for the close of an idle connection: the
    # request is sent again, the crashed upstream accepts no connection, and
    # the failure looks as if nothing had been sent.
    async with run_crash_harness(workers=6) as harness:
        for number in range(40):
            await harness.call("/safe/y", body=b"fine", request_id=f"a{number}")
        for number in range(4):
            await harness.call(
                "/safe/x", body=CRASHING_BODY, request_id=f"b{number}"
            )
        assert count_crashes(harness) <= MAX_LOST


async def test_copies_at_all_gateways_at_one_moment_start_one_probe():
    # Guards against gateways that each start a probe of the same request,
    # since none has heard of the others' probes.
    async with run_crash_harness(workers=8, gateways=3) as harness:
        for number in range(2):
            await crash_once(harness, 0, number)
        await asyncio.sleep(LEARN_S)
        await asyncio.gather(
            *(
                crash_once(harness, gateway, f"c{gateway}")
                for gateway in range(3)
            )
        )
        assert count_crashes(harness) <= MAX_LOST


async def test_gateways_learn_of_crashes_while_the_store_is_away():
    # Guards against reports that only the store passes on.
    async with run_crash_harness(workers=8, gateways=3) as harness:
        await asyncio.sleep(0.5)
        harness.store.faults.update({"outage": "503"})
        for number in range(MAX_LOST):
            await crash_once(harness, 0, number)
        harness.store.faults.update({"outage": None})
        await asyncio.sleep(0.5)
        await asyncio.gather(
            *(crash_once(harness, gateway, f"c{gateway}") for gateway in (1, 2))
        )
        assert count_crashes(harness) <= MAX_LOST


async def test_gateway_started_later_refuses_what_the_others_refuse():
    # Guards against a new process that lets a refused request run because the
    # store no longer holds the reports.
    async with run_crash_harness(workers=8, gateways=2) as harness:
        for number in range(MAX_LOST):
            await crash_once(harness, 0, number)
        await asyncio.sleep(1.5)
        for topic in harness.store.topics.values():
            topic.delete_records()
        harness.start_another()
        await harness.wait_until(harness.gateways[-1].is_ready)
        await asyncio.sleep(LEARN_S)
        reply = await crash_once(harness, 2, "late")
        assert reply.status == 503
        assert count_crashes(harness) <= MAX_LOST


async def test_probe_that_was_refused_holds_no_copies():
    # Guards against a probe whose end nobody records: each copy of an innocent
    # request would wait for it until its deadline.
    async with run_crash_harness(workers=4) as harness:
        for number in range(2):
            await crash_once(harness, 0, number)
        for worker in harness.workers.values():
            worker.script = lab.refuse
        refusal = await crash_once(harness, 0, "refused")
        assert refusal.status == 503
        for worker in harness.workers.values():
            worker.script = lab.answer_plain
        started_s = time.monotonic()
        reply = await crash_once(harness, 0, "innocent")
        assert reply.status == 200
        assert time.monotonic() - started_s < 1.0


async def test_a_failed_answer_does_not_clear_a_request():
    # Guards against a request that is cleared of its crashes by an upstream
    # that fails it with a status of its own.
    async with run_crash_harness(workers=8) as harness:
        script = harness.workers["w0"].script
        for number in range(2):
            await crash_once(harness, 0, number)
        for worker in harness.workers.values():
            worker.script = lab.fail
        await crash_once(harness, 0, "failed")
        for worker in harness.workers.values():
            worker.script = script
        before = count_crashes(harness)
        for number in range(3):
            await crash_once(harness, 0, f"c{number}")
        assert count_crashes(harness) - before <= MAX_LOST - 2

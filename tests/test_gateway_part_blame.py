"""A part of a prompt that crashes each upstream which begins to answer it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

from lab import worker as lab
from tests.gateway_harness import run_gateway_harness

DEADLY = "dead0001"
FIRST = "f1257000"
"""First part of all prompts here, that of the caller."""
MAX_CRASHES = 5
"""Upstreams that one part may crash, over all gateways."""
LEARN_S = 3.0
"""Time in seconds within which each gateway must have learned of a crash."""
PEERS_S = 1.0
"""Time in seconds within which gateways that have started know each other."""
_numbers = itertools.count()


@contextlib.asynccontextmanager
async def run_part_harness(
    workers, gateways=1, answer=lab.answer_plain, confidence="99"
):
    """Yields a harness whose workers crash once they answer on `DEADLY`.

    They crash a moment after the first event, whoever still reads.
    """
    async with run_gateway_harness(workers=0, gateways=gateways) as harness:

        async def run(arrival, writer):
            if DEADLY not in arrival.headers.get("prefix-hash", ""):
                await answer(arrival, writer)
                return
            head = lab.make_head(
                200,
                arrival,
                Transfer_Encoding="chunked",
                Confidence=confidence,
            )
            event = b"id: 1\ndata: text\n\n"
            writer.write(head + b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
            for worker in list(harness.workers.values()):
                if arrival in worker.arrivals:
                    await worker.stop()

        for number in range(workers):
            await harness.add_worker(f"w{number}", run)
        for gateway in harness.gateways:
            await harness.wait_until(
                lambda g=gateway: len(g.deployment.rotation) == workers
            )
        if gateways > 1:
            await asyncio.sleep(PEERS_S)
        yield harness


def count_crashes(harness):
    return sum(
        any(DEADLY in a.headers.get("prefix-hash", "") for a in w.arrivals)
        for w in harness.workers.values()
    )


async def send(harness, middle, gateway=0, path="/safe/x", **fields):
    """Sends a request that is like no other, with the parts named."""
    number = next(_numbers)
    return await harness.call(
        path,
        gateway,
        body=b"body %d" % number,
        request_id=f"r{number}",
        Prefix_Hash=f"{FIRST}:800,{middle}:100,a{number:07x}:20",
        **fields,
    )


async def send_deadly(harness, gateway=0, path="/safe/x", **fields):
    """Sends such a request; returns None where its stream breaks off."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        return await send(harness, DEADLY, gateway, path, **fields)
    return None


async def check_served(harness, gateways, path="/safe/x", **fields):
    for gateway in range(gateways):
        for middle in (f"b000{gateway}", "b0009"):
            reply = await send(harness, middle, gateway, path, **fields)
            assert (reply.status, reply.is_complete) == (200, True)


async def test_a_part_that_crashes_upstreams_is_refused_and_others_run():
    # Guards against blame that is counted on requests of which no two are
    # alike: each of them crashes upstreams anew.
    async with run_part_harness(workers=12, gateways=2) as harness:
        await check_served(harness, 2)
        for number in range(10):
            reply = await send_deadly(harness, number % 2)
            await check_served(harness, 2)
        assert count_crashes(harness) <= MAX_CRASHES
        assert reply.status == 503
        assert "retry-after" not in reply.headers


async def test_a_part_is_blamed_where_no_first_part_was_answered_before():
    # Guards against the caller's first part being refused for the part beside
    # it, where gateways have just started and have seen no answer on it.
    async with run_part_harness(workers=12, gateways=2) as harness:
        for number in range(8):
            await send_deadly(harness, number % 2)
        assert count_crashes(harness) <= MAX_CRASHES
        await check_served(harness, 2)


async def test_streams_that_break_off_and_go_on_elsewhere_count():
    # Guards against crashes after the first event that count for nothing, and
    # continuations that each crash the next upstream.
    stream = lab.make_stream(events=3)
    path = "/stream/x"
    async with run_part_harness(12, gateways=2, answer=stream) as harness:
        await check_served(harness, 2, path)
        for number in range(8):
            await send_deadly(harness, number % 2, path)
            await check_served(harness, 2, path)
        assert count_crashes(harness) <= MAX_CRASHES


async def test_probes_are_not_dropped_for_a_larger_model():
    # Guards against requests on a suspected part that reach two or three
    # upstreams each, as the answer of the first one is dropped.
    stream = lab.make_stream(events=3, confidence={"small": 10})
    path = "/sized/x"
    async with run_part_harness(14, 2, stream, "10") as harness:
        await check_served(harness, 2, path, Model_Name="*")
        for number in range(8):
            await send_deadly(harness, number % 2, path, Model_Name="*")
        arrivals = sum(
            DEADLY in arrival.headers.get("prefix-hash", "")
            for worker in harness.workers.values()
            for arrival in worker.arrivals
        )
        assert arrivals <= MAX_CRASHES + 1
        await check_served(harness, 2, path, Model_Name="*")


async def test_parts_at_all_gateways_at_one_moment_are_probed_one_by_one():
    # Guards against gateways that each try the same suspected part.
    async with run_part_harness(workers=14, gateways=3) as harness:
        await check_served(harness, 3)
        for _ in range(2):
            await send_deadly(harness, 0, "/unsafe/x")
        await asyncio.sleep(0.5)
        for _ in range(3):
            await asyncio.gather(
                *(send_deadly(harness, number % 3) for number in range(12))
            )
        assert count_crashes(harness) <= MAX_CRASHES
        await check_served(harness, 3)


async def test_gateway_started_later_refuses_the_part():
    # Guards against a new process that learns of requests only.
    async with run_part_harness(workers=12, gateways=2) as harness:
        await check_served(harness, 2)
        for _ in range(6):
            await send_deadly(harness)
        await asyncio.sleep(1.5)
        for topic in harness.store.topics.values():
            topic.delete_records()
        harness.start_another()
        await harness.wait_until(harness.gateways[-1].is_ready)
        await asyncio.sleep(LEARN_S)
        before = count_crashes(harness)
        reply = await send_deadly(harness, 2)
        assert reply is not None
        assert reply.status == 503
        assert count_crashes(harness) == before <= MAX_CRASHES


async def test_gateways_that_all_start_again_learn_the_part_from_the_store():
    # Guards against verdicts that are lost where no gateway is left to tell.
    async with run_part_harness(workers=12) as harness:
        await check_served(harness, 1)
        for _ in range(4):
            await send_deadly(harness)
        await asyncio.sleep(0.5)
        harness.tasks[0].cancel()
        harness.start_another()
        await harness.wait_until(harness.gateways[-1].is_ready)
        await asyncio.sleep(LEARN_S)
        before = count_crashes(harness)
        reply = await send_deadly(harness, 1)
        assert reply is not None
        assert reply.status == 503
        assert count_crashes(harness) == before <= MAX_CRASHES

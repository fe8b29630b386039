"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import asyncio

import pytest

from lab import worker as lab
from lab.worker import StreamEnding
from tests.gateway_harness import make_route, run_gateway_harness
from tests.test_gateway_streams import get_ids

UNFRAMED = (StreamEnding.CLOSED_ORDERLY, StreamEnding.RESET)
HEAD = b"HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n\r\n"


def count_arrivals(harness):
    return sum(len(worker.started) for worker in harness.workers.values())


async def test_unframed_stream_is_complete_and_framed_anew():
    # Guards against streams that callers cannot tell from broken ones.
    script = lab.make_stream(6, ending=StreamEnding.CLOSED_ORDERLY)
    async with run_gateway_harness(script=script) as harness:
        reply = await harness.call("/stream/x", body=b"p")
        assert (get_ids(reply), reply.is_complete) == ([1, 2, 3, 4, 5, 6], True)
        assert reply.headers["transfer-encoding"] == "chunked"
        assert count_arrivals(harness) == 1


@pytest.mark.parametrize("ending", UNFRAMED)
async def test_unframed_stream_that_ends_inside_an_event_is_resumed(ending):
    # Guards against a half event that ends a stream as complete.
    async with run_gateway_harness(workers=0) as harness:
        scripts = [lab.make_stream(6, break_after=2, ending=ending)]

        async def respond(arrival, writer):
            script = scripts.pop() if scripts else lab.make_stream(6)
            await script(arrival, writer)

        for name in ("w1", "w2"):
            await harness.add_worker(name, respond)
        await harness.wait_until(
            lambda: len(harness.gateway.deployment.rotation) == 2
        )
        reply = await harness.call("/stream/x", body=b"p")
        assert (get_ids(reply), reply.is_complete) == ([1, 2, 3, 4, 5, 6], True)


@pytest.mark.parametrize("ending", UNFRAMED)
async def test_unframed_stream_that_broke_off_never_looks_complete(ending):
    # Guards against a stream that may not be resumed and ends as complete.
    script = lab.make_stream(6, break_after=2, ending=ending)
    routes = [make_route("once", "streaming")]
    async with run_gateway_harness(script=script, routes=routes) as harness:
        reply = await harness.call("/once/x", body=b"p")
        assert (get_ids(reply), reply.is_complete) == ([1, 2], False)
        assert count_arrivals(harness) == 1


async def test_unframed_stream_reset_between_events_is_a_break():
    # Guards against a reset after a whole event that counts as an orderly end.
    async def respond(arrival, writer):
        writer.write(HEAD % arrival.request_id.encode())
        writer.write(b"id: 1\ndata: x\n\n")
        await writer.drain()
        await asyncio.sleep(0.05)
        lab.reset_connection(writer)

    routes = [make_route("once", "streaming")]
    async with run_gateway_harness(script=respond, routes=routes) as harness:
        reply = await harness.call("/once/x", body=b"p")
        assert (get_ids(reply), reply.is_complete) == ([1], False)


async def test_unframed_stream_reset_in_the_same_moment_is_a_break():
    # Guards against a reset that is read together with the last event.
    async def respond(arrival, writer):
        writer.write(HEAD % arrival.request_id.encode())
        writer.write(b"id: 1\ndata: x\n\n")
        lab.reset_connection(writer)

    routes = [make_route("once", "streaming")]
    async with run_gateway_harness(script=respond, routes=routes) as harness:
        try:
            reply = await harness.call("/once/x", body=b"p")
        except asyncio.IncompleteReadError:
            return
        assert not (reply.status == 200 and reply.is_complete)


async def test_connection_of_an_unframed_answer_carries_nothing_after_it():
    # Guards against requests that are sent on a connection that has ended.
    connections = []

    async def respond(arrival, writer):
        connections.append(writer)
        writer.write(HEAD % arrival.request_id.encode() + b"whole")
        await writer.drain()
        writer.close()

    async with run_gateway_harness(workers=1, script=respond) as harness:
        for number in range(4):
            reply = await harness.call("/safe/x", request_id=f"a{number}")
            assert (reply.status, reply.body) == (200, b"whole")
            assert reply.headers["content-length"] == "5"
        assert len(set(connections)) == len(connections) == 4
        assert count_arrivals(harness) == 4


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
async def test_unframed_answer_that_is_reset_never_looks_complete(path):
    # Guards against the received part of an answer that passes for the whole.
    async def respond(arrival, writer):
        writer.write(HEAD % arrival.request_id.encode() + b"who")
        await writer.drain()
        await asyncio.sleep(0.03)
        lab.reset_connection(writer)

    async with run_gateway_harness(script=respond) as harness:
        assert (await harness.call(path)).status >= 500


@pytest.mark.parametrize("path", ["/stream/x", "/once/x"])
async def test_unframed_stream_without_an_event_never_looks_complete(path):
    # Guards against an upstream whose process ends after the head of its
    # answer, with an orderly close, and an empty stream that passes for whole.
    async def respond(arrival, writer):
        writer.write(HEAD % arrival.request_id.encode())
        await writer.drain()
        writer.close()

    stream = make_route("stream", "streaming", Resumable=True)
    routes = [stream, make_route("once", "streaming")]
    async with run_gateway_harness(script=respond, routes=routes) as harness:
        reply = await harness.call(path, body=b"p")
        assert not (reply.status == 200 and reply.is_complete)


async def test_unframed_stream_that_is_resumed_after_its_last_event_is_whole():
    # Guards against a break that is seen in a stream with nothing left to send.
    script = lab.make_stream(6, ending=StreamEnding.CLOSED_ORDERLY)
    async with run_gateway_harness(script=script) as harness:
        reply = await harness.call("/stream/x", body=b"p", Last_Event_Id="6")
        assert (get_ids(reply), reply.is_complete) == ([], True)
        assert count_arrivals(harness) == 1

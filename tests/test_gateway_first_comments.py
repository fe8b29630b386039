"""Comments that an upstream sends ahead of a stream's first event."""

from __future__ import annotations

import asyncio

from lab import worker as lab
from tests.gateway_harness import run_gateway_harness
from tests.test_gateway_streams import get_ids

COMMENT = b": wait\n\n"
EVENTS = 3


def send_chunk(writer, data):
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def make_script(comments, then, pause_s=0.0):
    """Makes a script that sends comments and then ends by another one."""

    async def respond(arrival, writer):
        head = {"Content_Type": "text/event-stream"}
        framing = {"Transfer_Encoding": "chunked"}
        writer.write(lab.make_head(200, arrival, True, **framing, **head))
        for _ in range(comments):
            send_chunk(writer, COMMENT)
            await writer.drain()
            await asyncio.sleep(pause_s)
        await then(arrival, writer)

    return respond


async def send_events(arrival, writer):
    for number in range(1, EVENTS + 1):
        send_chunk(writer, b"id: %d\ndata: x\n\n" % number)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def call_two(first, second):
    """Sends a stream request before two upstreams; `first` answers first."""
    async with run_gateway_harness(workers=0) as harness:
        scripts = [second, first]

        async def respond(arrival, writer):
            await (scripts.pop() if scripts else second)(arrival, writer)

        await harness.add_worker("w1", respond)
        await harness.add_worker("w2", respond)
        await harness.wait_until(
            lambda: len(harness.gateway.deployment.rotation) == 2
        )
        return await harness.call("/stream/x", body=b"p", Model_Name="m")


async def test_stream_cut_after_comments_is_answered_by_another_upstream():
    # Guards against a cut that reaches the caller though nothing but comments
    # did: the other upstream's answer began as the rest of a broken one.
    cut = make_script(2, lab.reset, pause_s=0.02)
    reply = await call_two(cut, lab.make_stream(EVENTS))
    assert (reply.status, reply.is_complete) == (200, True)
    assert get_ids(reply) == [1, 2, 3]
    assert COMMENT not in reply.body


async def test_comments_reach_the_caller_ahead_of_the_first_event():
    script = make_script(2, send_events)
    reply = await call_two(script, script)
    assert reply.body.startswith(2 * COMMENT + b"id: 1\n")
    assert get_ids(reply) == [1, 2, 3]
    assert reply.is_complete


async def test_stream_of_comments_alone_is_complete():
    async def finish(arrival, writer):
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    script = make_script(1, finish)
    reply = await call_two(script, script)
    assert (reply.body, reply.is_complete) == (COMMENT, True)


async def test_comments_do_not_prolong_the_wait_for_the_first_event():
    # Guards against an upstream that keeps its caller waiting by comments.
    mute = make_script(20, lab.hang, pause_s=0.1)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    reply = await call_two(mute, lab.make_stream(EVENTS))
    assert get_ids(reply) == [1, 2, 3]
    assert loop.time() - began_s < 1.5

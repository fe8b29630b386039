"""Requests around the planned stop of a gateway process."""

from __future__ import annotations

import asyncio

from lab import worker as lab
from tests.gateway_harness import make_request, make_route, read_reply
from tests.test_gateway_process import run_gateway_process

STREAM = lab.make_stream(30, pause_s=0.1)
STOP_6_S = "Bounds.GraceS=6"
STOP_3_S = "Bounds.GraceS=3"
TERM_DELAY_S = 0.3


def make_script(answer_s):
    """Makes a script that streams, and answers plain requests later."""

    async def run(arrival, writer):
        if arrival.target.startswith("/stream/"):
            await STREAM(arrival, writer)
            return
        await asyncio.sleep(answer_s)
        await lab.answer_plain(arrival, writer)

    return run


def get_ids(harness):
    return [a.request_id for w in harness.workers.values() for a in w.arrivals]


ROUTES = [
    make_route("stream", "streaming", Resumable=True, TimeoutMs=9000),
    make_route("unsafe", "unsafe", TimeoutMs=9000),
]


async def set_routes(harness):
    """Gives the routes more time than a stop has."""
    harness.put_configuration(version=2, routes=ROUTES)
    await asyncio.sleep(0.5)


async def begin_stream_and_stop(harness):
    """Starts a stream, then the stop; returns the connection and the stop."""
    await set_routes(harness)
    reader, writer = await harness.connect()
    writer.write(make_request("/stream/x", request_id="first"))
    await reader.readuntil(b"id: 2")
    return reader, writer, asyncio.ensure_future(harness.stop_process())


async def call_while_stopping(harness, path, **fields):
    """Sends a request, then SIGTERM; returns the reply and the log lines."""
    reply = asyncio.ensure_future(harness.call(path, **fields))
    await asyncio.sleep(TERM_DELAY_S)
    assert await harness.stop_process() == 0
    lines = (await harness.process.stdout.read()).decode().splitlines()
    return await reply, lines


async def test_request_that_outlasts_the_stop_is_refused(tmp_path):
    # After a stream that began before the SIGTERM, its caller sends a request
    # that may take longer than the process has left. It was run and cut off.
    async with run_gateway_process(
        tmp_path, make_script(3.0), STOP_6_S
    ) as harness:
        reader, writer, stopping = await begin_stream_and_stop(harness)
        await reader.readuntil(b"0\r\n\r\n")
        writer.write(make_request("/unsafe/x", request_id="late"))
        reply = await read_reply(reader)
        assert reply.status == 503
        assert reply.headers["connection"] == "close"
        assert "retry-after" in reply.headers
        assert await stopping == 0
        assert get_ids(harness) == ["first"]


async def test_request_that_ends_before_the_stop_is_answered(tmp_path):
    # The same with a deadline well before the end of the process: a refusal
    # would be needless.
    async with run_gateway_process(
        tmp_path, make_script(0.3), STOP_6_S
    ) as harness:
        reader, writer, stopping = await begin_stream_and_stop(harness)
        await reader.readuntil(b"0\r\n\r\n")
        writer.write(make_request("/unsafe/x", Deadline_Ms="1000"))
        reply = await read_reply(reader)
        assert reply.status == 200
        assert reply.headers["connection"] == "close"
        assert await stopping == 0


async def test_answer_after_the_signal_tells_the_caller_to_leave(tmp_path):
    # The request was read before the SIGTERM, its answer is sent after it. A
    # caller that is not told to leave goes on with the connection until it is
    # closed.
    async with run_gateway_process(tmp_path, make_script(1.0)) as harness:
        reply, _ = await call_while_stopping(harness, "/unsafe/x")
        assert reply.status == 200
        assert reply.headers["connection"] == "close"


async def test_plain_request_open_at_the_end_is_answered(tmp_path):
    # A worker takes longer than the stop. The caller's connection was closed
    # without an answer.
    async with run_gateway_process(tmp_path, lab.hang, STOP_3_S) as harness:
        reply, lines = await call_while_stopping(
            harness, "/unsafe/x", request_id="open"
        )
        assert reply.status == 502
        assert reply.headers["connection"] == "close"
        (end,) = [line for line in lines if "event=request_ended" in line]
        assert "outcome=stopped" in end
        assert "status=502" in end


async def test_stream_without_a_head_at_the_end_is_answered(tmp_path):
    # The same for a stream of which the caller has received nothing.
    route = make_route("stream", "streaming", TimeoutMs=9000)
    async with run_gateway_process(tmp_path, lab.hang, STOP_3_S) as harness:
        harness.put_configuration(version=2, routes=[route])
        await asyncio.sleep(0.5)
        reply, lines = await call_while_stopping(harness, "/stream/x")
        assert reply.status == 502
        assert reply.is_complete
        (end,) = [line for line in lines if "event=request_ended" in line]
        assert "outcome=stopped" in end


async def test_half_read_request_at_the_end_is_refused(tmp_path):
    # The caller has sent half of its body when the process ends. Its connection
    # was closed without a refusal.
    async with run_gateway_process(tmp_path, None, STOP_3_S) as harness:
        reader, writer = await harness.connect()
        request = make_request("/unsafe/x", body=b"0123456789")
        writer.write(request[:-5])
        await asyncio.sleep(TERM_DELAY_S)
        stopping = asyncio.ensure_future(harness.stop_process())
        reply = await asyncio.wait_for(read_reply(reader), 8.0)
        assert reply.status == 503
        assert "retry-after" in reply.headers
        assert await stopping == 0
        lines = (await harness.process.stdout.read()).decode().splitlines()
        assert any("event=message_refused" in line for line in lines)


async def test_request_half_read_at_the_signal_is_read_on(tmp_path):
    # Connections without a request are closed while the rest of this request
    # is still to come; it must be read and answered.
    async with run_gateway_process(tmp_path, None) as harness:
        await set_routes(harness)
        reader, writer = await harness.connect()
        request = make_request("/unsafe/x", body=b"0123456789")
        writer.write(request[:-5])
        await asyncio.sleep(TERM_DELAY_S)
        stopping = asyncio.ensure_future(harness.stop_process())
        await asyncio.sleep(3.0)
        writer.write(request[-5:])
        reply = await asyncio.wait_for(read_reply(reader), 4.0)
        assert reply.status == 200
        assert reply.headers["connection"] == "close"
        assert await stopping == 0

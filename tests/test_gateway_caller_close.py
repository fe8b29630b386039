"""Requests that cross the gateway's close of a caller's connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

from lab.caller import make_request, read_reply
from lovagestage.gateway import server
from lovagestage.gateway.configuration import ClientLimits
from lovagestage.gateway.listeners import open_listener
from tests.gateway_harness import get_free_port

IDLE_TIMEOUT_S = 1.0


@contextlib.asynccontextmanager
async def run_caller_server(handler, **limits):
    """Yields a server and a connection that has just been accepted."""
    listener = open_listener(f"127.0.0.1:{get_free_port()}")
    caller_server = server.CallerServer(handler, lambda: ClientLimits(**limits))
    await caller_server.open(listener)
    sock = socket.create_connection(listener.getsockname())
    reader, writer = await asyncio.open_connection(sock=sock)
    writer.write(make_request("/x"))
    await read_reply(reader)
    try:
        yield caller_server, reader, writer
    finally:
        writer.close()
        caller_server.close()


async def answer(_request, connection):
    await connection.send_text(200, "done")


async def test_request_that_arrived_before_an_idle_close_is_answered():
    # Idle connections are closed while the bytes of a request are in the
    # socket's buffer, not read yet. The request was lost.
    async with run_caller_server(answer) as (caller_server, reader, writer):
        await asyncio.sleep(0.5)
        writer.write(make_request("/x"))
        caller_server.close_idle()
        reply = await asyncio.wait_for(read_reply(reader), 2.0)
        assert reply.status == 200


async def test_request_that_arrives_at_the_idle_timeout_is_answered():
    # The bytes of a request and the end of the idle time are handled in the
    # same turn of the loop, as after a stall. The request was lost.
    async with run_caller_server(answer, idle_timeout_s=IDLE_TIMEOUT_S) as (
        _,
        reader,
        writer,
    ):
        await asyncio.sleep(IDLE_TIMEOUT_S / 2)
        writer.write(make_request("/x"))
        time.sleep(0.7 * IDLE_TIMEOUT_S)  # noqa: ASYNC251
        reply = await asyncio.wait_for(read_reply(reader), 2.0)
        assert reply.status == 200


async def test_next_request_right_after_an_answer_is_not_cut_off():
    # A caller whose answer did not tell it to leave sends its next request
    # immediately. Its connection was closed in between.
    async with run_caller_server(answer) as (caller_server, reader, writer):
        caller_server.is_draining = True
        caller_server.close_idle()
        await asyncio.sleep(0.02)
        writer.write(make_request("/x"))
        reply = await asyncio.wait_for(read_reply(reader), 2.0)
        assert reply.status == 200
        assert reply.headers["connection"] == "close"


async def test_answer_that_was_not_sent_completely_counts_as_open():
    # A slow reader has not received the end of its answer, which waits in the
    # process. The process ended with it.
    async def answer_long(_request, connection):
        transport = connection.channel._transport
        transport.set_write_buffer_limits(high=64 * 1024 * 1024)
        await connection.send_text(200, "x" * 32 * 1024 * 1024)

    async with run_caller_server(answer) as (caller_server, reader, writer):
        caller_server._handler = answer_long
        writer.write(make_request("/x"))
        await asyncio.sleep(0.3)
        assert caller_server.open_requests == 1
        caller_server.is_draining = True
        caller_server.close()
        assert caller_server.open_requests == 1
        reply = await asyncio.wait_for(read_reply(reader), 8.0)
        assert len(reply.body) == 32 * 1024 * 1024
        assert caller_server.open_requests == 0


async def test_request_whose_handler_fails_is_answered():
    # An unexpected error ends the work on a request. Its caller's connection
    # was closed without an answer.
    async def fail(_request, _connection):
        raise KeyError("no such service")

    async with run_caller_server(answer) as (caller_server, reader, writer):
        caller_server._handler = fail
        writer.write(make_request("/x"))
        reply = await asyncio.wait_for(read_reply(reader), 2.0)
        assert reply.status == 502
        assert reply.headers["connection"] == "close"

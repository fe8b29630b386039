"""An answer that names no request is not taken for a request's own."""

from __future__ import annotations

import asyncio

import pytest

from lab import worker as lab
from tests.gateway_harness import run_gateway_harness

STRAY = b"HTTP/1.1 400 Bad Request\r\n\r\n"
SIZED_STRAY = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("stray", [STRAY, SIZED_STRAY], ids=["bare", "sized"])
async def test_stray_answer_on_a_kept_connection_ends_no_request(stray):
    # Bytes that an upstream sent late after a complete answer came where the
    # next answer was expected, and the next caller got them as its own.
    async def respond(arrival, writer):
        if getattr(writer.transport, "has_answered", False):
            writer.write(stray)
        writer.transport.has_answered = True
        await lab.send(writer, 200, arrival, arrival.request_id.encode())

    async with run_gateway_harness(workers=1, script=respond) as harness:
        for number in range(12):
            name = f"a{number}"
            reply = await harness.call("/safe/x", request_id=name, body=b"b")
            assert (reply.status, reply.body) == (200, name.encode())


async def test_refusal_without_an_id_on_a_new_connection_is_a_proof():
    # Nothing else has been sent on the connection that it could answer.
    async def respond(arrival, writer):
        writer.write(
            b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        await writer.drain()

    async with run_gateway_harness(workers=2, script=respond) as harness:
        assert (await harness.call("/unsafe/x")).status == 503


async def test_refusal_with_the_id_is_still_a_proof():
    async with run_gateway_harness(workers=1, script=lab.refuse) as harness:
        assert (await harness.call("/unsafe/x")).status == 503


async def test_answer_without_an_id_goes_to_a_request_without_one():
    # An upstream refuses a request without an id, and has none to name.
    async def respond(arrival, writer):
        assert not arrival.request_id
        writer.write(SIZED_STRAY)
        await writer.drain()

    async with run_gateway_harness(workers=1, script=respond) as harness:
        reader, writer = await harness.connect()
        writer.write(
            b"POST /open/x HTTP/1.1\r\nHost: ficu95.example\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        line = await asyncio.wait_for(reader.readline(), 3.0)
        assert b" 400 " in line
        writer.close()

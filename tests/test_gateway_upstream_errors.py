"""An error of an upstream's connection is never taken for its caller's."""

from __future__ import annotations

import asyncio

import h11
import pytest

from lab import worker as lab
from lab.caller import read_reply
from lovagestage.exceptions import (
    AttemptFailedError,
    UpstreamConnectionError,
    UpstreamMessageError,
)
from lovagestage.types import RunState
from tests.gateway_harness import KEY, make_request, run_gateway_harness
from tests.test_gateway_caller_close import run_caller_server


def make_body_request(request_id, framing, path="/safe/x"):
    """Encodes a request whose body is framed in one of several ways."""
    head, body = {
        "length": ("Content-Length: 4\r\n", b"body"),
        "long": ("Content-Length: 60000\r\n", b"b" * 60000),
        "chunked": (
            "Transfer-Encoding: chunked\r\n",
            b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
        ),
        "empty": ("Content-Length: 0\r\n", b""),
        "expect": ("Content-Length: 4\r\nExpect: 100-continue\r\n", b"body"),
    }[framing]
    lines = (
        f"POST {path} HTTP/1.1\r\nHost: ficu95.example\r\n"
        f"Attempt-Id: {request_id}\r\nDeadline-Ms: 4000\r\n"
        f"Authorization: Token {KEY}\r\n{head}\r\n"
    )
    return lines.encode() + body


async def read_final_reply(reader):
    reply = await asyncio.wait_for(read_reply(reader), 4.0)
    return reply if reply.status >= 200 else await read_final_reply(reader)


async def answer_late_twice(arrival, writer):
    """Answers the request before once more ahead of this one."""
    server = writer.transport
    earlier = getattr(server, "earlier_arrival", None)
    if earlier is not None:
        await lab.send(writer, 200, earlier, b"late")
    server.earlier_arrival = arrival
    await lab.send(writer, 200, arrival, arrival.request_id.encode())


@pytest.mark.parametrize(
    "framing", ["length", "long", "chunked", "empty", "expect"]
)
async def test_late_second_answer_before_a_body_loses_no_request(framing):
    # A late second answer to an earlier request made the gateway close the
    # connection of the next caller, whose request has a body.
    script = answer_late_twice
    async with run_gateway_harness(workers=1, script=script) as harness:
        reader, writer = await harness.connect()
        for number in range(3):
            name = f"a{number}"
            writer.write(make_body_request(name, framing))
            reply = await read_final_reply(reader)
            assert (reply.status, reply.body) == (200, name.encode())
        assert harness.workers["w1"].connections == 1
        writer.close()


@pytest.mark.parametrize(
    "error",
    [
        UpstreamConnectionError("reset"),
        UpstreamMessageError("nonsense"),
        h11.LocalProtocolError("state"),
        AttemptFailedError("silent", RunState.UNKNOWN),
        ValueError("unforeseen"),
    ],
    ids=lambda error: type(error).__name__,
)
async def test_error_of_an_attempt_does_not_end_its_callers_connection(error):
    # An error that came up at an upstream's connection, and that nothing had
    # expected there, closed the caller's connection without an answer.
    async def fail(_request, connection):
        if not failed:
            failed.append(True)
            await connection.send_text(200, "first")
            return
        raise error

    failed = []
    async with run_caller_server(fail) as (_, reader, writer):
        writer.write(make_request("/x"))
        assert (await read_final_reply(reader)).status == 502
        writer.close()

"""Caller requests that must not be forwarded, and the gateway's answers."""

from __future__ import annotations

import asyncio

import pytest

from lab import worker as lab
from lovagestage.gateway import caller_connection
from tests.gateway_harness import (
    HOST,
    KEY,
    make_request,
    read_reply,
    run_gateway_harness,
)

HEAD = f"Host: {HOST}\r\nAttempt-Id: a1\r\nAuthorization: Token {KEY}\r\n"


async def send_raw(harness, data):
    reader, writer = await harness.connect()
    writer.write(data)
    try:
        reply = await asyncio.wait_for(read_reply(reader), 4.0)
        rest = await asyncio.wait_for(reader.read(), 4.0)
        return reply, rest
    finally:
        writer.close()


def count_arrivals(harness):
    return sum(len(w.arrivals) for w in harness.workers.values())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /safe/x HTTP/1.1\r\n\r\n", 400),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n".encode(), 400),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 3\r\n"
         "Content-Length: 4\r\n\r\nabcd".encode(), 400),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n"
         "\r\nzz\r\n".encode(), 400),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}Transfer-Encoding: gzip\r\n"
         "\r\n".encode(), 501),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}Authorization: Token b\r\n"
         "\r\n".encode(), 400),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}X: {'y' * 20_000}\r\n"
         "\r\n".encode(), 431),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 70000\r\n"
         f"\r\n{'y' * 70_000}".encode(), 413),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}".encode(), 408),
    ],
)  # fmt: skip
async def test_rejects_malformed_requests(data, status):
    # The cases are: bytes that are not HTTP, a missing host, two lengths, a
    # length together with chunks, invalid chunks, an unknown transfer coding,
    # two keys, a head or body that is too long, and a head that does not end.
    # An upstream must not receive any of these requests, and bytes that follow
    # on the connection must not be read as a request.
    async with run_gateway_harness(workers=1) as harness:
        reply, rest = await send_raw(harness, data)
        assert reply.status == status
        assert reply.headers["connection"] == "close"
        assert rest == b""
        assert count_arrivals(harness) == 0


async def test_request_inside_a_body_is_not_run():
    # Guards against request smuggling: the body contains a complete request. If
    # the body's length is honoured, it reaches the upstream as a body and never
    # as a request of its own.
    async with run_gateway_harness(workers=1) as harness:
        inner = make_request("/unsafe/y", request_id="inner")
        reply = await harness.call("/safe/x", body=inner)
        assert reply.status == 200
        arrivals = harness.workers["w1"].arrivals
        assert [a.request_id for a in arrivals] == ["a1"]
        assert arrivals[0].body == inner


async def test_chunked_bodies_arrive_whole():
    async with run_gateway_harness(workers=1) as harness:
        reader, writer = await harness.connect()
        head = make_request("/safe/x", Transfer_Encoding="chunked")
        writer.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert (await read_reply(reader)).status == 200
        assert harness.workers["w1"].arrivals[0].body == b"abcde"
        writer.close()


async def test_pipelined_requests_are_answered_in_order():
    async with run_gateway_harness(workers=1) as harness:
        reader, writer = await harness.connect()
        # The second request is sent before the first one is answered.
        writer.write(make_request("/safe/x", request_id="a1"))
        writer.write(make_request("/safe/x", request_id="a2"))
        for name in ("a1", "a2"):
            reply = await read_reply(reader)
            assert reply.headers["attempt-id"] == name
        writer.close()


async def test_idle_connection_stays_open_while_callers_may_reuse_it():
    # Callers reuse a connection that was idle for up to four fifths of the
    # limit. If the gateway closed it at that moment, their request would be
    # lost.
    async with run_gateway_harness(workers=1) as harness:
        reader, writer = await harness.connect()
        writer.write(make_request("/safe/x", request_id="a1"))
        await read_reply(reader)
        await asyncio.sleep(1.6)
        writer.write(make_request("/safe/x", request_id="a2"))
        assert (await read_reply(reader)).status == 200
        assert await asyncio.wait_for(reader.read(), 4.0) == b""
        writer.close()


@pytest.mark.parametrize(("key", "status"), [("wrong", 401), (None, 401)])
async def test_refuses_unknown_keys(key, status):
    async with run_gateway_harness(workers=1) as harness:
        assert (await harness.call("/safe/x", key=key)).status == status
        assert count_arrivals(harness) == 0


async def test_public_routes_need_no_key():
    async with run_gateway_harness(workers=1) as harness:
        assert (await harness.call("/open/x", key=None)).status == 200
        headers = harness.workers["w1"].arrivals[0].headers
        assert "tenant-id" not in headers


async def send_slowly(harness, chunks, pause_s):
    """Sends a body in chunks until there is an answer; returns its status."""
    reader, writer = await harness.connect()
    body = b"y" * 100 * chunks
    request = make_request("/safe/x", method="POST", body=body)
    writer.write(request[: -len(body)])
    answer = asyncio.ensure_future(read_reply(reader))
    for _ in range(chunks):
        await asyncio.wait((answer,), timeout=pause_s)
        if answer.done():
            break
        writer.write(b"y" * 100)
    reply = await asyncio.wait_for(answer, 8.0)
    writer.close()
    return reply.status


async def test_slow_caller_may_send_its_whole_body(monkeypatch):
    # Guards against a caller on a narrow link whose body is refused again and
    # again because it takes long, although the caller's deadline has not
    # passed.
    monkeypatch.setattr(caller_connection, "BODY_INACTIVITY_TIMEOUT_S", 0.3)
    async with run_gateway_harness() as harness:
        assert await send_slowly(harness, 8, 0.1) == 200


async def test_caller_that_stalls_within_its_body_is_refused(monkeypatch):
    monkeypatch.setattr(caller_connection, "BODY_INACTIVITY_TIMEOUT_S", 0.3)
    async with run_gateway_harness() as harness:
        assert await send_slowly(harness, 2, 0.6) == 408


@pytest.mark.parametrize(
    ("path", "key", "workers", "status"),
    [
        ("/safe/x", "unknown", 1, 401),
        ("/nowhere/x", KEY, 1, 404),
        ("/safe/x", KEY, 0, 503),
    ],
)
async def test_refused_request_for_a_head_alone_gets_an_answer(
    path, key, workers, status
):
    # The refusal's text is no part of it: its connection ended without an
    # answer.
    async with run_gateway_harness(workers) as harness:
        reader, writer = await harness.connect()
        for number in range(2):
            request = make_request(
                path, method="HEAD", key=key, request_id=f"h{number}"
            )
            writer.write(request)
            async with asyncio.timeout(6.0):
                head = await reader.readuntil(b"\r\n\r\n")
            assert f" {status} ".encode() in head
        writer.close()


async def test_answer_to_a_request_for_a_head_alone_keeps_its_length():
    async def answer(arrival, writer):
        writer.write(lab.make_head(200, arrival, Content_Length="70"))
        await writer.drain()

    async with run_gateway_harness(1, script=answer) as harness:
        reader, writer = await harness.connect()
        writer.write(make_request("/safe/x", method="HEAD"))
        async with asyncio.timeout(4.0):
            head = await reader.readuntil(b"\r\n\r\n")
        assert b"content-length: 70\r\n" in head.lower()
        writer.close()

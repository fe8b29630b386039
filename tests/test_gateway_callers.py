"""What callers send that must not be passed on, and how it is answered."""

from __future__ import annotations

import asyncio

import pytest

from lovagestage.gateway import server
from tests.gateway_stage import (
    HOST,
    KEY,
    make_request,
    read_reply,
    run_stage,
)

HEAD = f"Host: {HOST}\r\nAttempt-Id: a1\r\nAuthorization: Token {KEY}\r\n"


async def send_raw(stage, data):
    reader, writer = await stage.connect()
    writer.write(data)
    try:
        reply = await asyncio.wait_for(read_reply(reader), 4.0)
        rest = await asyncio.wait_for(reader.read(), 4.0)
        return reply, rest
    finally:
        writer.close()


def count_arrivals(stage):
    return sum(len(w.arrivals) for w in stage.workers.values())


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
async def test_refuses_what_is_no_proper_request(data, status):
    # Not HTTP, no host, two lengths, a length and chunks, bad chunks, an
    # unknown coding, two keys, a head or body that is too long, a head that
    # does not end. An upstream must get none of it, and what follows on the
    # connection belongs to no request.
    async with run_stage(workers=1) as stage:
        reply, rest = await send_raw(stage, data)
        assert reply.status == status
        assert reply.headers["connection"] == "close"
        assert rest == b""
        assert count_arrivals(stage) == 0


async def test_a_request_within_a_body_stays_in_it():
    # The body holds a whole request. With the body's length honoured it
    # reaches the upstream as a body and never as a request.
    async with run_stage(workers=1) as stage:
        inner = make_request("/unsafe/y", request_id="inner")
        reply = await stage.call("/safe/x", body=inner)
        assert reply.status == 200
        arrivals = stage.workers["w1"].arrivals
        assert [a.request_id for a in arrivals] == ["a1"]
        assert arrivals[0].body == inner


async def test_chunked_bodies_arrive_whole():
    async with run_stage(workers=1) as stage:
        reader, writer = await stage.connect()
        head = make_request("/safe/x", Transfer_Encoding="chunked")
        writer.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert (await read_reply(reader)).status == 200
        assert stage.workers["w1"].arrivals[0].body == b"abcde"
        writer.close()


async def test_requests_follow_each_other_on_a_connection():
    async with run_stage(workers=1) as stage:
        reader, writer = await stage.connect()
        # The second one is sent before the first one is answered.
        writer.write(make_request("/safe/x", request_id="a1"))
        writer.write(make_request("/safe/x", request_id="a2"))
        for name in ("a1", "a2"):
            reply = await read_reply(reader)
            assert reply.headers["attempt-id"] == name
        writer.close()


async def test_an_idle_connection_is_kept_for_the_time_that_callers_reuse_it():
    # Callers reuse a connection that was idle for four fifths of the limit;
    # a close at that moment would lose their request.
    async with run_stage(workers=1) as stage:
        reader, writer = await stage.connect()
        writer.write(make_request("/safe/x", request_id="a1"))
        await read_reply(reader)
        await asyncio.sleep(1.6)
        writer.write(make_request("/safe/x", request_id="a2"))
        assert (await read_reply(reader)).status == 200
        assert await asyncio.wait_for(reader.read(), 4.0) == b""
        writer.close()


@pytest.mark.parametrize(("key", "status"), [("wrong", 401), (None, 401)])
async def test_refuses_unknown_keys(key, status):
    async with run_stage(workers=1) as stage:
        assert (await stage.call("/safe/x", key=key)).status == status
        assert count_arrivals(stage) == 0


async def test_public_routes_need_no_key():
    async with run_stage(workers=1) as stage:
        assert (await stage.call("/open/x", key=None)).status == 200
        headers = stage.workers["w1"].arrivals[0].headers
        assert "tenant-id" not in headers


async def send_slowly(stage, parts, pause_s):
    """Sends a body in parts until there is an answer; returns its status."""
    reader, writer = await stage.connect()
    body = b"y" * 100 * parts
    request = make_request("/safe/x", method="POST", body=body)
    writer.write(request[: -len(body)])
    answer = asyncio.ensure_future(read_reply(reader))
    for _ in range(parts):
        await asyncio.wait((answer,), timeout=pause_s)
        if answer.done():
            break
        writer.write(b"y" * 100)
    reply = await asyncio.wait_for(answer, 8.0)
    writer.close()
    return reply.status


async def test_caller_that_sends_slowly_has_its_time(monkeypatch):
    # Guards against a caller on a narrow link whose body is refused for the
    # time that it takes, again and again, though its deadline is not over.
    monkeypatch.setattr(server, "BODY_INACTIVITY_TIMEOUT_S", 0.3)
    async with run_stage() as stage:
        assert await send_slowly(stage, 8, 0.1) == 200


async def test_caller_that_stalls_within_its_body_is_refused(monkeypatch):
    monkeypatch.setattr(server, "BODY_INACTIVITY_TIMEOUT_S", 0.3)
    async with run_stage() as stage:
        assert await send_slowly(stage, 2, 0.6) == 408

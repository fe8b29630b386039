"""Plain requests through a gateway to faulty workers."""

from __future__ import annotations

import asyncio

import pytest

from lab import worker as lab
from tests.gateway_harness import KEY, run_gateway_harness

FORGED_HEADERS = {
    "Tenant_Id": "other",
    "Pin_Ms": "4000",
    "Kv_From": "1.2.3.4:5/x",
    "Kv_Replica": "1.2.3.4:5",
    "Reservation": "r1",
    "Expected_Instance": "w9",
    "Request_Priority": "0",
    "Connection": "X-Drop",
    "X-Drop": "1",
    "X-Keep": "1",
}


async def get_only_worker(harness):
    started_workers = [w for w in harness.workers.values() if w.started]
    assert len(started_workers) == 1
    return started_workers[0]


def count_runs(harness):
    return sum(len(w.started) for w in harness.workers.values())


async def test_forwards_answer_unchanged():
    async with run_gateway_harness() as harness:
        reply = await harness.call("/safe/x?y=1", body=b"text")
        worker = await get_only_worker(harness)
        arrival = worker.arrivals[0]
        assert (reply.status, reply.body) == (200, b"done")
        assert reply.headers["response-signature"] == lab.SIGNATURE
        assert (arrival.method, arrival.target) == ("POST", "/safe/x?y=1")
        assert arrival.body == b"text"
        assert arrival.headers["attempt-id"] == "a1"
        assert arrival.headers["expected-instance"] == worker.instance
        assert 3000 > int(arrival.headers["deadline-ms"]) > 2500


async def test_sets_its_own_headers_whatever_the_caller_sends():
    # A caller forges headers that only the system may set. The upstream must
    # get the workspace of the key, but neither the key nor any forged value:
    # forged values would reserve or copy the memory of other requests.
    async with run_gateway_harness(workers=1) as harness:
        await harness.call("/safe/x", body=b"t", **FORGED_HEADERS)
        headers = harness.workers["w1"].arrivals[0].headers
        assert headers["tenant-id"] == "clinic"
        assert headers["request-priority"] == "2"
        assert headers["expected-instance"] == "w1"
        assert headers["x-keep"] == "1"
        for name in ("pin-ms", "kv-from", "kv-replica", "reservation"):
            assert name not in headers
        assert "x-drop" not in headers
        assert KEY not in str(headers)


@pytest.mark.parametrize("script", [lab.reset, lab.fail, lab.hang])
async def test_retries_safe_request_at_another_upstream(script):
    # The first upstream resets the connection, fails or sends nothing. The
    # request may run again, so the caller must get the other upstream's answer.
    async with run_gateway_harness(workers=0) as harness:
        scripts = [script]

        async def respond(arrival, writer):
            await (scripts.pop() if scripts else lab.answer_plain)(
                arrival, writer
            )

        await harness.add_worker("w1", respond)
        await harness.add_worker("w2", respond)
        await harness.wait_until(
            lambda: len(harness.gateway.deployment.rotation) == 2
        )
        reply = await harness.call("/safe/x")
        assert (reply.status, count_runs(harness)) == (200, 2)


async def test_logs_each_failed_answer_and_next_step(caplog):
    # Both upstreams answer with a failure. The first answer is followed by a
    # retry and the second one is forwarded; each must have its own log line.
    async with run_gateway_harness(workers=2, script=lab.fail) as harness:
        reply = await harness.call("/safe/x")
        assert reply.status == 500
    lines = [r for r in caplog.records if r.message == "answer_failed"]
    assert [r.next for r in lines] == ["repeat", "pass_on"]
    assert {r.upstream for r in lines} == {"w1", "w2"}
    assert {r.status for r in lines} == {500}


@pytest.mark.parametrize(
    ("script", "status"), [(lab.reset, 502), (lab.fail, 500)]
)
async def test_never_retries_unsafe_request(script, status):
    # The upstream resets the connection after it received the request, or it
    # fails. The request may have run, so it must not be sent to another
    # upstream, and the answer must not state that it has not run.
    async with run_gateway_harness(script=script) as harness:
        reply = await harness.call("/unsafe/x", body=b"pay")
        assert (reply.status, count_runs(harness)) == (status, 1)


async def test_unsafe_request_gets_a_new_connection():
    # The upstream drops idle connections without notice and resets them when
    # data arrives. A request that must not run twice could then neither be
    # retried nor be reported as not run, so it must get a new connection.
    async with run_gateway_harness(workers=1) as harness:
        worker = harness.workers["w1"]
        await harness.call("/safe/x", request_id="a0")
        for number in range(3):
            await worker.drop_connections()
            reply = await harness.call("/unsafe/x", request_id=f"a{number + 1}")
            assert reply.status == 200
        connections_before = worker.connections
        await harness.call("/unsafe/x", request_id="a9")
        assert worker.connections == connections_before + 1


async def test_retries_unsafe_request_that_provably_has_not_run():
    # One upstream refuses the request and proves that it has not run, the other
    # one accepts it: the request runs once.
    async with run_gateway_harness(workers=0) as harness:
        refusing_scripts = [lab.refuse]

        async def respond(arrival, writer):
            script = (
                refusing_scripts.pop() if refusing_scripts else lab.answer_plain
            )
            await script(arrival, writer)

        await harness.add_worker("w1", respond)
        await harness.add_worker("w2", respond)
        await harness.wait_until(
            lambda: len(harness.gateway.deployment.rotation) == 2
        )
        reply = await harness.call("/unsafe/x", body=b"pay")
        assert reply.status == 200


async def test_sends_retry_after_if_all_upstreams_refuse():
    async with run_gateway_harness(script=lab.refuse) as harness:
        reply = await harness.call("/unsafe/x", body=b"pay")
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) < 1.4


async def test_skips_crashed_upstream():
    # An upstream has crashed, so that connections to its address are refused.
    # Nothing was sent, so even an unsafe request may go to the other upstream.
    async with run_gateway_harness() as harness:
        await harness.workers["w1"].stop()
        replies = [await harness.call("/unsafe/x") for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4


async def test_skips_address_of_another_incarnation():
    # The upstream restarted under another id before its entry in the store
    # ended. It refuses requests for the expected id, and the other upstream
    # answers.
    async with run_gateway_harness() as harness:
        harness.workers["w1"].instance = "w1-reborn"
        replies = [await harness.call("/unsafe/x") for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4


async def answer_twice(arrival, writer):
    for body in (b"first", b"second"):
        await lab.send(writer, 200, arrival, body)


async def test_drops_second_answer_of_upstream():
    # The upstream answers each request twice. On a kept-alive connection the
    # second answer arrives where the answer to the next request is expected; no
    # caller may get it.
    async with run_gateway_harness(workers=1, script=answer_twice) as harness:
        for number in range(4):
            reply = await harness.call("/safe/x", request_id=f"a{number}")
            assert reply.body == b"first"
            assert reply.headers["attempt-id"] == f"a{number}"


async def test_skips_late_answer_to_earlier_request():
    # The second answer to the first request arrives after the next request was
    # sent on the connection. It carries the first request's id, so the answer
    # that follows it must be forwarded.
    previous_arrivals = []

    async def respond(arrival, writer):
        if previous_arrivals:
            await lab.send(writer, 200, previous_arrivals[0], b"late")
        previous_arrivals.append(arrival)
        await lab.send(writer, 200, arrival, arrival.request_id.encode())

    async with run_gateway_harness(workers=1, script=respond) as harness:
        await harness.call("/safe/x", request_id="a1")
        reply = await harness.call("/safe/x", request_id="a2")
        assert reply.body == b"a2"


async def test_accepts_answer_delimited_by_close():
    async def respond(arrival, writer):
        writer.write(lab.make_head(200, arrival) + b"unframed")
        await writer.drain()
        writer.close()

    async with run_gateway_harness(workers=1, script=respond) as harness:
        reply = await harness.call("/unsafe/x")
        assert (reply.status, reply.body) == (200, b"unframed")


async def test_refuses_an_answer_without_length_that_is_reset():
    # The answer has no length, and its connection is reset before it is
    # complete. If the received part were forwarded, it would look like the
    # complete answer.
    async def respond(arrival, writer):
        writer.write(lab.make_head(200, arrival) + b"unfr")
        await writer.drain()
        await asyncio.sleep(0.05)
        lab.reset_connection(writer)

    async with run_gateway_harness(workers=1, script=respond) as harness:
        assert (await harness.call("/unsafe/x")).status == 502


@pytest.mark.parametrize(
    "head",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
    ],
)
async def test_rejects_answers_not_made_by_the_upstream(head):
    # The cases are: bytes that are not HTTP, invalid chunks, a missing
    # signature and a body that is too short.
    async def respond(_arrival, writer):
        writer.write(head)
        await writer.drain()
        writer.close()

    async with run_gateway_harness(workers=1, script=respond) as harness:
        assert (await harness.call("/unsafe/x")).status == 502


async def test_an_early_answer_leaves_no_body_for_the_next_request():
    # The upstream answers before it has read the body and keeps the connection
    # open. Each request must arrive complete and separate from the others.
    async with run_gateway_harness(workers=1) as harness:
        body = b"x" * 60_000
        for number in range(3):
            await harness.call("/safe/x", body=body, request_id=f"a{number}")
        arrivals = harness.workers["w1"].arrivals
        assert [a.body for a in arrivals] == [body] * 3
        assert [a.request_id for a in arrivals] == ["a0", "a1", "a2"]


async def test_answers_at_the_routes_time_limit():
    # The upstream never answers an unsafe request. At the route's time limit
    # the caller must get an answer, which must not state that the request has
    # not run.
    from tests.gateway_harness import make_route

    routes = [make_route("slow", "unsafe", TimeoutMs=400)]
    async with run_gateway_harness(script=lab.hang, routes=routes) as harness:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        reply = await harness.call("/slow/x")
        assert reply.status == 504
        assert 0.3 < loop.time() - started_s < 0.8


async def test_caller_disconnect_cancels_upstream_work():
    # The caller closes its connection while the upstream works. The answer is
    # no longer needed, so the connection to the upstream must be closed
    # immediately.
    async with run_gateway_harness(workers=1, script=lab.hang) as harness:
        from tests.gateway_harness import make_request

        _, writer = await harness.connect()
        writer.write(make_request("/safe/x"))
        worker = harness.workers["w1"]
        await harness.wait_until(lambda: worker.started)
        writer.close()
        await harness.wait_until(lambda: worker.cancelled, 0.4)

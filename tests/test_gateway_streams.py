"""Streams through a gateway: complete events, resumption, cascades."""

from __future__ import annotations

import asyncio

from lab import worker as lab
from tests.gateway_harness import make_request, run_gateway_harness


def get_ids(reply):
    lines = reply.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def get_texts(reply):
    lines = reply.body.decode().splitlines()
    return {line[6:] for line in lines if line.startswith("data: ")}


async def test_forwards_all_events():
    async with run_gateway_harness(script=lab.make_stream(6)) as harness:
        reply = await harness.call("/stream/x", body=b"p", Model_Name="m")
        assert (reply.status, reply.is_complete) == (200, True)
        assert get_ids(reply) == [1, 2, 3, 4, 5, 6]
        assert reply.headers["response-signature"] == lab.SIGNATURE


async def test_resumes_at_another_upstream_after_last_complete_event():
    # The first upstream resets the connection in the middle of event 3. The
    # caller must receive each event once: the next run is asked for the events
    # after event 2, and the received part of event 3 is dropped.
    async with run_gateway_harness(workers=0) as harness:
        scripts = [lab.make_stream(6, break_after=2)]

        async def respond(arrival, writer):
            script = scripts.pop() if scripts else lab.make_stream(6)
            await script(arrival, writer)

        await harness.add_worker("w1", respond)
        await harness.add_worker("w2", respond)
        await harness.wait_until(
            lambda: len(harness.gateway.deployment.rotation) == 2
        )
        reply = await harness.call("/stream/x", body=b"p", Model_Name="m")
        assert get_ids(reply) == [1, 2, 3, 4, 5, 6]
        assert reply.is_complete
        resume_ids = [
            arrival.headers.get("last-event-id")
            for worker in harness.workers.values()
            for arrival in worker.arrivals
        ]
        assert sorted(resume_ids, key=str) == ["2", None]


async def test_unfinished_stream_does_not_look_complete():
    # Every upstream breaks off after event 2 and never gets further.
    script = lab.make_stream(6, break_after=2)
    async with run_gateway_harness(script=script) as harness:
        reply = await harness.call("/stream/x", body=b"p", Model_Name="m")
        assert get_ids(reply) == [1, 2]
        assert not reply.is_complete


async def test_stream_without_resumption_is_not_retried():
    # If the route does not allow resumption, a stream may run only once. It
    # breaks off, and no second upstream may receive it.
    from tests.gateway_harness import make_route

    routes = [make_route("once", "streaming")]
    script = lab.make_stream(6, break_after=2)
    async with run_gateway_harness(script=script, routes=routes) as harness:
        reply = await harness.call("/once/x", body=b"p")
        assert not reply.is_complete
        assert sum(len(w.started) for w in harness.workers.values()) == 1


async def test_resumes_at_another_upstream_after_inactivity():
    # The first upstream sends two events and then nothing, with its connection
    # open. After the longest interval that the route allows between events, the
    # stream must continue at the other upstream, and the first upstream's work
    # must be cancelled.
    async def send_two_events_and_stall(arrival, writer):
        writer.write(lab.make_head(200, arrival, Transfer_Encoding="chunked"))
        for number in (1, 2):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(60)

    async with run_gateway_harness(workers=0) as harness:
        scripts = [send_two_events_and_stall]

        async def respond(arrival, writer):
            script = scripts.pop() if scripts else lab.make_stream(4)
            await script(arrival, writer)

        for name in ("w1", "w2"):
            await harness.add_worker(name, respond)
        await harness.wait_until(
            lambda: len(harness.gateway.deployment.rotation) == 2
        )
        reply = await harness.call("/stream/x", body=b"p")
        assert get_ids(reply) == [1, 2, 3, 4]
        await harness.wait_until(
            lambda: any(w.cancelled for w in harness.workers.values())
        )


async def test_escalates_if_the_small_model_has_low_confidence():
    # The small model has low confidence in its answer before any of it is
    # forwarded. The caller must receive the large model's answer only.
    script = lab.make_stream(3, confidence={"small": 10, "large": 90})
    async with run_gateway_harness(script=script) as harness:
        reply = await harness.call("/sized/x", body=b"p", Model_Name="*")
        assert get_texts(reply) == {"large"}
        assert get_ids(reply) == [1, 2, 3]


async def test_keeps_the_small_models_confident_answer():
    script = lab.make_stream(3, confidence={"small": 90})
    async with run_gateway_harness(script=script) as harness:
        reply = await harness.call("/sized/x", body=b"p", Model_Name="*")
        assert get_texts(reply) == {"small"}


async def test_forwards_each_event_immediately():
    async with run_gateway_harness(
        script=lab.make_stream(4, pause_s=0.2)
    ) as harness:
        reader, writer = await harness.connect()
        writer.write(make_request("/stream/x", body=b"p"))
        loop = asyncio.get_running_loop()
        await reader.readuntil(b"id: 1")
        first_s = loop.time()
        await reader.readuntil(b"id: 2")
        assert 0.1 < loop.time() - first_s < 0.35
        writer.close()


async def test_caller_disconnect_cancels_stream_at_upstream():
    script = lab.make_stream(100, pause_s=0.05)
    async with run_gateway_harness(workers=1, script=script) as harness:
        reader, writer = await harness.connect()
        writer.write(make_request("/stream/x", body=b"p"))
        await reader.readuntil(b"id: 2")
        writer.close()
        worker = harness.workers["w1"]
        await harness.wait_until(lambda: worker.cancelled, 0.4)

"""A silent upstream ends no answer unless another one may really follow."""

from __future__ import annotations

import asyncio
import logging
import time

import pytest

from lab import worker as lab
from lovagestage.decisions.crash_suspects import Admission
from lovagestage.gateway.crash_detection import SuspectWatch
from tests.gateway_harness import make_route, run_gateway_harness
from tests.test_gateway_streams import get_ids, get_texts

EVENTS = 4
LONG_PAUSE_S = 0.8
"""Over `TargetGapMs` and `TargetLatencyMs` of 300 ms, far under `TimeoutMs`."""
MANY_REFUSALS = 4
"""More than a request that is not owed an answer outlasts."""
TIMEOUT_MS = 1200
NO_RETRIES_EARNED = "Bounds.RetryBudgetRatio=0\nBounds.RetrySlack=0"
"""The budget holds the one retry that every gateway starts with."""


def make_stream_route(name="again", **fields):
    stream = {"Resumable": True, "TargetGapMs": 300, "SessionAffinity": True}
    return make_route(name, "streaming", **(stream | fields))


def make_pausing_stream(is_first_paused, pause_s=LONG_PAUSE_S):
    """Streams that pause once: before the head, or before the third event."""

    async def run(arrival, writer):
        if is_first_paused:
            await asyncio.sleep(pause_s)
        head = lab.make_head(200, arrival, Transfer_Encoding="chunked")
        writer.write(head)
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            if number == 3 and not is_first_paused:
                await asyncio.sleep(pause_s)
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return run


def count_runs(harness):
    return sum(len(worker.started) for worker in harness.workers.values())


def assert_complete(reply):
    assert (reply.status, reply.is_complete) == (200, True)
    assert get_ids(reply) == list(range(1, EVENTS + 1))


@pytest.mark.parametrize("is_first_paused", [False, True])
@pytest.mark.parametrize(
    ("workers", "fields"),
    [(2, {"Resumable": False}), (1, {}), (2, {"MaxAttempts": 1})],
    ids=["may run once", "no other upstream", "attempts used up"],
)
async def test_pausing_stream_is_complete_where_no_run_may_follow(
    workers, fields, is_first_paused
):
    # The run is given up for its silence, and the caller's stream is cut,
    # though no other run could continue it.
    script = make_pausing_stream(is_first_paused)
    routes = [make_stream_route(**fields)]
    async with run_gateway_harness(workers, script, routes=routes) as harness:
        assert_complete(await harness.call("/again/x", body=b"p"))
        assert count_runs(harness) == 1


@pytest.mark.parametrize("is_first_paused", [False, True])
async def test_pausing_streams_are_complete_without_retries_left(
    is_first_paused, caplog
):
    # The run is given up before the retry is taken, and none is left.
    caplog.set_level(logging.INFO)
    script = make_pausing_stream(is_first_paused)
    async with run_gateway_harness(
        3, script, NO_RETRIES_EARNED, routes=[make_stream_route()]
    ) as harness:
        calls = [
            harness.call("/again/x", body=b"p", request_id=f"r{number}")
            for number in range(4)
        ]
        for reply in await asyncio.gather(*calls):
            assert_complete(reply)
        assert count_runs(harness) <= len(calls) + 1
    records = [r for r in caplog.records if r.msg == "silence_waited_through"]
    assert "no_retry_left" in {record.obstacle for record in records}


async def test_slow_plain_answer_is_forwarded_where_no_other_upstream_is_left():
    # The only upstream is given up after the target latency, with a 502.
    async def answer_late(arrival, writer):
        await asyncio.sleep(LONG_PAUSE_S)
        await lab.answer_plain(arrival, writer)

    async with run_gateway_harness(1, answer_late) as harness:
        reply = await harness.call("/safe/x")
        assert (reply.status, count_runs(harness)) == (200, 1)


@pytest.mark.parametrize("kind", ["safe", "streaming"])
async def test_silence_to_the_timeout_gets_its_answer_in_time(kind):
    # A request that waits for its only upstream is held beyond `TimeoutMs`.
    route = make_stream_route() if kind == "streaming" else make_route("again")
    routes = [route | {"TimeoutMs": TIMEOUT_MS}]
    async with run_gateway_harness(1, lab.hang, routes=routes) as harness:
        started_s = time.monotonic()
        reply = await harness.call("/again/x", body=b"p")
        assert reply.status == 504
        assert 0.8 < time.monotonic() - started_s < TIMEOUT_MS / 1000 + 0.25


@pytest.mark.parametrize(("breaks_off", "gap_ms"), [(False, 300), (True, 1500)])
async def test_stream_goes_on_at_an_upstream_that_appears(breaks_off, gap_ms):
    # The stream's upstream is silent or breaks off while no other is there,
    # and the caller's stream is cut although one appears in time.
    script = make_pausing_stream(False, pause_s=60.0)
    if breaks_off:
        script = lab.make_stream(EVENTS, break_after=2)
    routes = [make_stream_route(TargetGapMs=gap_ms)]
    async with run_gateway_harness(1, script, routes=routes) as harness:
        call = asyncio.ensure_future(harness.call("/again/x", body=b"p"))
        await asyncio.sleep(LONG_PAUSE_S)
        await harness.add_worker("w2", lab.make_stream(EVENTS))
        assert_complete(await call)


async def test_stream_that_was_given_up_outlasts_refusals():
    # The run is given up while another upstream is ready; that one refuses the
    # request, none else is left, and the caller's stream is cut.
    refusals = [lab.refuse] * MANY_REFUSALS

    async def pause_or_refuse(arrival, writer):
        script = make_pausing_stream(False, pause_s=60.0)
        if "last-event-id" in arrival.headers:
            script = refusals.pop() if refusals else lab.make_stream(EVENTS)
        await script(arrival, writer)

    async with run_gateway_harness(2, pause_or_refuse) as harness:
        assert_complete(await harness.call("/stream/x", body=b"p"))


async def test_suspect_run_is_not_given_up(monkeypatch):
    # Copies of the request were in flight at crashes. Its run is given up, and
    # the next one is refused admission.
    async with run_gateway_harness(2, make_pausing_stream(False)) as harness:

        def admit(_watch, _fingerprint, _parts):
            return Admission.WAIT if count_runs(harness) else Admission.FREE

        monkeypatch.setattr(SuspectWatch, "admit", admit)
        assert_complete(await harness.call("/stream/x", body=b"p"))


async def test_suspect_request_keeps_the_small_models_answer(monkeypatch):
    # The small model's answer is dropped for a run that is then refused.
    script = lab.make_stream(3, confidence={"small": 10, "large": 90})
    async with run_gateway_harness(script=script) as harness:

        def admit(_watch, _fingerprint, _parts):
            return Admission.WAIT if count_runs(harness) else Admission.FREE

        monkeypatch.setattr(SuspectWatch, "admit", admit)
        reply = await harness.call("/sized/x", body=b"p", Model_Name="*")
        assert get_texts(reply) == {"small"}


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
async def test_request_given_up_before_its_answer_outlasts_refusals(path):
    # The run is given up while another upstream is ready; that one refuses the
    # request, and the caller gets a 502 although the first one answers in time.
    async def answer_late(arrival, writer):
        await asyncio.sleep(LONG_PAUSE_S)
        answer = lab.answer_plain if path == "/safe/x" else lab.make_stream()
        await answer(arrival, writer)

    statuses = []
    async with run_gateway_harness(2, answer_late) as harness:
        first, *others = harness.workers.values()
        del first
        for worker in others:
            worker.script = lab.refuse
        for number in range(4):
            reply = await harness.call(path, body=b"p", request_id=f"r{number}")
            statuses.append(reply.status)
    assert statuses == [200] * 4

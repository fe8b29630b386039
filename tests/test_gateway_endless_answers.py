"""Tests answers that never end, beside workers that are sound."""

from __future__ import annotations

import asyncio
import time

import pytest

from lab import worker as lab
from lab.endless import GARBAGE, EndlessForm, make_endless
from lab.endless_probe import find_breaches, measure
from lovagestage.gateway.runs import MAX_BODY_BYTES
from tests.gateway_harness import make_request, run_gateway_harness

CLOSE_S = 1.0
MIN_CALLS, MAX_CALLS = 6, 40
STREAM_FORMS = (EndlessForm.BLANK_EVENTS, EndlessForm.COMMENTS)
PROBED = (EndlessForm.INTERIM_HEADS, EndlessForm.BLANK_EVENTS)


class EndlessWorker:
    """Records how long its endless answers were read."""

    def __init__(self, form):
        self.read_s = []
        self.form = form

    async def run(self, arrival, writer):
        begun_s = time.monotonic()
        try:
            await make_endless(self.form)(arrival, writer)
        finally:
            self.read_s.append(time.monotonic() - begun_s)


@pytest.mark.parametrize("form", EndlessForm)
async def test_an_answer_without_end_is_cut_and_the_request_served(form):
    # Reading went on until the request's deadline, and held up all others.
    endless = EndlessWorker(form)
    sound = lab.make_stream() if form in STREAM_FORMS else lab.answer_plain
    path = "/stream/x" if form in STREAM_FORMS else "/safe/x"
    async with run_gateway_harness(1, script=sound) as harness:
        await harness.add_worker("endless", endless.run)
        for number in range(MAX_CALLS):
            if endless.read_s and number >= MIN_CALLS:
                break
            reply = await harness.call(path, request_id=f"e{number}")
            assert reply.status == 200
            assert GARBAGE[:1] not in reply.body
        await harness.wait_until(
            lambda: (
                len(endless.read_s) == len(harness.workers["endless"].started)
            )
        )
        assert endless.read_s
        assert max(endless.read_s) < CLOSE_S


async def test_the_head_of_a_long_resource_is_answered():
    # A head alone says how long the body would be, and has none.
    async def answer(arrival, writer):
        length = str(MAX_BODY_BYTES + 1)
        writer.write(lab.make_head(200, arrival, Content_Length=length))
        await writer.drain()

    async with run_gateway_harness(1, script=answer) as harness:
        reader, writer = await harness.connect()
        writer.write(make_request("/safe/x", method="HEAD"))
        async with asyncio.timeout(4.0):
            assert b" 200 " in await reader.readline()
        writer.close()


async def test_a_failed_attempt_tells_which_limit_was_passed(caplog):
    form = EndlessForm.INTERIM_HEADS
    async with run_gateway_harness(1) as harness:
        await harness.add_worker("endless", make_endless(form))
        for number in range(MAX_CALLS):
            await harness.call("/safe/x", request_id=f"e{number}")
    causes = {getattr(record, "cause", None) for record in caplog.records}
    assert "Too much of an answer: interim_heads." in causes


@pytest.mark.parametrize("form", PROBED)
def test_workers_that_answer_without_end_cost_others_little(form):
    # One in twenty of the others was served in time, and the gateway took four
    # times its processor.
    before, beside = measure(form)
    assert not find_breaches(before, beside)

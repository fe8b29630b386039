"""Tests how often requests are retried, and which retries count."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from lab import worker as lab
from lovagestage.gateway.retry_budget import (
    ASSUMED_GATEWAYS,
    MAX_RESERVED,
    MIN_STARTUP_GATEWAYS,
    SLACK_RATIO,
    ServiceRetryBudget,
)
from tests.gateway_harness import run_gateway_harness
from tests.test_gateway_streams import get_ids

RATIO = 0.9
WINDOW_S = 10.0
SLACK = 54.0
STREAMS = 32
EVENTS = 12
EVENT_INTERVAL_S = 0.05


def make_budget(ratio=RATIO, slack=SLACK):
    return ServiceRetryBudget(0.0, ratio, WINDOW_S, slack, 0.0, 1)


def record_requests(budget, per_s, seconds, gateways=1, start_s=0.0):
    count = int(per_s * seconds)
    for number in range(count):
        budget.record_request(start_s + number / per_s, gateways)
    return start_s + seconds


def acquire_all(budget, now_s):
    taken = 0
    while budget.try_acquire(now_s):
        taken += 1
    return taken


def test_what_was_left_unused_is_there_when_many_fail_at_once():
    # 13 requests a second arrive, none of which has failed so far. Four
    # upstreams of nine crash, and 20 streams of this gateway have to continue
    # at others.
    budget = make_budget()
    now_s = record_requests(budget, 13.0, 30.0, gateways=4)
    assert acquire_all(budget, now_s) >= 30


def test_larger_models_leave_a_part_to_requests_that_fail():
    budget = make_budget()
    now_s = record_requests(budget, 13.0, 30.0, gateways=4)
    while budget.try_acquire_escalation(now_s):
        pass
    assert acquire_all(budget, now_s) >= MAX_RESERVED - 1.0


def test_a_young_process_assumes_undiscovered_gateways():
    share = SLACK_RATIO * SLACK
    assert make_budget().get_limit(1.0, 1) == share / MIN_STARTUP_GATEWAYS
    assert make_budget().get_limit(WINDOW_S, 1) == share
    assert make_budget().get_limit(99.0, None) == share / ASSUMED_GATEWAYS


def test_a_retry_that_reached_no_upstream_is_released():
    budget = make_budget()
    before = acquire_all(budget, 0.0)
    assert before >= 1
    budget.release()
    assert acquire_all(budget, 0.0) == 1


@settings(max_examples=60, deadline=None)
@given(
    gateways=st.integers(1, 12),
    rates=st.lists(st.integers(0, 30), min_size=3, max_size=8),
    slack=st.floats(0.0, 90.0),
)
def test_all_gateways_together_keep_the_rule(gateways, rates, slack):
    # Each gateway takes each retry as soon as one is earned, or accumulates
    # them and takes all at the worst moment. The rule counts retries in any
    # window against the requests of that window or of the one before it.
    budgets = [
        ServiceRetryBudget(0.0, RATIO, WINDOW_S, slack, 0.0, gateways)
        for _ in range(gateways)
    ]
    arrivals = []
    repeats = []
    for index, per_s in enumerate(rates):
        start_s = index * WINDOW_S / 2
        for budget in budgets:
            if per_s:
                record_requests(budget, per_s, WINDOW_S / 2, gateways, start_s)
        now_s = start_s + WINDOW_S / 2
        arrivals.append(gateways * int(per_s * WINDOW_S / 2))
        taken = 0
        if index % 2:
            taken = sum(acquire_all(budget, now_s) for budget in budgets)
        repeats.append(taken)
    for index in range(1, len(rates)):
        most = max(
            sum(arrivals[max(0, end - 1) : end + 1])
            for end in (index, index - 1, index - 2)
            if end >= 0
        )
        # One retry is always left to each gateway, however small the slack is.
        allowed = RATIO * most + slack + 2 * gateways
        assert sum(repeats[index - 1 : index + 1]) <= allowed


async def test_streams_go_on_when_several_upstreams_crash_at_once(caplog):
    # 32 streams run at four upstreams, and two of these crash. Each broken
    # stream has to continue at one of the other upstreams, also where the
    # first upstream of its retry is the other crashed one; callers receive
    # every event exactly once.
    script = lab.make_stream(EVENTS, pause_s=EVENT_INTERVAL_S)
    async with run_gateway_harness(4, script) as harness:
        # The pause is longer than the window, so that the budget knows the
        # number of gateways.
        await asyncio.sleep(1.1)
        calls = [
            asyncio.ensure_future(
                harness.call(
                    "/stream/x",
                    body=b"p",
                    Model_Name="m",
                    request_id=f"s{number}",
                )
            )
            for number in range(STREAMS)
        ]
        await asyncio.sleep(5 * EVENT_INTERVAL_S)
        for name in ("w1", "w2"):
            await harness.workers[name].stop()
        replies = await asyncio.gather(*calls)
        assert all(reply.is_complete for reply in replies)
        assert all(get_ids(r) == list(range(1, EVENTS + 1)) for r in replies)
        denied = [r for r in caplog.records if r.msg == "repeat_denied"]
        assert not denied


async def test_an_upstream_that_is_gone_is_no_refusal(caplog):
    # Four of five upstreams have crashed while the store still lists their
    # entries. The caller is served by the fifth, however many of the others
    # were tried first.
    async with run_gateway_harness(5) as harness:
        for name in ("w1", "w2", "w3", "w4"):
            await harness.workers[name].stop()
        replies = await asyncio.gather(
            *(
                harness.call("/unsafe/x", request_id=f"r{number}")
                for number in range(6)
            )
        )
        assert [reply.status for reply in replies] == [200] * 6


async def test_a_request_sent_on_a_kept_connection_may_have_run():
    # A request is written to a kept-alive connection, which is reset; the new
    # connection is refused since the upstream has crashed. It is not known
    # whether the request ran, so the answer must not promise that it did not.
    async def run(arrival, writer):
        if arrival.request_id == "last":
            await harness.workers["w1"].stop()
            return
        await lab.answer_plain(arrival, writer)

    async with run_gateway_harness(1, run) as harness:
        assert (await harness.call("/safe/x", request_id="first")).status == 200
        reply = await harness.call("/safe/x", request_id="last")
        assert reply.status == 502

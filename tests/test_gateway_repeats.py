"""How often requests are sent again, and whose repeats count."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from lab import worker as lab
from lovagestage.gateway.repeats import (
    ASSUMED_GATEWAYS,
    MAX_RESERVED,
    MIN_STARTUP_GATEWAYS,
    SLACK_RATIO,
    RepeatBudget,
)
from tests.gateway_stage import run_stage
from tests.test_gateway_streams import get_ids

RATIO = 0.9
WINDOW_S = 10.0
SLACK = 54.0
STREAMS = 32
EVENTS = 12
STEP_S = 0.05


def make_budget(ratio=RATIO, slack=SLACK):
    return RepeatBudget(0.0, ratio, WINDOW_S, slack, 0.0, 1)


def fill(budget, per_s, seconds, gateways=1, start_s=0.0):
    count = int(per_s * seconds)
    for number in range(count):
        budget.note_request(start_s + number / per_s, gateways)
    return start_s + seconds


def drain(budget, now_s):
    taken = 0
    while budget.try_acquire(now_s):
        taken += 1
    return taken


def test_what_was_left_unused_is_there_when_many_fail_at_once():
    # 13 requests a second, none of which failed so far. Four upstreams of
    # nine crash, and 20 streams of this gateway are to go on at others.
    budget = make_budget()
    now_s = fill(budget, 13.0, 30.0, gateways=4)
    assert drain(budget, now_s) >= 30


def test_larger_models_leave_a_part_to_requests_that_fail():
    budget = make_budget()
    now_s = fill(budget, 13.0, 30.0, gateways=4)
    while budget.try_acquire_escalation(now_s):
        pass
    assert drain(budget, now_s) >= MAX_RESERVED - 1.0


def test_a_young_process_reckons_with_gateways_unheard_of():
    share = SLACK_RATIO * SLACK
    assert make_budget().get_limit(1.0, 1) == share / MIN_STARTUP_GATEWAYS
    assert make_budget().get_limit(WINDOW_S, 1) == share
    assert make_budget().get_limit(99.0, None) == share / ASSUMED_GATEWAYS


def test_a_repeat_that_reached_nobody_is_given_back():
    budget = make_budget()
    before = drain(budget, 0.0)
    assert before >= 1
    budget.release()
    assert drain(budget, 0.0) == 1


@settings(max_examples=60, deadline=None)
@given(
    gateways=st.integers(1, 12),
    rates=st.lists(st.integers(0, 30), min_size=3, max_size=8),
    slack=st.floats(0.0, 90.0),
)
def test_all_gateways_together_keep_the_rule(gateways, rates, slack):
    # Every gateway takes each repeat as soon as there is one, or saves all up
    # and takes them at the worst moment. The rule counts repeats in any
    # window against the requests of that window or the one before it.
    budgets = [
        RepeatBudget(0.0, RATIO, WINDOW_S, slack, 0.0, gateways)
        for _ in range(gateways)
    ]
    arrivals = []
    repeats = []
    for index, per_s in enumerate(rates):
        start_s = index * WINDOW_S / 2
        for budget in budgets:
            if per_s:
                fill(budget, per_s, WINDOW_S / 2, gateways, start_s)
        now_s = start_s + WINDOW_S / 2
        arrivals.append(gateways * int(per_s * WINDOW_S / 2))
        taken = 0
        if index % 2:
            taken = sum(drain(budget, now_s) for budget in budgets)
        repeats.append(taken)
    for index in range(1, len(rates)):
        most = max(
            sum(arrivals[max(0, end - 1) : end + 1])
            for end in (index, index - 1, index - 2)
            if end >= 0
        )
        # One is always left to a gateway, however small the slack.
        allowed = RATIO * most + slack + 2 * gateways
        assert sum(repeats[index - 1 : index + 1]) <= allowed


async def test_streams_go_on_when_several_upstreams_crash_at_once(caplog):
    # 32 streams run at four upstreams, and two of these crash. Each broken
    # stream is to go on at one of the others, also where its first new
    # upstream is the other crashed one; callers see all events once.
    script = lab.make_stream(EVENTS, pause_s=STEP_S)
    async with run_stage(4, script) as stage:
        # Longer than the window, so that the budget knows its gateways.
        await asyncio.sleep(1.1)
        calls = [
            asyncio.ensure_future(
                stage.call(
                    "/stream/x",
                    body=b"p",
                    Model_Name="m",
                    request_id=f"s{number}",
                )
            )
            for number in range(STREAMS)
        ]
        await asyncio.sleep(5 * STEP_S)
        for name in ("w1", "w2"):
            await stage.workers[name].stop()
        replies = await asyncio.gather(*calls)
        assert all(reply.whole for reply in replies)
        assert all(get_ids(r) == list(range(1, EVENTS + 1)) for r in replies)
        denied = [r for r in caplog.records if r.msg == "repeat_denied"]
        assert not denied


async def test_an_upstream_that_is_gone_is_no_refusal(caplog):
    # Four of five upstreams have crashed and their entries still stand. The
    # caller is served by the fifth, however many of the others were tried.
    async with run_stage(5) as stage:
        for name in ("w1", "w2", "w3", "w4"):
            await stage.workers[name].stop()
        replies = await asyncio.gather(
            *(
                stage.call("/unsafe/x", request_id=f"r{number}")
                for number in range(6)
            )
        )
        assert [reply.status for reply in replies] == [200] * 6


async def test_a_request_sent_on_a_kept_connection_may_have_run():
    # A request is written to a kept connection, which is reset; the new
    # connection is refused since the upstream has crashed. Nobody knows
    # whether it ran: the answer must not promise that it did not.
    async def run(arrival, writer):
        if arrival.request_id == "last":
            await stage.workers["w1"].stop()
            return
        await lab.answer_plain(arrival, writer)

    async with run_stage(1, run) as stage:
        assert (await stage.call("/safe/x", request_id="first")).status == 200
        reply = await stage.call("/safe/x", request_id="last")
        assert reply.status == 502

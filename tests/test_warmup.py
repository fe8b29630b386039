"""Requests to upstreams that are warming up stay within their capacity."""

from __future__ import annotations

import asyncio
import collections
import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.experiments import warmup as experiment
from lab.worker import answer_plain, reset_connection
from lovagestage.decisions.warmup import (
    MAX_SEND_TIMES,
    SEND_TIME_RETENTION_S,
    WARMUP_GATEWAYS,
    Gateways,
    Pace,
    WarmupLog,
    ZoneDealers,
)
from lovagestage.gateway import warmups
from lovagestage.gateway.choice import Work, choose_upstream
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import UpstreamEntry
from tests.gateway_stage import make_route, run_stage

PER_S = 14.0
NAMES = [f"10.0.0.{number}:7000" for number in range(9)]


def make_gateways(own, names, **fields):
    others = [name for name in names if name != own]
    return Gateways(
        **{
            "own": own,
            "zone": "a",
            "neighbours": others,
            "is_settled": True,
            **fields,
        }
    )


def get_paces(names, upstream="i-1", zone="a", **fields):
    policy = ZoneDealers()
    return [
        policy.get_pace(
            make_gateways(n, names, **fields), upstream, zone, PER_S
        )
        for n in names
    ]


@pytest.mark.parametrize("count", [1, 2, 3, 9])
def test_gateways_that_agree_keep_within_the_rate(count):
    paces = get_paces(NAMES[:count])
    assert sum(pace.requests for pace in paces) <= PER_S
    assert sum(pace.requests > 0 for pace in paces) == min(
        WARMUP_GATEWAYS, count
    )


def test_the_rule_holds_though_a_new_gateway_knows_nobody():
    # Guards against a gateway that does not know the other gateways of its zone
    # yet and considers itself the only one.
    newcomer = ZoneDealers().get_pace(
        make_gateways("10.0.9.9:7000", []), "i-1", "a", PER_S
    )
    others = sum(pace.requests for pace in get_paces(NAMES))
    assert newcomer.requests + others <= PER_S * 1.5 + 5


def test_a_gateway_that_has_just_started_leaves_cold_upstreams_to_others():
    assert {p.requests for p in get_paces(NAMES, is_settled=False)} == {0}


def test_gateways_of_other_zones_leave_cold_upstreams_to_others():
    assert {p.requests for p in get_paces(NAMES, zone="b")} == {0}


def test_gateways_that_cannot_hear_of_each_other_send_few():
    (pace,) = get_paces(NAMES[:1], neighbours=None)
    assert pace.requests == 1
    assert pace.span_s > 1.0


@given(
    gaps_s=st.lists(st.floats(0.0, 0.5), max_size=80),
    delays_s=st.lists(st.floats(0.0, 0.4), min_size=80, max_size=80),
    requests=st.integers(0, 6),
)
def test_no_second_holds_more_than_the_pace(gaps_s, delays_s, requests):
    # Requests are sent some time after they were placed, in any order.
    log, pace = WarmupLog(), Pace(requests)
    now_s, sent_s, pending = 0.0, [], []
    for gap_s, delay_s in zip(gaps_s, delays_s, strict=False):
        now_s += gap_s
        for due_s in sorted(due for due in pending if due <= now_s):
            pending.remove(due_s)
            log.note_sent(due_s)
            sent_s.append(due_s)
        if log.has_room(pace, now_s):
            log.note_placed()
            pending.append(now_s + delay_s)
    for first_s in sent_s:
        sent_count = sum(first_s <= at_s < first_s + 1.0 for at_s in sent_s)
        assert sent_count <= requests


def test_what_was_sent_before_it_was_known_to_be_cold_counts():
    log = WarmupLog()
    for _ in range(3):
        log.note_placed()
        log.note_sent(10.0)
    log.note_left(3.0, 10.2)
    assert not log.has_room(Pace(3), 10.9)
    assert log.has_room(Pace(3), 11.1)


def test_a_late_word_makes_no_upstream_warm():
    log = WarmupLog()
    assert log.note_left(3.0, 10.0)
    assert not log.note_left(0.0, 10.1)
    assert log.is_cold(12.9)
    assert not log.is_cold(13.1)


def make_cold_script(crashes, limit):
    """Makes a worker that crashes if it gets too many requests in a second."""
    recent_starts_s = collections.deque()

    async def answer(arrival, writer):
        now_s = asyncio.get_running_loop().time()
        recent_starts_s.append(now_s)
        while recent_starts_s[0] <= now_s - 1.0:
            recent_starts_s.popleft()
        if len(recent_starts_s) > limit:
            crashes.append(len(recent_starts_s))
            reset_connection(writer)
            return
        await answer_plain(arrival, writer)

    return answer


SERVICES = [
    {"Name": "pool", "HealthPath": "/h", "WarmupS": 3.0, "WarmupPerS": 6.0}
]
ROUTES = [make_route("safe", Public=True)]


async def send_burst(stage, seconds, per_s):
    async def call_one(number):
        reply = await stage.call("/safe/x", request_id=f"r{number}")
        return reply.status

    loop = asyncio.get_running_loop()
    started_s = loop.time()
    calls = []
    for number in range(int(seconds * per_s)):
        calls.append(asyncio.ensure_future(call_one(number)))
        await asyncio.sleep(1.0 / per_s)
    statuses = await asyncio.gather(*calls)
    return statuses, math.ceil(loop.time() - started_s)


def test_a_cold_upstream_is_not_felled_by_a_crowd(monkeypatch):
    # Guards against an empty upstream that gets all requests while it is
    # warming up, so that it crashes, restarts, warms up again and crashes
    # again.
    monkeypatch.setattr(warmups, "SETTLE_S", 0.0)

    async def run():
        crashes = []
        async with run_stage(1, services=SERVICES, routes=ROUTES) as stage:
            script = make_cold_script(crashes, 6 * 1.5 + 5)
            await stage.add_worker("w2", script, WarmupLeftMs=3000)
            rotation = stage.gateway.deployment.rotation
            await stage.wait_until(lambda: len(rotation) == 2)
            statuses, took_s = await send_burst(stage, 1.5, 60)
            assert set(statuses) == {200}
            assert crashes == []
            cold = len(stage.workers["w2"].started)
            assert 0 < cold <= 6 * took_s
            await asyncio.sleep(max(0.0, 3.2 - took_s))
            await send_burst(stage, 0.5, 60)
            assert len(stage.workers["w2"].started) > cold

    asyncio.run(run())


def test_a_zone_that_is_given_back_is_taken_for_cold(monkeypatch):
    # Guards against a burst of requests to upstreams that started to warm up
    # while their zone was evacuated, and whose next heartbeat has not reported
    # that yet.
    monkeypatch.setattr(warmups, "SETTLE_S", 0.0)

    async def run():
        async with run_stage(1, services=SERVICES, routes=ROUTES) as stage:
            deployment = stage.gateway.deployment
            stage.store.append_keyed("keyed.op", "evacuate/a", b"{}")
            await stage.wait_until(lambda: "a" in deployment.evacuations)
            stage.store.append_keyed("keyed.op", "evacuate/a", b"")
            await stage.wait_until(lambda: "a" not in deployment.evacuations)
            statuses, took_s = await send_burst(stage, 0.8, 60)
            assert len(stage.workers["w1"].started) <= 6 * took_s
            assert statuses.count(503) > 0

    asyncio.run(run())


def test_dealers_use_more_than_half_and_never_break_the_rule(monkeypatch):
    # Guards against a rule that holds only while all gateways agree on which
    # gateways exist: a third of them have just started and some are gone.
    monkeypatch.setattr(experiment, "DAYS", {3: 5, 31: 5})
    result = experiment.run(3)
    assert result.ok
    assert result.baseline["31 calm"]["broken"] > 0


def test_a_cold_upstream_with_room_is_found_among_many_that_are_busy():
    # Guards against unused capacity of upstreams that are warming up. The few
    # gateways that may send to them compare three of many upstreams, and could
    # miss the one that is warming up.
    rotation = Rotation()
    for number in range(30):
        entry = UpstreamEntry("pool", f"h:{number}", "a", "v1", 8, False)
        rotation.apply(f"w{number}", entry, number, 0.0, False)
    busy = rotation.get_ready("pool")
    for upstream in busy[1:]:
        upstream.performance.waiting_elsewhere_s = 2.0
    busy[0].note_cold(3.0, 0.0)
    rng = random.Random(7)
    for number in range(50):
        work = Work(0.2, 0.1, f"subject-{number}")
        placement = choose_upstream(busy, set(), work, "a", 1.0, rng, busy[:1])
        assert placement.upstream is busy[0]


def test_what_is_remembered_of_an_upstream_is_bounded():
    log = WarmupLog()
    for number in range(5000):
        log.note_placed()
        log.note_sent(number * 0.01)
    assert len(log._send_times_s) < 2 * MAX_SEND_TIMES
    assert not log.has_room(Pace(90), 50.0)
    log.note_placed()
    log.note_sent(50.0 + 2 * SEND_TIME_RETENTION_S)
    assert len(log._send_times_s) == 1

"""Tests that requests stay within the capacity of warming-up upstreams."""

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
from lovagestage.decisions.send_rates import (
    MAX_SEND_TIMES,
    SEND_TIME_RETENTION_S,
    RateLimit,
    SendLog,
)
from lovagestage.decisions.warmup import (
    WARMUP_GATEWAYS,
    GatewayView,
    WarmupTracker,
    ZoneWarmupPolicy,
)
from lovagestage.gateway import upstream_guard
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import UpstreamEntry
from lovagestage.gateway.upstream_choice import AttemptCost, choose_upstream
from tests.gateway_harness import make_route, run_gateway_harness

PER_S = 14.0
NAMES = [f"10.0.0.{number}:7000" for number in range(9)]


def make_gateways(own, names, **fields):
    others = [name for name in names if name != own]
    return GatewayView(
        **{
            "own_name": own,
            "zone": "a",
            "zone_peers": others,
            "is_discovery_complete": True,
            **fields,
        }
    )


def get_rate_limits(names, upstream="i-1", zone="a", **fields):
    policy = ZoneWarmupPolicy()
    return [
        policy.get_rate_limit(
            make_gateways(n, names, **fields), upstream, zone, PER_S
        )
        for n in names
    ]


@pytest.mark.parametrize("count", [1, 2, 3, 9])
def test_gateways_that_agree_keep_within_the_rate(count):
    rate_limits = get_rate_limits(NAMES[:count])
    assert sum(rate_limit.requests for rate_limit in rate_limits) <= PER_S
    assert sum(rate_limit.requests > 0 for rate_limit in rate_limits) == min(
        WARMUP_GATEWAYS, count
    )


def test_the_rule_holds_though_a_new_gateway_knows_nobody():
    # Guards against a gateway that does not know the other gateways of its zone
    # yet and considers itself the only one.
    newcomer = ZoneWarmupPolicy().get_rate_limit(
        make_gateways("10.0.9.9:7000", []), "i-1", "a", PER_S
    )
    others = sum(rate_limit.requests for rate_limit in get_rate_limits(NAMES))
    assert newcomer.requests + others <= PER_S * 1.5 + 5


def test_a_gateway_that_has_just_started_leaves_cold_upstreams_to_others():
    assert {
        p.requests for p in get_rate_limits(NAMES, is_discovery_complete=False)
    } == {0}


def test_gateways_of_other_zones_leave_cold_upstreams_to_others():
    assert {p.requests for p in get_rate_limits(NAMES, zone="b")} == {0}


def test_gateways_without_discovery_send_few_requests():
    (rate_limit,) = get_rate_limits(NAMES[:1], zone_peers=None)
    assert rate_limit.requests == 1
    assert rate_limit.span_s > 1.0


@given(
    gaps_s=st.lists(st.floats(0.0, 0.5), max_size=80),
    delays_s=st.lists(st.floats(0.0, 0.4), min_size=80, max_size=80),
    requests=st.integers(0, 6),
)
def test_no_second_holds_more_than_the_pace(gaps_s, delays_s, requests):
    # Requests are sent some time after they were placed, in any order.
    log, rate_limit = SendLog(), RateLimit(requests)
    now_s, sent_s, pending = 0.0, [], []
    for gap_s, delay_s in zip(gaps_s, delays_s, strict=False):
        now_s += gap_s
        for due_s in sorted(due for due in pending if due <= now_s):
            pending.remove(due_s)
            log.record_sent(due_s)
            sent_s.append(due_s)
        if log.has_capacity(rate_limit, now_s):
            log.record_placed()
            pending.append(now_s + delay_s)
    for first_s in sent_s:
        sent_count = sum(first_s <= at_s < first_s + 1.0 for at_s in sent_s)
        assert sent_count <= requests


def test_what_was_sent_before_it_was_known_to_be_cold_counts():
    log = SendLog()
    for _ in range(3):
        log.record_placed()
        log.record_sent(10.0)
    assert not log.has_capacity(RateLimit(3), 10.9)
    assert log.has_capacity(RateLimit(3), 11.1)


def test_a_late_report_does_not_end_the_warm_up():
    log = WarmupTracker()
    assert log.record_time_left(3.0, 10.0)
    assert not log.record_time_left(0.0, 10.1)
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


async def send_burst(harness, seconds, per_s):
    async def call_one(number):
        reply = await harness.call("/safe/x", request_id=f"r{number}")
        return reply.status

    loop = asyncio.get_running_loop()
    started_s = loop.time()
    calls = []
    for number in range(int(seconds * per_s)):
        calls.append(asyncio.ensure_future(call_one(number)))
        await asyncio.sleep(1.0 / per_s)
    statuses = await asyncio.gather(*calls)
    return statuses, math.ceil(loop.time() - started_s)


def test_an_upstream_that_warms_up_is_not_crashed_by_a_burst(monkeypatch):
    # Guards against an empty upstream that gets all requests while it is
    # warming up, so that it crashes, restarts, warms up again and crashes
    # again.
    monkeypatch.setattr(upstream_guard, "STARTUP_DELAY_S", 0.0)

    async def run():
        crashes = []
        async with run_gateway_harness(
            1, services=SERVICES, routes=ROUTES
        ) as harness:
            script = make_cold_script(crashes, 6 * 1.5 + 5)
            await harness.add_worker("w2", script, WarmupLeftMs=3000)
            rotation = harness.gateway.deployment.rotation
            await harness.wait_until(lambda: len(rotation) == 2)
            statuses, took_s = await send_burst(harness, 1.5, 60)
            assert set(statuses) == {200}
            assert crashes == []
            cold = len(harness.workers["w2"].started)
            assert 0 < cold <= 6 * took_s
            await asyncio.sleep(max(0.0, 3.2 - took_s))
            await send_burst(harness, 0.5, 60)
            assert len(harness.workers["w2"].started) > cold

    asyncio.run(run())


def test_a_restored_zone_counts_as_warming_up(monkeypatch):
    # Guards against a burst of requests to upstreams that started to warm up
    # while their zone was evacuated, and whose next heartbeat has not reported
    # that yet.
    monkeypatch.setattr(upstream_guard, "STARTUP_DELAY_S", 0.0)

    async def run():
        async with run_gateway_harness(
            1, services=SERVICES, routes=ROUTES
        ) as harness:
            deployment = harness.gateway.deployment
            harness.store.append_keyed("keyed.op", "evacuate/a", b"{}")
            await harness.wait_until(lambda: "a" in deployment.evacuations)
            harness.store.append_keyed("keyed.op", "evacuate/a", b"")
            await harness.wait_until(lambda: "a" not in deployment.evacuations)
            statuses, took_s = await send_burst(harness, 0.8, 60)
            assert len(harness.workers["w1"].started) <= 6 * took_s
            assert statuses.count(503) > 0

    asyncio.run(run())


def test_warmup_gateways_use_more_than_half_and_never_break_the_rule(
    monkeypatch,
):
    # Guards against a rule that holds only while all gateways agree on which
    # gateways exist: a third of them have just started and some have stopped.
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
    busy[0].record_warmup(3.0, 0.0)
    rng = random.Random(7)
    for number in range(50):
        work = AttemptCost(0.2, 0.1, f"subject-{number}")
        placement = choose_upstream(busy, set(), work, "a", 1.0, rng, busy[:1])
        assert placement.upstream is busy[0]


def test_retained_send_times_are_bounded():
    log = SendLog()
    for number in range(5000):
        log.record_placed()
        log.record_sent(number * 0.01)
    assert len(log._send_times_s) < 2 * MAX_SEND_TIMES
    assert not log.has_capacity(RateLimit(90), 50.0)
    log.record_placed()
    log.record_sent(50.0 + 2 * SEND_TIME_RETENTION_S)
    assert len(log._send_times_s) == 1

"""Unreachable upstreams: how many requests are lost until they are excluded."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from lab import worker as lab
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.performance import SLOW_CONNECT_S, Performance
from tests.gateway_harness import make_route, run_gateway_harness

ARRIVAL_INTERVAL_S = 0.01
OUTAGE_S = 3.0
FIRST_EVENT_S = 0.1
"""Time in seconds to the first event: long enough that an upstream without any
request looks like the best one."""
MAX_FAILED_ATTEMPTS = 10
"""Limit on failed attempts: five before the first failure is detected, one
probe each after 0.5, 1 and 2 s, and two more."""
LONG_TARGET_ROUTE = make_route(
    "stream", "streaming", Resumable=True, TargetGapMs=300, TargetLatencyMs=2000
)
"""Route with a long target latency. Callers, gateway and upstreams share a
process in this test; with a shorter target, a stall of 0.35 s on a busy
machine would be mistaken for the inactivity of all upstreams."""


@contextlib.contextmanager
def open_unresponsive_address():
    """Yields an address whose VM answers no packet that opens a connection.

    The queue of its listener is full, so the kernel drops such packets.
    """
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(16):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


async def test_few_requests_are_lost_when_a_vm_stops_responding(caplog):
    # A VM stops responding while the store still lists its upstream. Each
    # request that is sent there loses the time limit of a connection. One
    # failure shows that the upstream is unreachable, and an occasional
    # single probe checks whether it has recovered; the other requests, a
    # hundred a second, must not follow a probe while its result is open.
    script = lab.make_stream(1, first_s=FIRST_EVENT_S)
    with open_unresponsive_address() as address:
        async with run_gateway_harness(workers=2, script=script) as harness:
            harness.put_configuration(version=2, routes=[LONG_TARGET_ROUTE])
            harness.put_entry("w2", Address=address)
            unresponsive = next(
                u
                for u in harness.gateway.deployment.rotation.get_all()
                if u.id == "w2"
            )
            await harness.wait_until(
                lambda: unresponsive.entry.address == address
            )
            deployment = harness.gateway.deployment
            await harness.wait_until(
                lambda: deployment.configuration.version == 2
            )
            end_s = get_elapsed_s() + OUTAGE_S
            calls = []
            while get_elapsed_s() < end_s:
                calls.append(asyncio.ensure_future(harness.call("/stream/x")))
                await asyncio.sleep(ARRIVAL_INTERVAL_S)
            replies = await asyncio.gather(*calls)
    assert {reply.status for reply in replies} == {200}
    failed = [r for r in caplog.records if r.message == "attempt_failed"]
    assert {r.upstream for r in failed} == {"w2"}
    assert failed[0].left_out_s > 0.0
    assert 2 <= len(failed) <= MAX_FAILED_ATTEMPTS, len(failed)


def make_failed_performance():
    performance = Performance()
    performance.record_unreachable(0.0)
    assert performance.is_suspect(0.4)
    assert not performance.is_suspect(0.6)
    return performance


def test_one_request_tries_an_upstream_that_failed():
    performance = make_failed_performance()
    performance.record_sent(0.6)
    assert performance.is_suspect(0.61)


def test_others_follow_once_the_trial_is_answered():
    performance = make_failed_performance()
    performance.record_sent(0.6)
    performance.record_received()
    assert not performance.is_suspect(0.61)


def test_a_trial_that_hangs_does_not_keep_others_away_for_long():
    # The probe waits in a long queue at the upstream, or its answer was lost
    # on the way.
    performance = make_failed_performance()
    performance.record_sent(0.6)
    assert not performance.is_suspect(1.2)


def test_each_failed_trial_doubles_the_time():
    performance = make_failed_performance()
    performance.record_sent(0.6)
    performance.record_unreachable(1.0)
    assert performance.is_suspect(1.9)
    performance.record_sent(2.1)
    performance.record_unreachable(2.5)
    assert performance.is_suspect(4.4)


def test_failures_of_one_moment_count_once():
    performance = make_failed_performance()
    performance.record_unreachable(0.1)
    assert not performance.is_suspect(0.6)


def test_a_connection_that_does_not_open_keeps_others_away():
    performance = Performance()
    performance.record_connect_start(1.0)
    performance.record_connect_start(1.05)
    assert not performance.is_suspect(1.0 + SLOW_CONNECT_S / 2)
    assert performance.is_suspect(1.01 + SLOW_CONNECT_S)
    performance.record_connect_end(1.0)
    assert not performance.is_suspect(1.01 + SLOW_CONNECT_S)
    performance.record_connect_end(1.05)
    assert not performance.is_suspect(9.0)

"""Upstreams that are not there: how many requests find out."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from lab import worker as lab
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.performance import SLOW_CONNECT_S, Performance
from tests.gateway_stage import make_route, run_stage

INTERVAL_S = 0.01
DARK_S = 3.0
BEGIN_S = 0.1
"""Busy enough that an upstream without any request looks the best."""
MOST_TRIALS = 10
"""Five of the first moment, one each after 0.5, 1 and 2 s, and two more."""
PATIENT_ROUTE = make_route(
    "stream", "streaming", Resumable=True, TargetGapMs=300, TargetLatencyMs=2000
)
"""Callers, gateway and upstreams share a process here. With a shorter aim a
stall of 0.35 s on a busy machine passes for the silence of all upstreams."""


@contextlib.contextmanager
def open_dark_address():
    """An address whose VM answers no opening packet.

    The queue of its listener is full: the kernel drops what comes.
    """
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(16):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


async def test_few_requests_find_out_that_a_vm_is_dark(caplog):
    # A VM goes dark; the store lists it still. Each request that is sent
    # there loses the time limit of a connection. One shows that the upstream
    # is away, and one now and then asks whether it is back; the others, which
    # come a hundred times a second, must not be sent after it meanwhile.
    script = lab.make_stream(1, first_s=BEGIN_S)
    with open_dark_address() as address:
        async with run_stage(workers=2, script=script) as stage:
            stage.put_configuration(version=2, routes=[PATIENT_ROUTE])
            stage.put_entry("w2", Address=address)
            dark = next(
                u
                for u in stage.gateway.deployment.rotation.get_all()
                if u.id == "w2"
            )
            await stage.wait_until(lambda: dark.entry.address == address)
            deployment = stage.gateway.deployment
            await stage.wait_until(
                lambda: deployment.configuration.version == 2
            )
            end_s = get_elapsed_s() + DARK_S
            calls = []
            while get_elapsed_s() < end_s:
                calls.append(asyncio.ensure_future(stage.call("/stream/x")))
                await asyncio.sleep(INTERVAL_S)
            replies = await asyncio.gather(*calls)
    assert {reply.status for reply in replies} == {200}
    failed = [r for r in caplog.records if r.message == "attempt_failed"]
    assert {r.upstream for r in failed} == {"w2"}
    assert failed[0].left_out_s > 0.0
    assert 2 <= len(failed) <= MOST_TRIALS, len(failed)


def make_absent():
    performance = Performance()
    performance.note_absent(0.0)
    assert performance.is_suspect(0.4)
    assert not performance.is_suspect(0.6)
    return performance


def test_one_request_tries_an_upstream_that_failed():
    performance = make_absent()
    performance.note_sent(0.6)
    assert performance.is_suspect(0.61)


def test_others_follow_once_the_trial_is_answered():
    performance = make_absent()
    performance.note_sent(0.6)
    performance.note_heard()
    assert not performance.is_suspect(0.61)


def test_a_trial_that_hangs_does_not_keep_others_away_for_long():
    # It waits in a long queue there, or its answer was lost on the way.
    performance = make_absent()
    performance.note_sent(0.6)
    assert not performance.is_suspect(1.2)


def test_each_failed_trial_doubles_the_time():
    performance = make_absent()
    performance.note_sent(0.6)
    performance.note_absent(1.0)
    assert performance.is_suspect(1.9)
    performance.note_sent(2.1)
    performance.note_absent(2.5)
    assert performance.is_suspect(4.4)


def test_failures_of_one_moment_count_once():
    performance = make_absent()
    performance.note_absent(0.1)
    assert not performance.is_suspect(0.6)


def test_a_connection_that_does_not_open_keeps_others_away():
    performance = Performance()
    performance.note_connecting(1.0)
    performance.note_connecting(1.05)
    assert not performance.is_suspect(1.0 + SLOW_CONNECT_S / 2)
    assert performance.is_suspect(1.01 + SLOW_CONNECT_S)
    performance.note_connect_ended(1.0)
    assert not performance.is_suspect(1.01 + SLOW_CONNECT_S)
    performance.note_connect_ended(1.05)
    assert not performance.is_suspect(9.0)

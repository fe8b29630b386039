"""Versions whose faults, or whose gateway's, are not seen as they are."""

from __future__ import annotations

import asyncio
import time
import types

import pytest

from lab import worker as lab
from lovagestage.gateway.latency import MIN_SAMPLES, LatencyTable
from lovagestage.gateway.peer_messages import AnswerCountMessage, FailureMessage
from lovagestage.gateway.rollout_assignment import Assignment
from lovagestage.gateway.rollout_evidence import (
    MIN_NEW_FAILURES,
    AnswerQuality,
)
from lovagestage.gateway.rollout_reports import REPORTS
from lovagestage.gateway.run_weighing import RunWeighing
from lovagestage.gateway.stall_detection import StallDetector
from tests.gateway_harness import run_gateway_harness
from tests.test_gateway_rollouts import GOOD, VERY_SLOW, RolloutServiceHarness
from tests.test_rollout_evidence import run_rollout

USUAL_S = 0.02
STALL_S = 1.0
"""Far over the time after which an answer that usually takes `USUAL_S` is
slow."""
LOST_AT_ONCE = 40
"""Requests that run at an upstream at the moment of its crash."""
SLOW_PERCENT = 4
SLOW_QUALITIES = frozenset(AnswerQuality) - {
    AnswerQuality.GOOD,
    AnswerQuality.UNJUDGED,
    AnswerQuality.FAILED,
}
"""Answers in 100 of a good version that are slow; two to five are."""
ANSWERS_A_REPORT = 200
"""Answers of the new version at one gateway between two of its reports."""


async def run_against(path, old_script, new_script):
    """Rolls a version out against an older one; returns the final state."""
    async with run_gateway_harness(script=old_script) as harness:
        for name in ("n1", "n2"):
            await harness.add_worker(name, new_script, Version="v2")
        return await run_rollout(harness, path, 3.0)


async def test_version_that_answers_nothing_is_reverted():
    # Silence counts once for each upstream, and the two on trial are fewer
    # than the three failures that stop a version.
    state = await run_against("/safe/x", lab.answer_plain, lab.hang)
    assert state == "reverted"


async def test_version_that_breaks_off_each_stream_is_reverted():
    # Each of its streams begins in time, which counts as a good answer.
    breaking = lab.make_stream(events=4, break_after=1, pause_s=0.01)
    state = await run_against(
        "/stream/x", lab.make_stream(events=4, pause_s=0.01), breaking
    )
    assert state == "reverted"


class EvidenceRecorder:
    """Keeps the qualities that were recorded."""

    def __init__(self):
        self.qualities = []

    def record_answer(self, *arguments):
        self.qualities.append(arguments[4])
        return True

    def begin_request(self, *arguments):
        pass

    start_request = end_request = begin_request


def make_weighing(evidence):
    """Makes the weighing of a run whose usual times are known."""
    latency = LatencyTable()
    for _ in range(MIN_SAMPLES):
        latency.record(("r", None), USUAL_S)
        latency.record(("pace", "pool", None), USUAL_S)
    route = types.SimpleNamespace(name="r", target_latency_s=10.0 * USUAL_S)
    attempts = types.SimpleNamespace(
        admitted=types.SimpleNamespace(route=route, service="pool"),
        assignment=Assignment("v2", True),
        under_way=None,
    )
    upstream = types.SimpleNamespace(
        entry=types.SimpleNamespace(version="v2"),
        performance=types.SimpleNamespace(stall_detector=StallDetector()),
    )
    context = types.SimpleNamespace(latency=latency, evidence=evidence)
    return RunWeighing(context, attempts, upstream, None, False)


async def read_while_stalled():
    """Waits for data that arrives while the process stands still."""
    loop = asyncio.get_running_loop()
    answered = loop.create_future()
    loop.call_later(USUAL_S, answered.set_result, None)
    time.sleep(STALL_S)
    await answered


async def test_answer_that_a_stalled_gateway_reads_late_is_not_slow():
    # Each answer that waited for the gateway itself counted against the new
    # version, and those of one stall are enough to stop a good one.
    evidence = EvidenceRecorder()
    with make_weighing(evidence) as weighing:
        await read_while_stalled()
        weighing.record_start()
    assert not SLOW_QUALITIES.intersection(evidence.qualities)


async def test_stream_whose_gateway_stalls_is_not_slow():
    # The same between the events of a stream.
    evidence = EvidenceRecorder()
    with make_weighing(evidence) as weighing:
        weighing.record_start()
        for _ in range(4):
            weighing.record_event()
            await asyncio.sleep(USUAL_S)
        await read_while_stalled()
        weighing.record_event()
    assert not SLOW_QUALITIES.intersection(evidence.qualities)


async def test_stream_whose_caller_holds_it_up_is_not_slow():
    # What the caller did not take was not read, which counted as the pause of
    # the version; also where the caller left at last.
    for error in (None, ConnectionError()):
        evidence = EvidenceRecorder()
        weighing = make_weighing(evidence)
        weighing.__enter__()
        weighing.record_start()
        for pause_s in (0.0, 0.0, 0.0, 0.3, 0.0):
            weighing.record_event()
            await asyncio.sleep(pause_s)
            weighing.record_sent()
            await asyncio.sleep(USUAL_S)
        if error is not None:
            weighing.record_event()
            await asyncio.sleep(0.3)
        weighing.__exit__(error and type(error), error, None)
        assert not SLOW_QUALITIES.intersection(evidence.qualities)


async def test_slow_stream_is_slow_beside_a_stall_of_its_gateway():
    # One stall must not excuse the pauses that the version makes itself.
    evidence = EvidenceRecorder()
    with make_weighing(evidence) as weighing:
        weighing.record_start()
        for _ in range(4):
            weighing.record_event()
            await asyncio.sleep(5.0 * USUAL_S)
        await read_while_stalled()
        weighing.record_event()
    assert AnswerQuality.VERY_SLOW in evidence.qualities


def test_reports_do_not_leave_out_most_of_a_busy_gateways_good_answers():
    # What a gateway has to report is cut at the floor between two slow answers,
    # so that others see four in a row where 130 good ones lie between them.
    own, other = RolloutServiceHarness(), RolloutServiceHarness()
    trial = own.service._own_evidence["pool"]
    for _ in range(REPORTS):
        for number in range(ANSWERS_A_REPORT):
            is_slow = number % (100 // SLOW_PERCENT) == 0
            own.answer(VERY_SLOW if is_slow else GOOD)
        trial.report_due_s = 0.0
        own.service._report_counts()
        deliver(own, other)
    assert not own.rollout.is_stopped
    assert not other.rollout.is_stopped


def test_sums_of_all_gateways_are_equal():
    # Good answers on other routes, and the failures themselves, were missing
    # from what the others knew at a failure.
    own, other = RolloutServiceHarness(), RolloutServiceHarness()
    trial = own.service._own_evidence["pool"]
    for answers in (
        [("a", GOOD)] * 6 + [("b", VERY_SLOW)] * 2,
        [("b", VERY_SLOW)],
    ):
        for route, quality in answers:
            own.service.record_answer(
                "pool", route, Assignment("v2", True), own.upstreams[0], quality
            )
        trial.report_due_s = 0.0
        own.service._report_counts()
        deliver(own, other)
    sums = own.rollout.get_evidence_by_route()
    assert other.rollout.get_evidence_by_route() == pytest.approx(sums)
    total = own.rollout.get_total_evidence()
    assert other.rollout.get_total_evidence() == pytest.approx(total)


def test_crash_of_an_old_upstream_does_not_hide_a_failing_version():
    # Each request that a crash of the old version's upstream ends raised the
    # rate at which that version fails: a new one that fails every answer was
    # no worse then.
    harness = RolloutServiceHarness()
    for _ in range(LOST_AT_ONCE):
        harness.service.record_answer(
            "pool",
            "r",
            Assignment("v1"),
            harness.upstreams[0],
            AnswerQuality.LOST,
        )
    for _ in range(2 * MIN_NEW_FAILURES):
        harness.answer(AnswerQuality.FAILED)
    assert harness.rollout.is_stopped


def deliver(own, other):
    """Delivers one gateway's messages to another one."""
    messenger = own.service._peer_messenger
    for message in messenger._outbox:
        if isinstance(message, FailureMessage):
            other.service.on_failure_message(message)
        elif isinstance(message, AnswerCountMessage):
            other.service.on_count_message(message)
    messenger._outbox.clear()

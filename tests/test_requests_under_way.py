"""Tests what requests under way say of a new version."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab import worker as lab
from lovagestage.decisions.run_times import (
    MIN_SAMPLES,
    RunTimeTable,
    estimate_open_share,
)
from lovagestage.gateway.requests_under_way import RequestsUnderWay
from lovagestage.gateway.rollout_evidence import (
    PROOF_EVIDENCE,
    VERY_SLOW_RATE,
    get_log_likelihood_ratio,
    get_open_request_evidence,
)
from lovagestage.gateway.rollouts import (
    CALM_S,
    COMPLETE_ANSWERS,
    COMPLETE_RATIO,
    RolloutOutcome,
    UnderWayReport,
)
from tests.gateway_harness import (
    make_route,
    run_gateway_harness,
)
from tests.test_gateway_rollouts import ORDER, make_rollout
from tests.test_rollout_evidence import run_rollout

times = st.lists(st.floats(0.0, 10.0), max_size=12)


class Request:
    """A request that was sent at 0 s."""

    route = "r"

    def __init__(
        self,
        has_started=True,
        is_weighed=False,
        is_held_up=False,
        is_pace_slow=False,
    ):
        self.has_started = has_started
        self.is_weighed = is_weighed
        self.is_held_up = is_held_up
        self._is_pace_slow = is_pace_slow

    def get_age_s(self, now_s):
        return now_s

    def is_pace_slow(self):
        return self._is_pace_slow


def make_requests(old_times_s=(1.0,) * MIN_SAMPLES):
    requests = RequestsUnderWay()
    for time_s in old_times_s:
        request = Request()
        requests.begin("pool", False, request)
        requests.start(request, 0.1 * time_s)
        requests.end("pool", request, True, time_s)
    return requests


def get_evidence(requests, now_s):
    return requests.get_evidence("pool", lambda route: VERY_SLOW_RATE, now_s)


def test_the_share_of_requests_under_way_counts_those_that_have_not_ended():
    # Of four runs one ended at 1 s and one at 3 s; one was 2 s old.
    shares = [
        estimate_open_share([1.0, 3.0, 4.0], [2.0], age_s)
        for age_s in (0.5, 1.0, 2.5, 3.5, 4.0)
    ]
    assert shares == pytest.approx([1.0, 0.75, 0.75, 0.375, 0.0])


@given(times, times, st.floats(0.0, 10.0))
def test_the_share_falls_with_age_and_rises_with_runs_under_way(
    ended_s, under_way_s, age_s
):
    share = estimate_open_share(ended_s, under_way_s, age_s)
    assert 0.0 <= share <= 1.0
    assert share <= estimate_open_share(ended_s, under_way_s, 0.5 * age_s)
    assert share >= estimate_open_share(ended_s, (), age_s) - 1e-9


def test_times_of_too_few_runs_say_nothing():
    table = RunTimeTable()
    for _ in range(MIN_SAMPLES - 1):
        table.record("r", 1.0)
    assert table.get_open_share("r", (), 5.0) is None
    assert get_evidence(make_requests(()), 100.0) == 0.0


def test_a_request_counts_as_slow_once_the_old_version_would_have_ended():
    requests = make_requests()
    requests.begin("pool", True, Request())
    assert get_evidence(requests, 0.9) == 0.0
    slow = get_log_likelihood_ratio(VERY_SLOW_RATE, True)
    assert get_evidence(requests, 3.0) == pytest.approx(slow, rel=0.1)


def test_a_request_whose_answer_has_not_started_counts_sooner():
    requests = make_requests()
    requests.begin("pool", True, Request(has_started=False))
    assert get_evidence(requests, 0.09) == 0.0
    assert get_evidence(requests, 0.3) > 1.0


@pytest.mark.parametrize("fields", [{"is_weighed": True}, {"is_held_up": True}])
def test_a_request_that_is_weighed_or_held_up_by_its_caller_is_left_out(fields):
    requests = make_requests()
    requests.begin("pool", True, Request(**fields))
    assert get_evidence(requests, 3.0) == 0.0


def test_a_young_request_whose_events_come_slowly_counts():
    requests = make_requests()
    requests.begin("pool", True, Request(is_pace_slow=True))
    assert get_evidence(requests, 0.1) == get_open_request_evidence(
        0.0, VERY_SLOW_RATE
    )


def test_requests_that_last_as_long_at_the_old_version_excuse_the_new_one():
    requests = make_requests()
    for _ in range(10 * MIN_SAMPLES):
        requests.begin("pool", False, Request())
    requests.begin("pool", True, Request())
    assert get_evidence(requests, 3.0) < 0.1


def test_requests_of_an_earlier_order_are_forgotten():
    requests = make_requests()
    requests.begin("pool", True, Request())
    requests.forget_trial("pool")
    assert get_evidence(requests, 3.0) == 0.0


DUE_S = 100.0 + COMPLETE_RATIO * ORDER.duration_s + 0.01


def test_requests_under_way_keep_a_version_from_completion_until_they_end():
    rollout = make_rollout()
    rollout.record_answers("edge-1", COMPLETE_ANSWERS, 1.2 * PROOF_EVIDENCE)
    age_s = DUE_S - 100.0
    rollout.record_under_way("edge-2", UnderWayReport(2.0, age_s, 5.0))
    assert rollout.get_due_outcome(DUE_S) is RolloutOutcome.RUNNING
    # An older report, which comes late, changes nothing.
    rollout.record_under_way("edge-2", UnderWayReport(0.0, age_s - 1.0, 5.0))
    assert rollout.get_due_outcome(DUE_S) is RolloutOutcome.RUNNING
    rollout.record_under_way("edge-2", UnderWayReport(0.0, age_s, 5.0))
    soon_s = DUE_S + 0.9 * CALM_S
    assert rollout.get_due_outcome(soon_s) is RolloutOutcome.RUNNING
    calm_s = DUE_S + CALM_S
    assert rollout.get_due_outcome(calm_s) is RolloutOutcome.COMPLETED


def test_requests_of_a_gateway_that_reports_no_more_count_for_a_while_only():
    rollout = make_rollout()
    rollout.record_answers("edge-1", COMPLETE_ANSWERS, 1.2 * PROOF_EVIDENCE)
    report = UnderWayReport(2.0, DUE_S - 100.0 - 5.1, 5.0)
    rollout.record_under_way("edge-2", report)
    assert rollout.get_due_outcome(DUE_S) is RolloutOutcome.COMPLETED


async def test_version_whose_slow_streams_outlast_the_order_is_not_completed():
    # At the verdict its quick streams had ended and spoke for it; the slow ones
    # were under way and said nothing.
    numbers = itertools.count()
    usual = lab.make_stream(events=12, pause_s=0.01)
    slow = lab.make_stream(events=400, pause_s=[0.01] + [0.1] * 399)

    async def run(arrival, writer):
        await (slow if next(numbers) % 2 else usual)(arrival, writer)

    stream = {"Resumable": True, "TargetGapMs": 300, "TimeoutMs": 30_000}
    routes = [make_route("stream", "streaming", **stream)]
    async with run_gateway_harness(script=usual) as harness:
        harness.put_configuration(version=2, routes=routes)
        for name in ("n1", "n2", "n3"):
            await harness.add_worker(name, run, Version="v2", MaxBatchSize=1000)
        state = await run_rollout(harness, "/stream/x", 30.0)
        assert state != "completed"

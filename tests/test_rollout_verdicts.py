"""Tests which evidence leads to which verdict on a new version."""

from __future__ import annotations

import dataclasses
import random

from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.latency import LatencyTable
from lovagestage.gateway.peer_messages import AnswerCountMessage
from lovagestage.gateway.rollout_evidence import (
    MEAN_PROOF_EVIDENCE,
    PROOF_EVIDENCE,
    SLOW_RATE,
    AnswerQuality,
    get_log_likelihood_ratio,
)
from lovagestage.gateway.rollout_outcomes import OutcomeStore
from lovagestage.gateway.rollout_shares import (
    COMPLETE_RATIO,
    FIRST_SHARES,
    LOAD_STEP,
)
from lovagestage.gateway.rollouts import (
    COMPLETE_ANSWERS,
    LATE_ANSWERS,
    LATE_RATIO,
    OVERDUE_RATIO,
    SESSION_COLLECTION_S,
    VERDICT_MARGIN_S,
    Rollout,
    RolloutOutcome,
)
from lovagestage.platform.records import Page
from lovagestage.types import Position
from tests.test_gateway_rollouts import (
    ORDER,
    VERY_SLOW,
    RolloutServiceHarness,
    add_answers,
    get_new_seeds,
    make_loaded,
    make_rollout,
)


def test_a_suspected_version_is_not_completed_by_time():
    # Each of three routes has some slow answers, none of them enough to stop
    # the version: it was completed because 20 answers were known.
    rollout = make_rollout()
    for route in "abc":
        add_answers(rollout, ".x..x..x", failure_rate=0.1, route=route)
    rollout.record_answers("edge-2", COMPLETE_ANSWERS)
    due = rollout.get_due_outcome(100.0 + LATE_RATIO * ORDER.duration_s + 0.01)
    assert due is not RolloutOutcome.COMPLETED


def test_many_answers_do_not_hide_that_some_are_bad():
    # One answer in five is bad: over 100 answers the sum alone was proof.
    rollout = make_rollout()
    rollout.record_answers("edge-1", 100, PROOF_EVIDENCE - 1.0)
    due_s = 100.0 + COMPLETE_RATIO * ORDER.duration_s + 0.01
    assert rollout.get_due_outcome(due_s) is RolloutOutcome.RUNNING


def test_the_verdict_on_a_short_order_leaves_time_to_write_it():
    # The verdict was due 0.6 s before the end of an order of 12 s, was written
    # 0.4 s later and not yet followed by all when the time was over.
    rollout = Rollout(dataclasses.replace(ORDER, duration_s=12.0), 7, 100.0)
    rollout.record_answers("edge-1", COMPLETE_ANSWERS, 2.0 * PROOF_EVIDENCE)
    due_s = 112.0 - VERDICT_MARGIN_S
    assert rollout.get_due_outcome(due_s - 0.01) is RolloutOutcome.RUNNING
    assert rollout.get_due_outcome(due_s + 0.01) is RolloutOutcome.COMPLETED


def test_a_version_that_is_slow_in_the_load_step_is_stopped():
    # Slow answers were dropped there, and from the start of a roll-out whose
    # first share was as large as that of the load step.
    loaded = make_loaded()
    for _ in range(10):
        loaded.answer(VERY_SLOW)
    assert loaded.rollout.is_stopped
    large = RolloutServiceHarness()
    large.rollout.set_first_share(
        max(FIRST_SHARES), get_elapsed_s() - SESSION_COLLECTION_S
    )
    for _ in range(5):
        large.answer(VERY_SLOW)
    assert large.rollout.is_stopped


def test_a_crash_counts_once_for_each_upstream():
    # All requests at an upstream end with it; the crash of two upstreams would
    # end the roll-out of a good version.
    crashed = RolloutServiceHarness()
    for _ in range(30):
        crashed.answer(AnswerQuality.LOST)
        crashed.answer(AnswerQuality.SILENT)
    assert crashed.rollout.new_failures == len(crashed.upstreams)
    assert not crashed.rollout.is_stopped


def test_the_queue_of_a_slow_version_does_not_excuse_it():
    # What waits at a slow upstream waits for its slowness: the longer the queue
    # there, the later an answer was still taken for a good one.
    times = LatencyTable()
    for _ in range(20):
        times.record("stream", 0.15)
    assert times.is_slow("stream", 8 * 0.15, queue_s=2.0)


class StoreWithNews:
    """A store whose read takes so long that a failure is reported meanwhile."""

    def __init__(self, on_read):
        self.on_read = on_read
        self.appended = []

    async def read_newest(self, topic, timeout_s):
        self.on_read()
        return Page((), Position(0))

    async def append(self, topic, records, timeout_s, expected_end):
        self.appended.append(records)


async def test_evidence_that_comes_while_the_verdict_is_written_counts():
    # The version is due to be completed; another gateway's failures arrive
    # between that decision and its record.
    rollout = make_rollout()
    rollout.apply_age(ORDER.duration_s, get_elapsed_s())
    rollout.record_answers("edge-1", COMPLETE_ANSWERS, 2.0 * PROOF_EVIDENCE)
    due = rollout.get_due_outcome(get_elapsed_s())
    assert due is RolloutOutcome.COMPLETED
    store = StoreWithNews(lambda: add_answers(rollout, "xxxx", 0.02))
    outcomes = OutcomeStore(store, random.Random(1))
    written = await outcomes.write(rollout, due, lambda order: 0.1)
    assert written.outcome is RolloutOutcome.REVERTED


DEADLINE_S = 100.0 + ORDER.duration_s


def test_an_undecided_version_loses_its_load_step_and_is_reverted():
    # Its share, the load step's included, was kept without end.
    rollout = make_rollout()
    rollout.record_answers("edge-1", COMPLETE_ANSWERS, 0.5 * PROOF_EVIDENCE)
    end_s = 100.0 + OVERDUE_RATIO * ORDER.duration_s
    assert rollout.get_share(end_s - 0.01) == LOAD_STEP.share
    assert rollout.get_share(end_s + 0.01) == rollout.first_share
    assert rollout.get_due_outcome(end_s - 0.01) is RolloutOutcome.RUNNING
    assert rollout.get_due_outcome(end_s + 0.01) is RolloutOutcome.REVERTED


def test_sessions_stay_on_a_version_that_is_undecided_at_its_deadline():
    # Guards against sessions that the load step moved and that go back at the
    # deadline, and to the new version again once it is completed.
    rollout = make_rollout()
    rollout.record_answers("edge-1", COMPLETE_ANSWERS, 0.5 * PROOF_EVIDENCE)
    moved = get_new_seeds(rollout, DEADLINE_S - 0.01)
    assert len(moved) > len(get_new_seeds(rollout, 100.0))
    assert get_new_seeds(rollout, DEADLINE_S + 2.0) == moved
    rollout.is_stopped = True
    assert not get_new_seeds(rollout, DEADLINE_S + 2.0)


def test_a_proved_version_does_not_hang_on_one_slow_answer():
    # The only answer on a rarely used route was slow, and no other follows.
    rollout = make_rollout()
    add_answers(rollout, "." * 40, failure_rate=0.1)
    add_answers(rollout, "x", failure_rate=0.1, route="rare")
    total = rollout.get_total_evidence()
    rollout.record_answers("edge-1", 41, total)
    end_s = 100.0 + OVERDUE_RATIO * ORDER.duration_s
    assert rollout.get_due_outcome(end_s - 0.01) is RolloutOutcome.RUNNING
    assert rollout.get_due_outcome(end_s + 0.01) is RolloutOutcome.COMPLETED


def test_a_slow_answer_near_the_deadline_is_not_passed_over():
    # Few answers speak for a version; the last ones of a route speak against.
    rollout = make_rollout()
    add_answers(rollout, "." * 17, failure_rate=0.1)
    add_answers(rollout, "x", failure_rate=0.1, route="rare")
    rollout.record_answers("edge-1", 19, rollout.get_total_evidence())
    due = rollout.get_due_outcome(DEADLINE_S + 0.01)
    assert due is RolloutOutcome.RUNNING


def test_a_failure_just_before_the_deadline_is_not_passed_over():
    # As good in sum and mean, but a route's last answers speak against it.
    rollout = make_rollout()
    add_answers(rollout, "." * 80, failure_rate=0.1)
    add_answers(rollout, "xx", failure_rate=0.02, route="bad", upstreams=1)
    rollout.record_answers("edge-1", 82, 5.0 * PROOF_EVIDENCE)
    due = rollout.get_due_outcome(DEADLINE_S + 0.01)
    assert due is RolloutOutcome.RUNNING


def make_late(expected_requests, answers):
    """Makes a roll-out that is late and has had good answers alone."""
    rollout = make_rollout()
    rollout.set_first_share(0.1, 99.0 - SESSION_COLLECTION_S)
    rollout.set_expected_requests(expected_requests)
    total = answers * get_log_likelihood_ratio(SLOW_RATE, False)
    rollout.record_answers("edge-1", answers, total)
    return rollout.get_due_outcome(100.0 + LATE_RATIO * ORDER.duration_s + 0.01)


def test_few_answers_of_a_busy_service_complete_nothing():
    # The answers that had come in time were the quick ones of a slow version;
    # eight of them completed it, as if the service had little traffic.
    assert make_late(100.0, LATE_ANSWERS) is RolloutOutcome.COMPLETED
    assert make_late(1000.0, LATE_ANSWERS) is RolloutOutcome.RUNNING
    assert make_late(1000.0, COMPLETE_ANSWERS) is RolloutOutcome.COMPLETED


def test_a_service_that_brings_fewer_answers_is_not_held_up_by_them():
    assert make_late(180.0, 15) is RolloutOutcome.COMPLETED


def test_a_version_that_all_answers_prove_is_not_reverted_for_one_route():
    # Two very slow answers in a row on one route reverted a good version when
    # it was due; it waits for more of that route.
    rollout = make_rollout()
    add_answers(rollout, "." * 60, failure_rate=SLOW_RATE)
    add_answers(rollout, "xxx", failure_rate=0.1, route="rare")
    rollout.record_answers("edge-1", 63, 1.5 * 63 * MEAN_PROOF_EVIDENCE)
    due = rollout.get_due_outcome(100.0 + COMPLETE_RATIO * ORDER.duration_s)
    assert due is RolloutOutcome.RUNNING
    rollout.record_answers("edge-1", 64, 0.0)
    due = rollout.get_due_outcome(100.0 + COMPLETE_RATIO * ORDER.duration_s)
    assert due is RolloutOutcome.REVERTED


def test_a_gateway_with_few_requests_knows_how_many_the_others_get():
    # It took the service for one with little traffic, and completed a slow
    # version by the few quick answers that had come.
    harness = RolloutServiceHarness()
    rollout = harness.rollout
    rollout.set_first_share(0.1, get_elapsed_s() - SESSION_COLLECTION_S)
    for number, rate_per_s in enumerate((50.0, 60.0, 40.0)):
        message = AnswerCountMessage(
            "pool", 7, f"edge-{number}", 5, 1.0, requests_per_s=rate_per_s
        )
        harness.service.on_count_message(message)
    harness.service._update_expected_requests(rollout)
    assert rollout.get_mean_rate_per_s() == 50.0
    assert rollout.expected_answers > COMPLETE_ANSWERS

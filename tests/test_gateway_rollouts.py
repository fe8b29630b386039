"""Tests which requests a roll-out sends to a new version and what stops it."""

from __future__ import annotations

import asyncio
import json
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lab import worker as lab
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.latency import LatencyTable
from lovagestage.gateway.peer_messages import (
    PEER_MESSAGES_TOPIC,
    ActiveSessionsMessage,
    HelloMessage,
    decode_batch,
)
from lovagestage.gateway.peer_messenger import PeerMessenger
from lovagestage.gateway.rollout_assignment import Assignment, choose_version
from lovagestage.gateway.rollout_evidence import (
    PROOF_EVIDENCE,
    SLOW_RATE,
    AnswerQuality,
    get_log_likelihood_ratio,
)
from lovagestage.gateway.rollout_service import RolloutService
from lovagestage.gateway.rollout_shares import (
    COMPLETE_RATIO,
    DEFAULT_SHARE,
    FIRST_SHARES,
    LOAD_STEP,
    TRIAL_LOAD_FACTOR,
    choose_trial_upstreams,
    get_first_share,
)
from lovagestage.gateway.rollouts import (
    COMPLETE_ANSWERS,
    LATE_ANSWERS,
    LATE_RATIO,
    OVERDUE_RATIO,
    SESSION_COLLECTION_S,
    Rollout,
    RolloutOrder,
    RolloutOutcome,
)
from lovagestage.gateway.upstream import UpstreamEntry
from lovagestage.platform.settings import decode_settings
from lovagestage.platform.store import StoreClient
from tests.gateway_harness import (
    make_deployment,
    make_settings_text,
    run_gateway_harness,
)

ORDER = RolloutOrder("pool", "v2", 20.0)
BOTH = ["v1", "v2"]


def make_rollout():
    rollout = Rollout(ORDER, 7, 100.0)
    rollout.set_first_share(DEFAULT_SHARE, 99.0 - SESSION_COLLECTION_S)
    return rollout


def test_nothing_goes_to_the_new_version_before_a_share_is_agreed():
    # If gateways began with shares of their own, a session would alternate
    # between the versions as its requests arrive at one gateway or another.
    assert Rollout(ORDER, 7, 100.0).get_share(105.0) == 0.0


def get_new_seeds(rollout, now_s, count=1000):
    return {
        seed
        for seed in range(count)
        if choose_version(rollout, BOTH, str(seed), now_s).is_new
    }


def test_sessions_only_ever_move_to_the_new_version():
    # A session that was answered by the new version must not return to the old
    # one while the new one is good.
    rollout = make_rollout()
    moved = set()
    for now_s in range(100, 120):
        new = get_new_seeds(rollout, now_s)
        assert moved <= new
        moved = new


def test_the_share_stands_still_in_the_first_half():
    rollout = make_rollout()
    assert get_new_seeds(rollout, 100.0) == get_new_seeds(rollout, 109.9)
    assert 25 < len(get_new_seeds(rollout, 105.0)) < 90


def add_answers(rollout, pattern, failure_rate, route="r", upstreams=2):
    """Records answers of the new version: `x` failed, `.` did not."""
    for number, letter in enumerate(pattern):
        failed = letter == "x"
        evidence = get_log_likelihood_ratio(failure_rate, failed)
        rollout.add_evidence(route, evidence)
        total = rollout.get_total_evidence() + evidence
        rollout.record_answers("edge-1", number + 1, total)
        if failed:
            rollout.add_failure(f"n{number % upstreams}", 2)


def test_failures_on_the_new_version_alone_stop_it():
    rollout = make_rollout()
    add_answers(rollout, ".x.xx", failure_rate=0.0)
    assert rollout.is_stopped
    assert get_new_seeds(rollout, 105.0) == set()
    assert rollout.get_due_outcome(105.0) is RolloutOutcome.REVERTED


def test_failures_on_both_versions_stop_nothing():
    # A zone or a network link fails half of the requests of both versions: the
    # old version's rate is known, and the new one's failures are no more
    # frequent than that.
    rollout = make_rollout()
    add_answers(rollout, "x.x..xx." * 20, failure_rate=0.5)
    assert not rollout.is_stopped


def test_the_usual_failures_of_a_route_stop_nothing():
    # One answer in seven of the route fails, whichever version answers.
    rollout = make_rollout()
    add_answers(rollout, "......x" * 30, failure_rate=0.14)
    assert not rollout.is_stopped


def test_a_version_that_is_bad_on_one_route_is_stopped():
    # Most traffic is on a route without faults. If all routes were weighed
    # together, its good answers would outweigh the failures of the other
    # route.
    rollout = make_rollout()
    for _ in range(8):
        add_answers(rollout, "." * 6, failure_rate=0.02, route="fine")
        add_answers(rollout, ".xx", failure_rate=0.02, route="bad")
    assert rollout.is_stopped


def test_a_version_that_turns_bad_late_is_stopped_as_fast():
    # A hundred good answers must not outweigh the failures that follow them.
    rollout = make_rollout()
    add_answers(rollout, "." * 100 + "xx.xx", failure_rate=0.02)
    assert rollout.is_stopped


def test_one_upstream_that_fails_is_no_evidence_against_its_version():
    # One of two upstreams of the new version fails some of its requests.
    rollout = make_rollout()
    add_answers(rollout, "x.xxx" * 5, failure_rate=0.02, upstreams=1)
    assert not rollout.is_stopped


def test_the_first_share_keeps_within_the_allowed_exposure():
    # Over the complete roll-out, 15 in 100 requests and 30 more may reach a bad
    # version, also one whose fault never shows: the load step and the time
    # after the completion count as well.
    for ratio, expected in (
        (0.15, 100.0),
        (0.15, 470.0),
        (0.15, 5000.0),
        (0.0975, 4800.0),
    ):
        share = get_first_share(ratio, 30.0, expected)
        total = share * LOAD_STEP.from_ratio
        total += LOAD_STEP.share * (COMPLETE_RATIO - LOAD_STEP.from_ratio)
        total += 1.0 - COMPLETE_RATIO
        assert total * expected <= ratio * expected + 30.0
    assert get_first_share(0.15, 30.0, 0.0) == DEFAULT_SHARE
    assert get_first_share(0.01, 0.0, 1e6) == min(FIRST_SHARES)


def test_the_load_step_waits_for_answers():
    # The service has few requests: without answers of the new version nothing
    # is known about it, and most traffic must not be sent to it only because
    # time has passed.
    rollout = make_rollout()
    rollout.record_answers("edge-1", 10)
    first = rollout.get_share(100.0)
    assert rollout.get_share(118.5) == first
    rollout.record_answers("edge-2", 10)
    assert rollout.get_share(110.0) == first
    assert rollout.get_share(118.5) == LOAD_STEP.share


def test_an_unstopped_version_is_completed_before_its_time_is_over():
    rollout = make_rollout()
    due_s = 100.0 + COMPLETE_RATIO * ORDER.duration_s
    assert rollout.get_due_outcome(due_s + 5.0) is RolloutOutcome.RUNNING
    rollout.record_answers("edge-1", COMPLETE_ANSWERS)
    assert rollout.get_due_outcome(due_s + 5.0) is RolloutOutcome.RUNNING
    rollout.record_answers("edge-1", COMPLETE_ANSWERS, PROOF_EVIDENCE)
    assert rollout.get_due_outcome(due_s - 0.1) is RolloutOutcome.RUNNING
    assert rollout.get_due_outcome(due_s + 0.01) is RolloutOutcome.COMPLETED


def test_a_service_with_few_requests_is_completed_a_little_later():
    rollout = make_rollout()
    add_answers(rollout, "." * LATE_ANSWERS, failure_rate=SLOW_RATE)
    late_s = 100.0 + LATE_RATIO * ORDER.duration_s
    assert rollout.get_due_outcome(late_s - 0.1) is RolloutOutcome.RUNNING
    assert rollout.get_due_outcome(late_s + 0.01) is RolloutOutcome.COMPLETED
    suspected = make_rollout()
    add_answers(suspected, "...xx", failure_rate=0.02)
    assert suspected.get_due_outcome(late_s + 0.01) is RolloutOutcome.RUNNING


def test_a_restarted_gateway_learns_the_orders_age():
    # The process was killed in the middle of the roll-out. The new process
    # counts time from its own start, and another gateway's message reports how
    # old the order is.
    rollout = Rollout(ORDER, 7, 110.0)
    rollout.apply_age(10.0, 110.0)
    assert rollout.get_age_s(112.0) == 12.0


def test_a_completed_version_is_the_only_one():
    rollout = make_rollout()
    rollout.outcome = RolloutOutcome.COMPLETED
    chosen = {
        choose_version(rollout, BOTH, str(seed), 101.0).version
        for seed in range(50)
    }
    assert chosen == {"v2"}


def test_a_session_that_goes_on_stays_on_the_old_version_in_the_first_half():
    # A session had a request on the old version a moment before the share was
    # agreed. Its hash is below the share, but in the first half it must not
    # change its version; a session that begins later goes to the new version.
    deployment = make_deployment()
    for number, version in enumerate(BOTH):
        entry = UpstreamEntry("pool", f"h:{number}", "a", version, 4, False)
        deployment.rotation.apply(f"w{number}", entry, number, 0.0, False)
    rollout = make_rollout()
    moved = str(next(iter(get_new_seeds(rollout, 100.0))))
    assert not deployment.assign("pool", moved, "q1", 98.0).is_new
    deployment.rollouts["pool"] = rollout
    assert not deployment.assign("pool", moved, "q2", 102.0).is_new
    assert not deployment.assign("pool", moved, "q3", 106.0).is_new
    assert deployment.assign("pool", moved, "q4", 112.0).is_new
    deployment.pins.expire(200.0)
    assert len(deployment.pins) == 0
    again = make_deployment()
    again.rotation, again.rollouts = deployment.rotation, deployment.rollouts
    assert again.assign("pool", moved, "q5", 102.0).is_new


def test_sessions_of_other_gateways_stay_where_they_are_in_the_first_half():
    # A session had a request on the old version at another gateway, and its
    # next one arrives here. The other gateway has reported the session while
    # sessions were collected, before any request went to the new version.
    rollout = Rollout(ORDER, 7, 100.0)
    rollout.set_first_share(0.1, 100.0)
    assert rollout.get_share(100.0 + SESSION_COLLECTION_S - 0.1) == 0.0
    active_session = next(
        s for s in map(str, range(99)) if rollout.is_below_first_share(s)
    )
    rollout.held_sessions.add(active_session)
    assert not choose_version(rollout, BOTH, active_session, 105.0).is_new
    assert choose_version(rollout, BOTH, active_session, 111.0).is_new
    rollout.held_sessions.clear()
    assert choose_version(rollout, BOTH, active_session, 105.0).is_new


async def test_gateways_report_active_sessions_to_each_other():
    async with run_gateway_harness() as harness:
        await harness.add_worker("n1", Version="v2")
        for number in range(200):
            await harness.call(
                "/safe/x", request_id=f"q{number}", Session=f"s{number}"
            )
        await put_order(harness, duration_s=30.0)
        (rollout,) = harness.gateway.deployment.rollouts.values()
        await harness.wait_until(lambda: rollout.held_sessions)
        assert all(
            rollout.is_below_first_share(s) for s in rollout.held_sessions
        )

        def count_reported_sessions():
            batches = map(
                decode_batch,
                harness.store.get_topic(PEER_MESSAGES_TOPIC).read(0, 99),
            )
            return sum(
                len(message.sessions)
                for batch in batches
                for message in batch.messages
                if isinstance(message, ActiveSessionsMessage)
            )

        await harness.wait_until(
            lambda: count_reported_sessions() == len(rollout.held_sessions)
        )


async def put_order(harness, version="v2", duration_s=4.0):
    data = {"Service": "pool", "Target": version, "DurationS": duration_s}
    harness.store.append_keyed(
        "keyed.op", "rollout/pool", json.dumps(data).encode()
    )
    await harness.wait_until(lambda: harness.gateway.deployment.rollouts)


def get_status(harness):
    topic = harness.store.get_topic("keyed.status")
    found = topic.newest.get("rollout/pool")
    return json.loads(found[1]) if found else {}


async def test_a_bad_version_is_reverted_for_the_operators_to_see():
    # The new version fails every request. The callers are served by the old
    # one, and once the evidence suffices the roll-out's outcome is written to
    # the store.
    async with run_gateway_harness() as harness:
        await harness.add_worker("n1", lab.fail, Version="v2")
        await harness.add_worker("n2", lab.fail, Version="v2")
        await put_order(harness, duration_s=30.0)
        await harness.wait_until(
            lambda: len(harness.gateway.deployment.rotation) == 4
        )
        await call_until(harness, "reverted")
        assert get_status(harness)["Target"] == "v2"


async def call_until(harness, state):
    number = 0
    async with asyncio.timeout(25):
        while get_status(harness).get("State") != state:
            number += 1
            reply = await harness.call("/safe/x", request_id=f"a{number}")
            assert reply.status == 200


async def test_a_good_version_is_completed_and_gets_all():
    async with run_gateway_harness() as harness:
        await harness.add_worker("n1", Version="v2")
        await put_order(harness, duration_s=3.0)
        await call_until(harness, "completed")
        for number in range(5):
            await harness.call("/safe/x", request_id=f"c{number}")
        arrivals = harness.workers["n1"].arrivals
        assert {f"c{n}" for n in range(5)} <= {a.request_id for a in arrivals}


async def test_an_outcome_is_written_once_though_its_answer_is_lost():
    # The store carries out the append and its answer is lost. The gateway
    # reads the topic again, finds its own record and writes no second one.
    async with run_gateway_harness() as harness:
        await harness.add_worker("n1", Version="v2")
        harness.store.faults.lose_appends = 2
        await put_order(harness, duration_s=3.0)
        await call_until(harness, "completed")
        await asyncio.sleep(1.0)
        assert harness.store.get_topic("keyed.status").end == 2


async def test_a_final_outcome_in_the_store_wins():
    # Another gateway has reverted the order; this one has just started and
    # must not send any request to the new version.
    async with run_gateway_harness() as harness:
        await harness.add_worker("n1", Version="v2")
        offset = harness.store.get_topic("keyed.op").end
        record = {"State": "reverted", "Target": "v2", "Order": offset}
        harness.store.append_keyed(
            "keyed.status", "rollout/pool", json.dumps(record).encode()
        )
        await put_order(harness, duration_s=2.0)
        await harness.wait_until(lambda: harness.gateway.is_ready())
        for number in range(40):
            await harness.call("/safe/x", request_id=f"c{number}")
        assert harness.workers["n1"].arrivals == []
        assert get_status(harness)["State"] == "reverted"


async def test_all_gateways_follow_the_first_share_that_was_written():
    async with run_gateway_harness() as harness:
        await harness.add_worker("n1", Version="v2")
        offset = harness.store.get_topic("keyed.op").end
        record = {
            "State": "in_progress",
            "Target": "v2",
            "Order": offset,
            "Share": 0.42,
        }
        harness.store.append_keyed(
            "keyed.status", "rollout/pool", json.dumps(record).encode()
        )
        await put_order(harness, duration_s=30.0)
        (rollout,) = harness.gateway.deployment.rollouts.values()
        await harness.wait_until(lambda: rollout.first_share == 0.42)


class RolloutMachine(RuleBasedStateMachine):
    """Records failures, time and other gateways' messages in any order.

    The model expects that an outcome is final, that a stopped or reverted
    version gets no requests and is never completed, and that otherwise the
    share never falls before twice the order's duration is over, and is the
    first one then.
    """

    def __init__(self):
        super().__init__()
        self.rollout = make_rollout()
        self.now_s = 100.0
        self.share = 0.0
        self.was_stopped = False
        self.final = None

    @rule(seconds=st.floats(0.05, 4.0))
    def wait(self, seconds):
        self.now_s += seconds

    @rule(
        failed=st.booleans(),
        failure_rate=st.floats(0.0, 1.0),
        route=st.sampled_from("ab"),
        upstream=st.sampled_from(["n1", "n2"]),
    )
    def answer(self, failed, failure_rate, route, upstream):
        self.rollout.add_evidence(
            route, get_log_likelihood_ratio(failure_rate, failed)
        )
        if failed:
            self.rollout.add_failure(upstream, 2)

    @rule(gateway=st.sampled_from("xy"), count=st.integers(0, 60))
    def count(self, gateway, count):
        self.rollout.record_answers(gateway, count)

    @rule(age_s=st.floats(0.0, 25.0))
    def hear(self, age_s):
        age_s = min(age_s, self.now_s - 100.0)
        self.rollout.apply_age(age_s, self.now_s)

    @rule()
    def settle(self):
        due = self.rollout.get_due_outcome(self.now_s)
        if due is not RolloutOutcome.RUNNING:
            assert self.final is None
            self.rollout.outcome = self.final = due

    @invariant()
    def keeps_its_word(self):
        share = self.rollout.get_share(self.now_s)
        self.was_stopped |= self.rollout.is_stopped
        if self.final is RolloutOutcome.COMPLETED:
            assert share == 1.0
        elif self.was_stopped or self.final is RolloutOutcome.REVERTED:
            assert share == 0.0
        elif self.rollout.get_elapsed_ratio(self.now_s) >= OVERDUE_RATIO:
            assert share == self.rollout.first_share
        else:
            assert share >= self.share
            assert share <= LOAD_STEP.share
        self.share = share


RolloutMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestRollout = RolloutMachine.TestCase


def simulate_trial(fails_from, seed):
    """Simulates a roll-out at 240 requests a second, 0.3 s each at an upstream.

    An upstream of the new version fails requests while it runs `fails_from` or
    more concurrently.

    Returns:
        The upstreams that answered, and the roll-out.
    """
    rng = random.Random(seed)
    deployment = make_deployment()
    for number in range(94):
        version = BOTH[number % 2]
        entry = UpstreamEntry("pool", f"h:{number}", "a", version, 12, False)
        deployment.rotation.apply(f"w{number}", entry, number, 0.0, False)
    rollout = Rollout(ORDER, 7, 0.0)
    rollout.set_first_share(0.015, 0.0)
    deployment.rollouts["pool"] = rollout
    ends: dict[str, list[float]] = {}
    total = int(240 * COMPLETE_RATIO * ORDER.duration_s)
    for number in range(total):
        now_s = number / 240
        assignment = deployment.assign("pool", None, f"q{number}", now_s)
        if not assignment.is_new:
            continue
        candidates = deployment.get_upstreams("pool", assignment, now_s)
        name = rng.choice(candidates).id
        active = [end_s for end_s in ends.get(name, ()) if end_s > now_s]
        ends[name] = [*active, now_s + 0.3]
        failed = len(active) >= fails_from
        evidence = get_log_likelihood_ratio(0.02, failed)
        total = rollout.get_total_evidence() + evidence
        rollout.record_answers("edge", rollout.get_answer_count() + 1, total)
        rollout.add_evidence("r", evidence)
        if failed:
            rollout.add_failure(name, 47)
        if rollout.is_stopped:
            break
    return ends.keys(), rollout


def test_a_version_that_fails_in_bursts_is_found_out_before_it_has_all():
    # On an average day an upstream runs 1.5 concurrent requests, in a burst 3.
    # The new version fails from the fifth concurrent request on, which would
    # occur with the first burst after its completion: by then the old version
    # no longer runs, and callers would get failures until the operators act.
    for seed in range(6):
        _, rollout = simulate_trial(4, seed)
        assert rollout.is_stopped


def test_a_version_that_sustains_bursts_passes_its_trial():
    for seed in range(6):
        used, rollout = simulate_trial(12, seed)
        assert rollout.get_due_outcome(19.5) is RolloutOutcome.COMPLETED
        assert len(used) > 2


def test_all_gateways_try_the_new_version_at_the_same_upstreams():
    # Each gateway discovers the upstreams in another order.
    names = [f"w{number}" for number in range(47)]
    chosen = choose_trial_upstreams(names, "7", LOAD_STEP.share)
    assert chosen == choose_trial_upstreams(names[::-1], "7", LOAD_STEP.share)
    assert len(chosen) * TRIAL_LOAD_FACTOR >= LOAD_STEP.share * len(names)
    assert choose_trial_upstreams(names, "7", 0.015) < chosen
    assert choose_trial_upstreams(names[:1], "7", 0.015) == {"w0"}


def test_a_version_without_others_is_not_kept_to_a_few_upstreams():
    # The old version's upstreams have crashed while the new one is on trial.
    deployment = make_deployment()
    for number in range(9):
        entry = UpstreamEntry("pool", f"h:{number}", "a", "v2", 4, False)
        deployment.rotation.apply(f"w{number}", entry, number, 0.0, False)
    deployment.rollouts["pool"] = make_rollout()
    assignment = deployment.assign("pool", None, "q1", 105.0)
    assert len(deployment.get_upstreams("pool", assignment, 105.0)) == 9


def test_a_full_upstream_is_not_taken_for_a_slow_version():
    # The new version's upstreams have cached no prompt prefix and are as full
    # as in a burst. A prompt that the old version begins to answer after 0.15
    # s waits 0.2 s there and is prefilled again for 0.2 s, although the
    # version is as fast as the old one. A version that is eight times slower
    # is found even without a queue.
    times = LatencyTable()
    for _ in range(20):
        times.record("stream", 0.15)
    assert times.is_slow("stream", 0.55)
    assert not times.is_slow("stream", 0.55, queue_s=0.2, prefill_s=0.2)
    assert times.is_slow("stream", 8 * 0.15, queue_s=0.05)


GOOD, SLOW = AnswerQuality.GOOD, AnswerQuality.SLOW
VERY_SLOW = AnswerQuality.VERY_SLOW


class RolloutServiceHarness:
    """Records one gateway's answers of a new version, from three upstreams."""

    def __init__(self):
        deployment = make_deployment()
        bounds = decode_settings(make_settings_text(1, 2, 3), "boot").bounds
        store = StoreClient("127.0.0.1:1")
        self.service = RolloutService(
            store, deployment, "vm", bounds, random.Random(1)
        )
        self.service.set_peer_messenger(
            PeerMessenger(store, "vm", 1, HelloMessage(""))
        )
        self.service.on_order(ORDER, 7)
        self.rollout = deployment.rollouts["pool"]
        for number in range(3):
            entry = UpstreamEntry("pool", f"h:{number}", "a", "v2", 4, False)
            deployment.rotation.apply(f"w{number}", entry, number, 0.0, False)
        self.upstreams = deployment.rotation.get_all()

    def answer(self, quality):
        self.upstreams.append(self.upstreams.pop(0))
        self.service.record_answer(
            "pool", "r", Assignment("v2", True), self.upstreams[0], quality
        )


def test_a_few_slow_answers_say_less_than_failed_ones():
    # Of the answers of a good version on trial one in ten is slow, sometimes
    # three in a row. Of a version that is several times slower, all answers
    # are slow.
    good = RolloutServiceHarness()
    for quality in (SLOW, SLOW, SLOW, *[GOOD] * 27) * 20:
        good.answer(quality)
    assert not good.rollout.is_stopped
    slow = RolloutServiceHarness()
    for _ in range(5):
        slow.answer(VERY_SLOW)
    assert slow.rollout.is_stopped
    failing = RolloutServiceHarness()
    for _ in range(3):
        failing.answer(AnswerQuality.FAILED)
    assert failing.rollout.is_stopped


def make_loaded():
    loaded = RolloutServiceHarness()
    loaded.rollout.set_first_share(0.05, get_elapsed_s() - SESSION_COLLECTION_S)
    loaded.rollout.record_answers("other", LOAD_STEP.min_answers)
    loaded.rollout.apply_age(0.9 * ORDER.duration_s, get_elapsed_s())
    return loaded


def test_queues_at_the_load_step_do_not_stop_a_version():
    # The few upstreams of the new version are loaded as in a burst, and the
    # requests that other gateways send there are known with a delay: one answer
    # in five is slow. Failures count nevertheless.
    loaded = make_loaded()
    for quality in (SLOW, SLOW, SLOW, *[GOOD] * 12) * 20:
        loaded.answer(quality)
    assert not loaded.rollout.is_stopped
    for _ in range(3):
        loaded.answer(AnswerQuality.FAILED)
    assert loaded.rollout.is_stopped

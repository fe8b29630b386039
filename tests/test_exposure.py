"""Sequential tests and gates that stop roll-outs of bad versions."""

from __future__ import annotations

import itertools
import random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from lovagestage.decisions.exposure import (
    HOLDBACK_SHARE,
    Assignment,
    ExposureGate,
    StopReason,
)
from lovagestage.decisions.sequential_tests import (
    BETS,
    Direction,
    FailureTest,
    PairedTest,
    get_start_weight,
)
from lovagestage.state.document import RolloutSpec, RolloutState
from lovagestage.types import Offset, VmId

BUDGET = 300
CRASH_ASSIGNMENT = Assignment(True, 0.1)


def make_gate(name="e1", entries=1, epoch=1, **changes) -> ExposureGate:
    fields = {"steps": [0.1, 0.5, 1.0], "exposure_budget": BUDGET} | changes
    spec = RolloutSpec("m@1", "m@2", step_min_s=10.0, **fields)
    return ExposureGate(spec, Offset(epoch), entries, VmId(name), 1)


def send_requests(gate, rng, count, new_mean, now_s=0.0):
    for index in range(count):
        assignment = gate.assign(rng)
        gate.add_outcome(assignment, failed=False)
        mean = new_mean if assignment.is_new else 0.8
        gate.add_rating(assignment.is_new, mean + rng.uniform(-0.1, 0.1))
        gate.advance(now_s + index)


def test_start_weights_never_exceed_the_capital():
    assert sum(get_start_weight(t) for t in range(1, 100_000)) <= 1.0


@pytest.mark.parametrize("direction", Direction)
@pytest.mark.parametrize("new_part", [0.1, 0.5, 0.8])
def test_wealth_rarely_grows_under_the_null(direction, new_part):
    # The null hypothesis holds with equality, and scores are 0 or 1, which has
    # the largest variance. Ville's inequality allows 1 run in 20 above a wealth
    # of 20. A test that is valid only at a look fixed beforehand would exceed
    # it far more often.
    rng, runs, crossed = random.Random(4), 400, 0
    for _ in range(runs):
        test = PairedTest(0.1, direction, restarts=True)
        for _ in range(600):
            is_new = rng.random() < new_part
            test.add(is_new, float(rng.random() < (0.6 if is_new else 0.7)))
            if test.get_wealth() >= 20.0:
                crossed += 1
                break
    assert crossed / runs <= 0.05


def get_naive_wealth(pairs, margin):
    wealth = 0.0
    for bet in BETS:
        capital = 1.0
        old_mean = 0.5
        limit = 1.0 / max(1.0 - old_mean + margin, old_mean)
        for old, new in pairs:
            gain = old_mean - margin - new
            capital *= 1.0 + bet * limit * gain
            capital *= 1.0 + bet * limit * (old - old_mean)
        wealth += capital / len(BETS)
    return wealth


@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0, 1)), max_size=30))
def test_wealth_equals_a_naive_product(pairs):
    test = PairedTest(0.1, Direction.ABOVE, restarts=False)
    for _ in range(10):  # Initialises the old mean; no bets yet.
        test.add(False, 0.5)
    # The naive product holds its estimate of the old mean constant.
    test._update_old_mean = lambda value: None
    test._get_bet_sizes = lambda: (1, 1)
    for old, new in pairs:
        test.add(False, old)
        test.add(True, new)
    naive_wealth = get_naive_wealth(pairs, 0.1)
    assert test.get_wealth() == pytest.approx(naive_wealth, rel=1e-9, abs=1e-12)


@pytest.mark.parametrize("share", [0.05, 0.3, 0.75])
def test_common_failures_are_no_evidence(share):
    # A zone fails, so callers see failures of both versions in proportion to
    # their shares. A rule on the new version's own failure rate would roll back
    # a good version.
    rng, crossed = random.Random(5), 0
    for _ in range(200):
        test = FailureTest(1.5)
        for _ in range(300):
            test.add(rng.random() < share, share)
            if test.get_wealth() >= 100.0:
                crossed += 1
                break
    assert crossed <= 2


def test_crashes_stop_within_a_few_requests():
    gate = make_gate()
    rng = random.Random(1)
    exposed = 0
    while gate.stop_reason is None:
        assignment = gate.assign(rng)
        exposed += assignment.is_new
        gate.add_outcome(assignment, failed=assignment.is_new)
    assert gate.stop_reason is StopReason.FAILURES
    assert exposed <= 8


def test_version_that_turns_bad_late_is_stopped():
    # The new version is good for about a thousand ratings and bad after that.
    # Its mean over the full roll-out hardly changes, so a test that starts
    # only once would first have to lose the wealth from the good ratings.
    gate = make_gate(exposure_budget=100_000)
    rng = random.Random(2)
    send_requests(gate, rng, 4000, 0.8)
    assert gate.stop_reason is None
    send_requests(gate, rng, 1500, 0.55, 4000.0)
    assert gate.stop_reason is StopReason.RATINGS


def get_bets_to_find(restarts):
    rng = random.Random(6)
    test = PairedTest(0.02, Direction.ABOVE, restarts)
    for index in range(4000):
        test.add(False, 0.8 + rng.uniform(-0.1, 0.1))
        mean = 0.8 if index < 1000 else 0.65
        test.add(True, mean + rng.uniform(-0.1, 0.1))
        if test.get_wealth() >= 1000.0:
            return index - 1000
    return 3000


def test_late_start_finds_a_late_turn_sooner():
    assert get_bets_to_find(True) < get_bets_to_find(False) / 2


def test_good_version_passes_all_steps():
    gate = make_gate(exposure_budget=100_000)
    send_requests(gate, random.Random(3), 6000, 0.8)
    assert gate.step == 3
    assert gate.get_share() == 1.0 - HOLDBACK_SHARE


@settings(max_examples=40, deadline=None)
@given(
    st.integers(0, 2**32),
    st.integers(1, 9),
    st.lists(st.sampled_from(["ask", "score", "tick"]), max_size=300),
)
def test_no_more_than_the_budget_before_evidence(seed, entries, actions):
    gates = [make_gate(f"e{i}", entries, steps=[0.9]) for i in range(entries)]
    rng = random.Random(seed)
    clock = itertools.count()
    for action in [*actions, *["ask"] * 800]:
        gate = rng.choice(gates)
        if action == "ask":
            gate.assign(rng)
        elif action == "score":
            gate.add_rating(rng.random() < 0.5, 0.8)
        else:
            gate.advance(float(next(clock)))
    assert any(g.step for g in gates) or sum(g.exposed for g in gates) <= BUDGET


def test_step_is_not_passed_before_its_time():
    gate = make_gate(exposure_budget=100_000)
    rng = random.Random(3)
    gate.advance(0.0)
    for _ in range(3000):
        gate.add_rating(rng.random() < 0.5, 0.8)
        gate.add_outcome(Assignment(rng.random() < 0.5, 0.5), False)
    assert not gate.advance(9.9)
    assert gate.advance(10.0)


def test_stop_reaches_other_entries_and_lasts():
    # One entry observes crashes and stops; another has observed nothing. The
    # message arrives twice, and many good ratings follow. If evidence could
    # revoke a stop, the bad version would get requests again.
    first = make_gate("e1", 2, exposure_budget=100_000)
    second = make_gate("e2", 2, exposure_budget=100_000)
    for _ in range(40):
        first.add_outcome(CRASH_ASSIGNMENT, failed=True)
    message = first.make_evidence()
    second.apply_evidence(message)
    second.apply_evidence(message)
    send_requests(second, random.Random(1), 2000, 1.0)
    assert second.stop_reason is StopReason.PEER
    assert second.get_share() == 0.0


def test_stop_of_an_older_epoch_is_dropped():
    old, new = make_gate("e1", 2, epoch=1), make_gate("e2", 2, epoch=2)
    old.stop(StopReason.OPERATOR)
    new.apply_evidence(old.make_evidence())
    assert new.stop_reason is None


def test_repeated_message_counts_once():
    gate_once, gate_repeated, other = (
        make_gate(name, 2) for name in ("e1", "e2", "e3")
    )
    other.add_outcome(CRASH_ASSIGNMENT, failed=True)
    message = other.make_evidence()
    gate_once.apply_evidence(message)
    for _ in range(50):
        gate_repeated.apply_evidence(message)
    assert gate_repeated.stop_reason is None
    assert (
        gate_repeated._stop_failures.get_wealth()
        == gate_once._stop_failures.get_wealth()
    )


def test_entries_pool_their_evidence():
    # Each entry by itself sees too few crashes for a stop.
    gates = [make_gate(f"e{i}", 4) for i in range(4)]
    for gate in gates:
        for _ in range(2):
            gate.add_outcome(CRASH_ASSIGNMENT, failed=True)
    assert all(gate.stop_reason is None for gate in gates)
    for gate in gates:
        message = gate.make_evidence()
        for other in gates:
            other.apply_evidence(message)
    assert all(gate.stop_reason is not None for gate in gates)


def test_aborted_rollout_gets_nothing():
    assert make_gate(state=RolloutState.ABORTED).get_share() == 0.0


def test_paused_rollout_keeps_its_step():
    gate = make_gate(state=RolloutState.PAUSED, exposure_budget=100_000)
    send_requests(gate, random.Random(3), 3000, 0.8)
    assert (gate.step, gate.get_share()) == (0, 0.1)


def test_recorded_step_is_the_ceiling_and_each_step_has_a_fresh_budget():
    # The driver has recorded a step. The gate applies it, requires new evidence
    # for it, and never exceeds the share that the record allows.
    gate = make_gate()
    gate.apply_recorded_step(1, 0.05)
    assert gate.step == 1
    assert gate.get_share() == 0.05
    gate.apply_recorded_step(1, 0.0)
    assert gate.get_share() == 0.0
    assert not gate.has_sufficient_evidence()


def test_entries_that_go_out_of_sight_free_no_budget():
    gate = make_gate(entries=3)
    gate.raise_entry_count(2)
    gate.apply_recorded_step(0, 1.0)
    rng = random.Random(1)
    for _ in range(10_000):
        gate.assign(rng)
    assert gate.exposed == gate.spec.exposure_budget // 3

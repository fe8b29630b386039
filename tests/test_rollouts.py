"""Tests of the state chart of roll-outs and of the fold of their progress."""

from __future__ import annotations

import itertools

import msgspec
import pytest

from lovagestage.state.fold import ControlState, restore_state
from lovagestage.state.outcomes import Outcome
from lovagestage.state.records import (
    DocumentChange,
    LeaseTake,
    RolloutProgress,
    RolloutStop,
    encode_record,
)
from lovagestage.state.rollout_chart import (
    Observation,
    Position,
    get_next_position,
)
from lovagestage.types import RolloutPhase

NEXT = itertools.count()
SPEC = {"old": "large@1", "new": "large@2", "steps": [0.1, 0.5, 1.0]}


def make_document(base: int, **spec) -> DocumentChange:
    document = {
        "service": "s",
        "team": "t",
        "versions": [],
        "workspaces": {},
        "classes": {},
        "rollouts": {"large": {**SPEC, **spec}},
    }
    encoded = msgspec.json.encode(document)
    return DocumentChange(f"d{next(NEXT)}", "s", base, "op", encoded)


def make_take(fencing: int, renewals: int = 0) -> LeaseTake:
    return LeaseTake(
        f"l{next(NEXT)}", "rollout", fencing, renewals, "vm", 1, 9000
    )


def make_move(base, phase, step=0, fencing=1, revision=1) -> RolloutProgress:
    return RolloutProgress(
        f"p{next(NEXT)}",
        "s",
        "large",
        revision,
        fencing,
        base,
        RolloutPhase(phase),
        step,
    )


def apply(state: ControlState, record) -> Outcome:
    state.apply(state.next_offset, encode_record(record))
    return state.get_result(record.change_id).outcome


def make_state() -> ControlState:
    state = ControlState()
    for record in (make_document(0), make_take(-1)):
        assert apply(state, record) is Outcome.ACCEPTED
    return state


@pytest.mark.parametrize(
    ("phase", "step", "seen", "next_phase", "next_step"),
    [
        ("loading", 0, {}, "loading", 0),
        ("loading", 0, {"loaded": True}, "stepping", 0),
        ("loading", 0, {"loaded": True, "paused": True}, "loading", 0),
        ("loading", 0, {"loaded": True, "stopped": True}, "rolling_back", 0),
        ("stepping", 0, {}, "stepping", 0),
        ("stepping", 0, {"step_due": True}, "stepping", 1),
        ("stepping", 0, {"step_due": True, "paused": True}, "stepping", 0),
        ("stepping", 2, {"step_due": True, "last_step": True}, "done", 2),
        ("stepping", 2, {"step_due": True, "stopped": True}, "rolling_back", 2),
        ("stepping", 1, {"aborted": True}, "rolling_back", 1),
        ("rolling_back", 1, {}, "rolling_back", 1),
        ("rolling_back", 1, {"old_loaded": True}, "rolled_back", 1),
        (
            "rolled_back",
            1,
            {"loaded": True, "step_due": True},
            "rolled_back",
            1,
        ),
        ("done", 2, {"step_due": True}, "done", 2),
        ("done", 2, {"stopped": True}, "rolling_back", 2),
    ],
)
def test_chart_moves(phase, step, seen, next_phase, next_step):
    position = get_next_position(
        Position(RolloutPhase(phase), step), Observation(**seen)
    )
    assert position == Position(RolloutPhase(next_phase), next_step)


@pytest.mark.parametrize("phase", list(RolloutPhase))
def test_stopped_rollout_never_moves_to_more_traffic(phase):
    flags = [f for f in Observation.__dataclass_fields__ if f != "stopped"]
    for values in itertools.product((False, True), repeat=len(flags)):
        seen = Observation(
            **dict(zip(flags, values, strict=True)), stopped=True
        )
        position = get_next_position(Position(phase, 1), seen)
        assert position.phase in (
            RolloutPhase.ROLLING_BACK,
            RolloutPhase.ROLLED_BACK,
        )


def test_share_follows_the_recorded_steps():
    state = make_state()
    shares = [state.rollouts.get("s", "large").get_share()]
    moves = [("stepping", 0), ("stepping", 1), ("stepping", 2), ("done", 2)]
    for base, (phase, step) in enumerate(moves):
        assert apply(state, make_move(base, phase, step)) is Outcome.ACCEPTED
        shares.append(state.rollouts.get("s", "large").get_share())
    assert shares == [0.0, 0.1, 0.5, 1.0, 1.0]


def test_move_of_a_paused_holder_is_rejected_by_every_reader():
    # The holder of the roll-out lease decides on the next step and is paused
    # before it appends the move. Another entry takes the lease. The first
    # entry resumes and appends the move under its old fencing number, which
    # the fold rejects, so the share does not change.
    state = make_state()
    assert apply(state, make_move(0, "stepping")) is Outcome.ACCEPTED
    late = make_move(1, "stepping", 2)
    assert apply(state, make_take(1)) is Outcome.ACCEPTED
    assert apply(state, late) is Outcome.CONFLICT
    assert state.rollouts.get("s", "large").get_share() == 0.1


def test_two_moves_from_one_base_do_not_skip_a_step():
    state = make_state()
    assert apply(state, make_move(0, "stepping", 0)) is Outcome.ACCEPTED
    assert apply(state, make_move(0, "stepping", 1)) is Outcome.CONFLICT


def test_stop_needs_no_lease_and_lasts_until_the_operator_edits():
    state = make_state()
    apply(state, make_move(0, "stepping", 1))
    stop = RolloutStop("x", "s", "large", 1, "errors")
    assert apply(state, stop) is Outcome.ACCEPTED
    assert state.rollouts.get("s", "large").get_share() == 0.0
    apply(state, make_move(2, "stepping", 2))
    assert state.rollouts.get("s", "large").get_share() == 0.0
    assert (
        apply(state, make_document(1, exposure_budget=50)) is Outcome.ACCEPTED
    )
    again = state.rollouts.get("s", "large").progress
    assert (again.phase, again.stop_reason) == (RolloutPhase.LOADING, "")


def test_edit_of_another_part_keeps_the_progress():
    state = make_state()
    apply(state, make_move(0, "stepping", 1))
    change = make_document(1)
    assert apply(state, change) is Outcome.ACCEPTED
    assert state.rollouts.get("s", "large").get_share() == 0.5


def test_move_for_an_older_revision_is_rejected():
    state = make_state()
    apply(state, make_document(1, exposure_budget=50))
    assert apply(state, make_move(0, "stepping")) is Outcome.CONFLICT


def test_progress_survives_a_snapshot():
    state = make_state()
    apply(state, make_move(0, "stepping", 1))
    restored = restore_state(state.encode())
    assert restored.get_hash() == state.get_hash()
    assert restored.rollouts.get("s", "large").get_share() == 0.5

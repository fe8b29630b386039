"""Tests of the fold of the `control` stream."""

from __future__ import annotations

import logging

import msgspec
import pytest

from lovagestage.exceptions import CodecError
from lovagestage.state.fold import ControlState, Outcome, restore_state
from lovagestage.state.records import (
    DocumentChange,
    LeaseRenew,
    LeaseTake,
    encode_record,
)


def make_document(team: str = "a") -> bytes:
    return msgspec.json.encode(
        {
            "service": "s",
            "team": team,
            "versions": [],
            "workspaces": {},
            "classes": {},
        }
    )


def make_change(change_id="c", base=0, team="a") -> DocumentChange:
    return DocumentChange(change_id, "s", base, "op", make_document(team))


def fold(*records) -> ControlState:
    state = ControlState()
    for record in records:
        data = record if isinstance(record, bytes) else encode_record(record)
        state.apply(state.next_offset, data)
    return state


def test_the_second_of_two_racing_changes_gets_a_conflict():
    state = fold(make_change("x", 0, "a"), make_change("y", 0, "b"))
    assert state.get_result("x").outcome is Outcome.ACCEPTED
    assert state.get_result("y").outcome is Outcome.CONFLICT
    assert state.services["s"].document.team == "a"


def test_a_repeated_append_changes_nothing():
    change = make_change("x", 0)
    state = fold(change, make_change("y", 1, "b"), change)
    assert state.get_result("x").outcome is Outcome.ACCEPTED
    assert (
        state.services["s"].revision,
        state.services["s"].document.team,
    ) == (
        2,
        "b",
    )


def test_restored_state_is_equal_and_folds_later_records_alike():
    state = fold(
        make_change("x", 0),
        make_change("y", 0),
        b"\x09junk",
        LeaseTake("t", "l", -1, 0, "vm", 1, 1000),
        LeaseRenew("r", "l", 3, 0),
    )
    restored = restore_state(state.encode())
    assert restored.get_hash() == state.get_hash()
    for each in (state, restored):
        each.apply(5, encode_record(make_change("z", 1, "z")))
    assert restored.get_hash() == state.get_hash()
    assert restored.services["s"].document.team == "z"


def test_hash_differs_for_different_states_of_equal_length():
    states = [fold(make_change("x", 0, team)) for team in ("a", "b")]
    assert states[0].get_hash() != states[1].get_hash()


@pytest.mark.parametrize(
    "data",
    [b"", b"\x01", b"\x02\x00\x80", b"\x01\x00\xff", b"\x01\x00\x91\x01"],
)
def test_undecodable_record_is_logged_and_counted(data, caplog):
    with caplog.at_level(logging.ERROR):
        state = fold(data, make_change("x", 0))
    assert state.undecodable == 1
    assert "control_record_refused" in caplog.messages
    assert state.get_result("x").outcome is Outcome.ACCEPTED


def test_a_later_minor_version_passes_and_its_fields_are_ignored():
    fields = msgspec.to_builtins(make_change("x", 0), builtin_types=(bytes,))
    later = msgspec.msgpack.encode(fields | {"type": "document_change", "n": 1})
    state = fold(b"\x01\x07" + later)
    assert state.undecodable == 0
    assert state.services["s"].revision == 1


def test_record_after_missing_records_is_rejected():
    with pytest.raises(CodecError):
        ControlState().apply(1, encode_record(make_change()))


@pytest.mark.parametrize("cut", [0, 1, 10, -1])
def test_truncated_state_is_not_restored(cut):
    data = fold(make_change()).encode()
    with pytest.raises(CodecError):
        restore_state(data[:cut])

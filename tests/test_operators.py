"""Tests of the checks of operators' signatures and teams in the fold."""

from __future__ import annotations

import msgspec
import nacl.signing
import pytest

from lovagestage.state.fold import ControlState, restore_state
from lovagestage.state.operators import sign_change
from lovagestage.state.outcomes import Outcome
from lovagestage.state.records import (
    DocumentChange,
    OperatorsChange,
    OperatorSpec,
    encode_record,
)
from tests.test_fold import make_document


def make_keys() -> tuple[str, str]:
    key = nacl.signing.SigningKey.generate()
    return bytes(key).hex(), bytes(key.verify_key).hex()


ROOT, ROOT_PUBLIC = make_keys()
NEXT_ROOT, NEXT_ROOT_PUBLIC = make_keys()
AMINA, AMINA_PUBLIC = make_keys()
BEN, BEN_PUBLIC = make_keys()
SPECS = [
    OperatorSpec("amina", [AMINA_PUBLIC], ["vault"]),
    OperatorSpec("ben", [BEN_PUBLIC], ["toys"]),
]


def make_state(specs=SPECS) -> ControlState:
    state = ControlState(ROOT_PUBLIC)
    apply(state, sign_change(OperatorsChange("ops", 0, specs), ROOT))
    assert state.get_result("ops").outcome is Outcome.ACCEPTED
    return state


def apply(state: ControlState, record) -> Outcome:
    state.apply(state.next_offset, encode_record(record))
    return state.get_result(record.change_id).outcome


def make_change(change_id, base, team, author="amina", key=AMINA):
    change = DocumentChange(change_id, "s", base, author, make_document(team))
    return sign_change(change, key)


def test_operator_of_the_team_may_edit():
    assert apply(make_state(), make_change("a", 0, "vault")) is Outcome.ACCEPTED


@pytest.mark.parametrize(
    "change",
    [
        make_change("a", 0, "vault", key=BEN),
        make_change("a", 0, "vault", author="ben", key=BEN),
        make_change("a", 0, "vault", author="nobody"),
        msgspec.structs.replace(make_change("a", 0, "vault"), signature=b""),
        msgspec.structs.replace(
            make_change("a", 0, "vault"), base=0, author="ben"
        ),
        msgspec.structs.replace(
            make_change("a", 0, "vault"), document=make_document("toys")
        ),
    ],
)
def test_change_not_signed_by_the_teams_operator_is_rejected(change):
    state = make_state()
    assert apply(state, change) is Outcome.FORBIDDEN
    assert not state.services


def test_document_of_another_team_cannot_be_taken_over():
    state = make_state()
    assert apply(state, make_change("a", 0, "vault")) is Outcome.ACCEPTED
    takeover = make_change("b", 1, "toys", "ben", BEN)
    assert apply(state, takeover) is Outcome.FORBIDDEN
    assert state.services["s"].document.team == "vault"


def test_operator_key_is_rotated_with_two_in_force():
    both = [OperatorSpec("amina", [AMINA_PUBLIC, BEN_PUBLIC], ["vault"])]
    state = make_state(both)
    assert apply(state, make_change("a", 0, "vault")) is Outcome.ACCEPTED
    later = make_change("b", 1, "vault", key=BEN)
    assert apply(state, later) is Outcome.ACCEPTED
    one = [OperatorSpec("amina", [BEN_PUBLIC], ["vault"])]
    apply(state, sign_change(OperatorsChange("o2", 1, one), ROOT))
    assert apply(state, make_change("c", 2, "vault")) is Outcome.FORBIDDEN


def test_root_key_is_rotated_and_the_old_one_stops_working():
    state = make_state()
    rotate = OperatorsChange("o2", 1, SPECS, NEXT_ROOT_PUBLIC)
    assert apply(state, sign_change(rotate, ROOT)) is Outcome.ACCEPTED
    old = sign_change(OperatorsChange("o3", 2, []), ROOT)
    assert apply(state, old) is Outcome.FORBIDDEN
    new = sign_change(OperatorsChange("o4", 2, SPECS), NEXT_ROOT)
    assert apply(state, new) is Outcome.ACCEPTED


def test_restored_state_checks_the_same_keys():
    restored = restore_state(make_state().encode())
    assert apply(restored, make_change("a", 0, "vault")) is Outcome.ACCEPTED
    forged = make_change("b", 1, "vault", key=BEN)
    assert apply(restored, forged) is Outcome.FORBIDDEN

"""Individual rules of the key ledger, the run gate and the member view."""

from __future__ import annotations

import itertools

import pytest

from lovagestage.decisions.request_keys import (
    KeyLedger,
    PullState,
    get_uuid7_time_ms,
)
from lovagestage.decisions.run_gate import (
    MAX_ENDED_RUNS,
    PERMIT_LIFETIME_MS,
    RunGate,
)
from lovagestage.messages.keys import (
    Claim,
    ClaimOutcome,
    Copy,
    CopyAnswer,
    Pull,
    RunId,
    RunKnowledge,
)
from lovagestage.state.members import (
    MAX_PERIODS,
    MemberId,
    MemberJoined,
    MemberRemoved,
    MemberView,
)

RUN = ("request", 1)


def make_view(*members, slots=256):
    view = MemberView(slots)
    for offset, (vm, zone) in enumerate(members):
        view.apply(offset, MemberJoined(vm, zone, 1, ""))
    return view


def make_claim(view, key="key", request="r1", **more):
    run = RunId(request, 1, "s", 1, 0)
    return Claim(view.epoch, "w", key, b"body", run, "m@1", False, **more)


def make_single_holder(max_entries=10, window_s=100.0):
    view = make_view(("a", "z1"), slots=1)
    ledger = KeyLedger(MemberId("a", 1), max_entries, window_s, slots=1)
    ledger.apply_view(view)
    return view, ledger


def decide(view, ledger, claim, now_s=0.0):
    decided = ledger.claim(view, claim, now_s, 0)
    if isinstance(decided, Copy):
        decided = ledger.confirm(view, decided, None)
    return decided.outcome


def test_gate_refuses_a_run_claimed_for_an_earlier_process():
    # A run is forbidden, then the sidecar restarts and no longer knows that.
    # The forbidden dispatch arrives late and must not run beside the run that
    # replaced it.
    gate = RunGate(incarnation=2)
    assert not gate.may_start(RUN, 1, 0, 0)
    assert gate.query_run(RUN, 1, 0, True, 0) is RunKnowledge.FORGOTTEN


def test_gate_refuses_a_forbidden_run_however_late_it_comes():
    gate = RunGate(1)
    assert gate.query_run(RUN, 1, 500, True, 1000) is RunKnowledge.FORBIDDEN
    for now_ms in range(1000, 1000 + 4 * PERMIT_LIFETIME_MS, 1000):
        gate.remove_expired(now_ms)
        assert not gate.may_start(RUN, 1, 500, now_ms)
    assert gate.get_sizes()["forbidden"] == 0


def test_gate_says_never_only_while_it_remembers_all_later_runs():
    gate = RunGate(1)
    for number in range(MAX_ENDED_RUNS + 1):
        gate.record_forgotten((f"r{number}", 1), permit_ms=number + 10)
    assert gate.query_run(("r0", 1), 1, 10, True, 0) is RunKnowledge.FORGOTTEN
    assert gate.query_run(("r1", 1), 1, 11, True, 0) is RunKnowledge.FORGOTTEN
    assert gate.query_run(("new", 1), 1, 12, True, 0) is RunKnowledge.FORBIDDEN


def test_copy_refuses_a_claim_of_another_epoch():
    # The owner was removed from the view and does not know it yet. The copy
    # holder has moved on to the next epoch and may own the key itself by now.
    # If it still confirmed the claim, both processes could grant the key.
    view = make_view(("a", "z1"), ("b", "z2"), slots=1)
    ledgers = {}
    for member in view.get_holders(0):
        ledgers[member] = KeyLedger(member, 10, 100.0, slots=1)
        ledgers[member].apply_view(view)
    owner, copy = view.get_holders(0)
    for ledger in ledgers.values():
        ledger.finish_pull(view, 0)
    decided = ledgers[owner].claim(view, make_claim(view), 0.0, 0)
    assert ledgers[copy].store_copy(view, decided, 0.0).accepted
    view.apply(9, MemberRemoved(owner.vm, 1, ended=False))
    ledgers[copy].apply_view(view)
    assert not ledgers[copy].store_copy(view, decided, 0.0).accepted
    stale = ledgers[owner].confirm(view, decided, CopyAnswer(True))
    assert stale.outcome is ClaimOutcome.STALE_VIEW


def make_pair():
    view = make_view(("a", "z1"), ("b", "z2"), slots=1)
    ledgers = {}
    for member in view.get_holders(0):
        ledgers[member] = KeyLedger(member, 10, 100.0, slots=1)
        ledgers[member].apply_view(view)
        ledgers[member].finish_pull(view, 0)
    return view, *ledgers.values()


@pytest.mark.parametrize("behind", ["asker", "asked"])
def test_history_of_a_slot_is_sent_only_in_the_same_epoch(behind):
    # A new holder asks a process that has not read of the membership change
    # yet. That process may continue to grant in the old epoch after its answer,
    # while the new holder would consider its history of the slot complete: the
    # key would run twice.
    view, owner, _ = make_pair()
    decide(view, owner, make_claim(view))
    epoch = view.epoch + (1 if behind == "asked" else -1)
    answer = owner.answer_pull(view, Pull(epoch, 0), 0.0)
    assert (answer.entries, answer.complete_start) == ([], -1)
    same = owner.answer_pull(view, Pull(view.epoch, 0), 0.0)
    assert (len(same.entries), same.complete_start) == (1, view.epoch)


def test_earlier_claim_that_comes_late_replaces_no_later_one():
    # Run 1 of a key is proved not to have run, and run 2 replaces it. The copy
    # holder receives the two claims in the wrong order. If the earlier claim
    # replaced the later one, the ledger would name run 1, which is forbidden,
    # and would grant the key to a third run.
    view, owner, copy = make_pair()
    first = owner.claim(view, make_claim(view), 0.0, 0)
    second = owner.claim(
        view,
        make_claim(view, request="r2", replaces=first.entry.run),
        0.0,
        0,
    )
    assert copy.store_copy(view, second, 0.0).accepted
    assert not copy.store_copy(view, first, 0.0).accepted
    stale = owner.answer_pull(view, Pull(view.epoch, 0), 0.0)
    stale.entries[:] = [first.entry]
    copy.merge(0, stale, 0.0)
    (held,) = copy.slots[0].entries.values()
    assert held.run == second.entry.run


def test_full_ledger_refuses_new_keys_and_answers_old_ones():
    view, ledger = make_single_holder(max_entries=1)
    assert decide(view, ledger, make_claim(view)) is ClaimOutcome.GRANTED
    other = make_claim(view, key="other")
    assert decide(view, ledger, other) is ClaimOutcome.FULL
    retry = make_claim(view, request="r2")
    assert decide(view, ledger, retry) is ClaimOutcome.HELD


def test_key_is_forgotten_after_the_window():
    view, ledger = make_single_holder(window_s=100.0)
    decide(view, ledger, make_claim(view))
    ledger.remove_expired(99.0, 0)
    assert ledger.size == 1
    ledger.remove_expired(101.0, 0)
    assert ledger.size == 0


def test_only_the_run_that_holds_the_key_can_be_replaced():
    view, ledger = make_single_holder()
    first, second, third = (make_claim(view, request=r) for r in "123")
    decide(view, ledger, first)
    replaced = make_claim(view, request="2", replaces=first.run)
    assert decide(view, ledger, replaced) is ClaimOutcome.GRANTED
    late = make_claim(view, request="3", replaces=first.run)
    assert decide(view, ledger, late) is ClaimOutcome.HELD
    assert decide(view, ledger, first) is ClaimOutcome.HELD
    assert {second.run, third.run}.isdisjoint({first.run})


def test_owner_and_copy_are_in_different_zones():
    view = make_view(*((f"e{i}", f"z{i // 4}") for i in range(12)))
    for slot in range(256):
        zones = {view.members[m.vm].zone for m in view.get_holders(slot)}
        assert len(zones) == 2


def test_removal_of_one_entry_moves_only_its_slots():
    view = make_view(*((f"e{i}", f"z{i % 3}") for i in range(10)))
    before = [view.get_holders(slot) for slot in range(256)]
    view.apply(99, MemberRemoved("e3", 1, ended=True))
    for slot, holders in enumerate(before):
        if all(member.vm != "e3" for member in holders):
            assert view.get_holders(slot) == holders


def test_view_is_restored_completely_from_its_snapshot():
    view = make_view(("a", "z1"), ("b", "z2"))
    view.apply(5, MemberRemoved("a", 1, ended=False))
    copy = MemberView()
    copy.restore(view.encode())
    assert copy.encode() == view.encode()
    assert not copy.has_certainly_ended(MemberId("a", 1))


def test_history_older_than_the_view_keeps_is_lost():
    # An entry processes more membership changes together than the view retains
    # periods, so the view has dropped the periods before them. No process knows
    # the grants of those periods.
    view, ledger = make_single_holder()
    offsets = itertools.count(10)
    for number in range(MAX_PERIODS):
        view.apply(next(offsets), MemberJoined("b", "z2", number + 2, ""))
    view.apply(next(offsets), MemberRemoved("b", MAX_PERIODS + 1, ended=True))
    ledger.apply_view(view)
    assert not ledger.is_complete(view, 0)
    assert ledger.plan_pull(view, 0, {}).state is PullState.LOST


@pytest.mark.parametrize(
    ("key", "minted_ms"),
    [
        ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017F22E279B0),
        ("f81d4fae-7dec-41d0-a765-00a0c91e6bf6", 0),
        ("order-17", 0),
    ],
)
def test_time_is_read_only_from_uuid_7(key, minted_ms):
    assert get_uuid7_time_ms(key) == minted_ms


@pytest.mark.parametrize(
    ("ended", "late_ms", "outcome"),
    [
        (True, 61_000, ClaimOutcome.GRANTED),
        (True, 59_000, ClaimOutcome.HISTORY_LOST),
        (False, 61_000, ClaimOutcome.HISTORY_LOST),
    ],
)
def test_lost_slot_takes_only_keys_proved_to_be_later(ended, late_ms, outcome):
    # All holders of a slot are lost together. A key that contains a later time
    # was not used with these holders. While they may only be paused, they could
    # still grant the key, and its time proves nothing.
    view = make_view(("a", "z1"), slots=1)
    view.apply(5, MemberRemoved("a", 1, ended=ended))
    view.apply(6, MemberJoined("b", "z2", 1, ""))
    ledger = KeyLedger(MemberId("b", 1), 10, 1e9, slots=1)
    ledger.apply_view(view)
    step = ledger.plan_pull(view, 0, {})
    assert step.state is PullState.LOST
    lost_ms = 1_700_000_000_000
    ledger.mark_lost(0, step.lost_holders, lost_ms)
    ledger.finish_pull(view, 0)
    digits = f"{lost_ms + late_ms:012x}"
    key = f"{digits[:8]}-{digits[8:]}-7cc3-98c4-dc0c0c07398f"
    decided = ledger.claim(view, make_claim(view, key), 0.0, lost_ms + late_ms)
    if isinstance(decided, Copy):
        decided = ledger.confirm(view, decided, None)
    assert decided.outcome is outcome

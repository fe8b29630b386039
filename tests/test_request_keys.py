"""Requests with an `Idempotency-Key` through several real entries."""

from __future__ import annotations

import time

import pytest

from lab.fleet import Fleet
from lab.history import History
from lab.shapes import Shape
from lovagestage.state.members import MemberJoined, MemberView

SHAPE = Shape("vault", ("lhe-a", "lhe-b"), 3, 2, 0, "large@1,small@1")
SILENCE_S = 2.0
LONG_TOKENS = 120


def make_fleet():
    return Fleet(SHAPE, entry_options={"member_silence_s": SILENCE_S})


@pytest.fixture(scope="module")
def running_fleet():
    with make_fleet() as fleet:
        yield fleet


@pytest.fixture
def own_fleet():
    """A fleet of its own, for losses that outlast a test."""
    with make_fleet() as fleet:
        wait_until_in_sync(fleet, SHAPE.entries)
        yield fleet


@pytest.fixture
def fleet(running_fleet):
    """All processes run and agree, whatever the previous test has killed."""
    for index in range(SHAPE.engines):
        if f"sidecar-{index}" not in running_fleet.children:
            running_fleet.start_sidecar(index)
    for index in range(SHAPE.entries):
        if f"entry-{index}" not in running_fleet.children:
            running_fleet.wait_until_ready(running_fleet.start_entry(index))
    wait_until_in_sync(running_fleet, SHAPE.entries)
    yield running_fleet
    running_fleet.set_fault("log", outage=False)


def wait_until_in_sync(fleet, members, names=None):
    names = names or [entry.name for entry in fleet.entries]
    end_s = time.monotonic() + 15
    while time.monotonic() < end_s:
        keys = [fleet.get_dump(name)["request_keys"] for name in names]
        if all(
            len(k["members"]) == members and k["slots_whole"] == k["slots_held"]
            for k in keys
        ):
            return
        time.sleep(0.1)
    raise AssertionError(keys)


def wait_for_run(history):
    end_s = time.monotonic() + 10
    while history.get_new_runs() == 0:
        assert time.monotonic() < end_s
        time.sleep(0.02)


def get_holders(key, workspace="audit"):
    view = MemberView()
    for index in range(SHAPE.entries):
        zone = SHAPE.zones[index % len(SHAPE.zones)]
        view.apply(index, MemberJoined(f"entry-{index}", zone, 1, ""))
    slot = view.get_slot(workspace, key)
    owner, copy = (member.vm for member in view.get_holders(slot))
    (other_entry,) = set(view.members) - {owner, copy}
    return owner, copy, other_entry


def check_history(history, runs=1):
    assert history.find_violations() == []
    assert history.get_new_runs() == runs


@pytest.mark.parametrize("stream", [False, True])
def test_retry_during_the_run_joins_it(fleet, stream):
    history, key = History(fleet), f"during-{stream}"
    options = {"max_tokens": LONG_TOKENS, "stream": stream}
    history.start(fleet.entries[0], key, "draft", **options)
    wait_for_run(history)
    history.send(fleet.entries[1], key, "draft", **options)
    history.wait()
    assert [s.status for s in history.sent] == [200, 200]
    check_history(history)


def test_retry_through_the_same_entry_joins_the_run(fleet):
    history = History(fleet)
    for _ in range(2):
        history.start(fleet.entries[0], "same", "draft", max_tokens=60)
    history.wait()
    assert [s.status for s in history.sent] == [200, 200]
    check_history(history)


def test_retry_after_the_run_gets_the_same_answer(fleet):
    history = History(fleet)
    for entry in fleet.entries:
        history.send(entry, "after", "draft")
    assert {s.status for s in history.sent} == {200}
    check_history(history)


def test_concurrent_requests_run_once(fleet):
    history = History(fleet)
    for number in range(12):
        history.start(fleet.entries[number % 3], "many", "draft")
    history.wait()
    assert {s.status for s in history.sent} == {200}
    check_history(history)


def test_another_body_is_refused(fleet):
    history = History(fleet)
    history.send(fleet.entries[0], "body", "one")
    refused = history.send(fleet.entries[1], "body", "two")
    assert (refused.status, refused.code) == (422, "idempotency_key_reused")
    assert history.get_new_runs() == 1


@pytest.mark.parametrize("key", ["", "k" * 256])
def test_malformed_key_is_refused(fleet, key):
    history = History(fleet)
    refused = history.send(fleet.entries[0], key, "draft")
    assert (refused.code, refused.run) == ("malformed_request", "not_run")
    check_history(history, runs=0)


@pytest.mark.parametrize("role", [0, 1])
def test_answer_outlives_an_entry_that_held_its_key(fleet, role):
    # A caller's request runs. The entry that owns its key (or holds the copy)
    # is killed, and the retry arrives through the third entry. Before the
    # removal is folded, the retry is refused immediately with a retry time;
    # after it, the other holder answers for the key.
    history, key = History(fleet), f"killed-{role}"
    holders = get_holders(key)
    other_entry = fleet.children[holders[2]]
    history.start(other_entry, key, "draft", max_tokens=LONG_TOKENS)
    wait_for_run(history)
    fleet.kill(holders[role])
    early_retry = history.send(
        other_entry, key, "draft", max_tokens=LONG_TOKENS
    )
    assert early_retry.ended_s - early_retry.sent_s < 6
    wait_until_in_sync(fleet, 2)
    late_retry = history.send(other_entry, key, "draft", max_tokens=LONG_TOKENS)
    history.wait()
    assert late_retry.status == 200
    check_history(history)


def test_key_is_unknown_when_all_its_holders_are_gone(own_fleet):
    # A request has run, and both entries that held its key are killed at the
    # same time. The retry through the third entry must not run again, because
    # no process knows whether the request has run.
    fleet = own_fleet
    history, key = History(fleet), "both"
    owner, copy, other_entry = get_holders(key)
    history.send(fleet.children[other_entry], key, "draft")
    fleet.kill(owner)
    fleet.kill(copy)
    wait_until_in_sync(fleet, 1)
    retry = history.send(fleet.children[other_entry], key, "draft")
    assert (retry.code, retry.run) == ("key_history_lost", "unknown")
    check_history(history)


def test_key_is_unknown_when_its_sidecar_is_gone(fleet):
    # The sidecar is killed while it runs the request; the engine continues. A
    # retry must not run the request at the other upstream.
    history, key = History(fleet), "sidecar"
    history.start(fleet.entries[0], key, "draft", max_tokens=LONG_TOKENS)
    wait_for_run(history)
    fleet.kill(history.get_running_engine().replace("engine", "sidecar"))
    retry = history.send(fleet.entries[1], key, "draft", max_tokens=LONG_TOKENS)
    history.wait()
    assert (retry.code, retry.run) == ("key_run_lost", "unknown")
    check_history(history)


def test_entry_paused_past_its_removal_grants_nothing(fleet):
    # The owner of a key is paused, removed and resumed, and may still believe
    # that it owns the key. Meanwhile the request has run through the other
    # entries; a retry through the resumed owner must find that run.
    history, key = History(fleet), "paused"
    owner, copy, other_entry = get_holders(key)
    fleet.suspend(owner)
    wait_until_in_sync(fleet, 2, [copy, other_entry])
    history.send(fleet.children[other_entry], key, "draft")
    fleet.resume(owner)
    first = history.send(fleet.children[owner], key, "draft")
    wait_until_in_sync(fleet, 3)
    second = history.send(fleet.children[owner], key, "draft")
    assert first.status in (200, 503)
    assert second.status == 200
    check_history(history)


def test_key_outlives_a_pause_of_both_its_holders(fleet):
    # A request has run. Both entries that held its key are paused for longer
    # than the silence after which a member is removed, as when their host
    # stalls. One entry is removed. If the other entry were removed too, the
    # claim would be lost and the retry refused for a day. The retry waits for
    # the other entry instead, and gets the answer.
    history, key = History(fleet), "stalled"
    owner, copy, other_entry = get_holders(key)
    history.send(fleet.children[other_entry], key, "draft")
    fleet.suspend(owner)
    fleet.suspend(copy)
    early_retry = [history.send(fleet.children[other_entry], key, "draft")]
    time.sleep(4 * SILENCE_S)
    early_retry.append(history.send(fleet.children[other_entry], key, "draft"))
    fleet.resume(owner)
    fleet.resume(copy)
    wait_until_in_sync(fleet, SHAPE.entries)
    late_retry = history.send(fleet.children[other_entry], key, "draft")
    for refused in early_retry:
        assert refused.code == "key_holders_unavailable"
        assert refused.run == "unknown"
        assert refused.retry_after
    assert late_retry.status == 200
    check_history(history)


def test_key_outlives_a_planned_restart_of_every_entry(fleet):
    # The entries are stopped and started one after another. None of the
    # processes that first held the key is left; each has handed it over.
    history, key = History(fleet), "restarted"
    history.send(fleet.entries[0], key, "draft")
    for index in range(SHAPE.entries):
        assert fleet.stop(f"entry-{index}") == 0
        fleet.wait_until_ready(fleet.start_entry(index))
        wait_until_in_sync(fleet, SHAPE.entries)
    for entry in fleet.entries:
        assert history.send(entry, key, "draft").status == 200
    check_history(history)


def test_paused_sidecar_is_reported_unknown_immediately_and_answers_later(
    fleet,
):
    # The sidecar that runs the request is paused. A retry is refused
    # immediately as unknown, with a retry time; after the pause a retry gets
    # the answer.
    history, key = History(fleet), "slow"
    history.start(fleet.entries[0], key, "draft", max_tokens=LONG_TOKENS)
    wait_for_run(history)
    sidecar = history.get_running_engine().replace("engine", "sidecar")
    fleet.suspend(sidecar)
    early_retry = history.send(
        fleet.entries[1], key, "draft", max_tokens=LONG_TOKENS
    )
    fleet.resume(sidecar)
    time.sleep(1.0)
    late_retry = history.send(
        fleet.entries[1], key, "draft", max_tokens=LONG_TOKENS
    )
    history.wait()
    assert (early_retry.code, early_retry.run) == ("key_run_lost", "unknown")
    assert early_retry.retry_after
    assert early_retry.ended_s - early_retry.sent_s < 6
    assert late_retry.status == 200
    check_history(history)


def test_log_outage_stops_only_keys_whose_holders_are_lost(fleet):
    # The log is down, so that no removal can be agreed on. Requests with keys
    # of a killed entry are refused immediately with a retry time; requests
    # with other keys are answered.
    history = History(fleet)
    fleet.set_fault("log", outage=True)
    owner, copy, other_entry = get_holders("lost")
    keys = (f"kept-{number}" for number in range(100))
    unaffected_key = next(k for k in keys if owner not in get_holders(k)[:2])
    fleet.kill(owner)
    refused = history.send(fleet.children[other_entry], "lost", "draft")
    answered = history.send(fleet.children[copy], unaffected_key, "draft")
    assert refused.code == "key_holders_unavailable"
    assert refused.retry_after
    assert refused.ended_s - refused.sent_s < 6
    assert answered.status == 200
    check_history(history)

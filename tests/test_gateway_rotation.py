"""Tests which upstreams are in rotation, also after stale reads."""

from __future__ import annotations

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovagestage.gateway.rotation import (
    EXPIRED_GRACE_S,
    PROOF_HEARTBEATS,
    Rotation,
)
from lovagestage.gateway.settings import DEFAULT_HEARTBEAT_S
from lovagestage.gateway.upstream import (
    UpstreamEntry,
    UpstreamState,
)

ENTRY = UpstreamEntry("pool", "10.0.0.1:80", "a", "v1", 4, False)
DRAINING = dataclasses.replace(ENTRY, is_draining=True)
DRAIN_S = 2.0
PROOF_S = PROOF_HEARTBEATS * DEFAULT_HEARTBEAT_S


def get_ready_ids(rotation):
    return [upstream.id for upstream in rotation.get_ready("pool")]


def test_a_draining_upstream_never_comes_back():
    # A stale read returns an upstream's earlier entry after the entry that
    # said that the upstream is draining, and later a newer entry says that it
    # is ready again.
    rotation = Rotation()
    rotation.apply("w1", ENTRY, 1, 0.0, False)
    rotation.apply("w1", DRAINING, 2, 1.0, False)
    rotation.apply("w1", ENTRY, 1, 1.1, False)
    assert get_ready_ids(rotation) == []
    rotation.apply("w1", ENTRY, 3, 1.2, False)
    assert get_ready_ids(rotation) == []


def test_a_draining_upstream_does_not_come_back_after_its_removal():
    # An upstream's entry says that it is draining, the entry is removed, and a
    # late write adds it again as ready. The upstream still leaves: a request
    # that is sent there after the drain time may be cut off.
    rotation = Rotation()
    rotation.apply("w1", DRAINING, 1, 0.0, False)
    rotation.apply("w1", None, 2, 1.0, False)
    rotation.apply("w1", ENTRY, 3, 1.2, False)
    assert get_ready_ids(rotation) == []


def test_a_leaver_is_remembered_for_minutes():
    rotation = Rotation()
    rotation.apply("w1", ENTRY, 1, 0.0, False)
    rotation.apply("w1", DRAINING, 2, 1.0, False)
    rotation.apply("w1", None, 3, 2.0, False)
    rotation.expire(122.0)
    rotation.apply("w1", ENTRY, 1, 122.0, False)
    rotation.apply("w1", ENTRY, 4, 122.0, False)
    assert get_ready_ids(rotation) == []


def test_an_entry_that_expired_during_a_store_outage_may_return():
    # The store was unavailable, so upstreams could not write and their entries
    # expired. They still serve requests and write their entries again within
    # seconds.
    rotation = Rotation()
    rotation.apply("w1", ENTRY, 1, 0.0, False)
    rotation.apply("w1", None, 2, 10.0, True)
    assert get_ready_ids(rotation) == ["w1"]
    rotation.apply("w1", ENTRY, 3, 11.0, False)
    rotation.expire(20.0)
    assert get_ready_ids(rotation) == ["w1"]


def test_an_expired_entry_is_gone_before_the_drain_time_is_over():
    # An upstream left at the moment when the store recovered, without writing
    # that it drains. It must get no requests after the drain time, though its
    # removal looks like an expiry.
    rotation = Rotation()
    rotation.apply("w1", ENTRY, 1, 0.0, False)
    rotation.apply("w1", None, 2, 10.0, True)
    rotation.expire(10.0 + EXPIRED_GRACE_S + 0.25)
    assert get_ready_ids(rotation) == []
    assert EXPIRED_GRACE_S + 0.25 < DRAIN_S


def test_an_upstream_missing_in_a_full_list_is_gone():
    rotation = Rotation()
    rotation.apply("w1", ENTRY, 1, 0.0, False)
    rotation.apply("w2", ENTRY, 2, 0.0, False)
    rotation.replace_all([("w2", ENTRY, 2)], 9, 1.0, False)
    assert get_ready_ids(rotation) == ["w2"]


def test_a_full_list_of_the_past_takes_nothing_away():
    rotation = Rotation()
    rotation.apply("w1", ENTRY, 7, 0.0, False)
    rotation.replace_all([], 5, 1.0, False)
    assert get_ready_ids(rotation) == ["w1"]


class RotationMachine(RuleBasedStateMachine):
    """Applies records late, twice and out of order; the store may be lost.

    The naive model stores each upstream's complete history and evaluates it
    again after each step.
    """

    def __init__(self):
        super().__init__()
        self.rotation = Rotation()
        self.now_s = 100.0
        self.store_lost_s = -100.0
        self.offset = 0
        self.history = {}
        self.applied = {}
        self.start_ms = {}
        self.past_starts = {}
        self.rivals = {}
        self.leavers = {}

    @rule(
        name=st.sampled_from("abc"),
        kind=st.sampled_from(["up", "drain", "end", "restart", "late"]),
    )
    def write(self, name, kind):
        self.offset += 1
        if kind == "restart":
            self.start_ms[name] = self.start_ms.get(name, 1) + 1
        start_ms = self.start_ms.get(name, 1) - (kind == "late")
        entry = DRAINING if kind == "drain" else ENTRY
        entry = dataclasses.replace(entry, start_ms=start_ms)
        if kind == "end":
            entry = None
        self.history.setdefault(name, []).append((self.offset, entry))

    @rule(name=st.sampled_from("abc"), back=st.integers(0, 3))
    def read(self, name, back):
        history = self.history.get(name, [])
        if len(history) <= back:
            return
        offset, entry = history[-1 - back]
        was_store_unavailable = self.now_s - self.store_lost_s < 2.0
        self.rotation.apply(
            name, entry, offset, self.now_s, was_store_unavailable
        )
        known = self.applied.setdefault(name, [])
        is_new = not known or offset > known[-1][0]
        if not is_new or (entry is None and not known):
            return
        past_starts = self.past_starts.setdefault(name, [])
        last = next((e for _, e, *_ in known[::-1] if e is not None), None)
        if entry is not None and last is not None:
            if self.is_late(name, entry, offset, last, past_starts):
                return
            if entry.start_ms != last.start_ms:
                past_starts.append(last.start_ms)
                known.clear()
                if entry.start_ms in self.leavers.setdefault(name, set()):
                    known.append((0, DRAINING, 0.0, False))
            if entry.is_draining:
                self.leavers.setdefault(name, set()).add(entry.start_ms)
            self.rivals.pop(name, None)
        if entry is None and known[-1][1] is None:
            # The upstream was removed already; the time of the first removal
            # counts.
            known[-1] = (offset, *known[-1][1:])
            return
        known.append((offset, entry, self.now_s, was_store_unavailable))

    def is_late(self, name, entry, offset, last, past_starts):
        """Whether an entry is taken for a late write of an earlier process."""
        if entry.start_ms == last.start_ms or (
            entry.start_ms > last.start_ms and entry.start_ms not in past_starts
        ):
            return False
        start_ms, seen_offset, seen_s = self.rivals.setdefault(
            name, (entry.start_ms, offset, self.now_s)
        )
        if start_ms != entry.start_ms:
            self.rivals[name] = (entry.start_ms, offset, self.now_s)
            return True
        return offset <= seen_offset or self.now_s - seen_s < PROOF_S

    @rule(seconds=st.floats(0.05, 3.0))
    def wait(self, seconds):
        self.now_s += seconds

    @rule()
    def lose_store(self):
        self.store_lost_s = self.now_s

    @invariant()
    def serves_no_leaver(self):
        self.rotation.expire(self.now_s)
        ready = get_ready_ids(self.rotation)
        for name, known in self.applied.items():
            if not known:
                continue
            drained = any(e is not None and e.is_draining for _, e, *_ in known)
            _, entry, at_s, was_store_unavailable = known[-1]
            is_expiry = entry is None and was_store_unavailable
            in_grace = is_expiry and self.now_s - at_s <= EXPIRED_GRACE_S
            expected = not drained and (entry is not None or in_grace)
            assert (name in ready) == expected, (name, known)

    @invariant()
    def names_states(self):
        for upstream in self.rotation.get_all():
            assert upstream.state in UpstreamState


RotationMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestRotation = RotationMachine.TestCase

"""Subsets of entries: followers, balance, changes and reachability."""

from __future__ import annotations

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lovagestage.decisions.subsets import (
    MIN_FOLLOWERS,
    ProcessLocation,
    choose_subset,
)

ENTRIES, SIDECARS, ZONES, SIZE, PEERS = 98, 425, 4, 64, 8
"""A quarter of the target number of VMs; a sidecar has as many followers as at
the full number."""


def make_places(role: str, count: int, zones: int) -> list[ProcessLocation]:
    return [
        ProcessLocation(f"{role}-{n}", f"zone-{n % zones}")
        for n in range(count)
    ]


def choose_all(entries, targets, size):
    names = [entry.vm for entry in entries]
    return {
        entry.vm: choose_subset(entry, names, targets, size)
        for entry in entries
    }


def count_followers(chosen) -> collections.Counter[str]:
    return collections.Counter(vm for each in chosen.values() for vm in each)


@settings(max_examples=60, deadline=None)
@given(
    st.integers(1, 20),
    st.integers(0, 60),
    st.integers(1, 5),
    st.integers(1, 12),
)
def test_each_target_has_its_followers(entries, sidecars, zones, size):
    # Guards against targets that no entry chooses. If the targets were not
    # assigned to entries as well, some sidecars would have no entry that sends
    # requests to their upstream, and some entries would have no entry that
    # observes them.
    places = make_places("entry", entries, zones)
    for targets in (make_places("sidecar", sidecars, zones), places):
        chosen = choose_all(places, targets, size)
        followers = count_followers(chosen)
        for target in targets:
            others = entries - (target.vm in chosen)
            assert followers[target.vm] >= min(MIN_FOLLOWERS, others)
        for vm, subset in chosen.items():
            assert vm not in subset
            others = len(targets) - (targets is places)
            assert len(subset) >= min(size, others)


@pytest.fixture(scope="module")
def entries():
    return make_places("entry", ENTRIES, ZONES)


def test_followers_are_balanced(entries):
    sidecars = make_places("sidecar", SIDECARS, ZONES)
    chosen = choose_all(entries, sidecars, SIZE)
    counts = [count_followers(chosen)[s.vm] for s in sidecars]
    sizes = [len(subset) for subset in chosen.values()]
    mean = sum(counts) / len(counts)
    assert max(counts) < 2.5 * mean
    assert max(sizes) < 2 * SIZE
    zones = {sidecar.vm: sidecar.zone for sidecar in sidecars}
    for entry in entries:
        near = [vm for vm in chosen[entry.vm] if zones[vm] == entry.zone]
        assert SIZE // 2 <= len(near) <= len(chosen[entry.vm]) - SIZE // 4


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_removal_of_one_vm_moves_few_connections(entries, role):
    sidecars = make_places("sidecar", SIDECARS, ZONES)
    before = choose_all(entries, sidecars, SIZE)
    if role == "entry":
        after = choose_all(entries[1:], sidecars, SIZE)
        del before[entries[0].vm]
    else:
        after = choose_all(entries, sidecars[1:], SIZE)
    opened_count = sum(len(after[vm] - before[vm]) for vm in before)
    assert opened_count < sum(map(len, before.values())) / 50


def test_a_report_reaches_every_entry_over_the_subsets(entries):
    chosen = choose_all(entries, entries, PEERS)
    for start in (entries[0].vm, entries[-1].vm):
        reached, newly_reached = {start}, [start]
        while newly_reached:
            receivers = set().union(*(chosen[vm] for vm in newly_reached))
            newly_reached = list(receivers - reached)
            reached |= receivers
        assert len(reached) == ENTRIES

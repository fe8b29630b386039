"""Learned cascade plans: ratings, costs, escalation and merged counters."""

from __future__ import annotations

import itertools
import random
import time

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given, settings

from lovagestage.decisions.cascade import (
    MAX_EXPLORE_RATIO,
    MIN_EXPLORE_RATIO,
    CascadeTable,
    get_difficulty,
    make_plans,
    may_escalate,
)
from lovagestage.decisions.learned_counters import (
    RETAINED_WINDOWS,
    LearnedCounters,
)
from lovagestage.messages.counters import Arm, Counter, Plan
from lovagestage.types import VmId

VERSIONS = ["s@1", "m@1", "l@1"]
SHORT = ["s@1", "l@1"]
SMALL, LARGE = Plan("s@1"), Plan("l@1")


def make_counter(mean, cost, ratings=400, requests=3000):
    squares = ratings * (mean**2 + 0.01)
    sums = (ratings, ratings * mean, squares)
    return Counter(requests, cost * requests, *sums)


def make_counters(means, costs, levels=(0, 1), **sizes):
    return {
        Arm("c", level, plan): make_counter(mean, cost, **sizes)
        for level in levels
        for plan, mean, cost in zip(means, means.values(), costs, strict=True)
    }


def make_table(counters, target, versions=VERSIONS):
    return CascadeTable(versions, "c", target, counters)


def get_ratio(table, level, plan):
    return sum(s.ratio for s in table.shares[level] if s.plan == plan)


def test_cold_start_uses_the_best_version():
    table = make_table({}, 0.8)
    rng = random.Random(1)
    plans = [table.choose_plan(0, rng) for _ in range(4000)]
    others = sum(plan != LARGE for plan in plans) / len(plans)
    assert others < 2 * MIN_EXPLORE_RATIO


def test_few_ratings_are_not_trusted():
    # The cheap version has perfect ratings, but only a handful of them.
    counters = make_counters({LARGE: 0.9}, [10.0])
    cheap_counters = make_counters({SMALL: 1.0}, [1.0], ratings=3, requests=20)
    table = make_table(counters | cheap_counters, 0.85)
    assert get_ratio(table, 0, SMALL) == 0.0


def test_target_is_held_with_confidence_not_on_average():
    # Both plans reach the target on average, but the cheap plan has too few
    # ratings for a conclusion.
    escalating = Plan("s@1", "l@1")
    counters = make_counters({LARGE: 0.95, escalating: 0.95}, [10.0, 10.5])
    few_ratings = make_counters({SMALL: 0.81}, [1.0], ratings=15)
    many_ratings = make_counters({SMALL: 0.81}, [1.0], ratings=40_000)
    ratios = [
        sum(
            get_ratio(
                make_table(counters | cheap_counters, 0.8, SHORT), d, SMALL
            )
            for d in (0, 1)
        )
        for cheap_counters in (few_ratings, many_ratings)
    ]
    assert ratios[0] < ratios[1] == 2.0


def test_harder_level_keeps_the_better_version():
    counters, costs = {}, [10.0, 11.0, 1.0]
    for level, mean in ((0, 0.89), (5, 0.4)):
        means = {LARGE: 0.9, Plan("s@1", "l@1"): 0.9, SMALL: mean}
        counters |= make_counters(means, costs, [level])
    table = make_table(counters, 0.85, SHORT)
    assert get_ratio(table, 0, SMALL) == 1.0
    assert get_ratio(table, 5, SMALL) < 0.2


def test_out_of_reach_target_keeps_the_best_version():
    counters = make_counters({LARGE: 0.9, SMALL: 0.5}, [10.0, 1.0])
    assert get_ratio(make_table(counters, 0.99), 0, LARGE) == 1.0


def test_most_saved_for_the_quality_lost_goes_first():
    # Level 0 saves slightly more cost than level 1 but loses ten times as much
    # quality. If level 0 moved first, it would use up the lead over the target
    # and leave nothing for level 1.
    escalating = Plan("s@1", "l@1")
    counters = {}
    for level, cheap in ((0, (0.80, 1.0)), (1, (0.89, 2.0))):
        means = {LARGE: 0.9, escalating: 0.9, SMALL: cheap[0]}
        costs = [10.0, 11.0, cheap[1]]
        counters |= make_counters(means, costs, [level], ratings=10**9)
    table = make_table(counters, 0.892, SHORT)
    assert get_ratio(table, 1, SMALL) == 1.0


def get_naive_cost(counters, target):
    """Returns the least cost of one plan per level by trying every pair."""
    best = float("inf")
    for plans in itertools.product((SMALL, LARGE), repeat=2):
        arms = [counters[Arm("c", d, p)] for d, p in enumerate(plans)]
        if sum(a.get_mean() for a in arms) / 2 >= target:
            best = min(best, sum(a.get_cost() for a in arms) / 2)
    return best


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.floats(0.1, 0.9), min_size=4, max_size=4),
    st.floats(0.2, 0.8),
)
def test_cost_is_no_worse_than_every_pair_of_plans(means, target):
    # The ratings are certain, and the solver may move parts of a level as well
    # as whole levels. The greedy choice may then not cost more than the best of
    # the four pairs of plans.
    counters = {}
    for level in (0, 1):
        pair = {SMALL: means[level], LARGE: means[2 + level]}
        counters |= make_counters(pair, [1.0, 10.0], [level], ratings=10**9)
    naive_cost = get_naive_cost(counters, target + 0.02)
    table = make_table(counters, target, SHORT)
    cost = sum(
        share.ratio * counters[Arm("c", level, share.plan)].get_cost() / 2
        for level in (0, 1)
        for share in table.shares[level]
    )
    if naive_cost < float("inf") and table.get_lower_bound() >= target:
        assert cost <= naive_cost + 10.0 * MAX_EXPLORE_RATIO


@given(
    st.lists(st.sampled_from(VERSIONS), min_size=1, unique=True),
    st.integers(0, 2**32),
    st.floats(0, 1),
)
def test_only_given_versions_are_ever_chosen(allowed, seed, target):
    # The counters contain all versions, but the workspace may use only some.
    means = {plan: 0.9 for plan in make_plans(VERSIONS)}
    counters = make_counters(means, [1.0, 2.0, 3.0, 4.0, 10.0])
    table = make_table(counters, target, allowed)
    rng = random.Random(seed)
    plans = [
        table.choose_plan(level, rng) for level in range(8) for _ in range(20)
    ]
    assert {p.first for p in plans} <= set(allowed)
    assert {p.escalate_to for p in plans} <= {"", *allowed}


@given(st.floats(0.5, 20.0), st.floats(0.5, 20.0))
def test_a_higher_price_never_wins_requests(first, second):
    low, high = sorted((first, second))
    means = {LARGE: 0.9, SMALL: 0.7}
    ratios = [
        sum(
            get_ratio(
                make_table(make_counters(means, [10.0, p]), 0.85), d, SMALL
            )
            for d in (0, 1)
        )
        for p in (low, high)
    ]
    assert ratios[1] <= ratios[0] + 1e-9


@pytest.mark.parametrize(
    ("plan", "doubtful", "spent_s", "left_s", "expected"),
    [
        (Plan("s@1", "l@1"), True, 1.0, 5.0, True),
        (Plan("s@1", "l@1"), False, 1.0, 5.0, False),
        (Plan("s@1", "l@1"), True, 4.0, 5.0, False),
        (SMALL, True, 1.0, 5.0, False),
    ],
)
def test_escalation(plan, doubtful, spent_s, left_s, expected):
    assert may_escalate(plan, doubtful, spent_s, left_s) is expected


@pytest.mark.parametrize(
    ("prompt_bytes", "level"), [(0, 0), (255, 0), (256, 1), (10**9, 7)]
)
def test_difficulty_levels(prompt_bytes, level):
    assert get_difficulty(prompt_bytes) == level


def make_deltas(rng):
    owners = [LearnedCounters(VmId(f"e{i}"), 1) for i in range(3)]
    deltas = []
    for _ in range(12):
        learned = rng.choice(owners)
        arm = Arm("c", rng.randrange(2), SMALL)
        learned.add_request(arm, 1.0)
        learned.add_rating(arm, rng.random())
        wire = msgspec.msgpack.encode(learned.make_delta())
        deltas.append(
            msgspec.msgpack.decode(wire, type=type(learned.make_delta()))
        )
    return deltas


@given(st.integers(0, 2**32), st.data())
def test_merging_needs_no_order_and_takes_repeats(seed, data):
    deltas = make_deltas(random.Random(seed))
    shuffled = [*data.draw(st.permutations(deltas)), *deltas[:5]]
    ordered_merge, shuffled_merge = (
        LearnedCounters(VmId("a"), 1),
        LearnedCounters(VmId("b"), 1),
    )
    for delta in deltas:
        ordered_merge.merge(delta)
    for delta in shuffled:
        shuffled_merge.merge(delta)
    first, second = ordered_merge.get_sums(), shuffled_merge.get_sums()
    assert first.keys() == second.keys()
    for arm, counter in first.items():
        assert msgspec.structs.astuple(counter) == pytest.approx(
            msgspec.structs.astuple(second[arm])
        )


def test_restarted_entry_keeps_its_reported_ratings():
    # Guards against losing the ratings that an entry reported before its
    # restart. Its new counters start at zero; taken as an older copy of the
    # former counters, they would be dropped until they had grown larger.
    reader = LearnedCounters(VmId("a"), 1)
    for incarnation, count in ((1, 5), (2, 2)):
        entry = LearnedCounters(VmId("b"), incarnation)
        for _ in range(count):
            entry.add_rating(Arm("c", 0, SMALL), 1.0)
        reader.merge(entry.make_delta())
    assert reader.get_sums()[Arm("c", 0, SMALL)].ratings == 7


def test_old_windows_are_forgotten():
    learned = LearnedCounters(VmId("a"), 1)
    learned.add_rating(Arm("c", 0, SMALL), 1.0)
    learned.set_window(RETAINED_WINDOWS - 1)
    assert learned.get_sums()
    learned.set_window(RETAINED_WINDOWS)
    assert not learned.get_sums()


def test_choice_takes_under_100_microseconds():
    versions = [f"m{i}@1" for i in range(22)]
    means = {plan: 0.9 for plan in make_plans(versions)}
    costs = [float(i + 1) for i in range(len(means))]
    table = make_table(make_counters(means, costs), 0.8, versions)
    rng = random.Random(1)
    best_s = 1.0
    for _ in range(5):
        start_s = time.perf_counter()
        for _ in range(1000):
            table.choose_plan(rng.randrange(8), rng)
        best_s = min(best_s, (time.perf_counter() - start_s) / 1000)
    assert best_s < 100e-6

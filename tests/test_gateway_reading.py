"""Prefill times of prompts, and the upstream that they are sent to."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.gateway.latency import DEFAULT_ANSWER_S
from lovagestage.gateway.messages import PromptSegment
from lovagestage.gateway.prefill import (
    MIN_TOKENS,
    OVERHEAD_S,
    PrefillTimes,
    PrefillTokens,
    count_prefill_tokens,
)
from lovagestage.gateway.upstream_choice import AttemptCost, choose_upstream
from tests.test_gateway_gossip import make_rotation

TOKEN_S = 50e-6


def make_times(waits_s, tokens=2_000):
    times = PrefillTimes()
    for wait_s in waits_s:
        times.record("large", tokens, OVERHEAD_S + wait_s + tokens * TOKEN_S)
    return times


def test_queue_times_do_not_count_as_prefill():
    # Most answers have waited behind others, by very different times. If these
    # times were counted as the prompt's own prefill, a queue of ten requests
    # would count each wait ten times over, and its upstream would seem to be
    # full.
    rng = random.Random(1)
    waits_s = [rng.choice((0.0, 0.0, 0.2, 0.5, 1.5)) for _ in range(300)]
    expected_s = OVERHEAD_S + 4_000 * TOKEN_S
    prefill_s = make_times(waits_s).get_prefill_s("large", 4_000)
    assert prefill_s == pytest.approx(expected_s, rel=0.5)
    mean_s = sum(waits_s) / len(waits_s)
    assert prefill_s < mean_s + expected_s


def test_first_answer_that_waited_is_soon_outweighed():
    times = make_times([3.0] + [0.0] * 20)
    expected_s = OVERHEAD_S + 2_000 * TOKEN_S
    assert times.get_prefill_s("large", 2_000) < 3 * expected_s


def test_unknown_models_and_short_prompts():
    times = PrefillTimes()
    times.record("large", MIN_TOKENS - 1, 1.0)
    times.record("large", 5_000, OVERHEAD_S / 2)
    assert times.get_prefill_s("large", 9_000) == DEFAULT_ANSWER_S
    assert make_times([0.0]).get_prefill_s("small", 9_000) == DEFAULT_ANSWER_S


@given(
    st.lists(st.tuples(st.integers(0, 100_000), st.floats(0, 100)), max_size=50)
)
def test_times_stay_positive_and_grow_with_the_prompt(samples):
    times = PrefillTimes()
    for tokens, time_s in samples:
        times.record("large", tokens, time_s)
    assert (
        0.0
        < times.get_prefill_s("large", 10)
        <= times.get_prefill_s("large", 20_000)
    )


def test_tokens_to_prefill_of_a_prompt():
    system = PromptSegment("a", 2_000)
    prefix = PromptSegment("b", 300)
    own_part = PromptSegment("c", 40)
    assert count_prefill_tokens((system, prefix, own_part)) == PrefillTokens(
        340, 40
    )
    assert count_prefill_tokens((own_part,)) == PrefillTokens(40, 40)
    assert count_prefill_tokens(()) is None


def get_prefix_upstream_id(work):
    placements = choose_placements(
        make_rotation().get_ready("pool"), work, range(60)
    )
    prefix_upstreams = {p.upstream.id for p in placements if p.is_cached}
    assert len(prefix_upstreams) == 1
    return prefix_upstreams.pop()


def choose_placements(upstreams, work, seeds):
    return [
        choose_upstream(upstreams, (), work, "a", 0.0, random.Random(seed))
        for seed in seeds
    ]


@pytest.mark.parametrize(("wait_s", "goes_home"), [(1.1, True), (1.3, False)])
def test_prefix_leaves_its_upstream_only_for_a_shorter_total(wait_s, goes_home):
    # The upstream that has cached the prompt prefix has a queue. Another
    # upstream is free, but would have to prefill the shared prefix again,
    # which takes 0.4 s of its time from all requests: three times that is
    # worth a wait of 1.1 s and not one of 1.3 s. The time that the attempt
    # adds to the queue follows from the choice.
    work = AttemptCost(0.5, 0.1, "subject")
    rotation = make_rotation()
    upstreams = rotation.get_ready("pool")
    prefix_upstream = get_prefix_upstream_id(work)
    next(
        u for u in upstreams if u.id == prefix_upstream
    ).performance.waiting_s = wait_s
    for placement in choose_placements(upstreams, work, range(60)):
        assert (placement.upstream.id == prefix_upstream) is goes_home
        assert placement.is_cached is goes_home
        assert placement.work_s == (0.1 if goes_home else 0.5)

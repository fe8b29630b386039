"""Tests how often drawn roll-outs end with the wrong verdict."""

from __future__ import annotations

import pytest

from lab.rollout_replay import DRAWS, replay
from lovagestage.gateway.rollouts import RolloutOutcome

SEEDS = range(20)
MAX_BAD_ANSWERS = 50
THIN_RATE_PER_S = 10.0


def name(draw):
    return (
        f"{draw.kind}-{draw.share}-{draw.gateways}-{draw.rate_per_s:.0f}"
        f"-{draw.duration_s:.0f}"
    )


GOOD = [
    draw
    for draw in DRAWS
    if draw.kind == "good" and draw.rate_per_s > THIN_RATE_PER_S
]
BAD = [
    draw
    for draw in DRAWS
    if draw.kind != "good" and draw.rate_per_s > THIN_RATE_PER_S
]


@pytest.mark.parametrize("draw", GOOD, ids=name)
def test_good_version_is_completed_in_time(draw):
    # In a large fleet each gateway heard of all failures and only of its own
    # good answers: the usual slow answers added up against a good version.
    outcomes = [replay(draw, seed).outcome for seed in SEEDS]
    assert outcomes.count(RolloutOutcome.COMPLETED) >= 0.9 * len(SEEDS)
    assert outcomes.count(RolloutOutcome.REVERTED) <= 1


@pytest.mark.parametrize("draw", BAD, ids=name)
def test_bad_version_is_not_completed(draw):
    # A version was completed though the evidence, seen over all gateways, spoke
    # against it.
    verdicts = [replay(draw, seed) for seed in SEEDS]
    outcomes = [verdict.outcome for verdict in verdicts]
    assert outcomes.count(RolloutOutcome.COMPLETED) == 0
    assert outcomes.count(RolloutOutcome.REVERTED) >= 0.9 * len(SEEDS)
    bad = [verdict.bad_answers for verdict in verdicts]
    assert max(bad) < MAX_BAD_ANSWERS


def test_bad_version_with_little_traffic_is_rarely_completed():
    # Five answers completed it.
    draw = next(
        d
        for d in DRAWS
        if d.kind == "slow"
        and d.share == 0.5
        and d.rate_per_s < THIN_RATE_PER_S
    )
    outcomes = [replay(draw, seed).outcome for seed in SEEDS]
    assert outcomes.count(RolloutOutcome.COMPLETED) <= 1

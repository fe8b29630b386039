"""Tests how often gateways report the answers of a new version."""

from __future__ import annotations

import pytest

from lovagestage.gateway.rollout_reports import (
    MAX_REPORTS_PER_S,
    MIN_REPORTS,
    REPORT_LEAD_S,
    get_next_report_age_s,
)
from lovagestage.gateway.rollout_shares import COMPLETE_RATIO, LOAD_STEP

SPREAD_S = 1.5


def get_report_ages(duration_s, gateways, draw):
    ages, age_s = [], 0.0
    while age_s < duration_s:
        age_s = get_next_report_age_s(
            age_s, duration_s, COMPLETE_RATIO, gateways, draw
        )
        ages.append(age_s)
    return ages[:-1]


@pytest.mark.parametrize(
    ("duration_s", "gateways"), [(12.0, 390), (12.0, 5), (600.0, 390)]
)
def test_reports_of_all_gateways_together_are_bounded(duration_s, gateways):
    # 390 gateways reported up to 780 times a second, where the store takes
    # several hundred appends in all.
    ages = [
        age_s
        for number in range(gateways)
        for age_s in get_report_ages(duration_s, gateways, number / gateways)
    ]
    # Besides the regular ones each gateway reports twice.
    regular = max(MAX_REPORTS_PER_S * duration_s, MIN_REPORTS * gateways)
    assert len(ages) <= regular + 2 * gateways


@pytest.mark.parametrize("draw", [0.0, 0.5, 0.99])
def test_a_large_fleet_reports_before_the_load_step_and_the_verdict(draw):
    # What gateways had received since their last report was missing there.
    ages = get_report_ages(12.0, 390, draw)
    assert len(ages) >= MIN_REPORTS
    for ratio in (LOAD_STEP.from_ratio, COMPLETE_RATIO):
        end_s = ratio * 12.0 - REPORT_LEAD_S
        assert any(end_s - SPREAD_S <= age_s <= end_s for age_s in ages)

"""Decides when gateways tell each other of a roll-out's answers (no I/O)."""

from __future__ import annotations

from lovagestage.gateway.rollout_evidence import TrialEvidence
from lovagestage.gateway.rollout_shares import LOAD_STEP
from lovagestage.gateway.rollouts import Rollout, RolloutOutcome

REPORTS = 24
"""Number of reports, spread over the duration of an order, in which a gateway
tells the others how many answers of the new version it has received and what
these say. Failures are told at once; without the good answers of the others,
the failures of a large fleet would add up against a good version."""
MIN_REPORTS = 4
"""The same at least, however many gateways there are."""
MIN_REPORT_INTERVAL_S = 0.5
"""Shortest interval in seconds between two reports."""
MAX_REPORTS_PER_S = 60.0
"""Reports a second of all gateways together, as far as `MIN_REPORTS` allows:
each is an append to the store, which takes several hundred a second in all."""
REPORT_LEAD_S = 1.0
"""Time in seconds before the load step and the verdict by which each gateway
has reported once more: what it takes until others have read it."""
LEAD_SPREADS = 8
"""Part of the order's duration over which these reports are spread at most, as
a divisor: what has come since is missing from them."""


def get_report_interval_s(duration_s: float, gateways: int) -> float:
    """Returns the interval in seconds between two reports of a gateway.

    Args:
        duration_s: Duration of the order in seconds.
        gateways: Number of gateways.
    """
    interval_s = max(
        MIN_REPORT_INTERVAL_S,
        duration_s / REPORTS,
        gateways / MAX_REPORTS_PER_S,
    )
    return max(MIN_REPORT_INTERVAL_S, min(interval_s, duration_s / MIN_REPORTS))


def get_next_report_age_s(
    age_s: float,
    duration_s: float,
    due_ratio: float,
    gateways: int,
    draw: float,
) -> float:
    """Returns the age of an order at which a gateway reports next, in seconds.

    Args:
        age_s: Age at which it has reported, in seconds.
        duration_s: Duration of the order in seconds.
        due_ratio: Share of the duration after which the verdict is due.
        gateways: Number of gateways.
        draw: Number from 0 to 1 that is the gateway's own, so that they don't
            all report at once.
    """
    next_age_s = age_s + get_report_interval_s(duration_s, gateways)
    spread_s = max(
        REPORT_LEAD_S,
        min(gateways / MAX_REPORTS_PER_S, duration_s / LEAD_SPREADS),
    )
    lead_s = REPORT_LEAD_S + draw * spread_s
    for ratio in (due_ratio, LOAD_STEP.from_ratio):
        before_s = ratio * duration_s - lead_s
        if age_s < before_s < next_age_s:
            next_age_s = before_s
    return next_age_s


def is_report_due(
    rollout: Rollout,
    own: TrialEvidence,
    now_s: float,
    gateways: int,
    draw: float,
) -> bool:
    """Returns whether a report is due, and plans the next one.

    Args:
        rollout: The roll-out.
        own: What this gateway knows by its own answers.
        now_s: Elapsed time in seconds.
        gateways: As in `get_next_report_age_s`.
        draw: As in `get_next_report_age_s`.
    """
    if rollout.outcome is not RolloutOutcome.RUNNING:
        return False
    duration_s = rollout.order.duration_s
    if own.report_due_s is None:
        interval_s = get_report_interval_s(duration_s, gateways)
        own.report_due_s = now_s + draw * interval_s
    if now_s < own.report_due_s:
        return False
    age_s = rollout.get_age_s(now_s)
    next_age_s = get_next_report_age_s(
        age_s, duration_s, rollout.get_due_ratio(), gateways, draw
    )
    own.report_due_s = now_s + next_age_s - age_s
    return True

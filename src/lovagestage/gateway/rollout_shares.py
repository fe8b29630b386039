"""Decides how much traffic a new version gets, and where (no I/O)."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Sequence

from lovagestage.gateway.configuration import hash_to_share
from lovagestage.types import InstanceId

EXPOSURE_USED_RATIO = 0.8
"""Share of the allowed exposure, less the exposure by the last steps, that the
first share of sessions uses; the rest is for bursts."""
FIRST_SHARES = (0.015, 0.03, 0.05, 0.07, 0.1, 0.13, 0.16, 0.2, 0.25)
"""Shares that a roll-out may begin with. They are few, so that gateways with
about the same traffic choose the same one."""
MIN_STEP_RATIO = 0.4
"""Least part of the order's duration that the first share is spread over: half
of what the load step leaves."""
DEFAULT_SHARE = 0.05
"""First share where the gateway does not know the service's traffic yet."""


@dataclasses.dataclass(frozen=True)
class RolloutStep:
    """A share of sessions on the new version from a point in time on.

    Attributes:
        from_ratio: Start of the step, as a share of the order's duration.
        share: Share of the sessions on the new version.
        min_answers: Answers of the new version, over all gateways, that are
            needed before the step is made.
    """

    from_ratio: float
    share: float
    min_answers: int


LOAD_STEP = RolloutStep(0.8, 0.25, 12)
"""Step that raises the load before the end of a roll-out: the new version gets
more traffic for several times as long as failures take to occur and to be
reported. Until then the share stays constant, so that no session changes its
version in the first half."""
TRIAL_LOAD_FACTOR = 1.25
"""Load of an upstream of the new version on trial, as a multiple of its load
once all traffic goes to the new version. Otherwise a version that fails only
in a burst would be detected only when the old version no longer runs."""
MIN_TRIAL_UPSTREAMS = 2
"""Minimum number of upstreams on trial: a single upstream that fails is no
evidence against its version."""
COMPLETE_RATIO = 0.95
"""Share of the order's duration after which a version that was not stopped is
completed. It is late, so that a fault that never showed still keeps within the
allowed exposure."""


def get_first_share(
    exposure_ratio: float,
    exposure_slack: float,
    expected_requests: float,
    start_ratio: float = 0.0,
) -> float:
    """Returns the share of sessions with which a roll-out begins.

    Args:
        exposure_ratio: Share of the service's requests that an unproved
            version may get.
        exposure_slack: Requests beyond that share.
        expected_requests: Requests of the service during the roll-out; 0 if
            unknown.
        start_ratio: Share of the duration before which the new version gets
            nothing.
    """
    if expected_requests <= 0.0:
        return DEFAULT_SHARE
    allowed = exposure_ratio + exposure_slack / expected_requests
    last_steps = LOAD_STEP.share * (COMPLETE_RATIO - LOAD_STEP.from_ratio)
    last_steps += 1.0 - COMPLETE_RATIO
    first_step = max(MIN_STEP_RATIO, LOAD_STEP.from_ratio - start_ratio)
    limit = EXPOSURE_USED_RATIO * (allowed - last_steps) / first_step
    allowed_shares = [share for share in FIRST_SHARES if share <= limit]
    return max(allowed_shares, default=FIRST_SHARES[0])


def choose_trial_upstreams(
    names: Sequence[InstanceId], seed: str, share: float
) -> set[InstanceId]:
    """Chooses the upstreams on which a new version is tried.

    If the small share of the new version were spread over as many upstreams as
    the full traffic needs, a version that fails under load would not meet
    that load before its completion. The share therefore goes to so few
    upstreams that each is loaded as in a burst. All gateways choose the same
    upstreams.

    Args:
        names: Upstreams of the new version.
        seed: Text that identifies the order.
        share: Share of the traffic that the chosen upstreams get together.
    """
    count = math.ceil(share * len(names) / TRIAL_LOAD_FACTOR)
    ranked = sorted(names, key=lambda name: hash_to_share(f"{seed}/{name}"))
    return set(ranked[: max(MIN_TRIAL_UPSTREAMS, count)])

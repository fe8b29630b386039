"""Assigns requests to the versions of a roll-out (no I/O)."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from lovagestage.gateway.rollouts import Rollout, RolloutOutcome
from lovagestage.types import VersionId

SESSION_HOLD_RATIO = 0.51
"""Share of the duration until which a session stays on the old version if it
began there; a little over the half, since gateways receive an order at
different moments."""


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The version to which a request is sent.

    Attributes:
        version: The version; None for any version.
        is_new: Whether the version is the one that is rolled out.
    """

    version: VersionId | None
    is_new: bool = False


def choose_version(
    rollout: Rollout | None,
    versions: Sequence[VersionId],
    seed: str,
    now_s: float,
    is_pinned_elsewhere: bool = False,
) -> Assignment:
    """Chooses the version of a request.

    Args:
        rollout: The service's last roll-out; None without one.
        versions: Versions of the upstreams that take requests.
        seed: The request's session, or its id.
        now_s: Elapsed time in seconds.
        is_pinned_elsewhere: Whether the session is active and was last on
            another version than the new one.

    Returns:
        The assignment; its version is None where upstreams of any version may
        be used.
    """
    if rollout is None:
        return Assignment(None)
    target = rollout.order.version
    old = [version for version in versions if version != target]
    if rollout.outcome is RolloutOutcome.COMPLETED:
        return Assignment(target)
    if target not in versions:
        return Assignment(None)
    if not old:
        # A reverted version still serves requests where no other version is
        # left.
        return Assignment(target, True)
    stays_on_old = is_pinned_elsewhere or seed in rollout.held_sessions
    stays_on_old = (
        stays_on_old and rollout.get_elapsed_ratio(now_s) < SESSION_HOLD_RATIO
    )
    is_new = rollout.is_new(seed, now_s) and not stays_on_old
    return Assignment(target if is_new else old[0], is_new)

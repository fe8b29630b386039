"""Chooses an upstream for a version: pure decisions, no clock or socket."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from lovagestage.types import VmId, ZoneId

CHOICES = 2
"""Upstreams compared for each request (Mitzenmacher 2001)."""
OTHER_ZONE_PENALTY = 0.1
"""Added load of an upstream in another zone: two hops of 1 to 2 ms each are
small beside a token interval, so zones only break near ties."""


@dataclasses.dataclass(frozen=True)
class UpstreamView:
    """What an entry knows of an upstream when it decides.

    Attributes:
        vm: The upstream's VM.
        zone: Its availability zone.
        versions: Versions it has loaded, or its pool.
        running: Requests running there, with those that this entry has sent
            since the last heartbeat.
        max_running: Requests that may run at once.
        is_engine: Whether it is a model engine.
    """

    vm: VmId
    zone: ZoneId
    versions: frozenset[str]
    running: int
    max_running: int
    is_engine: bool = True


def choose_upstream(
    views: Sequence[UpstreamView],
    version: str,
    zone: ZoneId,
    excluded: frozenset[VmId],
    rng: random.Random,
) -> VmId | None:
    """Chooses the less loaded of a few random upstreams.

    Args:
        views: All upstreams that take new work.
        version: `MODEL@VERSION` that must be loaded.
        zone: The entry's own availability zone.
        excluded: Upstreams that already refused this request.
        rng: Source of randomness.

    Returns:
        The chosen VM, or None where no upstream can take the request.
    """
    able = [
        view
        for view in views
        if version in view.versions
        and view.vm not in excluded
        and view.running < view.max_running
    ]
    if not able:
        return None
    sample = rng.sample(able, min(CHOICES, len(able)))
    return min(sample, key=lambda view: _get_cost(view, zone)).vm


def _get_cost(view: UpstreamView, zone: ZoneId) -> float:
    penalty = 0.0 if view.zone == zone else OTHER_ZONE_PENALTY
    return view.running / view.max_running + penalty

"""Chooses the upstream of an attempt: pure decisions."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence

from lovagestage.gateway.configuration import get_share
from lovagestage.gateway.rotation import Upstream
from lovagestage.types import InstanceId, ZoneId

AFFINITY_SLACK = 1.3
"""An upstream that has read a prompt's shared parts is preferred while it has
at most this many times the mean load (bounded-load consistent hashing,
Mirrokni, Thorup and Zadimoghaddam 2018)."""
AFFINITY_ROOM = 2
"""Requests over that; with few requests a mean says little."""


def choose_upstream(
    upstreams: Sequence[Upstream],
    excluded: Collection[InstanceId],
    subject: str | None,
    zone: ZoneId,
    now_s: float,
    rng: random.Random,
) -> Upstream | None:
    """Chooses an upstream.

    Args:
        upstreams: Those that take requests of the version.
        excluded: Those that already failed or refused this request.
        subject: What the prompt shares with others; None for none.
        zone: The gateway's availability zone.
        now_s: Elapsed time.
        rng: Source of randomness.

    Returns:
        The upstream; None where all are excluded.
    """
    able = [u for u in upstreams if u.id not in excluded]
    if not able:
        return None
    sound = [u for u in able if not u.performance.is_suspect(now_s)] or able
    good = [u for u in sound if not u.performance.is_grey()] or sound
    if subject is None:
        return _choose_idlest(good, zone, rng)
    return _choose_by_subject(good, subject)


def _choose_idlest(
    upstreams: Sequence[Upstream], zone: ZoneId, rng: random.Random
) -> Upstream:
    return min(
        upstreams,
        key=lambda u: (
            u.performance.running / max(1, u.entry.slots),
            u.entry.zone != zone,
            rng.random(),
        ),
    )


def _choose_by_subject(upstreams: Sequence[Upstream], subject: str) -> Upstream:
    total = sum(u.performance.running for u in upstreams)
    bound = AFFINITY_SLACK * total / len(upstreams) + AFFINITY_ROOM
    ranked = sorted(
        upstreams, key=lambda u: get_share(f"{subject}/{u.id}"), reverse=True
    )
    for upstream in ranked:
        if upstream.performance.running <= bound:
            return upstream
    return ranked[0]

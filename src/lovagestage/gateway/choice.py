"""Chooses the upstream of an attempt: pure decisions."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Sequence

from lovagestage.gateway.configuration import get_share
from lovagestage.gateway.rotation import Upstream
from lovagestage.types import InstanceId, ZoneId

CACHED_RATIO = 0.6
"""Part of a prompt's time that is saved at the upstream that its subject is
hashed to, which has most likely read the shared parts before: two thirds of
the longest prompts are shared. It matters where a subject comes again before
its parts yield; with 0 and 0.9 the worth of days of load was the same to
0.005, since few subjects do."""
SAMPLE = 3
"""Upstreams that are compared. What others have waiting is known late; if all
gateways chose the best of all, they would run to the same one (Mitzenmacher
2000, "How Useful Is Old Information?")."""


@dataclasses.dataclass(frozen=True)
class Work:
    """What an attempt asks of an upstream.

    Attributes:
        expected_s: Time to its first sign of an answer.
        subject: What its prompt shares with others; None for none.
    """

    expected_s: float
    subject: str | None = None


def choose_upstream(
    upstreams: Sequence[Upstream],
    excluded: Collection[InstanceId],
    work: Work,
    zone: ZoneId,
    now_s: float,
    rng: random.Random,
) -> Upstream | None:
    """Chooses an upstream.

    Args:
        upstreams: Those that take requests of the version.
        excluded: Those that already failed or refused this request.
        work: What the attempt asks.
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
    if work.subject is None:
        return min(good, key=lambda u: _get_place_cost(u, zone, rng))
    likely = max(good, key=lambda u: get_share(f"{work.subject}/{u.id}"))
    sample = rng.sample(good, min(SAMPLE, len(good)))
    return min(
        {*sample, likely},
        key=lambda u: _get_wait_s(u, work, u is likely, rng),
    )


def _get_place_cost(
    upstream: Upstream, zone: ZoneId, rng: random.Random
) -> tuple[float, bool, float]:
    """Ranks upstreams that work on as many requests as they have places."""
    performance = upstream.performance
    filled = performance.running / max(1, upstream.entry.slots)
    return (
        filled * performance.slowness,
        upstream.entry.zone != zone,
        rng.random(),
    )


def _get_wait_s(
    upstream: Upstream, work: Work, is_likely: bool, rng: random.Random
) -> tuple[float, float]:
    """Ranks upstreams that read one prompt after another."""
    performance = upstream.performance
    own_s = work.expected_s * (1.0 - CACHED_RATIO * is_likely)
    wait_s = performance.get_wait_s()
    return (wait_s + own_s) * performance.slowness, rng.random()

"""Chooses the upstream of an attempt: pure decisions."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Sequence

import xxhash

from lovagestage.gateway.upstream import Upstream
from lovagestage.types import InstanceId, ZoneId

SAMPLE = 3
"""Upstreams that are compared. What others have waiting is known late; if all
gateways chose the best of all, they would run to the same one (Mitzenmacher
2000, "How Useful Is Old Information?")."""

READING_WEIGHT = 3.0
"""How much reading that a kept subject spares counts against waiting. Reading
it again takes an upstream's time from all that wait there and from those that
come meanwhile, a wait only that of the request itself; and what others have
waiting is known late and only about."""


@dataclasses.dataclass(frozen=True)
class Work:
    """What an attempt asks of an upstream.

    Attributes:
        fresh_s: Time that it takes of an upstream by itself.
        cached_s: The same where the subject has been read before.
        subject: What its prompt shares with others; None for none.
    """

    fresh_s: float
    cached_s: float
    subject: str | None = None


@dataclasses.dataclass(frozen=True)
class Placement:
    """Where an attempt goes.

    Attributes:
        upstream: The upstream.
        is_cached: Whether it has most likely read the subject before.
        work_s: Time that the attempt takes of it by itself.
    """

    upstream: Upstream
    is_cached: bool
    work_s: float


def choose_upstream(
    upstreams: Sequence[Upstream],
    excluded: Collection[InstanceId],
    work: Work,
    zone: ZoneId,
    now_s: float,
    rng: random.Random,
    cold: Sequence[Upstream] = (),
) -> Placement | None:
    """Chooses an upstream.

    All gateways expect a subject to have been read at the same upstream, the
    one that it is hashed to. Another one is taken where the wait there is
    shorter by more than some times what reading the subject again takes.

    Args:
        upstreams: Those that take requests of the version.
        excluded: Those that already failed or refused this request.
        work: What the attempt asks.
        zone: The gateway's availability zone.
        now_s: Elapsed time.
        rng: Source of randomness.
        cold: Those of them that are cold and have room.

    Returns:
        Where the attempt goes; None where all are excluded.
    """
    if work.subject is None:
        good = _get_good(upstreams, excluded, now_s)
        if not good:
            return None
        best = min(good, key=lambda u: _get_place_cost(u, zone, rng))
        return Placement(best, False, work.fresh_s)
    sample = rng.sample(upstreams, min(SAMPLE, len(upstreams)))
    likely = get_home(upstreams, work.subject)
    if likely is None:
        return None
    if not all(_is_good(u, excluded, now_s) for u in (likely, *sample)):
        # Seldom, so that thousands need not be looked at for each request.
        good = _get_good(upstreams, excluded, now_s)
        likely = get_home(good, work.subject)
        if likely is None:
            return None
        sample = rng.sample(good, min(SAMPLE, len(good)))
    # Few gateways may send to a cold one, and seldom would it be among those.
    able = (u for u in cold if _is_good(u, excluded, now_s))
    sample += [u for u in (likely, *able) if u not in sample]
    best = min(sample, key=lambda u: _get_wait_s(u, work, u is likely, rng))
    # One that has just started is preferred all the same: what it reads now
    # the next request of the subject finds there.
    is_cached = best is likely and likely.has_likely_read(work.subject)
    return Placement(
        best, is_cached, work.cached_s if is_cached else work.fresh_s
    )


def _is_good(
    upstream: Upstream, excluded: Collection[InstanceId], now_s: float
) -> bool:
    performance = upstream.performance
    return not (
        upstream.id in excluded
        or performance.is_suspect(now_s)
        or performance.is_grey()
    )


def _get_good(
    upstreams: Sequence[Upstream],
    excluded: Collection[InstanceId],
    now_s: float,
) -> list[Upstream]:
    """Those not excluded, without the worse ones where there are better."""
    able = [u for u in upstreams if u.id not in excluded]
    sound = [u for u in able if not u.performance.is_suspect(now_s)] or able
    return [u for u in sound if not u.performance.is_grey()] or sound


def get_home(upstreams: Sequence[Upstream], subject: str) -> Upstream | None:
    """The upstream that a subject is hashed to; the same at all gateways."""
    seed = xxhash.xxh3_64_intdigest(subject.encode())
    return max(upstreams, key=lambda u: u.get_rank(seed), default=None)


def _get_place_cost(
    upstream: Upstream, zone: ZoneId, rng: random.Random
) -> tuple[float, bool, float]:
    """Ranks upstreams that work on as many requests as they have places.

    Requests of the other gateways count as well: of many gateways each has
    none under way most of the time, and by its own alone every one of them
    would send requests to an upstream that answers none.
    """
    performance = upstream.performance
    filled_s = performance.get_wait_s() / max(1, upstream.entry.slots)
    return (
        filled_s * performance.slowness,
        upstream.entry.zone != zone,
        rng.random(),
    )


def _get_wait_s(
    upstream: Upstream, work: Work, is_likely: bool, rng: random.Random
) -> tuple[float, float]:
    """Ranks upstreams that read one prompt after another."""
    performance = upstream.performance
    own_s = work.fresh_s
    if is_likely:
        own_s -= READING_WEIGHT * (work.fresh_s - work.cached_s)
    wait_s = performance.get_wait_s()
    return (wait_s + own_s) * performance.slowness, rng.random()

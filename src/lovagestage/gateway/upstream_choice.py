"""Chooses the upstream of an attempt (no I/O)."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Sequence

import xxhash

from lovagestage.gateway.upstream import Upstream
from lovagestage.types import InstanceId, ZoneId

SAMPLE_SIZE = 3
"""Number of random upstreams that are compared for an attempt. The queues of
other gateways are known only with a delay; if all gateways chose the best
upstream of all, they would all choose the same one (Mitzenmacher 2000, "How
Useful Is Old Information?")."""

MAX_SAMPLED_UPSTREAMS = 100
"""Maximum number of upstreams among which the shortest queue is searched: a
load gauge needs no more of them, and the search is made for the head of each
answer."""
PREFILL_WEIGHT = 3.0
"""Weight of the prefill time that a cached prompt prefix saves, relative to
queue time. A repeated prefill takes the upstream's time from all requests that
wait there and from those that arrive meanwhile, while queue time delays only
the request itself; besides, the queues of other gateways are known only with a
delay and approximately."""


@dataclasses.dataclass(frozen=True)
class AttemptCost:
    """Time for which an attempt occupies an upstream.

    Attributes:
        fresh_s: Time in seconds for which the attempt by itself occupies an
            upstream that has not cached the shared prompt prefix.
        cached_s: Time in seconds for which the attempt by itself occupies an
            upstream that has cached the prefix.
        prefix_key: Key of the prompt prefix that the request shares with
            others; None for none.
    """

    fresh_s: float
    cached_s: float
    prefix_key: str | None = None


@dataclasses.dataclass(frozen=True)
class Placement:
    """The upstream chosen for an attempt.

    Attributes:
        upstream: The upstream.
        is_cached: Whether the upstream has most likely cached the shared
            prompt prefix.
        work_s: Time in seconds for which the attempt by itself occupies the
            upstream.
    """

    upstream: Upstream
    is_cached: bool
    work_s: float


def choose_upstream(
    upstreams: Sequence[Upstream],
    excluded: Collection[InstanceId],
    work: AttemptCost,
    zone: ZoneId,
    now_s: float,
    rng: random.Random,
    cold: Sequence[Upstream] = (),
) -> Placement | None:
    """Chooses the upstream of an attempt.

    All gateways expect a shared prompt prefix to be cached at the same
    upstream, to which the prefix is hashed. A request is sent to another
    upstream where the queue there is shorter by more than `PREFILL_WEIGHT`
    times the prefill of the prefix.

    Args:
        upstreams: Upstreams that accept requests of the version.
        excluded: Upstreams that have already failed or refused this request.
        work: Time for which the attempt occupies an upstream, and its shared
            prompt prefix.
        zone: The gateway's availability zone.
        now_s: Elapsed time in seconds.
        rng: Source of randomness.
        cold: Upstreams out of `upstreams` that are warming up and may get
            another request from this gateway.

    Returns:
        The chosen upstream; None where all upstreams are excluded.
    """
    if work.prefix_key is None:
        usable = _get_usable(upstreams, excluded, now_s)
        if not usable:
            return None
        best = min(usable, key=lambda u: _get_slot_cost(u, zone, rng))
        return Placement(best, False, work.fresh_s)
    sample = rng.sample(upstreams, min(SAMPLE_SIZE, len(upstreams)))
    prefix_upstream = get_prefix_upstream(upstreams, work.prefix_key)
    if prefix_upstream is None:
        return None
    if not all(
        is_usable(u, excluded, now_s) for u in (prefix_upstream, *sample)
    ):
        # This path is rare, so that the gateway does not go through thousands
        # of upstreams for each request.
        usable = _get_usable(upstreams, excluded, now_s)
        prefix_upstream = get_prefix_upstream(usable, work.prefix_key)
        if prefix_upstream is None:
            return None
        sample = rng.sample(usable, min(SAMPLE_SIZE, len(usable)))
    # Few gateways may send requests to an upstream that is warming up, and a
    # random sample would rarely contain it, so such upstreams are always
    # compared.
    candidates = (u for u in cold if is_usable(u, excluded, now_s))
    sample += [u for u in (prefix_upstream, *candidates) if u not in sample]
    best = min(
        sample,
        key=lambda u: _get_queue_cost(u, work, u is prefix_upstream, rng),
    )
    # An upstream that has just started is preferred nevertheless: the prefix
    # that it prefills now is cached for the next request with the same prefix.
    is_cached = best is prefix_upstream and prefix_upstream.has_likely_cached(
        work.prefix_key
    )
    return Placement(
        best, is_cached, work.cached_s if is_cached else work.fresh_s
    )


def get_shortest_wait_s(
    upstreams: Sequence[Upstream], rng: random.Random
) -> float:
    """Returns the shortest expected queue time in seconds.

    Of many upstreams, a random sample is searched. The time is 0 where there
    is no upstream.
    """
    if len(upstreams) > MAX_SAMPLED_UPSTREAMS:
        upstreams = rng.sample(upstreams, MAX_SAMPLED_UPSTREAMS)
    return min((u.performance.get_wait_s() for u in upstreams), default=0.0)


def is_usable(
    upstream: Upstream, excluded: Collection[InstanceId], now_s: float
) -> bool:
    """Returns whether an upstream is not excluded and shows no fault."""
    performance = upstream.performance
    return not (
        upstream.id in excluded
        or performance.is_suspect(now_s)
        or performance.is_grey()
    )


def _get_usable(
    upstreams: Sequence[Upstream],
    excluded: Collection[InstanceId],
    now_s: float,
) -> list[Upstream]:
    """Returns the best of the upstreams that are not excluded.

    Suspect upstreams are omitted where others are left, and so are those with
    grey failures.
    """
    candidates = [u for u in upstreams if u.id not in excluded]
    healthy = [
        u for u in candidates if not u.performance.is_suspect(now_s)
    ] or candidates
    return [u for u in healthy if not u.performance.is_grey()] or healthy


def get_prefix_upstream(
    upstreams: Sequence[Upstream], prefix: str
) -> Upstream | None:
    """Returns the upstream to which a prompt prefix is hashed.

    All gateways with the same list of upstreams get the same result.
    """
    seed = xxhash.xxh3_64_intdigest(prefix.encode())
    return max(upstreams, key=lambda u: u.get_rank(seed), default=None)


def _get_slot_cost(
    upstream: Upstream, zone: ZoneId, rng: random.Random
) -> tuple[float, bool, float]:
    """Ranks upstreams for requests without a shared prompt prefix.

    Such an upstream works on as many requests concurrently as it has slots.
    Requests of the other gateways count as well: where there are many
    gateways, each has no request running most of the time, and if each counted
    its own requests alone, all of them would send requests to an upstream that
    answers none.
    """
    performance = upstream.performance
    slot_wait_s = performance.get_wait_s() / max(1, upstream.entry.slots)
    return (
        slot_wait_s * performance.slowness,
        upstream.entry.zone != zone,
        rng.random(),
    )


def _get_queue_cost(
    upstream: Upstream,
    work: AttemptCost,
    is_prefix_upstream: bool,
    rng: random.Random,
) -> tuple[float, float]:
    """Ranks upstreams for prompts that are prefilled one after another."""
    performance = upstream.performance
    cost_s = work.fresh_s
    if is_prefix_upstream:
        cost_s -= PREFILL_WEIGHT * (work.fresh_s - work.cached_s)
    wait_s = performance.get_wait_s()
    return (wait_s + cost_s) * performance.slowness, rng.random()

"""Decides which parts of prompts crash upstreams, from accusations.

A probe whose upstream crashes accuses all parts that it held and that no whole
answer had cleared: one of them may be the cause, or the request as a whole. So
an accusation convicts a set of parts rather than each of them, and only if
other requests bear witness against the same set.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterator, Mapping, Sequence, Set

from lovagestage.types import Fingerprint, PartId

MIN_STRIKE_WITNESSES = 2
"""Number of other requests, each in flight with an accused set at a crash of
its own, that convict the set as another accusation does."""
MIN_ACCUSERS = 3
"""Number of requests whose accusations have nothing but a part, or a few, in
common, from which these are convicted."""

PartSet = frozenset[PartId]
GetStrikes = Callable[[PartId], Mapping[str, Set[Fingerprint]]]


@dataclasses.dataclass(frozen=True)
class Accusation:
    """Crash of the upstream of a probe.

    Attributes:
        upstream: The upstream process.
        request: The request that was probed.
        parts: Its parts that no whole answer has cleared.
    """

    upstream: str
    request: Fingerprint
    parts: PartSet


@dataclasses.dataclass(frozen=True)
class Conviction:
    """Parts that crash upstreams where a request holds all of them.

    Attributes:
        parts: The parts; a single one, unless the others could not be cleared.
        crashes: Upstream processes that crashed with such a request in flight.
    """

    parts: PartSet
    crashes: frozenset[str]


def find_convictions(
    accusations: Sequence[Accusation], get_strikes: GetStrikes
) -> tuple[Conviction, ...]:
    """Finds the sets of parts that crash upstreams.

    Args:
        accusations: All accusations of at least one part.
        get_strikes: Returns the upstream processes that crashed with a part in
            flight, and the requests that held it there.

    Returns:
        The convictions. What one of them explains has convicted no other.
    """
    first = _convict(accusations, get_strikes)
    if not first:
        return ()
    kept = [
        accusation
        for accusation in accusations
        if not any(
            _explains(conviction, accusation, get_strikes)
            for conviction in first
        )
    ]
    return (
        first if len(kept) == len(accusations) else _convict(kept, get_strikes)
    )


def _convict(
    accusations: Sequence[Accusation], get_strikes: GetStrikes
) -> tuple[Conviction, ...]:
    sets = {
        accusation.parts
        for accusation in accusations
        if _has_witnesses(accusation, accusations, get_strikes)
    }
    unexplained = [
        accusation
        for accusation in accusations
        if not any(parts <= accusation.parts for parts in sets)
    ]
    sets.update(_get_common_parts(unexplained))
    return tuple(
        Conviction(
            parts,
            frozenset(
                upstream for upstream, _ in _get_runs(parts, get_strikes)
            ),
        )
        for parts in sorted(sets, key=sorted)
        # A part of a convicted set that is convicted itself is enough.
        if not any(other < parts for other in sets)
    )


def _has_witnesses(
    accusation: Accusation,
    accusations: Sequence[Accusation],
    get_strikes: GetStrikes,
) -> bool:
    if any(
        accusation.parts <= other.parts
        and other.request != accusation.request
        and other.upstream != accusation.upstream
        for other in accusations
    ):
        return True
    runs = [
        (upstream, request)
        for upstream, request in _get_runs(accusation.parts, get_strikes)
        if upstream != accusation.upstream and request != accusation.request
    ]
    # One request that is sent repeatedly, or several at one crash, are one
    # witness.
    upstreams = {upstream for upstream, _ in runs}
    requests = {request for _, request in runs}
    return min(len(upstreams), len(requests)) >= MIN_STRIKE_WITNESSES


def _get_common_parts(accusations: Sequence[Accusation]) -> Iterator[PartSet]:
    """Yields what the accusations of several requests have in common.

    It convicts where each deadly request holds another part that is rare.
    """
    for part in {part for a in accusations for part in a.parts}:
        holders = [a for a in accusations if part in a.parts]
        if (
            len({a.request for a in holders}) >= MIN_ACCUSERS
            and len({a.upstream for a in holders}) >= MIN_ACCUSERS
        ):
            yield frozenset.intersection(*(a.parts for a in holders))


def _explains(
    conviction: Conviction, accusation: Accusation, get_strikes: GetStrikes
) -> bool:
    """Returns whether another run beside a probe explains its crash."""
    if (
        conviction.parts <= accusation.parts
        or accusation.upstream not in conviction.crashes
    ):
        return False
    runs = _get_runs(accusation.parts, get_strikes)
    return len(conviction.crashes) > len({upstream for upstream, _ in runs})


def _get_runs(
    parts: PartSet, get_strikes: GetStrikes
) -> Iterator[tuple[str, Fingerprint]]:
    """Yields the runs that were lost by a crash and held all of the parts."""
    first, *others = (get_strikes(part) for part in parts)
    for upstream, requests in first.items():
        for request in requests:
            if all(request in other.get(upstream, ()) for other in others):
                yield upstream, request

"""Decides which parts of prompts crash upstreams, from accusations.

A probe whose upstream crashes accuses all parts that it held and that no whole
answer had cleared: one of them may be the cause, or the request as a whole, or
another request beside it. So an accusation convicts a set of parts rather than
each of them, only if other requests bear witness against the same set, and only
if nothing else was in flight at as many crashes: the cause of crashes is there
at each of them. What is convicted explains its crashes, and the others are
judged by the crashes that are left.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable, Collection, Iterator, Mapping, Set

from lovagestage.types import Fingerprint, PartId

MIN_CRASHES = 3
"""Number of crashes from which parts are convicted that two requests accuse."""
MIN_WITNESSED_CRASHES = 5
"""Number of crashes from which parts are convicted that one request accuses, if
others were in flight at the other crashes."""
MIN_TIED_CRASHES = 5
"""Number of crashes from which parts are convicted although something else was
there as often. Of these the one that fewer requests hold is the cause."""
MIN_ACCUSERS = 2
"""Number of requests that have to accuse parts."""
MIN_REQUESTS = 3
"""Number of requests that have to hold parts which a single one accuses; also
the number of accusations that convict what they have in common."""

PartSet = frozenset[PartId]
Run = tuple[str, Fingerprint]
"""A run that was lost by a crash: the upstream process, and the request."""


@dataclasses.dataclass(frozen=True)
class Accusation:
    """Crash of the upstream of a probe.

    Attributes:
        upstream: The upstream process.
        request: The request that was probed.
        parts: Its parts that no whole answer has cleared; perhaps none.
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


@dataclasses.dataclass(frozen=True)
class Strikes:
    """Who was in flight at crashes.

    Attributes:
        get_requests: Returns the upstream processes that crashed with a part in
            flight, and the requests that held it there.
        get_upstreams: Returns those that crashed with a request in flight.
    """

    get_requests: Callable[[PartId], Mapping[str, Set[Fingerprint]]]
    get_upstreams: Callable[[Fingerprint], Collection[str]]

    def get_runs(self, parts: PartSet) -> Iterator[Run]:
        """Yields the lost runs that held all of the parts."""
        # The rarest part has the fewest runs to look at.
        first, *others = sorted(map(self.get_requests, parts), key=len)
        for upstream, requests in first.items():
            for request in requests:
                if all(request in each.get(upstream, ()) for each in others):
                    yield upstream, request


@dataclasses.dataclass(frozen=True)
class _Candidate:
    """A possible cause of crashes.

    Attributes:
        parts: The parts; empty for a request that is the cause as a whole.
        runs: Its lost runs, but for those that are explained.
        accusers: Upstream processes and requests of the probes that accuse it.
    """

    parts: PartSet
    runs: frozenset[Run]
    accusers: frozenset[Run]

    @functools.cached_property
    def crashes(self) -> frozenset[str]:
        """Upstream processes that crashed with it in flight."""
        return frozenset(upstream for upstream, _ in self.runs)

    @functools.cached_property
    def requests(self) -> frozenset[Fingerprint]:
        """Requests that held it at a crash."""
        return frozenset(request for _, request in self.runs)

    @property
    def is_possible(self) -> bool:
        """Whether it may become the cause of the crashes that are left."""
        if not self.accusers or len(self.crashes) < MIN_CRASHES:
            return False
        # Nothing tells what a single request holds from the request.
        return not self.parts or len(self.requests) > 1

    @property
    def is_proved(self) -> bool:
        """Whether it is the cause if nothing else was there as often."""
        if not self.parts:
            return True
        if len({request for _, request in self.accusers}) >= MIN_ACCUSERS:
            return True
        return (
            len(self.crashes) >= MIN_WITNESSED_CRASHES
            and len(self.requests) >= MIN_REQUESTS
        )

    def without(self, explained: Set[str]) -> _Candidate:
        """Returns the candidate without the crashes that are explained."""
        if explained.isdisjoint(self.crashes):
            return self
        return _Candidate(
            self.parts,
            frozenset(run for run in self.runs if run[0] not in explained),
            frozenset(run for run in self.accusers if run[0] not in explained),
        )


def find_convictions(
    accusations: Collection[Accusation], strikes: Strikes
) -> tuple[Conviction, ...]:
    """Finds the sets of parts that crash upstreams.

    Args:
        accusations: All accusations.
        strikes: Who was in flight at crashes.

    Returns:
        The convictions.
    """
    convicted: list[PartSet] = []
    explained: set[str] = set()
    candidates = list(_get_candidates(accusations, strikes))
    while (cause := _find_cause(candidates)) is not None:
        explained |= cause.crashes
        candidates = [each.without(explained) for each in candidates]
        if cause.parts:
            convicted.append(cause.parts)
    left = [
        accusation
        for accusation in accusations
        if accusation.upstream not in explained
    ]
    convicted.extend(_get_common_parts(left))
    return tuple(
        Conviction(parts, frozenset(run[0] for run in strikes.get_runs(parts)))
        for parts in sorted(set(convicted), key=sorted)
    )


def _find_cause(candidates: Collection[_Candidate]) -> _Candidate | None:
    """Finds what was in flight at most of the crashes that are left."""
    possible = [each for each in candidates if each.is_possible]
    most = max((len(each.crashes) for each in possible), default=0)
    first = [each for each in possible if len(each.crashes) == most]
    first = [each for each in first if not _is_covered(each, first)]
    if not first or (len(first) > 1 and most < MIN_TIED_CRASHES):
        return None
    cause = min(first, key=lambda c: (len(c.requests), sorted(c.parts)))
    return cause if cause.is_proved else None


def _get_candidates(
    accusations: Collection[Accusation], strikes: Strikes
) -> Iterator[_Candidate]:
    """Yields the requests and the sets of parts that are possible causes."""
    probes: dict[Fingerprint, set[Run]] = {}
    for accusation in accusations:
        run = accusation.upstream, accusation.request
        probes.setdefault(accusation.request, set()).add(run)
    for request, accusers in probes.items():
        runs = ((name, request) for name in strikes.get_upstreams(request))
        candidate = _Candidate(
            frozenset(), frozenset(runs), frozenset(accusers)
        )
        if candidate.is_possible:
            yield candidate
    for parts in {accusation.parts for accusation in accusations} - {PartSet()}:
        accusers = {
            (a.upstream, a.request) for a in accusations if parts <= a.parts
        }
        candidate = _Candidate(
            parts, frozenset(strikes.get_runs(parts)), frozenset(accusers)
        )
        if candidate.is_possible:
            yield candidate


def _is_covered(
    candidate: _Candidate, candidates: Collection[_Candidate]
) -> bool:
    """Returns whether a smaller set of parts stands for a candidate.

    A request is covered by parts that it and others hold.
    """
    return any(
        other is not candidate
        and other.parts
        and candidate.runs <= other.runs
        and (not candidate.parts or other.parts < candidate.parts)
        for other in candidates
    )


def _get_common_parts(accusations: Collection[Accusation]) -> Iterator[PartSet]:
    """Yields what the accusations of several requests have in common.

    It convicts where each deadly request holds another part that is rare.
    """
    for part in {part for a in accusations for part in a.parts}:
        holders = [a for a in accusations if part in a.parts]
        if (
            len({a.request for a in holders}) >= MIN_REQUESTS
            and len({a.upstream for a in holders}) >= MIN_REQUESTS
        ):
            yield frozenset.intersection(*(a.parts for a in holders))

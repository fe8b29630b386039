"""Which processes an entry keeps a connection to: pure and without exchange.

Each entry works out its own subset from the platform's list. Half of it lies
in the entry's own availability zone where there are enough, the rest
anywhere else. What an entry picks for itself is uneven: with rendezvous
hashing some targets are picked by few or by none. Each target therefore also
picks a few entries on a hash ring, and an entry keeps those that picked it.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools
from collections.abc import Iterable, Sequence

import xxhash

from lovagestage.types import VmId, ZoneId

MIN_FOLLOWERS = 4
"""Entries that keep a connection to each target, where there are so many."""
RING_POINTS = 16
"""Points of each entry on the ring: more even, and more work."""


@dataclasses.dataclass(frozen=True)
class Place:
    """A process and where it runs.

    Attributes:
        vm: Its VM.
        zone: Its availability zone.
    """

    vm: VmId
    zone: ZoneId


def choose_subset(
    own: Place,
    entries: Sequence[VmId],
    targets: Sequence[Place],
    size: int,
) -> frozenset[VmId]:
    """Chooses the targets that an entry keeps connections to.

    Args:
        own: The entry that chooses.
        entries: All entries, with this one or without.
        targets: All processes to choose from; `own` is left out.
        size: How many the entry picks for itself.

    Returns:
        At least `size` targets, or all where there are no more.
    """
    others = [target for target in targets if target.vm != own.vm]
    if len(others) <= size:
        return frozenset(target.vm for target in others)
    ring = FollowerRing({*entries, own.vm})
    picked_by = (
        target.vm
        for target in others
        if own.vm in ring.get_followers(target.vm)
    )
    return frozenset(itertools.chain(_pick(own, others, size), picked_by))


def _pick(own: Place, others: list[Place], size: int) -> list[VmId]:
    # A rank changes only where a VM comes or goes: one VM moves one link.
    ranked = sorted(
        others,
        key=lambda target: _hash(f"{own.vm}\0{target.vm}"),
        reverse=True,
    )
    near = [target.vm for target in ranked if target.zone == own.zone]
    near = near[: size // 2]
    taken = set(near)
    rest = [target.vm for target in ranked if target.vm not in taken]
    return near + rest[: size - len(near)]


class FollowerRing:
    """Entries on a hash ring.

    Args:
        entries: All entries.
    """

    def __init__(self, entries: Iterable[VmId]) -> None:
        points = sorted(
            (_hash(f"{entry}\0{point}"), entry)
            for entry in entries
            for point in range(RING_POINTS)
        )
        self._hashes = [point for point, _ in points]
        self._entries = [entry for _, entry in points]
        self._count = len(set(self._entries))

    def get_followers(self, target: VmId) -> set[VmId]:
        """The entries after a target on the ring, but for itself."""
        wanted = min(MIN_FOLLOWERS, self._count)
        start = bisect.bisect(self._hashes, _hash(target))
        followers: set[VmId] = set()
        for step in range(len(self._entries)):
            if len(followers) == wanted:
                break
            entry = self._entries[(start + step) % len(self._entries)]
            if entry != target:
                followers.add(entry)
        return followers


def _hash(text: str) -> int:
    return int(xxhash.xxh3_64_intdigest(text.encode()))

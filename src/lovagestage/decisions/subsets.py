"""Chooses the processes to which an entry keeps connections.

Each entry computes its own subset from the platform's VM list, without any
messages. Half of the subset is in the entry's own availability zone, if there
are enough processes; the rest is anywhere else. The subsets that entries choose
for themselves are uneven: with rendezvous hashing, few or no entries choose
some targets. Each target is therefore also assigned to a few entries on a hash
ring, and an entry keeps connections to the targets that are assigned to it.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools
from collections.abc import Iterable, Sequence

import xxhash

from lovagestage.types import VmId, ZoneId

MIN_FOLLOWERS = 4
"""Number of entries that keep a connection to each target, if there are that
many."""
RING_POINTS = 16
"""Number of points of each entry on the ring; more points distribute the
targets more evenly and cost more computing time."""


@dataclasses.dataclass(frozen=True)
class ProcessLocation:
    """A process and its location.

    Attributes:
        vm: VM of the process.
        zone: Availability zone of the VM.
    """

    vm: VmId
    zone: ZoneId


def choose_subset(
    own: ProcessLocation,
    entries: Sequence[VmId],
    targets: Sequence[ProcessLocation],
    size: int,
) -> frozenset[VmId]:
    """Chooses the targets that an entry keeps connections to.

    Args:
        own: The entry that chooses.
        entries: All entries; may include or omit the entry that chooses.
        targets: All processes to choose from; `own` is excluded.
        size: Number of targets that the entry chooses for itself.

    Returns:
        At least `size` targets, or all targets if there are fewer.
    """
    others = [target for target in targets if target.vm != own.vm]
    if len(others) <= size:
        return frozenset(target.vm for target in others)
    ring = FollowerRing({*entries, own.vm})
    assigned = (
        target.vm
        for target in others
        if own.vm in ring.get_followers(target.vm)
    )
    return frozenset(
        itertools.chain(_choose_own_targets(own, others, size), assigned)
    )


def _choose_own_targets(
    own: ProcessLocation, others: list[ProcessLocation], size: int
) -> list[VmId]:
    # A rank changes only if a VM is added or removed, so that a change of one
    # VM moves one connection.
    ranked = sorted(
        others,
        key=lambda target: _hash(f"{own.vm}\0{target.vm}"),
        reverse=True,
    )
    same_zone = [target.vm for target in ranked if target.zone == own.zone]
    same_zone = same_zone[: size // 2]
    same_zone_set = set(same_zone)
    rest = [target.vm for target in ranked if target.vm not in same_zone_set]
    return same_zone + rest[: size - len(same_zone)]


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
        """Returns the entries after a target on the ring, except itself."""
        count = min(MIN_FOLLOWERS, self._count)
        start = bisect.bisect(self._hashes, _hash(target))
        followers: set[VmId] = set()
        for step in range(len(self._entries)):
            if len(followers) == count:
                break
            entry = self._entries[(start + step) % len(self._entries)]
            if entry != target:
                followers.add(entry)
        return followers


def _hash(text: str) -> int:
    return int(xxhash.xxh3_64_intdigest(text.encode()))

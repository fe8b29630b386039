"""Chooses the gateways that watch the store (no I/O).

All gateways choose the same watchers by a hash of the addresses, without any
communication, except for watchers that a gateway could not reach lately.
"""

from __future__ import annotations

import dataclasses
import functools
import math
from collections.abc import Collection, Sequence

import xxhash

from lovagestage.gateway.peers import PeerAddress, format_peer

MIN_WATCHERS = 2
"""Minimum number of watchers, whatever the number of gateways."""
GATEWAYS_PER_WATCHER = 16
"""Number of gateways for each watcher: 40 queries a second at a watcher where a
change must be in force within 2 s."""
EXCLUSION_BASE_S = 2.0
"""Time in seconds for which a watcher is excluded after its first failure."""
EXCLUSION_LIMIT_S = 30.0
"""Longest time in seconds for which a watcher that did not respond is excluded.
The time doubles with each failure up to this limit, since the gateway may have
been removed permanently."""


@dataclasses.dataclass
class _Exclusion:
    until_s: float
    pause_s: float
    has_lost_store: bool


class WatcherList:
    """The watchers as seen by one gateway.

    Args:
        own: Address of this gateway.
        peers: Addresses of the other gateways; a live collection, which changes
            as gateways are added and removed.
    """

    def __init__(
        self, own: PeerAddress, peers: Collection[PeerAddress]
    ) -> None:
        self._own = own
        self._peers = peers
        self._exclusions: dict[PeerAddress, _Exclusion] = {}

    def get_watchers(self, now_s: float) -> Sequence[PeerAddress]:
        """Returns the watchers, lowest rank first.

        The next gateways by rank replace watchers that do not respond. A
        watcher that has lost the store is not replaced: if all watchers had
        lost it, there would be more and more of them. A gateway that receives
        a query without being a watcher states the age of its freshness
        confirmation, and the follower then reads the store itself.
        """
        available = [
            peer
            for peer in (self._own, *self._peers)
            if not self.is_excluded(peer, now_s)
            or self._exclusions[peer].has_lost_store
        ]
        return sorted(available, key=get_rank)[: self._get_watcher_count()]

    def choose_watcher(self, now_s: float) -> PeerAddress:
        """Returns the watcher that this gateway queries.

        Followers are distributed over the watchers, and each follower gets the
        same watcher every time. Watchers among the first by rank are preferred
        to replacements. Consider a store that rejects a third of the VMs, two
        of five watchers among them: the followers of these two query the other
        three, which are watchers in any case. The next gateways by rank may
        not know that they are to watch.
        """
        watchers = self.get_watchers(now_s)
        usable = [
            watcher
            for watcher in watchers
            if not self.is_excluded(watcher, now_s)
        ]
        ranked = sorted((self._own, *self._peers), key=get_rank)
        first_ranked = ranked[: self._get_watcher_count()]
        candidates = (
            [peer for peer in usable if peer in first_ranked]
            or usable
            or watchers
        )
        own_rank = get_rank(self._own)
        return max(
            candidates, key=lambda peer: get_rank((peer[0], peer[1] ^ own_rank))
        )

    def is_excluded(self, watcher: PeerAddress, now_s: float) -> bool:
        """Whether a watcher is excluded at this time."""
        exclusion = self._exclusions.get(watcher)
        return exclusion is not None and now_s < exclusion.until_s

    def exclude_watcher(
        self, watcher: PeerAddress, now_s: float, has_lost_store: bool
    ) -> float:
        """Excludes a watcher for a time.

        Args:
            watcher: Address of the watcher.
            now_s: Elapsed time in seconds.
            has_lost_store: Whether the watcher responds but has lost the store.
                It is then queried again soon, since the store recovers for all
                gateways at the same time.

        Returns:
            The time in seconds for which the watcher is excluded.
        """
        exclusion = self._exclusions.get(watcher)
        pause_s = EXCLUSION_BASE_S
        if exclusion is not None and not has_lost_store:
            pause_s = min(EXCLUSION_LIMIT_S, 2 * exclusion.pause_s)
        self._exclusions[watcher] = _Exclusion(
            now_s + pause_s, pause_s, has_lost_store
        )
        for peer in self._exclusions.keys() - set(self._peers):
            del self._exclusions[peer]
        return pause_s

    def record_valid_response(self, watcher: PeerAddress) -> bool:
        """Records a valid response of a watcher, which ends its exclusion.

        Returns:
            Whether the watcher had been excluded.
        """
        return self._exclusions.pop(watcher, None) is not None

    def _get_watcher_count(self) -> int:
        gateways = 1 + len(self._peers)
        return max(MIN_WATCHERS, math.ceil(gateways / GATEWAYS_PER_WATCHER))


@functools.lru_cache(maxsize=4096)
def get_rank(peer: PeerAddress) -> int:
    """Returns the rank of a gateway; the lowest ranks are to watch."""
    # Cached, because each round of queries ranks all gateways.
    return xxhash.xxh3_64_intdigest(format_peer(peer).encode())

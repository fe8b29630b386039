"""Which gateways watch the store: pure decisions.

All gateways find the same watchers by the hash of their addresses, without
asking each other, but for those which they could not reach lately.
"""

from __future__ import annotations

import dataclasses
import functools
import math
from collections.abc import Collection, Sequence

import xxhash

from lovagestage.gateway.peers import PeerAddress, format_peer

MIN_WATCHERS = 2
FOLLOWERS = 16
"""Followers of a watcher: 40 questions a second where a change must be in force
within 2 s."""
AWAY_BASE_S = 2.0
AWAY_LIMIT_S = 30.0
"""A gateway that left a question unanswered is asked again after so long,
doubled up to the limit: it may be gone for good."""


@dataclasses.dataclass
class _Away:
    until_s: float
    pause_s: float
    is_blind: bool


class WatcherList:
    """The watchers, as far as one gateway knows.

    Args:
        own: Its address.
        peers: The others, as they come and go.
    """

    def __init__(
        self, own: PeerAddress, peers: Collection[PeerAddress]
    ) -> None:
        self._own = own
        self._peers = peers
        self._away: dict[PeerAddress, _Away] = {}

    def get(self, now_s: float) -> Sequence[PeerAddress]:
        """The watchers; the next by rank stand in for those that are silent.

        None stands in for one that has lost the store: when all have, there
        would be ever more watchers. One that is asked without watching says
        how old its proof is, and the follower reads the store itself.
        """
        present = [
            peer
            for peer in (self._own, *self._peers)
            if not self.is_passed_over(peer, now_s) or self._away[peer].is_blind
        ]
        return sorted(present, key=get_rank)[: self._get_count()]

    def choose(self, now_s: float) -> PeerAddress:
        """The one to ask: spread over them, and the same each time.

        The load that this answers: the store turns a third of the VMs away,
        two of five watchers among them. Their followers ask the other three,
        which watch in any case; the next gateways by rank may not know that
        they are to watch.
        """
        watchers = self.get(now_s)
        seeing = [w for w in watchers if not self.is_passed_over(w, now_s)]
        ranked = sorted((self._own, *self._peers), key=get_rank)
        first = ranked[: self._get_count()]
        sound = [each for each in seeing if each in first] or seeing or watchers
        own = get_rank(self._own)
        return max(sound, key=lambda each: get_rank((each[0], each[1] ^ own)))

    def is_passed_over(self, watcher: PeerAddress, now_s: float) -> bool:
        """Whether one is left out for now."""
        known = self._away.get(watcher)
        return known is not None and now_s < known.until_s

    def pass_over(
        self, watcher: PeerAddress, now_s: float, is_blind: bool
    ) -> float:
        """Leaves one out for a while; returns for how long.

        Args:
            watcher: Which one.
            now_s: Elapsed time.
            is_blind: Whether it answers, but has lost the store. Then it is
                asked again soon, as the store comes back to all at once.
        """
        known = self._away.get(watcher)
        pause_s = AWAY_BASE_S
        if known is not None and not is_blind:
            pause_s = min(AWAY_LIMIT_S, 2 * known.pause_s)
        self._away[watcher] = _Away(now_s + pause_s, pause_s, is_blind)
        for peer in self._away.keys() - set(self._peers):
            del self._away[peer]
        return pause_s

    def note_sound(self, watcher: PeerAddress) -> bool:
        """Takes a sound answer; returns whether it had been passed over."""
        return self._away.pop(watcher, None) is not None

    def _get_count(self) -> int:
        gateways = 1 + len(self._peers)
        return max(MIN_WATCHERS, math.ceil(gateways / FOLLOWERS))


@functools.lru_cache(maxsize=4096)
def get_rank(peer: PeerAddress) -> int:
    """Place in the order in which gateways are to watch, lowest first."""
    # Kept: the watchers are looked up for each round, among all gateways.
    return xxhash.xxh3_64_intdigest(format_peer(peer).encode())

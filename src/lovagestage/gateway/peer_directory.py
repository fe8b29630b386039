"""Names of the other gateways, from the socket and the gossip."""

from __future__ import annotations

from lovagestage.gateway.gossip import KEEPALIVE_INTERVAL_S, Gossip
from lovagestage.gateway.peers import PeerSocket, format_peer

LIVE_RETENTION_S = 2.2 * KEEPALIVE_INTERVAL_S
"""Time in seconds without a datagram after which a gateway no longer counts as
live. An idle gateway sends one in each keep-alive interval, and one may be
lost."""


class SocketPeerDirectory:
    """The gateways that the socket for datagrams knows.

    Args:
        socket: Socket for datagrams between gateways.
        gossip: Knows the availability zones of the gateways.
    """

    def __init__(self, socket: PeerSocket, gossip: Gossip) -> None:
        self._socket = socket
        self._gossip = gossip

    def get_all(self) -> list[str]:
        """Returns the names of all known gateways."""
        return [format_peer(peer) for peer in self._socket.peers]

    def get_live(self, now_s: float) -> list[str]:
        """Returns the names of those that were heard from lately."""
        live = self._socket.get_peers_since(now_s - LIVE_RETENTION_S)
        return [format_peer(peer) for peer in live]

    def get_in_zone(self) -> list[str]:
        """Returns the names of those in this gateway's availability zone."""
        return [format_peer(peer) for peer in self._gossip.get_zone_peers()]


class NoPeerDirectory:
    """Stands in where gateways can't learn of each other."""

    def get_all(self) -> None:
        """Returns None: nothing is known of other gateways."""

    def get_live(self, now_s: float) -> tuple[str, ...]:
        """Returns no names."""
        del now_s
        return ()

    def get_in_zone(self) -> tuple[str, ...]:
        """Returns no names."""
        return ()

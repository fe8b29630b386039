"""The list of the other gateways, and a socket for datagrams to them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import mode

from lovagestage.exceptions import DatagramAuthenticationError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.datagram_authentication import DatagramAuthenticator
from lovagestage.gateway.exposition import Exposition, Series

_log = logging.getLogger(__name__)

KIND_BYTES = 4
"""Length of the prefix by which each datagram states its kind."""
PEER_EXPIRY_S = 600.0
"""Time in seconds without a datagram after which a peer is removed. Its VM was
replaced, and without the removal datagrams would be sent to it indefinitely.
The time is longer than network partitions between zones: gateways that had
removed each other would not find each other again afterwards."""
EXPIRY_CHECK_INTERVAL_S = 30.0
"""Interval in seconds between checks for peers to remove."""

PeerAddress = tuple[str, int]
Handler = Callable[[bytes, PeerAddress], None]


def format_peer(peer: PeerAddress) -> str:
    """Formats an address as `IP:PORT`."""
    return f"{peer[0]}:{peer[1]}"


class PeerSocket(mode.Service):
    """Sends datagrams to the other gateways and dispatches theirs.

    Args:
        address: `IP:PORT` to send from and to listen on.
        exposition: Metrics, for the counts of datagrams.

    Attributes:
        own_address: The socket's address.
        peers: Addresses of the other gateways known so far.
    """

    def __init__(self, address: str, exposition: Exposition) -> None:
        super().__init__()
        self._exposition = exposition
        host, _, port = address.rpartition(":")
        self.own_address: PeerAddress = (host, int(port))
        self.peers: set[PeerAddress] = set()
        self._last_received_s: dict[PeerAddress, float] = {}
        self._handlers: dict[bytes, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._authenticator = DatagramAuthenticator()
        self._peer_versions: dict[PeerAddress, int] = {}
        self._logged_reasons: set[str] = set()

    def add_configuration(self, version: int, configuration: bytes) -> None:
        """Adds a configuration from whose bytes an authentication key is made.

        Args:
            version: Version of the configuration.
            configuration: The configuration as stored, byte by byte.
        """
        self._authenticator.add_key(version, configuration)

    def register(self, kind: bytes, handler: Handler) -> None:
        """Registers the handler for one kind of datagram.

        Args:
            kind: Prefix of the datagrams, `KIND_BYTES` long.
            handler: Called with the data after the prefix and the sender.
        """
        self._handlers[kind] = handler

    def add_peer(self, address: str) -> PeerAddress | None:
        """Adds the address of another gateway.

        Args:
            address: The address as `IP:PORT`.

        Returns:
            The address; None if its port is not a number.
        """
        host, _, port = address.rpartition(":")
        if not port.isdigit():
            return None
        peer = (host, int(port))
        self._record_peer(peer)
        return peer

    def get_peers_since(self, start_s: float) -> list[PeerAddress]:
        """Returns the peers that were heard from since a time."""
        return [
            peer
            for peer in self.peers
            if self._last_received_s.get(peer, start_s) >= start_s
        ]

    async def on_start(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self), local_addr=self.own_address
        )
        self._transport = transport

    async def on_stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, kind: bytes, data: bytes, peer: PeerAddress) -> None:
        """Sends a datagram to a peer; delivery is not guaranteed."""
        if self._transport is not None:
            version = self._peer_versions.get(
                peer, self._authenticator.newest_version
            )
            datagram = self._authenticator.sign(kind + data, version)
            self._transport.sendto(datagram, peer)
            self._count_datagram(kind, "sent", KIND_BYTES + len(data))

    def receive(self, datagram: bytes, sender: PeerAddress) -> None:
        """Dispatches a datagram from the network if its sender is a gateway.

        A datagram whose authentication fails is dropped. That includes one
        that was authenticated with a configuration that this gateway does not
        know yet or no longer retains: the next datagram has the same content.
        """
        try:
            version, data = self._authenticator.verify(datagram)
        except DatagramAuthenticationError as error:
            self._log_rejected(sender, error)
            return
        self._peer_versions[sender] = version
        self.dispatch(data, sender)

    def _log_rejected(
        self, sender: PeerAddress, error: DatagramAuthenticationError
    ) -> None:
        """Logs the rejection of a datagram.

        Each reason is logged once per `EXPIRY_CHECK_INTERVAL_S`, so that
        senders can't fill the log.
        """
        self._exposition.count(Series.DATAGRAMS, 'kind="",way="refused"')
        if error.message in self._logged_reasons:
            return
        self._logged_reasons.add(error.message)
        _log.warning(
            "datagram_unsealed",
            extra={"address": sender[0], "reason": error.message},
        )

    def dispatch(self, data: bytes, sender: PeerAddress) -> None:
        """Passes an authenticated datagram to the handler of its kind.

        A datagram of an unknown kind is dropped and logged. The sender of any
        other is added as a peer: the store drops the messages of gateways that
        have run for long, so a gateway that has just started learns of them by
        their datagrams only.
        """
        handler = self._handlers.get(data[:KIND_BYTES])
        if handler is None:
            _log.warning("datagram_refused", extra={"size": len(data)})
            return
        self._record_peer(sender)
        self._count_datagram(data[:KIND_BYTES], "received", len(data))
        handler(data[KIND_BYTES:], sender)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self.expire(get_elapsed_s())

    def expire(self, now_s: float) -> None:
        """Removes the peers that have sent no datagram for too long."""
        limit_s = now_s - PEER_EXPIRY_S
        for peer in list(self.peers):
            if self._last_received_s.get(peer, now_s) < limit_s:
                _log.info(
                    "peer_forgotten", extra={"address": format_peer(peer)}
                )
                self.peers.remove(peer)
                del self._last_received_s[peer]
        for peer in self._peer_versions.keys() - self.peers:
            del self._peer_versions[peer]
        self._logged_reasons.clear()

    def _count_datagram(
        self, kind: bytes, direction: str, size_bytes: int
    ) -> None:
        labels = f'kind="{kind.decode()}",way="{direction}"'
        self._exposition.count(Series.DATAGRAMS, labels)
        self._exposition.count(Series.DATAGRAM_BYTES, labels, size_bytes)

    def _record_peer(self, peer: PeerAddress) -> None:
        if peer == self.own_address:
            return
        self._last_received_s[peer] = get_elapsed_s()
        if peer in self.peers:
            return
        _log.info("peer_added", extra={"address": format_peer(peer)})
        self.peers.add(peer)


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, owner: PeerSocket) -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, address: PeerAddress) -> None:
        self._owner.receive(data, address)

    def error_received(self, error: Exception) -> None:
        # The peer's process or VM has stopped; nothing is sent to it any more
        # once it has expired.
        _log.debug("datagram_error", extra={"error": str(error)})

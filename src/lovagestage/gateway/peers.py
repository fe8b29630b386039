"""The other gateways, and a socket for datagrams between them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import mode

from lovagestage.exceptions import SealError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.seal import Seal

_log = logging.getLogger(__name__)

KIND_BYTES = 4
"""Each datagram begins with its kind."""
FORGET_S = 600.0
"""A peer that sent nothing for so long was replaced: its VM is gone and would
be sent to for ever. Longer than cuts between zones, after which gateways that
had forgotten each other would stay apart."""
EXPIRE_S = 30.0
"""Time between looks for such peers."""

PeerAddress = tuple[str, int]
Handler = Callable[[bytes, PeerAddress], None]


def format_peer(peer: PeerAddress) -> str:
    """Writes an address as `IP:PORT`."""
    return f"{peer[0]}:{peer[1]}"


class PeerSocket(mode.Service):
    """Sends datagrams to the other gateways and hands on theirs.

    Args:
        address: `IP:PORT` to send from and listen at.
        exposition: Counts datagrams.

    Attributes:
        own: The same address.
        peers: The gateways that have been heard of.
    """

    def __init__(self, address: str, exposition: Exposition) -> None:
        super().__init__()
        self._exposition = exposition
        host, _, port = address.rpartition(":")
        self.own: PeerAddress = (host, int(port))
        self.peers: set[PeerAddress] = set()
        self._heard_s: dict[PeerAddress, float] = {}
        self._handlers: dict[bytes, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._seal = Seal()
        self._versions: dict[PeerAddress, int] = {}
        self._refused: set[str] = set()

    def add_key(self, version: int, configuration: bytes) -> None:
        """Takes a configuration, which seals datagrams from now on."""
        self._seal.add_key(version, configuration)

    def register(self, kind: bytes, handler: Handler) -> None:
        """Hands datagrams of one kind, without it, to a part."""
        self._handlers[kind] = handler

    def add_peer(self, address: str) -> PeerAddress | None:
        """Takes the address of another gateway; None where it is none."""
        host, _, port = address.rpartition(":")
        if not port.isdigit():
            return None
        peer = (host, int(port))
        self._add(peer)
        return peer

    async def on_start(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=self.own
        )
        self._transport = transport

    async def on_stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, kind: bytes, data: bytes, peer: PeerAddress) -> None:
        """Sends a datagram, which may be lost."""
        if self._transport is not None:
            version = self._versions.get(peer, self._seal.newest)
            datagram = self._seal.close(kind + data, version)
            self._transport.sendto(datagram, peer)
            self._count(kind, "sent", KIND_BYTES + len(data))

    def open(self, datagram: bytes, sender: PeerAddress) -> None:
        """Takes a datagram from the network; one of others is dropped.

        One that is sealed by a configuration that is not known here yet, or
        no more, is dropped as well: the next one tells the same.
        """
        try:
            version, data = self._seal.open(datagram)
        except SealError as error:
            self._note_refused(sender, error)
            return
        self._versions[sender] = version
        self.take(data, sender)

    def _note_refused(self, sender: PeerAddress, error: SealError) -> None:
        """Logs each reason once a while, so that senders can't fill the log."""
        self._exposition.count(Series.DATAGRAMS, 'kind="",way="refused"')
        if error.message in self._refused:
            return
        self._refused.add(error.message)
        _log.warning(
            "datagram_unsealed",
            extra={"address": sender[0], "reason": error.message},
        )

    def take(self, data: bytes, sender: PeerAddress) -> None:
        """Hands on a datagram; one of an unknown kind is dropped and logged.

        Its sender is a gateway: the store forgets the notes of gateways that
        have run for long, so that one which has just started hears of them
        by their datagrams alone.
        """
        handler = self._handlers.get(data[:KIND_BYTES])
        if handler is None:
            _log.warning("datagram_refused", extra={"size": len(data)})
            return
        self._add(sender)
        self._count(data[:KIND_BYTES], "received", len(data))
        handler(data[KIND_BYTES:], sender)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRE_S)
            self.expire(get_elapsed_s())

    def expire(self, now_s: float) -> None:
        """Forgets peers that have been silent for long."""
        limit_s = now_s - FORGET_S
        for peer in list(self.peers):
            if self._heard_s.get(peer, now_s) < limit_s:
                _log.info(
                    "peer_forgotten", extra={"address": format_peer(peer)}
                )
                self.peers.remove(peer)
                del self._heard_s[peer]
        for peer in self._versions.keys() - self.peers:
            del self._versions[peer]
        self._refused.clear()

    def _count(self, kind: bytes, way: str, size_bytes: int) -> None:
        labels = f'kind="{kind.decode()}",way="{way}"'
        self._exposition.count(Series.DATAGRAMS, labels)
        self._exposition.count(Series.DATAGRAM_BYTES, labels, size_bytes)

    def _add(self, peer: PeerAddress) -> None:
        if peer == self.own:
            return
        self._heard_s[peer] = get_elapsed_s()
        if peer in self.peers:
            return
        _log.info("peer_added", extra={"address": format_peer(peer)})
        self.peers.add(peer)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, owner: PeerSocket) -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, address: PeerAddress) -> None:
        self._owner.open(data, address)

    def error_received(self, error: Exception) -> None:
        # A peer that is gone; it is told nothing more once it is replaced.
        _log.debug("datagram_error", extra={"error": str(error)})

"""Tells the other gateways what this one has waiting at each upstream.

Gateways share the upstreams, and of many gateways each one sees a small part
of the load. Datagrams between them cost neither a call to the store nor a probe
of an upstream. A lost one costs nothing: the next one holds the whole state.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import struct
from collections.abc import Collection, Mapping

import mode
import xxhash

from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.neighbours import Neighbours, choose_neighbours
from lovagestage.gateway.peers import PeerAddress, PeerSocket
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.told_waits import ToldWaits
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import VmId, ZoneId

_log = logging.getLogger(__name__)

PERIOD_S = 0.1
"""Time between datagrams to one peer of a few; answers begin after about as
long."""
PEERS_PER_PERIOD = 10
"""With more neighbours the period grows, so that what a gateway sends and
takes in is bounded to a hundred datagrams of some 50 bytes a second."""
HEARD_FOR_S = 1.0
"""What a peer told is forgotten after this: it has stopped, or is cut off."""
HEARD_FOR_PERIODS = 3.0
"""The same where periods are long: two datagrams in a row may be lost."""
ALIVE_S = 60.0
"""Every gateway hears of every other this often: a silent one is forgotten
after ten times as long."""
UNIT_S = 0.001
_HEAD = struct.Struct(">QIB")
_ENTRY = struct.Struct(">IH")
KIND = b"lvg2"
_MAX_WAIT = 0xFFFF
_MAX_ZONE_BYTES = 0xFF


@dataclasses.dataclass(frozen=True)
class _Heard:
    """What a gateway told last.

    Attributes:
        at_s: When, by the loop's clock.
        sequence: Number of its datagram.
        zone: Its availability zone.
        waiting: Expected wait by short name of the upstream, in units.
    """

    at_s: float
    sequence: int
    zone: ZoneId
    waiting: Mapping[int, int]


class Gossip(mode.Service):
    """Sends and takes in datagrams.

    Args:
        vm: This VM.
        zone: Its availability zone.
        socket: Where datagrams go and come from.
        rotation: Upstreams whose waiting times are told.
    """

    def __init__(
        self, vm: VmId, zone: ZoneId, socket: PeerSocket, rotation: Rotation
    ) -> None:
        super().__init__()
        self._own = xxhash.xxh3_64_intdigest(vm.encode())
        self._socket = socket
        self._rotation = rotation
        self._zone = zone
        self._zones: dict[PeerAddress, ZoneId] = {}
        self._heard: dict[int, _Heard] = {}
        self._waits = ToldWaits()
        self._by_name: dict[int, Upstream] = {}
        self._revision = -1
        self._neighbours: Neighbours | None = None
        self._peers = 0
        self._sequence = 0
        self._was_empty = False
        self._sent_s = get_elapsed_s()
        self._told_all_s = 0.0
        socket.register(KIND, self.take)

    def note_zone(self, peer: PeerAddress, zone: ZoneId) -> None:
        """Takes a gateway's availability zone."""
        if self._zones.get(peer) != zone:
            self._zones[peer] = zone
            self._neighbours = None

    def take(self, data: bytes, address: PeerAddress) -> None:
        """Takes a datagram; one that can't be read is dropped and logged."""
        try:
            sender, sequence, size = _HEAD.unpack_from(data)
            first = _HEAD.size + size
            zone = ZoneId(data[_HEAD.size : first].decode())
            waiting = dict(_ENTRY.iter_unpack(data[first:]))
        except (struct.error, UnicodeDecodeError) as error:
            _log.warning("gossip_refused", extra={"error": str(error)})
            return
        self.note_zone(address, zone)
        known = self._heard.get(sender)
        now_s = asyncio.get_running_loop().time()
        if sender == self._own:
            return
        if known is not None and known.sequence >= sequence:
            if now_s - known.at_s < self._get_heard_for_s():
                return
        self._heard[sender] = _Heard(now_s, sequence, zone, waiting)
        self._update(sender)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._get_period_s())
            self._forget()
            self._send()

    def get_zone_peers(self) -> list[PeerAddress]:
        """The gateways of the own availability zone that are known."""
        zones = self._zones
        return [p for p in self._socket.peers if zones.get(p) == self._zone]

    def _get_neighbours(self) -> Neighbours:
        """Who is told often; found anew only once gateways came or went."""
        peers = self._socket.peers
        if self._neighbours is None or self._peers != len(peers):
            self._peers = len(peers)
            before = self._neighbours
            self._neighbours = choose_neighbours(peers, self._zones, self._zone)
            if before != self._neighbours:
                self._revision = -1
        return self._neighbours

    def _get_period_s(self) -> float:
        neighbours = len(self._get_neighbours().peers)
        return PERIOD_S * max(1.0, neighbours / PEERS_PER_PERIOD)

    def _get_heard_for_s(self) -> float:
        return max(HEARD_FOR_S, HEARD_FOR_PERIODS * self._get_period_s())

    def _send(self) -> None:
        entries = [
            _ENTRY.pack(_get_short_name(upstream), units)
            for upstream in self._rotation.get_all()
            if (units := _get_units(upstream))
        ]
        is_empty = not entries
        now_s = get_elapsed_s()
        is_due = now_s - self._sent_s >= ALIVE_S
        if is_empty and self._was_empty and not is_due:
            return
        self._was_empty = is_empty
        self._sent_s = now_s
        self._sequence += 1
        zone = self._zone.encode()[:_MAX_ZONE_BYTES]
        head = _HEAD.pack(self._own, self._sequence, len(zone))
        data = head + zone + b"".join(entries)
        for peer in self._choose_peers(now_s):
            self._socket.send(KIND, data, peer)

    def _choose_peers(self, now_s: float) -> Collection[PeerAddress]:
        """Neighbours, and from time to time all, who would else forget us."""
        if now_s - self._told_all_s < ALIVE_S:
            return self._get_neighbours().peers
        self._told_all_s = now_s
        return self._socket.peers

    def _forget(self) -> None:
        now_s = asyncio.get_running_loop().time()
        limit_s = now_s - self._get_heard_for_s()
        old = [n for n, heard in self._heard.items() if heard.at_s < limit_s]
        if any(self._heard[name].waiting for name in old):
            for name in old:
                known = self._heard[name]
                self._heard[name] = dataclasses.replace(known, waiting={})
                self._update(name)
        for peer in self._zones.keys() - self._socket.peers:
            del self._zones[peer]
            self._neighbours = None

    def _update(self, sender: int) -> None:
        """Counts what a gateway told at the upstreams that it named."""
        neighbours = self._get_neighbours()
        if self._revision != self._rotation.revision:
            self._update_all(neighbours)
            return
        heard = self._heard[sender]
        counted = self._is_counted(heard, neighbours)
        changed = self._waits.replace(sender, heard.waiting if counted else {})
        for name in changed:
            if upstream := self._by_name.get(name):
                self._set_wait(upstream, name, neighbours)

    def _update_all(self, neighbours: Neighbours) -> None:
        """The same for all, once upstreams or neighbours came or went."""
        self._revision = self._rotation.revision
        upstreams = self._rotation.get_all()
        self._by_name = {_get_short_name(each): each for each in upstreams}
        self._waits = ToldWaits()
        for sender, heard in self._heard.items():
            if self._is_counted(heard, neighbours):
                self._waits.replace(sender, heard.waiting)
        for name, upstream in self._by_name.items():
            self._set_wait(upstream, name, neighbours)

    @staticmethod
    def _is_counted(heard: _Heard, neighbours: Neighbours) -> bool:
        return neighbours.zone in (None, heard.zone)

    def _set_wait(
        self, upstream: Upstream, name: int, neighbours: Neighbours
    ) -> None:
        upstream.performance.waiting_elsewhere_s = (
            neighbours.ratio * UNIT_S * self._waits.get(name)
        )


def _get_short_name(upstream: Upstream) -> int:
    return xxhash.xxh32_intdigest(upstream.incarnation.encode())


def _get_units(upstream: Upstream) -> int:
    performance = upstream.performance
    return min(_MAX_WAIT, round(performance.get_own_wait_s() / UNIT_S))

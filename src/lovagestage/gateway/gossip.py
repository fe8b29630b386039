"""Sends this gateway's queue time at each upstream to the other gateways.

Gateways share the upstreams, and where there are many gateways each of them
sees a small part of the load only. Datagrams between gateways cost neither a
call to the store nor a probe of an upstream. A lost datagram does no harm: the
next one contains the complete state.
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
from lovagestage.gateway.gossip_targets import (
    GossipTargets,
    choose_gossip_targets,
)
from lovagestage.gateway.peers import PeerAddress, PeerSocket
from lovagestage.gateway.reported_waits import ReportedWaits
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import VmId, ZoneId

_log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.1
"""Interval in seconds between datagrams to a peer where there are few peers. It
is about the time that an upstream takes to begin an answer."""
PEERS_PER_INTERVAL = 10
"""Number of peers above which the interval grows in proportion. This limits the
traffic that a gateway sends and receives to a hundred datagrams of some 50
bytes a second."""
REPORT_TTL_S = 1.0
"""Time in seconds after which a peer's report expires: the peer has stopped or
can't be reached."""
REPORT_TTL_INTERVALS = 3.0
"""Intervals after which a report expires where intervals are long: two
successive datagrams may be lost without effect."""
KEEPALIVE_INTERVAL_S = 60.0
"""Interval in seconds in which every gateway sends to every other one, even if
it has nothing to report. A gateway is removed from the list of peers after ten
times as long without a datagram from it."""
WAIT_UNIT_S = 0.001
"""Resolution in seconds of the queue times in a report."""
_HEAD = struct.Struct(">QIB")
_ENTRY = struct.Struct(">IH")
DATAGRAM_KIND = b"lvg2"
_MAX_WAIT_UNITS = 0xFFFF
_MAX_ZONE_BYTES = 0xFF


@dataclasses.dataclass(frozen=True)
class _PeerReport:
    """The last report that a gateway has sent.

    Attributes:
        received_s: Time of receipt by the event loop's clock.
        sequence: Sequence number of the datagram.
        zone: Availability zone of the gateway.
        waiting: Expected queue time, in units of `WAIT_UNIT_S`, by the hash of
            the upstream's name.
    """

    received_s: float
    sequence: int
    zone: ZoneId
    waiting: Mapping[int, int]


class Gossip(mode.Service):
    """Exchanges queue times with the other gateways by datagram.

    Args:
        vm: The gateway's VM.
        zone: Availability zone of the VM.
        socket: Socket for the datagrams.
        rotation: Upstreams whose queue times are exchanged.
    """

    def __init__(
        self, vm: VmId, zone: ZoneId, socket: PeerSocket, rotation: Rotation
    ) -> None:
        super().__init__()
        self._own_hash = xxhash.xxh3_64_intdigest(vm.encode())
        self._socket = socket
        self._rotation = rotation
        self._zone = zone
        self._zones: dict[PeerAddress, ZoneId] = {}
        self._reports: dict[int, _PeerReport] = {}
        self._waits = ReportedWaits()
        self._upstreams_by_hash: dict[int, Upstream] = {}
        self._revision = -1
        self._targets: GossipTargets | None = None
        self._peer_count = 0
        self._sequence = 0
        self._was_empty = False
        self._last_sent_s = get_elapsed_s()
        self._last_broadcast_s = 0.0
        socket.register(DATAGRAM_KIND, self.apply_report)

    def record_zone(self, peer: PeerAddress, zone: ZoneId) -> None:
        """Records the availability zone of a gateway."""
        if self._zones.get(peer) != zone:
            self._zones[peer] = zone
            self._targets = None

    def apply_report(self, data: bytes, address: PeerAddress) -> None:
        """Applies the report in a datagram.

        A datagram that can't be decoded is dropped and logged. A report that
        is not newer than the last one of the same gateway is ignored, unless
        the last one has expired.
        """
        try:
            sender, sequence, size = _HEAD.unpack_from(data)
            entries_start = _HEAD.size + size
            zone = ZoneId(data[_HEAD.size : entries_start].decode())
            waits = dict(_ENTRY.iter_unpack(data[entries_start:]))
        except (struct.error, UnicodeDecodeError) as error:
            _log.warning("gossip_refused", extra={"error": str(error)})
            return
        self.record_zone(address, zone)
        last_report = self._reports.get(sender)
        now_s = asyncio.get_running_loop().time()
        if sender == self._own_hash:
            return
        if last_report is not None and last_report.sequence >= sequence:
            if now_s - last_report.received_s < self._get_report_ttl_s():
                return
        self._reports[sender] = _PeerReport(now_s, sequence, zone, waits)
        self._update_waits(sender)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._get_interval_s())
            self._expire_reports()
            self._send()

    def get_zone_peers(self) -> list[PeerAddress]:
        """Returns the known gateways of this gateway's availability zone."""
        zones = self._zones
        return [
            peer for peer in self._socket.peers if zones.get(peer) == self._zone
        ]

    def _get_targets(self) -> GossipTargets:
        """Returns the peers that get each report.

        They are computed again only after peers were added or removed, or the
        zone of a peer has changed.
        """
        peers = self._socket.peers
        if self._targets is None or self._peer_count != len(peers):
            self._peer_count = len(peers)
            previous = self._targets
            self._targets = choose_gossip_targets(
                peers, self._zones, self._zone
            )
            if previous != self._targets:
                self._revision = -1
        return self._targets

    def _get_interval_s(self) -> float:
        target_count = len(self._get_targets().peers)
        return REPORT_INTERVAL_S * max(1.0, target_count / PEERS_PER_INTERVAL)

    def _get_report_ttl_s(self) -> float:
        return max(REPORT_TTL_S, REPORT_TTL_INTERVALS * self._get_interval_s())

    def _send(self) -> None:
        entries = [
            _ENTRY.pack(_get_name_hash(upstream), units)
            for upstream in self._rotation.get_all()
            if (units := _get_wait_units(upstream))
        ]
        is_empty = not entries
        now_s = get_elapsed_s()
        is_due = now_s - self._last_sent_s >= KEEPALIVE_INTERVAL_S
        if is_empty and self._was_empty and not is_due:
            return
        self._was_empty = is_empty
        self._last_sent_s = now_s
        self._sequence += 1
        zone = self._zone.encode()[:_MAX_ZONE_BYTES]
        head = _HEAD.pack(self._own_hash, self._sequence, len(zone))
        data = head + zone + b"".join(entries)
        for peer in self._choose_peers(now_s):
            self._socket.send(DATAGRAM_KIND, data, peer)

    def _choose_peers(self, now_s: float) -> Collection[PeerAddress]:
        """Returns the peers to which the next report is sent.

        These are the gossip targets and, once in each keep-alive interval, all
        peers, which would otherwise remove this gateway from their lists.
        """
        if now_s - self._last_broadcast_s < KEEPALIVE_INTERVAL_S:
            return self._get_targets().peers
        self._last_broadcast_s = now_s
        return self._socket.peers

    def _expire_reports(self) -> None:
        now_s = asyncio.get_running_loop().time()
        limit_s = now_s - self._get_report_ttl_s()
        expired = [
            gateway
            for gateway, report in self._reports.items()
            if report.received_s < limit_s
        ]
        if any(self._reports[sender].waiting for sender in expired):
            for sender in expired:
                last_report = self._reports[sender]
                self._reports[sender] = dataclasses.replace(
                    last_report, waiting={}
                )
                self._update_waits(sender)
        for peer in self._zones.keys() - self._socket.peers:
            del self._zones[peer]
            self._targets = None

    def _update_waits(self, sender: int) -> None:
        """Adds a gateway's report to the queue times of its upstreams."""
        targets = self._get_targets()
        if self._revision != self._rotation.revision:
            self._update_all_waits(targets)
            return
        report = self._reports[sender]
        is_counted = self._is_counted(report, targets)
        changed = self._waits.replace(
            sender, report.waiting if is_counted else {}
        )
        for name_hash in changed:
            if upstream := self._upstreams_by_hash.get(name_hash):
                self._set_wait(upstream, name_hash, targets)

    def _update_all_waits(self, targets: GossipTargets) -> None:
        """Computes all queue times again from the reports of all gateways.

        Needed after upstreams or gossip targets were added or removed.
        """
        self._revision = self._rotation.revision
        upstreams = self._rotation.get_all()
        self._upstreams_by_hash = {
            _get_name_hash(each): each for each in upstreams
        }
        self._waits = ReportedWaits()
        for sender, report in self._reports.items():
            if self._is_counted(report, targets):
                self._waits.replace(sender, report.waiting)
        for name_hash, upstream in self._upstreams_by_hash.items():
            self._set_wait(upstream, name_hash, targets)

    @staticmethod
    def _is_counted(report: _PeerReport, targets: GossipTargets) -> bool:
        return targets.zone in (None, report.zone)

    def _set_wait(
        self, upstream: Upstream, name_hash: int, targets: GossipTargets
    ) -> None:
        upstream.performance.waiting_elsewhere_s = (
            targets.ratio * WAIT_UNIT_S * self._waits.get(name_hash)
        )


def _get_name_hash(upstream: Upstream) -> int:
    return upstream.get_process_hash()


def _get_wait_units(upstream: Upstream) -> int:
    performance = upstream.performance
    return min(
        _MAX_WAIT_UNITS, round(performance.get_own_wait_s() / WAIT_UNIT_S)
    )

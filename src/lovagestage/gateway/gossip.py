"""Tells the other gateways what this one has waiting at each upstream.

Gateways share the upstreams, and of 32 gateways each one sees a thirtieth of
the load. Datagrams between them cost neither a call to the store nor a probe
of an upstream. A lost one costs nothing: the next one holds the whole state.
"""

from __future__ import annotations

import asyncio
import logging
import struct

import mode
import xxhash

from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.peers import PeerAddress, PeerSocket
from lovagestage.gateway.rotation import Rotation, Upstream
from lovagestage.types import VmId

_log = logging.getLogger(__name__)

PERIOD_S = 0.1
"""Time between datagrams to one peer of a few; answers begin after about as
long."""
PEERS_PER_PERIOD = 10
"""With more peers the period grows, so that what a gateway sends and takes in
is bounded: at 32 gateways a hundred datagrams of some 50 bytes a second."""
HEARD_FOR_S = 1.0
"""What a peer told is forgotten after this: it has stopped, or is cut off."""
HEARD_FOR_PERIODS = 3.0
"""The same where periods are long: two datagrams in a row may be lost."""
ALIVE_S = 60.0
"""A gateway with nothing waiting says so this often: a silent one is forgotten
after ten times as long."""
UNIT_S = 0.001
_HEAD = struct.Struct(">QI")
_ENTRY = struct.Struct(">IH")
KIND = b"lvg1"
_MAX_WAIT = 0xFFFF


class Gossip(mode.Service):
    """Sends and takes in datagrams.

    Args:
        vm: This VM.
        socket: Where datagrams go and come from.
        rotation: Upstreams whose waiting times are told.
    """

    def __init__(
        self, vm: VmId, socket: PeerSocket, rotation: Rotation
    ) -> None:
        super().__init__()
        self._own = xxhash.xxh3_64_intdigest(vm.encode())
        self._socket = socket
        self._rotation = rotation
        self._heard: dict[int, tuple[float, int, dict[int, float]]] = {}
        self._sequence = 0
        self._was_empty = False
        self._sent_s = get_elapsed_s()
        socket.register(KIND, self.take)

    def take(self, data: bytes, address: PeerAddress) -> None:
        """Takes a datagram; one that can't be read is dropped and logged."""
        del address  # A gateway is named by its VM, which outlives a port.
        try:
            sender, sequence = _HEAD.unpack_from(data)
            waiting = {
                name: units * UNIT_S
                for name, units in _ENTRY.iter_unpack(data[_HEAD.size :])
            }
        except struct.error as error:
            _log.warning("gossip_refused", extra={"error": str(error)})
            return
        known = self._heard.get(sender)
        is_old = known is not None and known[1] >= sequence
        now_s = asyncio.get_running_loop().time()
        is_recent = (
            known is not None and now_s - known[0] < self._get_heard_for_s()
        )
        if sender == self._own or (is_old and is_recent):
            return
        self._heard[sender] = (now_s, sequence, waiting)
        self._update()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._get_period_s())
            self._forget()
            self._send()

    def _get_period_s(self) -> float:
        return PERIOD_S * max(1.0, len(self._socket.peers) / PEERS_PER_PERIOD)

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
        data = _HEAD.pack(self._own, self._sequence) + b"".join(entries)
        for peer in self._socket.peers:
            self._socket.send(KIND, data, peer)

    def _forget(self) -> None:
        now_s = asyncio.get_running_loop().time()
        limit_s = now_s - self._get_heard_for_s()
        old = [n for n, (at_s, _, w) in self._heard.items() if at_s < limit_s]
        if any(self._heard[name][2] for name in old):
            for name in old:
                self._heard[name] = (*self._heard[name][:2], {})
            self._update()

    def _update(self) -> None:
        totals: dict[int, float] = {}
        for _, _, waiting in self._heard.values():
            for name, wait_s in waiting.items():
                totals[name] = totals.get(name, 0.0) + wait_s
        for upstream in self._rotation.get_all():
            upstream.performance.waiting_elsewhere_s = totals.get(
                _get_short_name(upstream), 0.0
            )


def _get_short_name(upstream: Upstream) -> int:
    return xxhash.xxh32_intdigest(upstream.incarnation.encode())


def _get_units(upstream: Upstream) -> int:
    performance = upstream.performance
    return min(_MAX_WAIT, round(performance.get_own_wait_s() / UNIT_S))

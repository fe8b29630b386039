"""Borrows and lends shares of request limits between gateways, by datagram.

A gateway that gets more requests than its shares allow asks others for theirs.
One that lends answers with what it has given up; others don't answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import struct
from collections.abc import Iterator
from typing import Protocol

import mode

from lovagestage.decisions.share_lending import LEASE_S, Loan
from lovagestage.decisions.upstream_notices import MAX_REQUESTS_PER_S
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.limit_shares import LimitShares, Wish
from lovagestage.gateway.peers import PeerAddress, PeerSocket, format_peer
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import Upstream

_log = logging.getLogger(__name__)

ASK_KIND = b"lva1"
LEND_KIND = b"lvn1"
ASK_INTERVAL_S = 0.25
"""Interval in seconds in which a gateway asks: three times before a lease that
is to be renewed ends."""
MAX_ASK_INTERVAL_S = 1.0
"""Longest interval in seconds, while nobody lends."""
MIN_ASK_INTERVAL_S = 0.02
"""Shortest interval in seconds, while requests wait for a share."""
MAX_WAIT_S = 0.05
"""Longest time in seconds for which a request waits for a share: a datagram and
its answer take a few milliseconds within a region."""
MAX_LENDERS = 10
"""Maximum number of gateways that are asked at a time."""
ASKS_PER_S = 40.0
"""Datagrams per second that a gateway asks by, so that it sends some 2 KB/s for
this; as many may go out at once after a second without any."""
MAX_ENTRIES = 80
"""Maximum number of upstreams in a datagram, which then fits into a packet."""
_HEAD = struct.Struct(">d")
_ENTRY = struct.Struct(">Iff")


class LoanSource(Protocol):
    """Borrows shares of request limits for requests that lack one."""

    async def wait_for_loan(self) -> None:
        """Waits a moment for another gateway to lend a share."""


class NoLoans:
    """Stands in where gateways can't learn of each other."""

    async def wait_for_loan(self) -> None:
        """Returns at once."""


class ShareExchange(mode.Service):
    """Exchanges shares of request limits with the other gateways.

    Args:
        socket: Socket for the datagrams.
        rotation: The upstreams.
        shares: This gateway's shares.
    """

    def __init__(
        self, socket: PeerSocket, rotation: Rotation, shares: LimitShares
    ) -> None:
        super().__init__()
        self._socket = socket
        self._rotation = rotation
        self._shares = shares
        self._interval_s = ASK_INTERVAL_S
        self._asks_left = ASKS_PER_S
        self._asked_s = get_elapsed_s()
        self._lacking = asyncio.Event()
        self._lent = asyncio.Event()
        socket.register(ASK_KIND, self.apply_ask)
        socket.register(LEND_KIND, self.apply_lending)

    async def wait_for_loan(self) -> None:
        """Asks at once, and waits a moment for another gateway's answer.

        Returns at once while nobody lends.
        """
        if not self._socket.peers or self._interval_s > 2.0 * ASK_INTERVAL_S:
            return
        self._lacking.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_WAIT_S):
                await self._lent.wait()

    def apply_ask(self, data: bytes, peer: PeerAddress) -> None:
        """Lends what another gateway asks for, as far as it can be spared."""
        now_s = get_elapsed_s()
        lent = []
        for upstream, wish in self._decode(data, peer):
            borrower = format_peer(peer)
            loan = self._shares.lend(upstream, borrower, wish.per_s, now_s)
            if loan.per_s > 0.0:
                lent.append((upstream, loan))
        if lent:
            # The time is the asking gateway's own.
            self._send(LEND_KIND, data[: _HEAD.size], lent, peer)

    def apply_lending(self, data: bytes, peer: PeerAddress) -> None:
        """Takes what another gateway lends."""
        now_s = get_elapsed_s()
        entries = list(self._decode(data, peer))
        if not entries:
            return
        (asked_s,) = _HEAD.unpack_from(data)
        if not now_s - LEASE_S < asked_s <= now_s:
            return
        self._interval_s = ASK_INTERVAL_S
        for upstream, loan in entries:
            lender = format_peer(peer)
            self._shares.borrow(upstream, lender, loan, asked_s, now_s)
        self._lent.set()
        self._lent.clear()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(MIN_ASK_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s):
                    await self._lacking.wait()
            self._lacking.clear()
            now_s = get_elapsed_s()
            max_lenders = min(MAX_LENDERS, self._count_asks_left(now_s))
            wishes = self._shares.find_wishes(max_lenders, now_s)
            longer_s = min(MAX_ASK_INTERVAL_S, 2.0 * self._interval_s)
            self._interval_s = longer_s if wishes else ASK_INTERVAL_S
            self._ask(wishes, now_s)

    def _count_asks_left(self, now_s: float) -> int:
        accrued = ASKS_PER_S * (now_s - self._asked_s)
        self._asks_left = min(ASKS_PER_S, self._asks_left + accrued)
        self._asked_s = now_s
        return max(0, int(self._asks_left))

    def _ask(self, wishes: dict[str, list[Wish]], now_s: float) -> None:
        peers = {format_peer(peer): peer for peer in self._socket.peers}
        head = _HEAD.pack(now_s)
        for lender, asked in wishes.items():
            if (peer := peers.get(lender)) is not None:
                entries = [(wish.upstream, Loan(wish.per_s)) for wish in asked]
                self._send(ASK_KIND, head, entries, peer)
                self._asks_left -= 1.0

    def _send(
        self,
        kind: bytes,
        head: bytes,
        entries: list[tuple[Upstream, Loan]],
        peer: PeerAddress,
    ) -> None:
        for start in range(0, len(entries), MAX_ENTRIES):
            packed = [
                _ENTRY.pack(
                    upstream.get_process_hash(), loan.per_s, loan.accrued
                )
                for upstream, loan in entries[start : start + MAX_ENTRIES]
            ]
            self._socket.send(kind, head + b"".join(packed), peer)

    def _decode(
        self, data: bytes, peer: PeerAddress
    ) -> Iterator[tuple[Upstream, Loan]]:
        """Yields the upstreams that are known here, and what is lent of each.

        A datagram that is malformed is logged, and the rest of it dropped.
        """
        try:
            _HEAD.unpack_from(data)
            entries = list(_ENTRY.iter_unpack(data[_HEAD.size :]))
        except struct.error as error:
            _log_refused(peer, str(error))
            return
        for name_hash, *amounts in entries:
            if not all(map(_is_amount, amounts)):
                _log_refused(peer, f"amounts {amounts}")
                return
            upstream = self._rotation.find_process(name_hash)
            if upstream is not None:
                yield upstream, Loan(*amounts)


def _is_amount(value: float) -> bool:
    return math.isfinite(value) and 0.0 <= value <= MAX_REQUESTS_PER_S


def _log_refused(peer: PeerAddress, error: str) -> None:
    _log.warning(
        "lending_refused", extra={"peer": format_peer(peer), "error": error}
    )

"""Tells the other gateways at once of crashes, probes and their ends.

A report also goes through the store, which keeps it for gateways that start
later. Through the store alone it would come a second late, or not at all while
the store is away, and a caller that repeats a request which crashes upstreams
does so within milliseconds and at any gateway.

Datagrams get lost occasionally, so each is sent twice. A gateway that has just
started gets the strikes that the others know of from a few of them: the store
may no longer hold the reports.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable, Iterator, Sequence

import mode
import msgspec

from lovagestage.gateway.peers import PeerAddress, PeerSocket, format_peer
from lovagestage.messages.crashes import CrashReport

_log = logging.getLogger(__name__)

DATAGRAM_KIND = b"lvc1"
BATCH_DELAY_S = 0.02
"""Time in seconds for which a report waits for others of the same crash."""
RESEND_DELAY_S = 0.3
"""Time in seconds after which reports are sent once more."""
MAX_DATAGRAM_BYTES = 1_200
"""Length in bytes up to which reports share a datagram, so that it fits into a
packet. A single report is shorter."""
MAX_NEWCOMER_REPORTS = 160
"""Maximum number of reports that a gateway which has just started gets."""
INFORMING_GATEWAYS = 3
"""Number of gateways that inform one that has just started."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[CrashReport, ...])


class CrashExchange(mode.Service):
    """Exchanges reports of crashes with the other gateways by datagram.

    Args:
        socket: Socket for the datagrams.
        on_report: Called with each report of another gateway.
    """

    def __init__(
        self, socket: PeerSocket, on_report: Callable[[CrashReport], None]
    ) -> None:
        super().__init__()
        self._socket = socket
        self._on_report = on_report
        self._outbox: list[CrashReport] = []
        self._report_added = asyncio.Event()
        socket.register(DATAGRAM_KIND, self.apply_datagram)

    def send(self, report: CrashReport) -> None:
        """Sends a report to all other gateways."""
        self._outbox.append(report)
        self._report_added.set()

    def inform_newcomer(
        self, peer: PeerAddress, reports: Iterable[CrashReport]
    ) -> None:
        """Sends reports to a gateway that has just started."""
        known = itertools.islice(reports, MAX_NEWCOMER_REPORTS)
        self._send_datagrams(tuple(known), (peer,))

    def apply_datagram(self, data: bytes, peer: PeerAddress) -> None:
        """Applies the reports in a datagram; drops one that is malformed."""
        try:
            reports = _decoder.decode(data)
        except msgspec.MsgspecError as error:
            _log.warning(
                "crash_report_refused",
                extra={"peer": format_peer(peer), "error": str(error)},
            )
            return
        for report in reports:
            self._on_report(report)

    @mode.Service.task
    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            await self._report_added.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self._report_added.clear()
            reports, self._outbox = tuple(self._outbox), []
            self._send_to_all(reports)
            loop.call_later(RESEND_DELAY_S, self._send_to_all, reports)

    def _send_to_all(self, reports: Sequence[CrashReport]) -> None:
        self._send_datagrams(reports, tuple(self._socket.peers))

    def _send_datagrams(
        self, reports: Sequence[CrashReport], peers: Sequence[PeerAddress]
    ) -> None:
        for batch in split_reports(reports):
            data = _encoder.encode(batch)
            for peer in peers:
                self._socket.send(DATAGRAM_KIND, data, peer)


def split_reports(
    reports: Sequence[CrashReport],
) -> Iterator[Sequence[CrashReport]]:
    """Yields the reports in batches that fit into a datagram each."""
    batch: list[CrashReport] = []
    size_bytes = 0
    for report in reports:
        report_bytes = len(_encoder.encode(report))
        if batch and size_bytes + report_bytes > MAX_DATAGRAM_BYTES:
            yield batch
            batch, size_bytes = [], 0
        batch.append(report)
        size_bytes += report_bytes
    if batch:
        yield batch

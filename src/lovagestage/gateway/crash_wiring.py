"""Connects the watch for crashes with metrics and with the other gateways."""

from __future__ import annotations

from collections.abc import Callable

from lovagestage.decisions.limit_sharing import get_rank
from lovagestage.decisions.part_blame import PartChange
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.crash_detection import SuspectWatch
from lovagestage.gateway.crash_exchange import (
    INFORMING_GATEWAYS,
    CrashExchange,
)
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.peer_messenger import PeerMessenger
from lovagestage.gateway.peers import PeerAddress, PeerSocket, format_peer
from lovagestage.gateway.upstream_guard import UpstreamGuard
from lovagestage.messages.crashes import CrashReport
from lovagestage.types import InstanceId


def make_suspect_watch(
    peer_messenger: PeerMessenger,
    socket: PeerSocket | None,
    exposition: Exposition,
) -> tuple[SuspectWatch, CrashExchange | None]:
    """Makes the watch, its metrics, and its exchange with other gateways.

    Args:
        peer_messenger: Sends the reports through the store.
        socket: Sends them as datagrams; None without other gateways.
        exposition: Metrics.

    Returns:
        The watch, and the exchange by datagram; None without a socket.
    """

    def count(change: PartChange) -> None:
        exposition.count(
            Series.PART_VERDICTS, f'verdict="{change.verdict.value}"'
        )

    if socket is None:
        suspects = SuspectWatch(peer_messenger.enqueue, lambda: False, count)
        _add_gauges(exposition, suspects)
        return suspects, None

    def post(report: CrashReport) -> None:
        exchange.send(report)
        peer_messenger.enqueue(report)

    suspects = SuspectWatch(post, lambda: bool(socket.peers), count)
    _add_gauges(exposition, suspects)
    exchange = CrashExchange(socket, suspects.on_report)
    return suspects, exchange


def _add_gauges(exposition: Exposition, suspects: SuspectWatch) -> None:
    exposition.add_gauge(Series.SUSPECT_REQUESTS, lambda: len(suspects))
    exposition.add_gauge(Series.SUSPECT_PARTS, lambda: suspects.part_count)
    exposition.add_gauge(
        Series.CONVICTED_PARTS, lambda: suspects.conviction_count
    )


def make_informer(
    suspects: SuspectWatch,
    exchange: CrashExchange | None,
    guard: UpstreamGuard,
    inform_of_era: Callable[[PeerAddress], None],
) -> Callable[[PeerAddress], None]:
    """Makes the function that informs gateways which have just started.

    A few gateways, chosen by a hash, inform each of them.
    """

    def inform(peer: PeerAddress) -> None:
        gateways = guard.get_gateway_set(get_elapsed_s())
        rank = get_rank(gateways, InstanceId(format_peer(peer)))
        if exchange is not None and rank < INFORMING_GATEWAYS:
            exchange.inform_newcomer(peer, suspects.get_reports())
            inform_of_era(peer)

    return inform

"""Tells a gateway that has just started that the store's era is not new.

In a drill the store comes back from a copy, under a new era, and may lack a
configuration that revokes a key until it has been written again. A gateway that
starts in that time can't tell such a copy from a sound store. Others can: a few
of them, the same number however many there are, report the era once they trust
it. Without a report, as where all gateways start together, the new one waits
for as long as the configuration may take to be written again.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.peers import PeerAddress, PeerSocket, format_peer
from lovagestage.types import Era

_log = logging.getLogger(__name__)

DATAGRAM_KIND = b"lve1"


class EraReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of the store.

    Attributes:
        era: Era of the store, which has not begun just now.
        version: Version of the configuration in force at the sender.
    """

    era: int
    version: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(EraReport)


class EraReports:
    """Sends and applies reports of the store's era.

    Args:
        socket: Socket for the datagrams.
        deployment: The configuration in force.
        get_settled_era: Returns the era that this gateway trusts; None while
            it may have just begun.
        on_settled_era: Called with the era that another gateway trusts.
    """

    def __init__(
        self,
        socket: PeerSocket,
        deployment: Deployment,
        get_settled_era: Callable[[], Era | None],
        on_settled_era: Callable[[Era], None],
    ) -> None:
        self._socket = socket
        self._deployment = deployment
        self._get_settled_era = get_settled_era
        self._on_settled_era = on_settled_era
        socket.register(DATAGRAM_KIND, self.apply_datagram)

    def inform_newcomer(self, peer: PeerAddress) -> None:
        """Reports the era to a gateway that has just started, if it is known.

        A datagram that is lost costs the other one a wait.
        """
        era = self._get_settled_era()
        configuration = self._deployment.configuration
        if era is None or configuration is None:
            return
        report = EraReport(era, configuration.version)
        self._socket.send(DATAGRAM_KIND, _encoder.encode(report), peer)

    def apply_datagram(self, data: bytes, peer: PeerAddress) -> None:
        """Applies a report; drops one that is malformed.

        One of a newer configuration proves nothing: the store has not listed
        that one here, so it may be lost.
        """
        try:
            report = _decoder.decode(data)
        except msgspec.MsgspecError as error:
            _log.warning(
                "era_report_refused",
                extra={"peer": format_peer(peer), "error": str(error)},
            )
            return
        configuration = self._deployment.configuration
        if configuration is None or report.version > configuration.version:
            return
        self._on_settled_era(Era(report.era))

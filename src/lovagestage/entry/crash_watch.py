"""Keeps requests that crash upstreams from crashing many."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Iterator

from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.transport import PeerId
from lovagestage.decisions.crash_suspects import Admission, SuspectTable
from lovagestage.exceptions import (
    RequestCrashesUpstreamsError,
    SuspectWaitingError,
    UpstreamCrashedError,
)
from lovagestage.messages.crashes import CrashReport
from lovagestage.messages.envelope import Message
from lovagestage.types import Fingerprint

_log = logging.getLogger(__name__)

WAIT_POLL_S = 0.05
WAIT_LIMIT_S = 10.0
MAX_TOLD = 10_000
"""Reports remembered so as not to pass them on twice."""


class CrashWatch:
    """An entry's suspects, told to and heard from the other entries.

    Args:
        peers: Connections to the other entries.
        hub: Hands over their reports.
    """

    def __init__(self, peers: LinkTable, hub: Hub) -> None:
        self._peers = peers
        self._table = SuspectTable()
        self._told: dict[CrashReport, None] = {}
        hub.register(CrashReport, self._on_report)

    def __len__(self) -> int:
        return len(self._table)

    def get_strikes(self, name: Fingerprint) -> int:
        """Crashes at which the request was in flight."""
        return self._table.get_strikes(name, time.monotonic())

    async def admit(
        self, name: Fingerprint, run: str, deadline_at_s: float
    ) -> bool:
        """Lets an attempt run; returns whether it is a probe.

        Raises:
            RequestCrashesUpstreamsError: It is convicted.
            SuspectWaitingError: Another copy was probed for too long.
        """
        end_s = min(deadline_at_s, time.monotonic() + WAIT_LIMIT_S)
        while True:
            now_s = time.monotonic()
            match self._table.admit(name, now_s):
                case Admission.FREE:
                    return False
                case Admission.PROBE:
                    self._tell(self._table.start_probe(name, run, now_s))
                    return True
                case Admission.REFUSE:
                    raise RequestCrashesUpstreamsError(
                        "Each upstream that ran this request has died; it is"
                        " not run again for a while."
                    )
                case Admission.WAIT if now_s >= end_s:
                    raise SuspectWaitingError(
                        "The same request is being run apart from others.",
                        retry_after_s=1,
                    )
            await asyncio.sleep(WAIT_POLL_S)

    @contextlib.contextmanager
    def watch(self, name: Fingerprint, run: str, probe: bool) -> Iterator[None]:
        """Notes how an attempt ends."""
        try:
            yield
        except UpstreamCrashedError:
            now_s = time.monotonic()
            self._tell(self._table.record_crash(name, run, probe, now_s))
            _log.warning("upstream_crashed", extra={"run": run, "probe": probe})
            raise
        except BaseException:
            self._end(name, run, False)
            raise
        self._end(name, run, True)

    def _end(self, name: Fingerprint, run: str, answered: bool) -> None:
        report = self._table.record_end(name, run, answered, time.monotonic())
        if report is not None:
            self._tell(report)

    def _tell(self, report: CrashReport) -> None:
        self._told[report] = None
        while len(self._told) > MAX_TOLD:
            del self._told[next(iter(self._told))]
        for vm in self._peers.get_kept():
            self._peers.send(vm, report)

    def _on_report(self, peer: PeerId, message: Message) -> None:
        # An entry is connected to some of the others. Each passes on what is
        # new to it, so that all hear; connections keep the order, and so no
        # end of a probe overtakes its beginning.
        del peer
        assert isinstance(message, CrashReport)
        if message in self._told:
            return
        self._table.apply_report(message, time.monotonic())
        self._tell(message)

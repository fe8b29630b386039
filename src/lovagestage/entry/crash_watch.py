"""Limits how many upstreams a request can crash."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import time
from collections.abc import Iterator

from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.transport import PeerId
from lovagestage.decisions.crash_admission import Admission
from lovagestage.decisions.crash_records import CLAIM_SETTLE_S
from lovagestage.decisions.crash_suspects import (
    SuspectTable,
)
from lovagestage.exceptions import (
    IsolatedRunPendingError,
    RequestCrashesUpstreamsError,
    UpstreamCrashedError,
)
from lovagestage.messages.crashes import CrashReport
from lovagestage.messages.envelope import Message
from lovagestage.types import Fingerprint

_log = logging.getLogger(__name__)

WAIT_POLL_S = 0.05
WAIT_LIMIT_S = 10.0
MAX_FORWARDED_REPORTS = 10_000
"""Largest number of reports that are remembered, so that none is forwarded
twice."""


@dataclasses.dataclass
class TrackedAttempt:
    """An attempt whose end is recorded.

    Attributes:
        upstream: Name of the upstream process; empty until it is chosen.
    """

    upstream: str = ""


class CrashWatch:
    """The crash suspects of an entry, shared with the other entries.

    A suspect is a request that was in flight when an upstream crashed.

    Args:
        peers: Connections to the other entries.
        hub: Delivers the other entries' reports.
    """

    def __init__(self, peers: LinkTable, hub: Hub) -> None:
        self._peers = peers
        self._table = SuspectTable()
        self._forwarded: dict[CrashReport, None] = {}
        hub.register(CrashReport, self._on_report)

    def __len__(self) -> int:
        return len(self._table)

    def get_strikes(self, fingerprint: Fingerprint) -> int:
        """Returns the number of crashes at which the request was in flight."""
        return self._table.get_strikes(fingerprint, time.monotonic())

    async def admit(
        self, fingerprint: Fingerprint, label: str, deadline_at_s: float
    ) -> bool:
        """Waits until an attempt may run.

        Args:
            fingerprint: Fingerprint of the request.
            label: Name of the attempt.
            deadline_at_s: Deadline of the request, in seconds of monotonic
                time.

        Returns:
            Whether the attempt is a probe, which must not run beside other
            suspects.

        Raises:
            RequestCrashesUpstreamsError: The request is convicted of crashing
                upstreams.
            IsolatedRunPendingError: Another copy of the request was being
                probed until `WAIT_LIMIT_S` or the deadline had passed.
        """
        end_s = min(deadline_at_s, time.monotonic() + WAIT_LIMIT_S)
        while True:
            now_s = time.monotonic()
            match self._table.admit(fingerprint, now_s):
                case Admission.FREE:
                    return False
                case Admission.PROBE:
                    if await self._claim_probe(fingerprint, label):
                        return True
                case Admission.REFUSE:
                    raise RequestCrashesUpstreamsError(
                        "Each upstream that ran this request has died; it is"
                        " not run again for a while."
                    )
            if now_s >= end_s:
                raise IsolatedRunPendingError(
                    "The same request is being run apart from others.",
                    retry_after_s=1,
                )
            await asyncio.sleep(WAIT_POLL_S)

    async def _claim_probe(self, fingerprint: Fingerprint, label: str) -> bool:
        """Claims that an attempt runs as the only probe of all entries."""
        self._publish(
            self._table.start_probe(fingerprint, label, time.monotonic())
        )
        try:
            if self._peers.get_permanent():
                await asyncio.sleep(CLAIM_SETTLE_S)
        except asyncio.CancelledError:
            self._record_end(fingerprint, label, False)
            raise
        return self._table.holds_probe(fingerprint, label, time.monotonic())

    @contextlib.contextmanager
    def track_attempt(
        self, fingerprint: Fingerprint, label: str
    ) -> Iterator[TrackedAttempt]:
        """Records how the enclosed attempt ends.

        Args:
            fingerprint: Fingerprint of the request.
            label: Name of the attempt.

        Yields:
            The attempt, whose upstream the caller sets once it is known.
        """
        tracked = TrackedAttempt()
        try:
            yield tracked
        except UpstreamCrashedError:
            now_s = time.monotonic()
            self._publish(
                self._table.record_crash(
                    fingerprint, label, tracked.upstream, now_s
                )
            )
            _log.warning(
                "upstream_crashed",
                extra={
                    "run": label,
                    "upstream": tracked.upstream,
                    "fingerprint": fingerprint,
                    "strikes": self._table.get_strikes(fingerprint, now_s),
                },
            )
            raise
        except BaseException:
            self._record_end(fingerprint, label, False)
            raise
        self._record_end(fingerprint, label, True)

    def _record_end(
        self, fingerprint: Fingerprint, label: str, answered: bool
    ) -> None:
        report = self._table.record_end(
            fingerprint, label, answered, time.monotonic()
        )
        if report is not None:
            self._publish(report)

    def _publish(self, report: CrashReport) -> None:
        self._forwarded[report] = None
        while len(self._forwarded) > MAX_FORWARDED_REPORTS:
            del self._forwarded[next(iter(self._forwarded))]
        for vm in self._peers.get_permanent():
            self._peers.send(vm, report)

    def _on_report(self, peer: PeerId, message: Message) -> None:
        # An entry is connected to some of the other entries only. Each entry
        # forwards the reports that are new to it, so that all entries receive
        # them. A connection keeps the order of messages, so that the end of a
        # probe never arrives before its start.
        del peer
        assert isinstance(message, CrashReport)
        if message in self._forwarded:
            return
        self._table.apply_report(message, time.monotonic())
        self._publish(message)

"""Keeps requests that crash their upstreams from being retried endlessly."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

from lovagestage.adapters.http1 import open_channel
from lovagestage.decisions.crash_suspects import (
    CLAIM_SETTLE_S,
    Admission,
    SuspectTable,
    get_fingerprint,
)
from lovagestage.exceptions import ConnectionLostError
from lovagestage.gateway.admission import AdmittedRequest
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.upstream import Upstream
from lovagestage.messages.crashes import CrashReport, CrashReportKind
from lovagestage.types import Fingerprint, WorkspaceId

_log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 0.5
"""Time in seconds within which an upstream must accept a new connection after
it broke one. An upstream that does not has crashed; one that only reset a
connection accepts the next one immediately."""


class SuspectWatch:
    """Distinguishes crashes from lost connections and reports the crashes.

    A lost connection alone counts as no strike: network links fail, and then
    all requests of the VM would be suspected.

    Args:
        post: Sends a report to the other gateways.
        has_peers: Returns whether there are other gateways.
    """

    def __init__(
        self,
        post: Callable[[CrashReport], None],
        has_peers: Callable[[], bool],
    ) -> None:
        self._table = SuspectTable()
        self._post = post
        self._has_peers = has_peers
        self._own_probes: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._table)

    def admit(self, fingerprint: Fingerprint) -> Admission:
        """Returns whether a request may run now, and whether as a probe."""
        return self._table.admit(fingerprint, get_elapsed_s())

    async def claim_probe(self, fingerprint: Fingerprint, run: str) -> bool:
        """Claims that a suspect request runs alone, over all gateways.

        Without the claim, copies of a request that arrive at several gateways
        at one moment would each be run as a probe.

        Returns:
            Whether the run may start; otherwise another one is the probe, and
            the next claim needs another name.
        """
        report = self._table.start_probe(fingerprint, run, get_elapsed_s())
        self._own_probes.add(run)
        self._post(report)
        try:
            if self._has_peers():
                await asyncio.sleep(CLAIM_SETTLE_S)
        except asyncio.CancelledError:
            self._withdraw_probe(fingerprint, run)
            raise
        now_s = get_elapsed_s()
        has_won = self._table.holds_probe(fingerprint, run, now_s)
        if not has_won:
            self._withdraw_probe(fingerprint, run)
        _log.info(
            "suspect_probed" if has_won else "suspect_held",
            extra={
                "run": run,
                "fingerprint": fingerprint,
                "strikes": self._table.get_strikes(fingerprint, now_s),
            },
        )
        return has_won

    def check_for_crash(
        self, fingerprint: Fingerprint, run: str, upstream: Upstream
    ) -> None:
        """Checks whether the upstream crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            run: Name of the attempt.
            upstream: The upstream whose connection was lost.
        """
        self._table.start_check(
            fingerprint, run, upstream.incarnation, get_elapsed_s()
        )
        task = asyncio.get_running_loop().create_task(
            self._confirm_crash(fingerprint, run, upstream)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_answered(self, fingerprint: Fingerprint, run: str) -> None:
        """Records that an upstream has answered a request with success."""
        self._record_end(fingerprint, run, True)

    def record_ended(self, fingerprint: Fingerprint, run: str) -> None:
        """Records that a run has ended in any other way.

        A run whose upstream is being checked ends with the result of the check.
        """
        if not self._table.is_checked(fingerprint, run):
            self._record_end(fingerprint, run, False)

    def on_report(self, report: CrashReport) -> None:
        """Applies another gateway's report."""
        now_s = get_elapsed_s()
        fingerprint = report.fingerprint
        before = self._table.get_strikes(fingerprint, now_s)
        probe = self._table.get_probe(fingerprint, now_s)
        self._table.apply_report(report, now_s)
        strikes = self._table.get_strikes(fingerprint, now_s)
        if strikes != before:
            _log.info(
                "crash_report_applied",
                extra={
                    "kind": report.kind.value,
                    "run": report.run,
                    "upstream": report.upstream,
                    "fingerprint": fingerprint,
                    "strikes": strikes,
                },
            )
        if report.kind is CrashReportKind.PROBE and probe in self._own_probes:
            self._defend_probe(report, probe)

    def get_reports(self) -> Iterable[CrashReport]:
        """Yields the reports that tell a new gateway of all strikes."""
        return self._table.get_reports(get_elapsed_s())

    def _withdraw_probe(self, fingerprint: Fingerprint, run: str) -> None:
        self._own_probes.discard(run)
        now_s = get_elapsed_s()
        self._post(self._table.withdraw_probe(fingerprint, run, now_s))

    def _defend_probe(self, claim: CrashReport, probe: str) -> None:
        """Repeats a claim to a gateway that has not heard of it."""
        now_s = get_elapsed_s()
        if claim.run != probe and self._table.holds_probe(
            claim.fingerprint, probe, now_s
        ):
            self._post(
                CrashReport(CrashReportKind.PROBE, claim.fingerprint, probe)
            )

    def _record_end(
        self, fingerprint: Fingerprint, run: str, answered: bool
    ) -> None:
        self._own_probes.discard(run)
        report = self._table.record_end(
            fingerprint, run, answered, get_elapsed_s()
        )
        if report is not None:
            self._post(report)

    async def _confirm_crash(
        self, fingerprint: Fingerprint, run: str, upstream: Upstream
    ) -> None:
        try:
            channel = await open_channel(
                upstream.entry.address, CONFIRM_TIMEOUT_S
            )
        except ConnectionLostError:
            self._add_strike(fingerprint, run, upstream)
            return
        channel.abort()
        self._record_end(fingerprint, run, False)
        _log.info(
            "upstream_not_crashed",
            extra={
                "run": run,
                "upstream": upstream.id,
                "fingerprint": fingerprint,
            },
        )

    def _add_strike(
        self, fingerprint: Fingerprint, run: str, upstream: Upstream
    ) -> None:
        now_s = get_elapsed_s()
        self._own_probes.discard(run)
        report = self._table.record_crash(
            fingerprint, run, upstream.incarnation, now_s
        )
        _log.warning(
            "upstream_crashed",
            extra={
                "run": run,
                "upstream": upstream.id,
                "fingerprint": fingerprint,
                "strikes": self._table.get_strikes(fingerprint, now_s),
            },
        )
        self._post(report)


def make_fingerprint(admitted: AdmittedRequest) -> Fingerprint:
    """Makes a hash of a request's workspace, path and body, without its id."""
    workspace = admitted.workspace
    name = workspace.name if workspace else ""
    path = admitted.request.target.decode("ascii")
    return get_fingerprint(
        WorkspaceId(f"{name}\0{path}"), admitted.request.body
    )

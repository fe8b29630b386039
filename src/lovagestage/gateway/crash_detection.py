"""Keeps requests that crash their upstreams from being retried endlessly."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from lovagestage.adapters.http1 import open_channel
from lovagestage.decisions.crash_suspects import (
    STRIKES_TO_PROBE,
    Admission,
    SuspectTable,
    get_fingerprint,
)
from lovagestage.exceptions import ConnectionLostError
from lovagestage.gateway.admission import AdmittedRequest
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.upstream import Upstream
from lovagestage.messages.crashes import CrashReport
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
    """

    def __init__(self, post: Callable[[CrashReport], None]) -> None:
        self._table = SuspectTable()
        self._post = post
        self._tasks: set[asyncio.Task[None]] = set()

    def admit(self, fingerprint: Fingerprint) -> Admission:
        """Returns whether a request may run now, and whether as a probe."""
        return self._table.admit(fingerprint, get_elapsed_s())

    def start_probe(self, fingerprint: Fingerprint, run: str) -> None:
        """Records and reports that a suspect request runs alone as a probe."""
        report = self._table.start_probe(fingerprint, run, get_elapsed_s())
        self._post(report)

    def check_for_crash(
        self, fingerprint: Fingerprint, run: str, upstream: Upstream
    ) -> None:
        """Checks whether the upstream crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            run: Name of the attempt.
            upstream: The upstream whose connection was lost.
        """
        task = asyncio.get_running_loop().create_task(
            self._confirm_crash(fingerprint, run, upstream)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_answered(self, fingerprint: Fingerprint, run: str) -> None:
        """Clears a request that an upstream has answered."""
        now_s = get_elapsed_s()
        report = self._table.record_end(fingerprint, run, True, now_s)
        if report is not None:
            self._post(report)

    def on_report(self, report: CrashReport) -> None:
        """Applies another gateway's report."""
        now_s = get_elapsed_s()
        self._table.apply_report(report, now_s)
        _log.info(
            "crash_report_applied",
            extra={
                "kind": report.kind.value,
                "run": report.run,
                "fingerprint": report.fingerprint,
                "strikes": self._table.get_strikes(report.fingerprint, now_s),
            },
        )

    async def _confirm_crash(
        self, fingerprint: Fingerprint, run: str, upstream: Upstream
    ) -> None:
        try:
            channel = await open_channel(
                upstream.entry.address, CONFIRM_TIMEOUT_S
            )
        except ConnectionLostError:
            self._add_strike(fingerprint, run, upstream)
        else:
            channel.abort()
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
        # With this number of strikes before this one, the run was the request's
        # probe, or it began in the moment before the last strike was
        # confirmed.
        strikes = self._table.get_strikes(fingerprint, now_s)
        is_final_strike = strikes >= STRIKES_TO_PROBE
        report = self._table.record_crash(
            fingerprint, run, is_final_strike, now_s
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

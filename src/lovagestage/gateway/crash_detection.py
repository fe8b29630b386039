"""Keeps requests and parts that crash upstreams from being run endlessly."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from collections.abc import Callable, Coroutine, Iterable

import xxhash

from lovagestage.adapters.http1 import open_channel
from lovagestage.decisions.crash_admission import Admission
from lovagestage.decisions.crash_records import CLAIM_SETTLE_S
from lovagestage.decisions.crash_suspects import (
    SuspectTable,
    get_fingerprint,
)
from lovagestage.decisions.part_blame import PartChange, PartVerdict
from lovagestage.exceptions import UpstreamConnectionError
from lovagestage.gateway.admission import AdmittedRequest
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.messages import CallerRequest
from lovagestage.gateway.upstream import Upstream
from lovagestage.messages.crashes import CrashReport, CrashReportKind
from lovagestage.types import Fingerprint, PartId, WorkspaceId

_log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 0.5
"""Time in seconds within which an upstream must accept a new connection after
it broke one. An upstream that does not has crashed; one that only reset a
connection accepts the next one immediately."""
DROPPED_RUN_CHECK_S = 0.2
"""Time in seconds after a run was dropped at which it is checked whether its
upstream has crashed by it. An answer that was begun crashes it at once."""
CLEAR_SPREAD_S = 1.0
"""Time in seconds over which gateways spread their reports that a suspected
part was answered. All of them may have such an answer at one moment, and one
report is enough."""
MAX_PART_ID_LENGTH = 16
"""Length from which the hash of a part is hashed again for the reports."""
MAX_PARTS = 256
"""Maximum number of parts of one request that are watched, the first ones."""
Parts = tuple[PartId, ...]


def _ignore_change(change: PartChange) -> None:
    """Does nothing with a change of what is known of parts."""


class SuspectWatch:
    """Distinguishes crashes from lost connections and reports the crashes.

    A lost connection alone counts as no strike: network links fail, and then
    all requests of the VM would be suspected.

    Args:
        post: Sends a report to the other gateways.
        has_peers: Returns whether there are other gateways.
        on_part_change: Called with each change of what is known of parts.
    """

    def __init__(
        self,
        post: Callable[[CrashReport], None],
        has_peers: Callable[[], bool],
        on_part_change: Callable[[PartChange], None] = _ignore_change,
    ) -> None:
        self._table = SuspectTable()
        self._post = post
        self._has_peers = has_peers
        self._on_part_change = on_part_change
        self._own_probes: dict[str, CrashReport] = {}
        self._answered_elsewhere: set[PartId] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._table)

    @property
    def part_count(self) -> int:
        """Number of parts of prompts that are suspected."""
        return self._table.part_count

    @property
    def conviction_count(self) -> int:
        """Number of convicted parts, or sets of them."""
        return self._table.count_convictions(get_elapsed_s())

    def admit(self, fingerprint: Fingerprint, parts: Parts = ()) -> Admission:
        """Returns whether a request may run now, and whether as a probe."""
        admission = self._table.admit(fingerprint, get_elapsed_s(), parts)
        self._tell_part_changes()
        return admission

    async def claim_probe(
        self, fingerprint: Fingerprint, run: str, parts: Parts = ()
    ) -> bool:
        """Claims that a suspect request runs alone, over all gateways.

        Without the claim, copies of a request that arrive at several gateways
        at one moment would each be run as a probe.

        Returns:
            Whether the run may start; otherwise another one is the probe, and
            the next claim needs another name.
        """
        report = self._table.start_probe(
            fingerprint, run, get_elapsed_s(), parts
        )
        self._own_probes[run] = report
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
                "parts": ",".join(report.parts),
            },
        )
        return has_won

    def is_probe(self, run: str) -> bool:
        """Returns whether a run of this gateway is a probe."""
        return run in self._own_probes

    def check_for_crash(
        self,
        fingerprint: Fingerprint,
        run: str,
        upstream: Upstream,
        parts: Parts = (),
        is_answered: bool = False,
    ) -> None:
        """Checks whether the upstream crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            run: Name of the attempt.
            upstream: The upstream whose connection was lost.
            parts: Parts of the request's prompt that others may share.
            is_answered: Whether the answer is whole unless it has crashed.
        """
        self._table.start_check(
            fingerprint, run, upstream.incarnation, get_elapsed_s(), parts
        )
        self._start(
            self._confirm_crash(fingerprint, run, upstream, parts, is_answered)
        )

    def check_dropped_run(
        self,
        fingerprint: Fingerprint,
        run: str,
        upstream: Upstream,
        parts: Parts,
    ) -> None:
        """Checks a run that was dropped once its answer had begun.

        While nothing is suspected, this costs no connection.
        """
        if not len(self._table):
            return
        self._table.start_check(
            fingerprint, run, upstream.incarnation, get_elapsed_s(), parts
        )
        self._start(
            self._confirm_crash(
                fingerprint, run, upstream, parts, False, DROPPED_RUN_CHECK_S
            )
        )

    def record_answered(
        self, fingerprint: Fingerprint, run: str, parts: Parts = ()
    ) -> None:
        """Records that an upstream has answered a request with success."""
        self._record_end(fingerprint, run, True, parts)

    def record_ended(
        self, fingerprint: Fingerprint, run: str, parts: Parts = ()
    ) -> None:
        """Records that a run has ended in any other way.

        A run whose upstream is being checked ends with the result of the check.
        """
        if not self._table.is_checked(fingerprint, run):
            self._record_end(fingerprint, run, False, parts)

    def on_report(self, report: CrashReport) -> None:
        """Applies another gateway's report."""
        now_s = get_elapsed_s()
        fingerprint = report.fingerprint
        before = self._table.get_strikes(fingerprint, now_s)
        probes = self._table.get_probes(fingerprint, now_s, report.parts)
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
                    "parts": ",".join(report.parts),
                },
            )
        self._tell_part_changes()
        if report.kind is CrashReportKind.PROBE:
            self._defend_probes(report, probes)
        elif report.kind is CrashReportKind.CLEARED and self._tasks:
            self._answered_elsewhere.update(report.parts)
        rebuttal = self._table.make_rebuttal(report, now_s)
        if rebuttal is not None:
            self._start(self._post_later(rebuttal))

    def get_reports(self) -> Iterable[CrashReport]:
        """Yields the reports that tell a new gateway of all strikes."""
        return self._table.get_reports(get_elapsed_s())

    def _withdraw_probe(self, fingerprint: Fingerprint, run: str) -> None:
        self._own_probes.pop(run, None)
        now_s = get_elapsed_s()
        self._post(self._table.withdraw_probe(fingerprint, run, now_s))

    def _defend_probes(self, claim: CrashReport, probes: Iterable[str]) -> None:
        """Repeats claims to a gateway that has not heard of them."""
        now_s = get_elapsed_s()
        for run in probes:
            own = self._own_probes.get(run)
            if (
                own is not None
                and claim.run != run
                and self._table.holds_probe(own.fingerprint, run, now_s)
            ):
                self._post(own)

    def _record_end(
        self,
        fingerprint: Fingerprint,
        run: str,
        answered: bool,
        parts: Parts = (),
    ) -> None:
        is_probe = self._own_probes.pop(run, None) is not None
        now_s = get_elapsed_s()
        has_strikes = self._table.get_strikes(fingerprint, now_s) > 0
        report = self._table.record_end(
            fingerprint, run, answered, now_s, parts
        )
        self._tell_part_changes()
        if report is None:
            return
        if is_probe or has_strikes or not self._has_peers():
            self._post(report)
        else:
            self._start(self._post_later(report))

    async def _post_later(self, report: CrashReport) -> None:
        """Reports an answer on suspected parts unless another gateway does."""
        await asyncio.sleep(random.uniform(0.0, CLEAR_SPREAD_S))
        if not self._answered_elsewhere.issuperset(report.parts):
            self._post(report)

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not self._tasks:
            self._answered_elsewhere.clear()

    def _tell_part_changes(self) -> None:
        for change in self._table.take_part_changes():
            self._on_part_change(change)
            if change.verdict is not PartVerdict.STRUCK:
                _log.warning(
                    "part_judged",
                    extra={
                        "verdict": change.verdict.value,
                        "parts": ",".join(change.parts),
                        "crashes": change.crashes,
                    },
                )

    async def _confirm_crash(
        self,
        fingerprint: Fingerprint,
        run: str,
        upstream: Upstream,
        parts: Parts,
        is_answered: bool,
        delay_s: float = 0.0,
    ) -> None:
        await asyncio.sleep(delay_s)
        try:
            channel = await open_channel(
                upstream.entry.address, CONFIRM_TIMEOUT_S
            )
        except UpstreamConnectionError:
            self._add_strike(fingerprint, run, upstream, parts)
            return
        channel.abort()
        self._record_end(fingerprint, run, is_answered, parts)
        _log.info(
            "upstream_not_crashed",
            extra={
                "run": run,
                "upstream": upstream.id,
                "fingerprint": fingerprint,
            },
        )

    def _add_strike(
        self,
        fingerprint: Fingerprint,
        run: str,
        upstream: Upstream,
        parts: Parts,
    ) -> None:
        now_s = get_elapsed_s()
        self._own_probes.pop(run, None)
        report = self._table.record_crash(
            fingerprint, run, upstream.incarnation, now_s, parts
        )
        _log.warning(
            "upstream_crashed",
            extra={
                "run": run,
                "upstream": upstream.id,
                "fingerprint": fingerprint,
                "strikes": self._table.get_strikes(fingerprint, now_s),
                "parts": ",".join(report.parts),
            },
        )
        self._tell_part_changes()
        self._post(report)


def make_parts(request: CallerRequest) -> Parts:
    """Returns the parts of a prompt that other requests may share.

    The last one belongs to the request itself, or to its session.
    """
    hashes = dict.fromkeys(
        segment.text_hash for segment in request.prompt_segments[:-1]
    )
    return tuple(
        PartId(
            text_hash
            if len(text_hash) <= MAX_PART_ID_LENGTH
            else xxhash.xxh3_64_hexdigest(text_hash.encode())
        )
        for text_hash in itertools.islice(hashes, MAX_PARTS)
    )


def make_fingerprint(admitted: AdmittedRequest) -> Fingerprint:
    """Makes a hash of a request's workspace, path and body, without its id."""
    workspace = admitted.workspace
    name = workspace.name if workspace else ""
    path = admitted.request.target.decode("ascii")
    return get_fingerprint(
        WorkspaceId(f"{name}\0{path}"), admitted.request.body
    )

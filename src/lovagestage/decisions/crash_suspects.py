"""Detects requests, and parts of prompts, that crash each upstream.

A request is identified by its fingerprint, whatever its id and whichever entry
receives it, and a part of its prompt by the hash of its text. When an upstream
crashes, each request in flight there gets a strike for it, and so does each of
its parts that no whole answer has cleared lately. One strike changes nothing:
the others in flight were there by chance. A request that has two strikes, or
holds a part with two, runs only as a probe, one at a time for each suspect over
all entries. If the upstream crashes again, the probed request is convicted and
refused from then on. Its parts are accused, and convicted if other requests
bear witness against them: see `part_verdicts`.

Entries send one another a report of each strike, probe and answer, in no order
that can be relied on, and each of them decides by what it knows. A strike is
identified by the upstream process that crashed, so reports that arrive late,
twice or out of order lead to the same verdict, and several copies of a request
at one upstream get a single strike.

A crash that a convicted request explains convicts no other request that was
there, unless that one was in flight at as many crashes. The other one still
runs as a probe until it is answered, as the convicted one may be innocent. A
crash that convicted parts explain holds back nobody else.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

from collections.abc import Iterator

import xxhash

from lovagestage.decisions.crash_admission import Admission
from lovagestage.decisions.crash_history import make_rebuttal, make_reports
from lovagestage.decisions.crash_records import (
    CONVICTION_RETENTION_S,
    STRIKES_TO_PROBE,
    SUSPECT_RETENTION_S,
    Suspect,
)
from lovagestage.decisions.part_blame import PartBlame, PartChange
from lovagestage.decisions.request_suspects import RequestSuspects
from lovagestage.messages.crashes import CrashReport, CrashReportKind
from lovagestage.types import Fingerprint, PartId, WorkspaceId

MAX_UPSTREAMS_LOST = STRIKES_TO_PROBE + 1
"""Number of upstreams that one request crashes if it is sent repeatedly, over
all entries that receive each other's reports."""


Parts = tuple[PartId, ...]


def get_fingerprint(workspace: WorkspaceId, body: bytes) -> Fingerprint:
    """Returns the hash that identifies a request by workspace and body."""
    digest = xxhash.xxh3_128(workspace.encode() + b"\0")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class SuspectTable:
    """State, at one entry, of requests and parts that were there at a crash.

    The table is bounded. At the limit it drops the suspect that expires first,
    and those that crashed a probe's upstream only if there are no others.
    """

    def __init__(self) -> None:
        self._requests = RequestSuspects()
        self._blame = PartBlame(self._requests.get_upstreams)

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def part_count(self) -> int:
        """Number of parts that are suspected."""
        return len(self._blame)

    def count_convictions(self, now_s: float) -> int:
        """Returns the number of sets of parts that are convicted."""
        return len(self._blame.get_convictions(now_s))

    def take_part_changes(self) -> list[PartChange]:
        """Returns what has become known of parts since the last call.

        Convictions become known when a request is admitted next.
        """
        return self._blame.take_changes()

    def get_strikes(self, fingerprint: Fingerprint, now_s: float) -> int:
        """Returns the number of crashes at which the request was in flight."""
        suspect = self._requests.get(fingerprint, now_s)
        return 0 if suspect is None else len(suspect.strikes)

    def admit(
        self,
        fingerprint: Fingerprint,
        now_s: float,
        parts: Parts = (),
    ) -> Admission:
        """Returns how the request may run now.

        Args:
            fingerprint: Fingerprint of the request.
            now_s: Monotonic time in seconds.
            parts: Parts of its prompt that other requests may share.
        """
        suspect = self._requests.get(fingerprint, now_s)
        convictions = self._blame.get_convictions(now_s)
        held = frozenset(parts) if convictions else frozenset()
        if suspect is not None and self._is_convicted(suspect, held):
            return Admission.REFUSE
        if any(conviction.parts <= held for conviction in convictions):
            return Admission.REFUSE_PARTS
        suspects = []
        for bearer in self._get_bearers(fingerprint, parts, now_s):
            strikes = self._get_unexplained(bearer)
            unchecked = set(bearer.checks.values()) - bearer.strikes.keys()
            if unchecked and len(strikes) + len(unchecked) >= STRIKES_TO_PROBE:
                return Admission.WAIT
            if len(strikes) >= STRIKES_TO_PROBE:
                suspects.append(bearer)
        if not suspects:
            return Admission.FREE
        if any(bearer.has_probe(now_s) for bearer in suspects):
            return Admission.WAIT
        return Admission.PROBE

    def start_probe(
        self,
        fingerprint: Fingerprint,
        run: str,
        now_s: float,
        parts: Parts = (),
    ) -> CrashReport:
        """Claims a probe; returns the report for the other entries.

        The claim covers the request and each of its parts that is suspected.
        The run may start after `CLAIM_SETTLE_S` if it holds the probe of all of
        them then.
        """
        claimed = self._get_suspected(parts, now_s)
        kind = CrashReportKind.PROBE
        report = CrashReport(kind, fingerprint, run, "", claimed)
        return self._apply_own_report(report, now_s)

    def holds_probe(
        self, fingerprint: Fingerprint, run: str, now_s: float
    ) -> bool:
        """Returns whether a run is the only probe of all that it claimed."""
        suspect = self._requests.get(fingerprint, now_s)
        if suspect is None:
            return False
        claimed = suspect.probes.get(run, ())
        return all(
            bearer.probe == run and bearer.has_probe(now_s)
            for bearer in self._get_bearers(fingerprint, claimed, now_s)
        )

    def withdraw_probe(
        self, fingerprint: Fingerprint, run: str, now_s: float
    ) -> CrashReport:
        """Withdraws the claim of a probe; returns the report for the others.

        A copy of the claim that arrives later then holds no probe. The run may
        not claim one again under this name.
        """
        return self._apply_own_report(
            self._make_probe_end(fingerprint, run, now_s), now_s
        )

    def get_probes(
        self,
        fingerprint: Fingerprint,
        now_s: float,
        parts: Parts = (),
    ) -> set[str]:
        """Returns the runs that probe a request or one of the parts."""
        return {
            bearer.probe
            for bearer in self._get_bearers(fingerprint, parts, now_s)
            if bearer.has_probe(now_s)
        }

    def start_check(
        self,
        fingerprint: Fingerprint,
        run: str,
        upstream: str,
        now_s: float,
        parts: Parts = (),
    ) -> None:
        """Records that a run was lost, perhaps by a crash of its upstream."""
        suspect = self._requests.get_or_add(fingerprint, now_s)
        suspect.checks[run] = upstream
        for part in self._blame.filter_uncleared(parts, now_s):
            self._blame.get_or_add(part, now_s).checks[run] = upstream

    def is_checked(self, fingerprint: Fingerprint, run: str) -> bool:
        """Returns whether it is being checked how a run was lost."""
        suspect = self._requests.peek(fingerprint)
        return suspect is not None and run in suspect.checks

    def record_crash(
        self,
        fingerprint: Fingerprint,
        run: str,
        upstream: str,
        now_s: float,
        parts: Parts = (),
    ) -> CrashReport:
        """Records that an upstream crashed while it ran the request.

        Args:
            fingerprint: Fingerprint of the request.
            run: Id of the attempt.
            upstream: Name of the upstream process, different for each start.
            now_s: Monotonic time in seconds.
            parts: Parts of the request's prompt that others may share.

        Returns:
            The report for the other entries.
        """
        suspect = self._requests.get(fingerprint, now_s)
        is_probe = suspect is not None and run in suspect.probes
        report = CrashReport(
            CrashReportKind.CONVICTED if is_probe else CrashReportKind.STRIKE,
            fingerprint,
            run,
            upstream,
            self._blame.choose_reported(parts, now_s),
        )
        self._end_run(fingerprint, run, parts, now_s)
        return self._apply_own_report(report, now_s)

    def record_end(
        self,
        fingerprint: Fingerprint,
        run: str,
        answered: bool,
        now_s: float,
        parts: Parts = (),
    ) -> CrashReport | None:
        """Records the end of a run without a crash.

        An answer takes back strikes, unless the request is convicted, and
        clears the parts.

        Returns:
            The report for the other entries; None if the request is no suspect
            and holds none, or nothing changes.
        """
        suspect = self._requests.get(fingerprint, now_s)
        told = self._blame.get_told(parts, now_s) if answered else ()
        report = None
        if told or (answered and suspect is not None and suspect.strikes):
            kind = CrashReportKind.CLEARED
            report = CrashReport(kind, fingerprint, run, "", told)
        elif suspect is not None and suspect.probe == run:
            report = self._make_probe_end(fingerprint, run, now_s)
        if answered:
            self._blame.clear(parts, now_s)
        self._remove_check(fingerprint, run, parts, now_s)
        if report is not None:
            self.apply_report(report, now_s)
        return report

    def apply_report(self, report: CrashReport, now_s: float) -> None:
        """Applies a report of this or another entry; repeats have no effect."""
        fingerprint = report.fingerprint
        match report.kind:
            case CrashReportKind.STRIKE | CrashReportKind.CONVICTED:
                self._add_strike(report, now_s)
            case CrashReportKind.PROBE:
                self._claim_probe(report, now_s)
            case CrashReportKind.PROBE_ENDED:
                self._end_run(fingerprint, report.run, report.parts, now_s)
            case CrashReportKind.CLEARED:
                self._blame.clear(report.parts, now_s)
                self._add_answer(fingerprint, report.run, now_s)

    def make_rebuttal(
        self, report: CrashReport, now_s: float
    ) -> CrashReport | None:
        """Returns the report that accused parts were answered here, if any."""
        return make_rebuttal(report, self._blame, now_s)

    def get_reports(self, now_s: float) -> Iterator[CrashReport]:
        """Yields the reports from which a new entry learns of all strikes.

        Those of convicted requests come first, then those that bear witness
        against convicted parts.
        """
        return make_reports(self._requests, self._blame, now_s)

    def _get_bearers(
        self, fingerprint: Fingerprint, parts: Parts, now_s: float
    ) -> list[Suspect]:
        """Returns what is known of a request and of its suspected parts."""
        bearers = [s for _, s in self._blame.get_suspects(parts, now_s)]
        suspect = self._requests.get(fingerprint, now_s)
        return bearers if suspect is None else [*bearers, suspect]

    def _is_convicted(
        self, suspect: Suspect, held: frozenset[PartId] = frozenset()
    ) -> bool:
        explained = self._requests.get_explained(suspect)
        explained |= self._blame.get_explained(suspect, held)
        return bool(suspect.probe_strikes - explained)

    def _get_suspected(self, parts: Parts, now_s: float) -> Parts:
        return tuple(
            part
            for part, suspect in self._blame.get_suspects(parts, now_s)
            if len(self._get_unexplained(suspect)) >= STRIKES_TO_PROBE
        )

    def _get_unexplained(self, bearer: Suspect) -> set[str]:
        return set(bearer.strikes) - self._blame.get_explained(bearer)

    def _make_probe_end(
        self, fingerprint: Fingerprint, run: str, now_s: float
    ) -> CrashReport:
        suspect = self._requests.get(fingerprint, now_s)
        claimed = () if suspect is None else suspect.probes.get(run, ())
        kind = CrashReportKind.PROBE_ENDED
        return CrashReport(kind, fingerprint, run, "", claimed)

    def _claim_probe(self, report: CrashReport, now_s: float) -> None:
        fingerprint = report.fingerprint
        suspect = self._requests.get_or_add(fingerprint, now_s)
        suspect.claim_probe(report.run, now_s, report.parts)
        for part in self._blame.filter_uncleared(report.parts, now_s):
            self._blame.get_or_add(part, now_s).claim_probe(report.run, now_s)

    def _remove_check(
        self,
        fingerprint: Fingerprint,
        run: str,
        parts: Parts,
        now_s: float,
    ) -> None:
        suspect = self._requests.get(fingerprint, now_s)
        if suspect is not None:
            suspect.checks.pop(run, None)
        for _, part in self._blame.get_suspects(parts, now_s):
            part.checks.pop(run, None)

    def _end_run(
        self,
        fingerprint: Fingerprint,
        run: str,
        parts: Parts,
        now_s: float,
    ) -> None:
        """Ends a run at its request, the given parts, and those it claimed."""
        suspect = self._requests.get(fingerprint, now_s)
        claimed: Parts = ()
        if suspect is not None:
            claimed = suspect.probes.get(run, ())
            suspect.end_run(run)
        for _, part in self._blame.get_suspects({*parts, *claimed}, now_s):
            part.end_run(run)

    def _add_strike(self, report: CrashReport, now_s: float) -> None:
        fingerprint = report.fingerprint
        suspect = self._requests.get_or_add(fingerprint, now_s)
        is_probe = report.kind is CrashReportKind.CONVICTED
        # Entries of earlier releases name no upstream.
        upstream = report.upstream or report.run
        suspect.add_strike(upstream, fingerprint, is_probe, report.parts)
        self._blame.add_strike(
            report.parts, fingerprint, upstream, is_probe, now_s
        )
        self._end_run(fingerprint, report.run, report.parts, now_s)
        retention_s = SUSPECT_RETENTION_S
        if suspect.probe_strikes:
            self._requests.probe_crashers.add(fingerprint)
            retention_s = CONVICTION_RETENTION_S
        suspect.expires_s = max(suspect.expires_s, now_s + retention_s)

    def _add_answer(
        self, fingerprint: Fingerprint, run: str, now_s: float
    ) -> None:
        suspect = self._requests.get(fingerprint, now_s)
        if suspect is None:
            return
        is_repeat = run in suspect.ended
        self._end_run(fingerprint, run, (), now_s)
        if is_repeat or self._is_convicted(suspect):
            return
        suspect.take_back_strikes()
        if not suspect.probe_strikes:
            self._requests.probe_crashers.discard(fingerprint)

    def _apply_own_report(
        self, report: CrashReport, now_s: float
    ) -> CrashReport:
        self.apply_report(report, now_s)
        return report

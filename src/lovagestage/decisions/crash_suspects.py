"""Detects requests that crash each upstream that runs them.

A request is identified by its fingerprint, whatever its id and whichever entry
receives it. When an upstream crashes, each request in flight there gets a
strike for it. One strike changes nothing: the others in flight were there by
chance. A request with two strikes runs only as a probe, one copy at a time over
all entries. If the upstream crashes again, the probed request is convicted and
refused from then on.

Entries send one another a report of each strike, probe and answer, in no order
that can be relied on, and each of them decides by what it knows. A strike is
identified by the upstream process that crashed, so reports that arrive late,
twice or out of order lead to the same verdict, and several copies of a request
at one upstream get a single strike.

A crash that a convicted request explains convicts no other request that was
there, unless that one was in flight at as many crashes. The other one still
runs as a probe until it is answered: the convicted request may be the innocent
one.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator

import xxhash

from lovagestage.messages.crashes import CrashReport, CrashReportKind
from lovagestage.types import Fingerprint, WorkspaceId

STRIKES_TO_PROBE = 2
"""Number of strikes from which a request runs only as a probe."""
MAX_UPSTREAMS_LOST = STRIKES_TO_PROBE + 1
"""Number of upstreams that one request crashes if it is sent repeatedly, over
all entries that receive each other's reports."""
SUSPECT_RETENTION_S = 600.0
"""Seconds after its last report for which a suspect is retained."""
CONVICTION_RETENTION_S = 3_600.0
"""Seconds for which a conviction is retained."""
PROBE_TIMEOUT_S = 30.0
"""Seconds after which a new probe may start if the end of the last probe was
not reported, because the entry that made it has ended."""
CLAIM_SETTLE_S = 0.1
"""Seconds from the claim of a probe to its start. Claims of other entries that
are made at the same moment arrive within this time, and one of them wins."""
MAX_SUSPECTS = 10_000
"""Maximum number of suspects in the table of one entry."""
MAX_REMEMBERED = 64
"""Maximum number of ended runs, and of strikes that were taken back, which are
remembered of a suspect, so that late reports of them change nothing."""


class Admission(enum.Enum):
    """Way in which a request may run."""

    FREE = "free"
    PROBE = "probe"
    WAIT = "wait"
    """Another copy of the request is being probed, or it is being checked
    whether the upstreams of lost runs have crashed."""
    REFUSE = "refuse"


@dataclasses.dataclass
class _Suspect:
    """What is known of one request.

    Attributes:
        strikes: The upstream processes that crashed with it in flight, in the
            order of the reports.
        probe_strikes: Those that crashed while it ran as a probe.
        taken_back: Strikes that an answer has taken back.
        checks: Upstream process by run, for runs that were lost at this entry
            and of which it is not known yet whether the upstream has crashed.
        ended: Runs that have ended.
        probes: Runs that were the request's probe.
        probe: The run that probes the request; empty without one.
        probe_from_s: Monotonic time in seconds of the probe's claim.
        expires_s: Monotonic time in seconds until which this is retained.
    """

    strikes: dict[str, None] = dataclasses.field(default_factory=dict)
    probe_strikes: set[str] = dataclasses.field(default_factory=set)
    taken_back: dict[str, None] = dataclasses.field(default_factory=dict)
    checks: dict[str, str] = dataclasses.field(default_factory=dict)
    ended: dict[str, None] = dataclasses.field(default_factory=dict)
    probes: dict[str, None] = dataclasses.field(default_factory=dict)
    probe: str = ""
    probe_from_s: float = 0.0
    expires_s: float = 0.0

    def has_probe(self, now_s: float) -> bool:
        """Returns whether a probe is running or claimed."""
        return bool(self.probe) and now_s < self.probe_from_s + PROBE_TIMEOUT_S

    def claim_probe(self, run: str, now_s: float) -> None:
        """Records the claim of a probe, unless another one precedes it."""
        if run in self.ended or run == self.probe:
            return
        if self.has_probe(now_s):
            is_settled = now_s - self.probe_from_s >= CLAIM_SETTLE_S
            if is_settled or self.probe < run:
                return
            self.probes.pop(self.probe, None)
        _remember(self.probes, run)
        self.probe, self.probe_from_s = run, now_s

    def end_run(self, run: str) -> None:
        """Records that a run has ended."""
        _remember(self.ended, run)
        self.checks.pop(run, None)
        if self.probe == run:
            self.probe = ""

    def add_strike(self, upstream: str, is_probe: bool) -> None:
        """Adds a strike that was not taken back before."""
        if upstream in self.taken_back:
            return
        self.strikes[upstream] = None
        if is_probe:
            self.probe_strikes.add(upstream)

    def take_back_strikes(self) -> None:
        """Takes back all strikes but the newest, or a single one.

        The newest is kept for a request that is answered between two crashes.
        """
        names = list(self.strikes)
        for upstream in names[:-1] or names:
            del self.strikes[upstream]
            self.probe_strikes.discard(upstream)
            _remember(self.taken_back, upstream)


def _remember(names: dict[str, None], name: str) -> None:
    names[name] = None
    while len(names) > MAX_REMEMBERED:
        del names[next(iter(names))]


def get_fingerprint(workspace: WorkspaceId, body: bytes) -> Fingerprint:
    """Returns the hash that identifies a request by workspace and body."""
    digest = xxhash.xxh3_128(workspace.encode() + b"\0")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class SuspectTable:
    """State, at one entry, of requests that were in flight at a crash.

    The table is bounded. At the limit it drops the suspect that expires first,
    and those that crashed a probe's upstream only if there are no others.
    """

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._probe_crashers: set[Fingerprint] = set()

    def __len__(self) -> int:
        return len(self._suspects)

    def get_strikes(self, fingerprint: Fingerprint, now_s: float) -> int:
        """Returns the number of crashes at which the request was in flight."""
        suspect = self._get(fingerprint, now_s)
        return 0 if suspect is None else len(suspect.strikes)

    def admit(self, fingerprint: Fingerprint, now_s: float) -> Admission:
        """Returns how the request may run now."""
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return Admission.FREE
        if suspect.probe_strikes - self._get_explained(suspect):
            return Admission.REFUSE
        strikes = len(suspect.strikes)
        unchecked = set(suspect.checks.values()) - suspect.strikes.keys()
        if unchecked and strikes + len(unchecked) >= STRIKES_TO_PROBE:
            return Admission.WAIT
        if strikes < STRIKES_TO_PROBE:
            return Admission.FREE
        return Admission.WAIT if suspect.has_probe(now_s) else Admission.PROBE

    def start_probe(
        self, fingerprint: Fingerprint, run: str, now_s: float
    ) -> CrashReport:
        """Claims a probe; returns the report for the other entries.

        The run may start after `CLAIM_SETTLE_S` if it holds the probe then.
        """
        return self._apply_own_report(
            CrashReport(CrashReportKind.PROBE, fingerprint, run), now_s
        )

    def holds_probe(
        self, fingerprint: Fingerprint, run: str, now_s: float
    ) -> bool:
        """Returns whether a run is the request's only probe."""
        suspect = self._get(fingerprint, now_s)
        return (
            suspect is not None
            and suspect.probe == run
            and suspect.has_probe(now_s)
        )

    def withdraw_probe(
        self, fingerprint: Fingerprint, run: str, now_s: float
    ) -> CrashReport:
        """Withdraws the claim of a probe; returns the report for the others.

        A copy of the claim that arrives later then holds no probe. The run may
        not claim one again under this name.
        """
        return self._apply_own_report(
            CrashReport(CrashReportKind.PROBE_ENDED, fingerprint, run), now_s
        )

    def get_probe(self, fingerprint: Fingerprint, now_s: float) -> str:
        """Returns the run that probes a request; empty without one."""
        suspect = self._get(fingerprint, now_s)
        if suspect is None or not suspect.has_probe(now_s):
            return ""
        return suspect.probe

    def start_check(
        self, fingerprint: Fingerprint, run: str, upstream: str, now_s: float
    ) -> None:
        """Records that a run was lost, perhaps by a crash of its upstream."""
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            suspect = self._add(fingerprint, now_s)
        suspect.checks[run] = upstream

    def is_checked(self, fingerprint: Fingerprint, run: str) -> bool:
        """Returns whether it is being checked how a run was lost."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and run in suspect.checks

    def record_crash(
        self, fingerprint: Fingerprint, run: str, upstream: str, now_s: float
    ) -> CrashReport:
        """Records that an upstream crashed while it ran the request.

        Args:
            fingerprint: Fingerprint of the request.
            run: Id of the attempt.
            upstream: Name of the upstream process, different for each start.
            now_s: Monotonic time in seconds.

        Returns:
            The report for the other entries.
        """
        suspect = self._get(fingerprint, now_s)
        is_probe = suspect is not None and run in suspect.probes
        return self._apply_own_report(
            CrashReport(
                CrashReportKind.CONVICTED
                if is_probe
                else CrashReportKind.STRIKE,
                fingerprint,
                run,
                upstream,
            ),
            now_s,
        )

    def record_end(
        self, fingerprint: Fingerprint, run: str, answered: bool, now_s: float
    ) -> CrashReport | None:
        """Records the end of a run without a crash.

        An answer takes back strikes, unless the request is convicted.

        Returns:
            The report for the other entries; None if the request is no suspect
            or nothing changes.
        """
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return None
        suspect.checks.pop(run, None)
        if answered and suspect.strikes:
            kind = CrashReportKind.CLEARED
        elif suspect.probe == run:
            kind = CrashReportKind.PROBE_ENDED
        else:
            return None
        return self._apply_own_report(
            CrashReport(kind, fingerprint, run), now_s
        )

    def apply_report(self, report: CrashReport, now_s: float) -> None:
        """Applies a report of this or another entry; repeats have no effect."""
        fingerprint = report.fingerprint
        suspect = self._get(fingerprint, now_s)
        match report.kind:
            case CrashReportKind.STRIKE | CrashReportKind.CONVICTED:
                self._add_strike(
                    suspect or self._add(fingerprint, now_s), report, now_s
                )
            case CrashReportKind.PROBE:
                suspect = suspect or self._add(fingerprint, now_s)
                suspect.claim_probe(report.run, now_s)
            case CrashReportKind.PROBE_ENDED if suspect is not None:
                suspect.end_run(report.run)
            case CrashReportKind.CLEARED if suspect is not None:
                self._add_answer(fingerprint, suspect, report.run)

    def get_reports(self, now_s: float) -> Iterator[CrashReport]:
        """Yields the reports from which a new entry learns of all strikes.

        Those of convicted requests come first.
        """
        fingerprints = sorted(
            self._suspects, key=lambda name: name not in self._probe_crashers
        )
        for fingerprint in fingerprints:
            suspect = self._get(fingerprint, now_s)
            for upstream in () if suspect is None else suspect.strikes:
                assert suspect is not None
                yield CrashReport(
                    CrashReportKind.CONVICTED
                    if upstream in suspect.probe_strikes
                    else CrashReportKind.STRIKE,
                    fingerprint,
                    "",
                    upstream,
                )

    def _get_explained(self, suspect: _Suspect) -> set[str]:
        """Returns the strikes that other, convicted requests explain."""
        explained: set[str] = set()
        for fingerprint in self._probe_crashers:
            other = self._suspects[fingerprint]
            # With as many strikes either may be guilty. The request that causes
            # the crashes is in flight at each of them.
            if len(other.strikes) > len(suspect.strikes):
                explained |= suspect.strikes.keys() & other.strikes.keys()
        return explained

    def _add_strike(
        self, suspect: _Suspect, report: CrashReport, now_s: float
    ) -> None:
        is_probe = report.kind is CrashReportKind.CONVICTED
        # Entries of earlier releases name no upstream.
        suspect.add_strike(report.upstream or report.run, is_probe)
        suspect.end_run(report.run)
        retention_s = SUSPECT_RETENTION_S
        if suspect.probe_strikes:
            self._probe_crashers.add(report.fingerprint)
            retention_s = CONVICTION_RETENTION_S
        suspect.expires_s = max(suspect.expires_s, now_s + retention_s)

    def _add_answer(
        self, fingerprint: Fingerprint, suspect: _Suspect, run: str
    ) -> None:
        is_repeat = run in suspect.ended
        suspect.end_run(run)
        is_convicted = suspect.probe_strikes - self._get_explained(suspect)
        if is_repeat or is_convicted:
            return
        suspect.take_back_strikes()
        if not suspect.probe_strikes:
            self._probe_crashers.discard(fingerprint)

    def _apply_own_report(
        self, report: CrashReport, now_s: float
    ) -> CrashReport:
        self.apply_report(report, now_s)
        return report

    def _get(self, fingerprint: Fingerprint, now_s: float) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.expires_s <= now_s:
            self._drop(fingerprint)
            return None
        return suspect

    def _drop(self, fingerprint: Fingerprint) -> None:
        del self._suspects[fingerprint]
        self._probe_crashers.discard(fingerprint)

    def _add(self, fingerprint: Fingerprint, now_s: float) -> _Suspect:
        if len(self._suspects) >= MAX_SUSPECTS:
            self._drop(
                min(
                    self._suspects,
                    key=lambda candidate: (
                        candidate in self._probe_crashers,
                        self._suspects[candidate].expires_s,
                    ),
                )
            )
        self._suspects[fingerprint] = _Suspect(
            expires_s=now_s + SUSPECT_RETENTION_S
        )
        return self._suspects[fingerprint]

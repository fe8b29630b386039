"""Detects requests that crash each upstream that runs them.

A request is identified by its fingerprint, whatever its id and whichever entry
receives it. When an upstream crashes, each request in flight there gets a
strike. An ordinary failure gives one strike to all of these requests, so one
strike changes nothing. A request with two strikes runs only as a probe,
separately from all other requests with strikes. If the upstream crashes again,
the probed request is convicted and refused from then on. Entries send one
another a report of each strike, probe and verdict.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
import enum

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
PROBE_TIMEOUT_S = 120.0
"""Seconds after which a new probe may start if the end of the last probe was
not reported."""
MAX_SUSPECTS = 10_000
"""Maximum number of suspects in the table of one entry."""


class Admission(enum.Enum):
    """Way in which a request may run."""

    FREE = "free"
    PROBE = "probe"
    WAIT = "wait"
    """Another copy of the request is being probed."""
    REFUSE = "refuse"


@dataclasses.dataclass
class _Suspect:
    strikes: set[str] = dataclasses.field(default_factory=set)
    probe: str = ""
    probe_until_s: float = 0.0
    convicted: bool = False
    expires_s: float = 0.0


def get_fingerprint(workspace: WorkspaceId, body: bytes) -> Fingerprint:
    """Returns the hash that identifies a request by workspace and body."""
    digest = xxhash.xxh3_128(workspace.encode() + b"\0")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class SuspectTable:
    """State, at one entry, of requests that were in flight at a crash.

    The table is bounded. At the limit it drops the suspect that expires first,
    and convicted suspects only if there are no others.
    """

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def get_strikes(self, fingerprint: Fingerprint, now_s: float) -> int:
        """Returns the number of crashes at which the request was in flight."""
        suspect = self._get(fingerprint, now_s)
        return len(suspect.strikes) if suspect else 0

    def admit(self, fingerprint: Fingerprint, now_s: float) -> Admission:
        """Returns how the request may run now."""
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return Admission.FREE
        if suspect.convicted:
            return Admission.REFUSE
        if len(suspect.strikes) < STRIKES_TO_PROBE:
            return Admission.FREE
        if suspect.probe and now_s < suspect.probe_until_s:
            return Admission.WAIT
        return Admission.PROBE

    def start_probe(
        self, fingerprint: Fingerprint, run: str, now_s: float
    ) -> CrashReport:
        """Records a probe; returns the report for the other entries."""
        return self._apply_own_report(
            CrashReportKind.PROBE, fingerprint, run, now_s
        )

    def record_crash(
        self, fingerprint: Fingerprint, run: str, probe: bool, now_s: float
    ) -> CrashReport:
        """Records that an upstream crashed while it ran the request.

        Args:
            fingerprint: Fingerprint of the request.
            run: Id of the attempt, so that a report that arrives twice counts
                once.
            probe: Whether the request ran as a probe.
            now_s: Monotonic time in seconds.

        Returns:
            The report for the other entries.
        """
        kind = CrashReportKind.CONVICTED if probe else CrashReportKind.STRIKE
        return self._apply_own_report(kind, fingerprint, run, now_s)

    def record_end(
        self, fingerprint: Fingerprint, run: str, answered: bool, now_s: float
    ) -> CrashReport | None:
        """Records the end of a run without a crash.

        An answer clears the request of its strikes unless it was convicted.

        Returns:
            The report for the other entries; None if the request is no suspect
            or nothing changes.
        """
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return None
        if answered:
            return self._apply_own_report(
                CrashReportKind.CLEARED, fingerprint, run, now_s
            )
        if suspect.probe == run:
            return self._apply_own_report(
                CrashReportKind.PROBE_ENDED, fingerprint, run, now_s
            )
        return None

    def apply_report(self, report: CrashReport, now_s: float) -> None:
        """Applies a report of this or another entry; repeats have no effect."""
        fingerprint = report.fingerprint
        suspect = self._get(fingerprint, now_s)
        if report.kind is CrashReportKind.CLEARED:
            if suspect is not None and not suspect.convicted:
                del self._suspects[fingerprint]
            return
        if suspect is None:
            suspect = self._add(fingerprint, now_s)
        suspect.expires_s = max(suspect.expires_s, now_s + SUSPECT_RETENTION_S)
        match report.kind:
            case CrashReportKind.STRIKE:
                suspect.strikes.add(report.run)
            case CrashReportKind.PROBE:
                suspect.probe = report.run
                suspect.probe_until_s = now_s + PROBE_TIMEOUT_S
            case CrashReportKind.PROBE_ENDED:
                if suspect.probe == report.run:
                    suspect.probe = ""
            case CrashReportKind.CONVICTED:
                suspect.strikes.add(report.run)
                suspect.convicted = True
                suspect.expires_s = now_s + CONVICTION_RETENTION_S

    def _apply_own_report(
        self,
        kind: CrashReportKind,
        fingerprint: Fingerprint,
        run: str,
        now_s: float,
    ) -> CrashReport:
        report = CrashReport(kind, fingerprint, run)
        self.apply_report(report, now_s)
        return report

    def _get(self, fingerprint: Fingerprint, now_s: float) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.expires_s <= now_s:
            del self._suspects[fingerprint]
            return None
        return suspect

    def _add(self, fingerprint: Fingerprint, now_s: float) -> _Suspect:
        if len(self._suspects) >= MAX_SUSPECTS:
            evicted = min(
                self._suspects,
                key=lambda candidate: (
                    self._suspects[candidate].convicted,
                    self._suspects[candidate].expires_s,
                ),
            )
            del self._suspects[evicted]
        self._suspects[fingerprint] = _Suspect(
            expires_s=now_s + SUSPECT_RETENTION_S
        )
        return self._suspects[fingerprint]

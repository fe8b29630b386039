"""Requests that crash each upstream that runs them: pure decisions.

A request is known by its fingerprint, whatever its id and through whichever
entry it comes. When an upstream dies, each request in flight there takes a
strike. One strike is what an ordinary failure gives to all, so it changes
nothing. A request with two runs only as a probe, apart from all other
requests with strikes; if the upstream dies again, that one is convicted and
refused. Entries tell one another each strike, probe and verdict.
"""

from __future__ import annotations

import dataclasses
import enum

import xxhash

from lovagestage.messages.crashes import CrashReport, CrashReportKind
from lovagestage.types import Fingerprint, WorkspaceId

STRIKES_TO_PROBE = 2
MAX_UPSTREAMS_LOST = STRIKES_TO_PROBE + 1
"""Upstreams that one request sent again and again takes down, across all
entries that hear each other."""
SUSPECT_KEEP_S = 600.0
CONVICTION_KEEP_S = 3_600.0
PROBE_KEEP_S = 120.0
MAX_SUSPECTS = 10_000


class Admission(enum.Enum):
    """How a request may run."""

    FREE = "free"
    PROBE = "probe"
    WAIT = "wait"
    """Another copy of it is being probed."""
    REFUSE = "refuse"


@dataclasses.dataclass
class _Suspect:
    strikes: set[str] = dataclasses.field(default_factory=set)
    probe: str = ""
    probe_until_s: float = 0.0
    convicted: bool = False
    expires_s: float = 0.0


def get_fingerprint(workspace: WorkspaceId, body: bytes) -> Fingerprint:
    """Names a request by its workspace and body."""
    digest = xxhash.xxh3_128(workspace.encode() + b"\0")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class SuspectTable:
    """What one entry knows of requests that were in flight at a crash.

    Bounded: at the limit the suspect that expires first is dropped, convicted
    ones last.
    """

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def get_strikes(self, name: Fingerprint, now_s: float) -> int:
        """Crashes at which the request was in flight."""
        suspect = self._get(name, now_s)
        return len(suspect.strikes) if suspect else 0

    def admit(self, name: Fingerprint, now_s: float) -> Admission:
        """How the request may run now."""
        suspect = self._get(name, now_s)
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
        self, name: Fingerprint, run: str, now_s: float
    ) -> CrashReport:
        """Notes a probe; the report is for the other entries."""
        return self._report(CrashReportKind.PROBE, name, run, now_s)

    def add_crash(
        self, name: Fingerprint, run: str, probe: bool, now_s: float
    ) -> CrashReport:
        """Notes that an upstream died while it ran the request.

        Args:
            name: The request.
            run: Names the attempt, so that a report told twice counts once.
            probe: Whether it ran as a probe.
            now_s: Monotonic time.
        """
        kind = CrashReportKind.CONVICTED if probe else CrashReportKind.STRIKE
        return self._report(kind, name, run, now_s)

    def add_end(
        self, name: Fingerprint, run: str, answered: bool, now_s: float
    ) -> CrashReport | None:
        """Notes the end of a run without a crash; clears what answered."""
        suspect = self._get(name, now_s)
        if suspect is None:
            return None
        if answered:
            return self._report(CrashReportKind.CLEARED, name, run, now_s)
        if suspect.probe == run:
            return self._report(CrashReportKind.PROBE_ENDED, name, run, now_s)
        return None

    def apply(self, report: CrashReport, now_s: float) -> None:
        """Takes in a report, of this entry or another; repeats are harmless."""
        name = report.fingerprint
        suspect = self._get(name, now_s)
        if report.kind is CrashReportKind.CLEARED:
            if suspect is not None and not suspect.convicted:
                del self._suspects[name]
            return
        if suspect is None:
            suspect = self._add(name, now_s)
        suspect.expires_s = max(suspect.expires_s, now_s + SUSPECT_KEEP_S)
        match report.kind:
            case CrashReportKind.STRIKE:
                suspect.strikes.add(report.run)
            case CrashReportKind.PROBE:
                suspect.probe = report.run
                suspect.probe_until_s = now_s + PROBE_KEEP_S
            case CrashReportKind.PROBE_ENDED:
                if suspect.probe == report.run:
                    suspect.probe = ""
            case CrashReportKind.CONVICTED:
                suspect.strikes.add(report.run)
                suspect.convicted = True
                suspect.expires_s = now_s + CONVICTION_KEEP_S

    def _report(
        self, kind: CrashReportKind, name: Fingerprint, run: str, now_s: float
    ) -> CrashReport:
        report = CrashReport(kind, name, run)
        self.apply(report, now_s)
        return report

    def _get(self, name: Fingerprint, now_s: float) -> _Suspect | None:
        suspect = self._suspects.get(name)
        if suspect is not None and suspect.expires_s <= now_s:
            del self._suspects[name]
            return None
        return suspect

    def _add(self, name: Fingerprint, now_s: float) -> _Suspect:
        if len(self._suspects) >= MAX_SUSPECTS:
            first = min(
                self._suspects,
                key=lambda known: (
                    self._suspects[known].convicted,
                    self._suspects[known].expires_s,
                ),
            )
            del self._suspects[first]
        self._suspects[name] = _Suspect(expires_s=now_s + SUSPECT_KEEP_S)
        return self._suspects[name]

"""Makes the reports that tell other entries what this one knows already."""

from __future__ import annotations

from collections.abc import Iterator

from lovagestage.decisions.part_blame import PartBlame
from lovagestage.decisions.request_suspects import RequestSuspects
from lovagestage.messages.crashes import CrashReport, CrashReportKind
from lovagestage.types import Fingerprint


def make_reports(
    requests: RequestSuspects, blame: PartBlame, now_s: float
) -> Iterator[CrashReport]:
    """Yields a report of each strike.

    Those of convicted requests come first, then those that bear witness
    against convicted parts.

    Args:
        requests: What is known of requests.
        blame: What is known of parts of prompts.
        now_s: Monotonic time in seconds.
    """
    convicted = [c.parts for c in blame.get_convictions(now_s)]

    def rank(fingerprint: Fingerprint) -> int:
        if fingerprint in requests.probe_crashers:
            return 0
        suspect = requests.get(fingerprint, now_s)
        held = () if suspect is None else suspect.parts.values()
        return (
            1 if any(c <= {*parts} for c in convicted for parts in held) else 2
        )

    for fingerprint in sorted(list(requests), key=rank):
        suspect = requests.get(fingerprint, now_s)
        for upstream in () if suspect is None else suspect.strikes:
            assert suspect is not None
            yield CrashReport(
                CrashReportKind.CONVICTED
                if upstream in suspect.probe_strikes
                else CrashReportKind.STRIKE,
                fingerprint,
                "",
                upstream,
                blame.filter_uncleared(suspect.parts.get(upstream, ()), now_s),
            )


def make_rebuttal(
    report: CrashReport, blame: PartBlame, now_s: float
) -> CrashReport | None:
    """Returns a report of the accused parts that were answered at this entry.

    Args:
        report: Report of another entry.
        blame: What is known of parts of prompts.
        now_s: Monotonic time in seconds.

    Returns:
        The report; None if the other one accuses no such part.
    """
    if report.kind is not CrashReportKind.CONVICTED:
        return None
    uncleared = blame.filter_uncleared(report.parts, now_s)
    cleared = tuple(part for part in report.parts if part not in uncleared)
    if not cleared:
        return None
    kind = CrashReportKind.CLEARED
    return CrashReport(kind, Fingerprint(""), "", "", cleared)

"""Makes the reports from which a new entry learns what the others know."""

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

"""What entries tell one another of requests that may crash upstreams."""

from __future__ import annotations

import enum

import msgspec

from lovagestage.types import Fingerprint


class CrashReportKind(enum.Enum):
    """What an entry has learnt of a request that may crash upstreams."""

    STRIKE = "strike"
    PROBE = "probe"
    PROBE_ENDED = "probe_ended"
    CLEARED = "cleared"
    CONVICTED = "convicted"


class CrashReport(
    msgspec.Struct, frozen=True, array_like=True, tag="crash_report"
):
    """What an entry tells the others of one request.

    Attributes:
        kind: What happened.
        fingerprint: The request.
        run: Names the attempt.
    """

    kind: CrashReportKind
    fingerprint: Fingerprint
    run: str

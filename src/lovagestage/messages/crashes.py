"""Reports between entries about requests that may crash upstreams."""

from __future__ import annotations

import enum

import msgspec

from lovagestage.types import Fingerprint, PartId


class CrashReportKind(enum.Enum):
    """Kind of event that an entry reports of a suspected request."""

    STRIKE = "strike"
    PROBE = "probe"
    PROBE_ENDED = "probe_ended"
    CLEARED = "cleared"
    """A run was answered."""
    CONVICTED = "convicted"
    """A strike of a run that was the request's probe."""


class CrashReport(
    msgspec.Struct, frozen=True, array_like=True, tag="crash_report"
):
    """Report to the other entries about a request that may crash upstreams.

    Attributes:
        kind: Event that the entry reports.
        fingerprint: Fingerprint of the request.
        run: Identifies the attempt that the event belongs to.
        upstream: Name of the upstream process that crashed; empty for other
            events.
        parts: Parts of the request's prompt: for a crash those that the entry
            has not cleared, for a probe those that it claims, and for an answer
            those that it clears. Entries of earlier releases name none.
    """

    kind: CrashReportKind
    fingerprint: Fingerprint
    run: str
    upstream: str = ""
    parts: tuple[PartId, ...] = ()

"""Records of runs that a sidecar no longer holds or has refused for good.

A sidecar may answer `not_run` only if the run can't start later. The dispatch
may still be in transit on a connection that has become unresponsive, and may
arrive after the entry has sent the request elsewhere.
"""

from __future__ import annotations

import dataclasses
import enum

from lovagestage.types import RequestId

RunKey = tuple[RequestId, int]
"""Request id and attempt number."""


class RunTrace(enum.Enum):
    """Knowledge about a run that is not in the table of runs."""

    REFUSED = "barred"
    """The run never ran on this sidecar and is refused for good."""
    FORGOTTEN = "forgotten"
    """The run ran on this sidecar; its answer is no longer retained."""
    UNKNOWN = "unknown"
    """The table was full, so it is not known whether the run ran."""


@dataclasses.dataclass(frozen=True)
class _Trace:
    trace: RunTrace
    expires_s: float


class TombstoneTable:
    """Refused and forgotten runs, bounded in number and in time.

    At the limit no record is dropped early. Instead, no further run is refused
    for good and the state of such a run is reported as `UNKNOWN`, which is
    correct.

    Args:
        limit: Maximum number of runs that are retained.
        retention_s: Seconds for which each run is retained; longer than any
            deadline.
    """

    def __init__(self, limit: int, retention_s: float) -> None:
        self._limit = limit
        self._retention_s = retention_s
        self._traces: dict[RunKey, _Trace] = {}
        self._uncertain_until_s = 0.0

    def __len__(self) -> int:
        return len(self._traces)

    def record_forgotten(self, key: RunKey, now_s: float) -> None:
        """Records a run whose answer is no longer retained."""
        if not self._add(key, RunTrace.FORGOTTEN, now_s):
            # From now on an unknown run may be this one. No run is reported as
            # never seen until this run's record would have expired.
            self._uncertain_until_s = now_s + self._retention_s

    def refuse(self, key: RunKey, now_s: float) -> RunTrace:
        """Refuses a run for good that is not in the table of runs, if possible.

        Returns:
            `REFUSED` only if the run never ran on this sidecar and never will.
        """
        existing = self.get(key)
        if existing is RunTrace.REFUSED:
            # The repeated refusal has to last for the full time again: the
            # record of the first one may be about to expire, and the run could
            # then start.
            del self._traces[key]
            self._traces[key] = _Trace(existing, now_s + self._retention_s)
        if existing is not None:
            return existing
        if now_s < self._uncertain_until_s:
            return RunTrace.UNKNOWN
        if not self._add(key, RunTrace.REFUSED, now_s):
            return RunTrace.UNKNOWN
        return RunTrace.REFUSED

    def get(self, key: RunKey) -> RunTrace | None:
        """Returns what is recorded of a run; None if nothing is."""
        existing = self._traces.get(key)
        return existing.trace if existing else None

    def _add(self, key: RunKey, trace: RunTrace, now_s: float) -> bool:
        self._remove_expired(now_s)
        if len(self._traces) >= self._limit:
            return False
        self._traces[key] = _Trace(trace, now_s + self._retention_s)
        return True

    def _remove_expired(self, now_s: float) -> None:
        # All records are retained for equally long, so the oldest come first.
        while self._traces:
            key = next(iter(self._traces))
            if self._traces[key].expires_s > now_s:
                return
            del self._traces[key]

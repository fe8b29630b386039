"""What a sidecar still knows of runs that it does not hold.

`not_run` may be said only where the run is barred from running later: the
dispatch may still be under way on a connection that went silent, and may
arrive after the entry has sent the request elsewhere.
"""

from __future__ import annotations

import dataclasses
import enum

from lovagestage.types import RequestId

RunKey = tuple[RequestId, int]
"""Request id and attempt number."""


class RunTrace(enum.Enum):
    """What is known of a run that is not in the table of runs."""

    BARRED = "barred"
    """It never ran here and never will."""
    FORGOTTEN = "forgotten"
    """It ran here; its answer is no longer kept."""
    UNKNOWN = "unknown"
    """Too much has been forgotten to say."""


@dataclasses.dataclass(frozen=True)
class _Trace:
    trace: RunTrace
    expires_s: float


class TombstoneTable:
    """Barred and forgotten runs, bounded in number and in time.

    At the bound nothing is dropped early: a run is not barred any more, and
    its state is `UNKNOWN`, which is true.

    Args:
        limit: Most runs that are kept.
        keep_s: How long each is kept; longer than any deadline.
    """

    def __init__(self, limit: int, keep_s: float) -> None:
        self._limit = limit
        self._keep_s = keep_s
        self._traces: dict[RunKey, _Trace] = {}
        self._unsure_until_s = 0.0

    def __len__(self) -> int:
        return len(self._traces)

    def add_forgotten(self, key: RunKey, now_s: float) -> None:
        """Notes a run whose answer is dropped."""
        if not self._add(key, RunTrace.FORGOTTEN, now_s):
            # From here on an unknown run may be this one. Nothing is called
            # never seen until it would have expired.
            self._unsure_until_s = now_s + self._keep_s

    def bar(self, key: RunKey, now_s: float) -> RunTrace:
        """Bars a run that is not in the table of runs, where that is true.

        Returns:
            `BARRED` only where it never ran here and never will.
        """
        known = self.get(key)
        if known is RunTrace.BARRED:
            # Said again, it must hold as long again: the first bar alone may
            # be about to expire, and the run could then start.
            del self._traces[key]
            self._traces[key] = _Trace(known, now_s + self._keep_s)
        if known is not None:
            return known
        if now_s < self._unsure_until_s:
            return RunTrace.UNKNOWN
        if not self._add(key, RunTrace.BARRED, now_s):
            return RunTrace.UNKNOWN
        return RunTrace.BARRED

    def get(self, key: RunKey) -> RunTrace | None:
        """What was noted of a run."""
        known = self._traces.get(key)
        return known.trace if known else None

    def _add(self, key: RunKey, trace: RunTrace, now_s: float) -> bool:
        self._remove_expired(now_s)
        if len(self._traces) >= self._limit:
            return False
        self._traces[key] = _Trace(trace, now_s + self._keep_s)
        return True

    def _remove_expired(self, now_s: float) -> None:
        # Each is kept equally long, so that the oldest come first.
        while self._traces:
            key = next(iter(self._traces))
            if self._traces[key].expires_s > now_s:
                return
            del self._traces[key]

"""Last check of keyed runs, at the sidecar that executes them.

A request key is granted to another run only after this process has forbidden
the earlier run. The dispatch of the earlier run may still be in transit, or its
sender may be paused; if it executed, the request would run twice. Each keyed
run therefore carries a permit, which is the time of the sidecar's clock as the
entry had last received it when it chose the sidecar for the run. The sidecar
refuses a dispatch whose permit has expired, so a forbidden run has to be
remembered only for the lifetime of a permit.

The decisions are pure; all times are those of the sidecar's own clock.
"""

from __future__ import annotations

import collections

from lovagestage.messages.keys import RunKnowledge
from lovagestage.types import RequestId

PERMIT_LIFETIME_MS = 30_000
"""Lifetime of a permit in milliseconds of the sidecar's clock; a dispatch with
an older permit is refused."""

MAX_ENDED_RUNS = 50_000
"""Maximum number of runs whose ids are retained after their answers; about 10
MB at most."""

RunKey = tuple[RequestId, int]


class RunGate:
    """Decides whether a keyed run may start and what is known of a run.

    Args:
        incarnation: Incarnation of this process; runs of another incarnation
            are refused.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._forbidden: collections.OrderedDict[RunKey, int] = (
            collections.OrderedDict()
        )
        self._ended: collections.OrderedDict[RunKey, int] = (
            collections.OrderedDict()
        )
        self._latest_forgotten_permit_ms = -1

    def may_start(
        self, run: RunKey, incarnation: int, permit_ms: int, now_ms: int
    ) -> bool:
        """Returns whether a dispatch may execute; if not, it never will."""
        if incarnation != self.incarnation:
            return False
        if run in self._forbidden or run in self._ended:
            return False
        # A run that was forgotten had a permit from before this time. A run
        # with a later permit is therefore certainly no repetition of it.
        return permit_ms > max(
            now_ms - PERMIT_LIFETIME_MS, self._latest_forgotten_permit_ms
        )

    def query_run(
        self,
        run: RunKey,
        incarnation: int,
        permit_ms: int,
        forbid: bool,
        now_ms: int,
    ) -> RunKnowledge:
        """Returns what is known of a run that the table of runs lacks.

        Args:
            run: Request id and attempt number.
            incarnation: Incarnation of the sidecar's process that was chosen
                for the run.
            permit_ms: Permit of the run.
            forbid: Whether to forbid the run if it never arrived.
            now_ms: Time of the sidecar's clock in milliseconds.
        """
        if incarnation != self.incarnation:
            return RunKnowledge.FORGOTTEN
        if run in self._forbidden:
            return RunKnowledge.FORBIDDEN
        if self.may_have_ended(run, permit_ms):
            return RunKnowledge.FORGOTTEN
        if not forbid:
            return RunKnowledge.NEVER_RECEIVED
        self.forbid(run, now_ms)
        return RunKnowledge.FORBIDDEN

    def may_have_ended(self, run: RunKey, permit_ms: int) -> bool:
        """Returns whether a run here may have ended and been forgotten."""
        return (
            run in self._ended or permit_ms <= self._latest_forgotten_permit_ms
        )

    def forbid(self, run: RunKey, now_ms: int) -> None:
        """Refuses, from now on, a run that has not started."""
        self._forbidden[run] = now_ms

    def record_forgotten(self, run: RunKey, permit_ms: int) -> None:
        """Records that the answer of a run is no longer retained."""
        self._ended[run] = permit_ms
        while len(self._ended) > MAX_ENDED_RUNS:
            _, oldest_ms = self._ended.popitem(last=False)
            self._latest_forgotten_permit_ms = max(
                self._latest_forgotten_permit_ms, oldest_ms
            )

    def remove_expired(self, now_ms: int) -> None:
        """Removes forbidden runs whose permits have certainly expired."""
        while self._forbidden:
            run, forbidden_ms = next(iter(self._forbidden.items()))
            if forbidden_ms > now_ms - 2 * PERMIT_LIFETIME_MS:
                return
            del self._forbidden[run]

    def get_sizes(self) -> dict[str, int]:
        """Returns the sizes of the tables for the state dump."""
        return {
            "forbidden": len(self._forbidden),
            "ended": len(self._ended),
        }

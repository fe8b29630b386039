"""A sidecar's last check of keyed runs: pure, times are the sidecar's own.

A request key is given to another run only after this process has forbidden
the earlier one. The earlier dispatch may still be on its way, or its sender
paused; it would execute the request a second time. Each keyed run therefore
carries the sidecar's clock from when it was chosen, its permit: a dispatch
with an old permit is refused, so a forbidden run has to be remembered no
longer than a permit is good for.
"""

from __future__ import annotations

import collections

from lovagestage.messages.keys import RunKnown
from lovagestage.types import RequestId

PERMIT_MS = 30_000
"""A dispatch that is older by the sidecar's clock is refused."""

MAX_ENDED = 50_000
"""Runs whose ids are kept after their answers; about 10 MB at most."""

RunKey = tuple[RequestId, int]


class RunGate:
    """Decides whether a keyed run may start and what is known of it.

    Args:
        incarnation: Of this process; runs of another one are refused.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._forbidden: collections.OrderedDict[RunKey, int] = (
            collections.OrderedDict()
        )
        self._ended: collections.OrderedDict[RunKey, int] = (
            collections.OrderedDict()
        )
        self._forgotten_ms = -1

    def may_start(
        self, run: RunKey, incarnation: int, permit_ms: int, now_ms: int
    ) -> bool:
        """Whether a dispatch may execute; if not, it never will."""
        if incarnation != self.incarnation:
            return False
        if run in self._forbidden or run in self._ended:
            return False
        # A run that was forgotten had its permit before this point; one with
        # a later permit is certainly no repetition.
        return permit_ms > max(now_ms - PERMIT_MS, self._forgotten_ms)

    def inquire(
        self,
        run: RunKey,
        incarnation: int,
        permit_ms: int,
        forbid: bool,
        now_ms: int,
    ) -> RunKnown:
        """What is known of a run that the table does not have."""
        if incarnation != self.incarnation:
            return RunKnown.FORGOTTEN
        if run in self._forbidden:
            return RunKnown.FORBIDDEN
        if self.may_have_ended(run, permit_ms):
            return RunKnown.FORGOTTEN
        if not forbid:
            return RunKnown.NEVER
        self.forbid(run, now_ms)
        return RunKnown.FORBIDDEN

    def may_have_ended(self, run: RunKey, permit_ms: int) -> bool:
        """Whether a run of this process may have ended and been forgotten."""
        return run in self._ended or permit_ms <= self._forgotten_ms

    def forbid(self, run: RunKey, now_ms: int) -> None:
        """Refuses a run that has not started, from now on."""
        self._forbidden[run] = now_ms

    def forget(self, run: RunKey, permit_ms: int) -> None:
        """Notes that a run's answer is no longer kept."""
        self._ended[run] = permit_ms
        while len(self._ended) > MAX_ENDED:
            _, oldest_ms = self._ended.popitem(last=False)
            self._forgotten_ms = max(self._forgotten_ms, oldest_ms)

    def remove_expired(self, now_ms: int) -> None:
        """Forgets forbidden runs whose permits have all run out."""
        while self._forbidden:
            run, forbidden_ms = next(iter(self._forbidden.items()))
            if forbidden_ms > now_ms - 2 * PERMIT_MS:
                return
            del self._forbidden[run]

    def get_sizes(self) -> dict[str, int]:
        """Sizes of the tables, for the state dump."""
        return {
            "forbidden": len(self._forbidden),
            "ended": len(self._ended),
        }

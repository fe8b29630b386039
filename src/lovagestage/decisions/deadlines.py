"""Deferrable requests by deadline: pure, no clock or socket.

A queue of one entry: a request is taken only where it and all that were
taken before it can be done in time, then started earliest deadline first in
a few slots of the pool that are its own. The test is the demand bound of
earliest-deadline-first scheduling (Liu and Layland 1973; Baruah 1990): up to
each deadline, the work due by then fits in what the slots do until then.
"""

from __future__ import annotations

import bisect
import dataclasses

from lovagestage.types import RequestId

SAFETY_RATIO = 0.8
"""Part of the slots' rate that is promised; the rest is for estimates that
are too low and for a slot that ends late."""


@dataclasses.dataclass(frozen=True, order=True)
class Deferred:
    """A request that may wait.

    Attributes:
        deadline_s: Monotonic time by which its answer is whole.
        request_id: The request.
        tokens: Upper estimate of its answer.
    """

    deadline_s: float
    request_id: RequestId
    tokens: float


@dataclasses.dataclass(frozen=True)
class SlotSpec:
    """What an entry may use of the pool for deferrable requests.

    Attributes:
        slots: Runs at once, whatever the load of urgent requests is.
        tokens_per_s: What one slot generates while the pool is full.
        first_token_s: From the start of a run to its first token.
    """

    slots: int
    tokens_per_s: float
    first_token_s: float

    def get_run_s(self, tokens: float) -> float:
        """Time of one run."""
        return self.first_token_s + tokens / self.tokens_per_s


class DeferralQueue:
    """Deferrable requests of one entry.

    Args:
        spec: The slots.
        limit: Most requests that wait.
    """

    def __init__(self, spec: SlotSpec, limit: int) -> None:
        self._spec = spec
        self._limit = limit
        self._waiting: list[Deferred] = []
        self._running: dict[RequestId, tuple[Deferred, float]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def offer(self, request: Deferred, now_s: float) -> bool:
        """Takes a request; False where it can't be promised in time."""
        if len(self._waiting) >= self._limit:
            return False
        place = bisect.bisect(self._waiting, request)
        planned = [*self._waiting]
        planned.insert(place, request)
        if not self._is_feasible(planned, now_s):
            return False
        self._waiting = planned
        return True

    def take(self, now_s: float) -> Deferred | None:
        """The request to start now; None where no slot is free."""
        if not self._waiting or len(self._running) >= self._spec.slots:
            return None
        request = self._waiting.pop(0)
        self._running[request.request_id] = (request, now_s)
        return request

    def end(self, request_id: RequestId) -> None:
        """Frees the place of a request that has ended or was given up."""
        self._running.pop(request_id, None)
        self._waiting = [
            each for each in self._waiting if each.request_id != request_id
        ]

    def _is_feasible(self, planned: list[Deferred], now_s: float) -> bool:
        spec = self._spec
        work_s = sum(
            max(0.0, spec.get_run_s(request.tokens) - (now_s - started_s))
            for request, started_s in self._running.values()
        )
        for request in planned:
            run_s = spec.get_run_s(request.tokens)
            # Until it starts no slot is idle, and all are busy with what
            # runs now or is due before it.
            start_s = work_s / (spec.slots * SAFETY_RATIO)
            if now_s + start_s + run_s / SAFETY_RATIO > request.deadline_s:
                return False
            work_s += run_s
        return True

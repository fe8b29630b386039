"""Admits deferrable requests by deadline and orders their runs.

Each entry has one queue. The queue accepts a request only if this request and
all requests that were accepted before it can finish in time. It then starts
them earliest deadline first in a few slots of the pool that are reserved for
deferrable requests. The test is the demand bound of earliest-deadline-first
scheduling (Liu and Layland 1973; Baruah 1990): up to each deadline, the work
due by then has to fit into the capacity of the slots until then.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import bisect
import dataclasses

from lovagestage.types import RequestId

SAFETY_RATIO = 0.8
"""Fraction of the slots' rate that is promised. The rest covers estimates that
are too low and slots that become free late."""


@dataclasses.dataclass(frozen=True, order=True)
class DeferredRequest:
    """A request that may wait until its deadline.

    Attributes:
        deadline_s: Monotonic time in seconds by which the answer has to be
            complete.
        request_id: Id of the request.
        tokens: Upper estimate of the number of tokens of the answer.
    """

    deadline_s: float
    request_id: RequestId
    tokens: float


@dataclasses.dataclass(frozen=True)
class SlotSpec:
    """Capacity of the pool that an entry may use for deferrable requests.

    Attributes:
        slots: Number of concurrent runs, regardless of the load of urgent
            requests.
        tokens_per_s: Tokens per second that one slot generates while the pool
            is full.
        first_token_s: Seconds from the start of a run to its first token.
    """

    slots: int
    tokens_per_s: float
    first_token_s: float

    def get_run_s(self, tokens: float) -> float:
        """Returns the duration of one run in seconds."""
        return self.first_token_s + tokens / self.tokens_per_s


class DeferralQueue:
    """Deferrable requests of one entry.

    Args:
        spec: The slots.
        limit: Maximum number of requests that wait.
    """

    def __init__(self, spec: SlotSpec, limit: int) -> None:
        self._spec = spec
        self._limit = limit
        self._waiting: list[DeferredRequest] = []
        self._running: dict[RequestId, tuple[DeferredRequest, float]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def try_enqueue(self, request: DeferredRequest, now_s: float) -> bool:
        """Enqueues a request; returns False if it can't finish in time.

        A request is also rejected if the queue is full.
        """
        if len(self._waiting) >= self._limit:
            return False
        index = bisect.bisect(self._waiting, request)
        planned = [*self._waiting]
        planned.insert(index, request)
        if not self._is_feasible(planned, now_s):
            return False
        self._waiting = planned
        return True

    def start_next(self, now_s: float) -> DeferredRequest | None:
        """Marks the next request as running and returns it.

        Returns:
            The request to start now; None if no request waits or no slot is
            free.
        """
        if not self._waiting or len(self._running) >= self._spec.slots:
            return None
        request = self._waiting.pop(0)
        self._running[request.request_id] = (request, now_s)
        return request

    def remove(self, request_id: RequestId) -> None:
        """Frees the slot or queue position of a request.

        The request has ended, or its caller has abandoned it.
        """
        self._running.pop(request_id, None)
        self._waiting = [
            waiting
            for waiting in self._waiting
            if waiting.request_id != request_id
        ]

    def _is_feasible(
        self, planned: list[DeferredRequest], now_s: float
    ) -> bool:
        spec = self._spec
        work_s = sum(
            max(0.0, spec.get_run_s(request.tokens) - (now_s - started_s))
            for request, started_s in self._running.values()
        )
        for request in planned:
            run_s = spec.get_run_s(request.tokens)
            # Until this request starts, no slot is idle: all slots are busy
            # with requests that run now or that are due before this one.
            start_s = work_s / (spec.slots * SAFETY_RATIO)
            if now_s + start_s + run_s / SAFETY_RATIO > request.deadline_s:
                return False
            work_s += run_s
        return True

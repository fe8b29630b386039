"""Queues deferrable requests until a slot is free for them.

The caller waits on its HTTP request, so that it has nothing to look up later
and the entry stores nothing that could be lost separately: if the entry fails,
the connection breaks, and a request that had not started was not run.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import AsyncIterator, Callable, Mapping

from lovagestage.decisions.deadlines import DeferralQueue, DeferredRequest
from lovagestage.exceptions import (
    DeadlineInfeasibleError,
    MalformedRequestError,
    RequestRefusedError,
)
from lovagestage.execution.request import Request
from lovagestage.state.document import ClassSpec
from lovagestage.types import RequestId, RunState

HEADER_DEADLINE = "X-Deadline-S"
DEADLINE_FIELD = "deadline_s"
FIRST_TOKEN_ESTIMATE_S = 1.0
DEFAULT_MAX_TOKENS = 1024
"""Completion tokens that are planned for a request without a maximum."""
RETRY_INTERVAL_S = 0.5

StartAnswer = Callable[[], AsyncIterator[bytes]]


class DeferralService:
    """Runs the deferral queue of an entry.

    Args:
        queue: Deferrable requests of this entry, ordered by deadline.
    """

    def __init__(self, queue: DeferralQueue) -> None:
        self._queue = queue
        self._start_events: dict[RequestId, asyncio.Event] = {}
        self._is_stopping = False

    def run(
        self,
        request: Request,
        max_tokens: int | None,
        keyed: bool,
        start_answer: StartAnswer,
    ) -> AsyncIterator[bytes]:
        """Streams the answer; a deferrable request waits for a slot first.

        Args:
            request: The request.
            max_tokens: Largest number of completion tokens, where the caller
                has set one.
            keyed: Whether the request has a request key, so that it may have
                run before.
            start_answer: Starts the run and streams its answer.

        Raises:
            DeadlineInfeasibleError: The queue can't guarantee the answer
                before the deadline.
        """
        if not request.deferrable:
            return start_answer()
        return self._run_in_slot(request, max_tokens, keyed, start_answer)

    async def _run_in_slot(
        self,
        request: Request,
        max_tokens: int | None,
        keyed: bool,
        start_answer: StartAnswer,
    ) -> AsyncIterator[bytes]:
        start_event = self._enqueue(request, max_tokens, keyed)
        try:
            self._start_next()
            await start_event.wait()
            async for chunk in _run_until_accepted(request, start_answer):
                yield chunk
        finally:
            self._queue.remove(request.request_id)
            self._start_events.pop(request.request_id, None)
            self._start_next()

    def start_all(self) -> None:
        """Starts all queued requests, so that a planned stop drops none.

        The engines still run them with lower priority than urgent requests.
        """
        self._is_stopping = True
        for start_event in self._start_events.values():
            start_event.set()

    def get_sizes(self) -> dict[str, int]:
        """Returns the sizes of the queue, for the state dump."""
        return {"waiting": len(self._queue), "open": len(self._start_events)}

    def _enqueue(
        self, request: Request, max_tokens: int | None, keyed: bool
    ) -> asyncio.Event:
        start_event = asyncio.Event()
        if self._is_stopping:
            start_event.set()
            self._start_events[request.request_id] = start_event
            return start_event
        tokens = max_tokens or DEFAULT_MAX_TOKENS
        deferred = DeferredRequest(
            request.deadline_at_s, request.request_id, tokens
        )
        now_s = time.monotonic()
        if not self._queue.try_enqueue(deferred, now_s):
            left_s = request.deadline_at_s - now_s
            raise DeadlineInfeasibleError(
                f"An answer of up to {tokens} tokens can't be promised within"
                f" {left_s:.0f} s beside what was admitted before.",
                RunState.UNKNOWN if keyed else RunState.NOT_RUN,
            )
        self._start_events[request.request_id] = start_event
        return start_event

    def _start_next(self) -> None:
        while (
            deferred := self._queue.start_next(time.monotonic())
        ) is not None:
            self._start_events[deferred.request_id].set()


async def _run_until_accepted(
    request: Request, start_answer: StartAnswer
) -> AsyncIterator[bytes]:
    # More urgent requests may occupy all upstreams when the slot becomes free.
    # The queue has already promised the answer, so that a refusal which a
    # retry can overcome is not forwarded to the caller.
    while True:
        has_started = False
        try:
            async for chunk in start_answer():
                has_started = True
                yield chunk
            return
        except RequestRefusedError as error:
            is_late = (
                time.monotonic() + RETRY_INTERVAL_S >= request.deadline_at_s
            )
            is_final = error.retry_after_s is None
            if (
                has_started
                or is_late
                or is_final
                or error.run is not RunState.NOT_RUN
            ):
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)


def resolve_deadline_s(
    header: str | None, metadata: Mapping[str, str] | None, spec: ClassSpec
) -> float:
    """Returns the time until a request's deadline.

    Args:
        header: Value of the deadline header, if present.
        metadata: The `metadata` field of the request body, if present.
        spec: Specification of the request class, which has the default.

    Returns:
        Seconds until the deadline; the deadline of the class where the caller
        sets none, and 0 where the class has none either.

    Raises:
        MalformedRequestError: The caller's value is not a positive number.
    """
    text = header or (metadata or {}).get(DEADLINE_FIELD)
    if text is None:
        return spec.deadline_s
    try:
        value_s = float(text)
    except ValueError:
        value_s = 0.0
    if not 0 < value_s < math.inf:
        raise MalformedRequestError(
            f"Expected the deadline as a positive number of seconds, found"
            f" {text!r}."
        )
    return value_s

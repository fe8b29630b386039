"""Holds deferrable requests until there is a slot for them.

The caller waits on its HTTP request, so there is nothing to look up later and
nothing to lose twice: where the entry is lost, the connection breaks, and a
request that had not started was not run.
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
FIRST_TOKEN_S = 1.0
DEFAULT_MAX_TOKENS = 1024
"""Booked for a request that names no maximum."""
RETRY_S = 0.5

MakeParts = Callable[[], AsyncIterator[bytes]]


class DeferralService:
    """Owns the queue of an entry.

    Args:
        queue: The state.
    """

    def __init__(self, queue: DeferralQueue) -> None:
        self._queue = queue
        self._starts: dict[RequestId, asyncio.Event] = {}
        self._is_released = False

    def run(
        self,
        request: Request,
        max_tokens: int | None,
        keyed: bool,
        make_parts: MakeParts,
    ) -> AsyncIterator[bytes]:
        """Reads the answer; of a deferrable request once it has a slot.

        Args:
            request: The request.
            max_tokens: Most tokens of the answer, where the caller says so.
            keyed: The request has a key, so that it may have run before.
            make_parts: Starts the run.

        Raises:
            DeadlineInfeasibleError: It can't be promised in time.
        """
        if not request.deferrable:
            return make_parts()
        return self._run_in_slot(request, max_tokens, keyed, make_parts)

    async def _run_in_slot(
        self,
        request: Request,
        max_tokens: int | None,
        keyed: bool,
        make_parts: MakeParts,
    ) -> AsyncIterator[bytes]:
        start = self._book(request, max_tokens, keyed)
        try:
            self._start_next()
            await start.wait()
            async for part in _run_when_room(request, make_parts):
                yield part
        finally:
            self._queue.remove(request.request_id)
            self._starts.pop(request.request_id, None)
            self._start_next()

    def release(self) -> None:
        """Starts all that wait: a planned stop, which must cut none off.

        The engines still run them behind the more urgent requests.
        """
        self._is_released = True
        for start in self._starts.values():
            start.set()

    def get_sizes(self) -> dict[str, int]:
        """Sizes, for the state dump."""
        return {"waiting": len(self._queue), "open": len(self._starts)}

    def _book(
        self, request: Request, max_tokens: int | None, keyed: bool
    ) -> asyncio.Event:
        start = asyncio.Event()
        if self._is_released:
            start.set()
            self._starts[request.request_id] = start
            return start
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
        self._starts[request.request_id] = start
        return start

    def _start_next(self) -> None:
        while (job := self._queue.start_next(time.monotonic())) is not None:
            self._starts[job.request_id].set()


async def _run_when_room(
    request: Request, make_parts: MakeParts
) -> AsyncIterator[bytes]:
    # More urgent requests may fill all upstreams when the slot comes. The
    # promise was given, so a refusal that a retry helps is not passed on.
    while True:
        started = False
        try:
            async for part in make_parts():
                started = True
                yield part
            return
        except RequestRefusedError as error:
            late = time.monotonic() + RETRY_S >= request.deadline_at_s
            is_final = error.retry_after_s is None
            if started or late or is_final or error.run is not RunState.NOT_RUN:
                raise
        await asyncio.sleep(RETRY_S)


def resolve_deadline_s(
    header: str | None, metadata: Mapping[str, str] | None, spec: ClassSpec
) -> float:
    """Seconds until a request's deadline; 0 where nothing says so.

    Raises:
        MalformedRequestError: The caller's value is no positive number.
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

"""Drives one request through its attempts at upstreams."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import time
from collections.abc import AsyncIterator

from lovagestage.exceptions import (
    REFUSALS,
    DeadlineExceededError,
    NoCapacityError,
    RequestRefusedError,
    UpstreamFailedError,
    UpstreamLostError,
)
from lovagestage.messages import (
    Accepted,
    Attach,
    Cancel,
    Chunk,
    Dispatch,
    Finished,
    Message,
    Refused,
)
from lovagestage.routing import choose_upstream
from lovagestage.sessions import Session, is_pinned
from lovagestage.types import (
    ModelVersion,
    RequestId,
    RunState,
    ServiceId,
    VmId,
    WorkspaceId,
    ZoneId,
)
from lovagestage.upstreams import UpstreamTable

_log = logging.getLogger(__name__)

MAX_ATTEMPTS = 4
LOST_AFTER_S = 5.0
"""An upstream that stays silent for so long, over reconnections, is lost."""
POLL_S = 0.5

AttemptKey = tuple[RequestId, int]
Event = Accepted | Chunk | Finished | Refused


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that was admitted.

    Attributes:
        request_id: Chosen by the entry.
        workspace: Who asks.
        service: The service.
        version: Version to run on.
        priority: 0 is most urgent.
        repeatable: Whether it may run more than once.
        deadline_at_s: Monotonic time of the deadline.
        stream: Whether the caller reads chunks.
        body: The JSON body.
        session: The session that it came with.
    """

    request_id: RequestId
    workspace: WorkspaceId
    service: ServiceId
    version: ModelVersion
    priority: int
    repeatable: bool
    deadline_at_s: float
    stream: bool
    body: bytes
    session: Session | None = None


class Attempt:
    """One run of a request, read in order.

    Attributes:
        key: Request id and attempt number.
        vm: The upstream.
        accepted: Whether the sidecar may have run it.
        next_seq: Next chunk that is expected.
    """

    def __init__(self, key: AttemptKey, vm: VmId) -> None:
        self.key = key
        self.vm = vm
        self.accepted = False
        self.next_seq = 0
        self.last_event_s = time.monotonic()
        self._early: dict[int, Chunk] = {}
        self._end: Finished | Refused | None = None
        self._ready: asyncio.Queue[Chunk | Finished | Refused] = asyncio.Queue()

    def add(self, event: Event) -> None:
        """Takes an event; late and repeated chunks are dropped."""
        self.last_event_s = time.monotonic()
        match event:
            case Accepted():
                self.accepted = True
            case Chunk():
                self.accepted = True
                if event.seq >= self.next_seq:
                    self._early[event.seq] = event
            case _:
                self._end = event
        self._release()

    async def get(self, timeout_s: float) -> Chunk | Finished | Refused | None:
        """Next chunk in order, or the end; None after `timeout_s`."""
        try:
            return await asyncio.wait_for(self._ready.get(), timeout_s)
        except TimeoutError:
            return None

    def _release(self) -> None:
        while self.next_seq in self._early:
            self._ready.put_nowait(self._early.pop(self.next_seq))
            self.next_seq += 1
        end = self._end
        if end is None:
            return
        if isinstance(end, Refused) or end.chunks == self.next_seq:
            self._ready.put_nowait(end)


@dataclasses.dataclass
class Result:
    """What is known of an answer once it is whole.

    Attributes:
        version: Version that answered.
        attempts: Attempts made.
        finished: Token counts and digest.
    """

    version: ModelVersion
    attempts: int = 0
    finished: Finished | None = None


class Dispatcher:
    """Sends requests to upstreams and reads their answers.

    Args:
        upstreams: Connections to sidecars.
        zone: The entry's availability zone.
        rng: Source of randomness for choices.
    """

    def __init__(
        self, upstreams: UpstreamTable, zone: ZoneId, rng: random.Random
    ) -> None:
        self._upstreams = upstreams
        self._zone = zone
        self._rng = rng
        self._attempts: dict[AttemptKey, Attempt] = {}
        upstreams.subscribe(self._on_message, self._on_reconnect)

    async def run(
        self, request: Request, result: Result
    ) -> AsyncIterator[bytes]:
        """Yields the answer's chunks in order, each once.

        Args:
            request: The request.
            result: Filled in on the way.

        Raises:
            RequestRefusedError: There is no whole answer; says what was run.
        """
        excluded: set[VmId] = set()
        while True:
            attempt = self._start_attempt(request, result, excluded)
            try:
                async for data in self._read(request, attempt, result):
                    yield data
                return
            except RequestRefusedError as error:
                if not self._may_retry(request, attempt, result, error):
                    raise
                excluded.add(attempt.vm)
                _log.info(
                    "request_retried",
                    extra={"request": request.request_id, "code": error.code},
                )
            finally:
                self._end_attempt(attempt, result)

    def get_sizes(self) -> dict[str, int]:
        """Sizes of the tables, for the state dump."""
        return {"attempts": len(self._attempts)}

    def _may_retry(
        self,
        request: Request,
        attempt: Attempt,
        result: Result,
        error: RequestRefusedError,
    ) -> bool:
        if result.attempts >= MAX_ATTEMPTS or attempt.next_seq > 0:
            return False
        if isinstance(error, DeadlineExceededError):
            return False
        return error.run is RunState.NOT_RUN or request.repeatable

    def _start_attempt(
        self, request: Request, result: Result, excluded: set[VmId]
    ) -> Attempt:
        vm = choose_upstream(
            self._upstreams.get_views(),
            str(request.version),
            self._zone,
            frozenset(excluded),
            self._rng,
        )
        if vm is None:
            raise NoCapacityError(
                f"No upstream can take {str(request.version)!r} now.",
                RunState.NOT_RUN,
                retry_after_s=1,
            )
        result.attempts += 1
        attempt = Attempt((request.request_id, result.attempts), vm)
        self._attempts[attempt.key] = attempt
        self._upstreams.links[vm].in_use += 1
        self._upstreams.send(vm, self._make_dispatch(request, attempt))
        return attempt

    def _make_dispatch(self, request: Request, attempt: Attempt) -> Dispatch:
        return Dispatch(
            *attempt.key,
            request.workspace,
            request.service,
            str(request.version),
            request.priority,
            request.deadline_at_s - time.monotonic(),
            request.stream,
            request.body,
            is_pinned(request.session, request.version),
        )

    def _end_attempt(self, attempt: Attempt, result: Result) -> None:
        del self._attempts[attempt.key]
        link = self._upstreams.links.get(attempt.vm)
        if link is not None:
            link.in_use -= 1
        if result.finished is None:
            self._upstreams.send(attempt.vm, Cancel(*attempt.key))

    async def _read(
        self, request: Request, attempt: Attempt, result: Result
    ) -> AsyncIterator[bytes]:
        while True:
            event = await attempt.get(POLL_S)
            match event:
                case None:
                    self._check_time(request, attempt)
                case Chunk():
                    yield event.data
                case Finished():
                    result.finished = event
                    return
                case Refused():
                    raise _make_refusal(event)

    def _check_time(self, request: Request, attempt: Attempt) -> None:
        run = RunState.UNKNOWN
        now_s = time.monotonic()
        if now_s > request.deadline_at_s:
            raise DeadlineExceededError("The deadline has passed.", run)
        link = self._upstreams.links.get(attempt.vm)
        heard_s = link.heard_s if link else 0.0
        latest_s = max(heard_s, attempt.last_event_s)
        if link is None or now_s - latest_s > LOST_AFTER_S:
            raise UpstreamLostError("The upstream was lost.", run)

    def _on_message(self, vm: VmId, message: Message) -> None:
        del vm
        if not isinstance(message, Accepted | Chunk | Finished | Refused):
            return
        attempt = self._attempts.get((message.request_id, message.attempt))
        if attempt is not None:
            attempt.add(message)

    def _on_reconnect(self, vm: VmId) -> None:
        for attempt in self._attempts.values():
            if attempt.vm == vm:
                self._upstreams.send(vm, Attach(*attempt.key, attempt.next_seq))


def _make_refusal(refused: Refused) -> RequestRefusedError:
    kind = REFUSALS.get(refused.code, UpstreamFailedError)
    return kind(refused.message, refused.run, refused.retry_after_s)

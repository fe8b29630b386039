"""Drives one request through its attempts at upstreams."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from lovagestage.bus.upstreams import UpstreamTable
from lovagestage.decisions.crash_suspects import get_fingerprint
from lovagestage.decisions.retries import (
    RETRY_AFTER_S,
    Failure,
    RetryBudget,
    get_retry_delay_s,
    is_upstream_at_fault,
    make_final_error,
)
from lovagestage.decisions.routing import choose_upstream
from lovagestage.decisions.sessions import is_pinned
from lovagestage.entry.crash_watch import CrashWatch
from lovagestage.exceptions import (
    REFUSALS,
    DeadlineExceededError,
    NoCapacityError,
    RequestRefusedError,
    UpstreamCrashedError,
    UpstreamFailedError,
    UpstreamLostError,
)
from lovagestage.execution.attempts import Attempt, AttemptKey
from lovagestage.execution.request import Request, Result, join_run_states
from lovagestage.messages.envelope import Message
from lovagestage.messages.keys import RunId
from lovagestage.messages.runs import (
    Accepted,
    Chunk,
    Dispatch,
    Finished,
    Refused,
)
from lovagestage.timers import TimerService
from lovagestage.types import (
    Fingerprint,
    RunState,
    VmId,
)

_log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
RETURN_POLL_S = 0.05
ATTACH_AFTER_S = 1.0
"""A run that says nothing for so long is asked for what is missing."""


class RightsCheck(Protocol):
    """Decides whether a request may still run."""

    def check(self, request: Request) -> None:
        """Passes a request; raises `RequestRefusedError` where it may not."""


class Dispatcher:
    """Sends requests to upstreams and reads their answers.

    Args:
        upstreams: Connections to sidecars.
        rng: Source of randomness for choices.
        timers: Timer service.
        crashes: Requests that may crash upstreams.
        rights: Asked again right before a request is sent.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        rng: random.Random,
        timers: TimerService,
        crashes: CrashWatch,
        rights: RightsCheck,
    ) -> None:
        self._upstreams = upstreams
        self._crashes = crashes
        self._rights = rights
        self._rng = rng
        self._budget = RetryBudget(time.monotonic())
        self._attempts: dict[AttemptKey, list[Attempt]] = {}
        upstreams.subscribe(self._on_message, self._on_reconnect, self._on_gone)
        timers.subscribe(CHECK_INTERVAL_S, self._on_check_due)

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
        self._budget.record_request(time.monotonic())
        try:
            async for data in self._run(request, result):
                yield data
        except RequestRefusedError as error:
            # The last attempt may not have run while one before did.
            error.run = join_run_states(result.run, error.run)
            raise

    async def _run(
        self, request: Request, result: Result
    ) -> AsyncIterator[bytes]:
        name = get_fingerprint(request.workspace, request.body)
        excluded: set[VmId] = set()
        while True:
            tried = result.attempts
            try:
                async for data in self._try(request, result, name, excluded):
                    yield data
                return
            except RequestRefusedError as error:
                if result.attempts == tried:
                    raise
                failure = _make_failure(request, result, error)
            delay_s = get_retry_delay_s(
                failure, self._budget, time.monotonic(), self._rng.random()
            )
            if delay_s is None:
                raise make_final_error(failure)
            _log.info(
                "request_retried",
                extra={
                    "request": request.request_id,
                    "code": failure.error.code,
                },
            )
            await asyncio.sleep(delay_s)

    async def _try(
        self,
        request: Request,
        result: Result,
        name: Fingerprint,
        excluded: set[VmId],
    ) -> AsyncIterator[bytes]:
        run = f"{request.request_id}/{result.attempts + 1}"
        probe = await self._crashes.admit(name, run, request.deadline_at_s)
        with self._crashes.watch(name, run, probe):
            attempt = await self._start_attempt(
                request,
                result,
                excluded,
                self._crashes.get_strikes(name),
                probe,
            )
            try:
                async for data in self._read(request, attempt, result):
                    yield data
                return
            except RequestRefusedError as error:
                result.note_failure(error, attempt)
                if is_upstream_at_fault(error):
                    excluded.add(attempt.vm)
                raise
            finally:
                self._end_attempt(attempt, result)

    def get_sizes(self) -> dict[str, int]:
        """Sizes of the tables, for the state dump."""
        return {
            "attempts": len(self._attempts),
            "crash_suspects": len(self._crashes),
            "retry_budget": int(self._budget.tokens),
        }

    async def run_claimed(
        self, request: Request, run: RunId, result: Result
    ) -> AsyncIterator[bytes]:
        """Starts the run that a request key was claimed for; reads it."""
        name = get_fingerprint(request.workspace, request.body)
        label = f"{run.request_id}/{run.attempt}"
        probe = await self._crashes.admit(name, label, request.deadline_at_s)
        with self._crashes.watch(name, label, probe):
            attempt = self._open_run(run)
            dispatch = msgspec.structs.replace(
                self._make_dispatch(
                    request, attempt, self._crashes.get_strikes(name), probe
                ),
                keyed=True,
                permit_ms=run.permit_ms,
            )
            self._upstreams.send(run.sidecar, dispatch)
            async for data in self._follow(request, attempt, result):
                yield data

    async def join(
        self, request: Request, run: RunId, result: Result
    ) -> AsyncIterator[bytes]:
        """Reads a run that another request with the same key has started."""
        attempt = self._open_run(run)
        self._upstreams.send(run.sidecar, attempt.make_attach())
        async for data in self._follow(request, attempt, result):
            yield data

    async def _follow(
        self, request: Request, attempt: Attempt, result: Result
    ) -> AsyncIterator[bytes]:
        # The run goes on when its reader leaves: the retry of a caller whose
        # connection broke reads the answer from it.
        try:
            async for data in self._read(request, attempt, result):
                yield data
        finally:
            self._close(attempt)

    async def choose(self, request: Request, excluded: set[VmId]) -> VmId:
        """Chooses the upstream of the next attempt.

        Raises:
            NoCapacityError: None can take the request now.
            RequestRefusedError: It may not run any more.
        """
        version = str(request.version)
        while True:
            vm = choose_upstream(
                self._upstreams.get_views(),
                version,
                frozenset(excluded),
                self._rng,
            )
            if vm is not None:
                self._rights.check(request)
                return vm
            if not self._upstreams.may_return(version, excluded) or (
                time.monotonic() + RETURN_POLL_S >= request.deadline_at_s
            ):
                raise NoCapacityError(
                    f"No upstream can take {version!r} now.",
                    RunState.NOT_RUN,
                    retry_after_s=RETRY_AFTER_S,
                )
            # All connections may have gone silent together, with nothing
            # wrong at their ends. New ones are seconds away at most: by then
            # a link has answered or is lost.
            await asyncio.sleep(RETURN_POLL_S)

    async def _start_attempt(
        self,
        request: Request,
        result: Result,
        excluded: set[VmId],
        strikes: int,
        probe: bool,
    ) -> Attempt:
        vm = await self.choose(request, excluded)
        result.attempts += 1
        heartbeat = self._upstreams.get_heartbeat(vm)
        attempt = self._open(
            (request.request_id, result.attempts),
            vm,
            heartbeat.incarnation if heartbeat else 0,
        )
        self._upstreams.send(
            vm, self._make_dispatch(request, attempt, strikes, probe)
        )
        return attempt

    def _open_run(self, run: RunId) -> Attempt:
        key = (run.request_id, run.attempt)
        return self._open(key, run.sidecar, run.incarnation)

    def _open(self, key: AttemptKey, vm: VmId, incarnation: int) -> Attempt:
        attempt = Attempt(key, vm, incarnation)
        self._attempts.setdefault(key, []).append(attempt)
        self._upstreams.note_sent(vm)
        return attempt

    def _close(self, attempt: Attempt) -> None:
        readers = self._attempts[attempt.key]
        readers.remove(attempt)
        if not readers:
            del self._attempts[attempt.key]
        link = self._upstreams.links.get(attempt.vm)
        if link is not None and link.in_use > 0:
            link.in_use -= 1

    def _get_attempts(self) -> list[Attempt]:
        return [each for readers in self._attempts.values() for each in readers]

    def _make_dispatch(
        self, request: Request, attempt: Attempt, strikes: int, probe: bool
    ) -> Dispatch:
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
            attempt.incarnation,
            strikes=strikes,
            probe=probe,
            clock_ms=self._get_clock_ms(attempt),
            headers=request.headers,
        )

    def _get_clock_ms(self, attempt: Attempt) -> int:
        heartbeat = self._upstreams.get_heartbeat(attempt.vm)
        if heartbeat is None or heartbeat.incarnation != attempt.incarnation:
            return -1
        return heartbeat.clock_ms

    def _end_attempt(self, attempt: Attempt, result: Result) -> None:
        self._close(attempt)
        if result.finished is None:
            self._upstreams.send(attempt.vm, attempt.make_cancel())

    async def _read(
        self, request: Request, attempt: Attempt, result: Result
    ) -> AsyncIterator[bytes]:
        deadline = asyncio.get_running_loop().call_later(
            request.deadline_at_s - time.monotonic(),
            attempt.fail,
            DeadlineExceededError("The deadline has passed.", RunState.UNKNOWN),
        )
        try:
            async for data in self._read_outcomes(attempt, result):
                yield data
        finally:
            deadline.cancel()

    async def _read_outcomes(
        self, attempt: Attempt, result: Result
    ) -> AsyncIterator[bytes]:
        while True:
            outcome = await attempt.get()
            match outcome:
                case Chunk():
                    yield outcome.data
                    # Only what the caller has taken is acknowledged, so that
                    # a slow one holds up its own run and nothing else.
                    ack = attempt.make_ack(outcome)
                    if ack is not None:
                        self._upstreams.send(attempt.vm, ack)
                case Finished():
                    result.finished = outcome
                    return
                case Refused():
                    raise _make_refusal(outcome)
                case _:
                    raise outcome

    def _on_check_due(self) -> None:
        now_s = time.monotonic()
        for attempt in self._get_attempts():
            link = self._upstreams.links.get(attempt.vm)
            if link is None or self._upstreams.is_lost(link):
                self._fail_lost(attempt, "The upstream is silent.")
            elif attempt.is_idle and (
                now_s - attempt.last_event_s > ATTACH_AFTER_S
            ):
                # The dispatch, or the answer's next part, may be lost on a
                # connection that has gone silent since. Asking costs little:
                # a sidecar that never saw the run bars it and says so.
                attempt.last_event_s = now_s
                self._upstreams.send(attempt.vm, attempt.make_attach())

    def _fail_lost(self, attempt: Attempt, message: str) -> None:
        attempt.fail(UpstreamLostError(message, RunState.UNKNOWN))

    def _on_message(self, vm: VmId, message: Message) -> None:
        del vm
        if not isinstance(message, Accepted | Chunk | Finished | Refused):
            return
        key = (message.request_id, message.attempt)
        for attempt in self._attempts.get(key, ()):
            attempt.add(message)

    def _on_reconnect(self, vm: VmId) -> None:
        for attempt in self._get_attempts():
            if attempt.vm == vm:
                self._upstreams.send(vm, attempt.make_attach())

    def _on_gone(self, vm: VmId) -> None:
        for attempt in self._get_attempts():
            if attempt.vm == vm:
                attempt.fail(
                    UpstreamCrashedError(
                        "The upstream's sidecar has ended.", RunState.UNKNOWN
                    )
                )


def _make_failure(
    request: Request, result: Result, error: RequestRefusedError
) -> Failure:
    return Failure(
        error,
        result.attempts - result.waits,
        result.passed_on,
        request.repeatable,
        request.deadline_at_s - time.monotonic(),
    )


def _make_refusal(refused: Refused) -> RequestRefusedError:
    kind = REFUSALS.get(refused.code, UpstreamFailedError)
    return kind(refused.message, refused.run, refused.retry_after_s)

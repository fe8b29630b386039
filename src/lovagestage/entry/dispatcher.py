"""Runs one request through its attempts at upstreams."""

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
    REFUSAL_CLASSES,
    DeadlineExceededError,
    NoCapacityError,
    RequestRefusedError,
    UpstreamCrashedError,
    UpstreamFailedError,
    UpstreamLostError,
)
from lovagestage.execution.attempts import Attempt, AttemptKey
from lovagestage.execution.request import Request, Result, combine_run_states
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
RECONNECT_POLL_S = 0.05
ATTACH_AFTER_S = 1.0
"""Time in seconds without data after which the dispatcher asks the sidecar for
the missing part of a run. Without it a message that was lost with its
connection would stall the answer."""


class PermissionCheck(Protocol):
    """Checks whether a request is still allowed to run."""

    def check(self, request: Request) -> None:
        """Raises `RequestRefusedError` for a request that may not run."""


class Dispatcher:
    """Sends requests to upstreams and reads their answers.

    Args:
        upstreams: Connections to sidecars.
        rng: Source of randomness for the choice of upstreams and for jitter.
        timers: Timer service.
        crashes: Requests that are suspected of crashing upstreams.
        permissions: Checks a request again immediately before it is sent.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        rng: random.Random,
        timers: TimerService,
        crashes: CrashWatch,
        permissions: PermissionCheck,
    ) -> None:
        self._upstreams = upstreams
        self._crashes = crashes
        self._permissions = permissions
        self._rng = rng
        self._retry_budget = RetryBudget(time.monotonic())
        self._attempts: dict[AttemptKey, list[Attempt]] = {}
        upstreams.subscribe(
            self._on_message, self._on_reconnect, self._on_upstream_gone
        )
        timers.subscribe(CHECK_INTERVAL_S, self._on_check_due)

    async def run(
        self, request: Request, result: Result
    ) -> AsyncIterator[bytes]:
        """Yields the chunks of the answer in order, each exactly once.

        Args:
            request: The request.
            result: Filled in while the request runs.

        Raises:
            RequestRefusedError: There is no complete answer; the error says
                whether the request was run.
        """
        self._retry_budget.record_request(time.monotonic())
        try:
            async for data in self._run(request, result):
                yield data
        except RequestRefusedError as error:
            # The last attempt may not have run although an earlier one did.
            error.run = combine_run_states(result.run, error.run)
            raise

    async def _run(
        self, request: Request, result: Result
    ) -> AsyncIterator[bytes]:
        fingerprint = get_fingerprint(request.workspace, request.body)
        excluded: set[VmId] = set()
        while True:
            attempts_before = result.attempts
            try:
                async for data in self._run_attempt(
                    request, result, fingerprint, excluded
                ):
                    yield data
                return
            except RequestRefusedError as error:
                if result.attempts == attempts_before:
                    raise
                failure = _make_failure(request, result, error)
            delay_s = get_retry_delay_s(
                failure,
                self._retry_budget,
                time.monotonic(),
                self._rng.random(),
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

    async def _run_attempt(
        self,
        request: Request,
        result: Result,
        fingerprint: Fingerprint,
        excluded: set[VmId],
    ) -> AsyncIterator[bytes]:
        label = f"{request.request_id}/{result.attempts + 1}"
        probe = await self._crashes.admit(
            fingerprint, label, request.deadline_at_s
        )
        with self._crashes.track_attempt(fingerprint, label) as tracked:
            attempt = await self._start_attempt(
                request,
                result,
                excluded,
                self._crashes.get_strikes(fingerprint),
                probe,
            )
            tracked.upstream = attempt.upstream
            try:
                async for data in self._read_answer(request, attempt, result):
                    yield data
                return
            except RequestRefusedError as error:
                result.record_failure(error, attempt)
                if is_upstream_at_fault(error):
                    excluded.add(attempt.vm)
                raise
            finally:
                self._end_attempt(attempt, result)

    def get_sizes(self) -> dict[str, int]:
        """Returns the sizes of the tables, for the state dump."""
        return {
            "attempts": len(self._attempts),
            "crash_suspects": len(self._crashes),
            "retry_budget": int(self._retry_budget.tokens),
        }

    async def run_claimed(
        self, request: Request, run: RunId, result: Result
    ) -> AsyncIterator[bytes]:
        """Starts the run that a request key was claimed for, and reads it.

        Args:
            request: The request.
            run: The claimed run.
            result: Filled in while the run is read.
        """
        fingerprint = get_fingerprint(request.workspace, request.body)
        label = f"{run.request_id}/{run.attempt}"
        probe = await self._crashes.admit(
            fingerprint, label, request.deadline_at_s
        )
        with self._crashes.track_attempt(fingerprint, label) as tracked:
            attempt = self._open_run(run)
            tracked.upstream = attempt.upstream
            dispatch = msgspec.structs.replace(
                self._make_dispatch(
                    request,
                    attempt,
                    self._crashes.get_strikes(fingerprint),
                    probe,
                ),
                keyed=True,
                permit_ms=run.permit_ms,
            )
            self._upstreams.send(run.sidecar, dispatch)
            async for data in self._read_shared_run(request, attempt, result):
                yield data

    async def join_run(
        self, request: Request, run: RunId, result: Result
    ) -> AsyncIterator[bytes]:
        """Reads a run that another request with the same key has started.

        Args:
            request: The request that reads the answer.
            run: The run of the other request.
            result: Filled in while the run is read.
        """
        attempt = self._open_run(run)
        self._upstreams.send(run.sidecar, attempt.make_attach())
        async for data in self._read_shared_run(request, attempt, result):
            yield data

    async def _read_shared_run(
        self, request: Request, attempt: Attempt, result: Result
    ) -> AsyncIterator[bytes]:
        # The run is not cancelled when its reader disconnects: a caller that
        # retries after a broken connection reads the answer from this run.
        try:
            async for data in self._read_answer(request, attempt, result):
                yield data
        finally:
            self._close_attempt(attempt)

    async def select_upstream(
        self, request: Request, excluded: set[VmId]
    ) -> VmId:
        """Chooses the upstream of the next attempt.

        Args:
            request: The request.
            excluded: Upstreams that must not be chosen.

        Returns:
            The VM of the upstream.

        Raises:
            NoCapacityError: No upstream can accept the request now.
            RequestRefusedError: The request is no longer allowed to run.
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
                self._permissions.check(request)
                return vm
            if not self._upstreams.may_recover(version, excluded) or (
                time.monotonic() + RECONNECT_POLL_S >= request.deadline_at_s
            ):
                raise NoCapacityError(
                    f"No upstream can take {version!r} now.",
                    RunState.NOT_RUN,
                    retry_after_s=RETRY_AFTER_S,
                )
            # All connections may have stopped receiving data together although
            # the processes at their ends work. Reconnections take seconds at
            # most: by then a link has answered or is declared lost.
            await asyncio.sleep(RECONNECT_POLL_S)

    async def _start_attempt(
        self,
        request: Request,
        result: Result,
        excluded: set[VmId],
        strikes: int,
        probe: bool,
    ) -> Attempt:
        vm = await self.select_upstream(request, excluded)
        result.attempts += 1
        heartbeat = self._upstreams.get_heartbeat(vm)
        attempt = self._open_attempt(
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
        return self._open_attempt(key, run.sidecar, run.incarnation)

    def _open_attempt(
        self, key: AttemptKey, vm: VmId, incarnation: int
    ) -> Attempt:
        attempt = Attempt(key, vm, incarnation)
        self._attempts.setdefault(key, []).append(attempt)
        self._upstreams.record_sent(vm)
        return attempt

    def _close_attempt(self, attempt: Attempt) -> None:
        readers = self._attempts[attempt.key]
        readers.remove(attempt)
        if not readers:
            del self._attempts[attempt.key]
        link = self._upstreams.links.get(attempt.vm)
        if link is not None and link.in_use > 0:
            link.in_use -= 1

    def _list_attempts(self) -> list[Attempt]:
        return [
            attempt
            for readers in self._attempts.values()
            for attempt in readers
        ]

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
        self._close_attempt(attempt)
        if result.finished is None:
            self._upstreams.send(attempt.vm, attempt.make_cancel())

    async def _read_answer(
        self, request: Request, attempt: Attempt, result: Result
    ) -> AsyncIterator[bytes]:
        deadline_timer = asyncio.get_running_loop().call_later(
            request.deadline_at_s - time.monotonic(),
            attempt.fail,
            DeadlineExceededError("The deadline has passed.", RunState.UNKNOWN),
        )
        try:
            async for data in self._read_outcomes(attempt, result):
                yield data
        finally:
            deadline_timer.cancel()

    async def _read_outcomes(
        self, attempt: Attempt, result: Result
    ) -> AsyncIterator[bytes]:
        while True:
            outcome = await attempt.get()
            match outcome:
                case Chunk():
                    yield outcome.data
                    # Only data that the caller has consumed is acknowledged,
                    # so that a slow caller delays its own run and no other.
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
        for attempt in self._list_attempts():
            link = self._upstreams.links.get(attempt.vm)
            if link is None or self._upstreams.is_lost(link):
                self._fail_as_lost(attempt, "The upstream is silent.")
            elif attempt.is_idle and (
                now_s - attempt.last_event_s > ATTACH_AFTER_S
            ):
                # The dispatch, or the next part of the answer, may have been
                # lost on a connection that has stopped working since. Asking
                # again is cheap: a sidecar that never received the run prevents
                # it from running later and reports that, or else reports that
                # the state of the run is unknown.
                attempt.last_event_s = now_s
                self._upstreams.send(attempt.vm, attempt.make_attach())

    def _fail_as_lost(self, attempt: Attempt, message: str) -> None:
        attempt.fail(UpstreamLostError(message, RunState.UNKNOWN))

    def _on_message(self, vm: VmId, message: Message) -> None:
        del vm
        if not isinstance(message, Accepted | Chunk | Finished | Refused):
            return
        key = (message.request_id, message.attempt)
        for attempt in self._attempts.get(key, ()):
            attempt.add(message)

    def _on_reconnect(self, vm: VmId) -> None:
        for attempt in self._list_attempts():
            if attempt.vm == vm:
                self._upstreams.send(vm, attempt.make_attach())

    def _on_upstream_gone(self, vm: VmId) -> None:
        for attempt in self._list_attempts():
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
        result.attempts - result.probe_waits,
        result.has_yielded_output,
        request.repeatable,
        request.deadline_at_s - time.monotonic(),
    )


def _make_refusal(refused: Refused) -> RequestRefusedError:
    error_type = REFUSAL_CLASSES.get(refused.code, UpstreamFailedError)
    return error_type(refused.message, refused.run, refused.retry_after_s)

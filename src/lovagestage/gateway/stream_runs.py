"""Forwards requests that are answered with a stream of events."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable
from typing import TypeVar

from lovagestage.adapters.http1 import TURN_EVENTS
from lovagestage.decisions.crash_admission import Admission
from lovagestage.exceptions import AttemptFailedError, GatewayRefusalError
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.continuation import Continuation
from lovagestage.gateway.escalation import get_first_model, get_larger_model
from lovagestage.gateway.exchange import Exchange
from lovagestage.gateway.messages import AnswerHead
from lovagestage.gateway.run_weighing import RunWeighing
from lovagestage.gateway.runs import (
    MAX_BODY_BYTES,
    RunContext,
    begin_attempt,
    get_answer_timeout_s,
    make_exchange,
    record_failed_attempt,
    record_prefill_time,
    record_whole_answer,
    should_retry_answer,
    wait_with_timeout,
)
from lovagestage.gateway.silence import wait_for_data
from lovagestage.gateway.sinks import AnswerSink
from lovagestage.gateway.streams import EventSplitter, has_field
from lovagestage.gateway.upstream import Upstream
from lovagestage.platform.headers import decode_event_id
from lovagestage.types import RunState

_log = logging.getLogger(__name__)
_Result = TypeVar("_Result")


@dataclasses.dataclass(frozen=True)
class _Progress:
    """What the caller has received of the stream, over all runs.

    Attributes:
        last_id: Id of the last event that the caller has received, also with an
            earlier request; None without one.
        is_started: Whether the head of the stream was sent.
    """

    last_id: str | None
    is_started: bool


@dataclasses.dataclass(frozen=True)
class _NextRun:
    """Next run of a request, after a run whose answer is not forwarded.

    Attributes:
        model: Model that is to answer; None if none is named.
    """

    model: str | None


async def forward_stream(
    context: RunContext, attempts: Attempts, sink: AnswerSink
) -> None:
    """Sends a request to upstreams until its stream is complete.

    If a run breaks off, the next one at another upstream continues after the
    last complete event that the caller has received.

    Args:
        context: Dependencies of the run.
        attempts: Attempts of the request.
        sink: Receives the stream.

    Raises:
        GatewayRefusalError: No upstream gave an answer that can be forwarded.
        AttemptFailedError: The stream broke off after it had started and may
            not be continued.
    """
    await _Stream(context, attempts, sink).run()


class _Stream:
    """A caller's stream, over all of its runs."""

    def __init__(
        self, context: RunContext, attempts: Attempts, sink: AnswerSink
    ) -> None:
        request = attempts.admitted.request
        self._context = context
        self._attempts = attempts
        self._sink = sink
        self._progress = _Progress(request.resume_after, False)
        self._continuation = Continuation(attempts)

    async def run(self) -> None:
        """Sends the request to upstreams until its stream is complete."""
        attempts = self._attempts
        model = get_first_model(
            attempts.admitted.route, attempts.admitted.request
        )
        try:
            next_run: _NextRun | None = _NextRun(model)
            while next_run is not None:
                next_run = await self._run_once(next_run.model)
        except GatewayRefusalError as refusal:
            if not self._progress.is_started:
                raise
            raise AttemptFailedError(
                refusal.reason, RunState.UNKNOWN, is_upstream_at_fault=False
            ) from refusal

    async def _run_once(self, model: str | None) -> _NextRun | None:
        context, attempts = self._context, self._attempts
        upstream = await begin_attempt(context, attempts, model)
        name = attempts.run_name
        run = _StreamRun(
            context, attempts, upstream, model, self._progress, self._sink
        )
        try:
            return await run.run()
        except AttemptFailedError as error:
            failure = error
            record_failed_attempt(context, attempts, upstream, error)
        finally:
            self._progress = run.progress
            context.suspects.record_ended(
                attempts.fingerprint, name, attempts.parts
            )
        await self._continuation.prepare_run(failure, self._progress.is_started)
        return _NextRun(model)


class _StreamRun:
    """One run of a stream at one upstream.

    Attributes:
        progress: What the caller has received, this run included.
    """

    def __init__(
        self,
        context: RunContext,
        attempts: Attempts,
        upstream: Upstream,
        model: str | None,
        progress: _Progress,
        sink: AnswerSink,
    ) -> None:
        self.progress = progress
        self._context = context
        self._attempts = attempts
        self._upstream = upstream
        self._model = model
        self._sink = sink
        self._splitter = EventSplitter()
        self._started_s = asyncio.get_running_loop().time()
        self._awaits_first_event = True
        self._held_comments: list[bytes] = []
        self._weighing = RunWeighing(context, attempts, upstream, model, True)

    async def run(self) -> _NextRun | None:
        """Sends the request to the upstream and forwards its answer.

        Returns:
            The run that is to follow; None if the caller has its answer.

        Raises:
            AttemptFailedError: The answer did not come in time, is invalid or
                broke off.
        """
        attempts = self._attempts
        limit_s = get_answer_timeout_s(self._context, attempts, self._model)
        exchange = make_exchange(
            self._context,
            attempts,
            self._upstream,
            self._model,
            self.progress.last_id,
        )
        with self._weighing:
            return await self._run_exchange(exchange, limit_s)

    async def _run_exchange(
        self, exchange: Exchange, limit_s: float
    ) -> _NextRun | None:
        attempts = self._attempts
        async with exchange:
            head = await self._wait_for_data(exchange.fetch_head(), limit_s)
            attempts.record_head(exchange.connect_s, exchange.head_s)
            if head.status >= 300:
                return await self._forward_failure(exchange, head)
            larger_model = self._get_larger_model(head)
            if larger_model is not None:
                self._weighing.record_start()
                self._context.suspects.check_dropped_run(
                    attempts.fingerprint,
                    attempts.run_name,
                    self._upstream,
                    attempts.parts,
                )
                return _NextRun(larger_model)
            limit_s -= self._get_run_time_s()
            await self._forward_events(exchange, head, limit_s)
        return None

    async def _forward_failure(
        self, exchange: Exchange, head: AnswerHead
    ) -> _NextRun | None:
        attempts = self._attempts
        body = await wait_with_timeout(
            attempts, exchange.fetch_body(MAX_BODY_BYTES), attempts.remaining_s
        )
        failed = head.status >= 500
        self._upstream.performance.record_answer(failed)
        if failed:
            self._weighing.record_failed()
            if should_retry_answer(attempts, self._upstream, head.status):
                return _NextRun(self._model)
        if self.progress.is_started:
            raise AttemptFailedError(
                "failed", RunState.RAN, is_upstream_at_fault=False
            )
        await self._sink.send_answer(head, body)
        return None

    def _get_larger_model(self, head: AnswerHead) -> str | None:
        attempts = self._attempts
        # A probe that is dropped proves nothing, and the next one may crash
        # another upstream.
        if self.progress.is_started or self._context.suspects.is_probe(
            attempts.run_name
        ):
            return None
        route = attempts.admitted.route
        load = self._context.gauge.get_load(
            attempts.get_shortest_wait_s(), route.target_latency_s
        )
        larger_model = get_larger_model(
            route,
            self._model,
            head.confidence,
            attempts.admitted.request.prompt_tokens,
            load,
            attempts.remaining_ratio,
        )
        if larger_model is None:
            return None
        # The answer that is ready is dropped for a run that must be admitted.
        admission = self._context.suspects.admit(
            attempts.fingerprint, attempts.parts
        )
        if admission is not Admission.FREE:
            return None
        if not attempts.may_escalate():
            return None
        _log.info(
            "request_escalated",
            extra={
                "request": attempts.admitted.request.id,
                "confidence": head.confidence,
                "pressure": round(load, 2),
                "model": larger_model,
            },
        )
        return larger_model

    async def _forward_events(
        self, exchange: Exchange, head: AnswerHead, limit_s: float
    ) -> None:
        attempts = self._attempts
        event_timeout_s = attempts.admitted.route.max_event_interval_s
        first_event_s = self._get_run_time_s() + limit_s
        while True:
            chunk = await self._wait_for_data(exchange.fetch_chunk(), limit_s)
            if chunk is None:
                break
            for number, event in enumerate(self._splitter.split(chunk), 1):
                if self._holds(event):
                    limit_s = first_event_s - self._get_run_time_s()
                else:
                    await self._forward_event(exchange, head, event)
                    limit_s = event_timeout_s
                if number % TURN_EVENTS == 0:
                    # Others run between events that came together.
                    await asyncio.sleep(0)
        # A process that ends closes its connections too, which alone does not
        # complete a stream of which nothing has come.
        is_empty = self.progress == _Progress(None, False)
        if self._splitter.has_incomplete_event or (
            is_empty and head.ends_with_connection
        ):
            raise AttemptFailedError("event_broken", RunState.RAN)
        self._upstream.performance.record_answer(False)
        record_whole_answer(self._context, attempts, self._upstream, head)
        if not self.progress.is_started:
            await self._start_stream(head)
        await self._sink.finish_stream()

    def _holds(self, event: bytes) -> bool:
        """Keeps a comment that comes ahead of the caller's first event.

        Until that, another upstream may answer in place of one that fails.
        """
        if self.progress.is_started or has_field(event):
            return False
        self._held_comments.append(event)
        return True

    async def _start_stream(self, head: AnswerHead) -> None:
        await self._sink.start_stream(head)
        for comment in self._held_comments:
            await self._sink.send_event(comment)
        self._held_comments.clear()

    async def _forward_event(
        self, exchange: Exchange, head: AnswerHead, event: bytes
    ) -> None:
        self._weighing.record_event()
        if self._awaits_first_event:
            self._awaits_first_event = False
            exchange.record_answer_start(self._get_run_time_s())
            self._record_first_event()
        if not self.progress.is_started:
            await self._start_stream(head)
        await self._sink.send_event(event)
        self._weighing.record_sent()
        last_id = decode_event_id(event) or self.progress.last_id
        self.progress = _Progress(last_id, True)

    async def _wait_for_data(
        self, awaitable: Awaitable[_Result], patience_s: float
    ) -> _Result:
        return await wait_for_data(
            self._context.suspects,
            self._attempts,
            self._upstream,
            awaitable,
            patience_s,
        )

    def _get_run_time_s(self) -> float:
        return asyncio.get_running_loop().time() - self._started_s

    def _record_first_event(self) -> None:
        context, attempts = self._context, self._attempts
        route, time_s = attempts.admitted.route, self._get_run_time_s()
        kind = (route.name, self._model)
        self._weighing.record_start()
        if not attempts.assignment.is_new:
            context.latency.record(kind, time_s)
            record_prefill_time(context, attempts, time_s)
        context.gauge.record_first_event(time_s, route.target_latency_s)
        if attempts.first_event_s is None:
            now_s = asyncio.get_running_loop().time()
            attempts.first_event_s = now_s - attempts.admitted.request.arrived_s

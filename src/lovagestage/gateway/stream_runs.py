"""Requests that are answered with a stream of events."""

from __future__ import annotations

import asyncio
import dataclasses
import logging

from lovagestage.exceptions import AttemptFailedError
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.cascades import get_first_model, get_larger_model
from lovagestage.gateway.exchange import Exchange
from lovagestage.gateway.messages import AnswerHead
from lovagestage.gateway.rollouts import AnswerQuality
from lovagestage.gateway.runs import (
    MAX_BODY_BYTES,
    RunParts,
    add_evidence,
    begin_attempt,
    get_silence_limit_s,
    limit_wait,
    make_exchange,
    may_repeat_answer,
    note_failure,
    note_reading,
)
from lovagestage.gateway.sinks import AnswerSink
from lovagestage.gateway.streams import EventSplitter
from lovagestage.gateway.upstream import Upstream
from lovagestage.platform.headers import decode_event
from lovagestage.types import RunState

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class _Progress:
    """What the caller has had, over all runs.

    Attributes:
        last_id: Id of the last event that it has; None for none.
        is_started: Whether it has the head.
    """

    last_id: str | None
    is_started: bool


@dataclasses.dataclass(frozen=True)
class _NextRun:
    """A run that is to follow one that ended without an answer to keep."""

    model: str | None


async def forward_stream(
    parts: RunParts, attempts: Attempts, sink: AnswerSink
) -> None:
    """Runs a request until its stream is complete.

    A run that breaks off is followed by one at another upstream, which goes
    on after the last whole event that the caller has.

    Raises:
        GatewayRefusalError: It has no answer of an upstream.
        AttemptFailedError: It broke off after it had begun.
    """
    admitted = attempts.admitted
    model = get_first_model(admitted.route, admitted.request)
    progress = _Progress(admitted.request.resume_after, False)
    while True:
        upstream = await begin_attempt(parts, attempts, model)
        run = _StreamRun(parts, attempts, upstream, model, progress, sink)
        try:
            following = await run.run()
        except AttemptFailedError as error:
            progress = run.progress
            note_failure(parts, attempts, upstream, error)
            if attempts.may_repeat():
                continue
            if progress.is_started:
                raise
            raise attempts.make_refusal(error.reason) from error
        if following is None:
            return
        model = following.model


class _StreamRun:
    """One run of a stream.

    Attributes:
        progress: What the caller has had after it.
    """

    def __init__(
        self,
        parts: RunParts,
        attempts: Attempts,
        upstream: Upstream,
        model: str | None,
        progress: _Progress,
        sink: AnswerSink,
    ) -> None:
        self.progress = progress
        self._parts = parts
        self._attempts = attempts
        self._upstream = upstream
        self._model = model
        self._sink = sink
        self._splitter = EventSplitter()
        self._started_s = asyncio.get_running_loop().time()
        self._is_first = True

    async def run(self) -> _NextRun | None:
        """Runs it.

        Returns:
            The run that is to follow; None where the caller has its answer.

        Raises:
            AttemptFailedError: It broke off.
        """
        attempts = self._attempts
        limit_s = get_silence_limit_s(self._parts, attempts, self._model)
        async with make_exchange(
            self._parts,
            attempts,
            self._upstream,
            self._model,
            self.progress.last_id,
        ) as exchange:
            head = await limit_wait(attempts, exchange.fetch_head(), limit_s)
            attempts.note_head(exchange.connect_s, exchange.head_s)
            if head.status >= 300:
                return await self._pass_failure(exchange, head)
            larger = self._get_larger_model(head)
            if larger is not None:
                return _NextRun(larger)
            limit_s -= self._get_time_s()
            await self._pass_events(exchange, head, limit_s)
        return None

    async def _pass_failure(
        self, exchange: Exchange, head: AnswerHead
    ) -> _NextRun | None:
        attempts = self._attempts
        body = await limit_wait(
            attempts, exchange.fetch_body(MAX_BODY_BYTES), attempts.left_s
        )
        failed = head.status >= 500
        self._upstream.performance.note_answer(failed)
        if failed:
            add_evidence(
                self._parts, attempts, self._upstream, AnswerQuality.FAILED
            )
            if may_repeat_answer(attempts, self._upstream, head.status):
                return _NextRun(self._model)
        if self.progress.is_started:
            raise AttemptFailedError("failed", RunState.RAN, at_fault=False)
        await self._sink.send_whole(head, body)
        return None

    def _get_larger_model(self, head: AnswerHead) -> str | None:
        attempts = self._attempts
        if self.progress.is_started:
            return None
        route = attempts.admitted.route
        pressure = self._parts.gauge.get_pressure(
            attempts.get_least_wait_s(), route.aim_s
        )
        larger = get_larger_model(
            route,
            self._model,
            head.confidence,
            attempts.admitted.request.prompt_tokens,
            pressure,
            attempts.left_ratio,
        )
        if larger is None or not attempts.may_escalate():
            return None
        _log.info(
            "request_escalated",
            extra={
                "request": attempts.admitted.request.id,
                "confidence": head.confidence,
                "pressure": round(pressure, 2),
                "model": larger,
            },
        )
        return larger

    async def _pass_events(
        self, exchange: Exchange, head: AnswerHead, limit_s: float
    ) -> None:
        attempts = self._attempts
        gap_s = attempts.admitted.route.gap_s
        while True:
            limit_s = min(limit_s, attempts.left_s)
            part = await limit_wait(attempts, exchange.fetch_part(), limit_s)
            if part is None:
                break
            for event in self._splitter.split(part):
                await self._pass_event(exchange, head, event)
                limit_s = gap_s
        if self._splitter.has_rest:
            raise AttemptFailedError("event_broken", RunState.RAN)
        self._upstream.performance.note_answer(False)
        self._parts.suspects.note_answered(
            attempts.fingerprint, attempts.run_name
        )
        if not self.progress.is_started:
            await self._sink.start(head)
        await self._sink.finish()

    async def _pass_event(
        self, exchange: Exchange, head: AnswerHead, event: bytes
    ) -> None:
        if self._is_first:
            self._is_first = False
            exchange.note_begun(self._get_time_s())
            self._note_first_event()
        if not self.progress.is_started:
            await self._sink.start(head)
        await self._sink.send(event)
        last_id = decode_event(event) or self.progress.last_id
        self.progress = _Progress(last_id, True)

    def _get_time_s(self) -> float:
        return asyncio.get_running_loop().time() - self._started_s

    def _note_first_event(self) -> None:
        parts, attempts = self._parts, self._attempts
        route, time_s = attempts.admitted.route, self._get_time_s()
        kind = (route.name, self._model)
        is_slow = parts.latency.is_slow(kind, time_s, attempts.extra_s)
        quality = AnswerQuality.SLOW if is_slow else AnswerQuality.GOOD
        add_evidence(parts, attempts, self._upstream, quality)
        if not attempts.assignment.is_new:
            parts.latency.add(kind, time_s)
            note_reading(parts, attempts, time_s)
        parts.gauge.add(time_s, route.aim_s)
        if attempts.first_event_s is None:
            now_s = asyncio.get_running_loop().time()
            attempts.first_event_s = now_s - attempts.admitted.request.arrived_s

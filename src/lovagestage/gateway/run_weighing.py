"""Weighs a run as evidence on the version of its upstream.

A run is good once its answer has started in time and ended whole: a version
may break off what it has begun. It is weighed as slow as soon as it is later
than such an answer may be: whether the answer still comes, the attempt is given
up for another one or the caller leaves makes no difference then. Otherwise a
slow version would be known by its fast answers alone.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

from lovagestage.exceptions import AttemptFailedError
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.latency import VERY_SLOW_RATIO, judge_unknown_kind
from lovagestage.gateway.pace import STALL_S, PaceClock
from lovagestage.gateway.rollout_evidence import AnswerQuality, EvidenceAspect
from lovagestage.gateway.runs import (
    CRASH_LIKE_REASONS,
    RunContext,
    begin_request,
    record_evidence,
    start_request,
)
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import RunState

STALL_GRACE_S = 0.1
"""Time in seconds that a process that stood still has to read what upstreams
have sent meanwhile."""


class RunWeighing:
    """Weighs one run, at most once, from its start to its end.

    Args:
        context: Dependencies of the run.
        attempts: Attempts of the request; the last one is this run.
        upstream: Upstream of the run.
        model: Model that is to answer; None if none is named.
        has_queue_allowance: Whether the upstream's queue and an uncached prompt
            prefix excuse a late answer.
    """

    def __init__(
        self,
        context: RunContext,
        attempts: Attempts,
        upstream: Upstream,
        model: str | None,
        has_queue_allowance: bool,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._upstream = upstream
        route = attempts.admitted.route
        self._target_s = route.target_latency_s
        kind = (route.name, model)
        allowances_s = _get_allowances(attempts, has_queue_allowance)
        limit_s = context.latency.get_slow_limit_s(kind, *allowances_s)
        idle_limit_s = context.latency.get_slow_limit_s(kind)
        # Time for which the upstream's queue and the prompt excuse the run.
        self._excuse_s = (limit_s or 0.0) - (idle_limit_s or 0.0)
        very_slow_limit_s = context.latency.get_slow_limit_s(
            kind, *allowances_s, ratio=VERY_SLOW_RATIO
        )
        self._is_kind_known = limit_s is not None
        self._slow_limit_s = self._target_s if limit_s is None else limit_s
        # Time from which a run is weighed, whether its answer comes or not.
        self._limit_s = very_slow_limit_s or self._target_s
        self._started_s = get_elapsed_s()
        self._is_weighed = False
        # Quality of the answer that has started, if it ends whole.
        self._start_quality: AnswerQuality | None = None
        self._pace_kind = ("pace", attempts.admitted.service, model)
        self._pace_clock = PaceClock()
        self._last_event_s = self._started_s
        self._timer: asyncio.TimerHandle | None = None
        # Time for which this process stood still while the run was due.
        self._stalled_s = 0.0

    def __enter__(self) -> Self:
        self._started_s = self._last_event_s = get_elapsed_s()
        self._set_timer(self._limit_s)
        request = begin_request(self._context, self._attempts, self._upstream)
        request.begin_attempt(self._excuse_s, self._pace_kind, self._pace_clock)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._weigh_pace(error is None)
        if self._is_weighed:
            return
        has_started = self._start_quality is not None
        if not has_started and self._is_late(get_elapsed_s() - self._started_s):
            self._weigh_late()
        elif isinstance(error, AttemptFailedError) and _is_crash_like(error):
            has_answered = has_started or error.run is RunState.RAN
            self._weigh(AnswerQuality.LOST, has_answered)
        elif has_started and _is_silent(error):
            self._weigh_late()
        elif self._start_quality is not None:
            # The caller has left, or the time is over.
            is_whole = error is None
            self._weigh(
                self._start_quality if is_whole else AnswerQuality.UNJUDGED
            )

    def record_start(self) -> None:
        """Records that the answer has started, or that it is complete."""
        quality = self._judge_start(get_elapsed_s() - self._started_s)
        self._start_quality = quality
        if self._timer is not None:
            self._timer.cancel()
        if quality is AnswerQuality.VERY_SLOW:
            self._weigh(quality)

    def _judge_start(self, time_s: float) -> AnswerQuality:
        if self._is_late(time_s):
            return AnswerQuality.VERY_SLOW
        if time_s > self._limit_s:
            return AnswerQuality.UNJUDGED
        if not self._is_kind_known:
            return judge_unknown_kind(time_s, self._target_s)
        if time_s > self._slow_limit_s:
            return AnswerQuality.SLOW
        return AnswerQuality.GOOD

    def record_event(self) -> None:
        """Records that an event of a stream was received."""
        self._last_event_s = get_elapsed_s()
        self._pace_clock.record_event()
        start_request(self._context, self._attempts)

    def record_sent(self) -> None:
        """Records that the caller's connection has taken the last event."""
        self._pace_clock.record_sent()

    def record_failed(self) -> None:
        """Records that the upstream has answered with a failure."""
        self._weigh(AnswerQuality.FAILED)

    def _set_timer(self, delay_s: float) -> None:
        due_s = get_elapsed_s() + delay_s
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._on_timer, due_s
        )

    def _is_late(self, time_s: float) -> bool:
        """Returns whether a run is late by more than this process's stalls."""
        excuse_s = self._stalled_s + STALL_GRACE_S if self._stalled_s else 0.0
        return time_s > self._limit_s + excuse_s

    def _on_timer(self, due_s: float) -> None:
        delay_s = get_elapsed_s() - due_s
        if delay_s > STALL_S:
            self._stalled_s += delay_s
            self._set_timer(STALL_GRACE_S)
            return
        self._weigh_late()

    def _weigh_late(self) -> None:
        """Weighs a run without an answer, or whose answer does not go on.

        An upstream that has sent something else meanwhile works: the run is
        slow. Otherwise it may have crashed or its link may be cut, which ends
        all of its requests at the same time.
        """
        detector = self._upstream.performance.stall_detector
        is_working = detector.last_data_s > self._last_event_s
        self._weigh(
            AnswerQuality.VERY_SLOW if is_working else AnswerQuality.SILENT,
            self._start_quality is not None,
        )

    def _weigh_pace(self, is_complete: bool) -> None:
        """Weighs the pace of a stream after its first event.

        A version may begin its answers in time and be slow from then on.

        Args:
            is_complete: Whether the stream has ended; otherwise the time since
                its last event counts too, and only against the version.
        """
        pace = self._pace_clock.stop(is_complete)
        if pace is None:
            return
        latency = self._context.latency
        quality = latency.judge_pace(self._pace_kind, pace.interval_s)
        is_proof = is_complete and not pace.is_excused
        if quality is AnswerQuality.VERY_SLOW or (quality and is_proof):
            record_evidence(
                self._context,
                self._attempts,
                self._upstream,
                quality,
                EvidenceAspect.PACE,
                self._started_s,
            )
        if is_proof and not self._attempts.assignment.is_new:
            latency.record(self._pace_kind, pace.interval_s)

    def _weigh(
        self, quality: AnswerQuality, has_answered: bool = False
    ) -> None:
        if not self._is_weighed:
            self._is_weighed = record_evidence(
                self._context,
                self._attempts,
                self._upstream,
                quality,
                EvidenceAspect.ANSWER,
                self._started_s,
                has_answered,
            )


def _get_allowances(
    attempts: Attempts, has_queue_allowance: bool
) -> tuple[float, float]:
    """Returns the expected times in the queue and for an uncached prefix."""
    if not has_queue_allowance:
        return 0.0, 0.0
    queue_s = attempts.waits_s[-1]
    return queue_s, max(0.0, attempts.excess_s - queue_s)


def _is_silent(error: BaseException | None) -> bool:
    """Returns whether an upstream sent nothing more, with time left."""
    return (
        isinstance(error, AttemptFailedError)
        and error.is_upstream_at_fault
        and error.reason == "silent"
    )


def _is_crash_like(error: AttemptFailedError) -> bool:
    return (
        error.is_upstream_at_fault
        and error.run is not RunState.NOT_RUN
        and error.reason in CRASH_LIKE_REASONS
    )

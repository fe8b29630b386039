"""Steps that plain and streamed runs share.

These are the choice of an upstream, the call, its timeouts, and what the
gateway learns from its result.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable
from typing import TypeVar

from lovagestage.decisions.crash_admission import Admission
from lovagestage.decisions.retries import PROBE_WAIT_S
from lovagestage.exceptions import (
    AttemptFailedError,
    GatewayRefusalError,
    LovagestageError,
)
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.crash_detection import SuspectWatch
from lovagestage.gateway.exchange import Exchange
from lovagestage.gateway.latency import (
    DEFAULT_ANSWER_S,
    LatencyTable,
    LoadGauge,
)
from lovagestage.gateway.messages import AnswerHead, OutgoingCall
from lovagestage.gateway.prefill import PrefillTimes, count_prefill_tokens
from lovagestage.gateway.requests_under_way import RequestUnderWay
from lovagestage.gateway.rollout_evidence import (
    FINE_QUALITIES,
    AnswerQuality,
    EvidenceAspect,
)
from lovagestage.gateway.share_exchange import LoanSource
from lovagestage.gateway.sinks import EvidenceSink
from lovagestage.gateway.upstream import Upstream
from lovagestage.gateway.upstream_choice import AttemptCost
from lovagestage.gateway.upstream_guard import UpstreamGuard
from lovagestage.types import RunState

_log = logging.getLogger(__name__)
CRASH_LIKE_REASONS = (
    "connection_lost",
    "unreachable",
    "answer_broken",
    "event_broken",
)
"""Failure reasons that a crash of the upstream would also cause, if the request
was sent. An upstream is unreachable after that where a kept connection broke,
the request was to be sent again, and no new connection was accepted."""
MAX_SUSPECT_WAIT_S = 1.0
"""Longest time in seconds for which a request waits for another copy that is
probed. Most answers come sooner; a caller that is held longer has no time left
to try again."""
SUSPECT_POLL_S = 0.02
"""Interval in seconds between looks at whether a waiting request may run. It
is short, as the check of a crashed upstream takes a few milliseconds."""
_Result = TypeVar("_Result")

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Longest plain answer in bytes. The answer is held in memory until it is
complete, so that a request whose answer breaks off can be retried or reported
as failed."""
TIMEOUT_TARGET_RATIO = 1.0
"""Response timeout as a share of the route's target latency. It applies to an
attempt that may be followed by another one: an upstream that has sent nothing
by then is abandoned."""
TIMEOUT_MEANS = 4.0
"""Response timeout as a multiple of the mean latency of such answers, which
applies if it is longer: under high load an upstream sends nothing because the
request is queued."""


@dataclasses.dataclass(frozen=True)
class RunContext:
    """Components of the gateway that runs use.

    Attributes:
        pool: Connections to upstreams.
        guard: Decides which upstreams may get another request.
        evidence: Receives evidence for or against versions.
        latency: Latencies of answers by route and model.
        prefill_times: Times that upstreams take to prefill prompts, by model.
        gauge: Load of the upstreams.
        suspects: Tracks requests that may crash upstreams.
        loans: Borrows shares of request limits from other gateways.
    """

    pool: ConnectionPool
    guard: UpstreamGuard
    evidence: EvidenceSink
    latency: LatencyTable
    prefill_times: PrefillTimes
    gauge: LoadGauge
    suspects: SuspectWatch
    loans: LoanSource


async def begin_attempt(
    context: RunContext, attempts: Attempts, model: str | None
) -> Upstream:
    """Waits until the request may run and chooses an upstream for it.

    Args:
        context: Dependencies of the run.
        attempts: Attempts of the request.
        model: Model that is to answer; None if none is named.

    Returns:
        The upstream for the next attempt.

    Raises:
        GatewayRefusalError: The request must not run, or no upstream is left.
    """
    await _wait_for_admission(context, attempts)
    attempts.record_demand()
    if attempts.is_limited():
        await context.loans.wait_for_loan()
    attempts.model = model
    run = attempts.next_run_name
    try:
        return attempts.choose_upstream(estimate_work(context, attempts, model))
    except GatewayRefusalError:
        context.suspects.record_ended(attempts.fingerprint, run, attempts.parts)
        raise


async def _wait_for_admission(context: RunContext, attempts: Attempts) -> None:
    """Waits while a request with the same suspect is probed or checked.

    Raises:
        GatewayRefusalError: The request, or a part of its prompt, crashes
            upstreams, or the wait has become too long.
    """
    fingerprint, parts = attempts.fingerprint, attempts.parts
    end_s = get_elapsed_s() + min(
        MAX_SUSPECT_WAIT_S, attempts.remaining_s - PROBE_WAIT_S
    )
    while True:
        match context.suspects.admit(fingerprint, parts):
            case Admission.FREE:
                return
            case Admission.REFUSE:
                raise attempts.make_refusal(
                    "crashes_upstreams", is_retryable=False
                )
            case Admission.REFUSE_PARTS:
                raise attempts.make_refusal(
                    "part_crashes_upstreams", is_retryable=False
                )
            case Admission.PROBE:
                if await context.suspects.claim_probe(
                    fingerprint, attempts.next_run_name, parts
                ):
                    return
                attempts.lost_claims += 1
        if get_elapsed_s() >= end_s:
            raise attempts.make_refusal("suspect_waiting")
        await asyncio.sleep(SUSPECT_POLL_S)


def estimate_work(
    context: RunContext, attempts: Attempts, model: str | None
) -> AttemptCost:
    """Estimates the work that an attempt causes at an upstream."""
    request = attempts.admitted.request
    prompt = count_prefill_tokens(request.prompt_segments)
    if prompt is None:
        expected_s = get_expected_latency_s(context, attempts, model)
        time_s = DEFAULT_ANSWER_S if expected_s is None else expected_s
        return AttemptCost(time_s, time_s, request.prefix_key)
    return AttemptCost(
        context.prefill_times.get_prefill_s(model, prompt.fresh_tokens),
        context.prefill_times.get_prefill_s(model, prompt.cached_tokens),
        request.prefix_key,
    )


def record_prefill_time(
    context: RunContext, attempts: Attempts, time_s: float
) -> None:
    """Updates the prefill times with the last attempt's time to first event."""
    prompt = count_prefill_tokens(attempts.admitted.request.prompt_segments)
    if prompt is None:
        return
    tokens = prompt.cached_tokens if attempts.is_cached else prompt.fresh_tokens
    context.prefill_times.record(attempts.model, tokens, time_s)


def make_exchange(
    context: RunContext,
    attempts: Attempts,
    upstream: Upstream,
    model: str | None,
    resume_after: str | None,
) -> Exchange:
    """Prepares one attempt.

    Args:
        context: Dependencies of the run.
        attempts: Attempts of the request.
        upstream: The upstream that was chosen for the attempt.
        model: Model that is to answer; None if none is named.
        resume_after: Id of the last event that must not be sent again; None for
            a stream from its start.

    Returns:
        The exchange with the upstream, not yet started.

    Raises:
        GatewayRefusalError: The request's deadline has passed.
    """
    admitted = attempts.admitted
    if attempts.remaining_s <= 0.0:
        attempts.uncount_attempt()
        raise attempts.make_refusal("deadline")
    workspace = admitted.workspace
    call = OutgoingCall(
        admitted.request,
        upstream.id,
        attempts.remaining_s,
        workspace.name if workspace else None,
        model,
        resume_after,
        admitted.priority,
    )
    return Exchange(
        context.pool,
        context.guard,
        upstream,
        call,
        admitted.route.may_run_again,
        get_expected_latency_s(context, attempts, model),
        attempts.work_s,
    )


def get_expected_latency_s(
    context: RunContext, attempts: Attempts, model: str | None
) -> float | None:
    """Returns the mean time until such an answer starts; None if unknown."""
    route = attempts.admitted.route
    return context.latency.get((route.name, model))


def get_answer_timeout_s(
    context: RunContext, attempts: Attempts, model: str | None
) -> float:
    """Returns the time in seconds within which an answer is to start.

    After it, the attempt is given up where another one may follow. If the
    request must not be sent again after this attempt, it is the time until the
    request's deadline. Otherwise a timeout derived from the route's target
    latency and the mean latency of such answers applies as well.
    """
    route = attempts.admitted.route
    left_s = max(0.0, attempts.remaining_s)
    if not route.may_run_again or attempts.runs >= route.max_attempts:
        return left_s
    mean_s = context.latency.get((route.name, model)) or 0.0
    limit_s = max(
        TIMEOUT_TARGET_RATIO * route.target_latency_s, TIMEOUT_MEANS * mean_s
    )
    return min(left_s, limit_s)


async def wait_with_timeout(
    attempts: Attempts, awaitable: Awaitable[_Result], limit_s: float
) -> _Result:
    """Waits for data from an upstream.

    Args:
        attempts: Attempts of the request.
        awaitable: The read to wait for.
        limit_s: Timeout in seconds.

    Returns:
        The result of the read.

    Raises:
        AttemptFailedError: The upstream sent nothing in time. This counts as a
            fault of the upstream if the request has time left.
    """
    try:
        async with asyncio.timeout(max(0.0, limit_s)):
            return await awaitable
    except TimeoutError as error:
        raise AttemptFailedError(
            "silent", RunState.UNKNOWN, attempts.remaining_s > 0.0
        ) from error


def record_failed_attempt(
    context: RunContext,
    attempts: Attempts,
    upstream: Upstream,
    error: AttemptFailedError,
) -> None:
    """Records an attempt that gave no answer.

    What it says of the upstream's version is weighed apart from that.
    """
    attempts.record_failure(upstream, error)
    performance, now_s = upstream.performance, get_elapsed_s()
    if error.is_upstream_at_fault and error.run is RunState.RAN:
        performance.record_answer(True)
    elif error.is_upstream_at_fault:
        performance.record_unreachable(now_s)
    is_checked = (
        error.is_upstream_at_fault
        and error.run is not RunState.NOT_RUN
        and error.reason in CRASH_LIKE_REASONS
    )
    _log.warning(
        "attempt_failed",
        extra={
            "request": attempts.admitted.request.id,
            "upstream": upstream.id,
            "reason": error.reason,
            "cause": _get_cause(error),
            "run": error.run.value,
            "checked": is_checked,
            "attempts": attempts.sent,
            "left_s": round(attempts.remaining_s, 3),
            "left_out_s": round(performance.get_exclusion_left_s(now_s), 2),
        },
    )
    if is_checked:
        context.suspects.check_for_crash(
            attempts.fingerprint, attempts.run_name, upstream, attempts.parts
        )


def _get_cause(error: AttemptFailedError) -> str:
    """Returns what failed on the upstream's connection; empty if it did not."""
    cause = error.__cause__
    return cause.message if isinstance(cause, LovagestageError) else ""


def record_whole_answer(
    context: RunContext,
    attempts: Attempts,
    upstream: Upstream,
    head: AnswerHead,
) -> None:
    """Records that the last attempt was answered with success.

    An answer that ends with its connection is whole only if the upstream has
    not ended as well.
    """
    suspects = context.suspects
    bearer, run, parts = attempts.fingerprint, attempts.run_name, attempts.parts
    if head.ends_with_connection:
        suspects.check_for_crash(bearer, run, upstream, parts, is_answered=True)
    else:
        suspects.record_answered(bearer, run, parts)


def should_retry_answer(
    attempts: Attempts, upstream: Upstream, status: int
) -> bool:
    """Returns whether a request that was answered with a failure is retried.

    It is retried only if another upstream is left. Otherwise the caller gets
    the answer of the last upstream instead of a refusal made by the gateway.
    The call also logs the answer and, for a retry, takes it from the budget.
    """
    attempts.record_failed_answer(upstream)
    is_retried = attempts.has_other_upstream() and attempts.may_retry()
    _log.warning(
        "answer_failed",
        extra={
            "request": attempts.admitted.request.id,
            "upstream": upstream.id,
            "status": status,
            "attempts": attempts.sent,
            "next": "repeat" if is_retried else "pass_on",
            "left_s": round(attempts.remaining_s, 3),
        },
    )
    return is_retried


def begin_request(
    context: RunContext, attempts: Attempts, upstream: Upstream
) -> RequestUnderWay:
    """Returns the request as one that is under way, from its first attempt on.

    As in `record_evidence`, one that went to an upstream of another version is
    left out.
    """
    admitted = attempts.admitted
    if attempts.under_way is None:
        request = RequestUnderWay(admitted.route.name, context.latency)
        attempts.under_way = request
        if _is_of_assigned_version(attempts, upstream):
            context.evidence.begin_request(
                admitted.service, attempts.assignment, request
            )
    return attempts.under_way


def start_request(context: RunContext, attempts: Attempts) -> None:
    """Records that a request's caller receives its answer."""
    request = attempts.under_way
    if request is not None and not request.has_started:
        context.evidence.start_request(request)
        request.has_started = True


def end_request(
    context: RunContext, attempts: Attempts, is_whole: bool
) -> None:
    """Records that a request is no longer under way.

    Args:
        context: Dependencies of the run.
        attempts: Attempts of the request.
        is_whole: Whether its answer was whole.
    """
    if attempts.under_way is None:
        return
    if is_whole:
        start_request(context, attempts)
    service = attempts.admitted.service
    context.evidence.end_request(service, attempts.under_way, is_whole)


def _is_of_assigned_version(attempts: Attempts, upstream: Upstream) -> bool:
    version = attempts.assignment.version
    return version is None or upstream.entry.version == version


def record_evidence(
    context: RunContext,
    attempts: Attempts,
    upstream: Upstream,
    quality: AnswerQuality,
    aspect: EvidenceAspect = EvidenceAspect.ANSWER,
    begun_s: float = 0.0,
    has_answered: bool = False,
) -> bool:
    """Records an answer as evidence for or against its version.

    An answer is not counted if the upstream has another version than the one to
    which the request was assigned. Such a request came there only because its
    own version could not answer it, so it is not a random sample and says
    nothing about the version's share of failures.

    Returns:
        Whether nothing else needs to be recorded of the run.
    """
    if not _is_of_assigned_version(attempts, upstream):
        return True
    if attempts.under_way is not None and quality not in FINE_QUALITIES:
        attempts.under_way.is_weighed = True
    admitted = attempts.admitted
    return context.evidence.record_answer(
        admitted.service,
        admitted.route.name,
        attempts.assignment,
        upstream,
        quality,
        aspect,
        begun_s,
        has_answered,
    )

"""What runs of all kinds share: calls, time limits, and what is learnt."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable
from typing import TypeVar

from lovagestage.decisions.crash_suspects import Admission
from lovagestage.decisions.retries import PROBE_WAIT_S
from lovagestage.exceptions import AttemptFailedError
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.choice import Work
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.exchange import Exchange
from lovagestage.gateway.latency import UNKNOWN_S, LatencyTable, LoadGauge
from lovagestage.gateway.messages import OutgoingCall
from lovagestage.gateway.reading import ReadingTimes, make_prompt
from lovagestage.gateway.rollouts import AnswerQuality
from lovagestage.gateway.sinks import EvidenceSink
from lovagestage.gateway.suspects import SuspectWatch
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import RunState

_log = logging.getLogger(__name__)
LOST_REASONS = ("connection_lost", "answer_broken")
"""Failures that a crash of the upstream looks like."""
_Result = TypeVar("_Result")

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Longest plain answer; it is held until whole, so that one that breaks off
can be repeated or reported."""
SILENT_AIM_RATIO = 1.0
"""Part of the aim after which a silent upstream is given up where the request
may run elsewhere."""
SILENT_MEANS = 4.0
"""The same in mean times of such answers, where that is longer: on a full day
silence is a queue."""


@dataclasses.dataclass(frozen=True)
class RunParts:
    """Parts of the gateway that runs use.

    Attributes:
        pool: Connections to upstreams.
        evidence: Takes what is seen of versions.
        latency: Times of answers by route and model.
        reading: Times that prompts take by themselves, by model.
        gauge: How full the upstreams are.
        suspects: Requests that may crash upstreams.
    """

    pool: ConnectionPool
    evidence: EvidenceSink
    latency: LatencyTable
    reading: ReadingTimes
    gauge: LoadGauge
    suspects: SuspectWatch


async def begin_attempt(
    parts: RunParts, attempts: Attempts, model: str | None
) -> Upstream:
    """Chooses an upstream, once the request may run.

    Raises:
        GatewayRefusalError: It may not, or none is left.
    """
    fingerprint = attempts.fingerprint
    while True:
        admission = parts.suspects.admit(fingerprint)
        if admission is Admission.REFUSE:
            raise attempts.make_refusal("crashes_upstreams", comes_back=False)
        if admission is not Admission.WAIT:
            break
        if attempts.left_s <= PROBE_WAIT_S:
            raise attempts.make_refusal("suspect_waiting")
        await asyncio.sleep(PROBE_WAIT_S)
    attempts.model = model
    upstream = attempts.choose(make_work(parts, attempts, model))
    if admission is Admission.PROBE:
        parts.suspects.start_probe(fingerprint, attempts.run_name)
    return upstream


def make_work(parts: RunParts, attempts: Attempts, model: str | None) -> Work:
    """What an attempt asks of an upstream."""
    request = attempts.admitted.request
    prompt = make_prompt(request.parts)
    if prompt is None:
        expected_s = get_expected_s(parts, attempts, model)
        time_s = UNKNOWN_S if expected_s is None else expected_s
        return Work(time_s, time_s, request.subject)
    return Work(
        parts.reading.get(model, prompt.fresh_tokens),
        parts.reading.get(model, prompt.cached_tokens),
        request.subject,
    )


def note_reading(parts: RunParts, attempts: Attempts, time_s: float) -> None:
    """Learns from the time until the last attempt's answer began."""
    prompt = make_prompt(attempts.admitted.request.parts)
    if prompt is None:
        return
    tokens = prompt.cached_tokens if attempts.is_cached else prompt.fresh_tokens
    parts.reading.add(attempts.model, tokens, time_s)


def make_exchange(
    parts: RunParts,
    attempts: Attempts,
    upstream: Upstream,
    model: str | None,
    resume_after: str | None,
) -> Exchange:
    """Prepares one attempt.

    Raises:
        GatewayRefusalError: No time is left for it.
    """
    admitted = attempts.admitted
    if attempts.left_s <= 0.0:
        attempts.take_back()
        raise attempts.make_refusal("deadline")
    workspace = admitted.workspace
    call = OutgoingCall(
        admitted.request,
        upstream.id,
        attempts.left_s,
        workspace.name if workspace else None,
        model,
        resume_after,
        admitted.priority,
    )
    return Exchange(
        parts.pool,
        upstream,
        call,
        admitted.route.is_repeatable,
        get_expected_s(parts, attempts, model),
        attempts.work_s,
    )


def get_expected_s(
    parts: RunParts, attempts: Attempts, model: str | None
) -> float | None:
    """Time to the first sign of an answer, as others took."""
    route = attempts.admitted.route
    return parts.latency.get((route.name, model))


def get_silence_limit_s(
    parts: RunParts, attempts: Attempts, model: str | None
) -> float:
    """Time for the first sign of an answer."""
    route = attempts.admitted.route
    left_s = max(0.0, attempts.left_s)
    if not route.is_repeatable or attempts.runs >= route.max_attempts:
        return left_s
    mean_s = parts.latency.get((route.name, model)) or 0.0
    limit_s = max(SILENT_AIM_RATIO * route.aim_s, SILENT_MEANS * mean_s)
    return min(left_s, limit_s)


async def limit_wait(
    attempts: Attempts, awaitable: Awaitable[_Result], limit_s: float
) -> _Result:
    """Waits for an upstream.

    Raises:
        AttemptFailedError: It fell silent; it is at fault where the request
            has time left.
    """
    try:
        async with asyncio.timeout(max(0.0, limit_s)):
            return await awaitable
    except TimeoutError as error:
        raise AttemptFailedError(
            "silent", RunState.UNKNOWN, attempts.left_s > 0.0
        ) from error


def note_failure(
    parts: RunParts,
    attempts: Attempts,
    upstream: Upstream,
    error: AttemptFailedError,
) -> None:
    """Learns from an attempt that gave no answer.

    It is no evidence against a version: a crash or a cut link ends all that
    runs at an upstream at once, and two such upstreams of the new version
    would stop a good one.
    """
    attempts.note_failure(upstream, error)
    performance, now_s = upstream.performance, get_elapsed_s()
    if error.at_fault and error.run is RunState.RAN:
        performance.note_answer(True)
    elif error.at_fault:
        performance.note_absent(now_s)
    _log.warning(
        "attempt_failed",
        extra={
            "request": attempts.admitted.request.id,
            "upstream": upstream.id,
            "reason": error.reason,
            "run": error.run.value,
            "attempts": attempts.sent,
            "left_s": round(attempts.left_s, 3),
            "left_out_s": round(performance.get_left_out_s(now_s), 2),
        },
    )
    if error.at_fault and error.reason in LOST_REASONS:
        parts.suspects.note_lost(
            attempts.fingerprint, attempts.run_name, upstream
        )


def may_repeat_answer(
    attempts: Attempts, upstream: Upstream, status: int
) -> bool:
    """Whether a request whose answer is a failure is sent once more.

    Only where another upstream is left: the caller gets the answer of the
    last one, not a refusal of the gateway's own in its place.
    """
    attempts.note_failed_answer(upstream)
    is_repeated = attempts.has_other() and attempts.may_repeat()
    _log.warning(
        "answer_failed",
        extra={
            "request": attempts.admitted.request.id,
            "upstream": upstream.id,
            "status": status,
            "attempts": attempts.sent,
            "next": "repeat" if is_repeated else "pass_on",
            "left_s": round(attempts.left_s, 3),
        },
    )
    return is_repeated


def add_evidence(
    parts: RunParts,
    attempts: Attempts,
    upstream: Upstream,
    quality: AnswerQuality,
) -> None:
    """Counts an answer for or against its version.

    Not that of a request which another version could not answer: it is a
    chosen one, and says nothing of the version's share of failures.
    """
    version = attempts.assignment.version
    if version is not None and upstream.entry.version != version:
        return
    admitted = attempts.admitted
    parts.evidence.add_answer(
        admitted.service,
        admitted.route.name,
        attempts.assignment,
        upstream,
        quality,
    )

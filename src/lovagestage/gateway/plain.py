"""Requests with one answer, as opposed to a stream."""

from __future__ import annotations

import asyncio

from lovagestage.exceptions import AttemptFailedError
from lovagestage.gateway.attempts import Attempts
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
)
from lovagestage.gateway.sinks import AnswerSink
from lovagestage.gateway.upstream import Upstream


async def forward_plain(
    parts: RunParts, attempts: Attempts, sink: AnswerSink
) -> None:
    """Runs a request until it has an answer or may not be sent again.

    Raises:
        GatewayRefusalError: It has no answer of an upstream.
    """
    while True:
        model = attempts.admitted.request.model
        upstream = await begin_attempt(parts, attempts, model)
        started_s = asyncio.get_running_loop().time()
        try:
            head, body = await _fetch_whole(parts, attempts, upstream)
        except AttemptFailedError as error:
            note_failure(parts, attempts, upstream, error)
            if not attempts.may_repeat():
                raise attempts.make_refusal(error.reason) from error
            continue
        _note_answer(parts, attempts, upstream, head, started_s)
        if head.status >= 500 and may_repeat_answer(
            attempts, upstream, head.status
        ):
            continue
        await sink.send_whole(head, body)
        return


async def _fetch_whole(
    parts: RunParts, attempts: Attempts, upstream: Upstream
) -> tuple[AnswerHead, bytes]:
    model = attempts.admitted.request.model
    limit_s = get_silence_limit_s(parts, attempts, model)
    async with make_exchange(
        parts, attempts, upstream, model, None
    ) as exchange:
        started_s = asyncio.get_running_loop().time()
        head = await limit_wait(attempts, exchange.fetch_head(), limit_s)
        attempts.note_head(exchange.connect_s, exchange.head_s)
        exchange.note_begun(asyncio.get_running_loop().time() - started_s)
        body = await limit_wait(
            attempts, exchange.fetch_body(MAX_BODY_BYTES), attempts.left_s
        )
        return head, body


def _note_answer(
    parts: RunParts,
    attempts: Attempts,
    upstream: Upstream,
    head: AnswerHead,
    started_s: float,
) -> None:
    admitted = attempts.admitted
    time_s = asyncio.get_running_loop().time() - started_s
    kind = (admitted.route.name, admitted.request.model)
    failed = head.status >= 500
    upstream.performance.note_answer(failed)
    parts.suspects.note_answered(attempts.fingerprint, attempts.run_name)
    is_slow = parts.latency.is_slow(kind, time_s)
    quality = AnswerQuality.SLOW if is_slow else AnswerQuality.GOOD
    if failed:
        quality = AnswerQuality.FAILED
    add_evidence(parts, attempts, upstream, quality)
    if not failed and not attempts.assignment.is_new:
        parts.latency.add(kind, time_s)

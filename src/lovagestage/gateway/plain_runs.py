"""Forwards requests that get one complete answer instead of a stream."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from lovagestage.exceptions import AttemptFailedError
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.continuation import Continuation
from lovagestage.gateway.messages import AnswerHead
from lovagestage.gateway.run_weighing import RunWeighing
from lovagestage.gateway.runs import (
    MAX_BODY_BYTES,
    RunContext,
    begin_attempt,
    get_answer_timeout_s,
    make_exchange,
    record_failed_attempt,
    record_whole_answer,
    should_retry_answer,
    wait_with_timeout,
)
from lovagestage.gateway.silence import wait_for_data
from lovagestage.gateway.sinks import AnswerSink
from lovagestage.gateway.upstream import Upstream


async def forward_plain(
    context: RunContext, attempts: Attempts, sink: AnswerSink
) -> None:
    """Sends a request to upstreams until it is answered or may not be retried.

    Args:
        context: Dependencies of the run.
        attempts: Attempts of the request.
        sink: Receives the answer.

    Raises:
        GatewayRefusalError: No upstream gave an answer that can be forwarded.
    """
    continuation = Continuation(attempts)
    while not await _forward_once(context, attempts, continuation, sink):
        pass


async def _forward_once(
    context: RunContext,
    attempts: Attempts,
    continuation: Continuation,
    sink: AnswerSink,
) -> bool:
    """Makes one attempt; returns whether the caller has its answer.

    Raises:
        GatewayRefusalError: No upstream gave an answer that can be forwarded.
    """
    model = attempts.admitted.request.model
    upstream = await begin_attempt(context, attempts, model)
    run = attempts.run_name
    started_s = asyncio.get_running_loop().time()
    weighing = RunWeighing(context, attempts, upstream, model, False)
    try:
        with weighing:
            head, body = await _fetch_answer(context, attempts, upstream)
            if head.status >= 500:
                weighing.record_failed()
            else:
                weighing.record_start()
    except AttemptFailedError as error:
        failure: AttemptFailedError | None = error
        record_failed_attempt(context, attempts, upstream, error)
    else:
        failure = None
        _record_answer(context, attempts, upstream, head, started_s)
    finally:
        context.suspects.record_ended(attempts.fingerprint, run, attempts.parts)
    if failure is not None:
        await continuation.prepare_run(failure, is_started=False)
        return False
    if head.status >= 500 and should_retry_answer(
        attempts, upstream, head.status
    ):
        return False
    await sink.send_answer(head, body)
    return True


async def _fetch_answer(
    context: RunContext, attempts: Attempts, upstream: Upstream
) -> tuple[AnswerHead, bytes]:
    model = attempts.admitted.request.model
    limit_s = get_answer_timeout_s(context, attempts, model)
    async with make_exchange(
        context, attempts, upstream, model, None
    ) as exchange:
        started_s = asyncio.get_running_loop().time()
        head = await wait_for_data(
            context.suspects, attempts, upstream, exchange.fetch_head(), limit_s
        )
        attempts.record_head(exchange.connect_s, exchange.head_s)
        exchange.record_answer_start(
            asyncio.get_running_loop().time() - started_s
        )
        body = await wait_with_timeout(
            attempts, exchange.fetch_body(MAX_BODY_BYTES), attempts.remaining_s
        )
        return head, body


def _record_answer(
    context: RunContext,
    attempts: Attempts,
    upstream: Upstream,
    head: AnswerHead,
    started_s: float,
) -> None:
    admitted = attempts.admitted
    time_s = asyncio.get_running_loop().time() - started_s
    kind = (admitted.route.name, admitted.request.model)
    failed = head.status >= 500
    upstream.performance.record_answer(failed)
    if head.status < HTTPStatus.MULTIPLE_CHOICES:
        record_whole_answer(context, attempts, upstream, head)
    if not failed and not attempts.assignment.is_new:
        context.latency.record(kind, time_s)

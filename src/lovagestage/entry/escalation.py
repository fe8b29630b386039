"""Asks a better version where the first answer shows signs of low quality.

The signs are an empty, filtered, refused or cut-off answer. This applies to
answers that are not streamed. The caller of a stream has already received the
first words by the time the end can be judged.
"""

from __future__ import annotations

import dataclasses
import logging
import time
from collections.abc import AsyncIterator

import msgspec

from lovagestage.decisions.answers import CUT_OFF, parse_answer
from lovagestage.decisions.cascade import may_escalate
from lovagestage.entry.dispatcher import Dispatcher
from lovagestage.exceptions import RequestRefusedError
from lovagestage.execution.request import Request, Result
from lovagestage.types import parse_model_version

_log = logging.getLogger(__name__)


class _LimitForm(msgspec.Struct):
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


class Escalation:
    """Runs requests whose plan may include a second version.

    Args:
        dispatcher: Runs a request at one version.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    async def run(
        self, request: Request, result: Result
    ) -> AsyncIterator[bytes]:
        """Yields the answer that the caller gets; see `Dispatcher.run`.

        If a second version answers, `result` describes its run, and its tokens
        are the ones that are billed. If the second version fails, the caller
        gets the first answer.

        Args:
            request: The request.
            result: Filled in while the request runs.
        """
        started_s = time.monotonic()
        first_chunks = [
            chunk async for chunk in self._dispatcher.run(request, result)
        ]
        escalated = make_escalated_request(
            request, b"".join(first_chunks), started_s
        )
        if escalated is None:
            for chunk in first_chunks:
                yield chunk
            return
        _log.info(
            "request_escalated",
            extra={
                "request": request.request_id,
                "version": str(escalated.version),
            },
        )
        second_result = Result(escalated.version, attempts=result.attempts)
        try:
            chunks = [
                data
                async for data in self._dispatcher.run(escalated, second_result)
            ]
        except RequestRefusedError as error:
            _log.info("escalation_failed", extra={"code": error.code})
            chunks = first_chunks
        else:
            result.replace_answer(second_result)
        for chunk in chunks:
            yield chunk


def make_escalated_request(
    request: Request, body: bytes, started_s: float
) -> Request | None:
    """Makes the request to the second version of a plan.

    Args:
        request: The request as it was first run.
        body: The answer of the first version.
        started_s: Monotonic time at which the first run started, in seconds.

    Returns:
        The request with the second version; None where the request is not
        escalated.
    """
    if request.arm is None:
        return None
    now_s = time.monotonic()
    plan = request.arm.plan
    spent_s, left_s = now_s - started_s, request.deadline_at_s - now_s
    if not may_escalate(plan, _is_low_quality(request, body), spent_s, left_s):
        return None
    version = parse_model_version(plan.escalate_to)
    if version is None:
        return None
    return dataclasses.replace(request, version=version)


def may_escalate_request(request: Request) -> bool:
    """Returns whether a second version may be asked to answer the request."""
    return request.arm is not None and request.repeatable and not request.stream


def _is_low_quality(request: Request, body: bytes) -> bool:
    answer = parse_answer(body, stream=False)
    if answer is None:
        return False
    if answer.is_failure:
        return True
    if answer.finish_reason != CUT_OFF:
        return False
    # Where the caller has set the limit, a better version would be cut off at
    # the same length.
    limit = msgspec.json.decode(request.body, type=_LimitForm)
    return limit.max_tokens is None and limit.max_completion_tokens is None

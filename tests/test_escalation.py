"""A second version is asked where the first answer shows low quality."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time

import pytest

from lovagestage.entry.answer_billing import make_bill
from lovagestage.entry.escalation import Escalation, may_escalate_request
from lovagestage.exceptions import NoCapacityError
from lovagestage.execution.request import Request, Result
from lovagestage.messages.counters import Arm, Plan
from lovagestage.messages.runs import Finished
from lovagestage.types import RunState, parse_model_version

SMALL, LARGE = parse_model_version("small@1"), parse_model_version("large@1")
ARM = Arm("vault/default", 0, Plan("small@1", "large@1"))


def make_request(body=b"{}", deadline_s=60.0, plan=ARM.plan) -> Request:
    return Request(
        "r1",
        "audit",
        "vault",
        SMALL,
        1,
        True,
        time.monotonic() + deadline_s,
        False,
        body,
        arm=Arm(ARM.class_name, 0, plan),
    )


class FakeDispatcher:
    """A dispatcher with a fixed answer for each version."""

    def __init__(self, small: str, reason: str, large: str | None) -> None:
        self._small = (small, reason)
        self._large = large
        self.runs: list[str] = []

    async def run(self, request, result):
        self.runs.append(str(request.version))
        result.attempts += 1
        text, reason = self._small
        if request.version == LARGE:
            if self._large is None:
                raise NoCapacityError("No upstream.", RunState.NOT_RUN)
            text, reason = self._large, "stop"
        tokens = 7 if request.version == LARGE else 3
        result.finished = Finished("r1", result.attempts, 1, 2, tokens, "")
        message = {"message": {"content": text}, "finish_reason": reason}
        yield json.dumps({"choices": [message]}).encode()


def run(dispatcher, request) -> tuple[str, Result]:
    async def read() -> bytes:
        chunks = Escalation(dispatcher).run(request, result)
        return b"".join([chunk async for chunk in chunks])

    result = Result(request.version)
    body = json.loads(asyncio.run(read()))
    return body["choices"][0]["message"]["content"], result


def test_low_quality_answer_is_replaced_and_billed_once():
    # The cheap version returns an empty answer. The better version is asked
    # within the same request. The caller gets its answer and is billed for its
    # version and its tokens, in one record; the result keeps the tokens of
    # both answers, so that the cost includes both.
    text, result = run(FakeDispatcher("", "stop", "Better."), make_request())
    assert (text, result.version, result.attempts) == ("Better.", LARGE, 2)
    bill = make_bill(make_request(), result, 0.0)
    assert (bill.version, bill.completion_tokens) == ("large@1", 7)
    assert result.replaced_answer.completion_tokens == 3


def test_first_answer_stands_where_the_better_version_is_full():
    text, result = run(FakeDispatcher("Half", "length", None), make_request())
    assert (text, result.version) == ("Half", SMALL)
    assert result.finished.completion_tokens == 3
    assert result.replaced_answer is None


@pytest.mark.parametrize(
    ("small", "reason", "changes"),
    [
        ("Fine.", "stop", {}),
        ("Cut", "length", {"body": b'{"max_tokens": 3}'}),
        ("", "stop", {"deadline_s": 0.0}),
        ("", "stop", {"plan": Plan("small@1")}),
    ],
)
def test_no_second_answer_without_low_quality_time_or_plan(
    small, reason, changes
):
    dispatcher = FakeDispatcher(small, reason, "Better.")
    text, _ = run(dispatcher, make_request(**changes))
    assert text == small
    assert dispatcher.runs == ["small@1"]


@pytest.mark.parametrize(
    "changes", [{"repeatable": False}, {"stream": True}, {"arm": None}]
)
def test_request_that_may_run_once_or_streams_gets_no_second_answer(changes):
    assert may_escalate_request(make_request())
    assert not may_escalate_request(
        dataclasses.replace(make_request(), **changes)
    )

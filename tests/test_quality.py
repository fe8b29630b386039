"""Delivery of answers to the rater, and what the parser finds in an answer."""

from __future__ import annotations

import asyncio
import json

import msgspec
import pytest

from lab.shapes import EXAMPLES
from lovagestage.adapters.protocols import (
    RatedAnswer,
    RaterError,
    Rating,
    RatingPage,
)
from lovagestage.decisions.admission import (
    Trial,
    is_in_rollout,
    withdraw_stopped,
)
from lovagestage.decisions.answers import parse_answer
from lovagestage.decisions.exposure import Assignment
from lovagestage.entry.quality import MAX_QUEUED, QualityService
from lovagestage.execution.request import Request
from lovagestage.settings import parse_json_file
from lovagestage.state.document import (
    RolloutSpec,
    ServiceDocument,
    get_allowed_versions,
    get_open_versions,
)
from lovagestage.state.rollouts import RolloutKey
from lovagestage.types import parse_model_version

DOCUMENT = parse_json_file(EXAMPLES / "vault.jsonc", ServiceDocument)
SPEC = RolloutSpec("large@1", "large@2", [1.0])
TRIAL = Trial(RolloutKey("vault", "large", 1), Assignment(True, 0.5))

REQUEST = Request(
    "r0", "audit", "vault", None, 1, True, 0.0, False, b"{}", None, TRIAL
)


class FailingRater:
    """Accepts a number of answers and then fails; rates the first answer."""

    def __init__(self, accepted_count: int) -> None:
        self._accepted_count = accepted_count
        self.posted: list[str] = []

    async def post(self, answer: RatedAnswer) -> None:
        if len(self.posted) >= self._accepted_count:
            raise RaterError("The rater is down.")
        self.posted.append(answer.request_id)

    async def read(self, start: int) -> RatingPage:
        if start:
            raise RaterError("The rater is down.")
        return RatingPage(2, [Rating("r0", 0.25), Rating("other", 1.0)])


class RatingRecorder:
    """Stores the trials and the scores that it receives."""

    def __init__(self) -> None:
        self.recorded: list[tuple[Trial, float]] = []

    def add_rating(self, trial: Trial, score: float) -> None:
        self.recorded.append((trial, score))


def make_answer(number: int) -> RatedAnswer:
    version = parse_model_version("large@2")
    return RatedAnswer(f"r{number}", version, "default", "[]", "text")


def test_rater_that_is_down_delays_nobody_and_drops_are_counted():
    # The rater becomes unavailable under load. Offering an answer never waits
    # for the rater; when the queue is full, further answers are dropped, and a
    # counter counts them.
    async def offer_all() -> QualityService:
        quality = QualityService(
            FailingRater(0), RatingRecorder(), RatingRecorder()
        )
        for number in range(MAX_QUEUED + 7):
            quality.offer(make_answer(number), REQUEST)
        return quality

    quality = asyncio.run(offer_all())
    assert quality.dropped == 7
    assert quality.get_sizes()["awaited"] == MAX_QUEUED


def test_rating_reaches_the_roll_out_of_its_request_and_no_other():
    async def run() -> list[tuple[Trial, float]]:
        ratings = RatingRecorder()
        quality = QualityService(FailingRater(1), ratings, RatingRecorder())
        quality.offer(make_answer(0), REQUEST)
        await quality.start()
        await asyncio.sleep(0.1)
        await quality.stop()
        return ratings.recorded

    assert asyncio.run(run()) == [(TRIAL, 0.25)]


@pytest.mark.parametrize(
    ("message", "reason", "is_failure"),
    [
        ({"content": "Tuesday's snapshot is whole."}, "stop", False),
        ({"content": ""}, "stop", True),
        ({"content": "No.", "refusal": "I can't."}, "stop", True),
        ({"content": "Half an"}, "content_filter", True),
        ({"content": None}, "tool_calls", False),
    ],
)
@pytest.mark.parametrize("stream", [False, True])
def test_answer_without_use_is_a_failure(message, reason, is_failure, stream):
    if stream:
        first = json.dumps({"choices": [{"delta": message}]})
        last = json.dumps({"choices": [{"delta": {}, "finish_reason": reason}]})
        body = f"id: 0\ndata: {first}\n\ndata: {last}\n\ndata: [DONE]\n\n"
    else:
        choice = {"message": message, "finish_reason": reason}
        body = json.dumps({"choices": [choice]})
    answer = parse_answer(body.encode(), stream)
    assert answer is not None
    assert answer.is_failure is is_failure


@pytest.mark.parametrize(
    ("name", "resolved", "workspace", "expected"),
    [
        ("large", "large@1", "audit", True),
        ("vault", "large@1", "audit", True),
        ("vault", "small@1", "audit", False),
        ("large@1", "large@1", "audit", False),
        ("small", "small@1", "trial", False),
    ],
)
def test_roll_out_takes_only_requests_that_leave_it_the_choice(
    name, resolved, workspace, expected
):
    allowed = get_open_versions(DOCUMENT, workspace)
    version = parse_model_version(resolved)
    assert is_in_rollout(name, version, SPEC, allowed) is expected


def test_workspace_without_the_new_version_stays_out_of_the_roll_out():
    allowed = [parse_model_version("large@1")]
    assert not is_in_rollout("large", allowed[0], SPEC, allowed)


def test_stopped_version_is_left_out_for_every_workspace():
    document = withdraw_stopped(DOCUMENT, ["large@2"])
    for workspace in DOCUMENT.workspaces:
        allowed_before = get_allowed_versions(DOCUMENT, workspace)
        allowed_after = get_allowed_versions(document, workspace)
        assert allowed_after == [
            v for v in allowed_before if str(v) != "large@2"
        ]
    assert msgspec.structs.replace(document, versions=[]) == (
        msgspec.structs.replace(DOCUMENT, versions=[])
    )

"""Tests of appends whose result the writer reads back through the fold."""

from __future__ import annotations

import asyncio

import pytest

from lovagestage.adapters import http_calls
from lovagestage.control import reader as control
from lovagestage.control.reader import FollowState
from lovagestage.control.writer import ControlWriter
from lovagestage.exceptions import (
    ChangeUnknownError,
    CodecError,
    LogUnavailableError,
)
from lovagestage.state.fold import Outcome
from lovagestage.state.records import DocumentChange
from lovagestage.types import Offset
from tests.control_log import serve_log, wait_for
from tests.test_fold import make_change


async def test_lost_answer_is_read_back_and_applied_once():
    # The operator's append takes effect, but its answer is lost. The writer
    # finds the record in the fold and reports it as accepted. The change is
    # applied only once, and the same change id gives the same result.
    async with serve_log() as served:
        reader = await served.start_reader()
        writer = ControlWriter(served.log, reader)
        served.faults.lose_answer = 1
        first = await writer.append(make_change("x"), 5)
        again = await writer.append(make_change("x"), 5)
    assert (first.outcome, first.revision) == (Outcome.ACCEPTED, 1)
    assert again == first
    assert reader.folded.services["s"].revision == 1


async def test_racing_writers_get_one_acceptance():
    async with serve_log() as served:
        writers = [
            ControlWriter(served.log, await served.start_reader())
            for _ in range(4)
        ]
        results = await asyncio.gather(
            *(
                writer.append(make_change(f"c{number}", 0), 5)
                for number, writer in enumerate(writers)
            )
        )
    outcomes = [result.outcome for result in results]
    assert outcomes.count(Outcome.ACCEPTED) == 1
    assert outcomes.count(Outcome.CONFLICT) == 3


async def test_refused_append_is_reported_as_not_appended():
    async with serve_log() as served:
        writer = ControlWriter(served.log, await served.start_reader())
        served.faults.outage = True
        with pytest.raises(LogUnavailableError):
            await writer.append(make_change("x"), 0.5)
        served.faults.outage = False
        page = await served.log.read("control", Offset(0), 10, 0)
    assert page.records == []


async def test_stalled_append_is_reported_as_unknown_with_its_change_id(
    monkeypatch,
):
    # The log accepts the call and never answers. The error must not say "not
    # appended". It contains the change id, with which the caller can append
    # again later.
    monkeypatch.setattr(http_calls, "SHORT_CALL_TIMEOUT_S", 1.0)
    async with serve_log() as served:
        writer = ControlWriter(served.log, await served.start_reader())
        served.faults.stall = True
        with pytest.raises(ChangeUnknownError) as caught:
            await writer.append(make_change("x"), 0.5)
        served.faults.stall = False
        result = await writer.append(make_change("x"), 5)
    assert caught.value.change_id == "x"
    assert result.outcome is Outcome.ACCEPTED


async def test_oversized_record_is_refused_before_it_is_appended():
    async with serve_log() as served:
        writer = ControlWriter(served.log, await served.start_reader())
        with pytest.raises(CodecError):
            await writer.append(
                DocumentChange("x", "s", 0, "op", b" " * 2_000_000), 1
            )


async def test_documents_stay_in_force_during_an_outage(monkeypatch):
    monkeypatch.setattr(control, "READ_WAIT_S", 0.2)
    async with serve_log() as served:
        reader = await served.start_reader()
        writer = ControlWriter(served.log, reader)
        await writer.append(make_change("x"), 5)
        served.faults.outage = True
        await wait_for(lambda: reader.follow_state is FollowState.LOG_DOWN)
        assert reader.services["s"].revision == 1

"""An engine that pauses does not lose the stream that its caller reads."""

from __future__ import annotations

import asyncio

import pytest

from lovagestage.exceptions import EngineError
from lovagestage.execution.engine_stream import RESUME_ATTEMPTS, EngineStream
from lovagestage.messages.runs import Dispatch
from lovagestage.types import RunState

PROGRESS_TIMEOUT_S = 0.02
FIRST = b"id: 0\ndata: {}\n\n"
LAST = b"id: 1\ndata: [DONE]\n\n"


class PausingEngine:
    """An engine that goes on only after some silent connections."""

    def __init__(self, silent_connections, error=None):
        self.left = silent_connections
        self.error = error

    async def run(self, request_id, priority, body):
        yield FIRST
        await asyncio.sleep(60.0)

    async def resume(self, request_id, from_seq):
        self.left -= 1
        if self.left > 0:
            if self.error is not None:
                raise self.error
            await asyncio.sleep(60.0)
        yield LAST


async def read(engine, is_streamed):
    dispatch = Dispatch(
        request_id="r1",
        attempt=1,
        workspace="w",
        service="s",
        version="m@1",
        priority=1,
        deadline_s=10.0,
        stream=is_streamed,
        body=b"{}",
    )
    stream = EngineStream(engine, dispatch, 1.0, PROGRESS_TIMEOUT_S)
    return [block.data async for block in stream.read()]


async def test_long_pause_ends_no_stream_whose_caller_has_a_part():
    # The stream is cut after three silent connections, though the engine is at
    # work and nothing can follow once the caller has a part of the answer.
    engine = PausingEngine(silent_connections=3 * RESUME_ATTEMPTS)
    assert await read(engine, is_streamed=True) == [FIRST, LAST]


@pytest.mark.parametrize("error", [None, EngineError("x", RunState.UNKNOWN)])
async def test_run_that_may_be_repeated_elsewhere_is_given_up(error):
    # A caller waits to its deadline for an engine that hangs or can't be
    # reached, while another one could answer.
    engine = PausingEngine(3 * RESUME_ATTEMPTS, error)
    with pytest.raises(EngineError):
        await read(engine, is_streamed=error is not None)

"""Reads one answer from an engine, over several connections if necessary."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator

import msgspec

from lovagestage.adapters.protocols import Engine
from lovagestage.exceptions import EngineCrashedError, EngineError
from lovagestage.execution.events import Block, parse_block
from lovagestage.messages.runs import Dispatch
from lovagestage.types import RunState

_log = logging.getLogger(__name__)

RESUME_ATTEMPTS = 3
RESUME_DELAY_S = 0.1


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _OptionsForm(msgspec.Struct):
    stream_options: _StreamOptions | None = None


class EngineStream:
    """Reads the blocks of one answer, and resumes where a connection fails.

    Args:
        engine: The engine of the upstream.
        dispatch: The request to run.
        first_token_timeout_s: Longest wait for the first block, in seconds.
        progress_timeout_s: Longest wait for each further block, in seconds.
    """

    def __init__(
        self,
        engine: Engine,
        dispatch: Dispatch,
        first_token_timeout_s: float,
        progress_timeout_s: float,
    ) -> None:
        self._engine = engine
        self._dispatch = dispatch
        self._first_token_timeout_s = first_token_timeout_s
        self._progress_timeout_s = progress_timeout_s
        self._next_seq = 0
        self._failures = 0
        self._is_silent = False
        self._keep_usage = _is_usage_requested(dispatch.body)

    async def read(self) -> AsyncIterator[Block]:
        """Yields the blocks up to and including the one that ends the answer.

        Raises:
            EngineRefusedError: The engine did not run the request.
            EngineError: The engine failed; the error says what is known of
                its run.
        """
        blocks = self._engine.run(
            self._dispatch.request_id,
            self._dispatch.priority,
            _make_engine_body(self._dispatch.body, self._dispatch.version),
        )
        resumed = False
        while True:
            self._is_silent = False
            try:
                async for block in self._read_connection(blocks):
                    yield block
                    if block.done:
                        return
                error = EngineError(
                    "The engine ended the stream too early.", RunState.UNKNOWN
                )
            except EngineError as failure:
                error = failure
            self._check_resumable(error, resumed)
            await asyncio.sleep(RESUME_DELAY_S)
            blocks = self._engine.resume(
                self._dispatch.request_id, self._next_seq
            )
            resumed = True

    async def _read_connection(
        self, blocks: AsyncIterator[bytes]
    ) -> AsyncIterator[Block]:
        try:
            while True:
                data = await self._read_block(blocks)
                if data is None:
                    return
                block = parse_block(data, self._next_seq, self._keep_usage)
                self._next_seq = block.next_seq
                self._failures = 0
                yield block
        finally:
            await blocks.aclose()  # type: ignore[attr-defined]

    async def _read_block(self, blocks: AsyncIterator[bytes]) -> bytes | None:
        # A connection may stay open and deliver no data for good while new
        # connections work, so that only progress shows that it is usable. The
        # first token has a timeout of its own, because the engine's queue may
        # be long although nothing is wrong.
        timeout_s = (
            self._progress_timeout_s
            if self._next_seq
            else self._first_token_timeout_s
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await anext(blocks, None)
        except TimeoutError:
            self._is_silent = True
            raise EngineError(
                f"The engine said nothing for {timeout_s} s.", RunState.UNKNOWN
            ) from None

    def _check_resumable(self, error: EngineError, resumed: bool) -> None:
        if not resumed and error.run is not RunState.UNKNOWN:
            raise error
        # Once the caller has a part of the answer, no other run can follow, and
        # a pause of the engine may last until the deadline.
        if not (self._is_silent and self._dispatch.stream and self._next_seq):
            self._failures += 1
        if error.run is RunState.NOT_RUN:
            # An engine refuses a resumption if it has stopped, or has
            # restarted and has no record of the run. That proves nothing about
            # the run that was started, except that the engine died during it.
            raise EngineCrashedError(error.message) from error
        if self._failures > RESUME_ATTEMPTS:
            raise EngineError(error.message, RunState.UNKNOWN) from error
        _log.warning(
            "engine_stream_lost",
            extra={
                "request": self._dispatch.request_id,
                "error": error.message,
            },
        )


def _is_usage_requested(body: bytes) -> bool:
    form = msgspec.json.decode(body, type=_OptionsForm)
    return form.stream_options is not None and form.stream_options.include_usage


def _make_engine_body(body: bytes, version: str) -> bytes:
    form = msgspec.json.decode(body)
    form["model"] = version
    form["stream"] = True
    form["stream_options"] = {"include_usage": True}
    form.pop("metadata", None)
    return msgspec.json.encode(form)

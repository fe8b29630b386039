"""Runs at a sidecar: each executes at the engine and can be read again.

A run keeps its chunks for a while after its end, so that an entry whose
connection went silent, or another entry that joins, gets the whole answer
without a second execution.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
import time

import msgspec
import xxhash

from lovagestage.adapters import Engine
from lovagestage.events import Usage, make_plain_answer, parse_block
from lovagestage.exceptions import EngineError
from lovagestage.hub import Hub
from lovagestage.key_messages import Inquiry, InquiryAnswer, RunKnown
from lovagestage.messages import (
    Accepted,
    Attach,
    Cancel,
    Chunk,
    Dispatch,
    Finished,
    Message,
    Refused,
)
from lovagestage.run_gate import RunGate
from lovagestage.transport import PeerId
from lovagestage.types import RequestId, RunState

_log = logging.getLogger(__name__)

RESUME_ATTEMPTS = 3
RESUME_DELAY_S = 0.1

RunKey = tuple[RequestId, int]


@dataclasses.dataclass
class Run:
    """One execution of a request.

    Attributes:
        dispatch: What was asked.
        readers: Connections that read it.
        chunks: The answer so far.
        end: How it ended; None while it runs.
        ended_at_s: Monotonic time of the end.
        size_bytes: Size of the chunks.
    """

    dispatch: Dispatch
    readers: set[PeerId]
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    end: Finished | Refused | None = None
    ended_at_s: float = 0.0
    size_bytes: int = 0
    task: asyncio.Task[None] | None = None


class RunTable:
    """All runs of a sidecar.

    Args:
        engine: The upstream.
        hub: Where answers go.
        replay_window_s: How long an ended run is kept.
        replay_limit_bytes: Most bytes of ended runs that are kept.
        incarnation: Of this process.

    Attributes:
        gate: Last check of keyed runs.
    """

    def __init__(
        self,
        engine: Engine,
        hub: Hub,
        replay_window_s: float,
        replay_limit_bytes: int,
        incarnation: int,
    ) -> None:
        self.gate = RunGate(incarnation)
        self._started_s = time.monotonic()
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._engine = engine
        self._hub = hub
        self._window_s = replay_window_s
        self._limit_bytes = replay_limit_bytes
        self._runs: dict[RunKey, Run] = {}
        self._ended: collections.deque[RunKey] = collections.deque()
        self._ended_bytes = 0
        hub.register_answer(Inquiry, self.answer_inquiry)

    def get_clock_ms(self) -> int:
        """Time since the start of the process."""
        return int((time.monotonic() - self._started_s) * 1000)

    async def answer_inquiry(self, message: Message) -> Message:
        """Says what is known of a keyed run; may forbid it."""
        assert isinstance(message, Inquiry)
        run = message.run
        key = (run.request_id, run.attempt)
        if key in self._runs and run.incarnation == self.gate.incarnation:
            return InquiryAnswer(RunKnown.HERE)
        known = self.gate.inquire(
            key,
            run.incarnation,
            run.permit_ms,
            message.forbid,
            self.get_clock_ms(),
        )
        return InquiryAnswer(known)

    def forbid(self, dispatch: Dispatch) -> None:
        """Keeps a refused keyed run from starting later."""
        if dispatch.incarnation:
            key = (dispatch.request_id, dispatch.attempt)
            self.gate.forbid(key, self.get_clock_ms())

    def start(self, peer: PeerId, dispatch: Dispatch) -> None:
        """Starts a run; a repeated dispatch reads the run that exists."""
        key = (dispatch.request_id, dispatch.attempt)
        if key in self._runs:
            self.attach(peer, Attach(*key, from_seq=0))
            return
        if not self._may_start(dispatch):
            self._hub.send(peer, self._make_gate_refusal(dispatch))
            return
        run = Run(dispatch, {peer})
        self._runs[key] = run
        self.running += 1
        self.idle.clear()
        self._send(run, Accepted(*key))
        run.task = asyncio.create_task(self._execute(run))

    def _may_start(self, dispatch: Dispatch) -> bool:
        return not dispatch.incarnation or self.gate.may_start(
            (dispatch.request_id, dispatch.attempt),
            dispatch.incarnation,
            dispatch.permit_ms,
            self.get_clock_ms(),
        )

    def _make_gate_refusal(self, dispatch: Dispatch) -> Refused:
        self.forbid(dispatch)
        key = (dispatch.request_id, dispatch.attempt)
        ended = self.gate.may_have_ended(key, dispatch.permit_ms)
        return Refused(
            *key,
            "run_forbidden",
            "The run was given up or its claim is too old.",
            RunState.UNKNOWN if ended else RunState.NOT_RUN,
            None if ended else 1,
        )

    def attach(self, peer: PeerId, message: Attach) -> None:
        """Sends a run's chunks again to `peer`, one more of its readers."""
        key = (message.request_id, message.attempt)
        run = self._runs.get(key)
        if run is None:
            self._hub.send(
                peer,
                Refused(
                    *key,
                    code="upstream_lost",
                    message="The sidecar knows nothing of this run.",
                    run=RunState.UNKNOWN,
                ),
            )
            return
        run.readers.add(peer)
        for seq in range(message.from_seq, len(run.chunks)):
            self._hub.send(peer, Chunk(*key, seq, run.chunks[seq]))
        if run.end is not None:
            self._hub.send(peer, run.end)

    async def cancel(self, message: Cancel) -> None:
        """Cancels a run, down to the engine."""
        run = self._runs.get((message.request_id, message.attempt))
        if run is None or run.end is not None or run.task is None:
            return
        run.task.cancel()
        await self._engine.cancel(message.request_id)

    def remove_expired(self) -> None:
        """Forgets ended runs past the window or over the byte limit."""
        horizon_s = time.monotonic() - self._window_s
        while self._ended:
            run = self._runs[self._ended[0]]
            in_window = run.ended_at_s > horizon_s
            if in_window and self._ended_bytes <= self._limit_bytes:
                return
            key = self._ended.popleft()
            del self._runs[key]
            self._ended_bytes -= run.size_bytes
            if run.dispatch.incarnation:
                self.gate.forget(key, run.dispatch.permit_ms)
        self.gate.remove_expired(self.get_clock_ms())

    def get_sizes(self) -> dict[str, int]:
        """Sizes of the table, for the state dump."""
        return {
            "running": self.running,
            "runs": len(self._runs),
            "ended_bytes": self._ended_bytes,
            **self.gate.get_sizes(),
        }

    async def _execute(self, run: Run) -> None:
        end: Finished | Refused
        try:
            end = await self._read_answer(run)
        except EngineError as error:
            end = self._make_refusal(run, "upstream_failed", error)
        except asyncio.CancelledError:
            end = Refused(
                run.dispatch.request_id,
                run.dispatch.attempt,
                "cancelled",
                "The caller has cancelled the request.",
                RunState.RAN,
            )
        self._finish(run, end)

    def _make_refusal(self, run: Run, code: str, error: EngineError) -> Refused:
        if error.run is RunState.NOT_RUN:
            code = "no_capacity"
        if run.chunks and error.run is RunState.NOT_RUN:
            return Refused(
                run.dispatch.request_id,
                run.dispatch.attempt,
                "upstream_failed",
                error.message,
                RunState.RAN,
            )
        return Refused(
            run.dispatch.request_id,
            run.dispatch.attempt,
            code,
            error.message,
            error.run,
            1 if error.run is RunState.NOT_RUN else None,
        )

    async def _read_answer(self, run: Run) -> Finished:
        dispatch = run.dispatch
        options = _get_stream_options(dispatch.body)
        collected: list[bytes] = []
        digest = xxhash.xxh3_64()
        usage = Usage()
        next_seq = 0
        done = False
        failures = 0
        blocks = self._engine.run(
            dispatch.request_id,
            dispatch.priority,
            _make_engine_body(dispatch.body, dispatch.version),
        )
        while not done:
            try:
                async for data in blocks:
                    block = parse_block(data, next_seq, options)
                    next_seq = block.next_seq
                    usage = block.usage or usage
                    done = block.done
                    if dispatch.stream:
                        digest.update(block.data)
                        self._add_chunk(run, block.data)
                    else:
                        collected.append(data)
                    if done:
                        break
            except EngineError as error:
                if next_seq == 0 or failures >= RESUME_ATTEMPTS:
                    raise
                _log.warning(
                    "engine_stream_lost",
                    extra={
                        "request": dispatch.request_id,
                        "error": error.message,
                    },
                )
            if not done:
                failures += 1
                if next_seq == 0 or failures > RESUME_ATTEMPTS:
                    raise EngineError(
                        "The engine ended the stream too early.",
                        RunState.UNKNOWN,
                    )
                await asyncio.sleep(RESUME_DELAY_S)
                blocks = self._engine.resume(dispatch.request_id, next_seq)
        if not dispatch.stream:
            answer = make_plain_answer(b"".join(collected), usage)
            digest.update(answer)
            self._add_chunk(run, answer)
        return Finished(
            dispatch.request_id,
            dispatch.attempt,
            len(run.chunks),
            usage.prompt_tokens,
            usage.completion_tokens,
            digest.hexdigest(),
        )

    def _add_chunk(self, run: Run, data: bytes) -> None:
        if not data:
            return
        key = (run.dispatch.request_id, run.dispatch.attempt)
        self._send(run, Chunk(*key, len(run.chunks), data))
        run.chunks.append(data)
        run.size_bytes += len(data)

    def _finish(self, run: Run, end: Finished | Refused) -> None:
        run.end = end
        run.ended_at_s = time.monotonic()
        self._ended.append((run.dispatch.request_id, run.dispatch.attempt))
        self._ended_bytes += run.size_bytes
        self.running -= 1
        if self.running == 0:
            self.idle.set()
        self._send(run, end)
        self.remove_expired()

    def _send(self, run: Run, message: Message) -> None:
        # A send that fails is not an error: the entry notices the gap or the
        # silence and attaches again from the last chunk that it has.
        for peer in list(run.readers):
            if not self._hub.send(peer, message):
                run.readers.discard(peer)


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _OptionsForm(msgspec.Struct):
    stream_options: _StreamOptions | None = None


def _get_stream_options(body: bytes) -> bool:
    form = msgspec.json.decode(body, type=_OptionsForm)
    return form.stream_options is not None and form.stream_options.include_usage


def _make_engine_body(body: bytes, version: str) -> bytes:
    form = msgspec.json.decode(body)
    form["model"] = version
    form["stream"] = True
    form["stream_options"] = {"include_usage": True}
    form.pop("metadata", None)
    return msgspec.json.encode(form)

"""Runs at a sidecar: each executes at the engine and can be read repeatedly.

A run retains its chunks for a while after its end, so that an entry whose
connection stopped working, or another entry that joins, gets the complete
answer without a second execution.
"""

from __future__ import annotations

import asyncio
import collections
import time

import xxhash

from lovagestage.adapters.protocols import Engine, PlainService
from lovagestage.bus.hub import Hub
from lovagestage.bus.transport import PeerId
from lovagestage.decisions.run_gate import RunGate
from lovagestage.decisions.tombstones import RunKey, RunTrace, TombstoneTable
from lovagestage.exceptions import EngineCrashedError, EngineError
from lovagestage.execution.events import Usage, make_plain_answer
from lovagestage.execution.plain_stream import open_stream
from lovagestage.execution.readers import Run, get_read_interval_s
from lovagestage.messages.envelope import Message
from lovagestage.messages.keys import Inquiry, InquiryAnswer, RunKnowledge
from lovagestage.messages.runs import (
    Accepted,
    Ack,
    Attach,
    Cancel,
    Dispatch,
    Finished,
    Refused,
)
from lovagestage.settings import SidecarSettings
from lovagestage.types import RunState

DELIVERY_POLL_S = 0.05
MAX_TOMBSTONES = 50_000
TOMBSTONE_KEEP_S = 3_600.0
MAX_DISPATCH_AGE_MS = 5_000
"""Largest age in milliseconds of a dispatch, by the sidecar's own clock value
that the dispatch returns. Heartbeats report the clock twice a second, and an
entry sends nothing after 2 s without them."""

_TRACE_STATES = {
    RunTrace.REFUSED: (RunState.NOT_RUN, "dispatch_lost"),
    RunTrace.FORGOTTEN: (RunState.RAN, "upstream_lost"),
    RunTrace.UNKNOWN: (RunState.UNKNOWN, "upstream_lost"),
}


class RunTable:
    """All runs of a sidecar.

    Args:
        engine: The engine or plain service of the upstream.
        hub: Sends answers to the entries.
        settings: Timeouts and the limits for retained answers.
        incarnation: Incarnation of this process.

    Attributes:
        gate: Final check of keyed runs.
        running: Number of runs in progress.
        idle: Set while no run is in progress.
    """

    def __init__(
        self,
        engine: Engine | PlainService,
        hub: Hub,
        settings: SidecarSettings,
        incarnation: int,
    ) -> None:
        self.gate = RunGate(incarnation)
        self._started_s = time.monotonic()
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._engine = engine
        self._hub = hub
        self._settings = settings
        self._runs: dict[RunKey, Run] = {}
        self._ended_keys: collections.deque[RunKey] = collections.deque()
        self._ended_bytes = 0
        self._tombstones = TombstoneTable(MAX_TOMBSTONES, TOMBSTONE_KEEP_S)
        hub.register_query_handler(Inquiry, self.answer_inquiry)

    def get_clock_ms(self) -> int:
        """Returns the milliseconds since the start of the process."""
        return int((time.monotonic() - self._started_s) * 1000)

    async def answer_inquiry(self, message: Message) -> Message:
        """Reports what is known of a keyed run, and forbids it if asked to."""
        assert isinstance(message, Inquiry)
        run = message.run
        key = (run.request_id, run.attempt)
        if key in self._runs and run.incarnation == self.gate.incarnation:
            return InquiryAnswer(RunKnowledge.RECORDED)
        knowledge = self.gate.query_run(
            key,
            run.incarnation,
            run.permit_ms,
            message.forbid,
            self.get_clock_ms(),
        )
        return InquiryAnswer(knowledge)

    def holds(self, dispatch: Dispatch) -> bool:
        """Returns whether a dispatch repeats one whose run is held here."""
        return (dispatch.request_id, dispatch.attempt) in self._runs

    def forbid(self, dispatch: Dispatch) -> None:
        """Prevents a refused keyed run from starting later."""
        if dispatch.keyed:
            key = (dispatch.request_id, dispatch.attempt)
            self.gate.forbid(key, self.get_clock_ms())

    def start(self, peer: PeerId, dispatch: Dispatch) -> None:
        """Starts a run; a repeated dispatch reads the run that exists.

        Args:
            peer: The connection that reads the answer.
            dispatch: The request to run.
        """
        key = (dispatch.request_id, dispatch.attempt)
        if key in self._runs:
            self.attach(peer, Attach(*key, from_seq=0))
            return
        trace = self._tombstones.get(key)
        if trace is not None:
            # The dispatch was delayed on a connection that had stopped
            # working, and the run was refused or cancelled before the dispatch
            # arrived, or the run has ended and its answer is not retained.
            self._refuse(peer, key, trace)
            return
        if self._is_stale(dispatch):
            self.forbid(dispatch)
            trace = self._tombstones.refuse(key, time.monotonic())
            self._refuse(peer, key, trace)
            return
        if not self._may_start(dispatch):
            self._hub.send(peer, self._make_gate_refusal(dispatch))
            return
        run = Run(dispatch)
        run.attach(peer, 0)
        self._runs[key] = run
        self.running += 1
        self.idle.clear()
        self._hub.send(peer, Accepted(*key))
        run.task = asyncio.create_task(self._execute(run))

    def _is_stale(self, dispatch: Dispatch) -> bool:
        # A process that was paused handles the messages in its sockets before
        # it has read the log: it would run a version that was withdrawn long
        # ago, for an entry that has abandoned the attempt. The age is measured
        # by this process's clock alone, which advances during the pause.
        if dispatch.clock_ms < 0:
            return False
        return self.get_clock_ms() - dispatch.clock_ms > MAX_DISPATCH_AGE_MS

    def _may_start(self, dispatch: Dispatch) -> bool:
        return not dispatch.keyed or self.gate.may_start(
            (dispatch.request_id, dispatch.attempt),
            dispatch.incarnation,
            dispatch.permit_ms,
            self.get_clock_ms(),
        )

    def _make_gate_refusal(self, dispatch: Dispatch) -> Refused:
        self.forbid(dispatch)
        key = (dispatch.request_id, dispatch.attempt)
        may_have_ended = self.gate.may_have_ended(key, dispatch.permit_ms)
        return Refused(
            *key,
            "run_forbidden",
            "The run was given up or its claim is too old.",
            RunState.UNKNOWN if may_have_ended else RunState.NOT_RUN,
            None if may_have_ended else 1,
        )

    def attach(self, peer: PeerId, message: Attach) -> None:
        """Sends a run's chunks again to `peer`, which reads it from now on.

        Args:
            peer: The connection that reads the run.
            message: The run, and the first chunk to send.
        """
        key = (message.request_id, message.attempt)
        run = self._runs.get(key)
        if run is None:
            self._refuse(
                peer, key, self._tombstones.refuse(key, time.monotonic())
            )
            return
        self._hub.send(peer, Accepted(*key))
        run.send_available(run.attach(peer, message.from_seq), self._hub.send)

    def acknowledge(self, peer: PeerId, message: Ack) -> None:
        """Sends more chunks to a reader that has acknowledged some.

        Args:
            peer: The connection of the reader.
            message: The acknowledgement.
        """
        run = self._runs.get((message.request_id, message.attempt))
        if run is None:
            return
        reader = run.acknowledge(peer, message.next_seq)
        if reader is not None:
            run.send_available(reader, self._hub.send)

    async def cancel(self, message: Cancel) -> None:
        """Cancels a run, also at the engine; refuses one that arrives later."""
        key = (message.request_id, message.attempt)
        run = self._runs.get(key)
        if run is None:
            self._tombstones.refuse(key, time.monotonic())
            return
        if run.end is not None or run.task is None:
            return
        run.task.cancel()
        await self._engine.cancel(message.request_id)

    def conflicts_with_probe(self, dispatch: Dispatch) -> bool:
        """Returns whether a suspect must not run beside the runs in progress.

        A crash during a probe convicts the probed request. If another request
        with strikes ran beside it, the wrong request could be convicted.

        Args:
            dispatch: The request to run.
        """
        if not dispatch.strikes:
            return False
        return any(
            run.end is None
            and run.dispatch.strikes > 0
            and (dispatch.probe or run.dispatch.probe)
            for run in self._runs.values()
        )

    def remove_peer(self, peer: PeerId) -> None:
        """Removes the readers on a connection from all runs.

        A heartbeat could not be sent on the connection, or no data was received
        from it for too long.
        """
        for run in self._runs.values():
            run.remove_reader(peer)

    async def wait_until_delivered(self) -> None:
        """Waits until all runs have ended and their readers were sent the end.

        A run may end at the engine while its reader's window is full. A
        process that stopped at that point would truncate the stream of a slow
        caller.
        """
        while not all(run.is_delivered() for run in self._runs.values()):
            await asyncio.sleep(DELIVERY_POLL_S)

    def on_timer(self) -> None:
        """Sends the chunks that could not be sent, and removes expired runs."""
        for run in self._runs.values():
            for reader in run.readers.values():
                run.send_available(reader, self._hub.send)
        self.remove_expired()

    def remove_expired(self) -> None:
        """Removes ended runs that are too old or exceed the byte limit."""
        now_s = time.monotonic()
        horizon_s = now_s - self._settings.replay_window_s
        limit_bytes = self._settings.replay_limit_bytes
        while self._ended_keys:
            run = self._runs[self._ended_keys[0]]
            in_window = run.ended_at_s > horizon_s
            if in_window and self._ended_bytes <= limit_bytes:
                return
            key = self._ended_keys.popleft()
            del self._runs[key]
            self._ended_bytes -= run.size_bytes
            self._tombstones.record_forgotten(key, now_s)
            if run.dispatch.keyed:
                self.gate.record_forgotten(key, run.dispatch.permit_ms)
        self.gate.remove_expired(self.get_clock_ms())

    def get_sizes(self) -> dict[str, int]:
        """Returns the sizes of the tables, for the state dump."""
        return {
            "running": self.running,
            "runs": len(self._runs),
            "ended_bytes": self._ended_bytes,
            "tombstones": len(self._tombstones),
            **self.gate.get_sizes(),
            "paused": sum(
                run.end is None and run.is_too_far_ahead()
                for run in self._runs.values()
            ),
        }

    def _refuse(self, peer: PeerId, key: RunKey, trace: RunTrace) -> None:
        state, code = _TRACE_STATES[trace]
        message = f"The sidecar does not hold this run: {trace.value}."
        self._hub.send(peer, Refused(*key, code, message, state, 1))

    async def _execute(self, run: Run) -> None:
        end: Finished | Refused
        try:
            async with asyncio.timeout(run.dispatch.deadline_s):
                end = await self._read_answer(run)
        except EngineError as error:
            end = _make_engine_refusal(run, error)
        except TimeoutError:
            # The request may still have been queued at the upstream.
            state = RunState.RAN if run.chunks else RunState.UNKNOWN
            end = _make_refusal(
                run, "deadline_exceeded", "The deadline has passed.", state
            )
            await self._engine.cancel(run.dispatch.request_id)
        except asyncio.CancelledError:
            end = _make_refusal(
                run, "cancelled", "The caller has cancelled the request."
            )
        self._finish(run, end)

    async def _read_answer(self, run: Run) -> Finished:
        dispatch = run.dispatch
        blocks: list[bytes] = []
        digest = xxhash.xxh3_64()
        usage = Usage()
        stream = open_stream(self._engine, dispatch, self._settings)
        async for block in stream.read():
            usage = block.usage or usage
            if dispatch.stream:
                digest.update(block.data)
                self._add_chunk(run, block.data)
                await _wait_for_readers(run)
            else:
                blocks.append(block.data)
            read_interval_s = get_read_interval_s(self.running)
            if read_interval_s and not block.done:
                await asyncio.sleep(read_interval_s)
        if not dispatch.stream:
            answer = make_plain_answer(b"".join(blocks), usage)
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
        run.add_chunk(data)
        self._send_to_readers(run)

    def _finish(self, run: Run, end: Finished | Refused) -> None:
        run.end = end
        run.ended_at_s = time.monotonic()
        self._ended_keys.append((run.dispatch.request_id, run.dispatch.attempt))
        self._ended_bytes += run.size_bytes
        self.running -= 1
        if self.running == 0:
            self.idle.set()
        self._send_to_readers(run)
        self.remove_expired()

    def _send_to_readers(self, run: Run) -> None:
        for reader in run.readers.values():
            run.send_available(reader, self._hub.send)


async def _wait_for_readers(run: Run) -> None:
    # A caller that reads slowly must not make the sidecar buffer what the
    # engine could buffer: the sidecar stops reading the engine's connection,
    # and its flow control stops the engine.
    while run.is_too_far_ahead():
        run.readers_changed.clear()
        await run.readers_changed.wait()


def _make_engine_refusal(run: Run, error: EngineError) -> Refused:
    if error.run is RunState.NOT_RUN:
        return _make_refusal(run, "no_capacity", error.message, error.run, 1)
    crashed = isinstance(error, EngineCrashedError)
    code = "upstream_crashed" if crashed else "upstream_failed"
    state = RunState.RAN if run.chunks else error.run
    return _make_refusal(run, code, error.message, state)


def _make_refusal(
    run: Run,
    code: str,
    message: str,
    state: RunState = RunState.RAN,
    retry_after_s: int | None = None,
) -> Refused:
    return Refused(
        run.dispatch.request_id,
        run.dispatch.attempt,
        code,
        message,
        state,
        retry_after_s,
    )

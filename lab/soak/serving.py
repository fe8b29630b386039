"""How a soak's workers answer requests."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable, Mapping

from lab import worker as lab
from lab.soak.answers import (
    ENDLESS_SCRIPTS,
    SCRIPTS,
    UNFRAMED_RATIO,
    make_body,
    send_unframed,
)
from lab.soak.deployment import EVENTS, STREAMS
from lab.soak.prompts import read_parts
from lab.soak.records import (
    CrashingPart,
    CrashingRun,
    Run,
    SlowRollout,
    StatedRest,
)
from lab.worker import Arrival, StreamEnding

ANSWERED_BY = "Answered-By"
"""Header in which a worker names itself. A stream that goes on at another
worker keeps the headers of its first one."""
CRASHING_BODY = b"crash-"
"""First bytes of the body of a request that crashes each worker."""
UNFRAMED_ENDINGS = (StreamEnding.CLOSED_ORDERLY, StreamEnding.RESET)
EVENT_PAUSE_S = 0.03
STEADY_PAUSES_S = (0.45, 1.0)
"""Shortest and longest pause in seconds before an event of a long stream."""
SLOW_ANSWERS_S = (2.0, 3.0)
"""Shortest and longest time in seconds until a long answer."""
SILENCES_S = (0.7, 1.2)
"""Shortest and longest of one pause in a stream of a slow version; longer than
the longest pause with which an answer is on time."""
AFTERMATH_S = 1.0
"""Seconds for which a run goes on whose worker ends under it."""

CrashWorker = Callable[[str], Awaitable[None]]


class WorkerBehaviour:
    """Answers the requests of all workers and records their runs.

    Args:
        rng: Source of all random choices.
        crash_worker: Ends the process of a worker.

    Attributes:
        runs: Runs of each request, by its id.
        spoiled: Ids of requests that a worker has failed, broken off or left
            without an answer.
        fault_ratios: Ratio of requests that workers fail, by name of the
            script; for `break`, ratio of streams that break off.
        unframed_ratio: Ratio of answers with neither a length nor chunks.
        rests: Rests that workers have asked for.
        rest_s: Time in seconds for which a worker that refuses all requests
            asks for a rest, by the worker's instance name.
        crashing_runs: Runs of each request that crashes workers, by its body.
        crashing_parts: Parts of prompts that crash workers, by id.
        rollouts: Roll-outs of slow versions, by the worker's instance name.
    """

    def __init__(self, rng: random.Random, crash_worker: CrashWorker) -> None:
        self.runs: dict[str, list[Run]] = {}
        self.spoiled: set[str] = set()
        self.fault_ratios: dict[str, float] = {}
        self.unframed_ratio = UNFRAMED_RATIO
        self.rests: list[StatedRest] = []
        self.rest_s: dict[str, float] = {}
        self.crashing_runs: dict[bytes, list[CrashingRun]] = {}
        self.crashing_parts: dict[str, CrashingPart] = {}
        self.rollouts: dict[str, SlowRollout] = {}
        self._rng = rng
        self._crash_worker = crash_worker
        self._tasks: set[asyncio.Future[None]] = set()

    async def handle_request(
        self, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request; it is the script of all workers."""
        instance = arrival.headers.get("expected-instance", "")
        notices = {**arrival.notices, ANSWERED_BY: instance}
        arrival = dataclasses.replace(arrival, notices=notices)
        if instance in self.rest_s:
            await self._ask_for_rest(arrival, writer, instance)
            return
        if arrival.body.startswith(CRASHING_BODY):
            runs = self.crashing_runs.setdefault(arrival.body, [])
            runs.append(self._make_crashing_run(arrival, instance))
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))
            await self._crash(instance)
            return
        part = self._get_crashing_part(arrival.headers)
        if part is not None:
            part.runs.append(self._make_crashing_run(arrival, instance))
            await self._crash_within_answer(arrival, writer, instance)
            return
        await self._run(arrival, writer, instance)

    async def _run(
        self, arrival: Arrival, writer: asyncio.StreamWriter, instance: str
    ) -> None:
        script = self._draw_script()
        if script is lab.refuse:
            await script(arrival, writer)
            return
        run = Run(time.monotonic(), instance)
        self.runs.setdefault(arrival.request_id, []).append(run)
        if script is not None:
            self.spoiled.add(arrival.request_id)
        rollout = self._draw_slow(instance)
        factor = rollout.factor if rollout is not None else 1.0
        await asyncio.sleep(self._rng.uniform(0.002, 0.06) * factor)
        if script is not None:
            await script(arrival, writer)
        else:
            await self._answer(arrival, writer, rollout)
        if rollout is not None:
            rollout.answers_s.append(time.monotonic())

    async def _answer(
        self,
        arrival: Arrival,
        writer: asyncio.StreamWriter,
        rollout: SlowRollout | None,
    ) -> None:
        route = arrival.target.split("/")[1]
        if route in STREAMS:
            await self._stream(arrival, writer, route, rollout)
            return
        if route == "slow":
            await asyncio.sleep(self._rng.uniform(*SLOW_ANSWERS_S))
        if self._rng.random() < self.unframed_ratio:
            await send_unframed(arrival, writer)
        else:
            await lab.send(writer, 200, arrival, make_body(arrival))

    async def _stream(
        self,
        arrival: Arrival,
        writer: asyncio.StreamWriter,
        route: str,
        rollout: SlowRollout | None,
    ) -> None:
        breaks = self._rng.random() < self.fault_ratios.get("break", 0.0)
        if breaks:
            self.spoiled.add(arrival.request_id)
        is_unframed = self._rng.random() < self.unframed_ratio
        script = lab.make_stream(
            EVENTS,
            break_after=self._rng.randint(0, EVENTS - 1) if breaks else None,
            pause_s=self._draw_pauses(route, rollout),
            ending=self._rng.choice(UNFRAMED_ENDINGS)
            if is_unframed
            else StreamEnding.CHUNKED,
        )
        await script(arrival, writer)

    def _draw_pauses(
        self, route: str, rollout: SlowRollout | None
    ) -> list[float]:
        if route == "steady":
            return [self._rng.uniform(*STEADY_PAUSES_S) for _ in range(EVENTS)]
        if rollout is None:
            return [EVENT_PAUSE_S] * EVENTS
        pauses_s = [EVENT_PAUSE_S * rollout.factor] * EVENTS
        # A silence before the first event would not be one within the stream.
        silent = self._rng.randint(1, EVENTS - 1)
        pauses_s[silent] = self._rng.uniform(*SILENCES_S)
        return pauses_s

    def _draw_slow(self, instance: str) -> SlowRollout | None:
        """Returns the worker's roll-out if it answers slowly this time."""
        rollout = self.rollouts.get(instance)
        if rollout is None or self._rng.random() >= rollout.slow_ratio:
            return None
        return rollout

    def _draw_script(self) -> lab.Script | None:
        remaining = self._rng.random()
        for name, share in self.fault_ratios.items():
            remaining -= share
            if remaining < 0.0:
                return SCRIPTS.get(name) or ENDLESS_SCRIPTS.get(name)
        return None

    def _get_crashing_part(
        self, headers: Mapping[str, str]
    ) -> CrashingPart | None:
        for name in read_parts(headers.get("prefix-hash", "")):
            if name in self.crashing_parts:
                return self.crashing_parts[name]
        return None

    def _make_crashing_run(self, arrival: Arrival, worker: str) -> CrashingRun:
        return CrashingRun(worker, arrival.request_id, time.monotonic())

    async def _crash(self, worker: str) -> None:
        self._tasks.add(asyncio.ensure_future(self._crash_worker(worker)))
        await asyncio.sleep(AFTERMATH_S)

    async def _crash_within_answer(
        self, arrival: Arrival, writer: asyncio.StreamWriter, worker: str
    ) -> None:
        """Sends the head of an answer and up to two events, then crashes."""
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        script = lab.make_stream(EVENTS, pause_s=EVENT_PAUSE_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                self._rng.uniform(0.0, 2.5 * EVENT_PAUSE_S)
            ):
                await script(arrival, writer)
        await self._crash(worker)

    async def _ask_for_rest(
        self, arrival: Arrival, writer: asyncio.StreamWriter, worker: str
    ) -> None:
        rest_s = self.rest_s[worker]
        self.rests.append(
            StatedRest(worker, arrival.request_id, time.monotonic(), rest_s)
        )
        await lab.make_refusal_with_rest(rest_s)(arrival, writer)

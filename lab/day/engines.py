"""How the workers of a day answer: in batches that slow each other down."""

from __future__ import annotations

import asyncio
import random
import time

from lab import worker as lab
from lab.day.deployment import BY_NAME, PACES, RequestClass, RouteKind
from lab.day.records import DayRecord, Run, RunEnd
from lab.worker import Arrival, Worker

SLOTS = {"pool": 64, "api": 6}
QUEUES = {"pool": 134, "api": 24}
FIRST_S = 0.013
STEP_S = 0.0031
STEP_PER_RUN_S = 0.0001
PREFILL_TOKENS_PER_S = 56_900.0
TOKENS_PER_EVENT = 5
PLAIN_SPREAD = 0.5
"""Spread of the time of plain answers, of a lognormal distribution."""
CONFIDENCE = {"small": (10, 70), "middle": (30, 85), "large": (60, 100)}


class DayWorker:
    """A worker of one service and version.

    Args:
        name: Instance id.
        service: Name of its service.
        version: Its version.
        record: Gets its runs.
        rng: Source of all random choices.
        slow_share: Share of its requests that it answers slowly.
        factor: How many times as long a slow answer takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        version: str,
        record: DayRecord,
        rng: random.Random,
        slow_share: float = 0.0,
        factor: float = 1.0,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.server = Worker(name, self._answer)
        self._record = record
        self._rng = rng
        self._slow_share = slow_share
        self._factor = factor
        self._slots = asyncio.Semaphore(SLOTS[service])
        self._admitted = 0
        self._active = 0
        self._has_ended = False

    async def stop(self) -> None:
        """Ends at once; its connections are reset."""
        self._has_ended = True
        await self.server.stop()

    async def _answer(
        self, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        if self._admitted >= SLOTS[self.service] + QUEUES[self.service]:
            await lab.refuse(arrival, writer)
            return
        run = Run(self.name, time.monotonic())
        self._record.runs.setdefault(arrival.request_id, []).append(run)
        self._admitted += 1
        try:
            async with self._slots:
                await self._run(arrival, writer)
            run.end = RunEnd.COMPLETE
        finally:
            self._admitted -= 1
            run.ended_s = time.monotonic()
            if run.end is RunEnd.AT_WORK:
                run.end = (
                    RunEnd.BROKEN_OFF if self._has_ended else RunEnd.DROPPED
                )

    async def _run(
        self, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        request_class = BY_NAME[arrival.target.split("/")[1]]
        is_slow = self._rng.random() < self._slow_share
        factor = self._factor if is_slow else 1.0
        self._active += 1
        try:
            if request_class.kind is RouteKind.STREAMING:
                await self._stream(request_class, arrival, writer, factor)
                return
            spread = self._rng.lognormvariate(0.0, PLAIN_SPREAD)
            await asyncio.sleep(request_class.work_s * spread * factor)
            await lab.send(writer, 200, arrival, arrival.request_id.encode())
        finally:
            self._active -= 1

    async def _stream(
        self,
        request_class: RequestClass,
        arrival: Arrival,
        writer: asyncio.StreamWriter,
        factor: float,
    ) -> None:
        model = arrival.headers.get("model-name", "small")
        pace = PACES.get(model, 1.0) * factor
        prefill_s = request_class.prompt_tokens / PREFILL_TOKENS_PER_S
        pauses_s = [
            self._get_step_s() * TOKENS_PER_EVENT * pace
            for _ in range(request_class.events)
        ]
        confidence = self._rng.randint(*CONFIDENCE.get(model, (50, 100)))
        script = lab.make_stream(
            request_class.events,
            pause_s=pauses_s,
            confidence={model: confidence},
            first_s=FIRST_S + prefill_s * pace,
        )
        await script(arrival, writer)

    def _get_step_s(self) -> float:
        """Returns the time of a token: longer the more requests run."""
        step_s = STEP_S + STEP_PER_RUN_S * self._active
        return step_s * self._rng.lognormvariate(0.0, PLAIN_SPREAD)

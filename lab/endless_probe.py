"""Measures what workers that answer without end cost a gateway and others.

A gateway in a process of its own serves callers for some seconds, first from
sound workers alone, then beside workers that answer without end. Callers try
once each.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import multiprocessing
import multiprocessing.connection
import os
import pathlib
import random
import tempfile
import time
from collections.abc import Iterator

from lab import worker as lab
from lab.caller import make_request, read_reply
from lab.endless import GARBAGE, EndlessForm, make_endless
from lab.soak.answers import make_body
from lab.soak.world import SoakEnvironment
from lab.worker import Arrival, Worker

RATE_PER_S = 60.0
IN_TIME_S = 1.0
SOUND_WORKERS = 4
ENDLESS_WORKERS = 2
PHASE_S = 5.0
START_S = 3.0
EVENTS = 8
EVENT_PAUSE_S = 0.02
MIN_SERVED_RATIO = 0.95
MAX_PROCESSOR_RATIO = 2.0
MAX_GROWTH_MB = 4.0
_MB = 1024 * 1024


@dataclasses.dataclass
class Phase:
    """What was seen in some seconds.

    Attributes:
        sent: Requests that callers sent.
        served: Requests that were served at the first attempt and in time.
        foreign: Answers that held bytes of no answer.
        processor_s: Seconds of processor time that the gateway used.
        memory_mb: Resident memory of the gateway at the end, in MB.
        duration_s: Duration in seconds.
    """

    sent: int = 0
    served: int = 0
    foreign: int = 0
    processor_s: float = 0.0
    memory_mb: float = 0.0
    duration_s: float = 0.0

    @property
    def served_ratio(self) -> float:
        """Share of the requests that were served."""
        return self.served / max(1, self.sent)


def find_breaches(before: Phase, beside: Phase) -> list[str]:
    """Returns which of the stated targets a phase misses."""
    breaches = []
    served_ratio = beside.served_ratio / before.served_ratio
    if served_ratio < MIN_SERVED_RATIO:
        breaches.append(f"served {served_ratio:.2f} as often")
    processor_ratio = beside.processor_s / before.processor_s
    if processor_ratio > MAX_PROCESSOR_RATIO:
        breaches.append(f"{processor_ratio:.1f} times the processor")
    growth_mb = beside.memory_mb - before.memory_mb
    if growth_mb > MAX_GROWTH_MB:
        breaches.append(f"{growth_mb:.1f} MB more")
    if beside.foreign:
        breaches.append(f"{beside.foreign} answers with foreign bytes")
    return breaches


async def _answer(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    if arrival.target.startswith("/stream/"):
        stream = lab.make_stream(events=EVENTS, pause_s=EVENT_PAUSE_S)
        await stream(arrival, writer)
        return
    await asyncio.sleep(EVENT_PAUSE_S)
    await lab.send(writer, 200, arrival, make_body(arrival))


def _serve_endless(
    form: EndlessForm,
    names: list[str],
    sender: multiprocessing.connection.Connection,
) -> None:
    """Runs workers that answer without end, until the process is ended."""

    async def serve() -> None:
        workers = [Worker(name, make_endless(form)) for name in names]
        for worker in workers:
            await worker.start()
        sender.send([worker.address for worker in workers])
        await asyncio.Event().wait()

    asyncio.run(serve())


@contextlib.contextmanager
def _run_endless(form: EndlessForm, names: list[str]) -> Iterator[list[str]]:
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(
        target=_serve_endless, args=(form, names, sender), daemon=True
    )
    process.start()
    try:
        yield receiver.recv()
    finally:
        process.kill()
        process.join()


class Probe:
    """One gateway between callers and workers, measured in phases."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._environment = SoakEnvironment(1, folder, 1, 0)
        self._rng = random.Random(1)
        self._sent = 0

    async def measure(self, form: EndlessForm) -> tuple[Phase, Phase]:
        """Measures without and beside workers that answer without end."""
        environment = self._environment
        await environment.start()
        heartbeats = asyncio.ensure_future(environment.send_heartbeats())
        try:
            for _ in range(SOUND_WORKERS):
                name = await environment.add_worker()
                environment.workers[name].script = _answer
            while not await environment.gateways[0].is_ready():
                await asyncio.sleep(0.05)
            await self._run_phase(START_S)
            before = await self._run_phase(PHASE_S)
            names = [f"endless-{number}" for number in range(ENDLESS_WORKERS)]
            with _run_endless(form, names) as addresses:
                for name, address in zip(names, addresses, strict=True):
                    environment.add_entry(name, address)
                beside = await self._run_phase(PHASE_S)
            return before, beside
        finally:
            heartbeats.cancel()
            await environment.stop()

    async def _run_phase(self, duration_s: float) -> Phase:
        phase = Phase(duration_s=duration_s)
        pid = self._environment.gateways[0].pid
        begun_s, used_s = time.monotonic(), _read_processor_s(pid)
        calls = []
        while time.monotonic() - begun_s < duration_s:
            calls.append(asyncio.ensure_future(self._call(phase)))
            await asyncio.sleep(self._rng.expovariate(RATE_PER_S))
        phase.processor_s = _read_processor_s(pid) - used_s
        phase.memory_mb = _read_memory_mb(pid)
        await asyncio.gather(*calls)
        return phase

    async def _call(self, phase: Phase) -> None:
        self._sent += 1
        phase.sent += 1
        route = self._rng.choice(("safe", "stream"))
        key = self._environment.get_valid_keys()[0]
        request_id = f"p{self._sent}"
        port = self._environment.gateways[0].client_port
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(IN_TIME_S):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                try:
                    path = f"/{route}/x"
                    writer.write(
                        make_request(path, request_id=request_id, key=key)
                    )
                    reply = await read_reply(reader)
                finally:
                    writer.close()
            phase.foreign += GARBAGE[:1] in reply.body
            phase.served += reply.status == 200 and reply.is_complete


def _read_processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def _read_memory_mb(pid: int) -> float:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / _MB


def measure(form: EndlessForm) -> tuple[Phase, Phase]:
    """Measures one form; returns what was seen before it and beside it."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Probe(pathlib.Path(folder)).measure(form))


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments."""
    parser.add_argument(
        "--forms",
        type=lambda text: [EndlessForm(name) for name in text.split(",")],
        default=list(EndlessForm),
        help="names of the forms, separated by commas",
    )


def run(args: argparse.Namespace) -> int:
    """Prints a line for each form; returns 1 if one missed a target."""
    failed = 0
    for form in args.forms:
        before, beside = measure(form)
        breaches = find_breaches(before, beside)
        failed += bool(breaches)
        print(
            f"{form.value:16} served {before.served_ratio:.3f}"
            f" {beside.served_ratio:.3f} processor {before.processor_s:.2f}"
            f" {beside.processor_s:.2f} s memory {before.memory_mb:.1f}"
            f" {beside.memory_mb:.1f} MB; {'; '.join(breaches) or 'held'}",
            flush=True,
        )
    return 1 if failed else 0

"""Measures configuration delays, bytes and CPU time over many readers.

The delay of a change is the time from its append until it is in force at a
reader. The product's readers receive each record once, by long polling. Each of
the baseline's readers polls all documents in full, at the interval that keeps
the same bound on the delay.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import msgspec
import numpy
from aiohttp import web

from lab.experiments import Result
from lab.log import LogService
from lab.server import start_app
from lovagestage.adapters.http_log import HttpLog
from lovagestage.control.reader import READ_WAIT_S, ControlReader
from lovagestage.control.writer import ControlWriter
from lovagestage.state.documents import ServiceInForce
from lovagestage.state.records import DocumentChange
from lovagestage.types import ChangeId, ServiceId

HOST = "127.0.0.1"
READERS = 200
SERVICES = 10
WORKSPACES = 10
CHANGES = 20
INTERVAL_S = 0.25
POLL_S = 4.0
GOAL_S = 8.0
GOAL_BYTES_PER_S = 3000.0
CHANGES_PER_DAY = 1600
DAY_S = 86_400.0
SETTLE_S = 5.0


def make_document(service: ServiceId, number: int) -> bytes:
    """Returns a document of realistic size: ten workspaces, two versions.

    Args:
        service: Service that the document describes.
        number: Number that distinguishes the document's content.
    """
    version = {"price": 1.0, "capacity_tokens_per_s": 1000.0}
    return msgspec.json.encode(
        {
            "service": service,
            "team": f"team-{number}",
            "versions": [
                {"name": f"{size}@1", **version} for size in ("large", "small")
            ],
            "workspaces": {
                f"workspace-{index}": {
                    "key_digests": [f"{index:064x}"],
                    "allowed": ["large", "small"],
                    "limit_tokens_per_s": 100.0,
                }
                for index in range(WORKSPACES)
            },
            "classes": {},
        }
    )


class _Meter:
    """Records the bytes that readers receive and the delays of changes."""

    def __init__(self) -> None:
        self.received_bytes = 0
        self.appended_s: dict[tuple[ServiceId, int], float] = {}
        self.delays_s: list[float] = []

    def make_session(self) -> aiohttp.ClientSession:
        """Returns a client session that counts received bytes, with headers."""
        trace = aiohttp.TraceConfig()
        trace.on_response_chunk_received.append(self._on_chunk)
        trace.on_request_end.append(self._on_headers)
        connector = aiohttp.TCPConnector(limit=0)
        return aiohttp.ClientSession(connector=connector, trace_configs=[trace])

    def record_revisions(
        self,
        seen_revisions: dict[ServiceId, int],
        services: dict[ServiceId, ServiceInForce],
    ) -> None:
        """Records the delay of each revision that is new to a reader.

        Args:
            seen_revisions: The newest revision that the reader has seen, by
                service; updated in place.
            services: The documents that the reader has in force.
        """
        now_s = time.monotonic()
        for name, in_force in services.items():
            for revision in range(
                seen_revisions.get(name, 0) + 1, in_force.revision + 1
            ):
                appended_s = self.appended_s.get((name, revision))
                if appended_s is not None:
                    self.delays_s.append(now_s - appended_s)
            seen_revisions[name] = in_force.revision

    async def _on_chunk(self, *args: Any) -> None:
        self.received_bytes += len(args[2].chunk)

    async def _on_headers(self, *args: Any) -> None:
        headers = args[2].response.raw_headers
        self.received_bytes += sum(len(k) + len(v) + 4 for k, v in headers)


class _Follower:
    """One of the product's readers, whose changes are recorded."""

    def __init__(self, meter: _Meter, reader: ControlReader) -> None:
        self.reader = reader
        self._meter = meter
        self._seen_revisions: dict[ServiceId, int] = {}
        reader.subscribe(self._on_change)

    def _on_change(self) -> None:
        self._meter.record_revisions(
            self._seen_revisions, self.reader.folded.services
        )


async def _poll(
    meter: _Meter, session: aiohttp.ClientSession, url: str, phase_s: float
) -> None:
    """Polls all documents, as one of the baseline's readers.

    Args:
        meter: Records the delays of changes.
        session: Client session to poll with.
        url: URL of the documents.
        phase_s: Delay in seconds before the first poll.
    """
    seen_revisions: dict[ServiceId, int] = {}
    await asyncio.sleep(phase_s)
    while True:
        async with session.get(url) as response:
            listing = msgspec.json.decode(await response.read())
        services = {
            ServiceId(name): ServiceInForce(
                in_force["revision"],
                in_force["document"],
                b"",
                in_force["offset"],
                {},
            )
            for name, in_force in listing.items()
        }
        meter.record_revisions(seen_revisions, services)
        await asyncio.sleep(POLL_S)


def _make_documents_app(control: ControlReader) -> web.Application:
    async def handle(request: web.Request) -> web.Response:
        del request
        body = {
            name: {
                "revision": in_force.revision,
                "offset": in_force.offset,
                "document": in_force.document,
            }
            for name, in_force in control.folded.services.items()
        }
        return web.Response(body=msgspec.json.encode(body))

    app = web.Application()
    app.router.add_get("/documents", handle)
    return app


@contextlib.asynccontextmanager
async def _serve(app: web.Application) -> AsyncIterator[str]:
    runner, port = await start_app(app, HOST, 0)
    try:
        yield f"http://{HOST}:{port}"
    finally:
        await runner.cleanup()


async def _append_changes(
    meter: _Meter, writer: ControlWriter, rng: random.Random
) -> None:
    """Creates each service's document, then appends changes at random times."""
    revisions = dict.fromkeys(range(SERVICES), 0)
    for number in range(SERVICES + CHANGES):
        index = number if number < SERVICES else rng.randrange(SERVICES)
        service = ServiceId(f"service-{index}")
        base = revisions[index]
        revisions[index] = base + 1
        if number >= SERVICES:
            await asyncio.sleep(rng.expovariate(1 / INTERVAL_S))
            meter.appended_s[service, base + 1] = time.monotonic()
        await writer.append(
            DocumentChange(
                ChangeId(f"change-{number}"),
                service,
                base,
                "experiment",
                make_document(service, number),
            )
        )


async def _measure(
    readers: int,
    seed: int,
    start: Callable[[_Meter, str, str], Awaitable[_Stop]],
) -> dict[str, Any]:
    service = LogService(1000.0, 1000.0, 10_000)
    meter = _Meter()
    async with (
        _serve(service.app()) as url,
        aiohttp.ClientSession() as session,
    ):
        log = HttpLog(session, url)
        control = ControlReader(log)
        await control.start()
        async with _serve(_make_documents_app(control)) as documents_url:
            stop = await start(meter, url, documents_url)
            started_s = time.monotonic()
            cpu_s = time.process_time()
            writer = ControlWriter(log, control)
            await _append_changes(meter, writer, random.Random(seed))
            await _wait_for_delays(meter, readers * CHANGES)
            elapsed_s = time.monotonic() - started_s
            cpu_s = time.process_time() - cpu_s
            await stop()
        await control.stop()
    return _make_figures(meter, readers, elapsed_s, cpu_s)


_Stop = Callable[[], Awaitable[None]]


async def _wait_for_delays(meter: _Meter, expected: int) -> None:
    end_s = time.monotonic() + POLL_S + SETTLE_S
    while len(meter.delays_s) < expected and time.monotonic() < end_s:
        await asyncio.sleep(0.05)


def _make_figures(
    meter: _Meter, readers: int, elapsed_s: float, cpu_s: float
) -> dict[str, Any]:
    delays_s = numpy.array(meter.delays_s)
    return {
        "seen": len(delays_s),
        "expected": readers * CHANGES,
        "median_s": round(float(numpy.median(delays_s)), 4),
        "p99_s": round(float(numpy.percentile(delays_s, 99)), 4),
        "worst_s": round(float(delays_s.max()), 4),
        "bytes_per_reader": round(meter.received_bytes / readers),
        "bytes_per_s_per_reader": round(
            meter.received_bytes / readers / elapsed_s, 1
        ),
        "cpu_ms_per_s_per_reader": round(1000 * cpu_s / readers / elapsed_s, 3),
        "elapsed_s": round(elapsed_s, 2),
    }


def _start_followers(readers: int) -> Callable[..., Awaitable[_Stop]]:
    async def start(meter: _Meter, url: str, documents_url: str) -> _Stop:
        del documents_url
        session = meter.make_session()
        followers = [
            _Follower(meter, ControlReader(HttpLog(session, url)))
            for _ in range(readers)
        ]
        for follower in followers:
            await follower.reader.start()

        async def stop() -> None:
            await asyncio.gather(*(f.reader.stop() for f in followers))
            await session.close()

        return stop

    return start


def _start_pollers(readers: int, seed: int) -> Callable[..., Awaitable[_Stop]]:
    async def start(meter: _Meter, url: str, documents_url: str) -> _Stop:
        del url
        rng = random.Random(seed)
        session = meter.make_session()
        path = f"{documents_url}/documents"
        tasks = [
            asyncio.create_task(
                _poll(meter, session, path, rng.uniform(0, POLL_S))
            )
            for _ in range(readers)
        ]

        async def stop() -> None:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await session.close()

        return stop

    return start


def run(seed: int, readers: int = READERS) -> Result:
    """Runs the product and the baseline on the same changes.

    Readers, log and writer share one process, so the CPU time per reader
    includes the cost of serving that reader.

    Args:
        seed: Seed of all random choices.
        readers: Number of readers.
    """
    product = asyncio.run(_measure(readers, seed, _start_followers(readers)))
    baseline = asyncio.run(
        _measure(readers, seed, _start_pollers(readers, seed))
    )
    per_change = product["bytes_per_reader"] / (CHANGES + SERVICES)
    # A long poll that returns no record transfers only headers. Counting it
    # as large as a change gives an upper bound.
    day_bytes_per_s = per_change * (CHANGES_PER_DAY / DAY_S + 1 / READ_WAIT_S)
    ratio = day_bytes_per_s / baseline["bytes_per_s_per_reader"]
    ok = (
        product["seen"] == product["expected"]
        and product["worst_s"] <= GOAL_S
        and day_bytes_per_s <= GOAL_BYTES_PER_S
    )
    return Result(
        "config",
        seed,
        baseline,
        product | {"max_bytes_per_s_at_day_rate": round(day_bytes_per_s, 1)},
        round(ratio, 4),
        ok,
        {
            "readers": readers,
            "services": SERVICES,
            "changes": CHANGES,
            "baseline_poll_s": POLL_S,
            "ratio": "bytes a second a reader at 1,600 changes a day",
        },
    )

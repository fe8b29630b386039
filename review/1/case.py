"""A stream pauses for longer than `TargetGapMs` while its gateway stops."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from standins import (
    BROKEN,
    HELD,
    NOT_RUN,
    Arrival,
    Client,
    Gateway,
    Record,
    Reply,
    Store,
    Worker,
    answer_stream,
    make_configuration,
    make_route,
    run_case,
)

PAUSES_S = [0.2, 0.2, 0.2, 0.2, 0.2, 0.2]
LONG_PAUSE_S = 1.6
"""Over the route's `TargetGapMs` of 1.2 s, and far under the time
after which a client abandons a stream: the longest of 2 s, four times the
objective of 1.5 s and eight times that pause."""
LONG_PAUSE_BEFORE = 3
STREAMS = 4
"""Streams on each route, half of them sent before the SIGTERM."""


async def run(
    record: Record, folder: pathlib.Path, trouble: bool, gateways: list[Gateway]
) -> int:
    """Sends streams around a SIGTERM; returns the exit code."""
    store = Store()
    await store.start()
    pauses_s = list(PAUSES_S)
    if trouble:
        pauses_s[LONG_PAUSE_BEFORE] = LONG_PAUSE_S

    async def answer(
        worker: Worker, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        await answer_stream(writer, arrival, pauses_s)

    workers = []
    for name, service in (
        ("i-1", "pool"),
        ("i-2", "pool"),
        ("i-3", "pool"),
        ("i-4", "single"),
    ):
        worker = Worker(name, answer, record)
        await worker.start()
        store.put("keyed.servers", name, worker.make_entry(service))
        workers.append(worker)
    stream = {"TargetGapMs": 1200, "SessionAffinity": True}
    routes = [
        # A stream that may not be resumed, which counts as unsafe.
        make_route("once", "streaming", "pool", Resumable=False, **stream),
        # A stream that may be resumed, while one worker of its service is left.
        make_route("again", "streaming", "single", Resumable=True, **stream),
    ]
    store.put("keyed.op", "config", make_configuration(1, routes))
    for number in (1, 2):
        gateways.append(
            Gateway(f"edge-{number}", store.address, folder, record)
        )
        await gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_until_ready()

    async def call(request_id: str, route: str) -> Reply:
        client = Client(record)
        await client.connect(gateways[0].address)
        reply = await client.call(request_id, f"/{route}/2f")
        client.close()
        return reply

    await asyncio.sleep(3.5)  # ContactMs without any disruption.
    calls = {}
    for number in range(STREAMS):
        if number == STREAMS // 2 and trouble:
            gateways[0].send_signal(signal.SIGTERM)
        for route in ("once", "again"):
            request_id = f"{route}-{number}"
            calls[request_id] = asyncio.ensure_future(call(request_id, route))
        await asyncio.sleep(0.3)
    replies = {name: await task for name, task in calls.items()}
    if trouble:
        await gateways[0].wait()
    outcomes: dict[str, list[str]] = {}
    for worker in workers:
        for request_id, outcome in worker.outcomes.items():
            outcomes.setdefault(request_id, []).append(outcome)
    lost = [
        name
        for name, reply in replies.items()
        if name in outcomes and not reply.is_complete
    ]
    for name in lost:
        record.add(f"lost: {name}, at its worker: {outcomes[name]}")
    answered = sum(r.status == 200 and r.is_complete for r in replies.values())
    record.add(f"{len(replies)} sent, {answered} answered, {len(lost)} lost")
    if lost:
        return BROKEN
    return HELD if answered == len(replies) else NOT_RUN


run_case(run, pathlib.Path(__file__).parent)

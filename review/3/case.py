"""A stopping gateway takes a request that it has no time left to finish."""

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
    answer_plain,
    answer_stream,
    make_configuration,
    make_route,
    run_case,
)

STREAMS_S = (7.2, 7.35, 7.5, 7.65)
"""Times that the clients' streams take, one after the other ends."""
EVENTS = 30
TERM_AFTER_S = 1.4
"""SIGTERM comes this long after the streams' start, so that the last one ends
6.25 s after it: before the last sixth of `GraceS`, which begins at 6.67 s."""
WORK_S = 1.75
"""Time that a worker takes for the next request. It is under the route's
`TimeoutMs`, and its answer would be there within `GraceS`."""


async def run(
    record: Record, folder: pathlib.Path, trouble: bool, gateways: list[Gateway]
) -> int:
    """Sends requests after streams around a SIGTERM; returns the exit code."""
    store = Store()
    await store.start()

    async def answer(
        worker: Worker, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        if arrival.target.startswith("/chat/"):
            stream_s = STREAMS_S[int(arrival.id.partition("-")[2])]
            await answer_stream(writer, arrival, [stream_s / EVENTS] * EVENTS)
            return
        await asyncio.sleep(WORK_S)
        await answer_plain(writer, arrival, b"receipt of " + arrival.body)

    workers = []
    for name, service in (
        ("i-1", "pool"),
        ("i-2", "pool"),
        ("i-3", "api"),
        ("i-4", "api"),
    ):
        worker = Worker(name, answer, record)
        await worker.start()
        store.put("keyed.servers", name, worker.make_entry(service))
        workers.append(worker)
    routes = [
        make_route(
            "chat",
            "streaming",
            "pool",
            TimeoutMs=25000,
            TargetGapMs=1200,
            Resumable=True,
            SessionAffinity=True,
        ),
        make_route(
            "receipt", "unsafe", "api", TimeoutMs=2000, TargetLatencyMs=300
        ),
    ]
    store.put("keyed.op", "config", make_configuration(1, routes))
    for number in (1, 2):
        gateways.append(
            Gateway(f"edge-{number}", store.address, folder, record)
        )
        await gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_until_ready()

    async def use_connection(number: int) -> dict[str, Reply]:
        """Sends a request for a stream and, after it, one for a receipt."""
        client = Client(record)
        await client.connect(gateways[0].address)
        names = f"chat-{number}", f"receipt-{number}"
        chat = await client.call(names[0], "/chat/2f", deadline_ms=25000)
        replies = {names[0]: chat}
        # A client respects `Connection: close`.
        if chat.is_complete and chat.headers.get("connection") != "close":
            replies[names[1]] = await client.call(
                names[1], "/receipt/2f", deadline_ms=4000
            )
        client.close()
        return replies

    await asyncio.sleep(3.5)  # ContactMs without any disruption.
    users = [
        asyncio.ensure_future(use_connection(number))
        for number in range(len(STREAMS_S))
    ]
    await asyncio.sleep(TERM_AFTER_S)
    if trouble:
        gateways[0].send_signal(signal.SIGTERM)
    replies: dict[str, Reply] = {}
    for user in users:
        replies |= await user
    if trouble:
        await gateways[0].wait()
    runs = {name: w.outcomes[name] for w in workers for name in w.outcomes}
    # A stream was sent before the SIGTERM and may be cut late in `GraceS`.
    lost = [
        name
        for name, reply in replies.items()
        if name.startswith("receipt") and name in runs and not reply.is_complete
    ]
    for name in lost:
        record.add(f"lost: {name}, at its worker: {runs[name]}")
    answered = sum(r.status == 200 and r.is_complete for r in replies.values())
    record.add(f"{len(replies)} sent, {answered} answered, {len(lost)} lost")
    if lost:
        return BROKEN
    # A request that was refused as not run keeps the rule.
    refused = sum(r.status == 503 for r in replies.values())
    return HELD if answered + refused >= len(replies) else NOT_RUN


run_case(run, pathlib.Path(__file__).parent)

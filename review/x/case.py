"""A faulty worker sends bytes after a complete answer, and they come late."""

from __future__ import annotations

import asyncio
import pathlib
import random

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
    make_configuration,
    make_route,
    run_case,
)

REQUESTS = 400
CLIENTS = 8
EXTRA_SHARE = 0.2
"""Share of the faulty worker's answers that are followed by other bytes."""
EXTRA_BYTES = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
"""What the faulty worker sends after a complete answer. It has no `Attempt-Id`
and no signature, so it belongs to no request."""
WORK_S = 0.06


async def run(
    record: Record, folder: pathlib.Path, trouble: bool, gateways: list[Gateway]
) -> int:
    store = Store()
    await store.start()
    rng = random.Random(1)
    spoiled: dict[str, str] = {}

    async def answer(
        worker: Worker, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        is_faulty = trouble and worker.name == "i-1"
        if is_faulty and arrival.number > 1 and rng.random() < EXTRA_SHARE:
            # The bytes that follow the previous answer are late: they arrive
            # where this one is expected.
            record.add(f"{worker.name}: late bytes come before {arrival.id}")
            spoiled[arrival.id] = worker.name
            writer.write(EXTRA_BYTES)
        await asyncio.sleep(WORK_S)
        await answer_plain(writer, arrival, b"status of " + arrival.id.encode())

    workers = []
    for name in ("i-1", "i-2", "i-3"):
        worker = Worker(name, answer, record)
        await worker.start()
        store.put("keyed.servers", name, worker.make_entry("api"))
        workers.append(worker)
    routes = [
        make_route(
            "status",
            "safe",
            "api",
            TimeoutMs=2000,
            TargetLatencyMs=300,
            MaxAttempts=2,
        )
    ]
    store.put("keyed.op", "config", make_configuration(1, routes))
    for number in (1, 2):
        gateways.append(
            Gateway(f"edge-{number}", store.address, folder, record)
        )
        await gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(3.5)  # ContactMs without any disruption.
    replies: dict[str, Reply] = {}

    async def use_connections(number: int) -> None:
        client = Client(record)
        address = gateways[number % 2].address
        await client.connect(address)
        for turn in range(REQUESTS // CLIENTS):
            name = f"{number}-{turn}"
            reply = await client.call(name, "/status/2f", "GET", b"", 4000)
            replies[name] = reply
            if reply.headers.get("connection") == "close" or not reply.status:
                client.close()
                await client.connect(address)
            await asyncio.sleep(rng.uniform(0.02, 0.1))
        client.close()

    await asyncio.gather(*(use_connections(n) for n in range(CLIENTS)))
    denied = [
        name
        for name, reply in replies.items()
        if 300 <= reply.status < 500
        and reply.status not in (408, 421, 429)
        and "response-signature" not in reply.headers
    ]
    for name in denied:
        run_by = [w.name for w in workers if name in w.outcomes]
        record.add(f"denied: {name}, run by {run_by}: {replies[name]}")
    answered = sum(r.status == 200 and r.is_complete for r in replies.values())
    bound = 5 + len(replies) / 500
    record.add(
        f"{len(replies)} sent, {answered} answered, {len(spoiled)} times late"
        f" bytes, {len(denied)} denied, bound {bound}"
    )
    if len(denied) > bound:
        return BROKEN
    return HELD if answered + len(denied) == len(replies) else NOT_RUN


run_case(run, pathlib.Path(__file__).parent)

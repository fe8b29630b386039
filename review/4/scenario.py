"""Workers whose answers are followed by a late second one; see claim.txt."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2 as lab

FOLDER = pathlib.Path(__file__).resolve().parent
WORKERS = 5
CLIENTS = 16
PAUSE_S = 0.2
"""Pause of a client between two requests: some 70 a second in all."""
EVENTS = 5
WINDOWS = 5
WINDOW_S, GAP_S = 5.0, 3.5
WORKER_SHARE = 0.6
"""Share of the workers that give second answers in a window."""
ANSWER_SHARE = 0.03
"""Share of the answers of these workers that are followed by a second one."""
ALLOWED_LOSSES = 3
SEED = 48


def make_configuration() -> dict[str, object]:
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "restore-audit",
                "Hostname": lab.HOST,
                "PathPrefix": "/audit/",
                "RouteType": "streaming",
                "Resumable": True,
                "SessionAffinity": True,
                "TimeoutMs": 8000,
                "TargetLatencyMs": 2000,
                "TargetGapMs": 1200,
                "MaxAttempts": 3,
                "Priority": 1,
                "Service": "lovage-pool",
                "Public": False,
            }
        ],
        "Services": [{"Name": "lovage-pool", "HealthPath": "/healthz"}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": lab.TENANT, "ApiKeys": [lab.KEY], "Priority": 1}],
    }


class Pool:
    """The workers' answers: whole streams, and second ones in a window."""

    def __init__(self, record: lab.Record) -> None:
        self._record = record
        self._rng = random.Random(SEED)
        self._second: dict[asyncio.StreamWriter, bytes] = {}
        self.garbling: set[str] = set()
        self.second_answers = 0

    async def answer(
        self, request: lab.Message, writer: asyncio.StreamWriter
    ) -> None:
        name = request.headers["expected-instance"]
        if name not in self.garbling and writer in self._second:
            # The extra answer to an earlier request on this connection comes
            # late: the worker is sound again.
            self.second_answers += 1
            self._record.add(
                f"worker: second answer at {name} before that to {request.id}"
            )
            writer.write(self._second.pop(writer))
        headers = {
            "Attempt-Id": request.id,
            "Response-Signature": lab.SIGNATURE,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        head = lab.make_head("HTTP/1.1 200 X", headers)
        first = int(request.headers.get("last-event-id", "0")) + 1
        events = [
            lab.make_chunk(b"id: %d\ndata: text\n\n" % number)
            for number in range(first, EVENTS + 1)
        ]
        end = lab.make_chunk(b"")
        writer.write(head)
        for event in events:
            await asyncio.sleep(0.005)
            writer.write(event)
        writer.write(end)
        await writer.drain()
        self._record.add(f"run: {request.id} answered whole")
        if name in self.garbling and self._rng.random() < ANSWER_SHARE:
            self._second[writer] = head + b"".join(events) + end


class Losses:
    """Requests of kept connections that ended without an answer."""

    def __init__(self) -> None:
        self.sent = 0
        self.lost: list[str] = []
        self.others: list[str] = []


async def run_client(
    number: int,
    address: str,
    record: lab.Record,
    losses: Losses,
    end_s: float,
) -> None:
    client = lab.Client(address, record)
    rng = random.Random(SEED + number)
    count = 0
    while time.monotonic() < end_s:
        await asyncio.sleep(rng.uniform(0.5, 1.5) * PAUSE_S)
        count += 1
        request_id = f"c{number:02d}-{count:04d}"
        part = f"5c1e{number % 4:04x}:800,{number:04x}{count:08x}:250"
        losses.sent += 1
        was_kept = client.answered_on_connection > 0
        try:
            answer = await client.call(
                "/audit/run",
                request_id,
                b"x" * 600,
                Model_Name="daka510000",
                Token_Usage="1050,25",
                Prefix_Hash=part,
            )
        except EOFError:
            losses.others.append(request_id)
            continue
        if answer is None:
            (losses.lost if was_kept else losses.others).append(request_id)
        elif answer.status != 200 or answer.body.count(b"id: ") != EVENTS:
            losses.others.append(request_id)
    client.close()


async def disturb(pool: Pool, names: list[str], record: lab.Record) -> None:
    rng = random.Random(SEED)
    for _ in range(WINDOWS):
        await asyncio.sleep(GAP_S)
        if lab.WITH_TROUBLE:
            count = int(WORKER_SHARE * len(names))
            pool.garbling = set(rng.sample(names, count))
            record.add(f"trouble: second answers of {sorted(pool.garbling)}")
        await asyncio.sleep(WINDOW_S)
        pool.garbling = set()
        record.add("trouble: over")


async def run(record: lab.Record, folder: pathlib.Path) -> int:
    store = lab.Store(record)
    await store.start()
    store.put("keyed.op", "config", make_configuration())
    pool = Pool(record)
    workers = [
        lab.Worker(f"i-{n:04x}", pool.answer, record) for n in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
        entry = lab.make_entry("lovage-pool", worker.address)
        store.put("keyed.servers", worker.name, entry)
    gateway = lab.Gateway("edge-1", store, folder, record)
    losses = Losses()
    try:
        await gateway.start()
        await gateway.wait_until_ready()
        await asyncio.sleep(3.0)
        end_s = time.monotonic() + WINDOWS * (WINDOW_S + GAP_S) + GAP_S
        clients = [
            asyncio.ensure_future(
                run_client(n, gateway.client_address, record, losses, end_s)
            )
            for n in range(CLIENTS)
        ]
        await disturb(pool, [worker.name for worker in workers], record)
        await asyncio.gather(*clients)
        if gateway.returncode is not None:
            raise lab.NotRunError(f"the gateway ended: {gateway.get_log()}")
    finally:
        await gateway.stop()
    return judge(record, pool, workers, losses)


def judge(
    record: lab.Record, pool: Pool, workers: list[lab.Worker], losses: Losses
) -> int:
    """Checks the rule LOST: at most three such requests."""
    begun = {request for worker in workers for request in worker.begun}
    lost = [request for request in losses.lost if request in begun]
    for request in lost:
        record.add(
            f"lost: {request} was sent on a kept connection, was passed on to a"
            " worker and ran there; the gateway closed the client's connection"
            " without a byte of an answer"
        )
    record.conclude(
        f"{losses.sent} requests sent, {pool.second_answers} second answers,"
        f" {len(lost)} lost of {ALLOWED_LOSSES} allowed,"
        f" {len(losses.others)} ended otherwise"
    )
    if losses.sent < 1000 or len(losses.others) > losses.sent / 10:
        record.conclude("not run: too few requests were served")
        return lab.EXIT_NOT_RUN
    return lab.EXIT_BROKEN if len(lost) > ALLOWED_LOSSES else lab.EXIT_HELD


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        lab.run_scenario(FOLDER, run)

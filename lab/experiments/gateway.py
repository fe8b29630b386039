"""Measures CPU time per request and per event, and memory, of a gateway.

A real gateway process runs with a test double of the store and of the workers.
Four callers use keep-alive connections, and no faults are injected. Baseline
and product are the same process, so the figures are absolute.
"""

from __future__ import annotations

import asyncio
import pathlib
import tempfile

from lab.caller import make_request, read_reply
from lab.experiments import Result
from lab.soak.deployment import EVENTS
from lab.soak.gateways import GatewayProcess
from lab.soak.world import SoakEnvironment
from lab.usage import get_usage

CALLERS = 4
REQUESTS = 250
"""Number of requests that each caller sends to each kind of route."""
IDLE_S = 5.0
MAX_REQUEST_MS = 5.0
MAX_RESIDENT_MB = 48.0


def run(seed: int) -> Result:
    """Measures idle time, then requests to each kind of route."""
    with tempfile.TemporaryDirectory() as folder:
        figures = asyncio.run(_run(seed, pathlib.Path(folder)))
    is_small = figures["resident_mb"] < MAX_RESIDENT_MB
    return Result(
        "gateway",
        seed,
        {},
        figures,
        figures["safe_ms"] / MAX_REQUEST_MS,
        is_small and figures["safe_ms"] < MAX_REQUEST_MS,
        {"requests": CALLERS * REQUESTS, "events": EVENTS},
    )


async def _run(seed: int, folder: pathlib.Path) -> dict[str, float]:
    environment = SoakEnvironment(seed, folder)
    await environment.start()
    gateway = environment.gateways[0]
    try:
        while not await gateway.is_ready():
            await asyncio.sleep(0.1)
        figures = {"idle_ms_per_s": await _measure_idle_ms_per_s(gateway)}
        for kind in ("safe", "unsafe", "stream"):
            figures[f"{kind}_ms"] = await _measure_request_ms(gateway, kind)
        event_ms = (figures["stream_ms"] - figures["safe_ms"]) / EVENTS
        figures["event_ms"] = event_ms
        figures["resident_mb"] = get_usage(gateway.pid).resident_bytes / 1e6
        return figures
    finally:
        await environment.stop()


async def _measure_idle_ms_per_s(gateway: GatewayProcess) -> float:
    before = get_usage(gateway.pid).cpu_s
    await asyncio.sleep(IDLE_S)
    return 1e3 * (get_usage(gateway.pid).cpu_s - before) / IDLE_S


async def _measure_request_ms(gateway: GatewayProcess, kind: str) -> float:
    before = get_usage(gateway.pid).cpu_s
    await asyncio.gather(
        *(_send_requests(gateway, kind, number) for number in range(CALLERS))
    )
    spent_s = get_usage(gateway.pid).cpu_s - before
    return 1e3 * spent_s / (CALLERS * REQUESTS)


async def _send_requests(
    gateway: GatewayProcess, kind: str, caller: int
) -> None:
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", gateway.client_port
    )
    for number in range(REQUESTS):
        request_id = f"{kind}{caller}-{number}"
        writer.write(
            make_request(f"/{kind}/x", "POST", b"x" * 600, request_id, "key0")
        )
        reply = await read_reply(reader)
        if reply.status != 200:
            raise RuntimeError(f"{request_id}: {reply.status}")
    writer.close()

"""Measures the service interruption after a kill, and CPU time per token event.

The naive baseline is a caller that sends to the engines in turn and tries the
next engine when a call fails.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import time
import urllib.request

import aiohttp

from lab.experiments import Result
from lab.fleet import Fleet
from lab.shapes import SHAPES

KILLS = 12
REQUEST_INTERVAL_S = 0.02
LOAD_BEFORE_KILL_S = 0.4
LOAD_AFTER_KILL_S = 1.2
RECOVERY_TIMEOUT_S = 15.0
STREAMS = 64
STREAM_TOKENS = 400
GOAL_S = 1.0
GOAL_EVENT_US = 50.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BODY = {
    "model": "large@1",
    "messages": [{"role": "user", "content": "Why did the restore fail"}],
    "max_tokens": 4,
}


def run(seed: int) -> Result:
    """Kills processes one after another under load, then runs streams."""
    return asyncio.run(_run(seed))


async def _run(seed: int) -> Result:
    rng = random.Random(seed)
    timeout = aiohttp.ClientTimeout(total=30)
    connector = aiohttp.TCPConnector(limit=0)
    with Fleet(SHAPES["thin"]) as fleet:
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            product = [
                await _measure_kill(fleet, session, role, index % 2, rng, False)
                for index in range(KILLS)
                for role in ("sidecar", "engine")
            ]
            naive = [
                await _measure_kill(fleet, session, "engine", i % 2, rng, True)
                for i in range(KILLS)
            ]
            event_us = await _measure_event_us(fleet, session)
    interruptions_s = sorted(interruption_s for interruption_s, _ in product)
    failures = sum(count for _, count in product)
    naive_s = sorted(interruption_s for interruption_s, _ in naive)
    figures = {
        "gap_p50_s": round(_get_quantile(interruptions_s, 0.5), 3),
        "gap_p99_s": round(_get_quantile(interruptions_s, 0.99), 3),
        "failed_requests": failures,
        **event_us,
    }
    baseline = {
        "gap_p50_s": round(_get_quantile(naive_s, 0.5), 3),
        "gap_p99_s": round(_get_quantile(naive_s, 0.99), 3),
        "failed_requests": sum(count for _, count in naive),
    }
    return Result(
        "failover_small",
        seed,
        baseline,
        figures,
        figures["gap_p99_s"] / max(baseline["gap_p99_s"], 0.001),
        figures["gap_p99_s"] < GOAL_S
        and failures == 0
        and max(event_us.values()) < GOAL_EVENT_US,
        {
            "kills": len(product),
            "naive_kills": len(naive),
            "gap": "slowest request near the kill, less the median",
            "streams": STREAMS,
            "tokens_per_stream": STREAM_TOKENS,
        },
    )


async def _measure_kill(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    role: str,
    index: int,
    rng: random.Random,
    naive: bool,
) -> tuple[float, int]:
    """Kills one process under load and restarts it.

    Returns:
        The service interruption in seconds, and the number of failed requests.
    """
    send = _request_with_retries if naive else _request_from_entry
    urls = [child.url for child in (fleet.engines if naive else fleet.entries)]
    calls: list[asyncio.Task[float | None]] = []
    kill_at_s = (
        time.monotonic()
        + LOAD_BEFORE_KILL_S
        + rng.random() * REQUEST_INTERVAL_S
    )
    end_s = kill_at_s + LOAD_AFTER_KILL_S
    killed = False
    port = fleet.children[f"engine-{index}"].port
    while time.monotonic() < end_s:
        offset = len(calls) % len(urls)
        targets = urls[offset:] + urls[:offset]
        calls.append(asyncio.create_task(send(session, targets)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
        if not killed and time.monotonic() >= kill_at_s:
            fleet.kill(f"{role}-{index}")
            killed = True
    latencies_s = [
        latency_s for latency_s in await asyncio.gather(*calls) if latency_s
    ]
    await asyncio.to_thread(_restart, fleet, role, index, port)
    median_s = _get_quantile(sorted(latencies_s), 0.5)
    return max(latencies_s) - median_s, len(calls) - len(latencies_s)


def _restart(fleet: Fleet, role: str, index: int, port: int) -> None:
    if role == "engine":
        fleet.restart_engine(index, port)
    else:
        fleet.start_sidecar(index)
    engine = f"engine-{index}"
    end_s = time.monotonic() + RECOVERY_TIMEOUT_S
    # The entries use the upstream again as soon as the engine runs requests.
    while not fleet.get_stats(engine)["runs"] or role == "sidecar":
        if time.monotonic() > end_s:
            raise TimeoutError(f"{engine} ran no requests after its restart.")
        before = len(fleet.get_stats(engine)["runs"])
        for entry in fleet.entries:
            _request_once(entry.url)
        if len(fleet.get_stats(engine)["runs"]) > before:
            return


def _request_once(url: str) -> None:
    request = urllib.request.Request(
        f"{url}/v1/chat/completions",
        json.dumps(_BODY).encode(),
        {"Authorization": "Bearer key-audit"},
    )
    with urllib.request.urlopen(request, timeout=30):
        pass


async def _request_from_entry(
    session: aiohttp.ClientSession, urls: list[str]
) -> float | None:
    start_s = time.monotonic()
    status = await _post(session, urls[0])
    return time.monotonic() - start_s if status == 200 else None


async def _request_with_retries(
    session: aiohttp.ClientSession, urls: list[str]
) -> float | None:
    start_s = time.monotonic()
    for url in urls:
        if await _post(session, url) == 200:
            return time.monotonic() - start_s
    return None


async def _post(session: aiohttp.ClientSession, url: str) -> int:
    headers = {"Authorization": "Bearer key-audit"}
    try:
        async with session.post(
            f"{url}/v1/chat/completions", json=_BODY, headers=headers
        ) as response:
            await response.read()
            return response.status
    except (TimeoutError, aiohttp.ClientError):
        return 0


async def _measure_event_us(
    fleet: Fleet, session: aiohttp.ClientSession
) -> dict[str, float]:
    """Returns the CPU time in us per token event, by role of the processes."""
    before = {role: _get_cpu_s(fleet, role) for role in ("entry", "sidecar")}
    events = await asyncio.gather(
        *(_stream(session, fleet.entries[i % 2].url) for i in range(STREAMS))
    )
    return {
        f"{role}_us_per_event": round(
            (_get_cpu_s(fleet, role) - spent_s) / sum(events) * 1e6, 1
        )
        for role, spent_s in before.items()
    }


async def _stream(session: aiohttp.ClientSession, url: str) -> int:
    body = {**_BODY, "max_tokens": STREAM_TOKENS, "stream": True}
    headers = {"Authorization": "Bearer key-audit"}
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        data = await response.read()
    return data.count(b"\n\n")


def _get_cpu_s(fleet: Fleet, role: str) -> float:
    total = 0
    for name, child in fleet.children.items():
        if name.startswith(role):
            path = pathlib.Path(f"/proc/{child.process.pid}/stat")
            fields = path.read_text().rpartition(")")[2].split()
            total += int(fields[11]) + int(fields[12])
    return total / TICKS_PER_S


def _get_quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))]

"""Measures the latency and CPU time that entry and sidecar add.

One run sends the same streams to the engines directly and through entry and
sidecar, with 1, 32 and 256 streams open at the same time. The engines are the
same in both cases, so the difference is caused by entry and sidecar.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import Any

import aiohttp

from lab.experiments import Result
from lab.fleet import Child, Fleet
from lab.load import Recorder, Target, run_stream
from lab.shapes import Shape
from lab.usage import get_usage

LEVELS = (1, 32, 256)
ROUNDS = {1: 12, 32: 4, 256: 2}
TOKENS = 64
WARM_UP_ROUNDS = 1
SHAPE = Shape("vault", ("lhe-a",), 1, 4, 0)
ENGINE_OPTIONS = ("--max-batch", "128", "--token-ms-per-running", "0")
MAX_MEDIAN_MS = 2.0
MAX_P99_MS = 8.0
MAX_CHUNK_US = 50.0


@dataclasses.dataclass(frozen=True)
class Level:
    """Figures for one number of concurrent streams.

    Attributes:
        first_token_ms: Percentiles of the time to the first token, in ms.
        between_ms: Percentiles of the time between reads of a stream, in ms.
        total_ms: Percentiles of the time to the complete answer, in ms.
        entry_chunk_us: CPU time of the entry per token chunk, in us.
        sidecar_chunk_us: CPU time of all sidecars together per token chunk,
            in us.
        answers: Number of answers by outcome.
    """

    first_token_ms: dict[str, float]
    between_ms: dict[str, float]
    total_ms: dict[str, float]
    entry_chunk_us: float
    sidecar_chunk_us: float
    answers: dict[str, int]


def run(seed: int) -> Result:
    """Runs all levels, directly and through entry and sidecar."""
    with Fleet(SHAPE, ENGINE_OPTIONS) as fleet:
        resident_before_mb = _get_resident_mb(fleet)
        direct, routed = {}, {}
        for level in LEVELS:
            direct[str(level)] = _measure_level(
                fleet, level, _get_direct(fleet)
            )
            routed[str(level)] = _measure_level(
                fleet, level, _get_routed(fleet)
            )
        resident_after_mb = _get_resident_mb(fleet)
    added = {name: _get_added_ms(direct[name], routed[name]) for name in direct}
    ok = (
        added["32"]["p50"] < MAX_MEDIAN_MS
        and added["32"]["p99"] < MAX_P99_MS
        and routed["32"].entry_chunk_us < MAX_CHUNK_US
        and routed["32"].sidecar_chunk_us < MAX_CHUNK_US
        and all(set(r.answers) == {"whole"} for r in routed.values())
    )
    return Result(
        "overhead",
        seed,
        {name: dataclasses.asdict(value) for name, value in direct.items()},
        {name: dataclasses.asdict(value) for name, value in routed.items()},
        routed["32"].first_token_ms["p50"] / direct["32"].first_token_ms["p50"],
        ok,
        {
            "added_first_token_ms": added,
            "resident_mb_at_rest": resident_before_mb,
            "resident_mb_after": resident_after_mb,
            "tokens": TOKENS,
            "rounds": {str(level): ROUNDS[level] for level in LEVELS},
        },
    )


def _get_direct(fleet: Fleet) -> Target:
    urls = tuple(engine.url for engine in fleet.engines)
    return Target(urls, "", "small@1", TOKENS)


def _get_routed(fleet: Fleet) -> Target:
    urls = tuple(entry.url for entry in fleet.entries)
    return Target(urls, "key-audit", "small@1", TOKENS)


def _measure_level(fleet: Fleet, level: int, target: Target) -> Level:
    sidecars = [c for n, c in fleet.children.items() if n.startswith("sidecar")]
    before = _get_cpu_s(fleet.entries), _get_cpu_s(sidecars)
    recorder = asyncio.run(_run_rounds(level, target))
    after = _get_cpu_s(fleet.entries), _get_cpu_s(sidecars)
    rounds = ROUNDS[level] + WARM_UP_ROUNDS
    chunks = level * rounds * TOKENS
    summary = recorder.get_summary()
    return Level(
        _get_floats(summary["first_token_ms"]),
        _get_floats(summary["between_tokens_ms"]),
        _get_floats(summary["total_ms"]),
        (after[0] - before[0]) * 1e6 / chunks,
        (after[1] - before[1]) * 1e6 / chunks,
        dict(recorder.answers),
    )


async def _run_rounds(level: int, target: Target) -> Recorder:
    recorder = Recorder()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        warm_up = Recorder()
        for _ in range(WARM_UP_ROUNDS):
            await _run_round(session, level, target, warm_up, spread_s=0.5)
        for _ in range(ROUNDS[level]):
            await _run_round(session, level, target, recorder, spread_s=0.5)
    return recorder


async def _run_round(
    session: aiohttp.ClientSession,
    level: int,
    target: Target,
    recorder: Recorder,
    spread_s: float,
) -> None:
    start_s = time.perf_counter()

    async def start_stream(index: int) -> None:
        due_s = start_s + spread_s * index / level
        await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
        await run_stream(session, target, index, due_s, recorder)

    await asyncio.gather(*(start_stream(index) for index in range(level)))


def _get_added_ms(direct: Level, routed: Level) -> dict[str, float]:
    return {
        name: routed.first_token_ms[name] - direct.first_token_ms[name]
        for name in ("p50", "p99")
    }


def _get_floats(value: Any) -> dict[str, float]:
    return {name: float(number) for name, number in value.items()}


def _get_cpu_s(children: list[Child]) -> float:
    return sum(get_usage(child.process.pid).cpu_s for child in children)


def _get_resident_mb(fleet: Fleet) -> dict[str, float]:
    return {
        name: round(get_usage(child.process.pid).resident_bytes / 1e6, 1)
        for name, child in fleet.children.items()
        if name.startswith(("entry", "sidecar"))
    }

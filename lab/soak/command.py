"""Runs gateways under random faults and checks their promises."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import tempfile
import time

from lab.soak.checks import find_breaches
from lab.soak.traffic import Callers
from lab.soak.troubles import TROUBLES, Trouble
from lab.soak.world import GATEWAYS, World

CALLERS = 8
SETTLE_S = 4.0
"""Faults end, and what follows them, before recovery is looked at."""
CALM_S = 2.0
START_TIMEOUT_S = 15.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--logs", type=pathlib.Path, help="keep logs here")


def run(args: argparse.Namespace) -> int:
    """Plays the seeds; exits 1 where a promise was broken."""
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        breaches, summary = play(seed, args.seconds, args.logs, args.gateways)
        failed += bool(breaches)
        print(f"seed {seed}: {summary}", flush=True)
        for text in breaches[:10]:
            print(f"  {text}", flush=True)
    print(f"{args.seeds - failed} seeds held, {failed} did not")
    return 1 if failed else 0


def play(
    seed: int,
    seconds: float,
    logs: pathlib.Path | None = None,
    gateways: int = GATEWAYS,
) -> tuple[list[str], str]:
    """Plays one seed; returns what was broken and a summary."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs / str(seed) if logs else pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_play(World(seed, folder, gateways), seconds))


async def _play(world: World, seconds: float) -> tuple[list[str], str]:
    await world.start()
    callers = Callers(world)
    tasks = [asyncio.ensure_future(callers.watch_readiness())]
    try:
        await _wait_until_ready(world)
        tasks += [
            asyncio.ensure_future(callers.call_on()) for _ in range(CALLERS)
        ]
        await _disturb(world, seconds)
        await asyncio.sleep(SETTLE_S)
        calm_from_s = time.monotonic()
        await asyncio.sleep(CALM_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()
    breaches = find_breaches(world, callers.sent, calm_from_s)
    whole = sum(
        s.reply is not None and s.reply.status == 200 for s in callers.sent
    )
    names = [name for name, _, _ in world.disturbances]
    return breaches, (
        f"{len(callers.sent)} requests, {whole} answered,"
        f" {len(names)} troubles, {len(breaches)} breaches"
    )


async def _wait_until_ready(world: World) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        for gateway in world.gateways:
            while not await gateway.is_ready():
                await asyncio.sleep(0.1)


async def _disturb(world: World, seconds: float) -> None:
    """Starts troubles one after the other; they overlap."""
    end_s = time.monotonic() + seconds
    running = []
    while time.monotonic() < end_s:
        trouble = world.rng.choice(TROUBLES)
        running.append(asyncio.ensure_future(_apply(world, trouble)))
        await asyncio.sleep(world.rng.uniform(0.1, 1.2))
    await asyncio.gather(*running)


async def _apply(world: World, trouble: Trouble) -> None:
    began_s = time.monotonic()
    await trouble(world)
    span = (trouble.__name__, began_s, time.monotonic())
    world.disturbances.append(span)

"""Runs gateways under random faults and checks that guarantees hold."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import tempfile
import time
from collections.abc import Sequence

from lab.soak.checks import find_breaches
from lab.soak.deployment import GATEWAYS, WORKERS
from lab.soak.skew_checks import get_skew_results
from lab.soak.stalls import record_stalls
from lab.soak.traffic import BRIEF, LASTING, PATIENT, Callers
from lab.soak.troubles import ALL_FAULTS, FAULTS, Fault
from lab.soak.world import SoakEnvironment

CALLERS = (*[BRIEF] * 4, *[LASTING] * 4, *[PATIENT] * 6)
"""Habits of the callers."""
CALM_S = 2.0
"""Seconds without faults at first, with which later ones are compared."""
FAULT_SETTLE_S = 4.0
"""Seconds from the end of the last fault until recovery is checked.

The after-effects of the faults have to end before the recovery period starts.
"""
RECOVERY_S = 2.0
MAX_PRINTED = 20
"""Number of broken guarantees that are printed for one seed."""
START_TIMEOUT_S = 15.0
GATEWAY_START_TIMEOUT_S = 1.0
"""Seconds that each gateway adds to the time for the start of all of them."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of the soak command to a parser."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds to run"
    )
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument(
        "--faults",
        type=parse_faults,
        default=ALL_FAULTS,
        help="names of the faults to choose from, separated by commas",
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, help="folder to keep the gateways' logs in"
    )


def parse_faults(text: str) -> tuple[Fault, ...]:
    """Returns the faults with the given names.

    Raises:
        argparse.ArgumentTypeError: There is no fault of one of the names.
    """
    by_name = {fault.__name__: fault for fault in ALL_FAULTS}
    names = text.split(",")
    if unknown := [name for name in names if name not in by_name]:
        known = ", ".join(sorted(by_name))
        raise argparse.ArgumentTypeError(f"no fault {unknown}; known: {known}")
    return tuple(by_name[name] for name in names)


def run(args: argparse.Namespace) -> int:
    """Runs all seeds; returns exit status 1 if a guarantee was broken."""
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        breaches, summary = run_seed(
            seed,
            args.seconds,
            args.logs,
            args.gateways,
            args.faults,
            args.workers,
        )
        failed += bool(breaches)
        print(f"seed {seed}: {summary}", flush=True)
        for text in breaches[:MAX_PRINTED]:
            print(f"  {text}", flush=True)
    print(f"{args.seeds - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


def run_seed(
    seed: int,
    seconds: float,
    logs: pathlib.Path | None = None,
    gateways: int = GATEWAYS,
    faults: Sequence[Fault] = FAULTS,
    workers: int = WORKERS,
) -> tuple[list[str], str]:
    """Runs one seed.

    Args:
        seed: Seed of all random choices.
        seconds: Duration in seconds of the fault injection.
        logs: Folder for the gateways' settings and logs, in one subfolder
            for each seed. None uses a temporary folder.
        gateways: Number of gateway processes.
        faults: Faults to choose from.
        workers: Number of workers at the start.

    Returns:
        Descriptions of the broken guarantees, and a summary of the run.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs / str(seed) if logs else pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        environment = SoakEnvironment(seed, folder, gateways, workers)
        return asyncio.run(_run_seed(environment, seconds, faults))


async def _run_seed(
    environment: SoakEnvironment, seconds: float, faults: Sequence[Fault]
) -> tuple[list[str], str]:
    await environment.start()
    callers = Callers(environment)
    tasks = [
        asyncio.ensure_future(callers.poll_readiness()),
        asyncio.ensure_future(record_stalls(environment.stalls)),
        asyncio.ensure_future(environment.send_heartbeats()),
    ]
    try:
        await _wait_until_ready(environment)
        tasks += [
            asyncio.ensure_future(callers.send_requests(habits))
            for habits in CALLERS
        ]
        await asyncio.sleep(CALM_S)
        await _inject_faults(environment, seconds, faults)
        await asyncio.sleep(FAULT_SETTLE_S)
        recovery_from_s = time.monotonic()
        await asyncio.sleep(RECOVERY_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await environment.stop()
    breaches = find_breaches(environment, callers.sent, recovery_from_s)
    answered = sum(
        s.reply is not None and s.reply.status == 200 for s in callers.sent
    )
    skews = [
        f"; {result}" for result in get_skew_results(environment, callers.sent)
    ]
    stalls = [
        f"{stall.ended_s - stall.begun_s:.2f} ({stall.cpu_s:.2f})"
        for stall in environment.stalls
    ]
    return breaches, (
        f"{len(callers.sent)} requests, {answered} answered,"
        f" {len(environment.injected_faults)} faults,"
        f" own stalls in seconds (of CPU time): {', '.join(stalls) or 'none'},"
        f" {len(breaches)} broken guarantees{''.join(skews)}"
    )


async def _wait_until_ready(environment: SoakEnvironment) -> None:
    gateways = environment.gateways
    added_s = GATEWAY_START_TIMEOUT_S * len(gateways)
    async with asyncio.timeout(START_TIMEOUT_S + added_s):
        for gateway in gateways:
            while not await gateway.is_ready():
                await asyncio.sleep(0.1)


async def _inject_faults(
    environment: SoakEnvironment, seconds: float, faults: Sequence[Fault]
) -> None:
    """Starts faults at random intervals; their durations may overlap."""
    end_s = time.monotonic() + seconds
    running = []
    while time.monotonic() < end_s:
        fault = environment.rng.choice(faults)
        running.append(asyncio.ensure_future(_inject_fault(environment, fault)))
        await asyncio.sleep(environment.rng.uniform(0.1, 1.2))
    await asyncio.gather(*running)


async def _inject_fault(environment: SoakEnvironment, fault: Fault) -> None:
    began_s = time.monotonic()
    await fault(environment)
    span = (fault.__name__, began_s, time.monotonic())
    environment.injected_faults.append(span)

"""Plays a day against real gateways, and looks for lost requests."""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import pathlib
import random
import sys
import tempfile
from collections.abc import Iterator

from lab.day.callers import Balancer, Callers
from lab.day.deployment import GATEWAYS
from lab.day.fleet import DayFleet
from lab.day.losses import Loss, count_broken, find_losses
from lab.day.plan import Day, DayError, read_day
from lab.day.records import Attempt, DayRecord, Outcome
from lab.day.recovery import find_starved, summarize_skews
from lab.day.throttle import throttle
from lab.day.troubles import Troubles
from lab.soak.stalls import Stall, record_stalls

MAX_PRINTED = 12


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of the command to a parser."""
    parser.add_argument("day", type=pathlib.Path, help="file with the day")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument(
        "--rate", type=float, default=1.0, help="times the usual traffic"
    )
    parser.add_argument(
        "--processor-share",
        type=float,
        default=1.0,
        help="share of the time in which a gateway's process runs",
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, help="folder to keep the gateways' logs in"
    )


def run(args: argparse.Namespace) -> int:
    """Plays all seeds; returns 1 if requests were lost, 2 for a bad day."""
    try:
        day = read_day(args.day)
    except DayError as error:
        print(error, file=sys.stderr)
        return 2
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        with _open_folder(args.logs, seed) as folder:
            record, stalls = asyncio.run(
                play(
                    day,
                    seed,
                    folder,
                    args.gateways,
                    args.rate,
                    args.processor_share,
                )
            )
        losses = find_losses(record)
        starved = find_starved(record)
        broken = count_broken(record, losses) + len(starved)
        failed += broken > 0
        print(f"seed {seed}: {summarize(record, losses, broken, stalls)}")
        for text in summarize_skews(record):
            print(f"  {text}")
        for loss in losses[:MAX_PRINTED]:
            print(f"  {loss}", flush=True)
        for attempt in find_abandoned(record)[:MAX_PRINTED]:
            print(f"  abandoned: {attempt}", flush=True)
    print(f"{args.seeds - failed} seeds held, {failed} broke")
    return 1 if failed else 0


async def play(
    day: Day,
    seed: int,
    folder: pathlib.Path,
    gateways: int,
    rate: float,
    processor_share: float = 1.0,
) -> tuple[DayRecord, list[Stall]]:
    """Plays a day.

    Args:
        day: The day.
        seed: Seed of all random choices.
        folder: Folder for the gateways' settings and logs.
        gateways: Number of gateways.
        rate: Times the usual traffic.
        processor_share: Share of the time in which a gateway's process runs.

    Returns:
        What was seen, and the times in which this process stood still.
    """
    rng = random.Random(seed)
    record = DayRecord()
    stalls: list[Stall] = []
    fleet = DayFleet(folder, rng, record, gateways)
    tasks = [asyncio.ensure_future(record_stalls(stalls))]
    try:
        await fleet.start()
        balancer = Balancer(fleet.gateways)
        troubles = Troubles(fleet, balancer, record, rng)
        tasks.append(asyncio.ensure_future(balancer.probe()))
        if processor_share < 1.0:
            tasks += [
                asyncio.ensure_future(throttle(gateway, processor_share))
                for gateway in fleet.gateways
            ]
        tasks += [
            asyncio.ensure_future(troubles.play(trouble))
            for trouble in day.troubles
        ]
        callers = Callers(balancer, record, rng, rate)
        await callers.send_requests(day.length_s)
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()
    for result in results:
        if isinstance(result, Exception):
            raise result
    return record, stalls


def find_abandoned(record: DayRecord) -> list[Attempt]:
    """Returns the attempts whose callers have left without an answer."""
    return [a for a in record.attempts if a.outcome is Outcome.ABANDONED]


def summarize(
    record: DayRecord, losses: list[Loss], broken: int, stalls: list[Stall]
) -> str:
    """Returns a line that says how a day went."""
    outcomes = collections.Counter(
        f"{attempt.outcome.value} {attempt.status or ''}".strip()
        for attempt in record.attempts
    )
    causes = collections.Counter(loss.cause.value for loss in losses)
    stalled_s = sum(stall.ended_s - stall.begun_s for stall in stalls)
    return (
        f"LOST {broken}, cut without excuse {dict(causes)},"
        f" attempts {dict(outcomes.most_common())},"
        f" roll-outs {record.outcomes}, own stalls {stalled_s:.1f} s"
    )


@contextlib.contextmanager
def _open_folder(
    logs: pathlib.Path | None, seed: int
) -> Iterator[pathlib.Path]:
    """Opens a folder for a seed; a temporary one without `logs`."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs / str(seed) if logs else pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        yield folder

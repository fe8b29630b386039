"""Demonstrates each feature of the product on fleets of real processes."""

from __future__ import annotations

import argparse
import concurrent.futures
import pathlib
import sys
import time

import openai

from lab.clients import CommandError
from lab.clients import make_client as make_client
from lab.demo_environment import DemoEnvironment, Row
from lab.demo_operations import OPERATION_ROWS
from lab.demo_requests import REQUEST_ROWS
from lab.fleet import Fleet
from lab.shapes import SHAPES

ROW = "{:<30} {:<6} {:>6} ms  {}"
ENVIRONMENTS = {
    "lahore": ("audit", "policy-draft"),
    "tasmania": ("buyers", "gift-wrap"),
}
"""Maps each fleet to its calling workspace and a class without retries."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds `--binary` and `--fleet`."""
    parser.add_argument(
        "--binary",
        type=pathlib.Path,
        help="run the daemons from this file instead of the source",
    )
    parser.add_argument(
        "--fleet", choices=sorted(ENVIRONMENTS), help="only this one"
    )


def run(args: argparse.Namespace) -> int:
    """Runs all rows on each fleet; returns 0 only if every row passed."""
    names = [args.fleet] if args.fleet else list(ENVIRONMENTS)
    with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
        runs = [pool.submit(_run_fleet, name, args.binary) for name in names]
        failures = sum(run.result() for run in runs)
    print("all rows held" if not failures else f"{failures} rows failed")
    return 1 if failures else 0


def _run_fleet(name: str, binary: pathlib.Path | None) -> int:
    shape = SHAPES[name]
    start_s = time.monotonic()
    options = {"billing_interval_s": 1.0}
    with Fleet(shape, binary=binary, entry_options=options) as fleet:
        elapsed_s = time.monotonic() - start_s
        _print_line(
            name,
            f"{shape.entries} entries, {shape.engines} engines,"
            f" {shape.plains} plain services in {len(shape.zones)} zones,"
            f" started in {elapsed_s:.1f} s",
        )
        environment = DemoEnvironment(fleet, *ENVIRONMENTS[name])
        rows = (*REQUEST_ROWS, *OPERATION_ROWS)
        return sum(not _run_row(name, row, environment) for row in rows)


def _run_row(fleet: str, row: Row, environment: DemoEnvironment) -> bool:
    start_s = time.monotonic()
    try:
        summary, has_passed = row.check(environment), True
    except (
        AssertionError,
        CommandError,
        openai.OpenAIError,
        OSError,
    ) as error:
        summary, has_passed = f"{type(error).__name__}: {error}", False
    elapsed_ms = round((time.monotonic() - start_s) * 1000)
    status = "held" if has_passed else "FAILED"
    _print_line(fleet, ROW.format(row.name, status, elapsed_ms, summary))
    return has_passed


def _print_line(fleet: str, text: str) -> None:
    # Each line is a single write, since both fleets print concurrently and
    # their output would mix within a line.
    sys.stdout.write(f"{fleet:<10} {text}\n")
    sys.stdout.flush()

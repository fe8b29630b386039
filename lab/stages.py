"""Reports the times of requests by stage and route from gateway logs."""

from __future__ import annotations

import argparse
import dataclasses
import sys
from collections.abc import Iterable

import tabulate

from lovagestage.exceptions import LogFileError
from lovagestage.operations.explain import read_logs
from lovagestage.telemetry.loglines import LogLine

EVENT = "request_ended"
STAGES = ("begun_s", "connect_s", "head_s", "first_s", "time_s")
"""Log fields with the times of a request, in seconds.

In this order they measure: from the request's head to the first attempt; until
a connection is open; from sending the request to the head of the answer; from
the request's head to the first event of the stream; and from the request's
head to the end.
"""
QUANTILES = (0.5, 0.99)


@dataclasses.dataclass
class RouteTimes:
    """Times of the answered requests of one route, and counts of all requests.

    Attributes:
        times_s: Times of answered requests in seconds, by stage.
        attempts: Number of attempts of all requests.
        requests: Number of requests, answered or not.
    """

    times_s: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    attempts: int = 0
    requests: int = 0


def collect_times(lines: Iterable[LogLine]) -> dict[str, RouteTimes]:
    """Collects times and counts of the requests in log lines, by route."""
    routes: dict[str, RouteTimes] = {}
    for line in lines:
        if line.event != EVENT:
            continue
        times = routes.setdefault(line.get("route"), RouteTimes())
        times.requests += 1
        upstreams = line.get("upstreams")
        times.attempts += len(upstreams.split(",")) if upstreams else 0
        if line.get("outcome") != "answered":
            continue
        for stage in STAGES:
            if stage in line.fields:
                times_s = times.times_s.setdefault(stage, [])
                times_s.append(float(line.get(stage)))
    return routes


def get_quantile(values: list[float], quantile: float) -> float:
    """Returns the value that the given share of the values lies below."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(quantile * len(ranked)))]


def format_table(routes: dict[str, RouteTimes]) -> str:
    """Formats a table with a row for each route, most requests first."""
    rows = []
    for route, times in sorted(
        routes.items(), key=lambda item: -item[1].requests
    ):
        ratio = times.attempts / times.requests
        row: list[str | int] = [route, times.requests, f"{ratio:.2f}"]
        for stage in STAGES:
            values = times.times_s.get(stage)
            row.append(
                " / ".join(
                    f"{1000 * get_quantile(values, q):.1f}" for q in QUANTILES
                )
                if values
                else ""
            )
        rows.append(row)
    headers = ("route", "requests", "attempts", *STAGES)
    table: str = tabulate.tabulate(rows, headers, tablefmt="github")
    return table


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the argument for the log files."""
    parser.add_argument("logs", nargs="+", metavar="LOG", help="log files")


def run(arguments: argparse.Namespace) -> int:
    """Prints the table with times in milliseconds at p50 / p99.

    Returns:
        0 on success, 1 if the logs report no request, 2 if a log file cannot
        be read.
    """
    try:
        routes = collect_times(read_logs(arguments.logs))
    except LogFileError as error:
        print(error.message, file=sys.stderr)
        return 2
    if not routes:
        print("No log line reports the end of a request.", file=sys.stderr)
        return 1
    print(format_table(routes))
    return 0

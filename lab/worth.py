"""Breaks down by cause the worth that simulated days lost, from reports."""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import tabulate

LATE_RATIO = 0.3
"""Share of its worth that a late answer earns, about equal for all kinds."""
MIN_LISTED_PRICE = 0.0005
"""Prices below this share of a day's worth are summed in one row."""
WORST_WINDOWS = 2
"""Number of windows with the least worth that are shown for each day."""


class ReportError(Exception):
    """A file is not the report of a simulated day."""


@dataclasses.dataclass(frozen=True)
class Loss:
    """A part of the worth that a day lost.

    Attributes:
        cause: Cause of the loss.
        worth: Lost share of the day's maximum worth of 1.
    """

    cause: str
    worth: float


@dataclasses.dataclass(frozen=True)
class KindLoss:
    """Losses of one kind of request, as shares of its maximum worth.

    Attributes:
        name: Name of the kind.
        owed: Number of requests that were owed an answer.
        failed: Share lost to requests without an answer.
        late: Share lost to late answers.
        poor: Remaining share, lost to answers of insufficient quality.
    """

    name: str
    owed: int
    failed: float
    late: float
    poor: float


@dataclasses.dataclass(frozen=True)
class Day:
    """Result of a simulated day.

    Attributes:
        name: File name of the day's report, without its extension.
        worth: Earned share of the maximum worth of 1.
        losses: Lost shares, by part of the measure and by price; together with
            the worth they add up to 1.
        kinds: Losses by kind of request.
        worst: Time windows with the least worth, each as second and worth.
        unserved: Number of requests without an answer, by outcome.
    """

    name: str
    worth: float
    losses: Sequence[Loss]
    kinds: Sequence[KindLoss]
    worst: Sequence[tuple[str, float]]
    unserved: Sequence[tuple[str, int]]


def read_day(path: pathlib.Path) -> Day:
    """Reads the report of a day.

    Raises:
        ReportError: The file cannot be read or is not a day's report.
    """
    try:
        report = json.loads(path.read_text(encoding="utf-8"))
        return _decode_day(path.stem, report)
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ReportError(f"{path}: not a day's report: {error!r}.") from error


def _decode_day(name: str, report: dict[str, Any]) -> Day:
    parts = [
        Loss(part, weight * (1.0 - value))
        for part, weight, value in report["parts"]
    ]
    prices = [Loss(price, cost) for price, _, cost in report["prices"]]
    large_prices = [
        price for price in prices if price.worth >= MIN_LISTED_PRICE
    ]
    small_prices = sum(
        price.worth for price in prices if price.worth < MIN_LISTED_PRICE
    )
    losses = [*parts, *large_prices, Loss("other prices", small_prices)]
    windows = sorted((w["worth"], w["name"]) for w in report["windows"])
    return Day(
        name,
        1.0 - sum(loss.worth for loss in losses),
        losses,
        [_decode_kind(fields) for fields in report["classes"]],
        [(second, worth) for worth, second in windows[:WORST_WINDOWS]],
        [(cause, count) for cause, count, _ in report["unserved_by"]],
    )


def _decode_kind(fields: dict[str, Any]) -> KindLoss:
    owed = fields["n"] - fields["not_owed"]
    failed = (fields["failed"] + fields["refused"]) / max(1, owed)
    late = (1.0 - LATE_RATIO) * fields["late"] / max(1, owed)
    poor = 1.0 - fields["worth"] - failed - late
    return KindLoss(fields["name"], owed, failed, late, poor)


def format_days(days: Iterable[Day]) -> str:
    """Formats the results of days as Markdown tables."""
    days = list(days)
    causes: dict[str, None] = {}
    for day in days:
        causes.update(dict.fromkeys(loss.cause for loss in day.losses))
    losses_by_day = [
        {loss.cause: loss.worth for loss in day.losses} for day in days
    ]
    rows: list[list[object]] = [["worth", *(day.worth for day in days)]]
    rows += [[c, *(each.get(c, 0.0) for each in losses_by_day)] for c in causes]
    kinds = [
        [day.name, kind.name, kind.owed, kind.failed, kind.late, kind.poor]
        for day in days
        for kind in day.kinds
    ]
    window_rows = [
        [
            day.name,
            ", ".join(
                f"{second} s: {worth:.2f}" for second, worth in day.worst
            ),
            ", ".join(f"{cause}: {count}" for cause, count in day.unserved),
        ]
        for day in days
    ]
    return "\n\n".join(
        (
            _format_table(["lost to", *(day.name for day in days)], rows),
            _format_table(
                ["day", "kind", "owed", "failed", "late", "too poor"], kinds
            ),
            _format_table(["day", "worst windows", "not served"], window_rows),
        )
    )


def _format_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    text: str = tabulate.tabulate(rows, head, tablefmt="github", floatfmt=".3f")
    return text


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("report", nargs="+", type=pathlib.Path)


def run(args: argparse.Namespace) -> int:
    try:
        print(format_days(read_day(path) for path in args.report))
    except ReportError as error:
        print(error, file=sys.stderr)
        return 1
    return 0

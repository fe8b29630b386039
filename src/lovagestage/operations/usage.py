"""The `usage` command: sums the billing stream."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import datetime
import json
import pathlib
import zlib
from typing import TYPE_CHECKING

from lovagestage.decisions.billing import (
    BILLING_STREAM,
    Bill,
    BillOutcome,
    decode_batch,
)
from lovagestage.exceptions import (
    EXIT_INVALID,
    BelowHorizonError,
    CodecError,
)
from lovagestage.types import Offset

if TYPE_CHECKING:
    from lovagestage.adapters.http_log import HttpLog

READ_LIMIT = 500


@dataclasses.dataclass(frozen=True, order=True)
class UsageKey:
    """What usage is summed by; `day` is a UTC date, YYYY-MM-DD."""

    day: str
    workspace: str
    version: str


@dataclasses.dataclass
class UsageSum:
    """Usage of one key."""

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Filter:
    """Which bills are summed; None stands for all."""

    workspace: str | None = None
    day: str | None = None


@dataclasses.dataclass
class Totals:
    """What one reading of the stream gave.

    Attributes:
        sums: Usage by key.
        duplicates: Bills left out because their request was counted.
        undecodable: Records that are no batch of bills.
        expired: Records of the stream that the log no longer has.
    """

    sums: dict[UsageKey, UsageSum] = dataclasses.field(default_factory=dict)
    duplicates: int = 0
    undecodable: int = 0
    expired: int = 0


class UsageCounter:
    """Sums bills, each request once.

    It remembers the ids of one share of the requests at a time: `passes`
    readings of the stream bound memory to a share of the ids and stay exact.

    Args:
        wanted: Which bills are summed.
        passes: Number of shares.
        totals: Where sums go, over all shares.
    """

    def __init__(self, wanted: Filter, passes: int, totals: Totals) -> None:
        self._wanted = wanted
        self._passes = passes
        self._totals = totals
        self._share = 0
        self._finished: set[str] = set()
        self._cancelled: dict[str, Bill] = {}

    def start_pass(self, share: int) -> None:
        """Goes on with another share of the requests, from 0."""
        self._share = share
        self._finished = set()
        self._cancelled = {}

    def add(self, data: bytes) -> None:
        """Counts the bills of a record that are of the present share."""
        try:
            bills = decode_batch(data)
        except CodecError:
            self._totals.undecodable += self._share == 0
            return
        for bill in bills:
            if self._is_wanted(bill):
                self._count(bill)

    def _is_wanted(self, bill: Bill) -> bool:
        if self._passes > 1:
            digest = zlib.crc32(bill.request_id.encode())
            if digest % self._passes != self._share:
                return False
        return self._wanted.workspace in (None, bill.workspace)

    def _count(self, bill: Bill) -> None:
        # A caller leaves and is billed for what it had; its retry with the
        # same key gets the whole answer, billed under the same id, perhaps on
        # another day and from another entry, so in either order. The whole
        # answer is what the request cost.
        name = bill.request_id
        earlier = self._cancelled.get(name)
        if name in self._finished:
            self._totals.duplicates += 1
            return
        if earlier is not None:
            self._totals.duplicates += 1
            if _get_rank(bill) <= _get_rank(earlier):
                return
            self._add(earlier, -1)
            del self._cancelled[name]
        if bill.outcome is BillOutcome.FINISHED:
            self._finished.add(name)
        else:
            self._cancelled[name] = bill
        self._add(bill, 1)

    def _add(self, bill: Bill, sign: int) -> None:
        day = get_day(bill.at_s)
        if self._wanted.day not in (None, day):
            return
        key = UsageKey(day, bill.workspace, bill.version)
        total = self._totals.sums.setdefault(key, UsageSum())
        total.requests += sign
        total.prompt_tokens += sign * bill.prompt_tokens
        total.completion_tokens += sign * bill.completion_tokens
        if total.requests == 0:
            del self._totals.sums[key]


def _get_rank(bill: Bill) -> tuple[bool, int, int]:
    is_finished = bill.outcome is BillOutcome.FINISHED
    return is_finished, bill.completion_tokens, -bill.at_s


def get_day(at_s: int) -> str:
    """UTC date of a Unix time, YYYY-MM-DD."""
    at = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return at.date().isoformat()


def add_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `usage` to the command line."""
    text = "sum what workspaces used, by day and version"
    command = commands.add_parser("usage", help=text, description=text)
    source = command.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", type=pathlib.Path, metavar="FILE")
    source.add_argument("--log", metavar="URL", help="URL of the log")
    command.add_argument("--workspace")
    command.add_argument("--day", metavar="YYYY-MM-DD", help="UTC day")
    command.add_argument(
        "--passes",
        type=int,
        default=1,
        help="readings of the stream; more of them take less memory",
    )
    command.add_argument("--json", action="store_true")
    command.set_defaults(run=_run)


def _run(options: argparse.Namespace) -> int:
    url = options.log or _get_log_url(options.settings)
    wanted = Filter(options.workspace, options.day)
    totals = asyncio.run(_read(url, wanted, max(options.passes, 1)))
    print(format_json(totals) if options.json else format_table(totals))
    return EXIT_INVALID if totals.undecodable else 0


def _get_log_url(path: pathlib.Path) -> str:
    from lovagestage.settings import get_settings

    return get_settings(path).platform.log_url


async def _read(url: str, wanted: Filter, passes: int) -> Totals:
    import aiohttp

    from lovagestage.adapters.http_log import HttpLog

    totals = Totals()
    counter = UsageCounter(wanted, passes, totals)
    async with aiohttp.ClientSession() as session:
        log = HttpLog(session, url)
        end = None
        for share in range(passes):
            counter.start_pass(share)
            end = await _read_once(log, counter, totals, end)
    return totals


async def _read_once(
    log: HttpLog, counter: UsageCounter, totals: Totals, end: Offset | None
) -> Offset:
    offset = Offset(0)
    while True:
        try:
            page = await log.read(BILLING_STREAM, offset, READ_LIMIT, 0.0)
        except BelowHorizonError as error:
            totals.expired = error.first_offset
            offset = Offset(error.first_offset)
            continue
        end = page.next_offset if end is None else end
        for offset, data in page.records:
            if offset < end:
                counter.add(data)
        offset = Offset(offset + 1) if page.records else end
        if offset >= end:
            return end


def format_json(totals: Totals) -> str:
    """Formats the sums as one JSON object."""
    rows = [
        dataclasses.asdict(key) | dataclasses.asdict(total)
        for key, total in sorted(totals.sums.items())
    ]
    return json.dumps(
        {
            "sums": rows,
            "duplicates": totals.duplicates,
            "undecodable": totals.undecodable,
            "expired": totals.expired,
        }
    )


def format_table(totals: Totals) -> str:
    """Formats the sums for a terminal."""
    layout = "{:<10} {:<24} {:<16} {:>9} {:>12} {:>12}"
    lines = [
        layout.format(
            "day", "workspace", "version", "requests", "prompt", "completion"
        )
    ]
    for key, total in sorted(totals.sums.items()):
        lines.append(
            layout.format(
                *dataclasses.astuple(key), *dataclasses.astuple(total)
            )
        )
    for name in ("duplicates", "undecodable", "expired"):
        lines.append(f"{name}: {getattr(totals, name)}")
    return "\n".join(lines)

"""The `usage` command: sums the bills of the billing stream."""

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
    CodecError,
    RecordsExpiredError,
)
from lovagestage.types import Offset

if TYPE_CHECKING:
    from lovagestage.adapters.http_log import HttpLog

RECORDS_PER_READ = 500


@dataclasses.dataclass(frozen=True, order=True)
class UsageKey:
    """Key by which usage is summed.

    Attributes:
        day: UTC date of the bills, YYYY-MM-DD.
        workspace: Workspace that is billed.
        version: Model version that ran the requests.
    """

    day: str
    workspace: str
    version: str


@dataclasses.dataclass
class UsageSum:
    """Summed usage of one key: requests and their tokens."""

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class BillFilter:
    """Selects the bills that are summed.

    Attributes:
        workspace: Workspace of the bills; None for all workspaces.
        day: UTC date of the bills, YYYY-MM-DD; None for all days.
    """

    workspace: str | None = None
    day: str | None = None


@dataclasses.dataclass
class UsageTotals:
    """Result of reading the billing stream.

    Attributes:
        sums: Usage by key.
        duplicates: Number of bills whose request had already been counted;
            only one bill of a request is summed.
        undecodable: Number of records that are not a batch of bills.
        expired: Number of records of the stream that the log no longer has.
    """

    sums: dict[UsageKey, UsageSum] = dataclasses.field(default_factory=dict)
    duplicates: int = 0
    undecodable: int = 0
    expired: int = 0


class UsageCounter:
    """Sums bills and counts each request once.

    The counter holds the request ids of one share of the requests at a time.
    The stream is read `passes` times, once for each share, so that memory is
    limited to the ids of a share and the sums stay exact.

    Args:
        bill_filter: Selects the bills that are summed.
        passes: Number of shares, and of passes over the stream.
        totals: Object to which the sums of all shares are added.
    """

    def __init__(
        self, bill_filter: BillFilter, passes: int, totals: UsageTotals
    ) -> None:
        self._bill_filter = bill_filter
        self._passes = passes
        self._totals = totals
        self._share = 0
        self._finished: set[str] = set()
        self._cancelled: dict[str, Bill] = {}

    def start_pass(self, share: int) -> None:
        """Starts a pass over the stream for one share of the requests.

        Args:
            share: Index of the share, from 0.
        """
        self._share = share
        self._finished = set()
        self._cancelled = {}

    def add_batch(self, data: bytes) -> None:
        """Adds the bills of a record that belong to the current share.

        Args:
            data: Record of the billing stream, an encoded batch of bills.
        """
        try:
            bills = decode_batch(data)
        except CodecError:
            self._totals.undecodable += self._share == 0
            return
        for bill in bills:
            if self._is_selected(bill):
                self._count_bill(bill)

    def _is_selected(self, bill: Bill) -> bool:
        if self._passes > 1:
            digest = zlib.crc32(bill.request_id.encode())
            if digest % self._passes != self._share:
                return False
        return self._bill_filter.workspace in (None, bill.workspace)

    def _count_bill(self, bill: Bill) -> None:
        # The request of a caller that disconnects is billed for the tokens
        # that had reached the entry. A retry with the same idempotency key
        # gets the complete answer, which is billed under the same request id,
        # perhaps on another day and by another entry, so the two bills arrive
        # in either order. The bill of the complete answer is the cost of
        # the request.
        name = bill.request_id
        earlier = self._cancelled.get(name)
        if name in self._finished:
            self._totals.duplicates += 1
            return
        if earlier is not None:
            self._totals.duplicates += 1
            if _get_bill_rank(bill) <= _get_bill_rank(earlier):
                return
            self._add_usage(earlier, -1)
            del self._cancelled[name]
        if bill.outcome is BillOutcome.FINISHED:
            self._finished.add(name)
        else:
            self._cancelled[name] = bill
        self._add_usage(bill, 1)

    def _add_usage(self, bill: Bill, sign: int) -> None:
        day = get_utc_date(bill.at_s)
        if self._bill_filter.day not in (None, day):
            return
        key = UsageKey(day, bill.workspace, bill.version)
        total = self._totals.sums.setdefault(key, UsageSum())
        total.requests += sign
        total.prompt_tokens += sign * bill.prompt_tokens
        total.completion_tokens += sign * bill.completion_tokens
        if total.requests == 0:
            del self._totals.sums[key]


def _get_bill_rank(bill: Bill) -> tuple[bool, int, int]:
    is_finished = bill.outcome is BillOutcome.FINISHED
    return is_finished, bill.completion_tokens, -bill.at_s


def get_utc_date(at_s: int) -> str:
    """Formats a Unix time in seconds as its UTC date, YYYY-MM-DD."""
    at = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return at.date().isoformat()


def add_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `usage` to the command line."""
    description = "sum the usage of workspaces by day and version"
    command = commands.add_parser(
        "usage", help=description, description=description
    )
    source = command.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", type=pathlib.Path, metavar="FILE")
    source.add_argument("--log", metavar="URL", help="URL of the log service")
    command.add_argument("--workspace")
    command.add_argument(
        "--day", metavar="YYYY-MM-DD", help="only this UTC day"
    )
    command.add_argument(
        "--passes",
        type=int,
        default=1,
        help="number of passes over the stream; more passes use less memory",
    )
    command.add_argument("--json", action="store_true")
    command.set_defaults(run=_run_usage)


def _run_usage(options: argparse.Namespace) -> int:
    url = options.log or _get_log_url(options.settings)
    bill_filter = BillFilter(options.workspace, options.day)
    totals = asyncio.run(_sum_stream(url, bill_filter, max(options.passes, 1)))
    print(format_json(totals) if options.json else format_table(totals))
    return EXIT_INVALID if totals.undecodable else 0


def _get_log_url(path: pathlib.Path) -> str:
    from lovagestage.settings import read_settings

    return read_settings(path).platform.log_url


async def _sum_stream(
    url: str, bill_filter: BillFilter, passes: int
) -> UsageTotals:
    import aiohttp

    from lovagestage.adapters.http_log import HttpLog

    totals = UsageTotals()
    counter = UsageCounter(bill_filter, passes, totals)
    async with aiohttp.ClientSession() as session:
        log = HttpLog(session, url)
        end = None
        for share in range(passes):
            counter.start_pass(share)
            end = await _read_pass(log, counter, totals, end)
    return totals


async def _read_pass(
    log: HttpLog, counter: UsageCounter, totals: UsageTotals, end: Offset | None
) -> Offset:
    offset = Offset(0)
    while True:
        try:
            page = await log.read(BILLING_STREAM, offset, RECORDS_PER_READ, 0.0)
        except RecordsExpiredError as error:
            totals.expired = error.first_offset
            offset = Offset(error.first_offset)
            continue
        end = page.next_offset if end is None else end
        for offset, data in page.records:
            if offset < end:
                counter.add_batch(data)
        offset = Offset(offset + 1) if page.records else end
        if offset >= end:
            return end


def format_json(totals: UsageTotals) -> str:
    """Formats the totals as one JSON object."""
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


def format_table(totals: UsageTotals) -> str:
    """Formats the totals as a table for a terminal."""
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

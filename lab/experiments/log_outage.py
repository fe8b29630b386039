"""Checks the configuration over log outages, short and beyond retention.

One minute is compressed into `MINUTE_S`. In each scenario, one process is cut
off from the log before the last changes, the log becomes unavailable, and
another process is replaced. Then the log recovers, answers get lost, and more
changes are made before the first process reaches the log again. The baseline
relies on its local copy: if the records it needs have expired, it continues
with the oldest record left, and a replaced process takes the copy of the first
peer that answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp

from lab.experiments import Result
from lab.experiments.config import make_document
from lab.log import LogService
from lab.server import start_app
from lovagestage.adapters.http_log import HttpLog
from lovagestage.adapters.protocols import Log, LogPage
from lovagestage.control.peerstate import choose_newest_state
from lovagestage.control.reader import ControlReader
from lovagestage.control.snapshotting import SnapshotStream
from lovagestage.control.writer import ControlWriter
from lovagestage.exceptions import LogUnavailableError, RecordsExpiredError
from lovagestage.messages.envelope import StateAnswer
from lovagestage.state.fold import Outcome
from lovagestage.state.records import (
    CONTROL_STREAM,
    SNAPSHOT_STREAM,
    DocumentChange,
    decode_record,
)
from lovagestage.state.snapshots import make_chunks
from lovagestage.types import ChangeId, FencingNumber, Offset, ServiceId

HOST = "127.0.0.1"
MINUTE_S = 0.6
RETAIN_RECORDS = 30
SERVICES = 4
INITIAL_CHANGES = 20
MISSED_CHANGES = 5
WAIT_S = 10.0
GOAL_S = 8.0
POLL_S = 0.01


@dataclasses.dataclass
class _Outage:
    """Parameters of one outage of the log.

    Attributes:
        name: Name of the outage in the figures.
        minutes: Duration of the outage in compressed minutes.
        changes: Number of changes made after the outage while the process is
            still cut off.
    """

    name: str
    minutes: float
    changes: int


OUTAGES = (
    _Outage("one_minute", 1.0, 5),
    _Outage("over_retention", 3.0, 2 * RETAIN_RECORDS),
)


class _NaiveReader:
    """Baseline reader that continues from its local copy after an outage.

    It does so even if the log no longer has the records it needs.

    Attributes:
        documents: Revision and document by service, as this reader knows them.
        next_offset: Offset of the next record to read.
    """

    def __init__(self, log: Log) -> None:
        self.documents: dict[ServiceId, tuple[int, bytes]] = {}
        self.next_offset = Offset(0)
        self._log = log

    async def read(self) -> None:
        """Reads the next records; expired records are skipped."""
        try:
            page = await self._log.read(
                CONTROL_STREAM, self.next_offset, 1000, 0.0
            )
        except RecordsExpiredError as error:
            self.next_offset = Offset(error.first_offset)
            return
        for offset, data in page.records:
            self.next_offset = Offset(offset + 1)
            record = decode_record(data)
            if isinstance(record, DocumentChange):
                self._apply(record)

    def _apply(self, change: DocumentChange) -> None:
        revision, _ = self.documents.get(change.service, (0, b""))
        if change.base == revision:
            self.documents[change.service] = (
                revision + 1,
                change.document,
            )


class _InterruptibleLog:
    """Log client of a process that can be cut off from the log.

    Attributes:
        is_cut_off: Whether all calls fail.
    """

    def __init__(self, log: Log) -> None:
        self.is_cut_off = False
        self._log = log

    async def append(self, stream: str, data: bytes) -> Offset:
        """See `Log.append`."""
        self._raise_if_cut_off()
        return await self._log.append(stream, data)

    async def read(
        self, stream: str, start: Offset, limit: int, wait_s: float
    ) -> LogPage:
        """See `Log.read`; short waits let a cut-off take effect soon."""
        self._raise_if_cut_off()
        page = await self._log.read(stream, start, limit, min(wait_s, 0.05))
        self._raise_if_cut_off()
        return page

    def _raise_if_cut_off(self) -> None:
        if self.is_cut_off:
            raise LogUnavailableError("The process is cut off from the log.")


@dataclasses.dataclass
class _Scenario:
    """The log and the processes of one outage.

    Attributes:
        service: Log service, with its fault settings.
        log: Log client that is never cut off.
        reference: Reader that is never cut off.
        writer: Appends the operators' changes.
        interruptible_log: Log client of `product`, which can be cut off.
        product: The product's reader, which can be cut off.
        baseline: The baseline's reader.
        change_count: Number of changes made so far.
    """

    service: LogService
    log: HttpLog
    reference: ControlReader
    writer: ControlWriter
    interruptible_log: _InterruptibleLog
    product: ControlReader
    baseline: _NaiveReader
    change_count: int = 0

    async def append_changes(self, count: int) -> None:
        """Appends changes, each based on the revision in force."""
        for _ in range(count):
            service = ServiceId(f"service-{self.change_count % SERVICES}")
            in_force = self.reference.folded.services.get(service)
            result = await self.writer.append(
                DocumentChange(
                    ChangeId(f"change-{self.change_count}"),
                    service,
                    in_force.revision if in_force else 0,
                    "experiment",
                    make_document(service, self.change_count),
                )
            )
            assert result.outcome is Outcome.ACCEPTED
            self.change_count += 1

    def count_product_stale(self, reader: ControlReader) -> int:
        """Counts the services of which `reader` has an outdated revision."""
        return sum(
            in_force.revision < self.reference.folded.services[name].revision
            for name, in_force in reader.services.items()
        )

    def count_baseline_stale(
        self, documents: dict[ServiceId, tuple[int, bytes]]
    ) -> int:
        """Counts the services without the document that was accepted last."""
        return sum(
            documents.get(name, (0, b""))[1] != in_force.source
            for name, in_force in self.reference.folded.services.items()
        )


@contextlib.asynccontextmanager
async def _make_scenario() -> AsyncIterator[_Scenario]:
    service = LogService(1000.0, 1000.0, RETAIN_RECORDS)
    runner, port = await start_app(service.app(), HOST, 0)
    async with aiohttp.ClientSession() as session:
        log = HttpLog(session, f"http://{HOST}:{port}")
        reference = ControlReader(log)
        interruptible_log = _InterruptibleLog(log)
        product = ControlReader(
            interruptible_log, SnapshotStream(interruptible_log)
        )
        for reader in (reference, product):
            await reader.start()
        yield _Scenario(
            service,
            log,
            reference,
            ControlWriter(log, reference),
            interruptible_log,
            product,
            _NaiveReader(log),
        )
        for reader in (reference, product):
            await reader.stop()
    await runner.cleanup()


async def _run_outage(outage: _Outage) -> tuple[_Figures, _Figures]:
    async with _make_scenario() as scenario:
        await scenario.append_changes(INITIAL_CHANGES - MISSED_CHANGES)
        await scenario.baseline.read()
        await _wait(
            lambda: scenario.product.folded.next_offset >= scenario.change_count
        )
        scenario.interruptible_log.is_cut_off = True
        await scenario.append_changes(MISSED_CHANGES)
        scenario.service.faults.outage = True
        started_s = time.monotonic()
        product, baseline = await _replace_process(scenario)
        product.refused = await _count_refusals(scenario)
        down_s = outage.minutes * MINUTE_S
        await asyncio.sleep(down_s - (time.monotonic() - started_s))
        scenario.service.faults.outage = False
        scenario.service.faults.lose_answer = 2
        await scenario.append_changes(outage.changes)
        for chunk in make_chunks(scenario.reference.folded, FencingNumber(0)):
            await scenario.log.append(SNAPSHOT_STREAM, chunk)
        await scenario.append_changes(MISSED_CHANGES)
        scenario.interruptible_log.is_cut_off = False
        await _reconcile(scenario, product, baseline)
        return product, baseline


@dataclasses.dataclass
class _Figures:
    """Results of one side in one outage.

    Attributes:
        reverted_by_replacement: Number of services for which a process started
            during the outage has an older revision than was in force.
        wrong_after: Number of services with a document other than the accepted
            one when the process reports that it has read the log to its end.
            For the product, a differing state hash adds one.
        reconcile_s: Seconds from reaching the log to having all accepted
            changes; None if the process never had them.
        refused: Changes refused during the outage because they were provably
            not appended; None for the baseline, which has no such answer.
    """

    reverted_by_replacement: int = 0
    wrong_after: int = 0
    reconcile_s: float | None = None
    refused: int | None = None


async def _replace_process(scenario: _Scenario) -> tuple[_Figures, _Figures]:
    """Replaces a VM that has one outdated and one up-to-date peer."""
    answers = [
        StateAnswer(
            reader.folded.next_offset,
            reader.folded.get_hash(),
            reader.folded.encode(),
        )
        for reader in (scenario.product, scenario.reference)
    ]
    replacement = ControlReader(scenario.log)
    state = choose_newest_state(answers)
    assert state is not None
    replacement.install(state, is_complete=True)
    copy = dict(scenario.baseline.documents)
    return (
        _Figures(scenario.count_product_stale(replacement)),
        _Figures(scenario.count_baseline_stale(copy)),
    )


async def _count_refusals(scenario: _Scenario) -> int:
    try:
        await scenario.writer.append(
            DocumentChange(
                ChangeId("in-outage"), ServiceId("service-0"), 0, "x", b""
            ),
            MINUTE_S / 4,
        )
    except LogUnavailableError:
        return 1
    return 0


async def _reconcile(
    scenario: _Scenario, product: _Figures, baseline: _Figures
) -> None:
    end = scenario.reference.folded.next_offset
    reached_s = time.monotonic()
    if await _wait(
        lambda: (
            scenario.product.folded.next_offset >= end
            and scenario.product.caught_up
        )
    ):
        product.reconcile_s = round(time.monotonic() - reached_s, 3)
    product.wrong_after = scenario.count_product_stale(scenario.product)
    product.wrong_after += (
        scenario.product.folded.get_hash()
        != scenario.reference.folded.get_hash()
    )
    reached_s = time.monotonic()
    while scenario.baseline.next_offset < end:
        await scenario.baseline.read()
    baseline.wrong_after = scenario.count_baseline_stale(
        scenario.baseline.documents
    )
    if not baseline.wrong_after:
        baseline.reconcile_s = round(time.monotonic() - reached_s, 3)


async def _wait(condition: Callable[[], bool]) -> bool:
    end_s = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > end_s:
            return False
        await asyncio.sleep(POLL_S)
    return True


async def _run_all() -> tuple[dict[str, Any], dict[str, Any]]:
    product, baseline = {}, {}
    for outage in OUTAGES:
        product_figures, naive_figures = await _run_outage(outage)
        product[outage.name] = dataclasses.asdict(product_figures)
        baseline[outage.name] = dataclasses.asdict(naive_figures)
    return product, baseline


def _count_wrong_services(figures: dict[str, Any]) -> int:
    return sum(
        outage_figures["reverted_by_replacement"]
        + outage_figures["wrong_after"]
        for outage_figures in figures.values()
    )


def run(seed: int) -> Result:
    """Runs the product and the baseline on the same changes.

    The experiment makes no random choices, so the seed is only recorded.
    """
    product, baseline = asyncio.run(_run_all())
    slowest_s = max(
        WAIT_S
        if outage_figures["reconcile_s"] is None
        else outage_figures["reconcile_s"]
        for outage_figures in product.values()
    )
    wrong_services = _count_wrong_services(product)
    return Result(
        "log_outage",
        seed,
        baseline,
        product,
        wrong_services / max(1, _count_wrong_services(baseline)),
        wrong_services == 0 and slowest_s <= GOAL_S,
        {
            "minute_s": MINUTE_S,
            "retain_records": RETAIN_RECORDS,
            "services": SERVICES,
            "changes": [
                INITIAL_CHANGES,
                *(o.changes + MISSED_CHANGES for o in OUTAGES),
            ],
            "ratio": "services served in a wrong revision",
        },
    )

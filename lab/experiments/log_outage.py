"""Configuration over outages of the log, short and longer than retention.

One minute is compressed into `MINUTE_S`. In a round, one process is cut off
before the last changes, the log goes down, and another process is replaced.
Then the log is back, answers get lost, and more changes are made before the
first process reaches it again. The baseline trusts its local copy: below the
horizon it goes on with the oldest record left, and a replaced process takes
the copy of the first peer that answers.
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
BEFORE = 20
BEHIND = 5
WAIT_S = 10.0
GOAL_S = 8.0
POLL_S = 0.01


@dataclasses.dataclass
class _Outage:
    """One outage.

    Attributes:
        name: What it is.
        minutes: How long the log is down.
        changes: Changes made after it while the process is still cut off.
    """

    name: str
    minutes: float
    changes: int


OUTAGES = (
    _Outage("one_minute", 1.0, 5),
    _Outage("over_retention", 3.0, 2 * RETAIN_RECORDS),
)


class _TrustingReader:
    """Goes on from its local copy, whatever the log still has.

    Attributes:
        documents: Revision and document by service, as it believes.
        next_offset: Offset of the next record.
    """

    def __init__(self, log: Log) -> None:
        self.documents: dict[ServiceId, tuple[int, bytes]] = {}
        self.next_offset = Offset(0)
        self._platform_log = log

    async def read(self) -> None:
        """Reads on; records that have expired are taken as not there."""
        try:
            page = await self._platform_log.read(
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
            self.documents[change.service] = (revision + 1, change.document)


class _CutLog:
    """The log as a process sees it that may be cut off from it.

    Attributes:
        cut: Whether nothing gets through.
    """

    def __init__(self, log: Log) -> None:
        self.cut = False
        self._log = log

    async def append(self, stream: str, data: bytes) -> Offset:
        """See `Log.append`."""
        self._check()
        return await self._log.append(stream, data)

    async def read(
        self, stream: str, start: Offset, limit: int, wait_s: float
    ) -> LogPage:
        """See `Log.read`; short waits, so that a cut shows at once."""
        self._check()
        page = await self._log.read(stream, start, limit, min(wait_s, 0.05))
        self._check()
        return page

    def _check(self) -> None:
        if self.cut:
            raise LogUnavailableError("The process is cut off from the log.")


@dataclasses.dataclass
class _Round:
    """One outage's processes and what they have."""

    service: LogService
    log: HttpLog
    reference: ControlReader
    writer: ControlWriter
    cut_log: _CutLog
    product: ControlReader
    baseline: _TrustingReader
    made: int = 0

    async def change(self, count: int) -> None:
        """Operators make changes, each on the revision in force."""
        for _ in range(count):
            service = ServiceId(f"service-{self.made % SERVICES}")
            held = self.reference.folded.services.get(service)
            result = await self.writer.append(
                DocumentChange(
                    ChangeId(f"change-{self.made}"),
                    service,
                    held.revision if held else 0,
                    "experiment",
                    make_document(service, self.made),
                )
            )
            assert result.outcome is Outcome.ACCEPTED
            self.made += 1

    def count_product_stale(self, reader: ControlReader) -> int:
        """Services that `reader` serves in an older revision."""
        return sum(
            held.revision < self.reference.folded.services[name].revision
            for name, held in reader.services.items()
        )

    def count_baseline_stale(
        self, documents: dict[ServiceId, tuple[int, bytes]]
    ) -> int:
        """Services whose document is not the one that was accepted last."""
        return sum(
            documents.get(name, (0, b""))[1] != held.source
            for name, held in self.reference.folded.services.items()
        )


@contextlib.asynccontextmanager
async def _make_round() -> AsyncIterator[_Round]:
    service = LogService(1000.0, 1000.0, RETAIN_RECORDS)
    runner, port = await start_app(service.app(), HOST, 0)
    async with aiohttp.ClientSession() as session:
        log = HttpLog(session, f"http://{HOST}:{port}")
        reference = ControlReader(log)
        cut_log = _CutLog(log)
        product = ControlReader(cut_log, SnapshotStream(cut_log))
        for reader in (reference, product):
            await reader.start()
        yield _Round(
            service,
            log,
            reference,
            ControlWriter(log, reference),
            cut_log,
            product,
            _TrustingReader(log),
        )
        for reader in (reference, product):
            await reader.stop()
    await runner.cleanup()


async def _run_outage(outage: _Outage) -> tuple[_Figures, _Figures]:
    async with _make_round() as world:
        await world.change(BEFORE - BEHIND)
        await world.baseline.read()
        await _wait(lambda: world.product.folded.next_offset >= world.made)
        world.cut_log.cut = True
        await world.change(BEHIND)
        world.service.faults.outage = True
        started_s = time.monotonic()
        product, baseline = await _replace_process(world)
        product.refused = await _count_refusals(world)
        down_s = outage.minutes * MINUTE_S
        await asyncio.sleep(down_s - (time.monotonic() - started_s))
        world.service.faults.outage = False
        world.service.faults.lose_answer = 2
        await world.change(outage.changes)
        for chunk in make_chunks(world.reference.folded, FencingNumber(0)):
            await world.log.append(SNAPSHOT_STREAM, chunk)
        await world.change(BEHIND)
        world.cut_log.cut = False
        await _reconcile(world, product, baseline)
        return product, baseline


@dataclasses.dataclass
class _Figures:
    """What one version did in one outage.

    Attributes:
        reverted_by_replacement: Services that a process started in the
            outage serves in an older revision than was in force.
        wrong_after: Services with another document than the accepted one
            when the process says it has read the log to its end.
        reconcile_s: From reaching the log to having all accepted changes;
            None where that did not come.
        refused: Changes refused in the outage as proved not appended; None
            where the version has no such answer.
    """

    reverted_by_replacement: int = 0
    wrong_after: int = 0
    reconcile_s: float | None = None
    refused: int | None = None


async def _replace_process(world: _Round) -> tuple[_Figures, _Figures]:
    """A VM is replaced; its peers are one that lags and one that does not."""
    answers = [
        StateAnswer(
            reader.folded.next_offset,
            reader.folded.get_hash(),
            reader.folded.encode(),
        )
        for reader in (world.product, world.reference)
    ]
    fresh = ControlReader(world.log)
    state = choose_newest_state(answers)
    assert state is not None
    fresh.install(state, is_complete=True)
    copy = dict(world.baseline.documents)
    return (
        _Figures(world.count_product_stale(fresh)),
        _Figures(world.count_baseline_stale(copy)),
    )


async def _count_refusals(world: _Round) -> int:
    try:
        await world.writer.append(
            DocumentChange(
                ChangeId("in-outage"), ServiceId("service-0"), 0, "x", b""
            ),
            MINUTE_S / 4,
        )
    except LogUnavailableError:
        return 1
    return 0


async def _reconcile(
    world: _Round, product: _Figures, baseline: _Figures
) -> None:
    end = world.reference.folded.next_offset
    reached_s = time.monotonic()
    if await _wait(
        lambda: (
            world.product.folded.next_offset >= end and world.product.caught_up
        )
    ):
        product.reconcile_s = round(time.monotonic() - reached_s, 3)
    product.wrong_after = world.count_product_stale(world.product)
    product.wrong_after += (
        world.product.folded.get_hash() != world.reference.folded.get_hash()
    )
    reached_s = time.monotonic()
    while world.baseline.next_offset < end:
        await world.baseline.read()
    baseline.wrong_after = world.count_baseline_stale(world.baseline.documents)
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
        ours, naive = await _run_outage(outage)
        product[outage.name] = dataclasses.asdict(ours)
        baseline[outage.name] = dataclasses.asdict(naive)
    return product, baseline


def _sum_wrong(figures: dict[str, Any]) -> int:
    return sum(
        each["reverted_by_replacement"] + each["wrong_after"]
        for each in figures.values()
    )


def run(seed: int) -> Result:
    """Runs both on the same changes; nothing in it is random."""
    product, baseline = asyncio.run(_run_all())
    slowest_s = max(
        WAIT_S if each["reconcile_s"] is None else each["reconcile_s"]
        for each in product.values()
    )
    wrong = _sum_wrong(product)
    return Result(
        "log_outage",
        seed,
        baseline,
        product,
        wrong / max(1, _sum_wrong(baseline)),
        wrong == 0 and slowest_s <= GOAL_S,
        {
            "minute_s": MINUTE_S,
            "retain_records": RETAIN_RECORDS,
            "services": SERVICES,
            "changes": [BEFORE, *(o.changes + BEHIND for o in OUTAGES)],
            "ratio": "services served in a wrong revision",
        },
    )

"""Runs mixed traffic under random faults and audits each request.

Both sides get the same traffic and the same schedule of faults. Sidecar faults
have no counterpart at the naive proxy, except for connections that stall
without being closed.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
import pathlib
import random
import tempfile
import threading
import time
import urllib.error
from collections import Counter
from typing import Any

import aiohttp

from lab.audit import (
    Evidence,
    Findings,
    audit,
    count_codes,
    counts_for_interruptions,
    get_interruptions_s,
)
from lab.experiments import Result
from lab.fault_driver import FaultDriver
from lab.fault_plan import Fault, FaultKind, make_plan
from lab.fleet import Fleet
from lab.naive_fleet import NaiveFleet
from lab.recorded_runs import read_runs
from lab.relay import Relay
from lab.shapes import EXAMPLES, Shape
from lab.traffic import Traffic
from lovagestage.adapters.http_log import HttpLog
from lovagestage.decisions.billing import BILLING_STREAM, Bill, decode_batch
from lovagestage.operations.edits import make_withdrawal_edit
from lovagestage.settings import parse_json_file
from lovagestage.state.document import ServiceDocument
from lovagestage.types import Offset

DURATION_S = 65.0
RATE_PER_S = 30.0
WITHDRAWN = "large@2"
WITHDRAW_AT_S = 30.0
BILLED_AFTER_S = 14.0
"""Seconds after the traffic until bills are read from the log.

By then, peers have taken over the copies of lost entries' bills and appended
them; reading earlier would count these bills as missing.
"""
SAMPLE_S = 1.0
GOAL_S = 1.0
SHAPE = Shape("vault", ("lhe-a", "lhe-b"), 3, 4, 0)
LOG_KINDS = (FaultKind.OUTAGE, FaultKind.LOST_ANSWERS, FaultKind.SLOW)


@dataclasses.dataclass
class _Side:
    """Results of one side of the experiment."""

    findings: Findings
    figures: dict[str, Any]
    interruptions_s: list[float]
    is_clean: bool


def run(seed: int, duration_s: float = DURATION_S) -> Result:
    """Runs the product, then the naive proxies, on the same faults."""
    plan = make_plan(seed, duration_s)
    product = _run_side(seed, duration_s, plan, is_naive=False)
    naive = _run_side(seed, duration_s, plan, is_naive=True)
    interruption_s = product.figures["gap_p99_s"]
    return Result(
        "failover",
        seed,
        naive.figures,
        product.figures,
        _count_findings(product.findings)
        / max(1, _count_findings(naive.findings)),
        product.is_clean and interruption_s < GOAL_S,
        {
            "duration_s": duration_s,
            "rate_per_s": RATE_PER_S,
            "faults": [f"{f.at_s:.1f} {f.kind.value} {f.name}" for f in plan],
            "concerned": dataclasses.asdict(product.findings),
            "gaps_s": [
                round(interruption_s, 3)
                for interruption_s in product.interruptions_s
            ],
        },
    )


def _run_side(
    seed: int, duration_s: float, plan: list[Fault], is_naive: bool
) -> _Side:
    with tempfile.TemporaryDirectory(prefix="lovagestage-") as folder:
        runs_file = pathlib.Path(folder) / "runs"
        kind = NaiveFleet if is_naive else Fleet
        with kind(SHAPE, ("--runs-file", str(runs_file))) as fleet:
            relays = _get_relays(fleet)
            side = _observe(fleet, relays, seed, duration_s, plan, runs_file)
            for relay in relays.values():
                relay.__exit__(None, None, None)
    return side


def _get_relays(fleet: Fleet) -> dict[str, Relay]:
    if isinstance(fleet, NaiveFleet):
        return fleet.relays
    relays = {}
    for name in ("sidecar-0", "sidecar-1"):
        relays[name] = Relay(fleet.children[name].bus).__enter__()
        fleet.set_vm_bus(name, relays[name].address)
    time.sleep(3.0)
    return relays


def _observe(
    fleet: Fleet,
    relays: dict[str, Relay],
    seed: int,
    duration_s: float,
    plan: list[Fault],
    runs_file: pathlib.Path,
) -> _Side:
    driver = FaultDriver(fleet, relays)
    traffic = Traffic(random.Random(seed), lambda: _get_urls(fleet))
    start_s = time.time()
    monitor = _RevisionMonitor(fleet, start_s)
    threads = [
        threading.Thread(target=driver.run, args=(plan, start_s)),
        threading.Thread(target=monitor.run),
    ]
    for thread in threads:
        thread.start()
    asyncio.run(traffic.run(duration_s, RATE_PER_S))
    threads[0].join()
    time.sleep(BILLED_AFTER_S)
    monitor.stop()
    threads[1].join()
    evidence = Evidence(
        traffic.sends,
        read_runs(runs_file),
        asyncio.run(_read_bills(fleet)),
        driver.applied,
        WITHDRAWN,
        monitor.accepted_s,
    )
    findings = audit(evidence)
    served = [
        (s.started_s, s.took_s, s.is_answered)
        for s in traffic.served
        if counts_for_interruptions(s.kind)
    ]
    isolated_s, overlapping_s = get_interruptions_s(served, driver.applied)
    interruptions_s = sorted(isolated_s + overlapping_s)
    counts = {k: len(v) for k, v in dataclasses.asdict(findings).items()}
    violations = {
        **counts,
        "changed_sessions": traffic.changed_sessions,
        "reverted_changes": monitor.decreased_revisions,
        "failed_stops": len(driver.failures),
    }
    unanswered = [s for s in traffic.served if not s.is_answered]
    figures = {
        **violations,
        "gap_p50_s": _get_quantile(interruptions_s, 0.5),
        "gap_p99_s": _get_quantile(interruptions_s, 0.99),
        "gap_alone_p99_s": _get_quantile(isolated_s, 0.99),
        "kills": len(interruptions_s),
        "kills_alone": len(isolated_s),
        "requests": len(traffic.served),
        "given_up": dict(Counter(s.code or "silent" for s in unanswered)),
        "runs": len(evidence.runs),
        "bills": len({bill.request_id for bill in evidence.bills}),
        "sends": count_codes(traffic.sends),
        "failures": driver.failures,
    }
    return _Side(
        findings, figures, interruptions_s, not any(violations.values())
    )


class _RevisionMonitor:
    """Withdraws the version and counts decreasing revisions of the document."""

    def __init__(self, fleet: Fleet, start_s: float) -> None:
        self.accepted_s = math.inf
        self.decreased_revisions = 0
        self._fleet = fleet
        self._start_s = start_s
        self._last_revisions: dict[tuple[str, int], int] = {}
        self._stopping = threading.Event()

    def run(self) -> None:
        """Samples the revisions of all processes until `stop` is called."""
        while not self._stopping.wait(SAMPLE_S):
            if (
                math.isinf(self.accepted_s)
                and time.time() > self._start_s + WITHDRAW_AT_S
            ):
                self._withdraw()
            if not isinstance(self._fleet, NaiveFleet):
                self._sample()

    def stop(self) -> None:
        """Ends the sampling; `run` returns shortly afterwards."""
        self._stopping.set()

    def _withdraw(self) -> None:
        path = EXAMPLES / f"{SHAPE.service}.jsonc"
        document = parse_json_file(path, ServiceDocument)
        withdrawn = make_withdrawal_edit(WITHDRAWN)(document)
        try:
            self._fleet.publish_document(withdrawn, 1)
        except urllib.error.HTTPError as error:
            if error.code != 500:  # 500: The answer was lost, not the change.
                return
        except OSError:
            return
        self.accepted_s = time.time()

    def _sample(self) -> None:
        for name, child in list(self._fleet.children.items()):
            if not child.bus or self._stopping.is_set():
                continue
            try:
                dump = self._fleet.get_dump(name)
            except Exception:  # The process is killed or paused.
                continue
            revision = dump["control"]["revisions"].get(SHAPE.service, 0)
            key = (name, child.process.pid)
            self.decreased_revisions += revision < self._last_revisions.get(
                key, 0
            )
            self._last_revisions[key] = revision


def _get_urls(fleet: Fleet) -> dict[str, str]:
    return {
        name: child.url
        for name, child in list(fleet.children.items())
        if name.startswith("entry") and child.port
    }


async def _read_bills(fleet: Fleet) -> list[Bill]:
    bills: list[Bill] = []
    offset = Offset(0)
    async with aiohttp.ClientSession() as session:
        log = HttpLog(session, fleet.children["log"].url)
        while True:
            page = await log.read(BILLING_STREAM, offset, 500, 0.0)
            if not page.records:
                return bills
            for record_offset, data in page.records:
                bills += decode_batch(data)
                offset = Offset(record_offset + 1)


def _count_findings(findings: Findings) -> int:
    return sum(len(v) for v in dataclasses.asdict(findings).values())


def _get_quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return round(values[min(len(values) - 1, int(share * len(values)))], 3)

"""Counts lost bills and log appends, with and without copies at a peer.

Entries answer requests while single VMs are killed and the log is unavailable
for a while. Both sides run the product's billing ledger on the same trace; the
baseline buffers each bill on one VM only, as a naive batching writer would.
Time is simulated; the CPU cost of the ledger's code is measured by the wall
clock.
"""

from __future__ import annotations

import dataclasses
import random
import time
import tracemalloc

from lab.experiments import Result
from lovagestage.decisions.billing import (
    COPY_RENEWAL_TIMEOUT_S,
    Bill,
    BillingLedger,
    Peer,
    decode_batch,
    encode_batch,
)
from lovagestage.types import RequestId, ServiceId, VmId, WorkspaceId, ZoneId

ENTRIES = 12
ZONES = 3
REQUESTS_PER_S = 21
"""Requests a second at one entry: 8,300/s divided by 390 entries."""
DURATION_S = 120
INTERVAL_S = 4
OUTAGE_S = range(40, 70)
KILL_EVERY_S = 15
LIMIT_BYTES = 8 * 1024 * 1024
BATCH_BYTES = 512 * 1024
MEASURED_BILLS = 20_000
MAX_APPENDS_PER_S = 100.0
FLEET_ENTRIES = 390


@dataclasses.dataclass
class _Trace:
    """Events of one side of the experiment.

    Attributes:
        answered: Ids of the requests that were answered.
        billed: Ids of the requests whose bills are in the log.
        appends: Number of records appended to the log.
        duplicates: Number of appended bills beyond the first of a request.
    """

    answered: set[str] = dataclasses.field(default_factory=set)
    billed: set[str] = dataclasses.field(default_factory=set)
    appends: int = 0
    duplicates: int = 0


class _Fleet:
    """Entries with their billing ledgers, on a simulated clock."""

    def __init__(self, has_copies: bool) -> None:
        self.trace = _Trace()
        self._has_copies = has_copies
        self._peers = [
            Peer(VmId(f"entry-{i}"), ZoneId(f"zone-{i % ZONES}"))
            for i in range(ENTRIES)
        ]
        self._ledgers = {p.vm: self._make_ledger(p, 0) for p in self._peers}

    def _make_ledger(self, peer: Peer, incarnation: int) -> BillingLedger:
        return BillingLedger(
            peer.vm, peer.zone, incarnation, LIMIT_BYTES, BATCH_BYTES
        )

    def replace_entry(self, index: int, now_s: int) -> None:
        peer = self._peers[index]
        self._ledgers[peer.vm] = self._make_ledger(peer, now_s + 1)

    def run_second(self, now_s: int, is_log_up: bool, is_serving: bool) -> None:
        for index, peer in enumerate(self._peers):
            ledger = self._ledgers[peer.vm]
            for count in range(REQUESTS_PER_S if is_serving else 0):
                self._serve(ledger, peer, f"{now_s}-{index}-{count}", now_s)
            if self._has_copies:
                self._renew_copies(ledger, peer, now_s)
            if is_log_up and now_s % INTERVAL_S == index % INTERVAL_S:
                self._append_batch(ledger)

    def _serve(
        self, ledger: BillingLedger, peer: Peer, name: str, now_s: int
    ) -> None:
        number = ledger.add(make_bill(name))
        self.trace.answered.add(name)
        holder = self._choose_holder(ledger, peer)
        copy = ledger.make_copy(number, holder)
        if (
            self._has_copies
            and copy
            and self._ledgers[holder].store_copies(copy, now_s)
        ):
            ledger.on_copied(copy, holder)

    def _choose_holder(self, ledger: BillingLedger, peer: Peer) -> VmId:
        holder = ledger.choose_holder(p for p in self._peers if p != peer)
        assert holder is not None
        return holder

    def _renew_copies(
        self, ledger: BillingLedger, peer: Peer, now_s: int
    ) -> None:
        ledger.take_over_bills(now_s)
        holder = self._choose_holder(ledger, peer)
        self._ledgers[holder].on_release(ledger.make_release(), now_s)
        copy = ledger.make_missing_copy(holder)
        if copy and self._ledgers[holder].store_copies(copy, now_s):
            ledger.on_copied(copy, holder)

    def _append_batch(self, ledger: BillingLedger) -> None:
        batch = ledger.make_batch()
        if batch is None:
            return
        request_ids = [b.request_id for b in decode_batch(encode_batch(batch))]
        self.trace.appends += 1
        self.trace.duplicates += len(
            self.trace.billed.intersection(request_ids)
        )
        self.trace.billed.update(request_ids)
        ledger.on_appended(batch)


def run(seed: int) -> Result:
    """Runs both sides.

    The result is ok if the product loses no bill and its appends stay within
    the budget of `MAX_APPENDS_PER_S` for a fleet of 390 entries.
    """
    baseline = _simulate(seed, has_copies=False)
    product = _simulate(seed, has_copies=True)
    lost = len(product.answered - product.billed)
    lost_baseline = len(baseline.answered - baseline.billed)
    up_s = DURATION_S - len(OUTAGE_S)
    appends_per_s = product.appends / up_s * FLEET_ENTRIES / ENTRIES
    figures = _get_figures(product) | {
        "appends_per_s_of_390": round(appends_per_s, 1),
        "us_per_request": round(_measure_us_per_bill(), 1),
        "buffer_bytes_per_bill": round(_measure_bytes_per_bill()),
        "log_bytes_per_bill": _get_encoded_bytes(),
    }
    return Result(
        "billing",
        seed,
        _get_figures(baseline),
        figures,
        lost / max(lost_baseline, 1),
        lost == 0 and appends_per_s <= MAX_APPENDS_PER_S,
        {
            "entries": ENTRIES,
            "requests_per_s": REQUESTS_PER_S,
            "duration_s": DURATION_S,
            "outage_s": len(OUTAGE_S),
            "kills": DURATION_S // KILL_EVERY_S,
        },
    )


def make_bill(name: str) -> Bill:
    """Returns a bill of typical size."""
    return Bill(
        RequestId(name),
        WorkspaceId("karachi-clinics"),
        ServiceId("vault"),
        "large@1",
        1_700_000_000,
        240,
        180,
    )


def _simulate(seed: int, has_copies: bool) -> _Trace:
    rng = random.Random(seed)
    fleet = _Fleet(has_copies)
    for now_s in range(DURATION_S):
        if now_s % KILL_EVERY_S == KILL_EVERY_S - 1:
            fleet.replace_entry(rng.randrange(ENTRIES), now_s)
        fleet.run_second(now_s, now_s not in OUTAGE_S, True)
    end_s = DURATION_S + int(COPY_RENEWAL_TIMEOUT_S) + 3 * INTERVAL_S
    appends = fleet.trace.appends
    for now_s in range(DURATION_S, end_s):
        fleet.run_second(now_s, True, False)
    fleet.trace.appends = appends
    return fleet.trace


def _get_figures(trace: _Trace) -> dict[str, int]:
    return {
        "answered": len(trace.answered),
        "lost_bills": len(trace.answered - trace.billed),
        "duplicates_folded": trace.duplicates,
        "appends": trace.appends,
    }


def _measure_us_per_bill() -> float:
    owner, holder = _make_ledger_pair()
    start_s = time.perf_counter()
    for index in range(MEASURED_BILLS):
        number = owner.add(make_bill(f"{index:032x}"))
        copy = owner.make_copy(number, VmId("b"))
        assert copy is not None
        holder.store_copies(copy, 0.0)
        owner.on_copied(copy, VmId("b"))
        if index % 84 == 0:
            batch = owner.make_batch()
            assert batch is not None
            encode_batch(batch)
            owner.on_appended(batch)
            holder.on_release(owner.make_release(), 0.0)
    return (time.perf_counter() - start_s) / MEASURED_BILLS * 1e6


def _measure_bytes_per_bill() -> float:
    owner, _ = _make_ledger_pair()
    tracemalloc.start()
    for index in range(MEASURED_BILLS):
        owner.add(make_bill(f"{index:032x}"))
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / MEASURED_BILLS


def _get_encoded_bytes() -> int:
    owner, _ = _make_ledger_pair()
    owner.add(make_bill("0" * 32))
    return owner.get_sizes()["pending_bytes"]


def _make_ledger_pair() -> tuple[BillingLedger, BillingLedger]:
    limits = (1, LIMIT_BYTES, BATCH_BYTES)
    return (
        BillingLedger(VmId("a"), ZoneId("x"), *limits),
        BillingLedger(VmId("b"), ZoneId("y"), *limits),
    )

"""Simulates a workspace that exceeds its limit through many entries.

Each entry runs the product's `LimitTable` on a simulated clock. Usage reports
arrive with a delay and are sent to as many peers as the byte budget allows.
Arrivals are spread unevenly and move from entry to entry, and one entry is
killed and later replaced. The baseline divides the limit evenly: each entry has
a token bucket with a static share. Both sides process the same arrivals.

The error of a window is the relative deviation of the tokens generated in it
from the tokens that the limit grants. The other, smaller workspace stays under
its limit. Its refused requests stand for latency, since both sides send an
admitted request immediately. The model does not include queueing at engines.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections.abc import Iterator

from lab.experiments import Result
from lovagestage.decisions.limits import Charge, Limit, LimitTable
from lovagestage.entry.limit_service import (
    MESSAGE_OVERHEAD_BYTES,
    REPORT_INTERVAL_S,
    get_report_count,
)
from lovagestage.messages.envelope import encode_message
from lovagestage.messages.peers import UsageReport
from lovagestage.types import VmId, WorkspaceHash

ENTRIES = 8
BIG = WorkspaceHash(2**63 + 1)
SMALL = WorkspaceHash(2**63 + 2)
LIMITS = {BIG: Limit(900.0, 1800.0), SMALL: Limit(150.0, 300.0)}
OVERLOAD = 3.0
SMALL_LOAD = 0.5
MEAN_TOKENS = 48
MAX_TOKENS = 512
DURATION_S = 300.0
WARM_UP_S = 10.0
WINDOW_S = 60.0
MOVE_EVERY_S = 40.0
KILL_AT_S = 120.0
REPLACE_AT_S = 150.0
TOKENS_PER_S = 100.0
REPORT_DELAY_S = 0.003
MAX_ERROR = 0.05
MAX_SMALL_ADDED = 0.01
"""Maximum refused ratio of the smaller workspace above a central bucket's.

A single token bucket for all entries refuses some of its requests, too.
"""
MAX_CONTROL_BYTES_PER_S = 3000.0


@dataclasses.dataclass(frozen=True)
class _Arrival:
    at_s: float
    tag: WorkspaceHash
    position: float
    tokens: int


class _StaticTable:
    """The baseline: token buckets of one entry, each with an even share."""

    def __init__(self, now_s: float) -> None:
        self._levels = {
            tag: limit.burst_tokens / ENTRIES for tag, limit in LIMITS.items()
        }
        self._updated_s = now_s

    def admit(self, tag: WorkspaceHash, now_s: float) -> bool:
        elapsed_s, self._updated_s = now_s - self._updated_s, now_s
        for workspace, limit in LIMITS.items():
            level = (
                self._levels[workspace]
                + limit.tokens_per_s / ENTRIES * elapsed_s
            )
            self._levels[workspace] = min(level, limit.burst_tokens / ENTRIES)
        return self._levels[tag] > 0

    def spend(self, tag: WorkspaceHash, tokens: float) -> None:
        self._levels[tag] -= tokens


@dataclasses.dataclass
class _Trace:
    """Events of one side of the experiment.

    Attributes:
        generated: Tokens admitted for the larger workspace, by second of
            admission.
        refused: Number of refused requests, by workspace.
        sent_bytes: Bytes of usage reports sent by all entries, by second.
    """

    generated: list[float]
    refused: dict[WorkspaceHash, int]
    sent_bytes: list[float]


def run(seed: int, entries: int = ENTRIES) -> Result:
    """Runs the baseline and the product on the same arrivals.

    Args:
        seed: Seed of all random choices.
        entries: Number of entries.
    """
    arrivals = list(_make_arrivals(random.Random(seed)))
    static = _Fleet(entries, True).simulate(arrivals)
    product = _Fleet(entries, False).simulate(arrivals)
    figures = _get_figures(product, arrivals, entries)
    baseline = _get_figures(static, arrivals, entries)
    central = _get_central_refused_ratio(arrivals)
    ok = (
        abs(figures["worst_over"]) <= MAX_ERROR
        and abs(figures["worst_under"]) <= MAX_ERROR
        and figures["small_refused_ratio"] <= central + MAX_SMALL_ADDED
        and figures["bytes_per_s_each"] <= MAX_CONTROL_BYTES_PER_S
    )
    return Result(
        "limits",
        seed,
        baseline,
        figures,
        figures["worst_error"] / baseline["worst_error"],
        ok,
        {
            "entries": entries,
            "overload": OVERLOAD,
            "duration_s": DURATION_S,
            "window_s": WINDOW_S,
            "killed_at_s": KILL_AT_S,
            "replaced_at_s": REPLACE_AT_S,
            "requests": len(arrivals),
            "central_small_refused_ratio": central,
        },
    )


def _make_arrivals(rng: random.Random) -> Iterator[_Arrival]:
    now_s = 0.0
    big_per_s = LIMITS[BIG].tokens_per_s * OVERLOAD / MEAN_TOKENS
    small_per_s = LIMITS[SMALL].tokens_per_s * SMALL_LOAD / MEAN_TOKENS
    skew = 1.0
    move_at_s = 0.0
    while now_s < DURATION_S:
        if now_s >= move_at_s:
            move_at_s += MOVE_EVERY_S
            skew = rng.uniform(0.5, 3.0)
        now_s += rng.expovariate(big_per_s + small_per_s)
        tag = (
            BIG
            if rng.random() < big_per_s / (big_per_s + small_per_s)
            else SMALL
        )
        position = rng.random()
        if tag is BIG:
            # A power of a uniform number concentrates the requests on few
            # entries, and on other entries after each move.
            position = (position**skew + move_at_s / MOVE_EVERY_S * 0.37) % 1.0
        tokens = min(MAX_TOKENS, 1 + int(rng.expovariate(1 / MEAN_TOKENS)))
        yield _Arrival(now_s, tag, position, tokens)


class _Fleet:
    """Entries on a simulated clock, behind a load balancer.

    The balancer stops sending to a killed entry immediately.
    """

    def __init__(self, entries: int, is_static: bool) -> None:
        self._is_static = is_static
        self._vms = [VmId(f"entry-{i}") for i in range(entries)]
        self._tables: dict[VmId, LimitTable] = {}
        self._static: dict[VmId, _StaticTable] = {}
        self._next_peer: dict[VmId, int] = dict.fromkeys(self._vms, 0)
        self._events: list[tuple[float, int, _Event]] = []
        self._order = 0
        self._trace = _Trace(
            [0.0] * (int(DURATION_S) + 1),
            dict.fromkeys(LIMITS, 0),
            [0.0] * (int(DURATION_S) + 1),
        )

    def simulate(self, arrivals: list[_Arrival]) -> _Trace:
        for index, vm in enumerate(self._vms):
            self._start_entry(vm, 0.0)
            offset_s = REPORT_INTERVAL_S * index / len(self._vms)
            self._schedule(offset_s, _ReportDue(vm))
        self._schedule(KILL_AT_S, _Kill(self._vms[0]))
        self._schedule(REPLACE_AT_S, _Replace(self._vms[0]))
        for arrival in arrivals:
            self._run_until(arrival.at_s)
            self._serve(arrival)
        return self._trace

    def _start_entry(self, vm: VmId, now_s: float) -> None:
        table = LimitTable(vm, int(now_s) + 1, now_s)
        for tag, limit in LIMITS.items():
            table.set_limit(tag, limit)
        self._tables[vm] = table
        self._static[vm] = _StaticTable(now_s)

    def _serve(self, arrival: _Arrival) -> None:
        live = list(self._tables)
        vm = live[int(arrival.position * len(live))]
        now_s = arrival.at_s
        if self._is_static:
            charge = Charge(0.0)
            if not self._static[vm].admit(arrival.tag, now_s):
                charge = Charge(0.0, 1)
        else:
            table = self._tables[vm]
            charge = table.admit(arrival.tag, None, 1, now_s)
        if charge.retry_after_s is not None:
            self._trace.refused[arrival.tag] += 1
            return
        if arrival.tag == BIG:
            self._trace.generated[int(now_s)] += arrival.tokens
        if self._is_static:
            self._static[vm].spend(arrival.tag, arrival.tokens)
            return
        completion = _Completion(vm, self._tables[vm], arrival, charge)
        self._schedule(now_s + arrival.tokens / TOKENS_PER_S, completion)

    def _schedule(self, at_s: float, event: _Event) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, event))

    def _run_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            now_s, _, event = heapq.heappop(self._events)
            match event:
                case _ReportDue():
                    self._send_report(event.vm, now_s)
                    self._schedule(now_s + REPORT_INTERVAL_S, event)
                case _Delivery() if event.vm in self._tables:
                    self._tables[event.vm].apply_report(event.report, now_s)
                case _Completion() if self._tables.get(event.vm) is event.table:
                    event.table.replace_estimate(
                        event.arrival.tag,
                        event.charge,
                        event.arrival.tokens,
                        now_s,
                    )
                case _Kill():
                    del self._tables[event.vm]
                case _Replace():
                    self._start_entry(event.vm, now_s)

    def _send_report(self, vm: VmId, now_s: float) -> None:
        table = self._tables.get(vm)
        if table is None or self._is_static:
            return
        live = [other for other in self._tables if other != vm]
        report = table.make_report(now_s)
        size_bytes = len(encode_message(report)) if report else 0
        count = get_report_count(size_bytes, len(live))
        table.set_peers(live, REPORT_INTERVAL_S * max(1.0, len(live) / count))
        if report is None or not live:
            return
        start = self._next_peer[vm] % len(live)
        self._next_peer[vm] = start + count
        receivers = (live[start:] + live[:start])[:count]
        size_bytes = (size_bytes + MESSAGE_OVERHEAD_BYTES) * len(receivers)
        self._trace.sent_bytes[int(now_s)] += size_bytes
        for peer in receivers:
            self._schedule(now_s + REPORT_DELAY_S, _Delivery(peer, report))


@dataclasses.dataclass(frozen=True)
class _ReportDue:
    vm: VmId


@dataclasses.dataclass(frozen=True)
class _Kill:
    vm: VmId


@dataclasses.dataclass(frozen=True)
class _Replace:
    vm: VmId


@dataclasses.dataclass(frozen=True)
class _Delivery:
    vm: VmId
    report: UsageReport


@dataclasses.dataclass(frozen=True)
class _Completion:
    vm: VmId
    table: LimitTable
    arrival: _Arrival
    charge: Charge


_Event = _ReportDue | _Kill | _Replace | _Delivery | _Completion


def _get_figures(
    trace: _Trace, arrivals: list[_Arrival], entries: int
) -> dict[str, float]:
    granted = LIMITS[BIG].tokens_per_s * WINDOW_S
    first, last = int(WARM_UP_S), int(DURATION_S - WINDOW_S)
    errors = [
        sum(trace.generated[start : start + int(WINDOW_S)]) / granted - 1
        for start in range(first, last)
    ]
    small_count = sum(arrival.tag == SMALL for arrival in arrivals)
    steady_bytes = trace.sent_bytes[first : int(DURATION_S)]
    first_minute = sum(trace.generated[: int(WINDOW_S)])
    burst = LIMITS[BIG].burst_tokens
    return {
        "worst_over": max(errors),
        "worst_under": min(errors),
        "worst_error": max(abs(error) for error in errors),
        "first_minute_over": first_minute / (granted + burst) - 1,
        "small_refused_ratio": trace.refused[SMALL] / small_count,
        "big_refused": trace.refused[BIG],
        "bytes_per_s_each": max(steady_bytes) / entries,
    }


def _get_central_refused_ratio(arrivals: list[_Arrival]) -> float:
    """Returns the refused ratio of a single token bucket for all entries.

    Such a bucket cannot be built across entries; it serves as the reference
    for the smaller workspace.
    """
    limit = LIMITS[SMALL]
    level, updated_s = limit.burst_tokens, 0.0
    refused = count = 0
    for arrival in arrivals:
        if arrival.tag != SMALL:
            continue
        refilled = limit.tokens_per_s * (arrival.at_s - updated_s)
        level = min(limit.burst_tokens, level + refilled)
        updated_s = arrival.at_s
        count += 1
        refused += level <= 0
        level -= arrival.tokens if level > 0 else 0
    return refused / count

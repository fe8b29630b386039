"""A workspace over its limit through many entries.

The product's `LimitTable` runs on a simulated clock, one for each entry, with
reports that take a while and are sent to as many peers as the budget allows.
Arrivals are uneven, move from entry to entry, and one entry is killed and
later replaced. The baseline divides the limit evenly: each entry has a token
bucket with its static part. Both see the same arrivals.

A window's error is what was generated in it over what the limit grants. The
other workspace stays under its limit; what it is refused stands for latency,
since an admitted request is sent at once on both sides. Queueing at engines
is no part of this model.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections.abc import Iterator

from lab.experiments import Result
from lovagestage.decisions.limits import Charge, Limit, LimitTable
from lovagestage.entry.limit_service import (
    FRAME_BYTES,
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
"""What the smaller workspace may be refused beyond a central bucket's."""
MAX_CONTROL_BYTES_PER_S = 3000.0


@dataclasses.dataclass(frozen=True)
class _Arrival:
    at_s: float
    tag: WorkspaceHash
    place: float
    tokens: int


class _StaticTable:
    """The baseline: a token bucket with an even part of the limit."""

    def __init__(self, now_s: float) -> None:
        self._levels = {
            tag: limit.burst_tokens / ENTRIES for tag, limit in LIMITS.items()
        }
        self._updated_s = now_s

    def admit(self, tag: WorkspaceHash, now_s: float) -> bool:
        elapsed_s, self._updated_s = now_s - self._updated_s, now_s
        for each, limit in LIMITS.items():
            level = (
                self._levels[each] + limit.tokens_per_s / ENTRIES * elapsed_s
            )
            self._levels[each] = min(level, limit.burst_tokens / ENTRIES)
        return self._levels[tag] > 0

    def spend(self, tag: WorkspaceHash, tokens: float) -> None:
        self._levels[tag] -= tokens


@dataclasses.dataclass
class _Trace:
    """What one side did.

    Attributes:
        generated: Tokens of the large workspace by whole second.
        refused: Requests refused, by workspace.
        sent_bytes: Bytes of reports by second, over all entries.
    """

    generated: list[float]
    refused: dict[WorkspaceHash, int]
    sent_bytes: list[float]


def run(seed: int, entries: int = ENTRIES) -> Result:
    """Runs both sides over the same arrivals."""
    arrivals = list(_make_arrivals(random.Random(seed)))
    static = _Fleet(entries, True).play(arrivals)
    product = _Fleet(entries, False).play(arrivals)
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
    big = LIMITS[BIG].tokens_per_s * OVERLOAD / MEAN_TOKENS
    small = LIMITS[SMALL].tokens_per_s * SMALL_LOAD / MEAN_TOKENS
    skew = 1.0
    move_at_s = 0.0
    while now_s < DURATION_S:
        if now_s >= move_at_s:
            move_at_s += MOVE_EVERY_S
            skew = rng.uniform(0.5, 3.0)
        now_s += rng.expovariate(big + small)
        tag = BIG if rng.random() < big / (big + small) else SMALL
        place = rng.random()
        if tag is BIG:
            # A power of a uniform number crowds the requests on few entries,
            # on others after each move.
            place = (place**skew + move_at_s / MOVE_EVERY_S * 0.37) % 1.0
        tokens = min(MAX_TOKENS, 1 + int(rng.expovariate(1 / MEAN_TOKENS)))
        yield _Arrival(now_s, tag, place, tokens)


class _Fleet:
    """Entries on a simulated clock, behind a balancer that sees a kill."""

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

    def play(self, arrivals: list[_Arrival]) -> _Trace:
        for index, vm in enumerate(self._vms):
            self._start(vm, 0.0)
            offset_s = REPORT_INTERVAL_S * index / len(self._vms)
            self._push(offset_s, _Tick(vm))
        self._push(KILL_AT_S, _Kill(self._vms[0]))
        self._push(REPLACE_AT_S, _Replace(self._vms[0]))
        for arrival in arrivals:
            self._run_until(arrival.at_s)
            self._serve(arrival)
        return self._trace

    def _start(self, vm: VmId, now_s: float) -> None:
        table = LimitTable(vm, int(now_s) + 1, now_s)
        for tag, limit in LIMITS.items():
            table.set_limit(tag, limit)
        self._tables[vm] = table
        self._static[vm] = _StaticTable(now_s)

    def _serve(self, arrival: _Arrival) -> None:
        live = list(self._tables)
        vm = live[int(arrival.place * len(live))]
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
        end = _End(vm, self._tables[vm], arrival, charge)
        self._push(now_s + arrival.tokens / TOKENS_PER_S, end)

    def _push(self, at_s: float, event: _Event) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, event))

    def _run_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            now_s, _, event = heapq.heappop(self._events)
            match event:
                case _Tick():
                    self._report(event.vm, now_s)
                    self._push(now_s + REPORT_INTERVAL_S, event)
                case _Delivery() if event.vm in self._tables:
                    self._tables[event.vm].apply_report(event.report, now_s)
                case _End() if self._tables.get(event.vm) is event.table:
                    event.table.settle(
                        event.arrival.tag,
                        event.charge,
                        event.arrival.tokens,
                        now_s,
                    )
                case _Kill():
                    del self._tables[event.vm]
                case _Replace():
                    self._start(event.vm, now_s)

    def _report(self, vm: VmId, now_s: float) -> None:
        table = self._tables.get(vm)
        if table is None or self._is_static:
            return
        live = [each for each in self._tables if each != vm]
        report = table.make_report(now_s)
        size_bytes = len(encode_message(report)) if report else 0
        count = get_report_count(size_bytes, len(live))
        table.set_peers(live, REPORT_INTERVAL_S * max(1.0, len(live) / count))
        if report is None or not live:
            return
        start = self._next_peer[vm] % len(live)
        self._next_peer[vm] = start + count
        sent = (live[start:] + live[:start])[:count]
        size_bytes = (size_bytes + FRAME_BYTES) * len(sent)
        self._trace.sent_bytes[int(now_s)] += size_bytes
        for peer in sent:
            self._push(now_s + REPORT_DELAY_S, _Delivery(peer, report))


@dataclasses.dataclass(frozen=True)
class _Tick:
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
class _End:
    vm: VmId
    table: LimitTable
    arrival: _Arrival
    charge: Charge


_Event = _Tick | _Kill | _Replace | _Delivery | _End


def _get_figures(
    trace: _Trace, arrivals: list[_Arrival], entries: int
) -> dict[str, float]:
    granted = LIMITS[BIG].tokens_per_s * WINDOW_S
    first, last = int(WARM_UP_S), int(DURATION_S - WINDOW_S)
    errors = [
        sum(trace.generated[start : start + int(WINDOW_S)]) / granted - 1
        for start in range(first, last)
    ]
    small = sum(arrival.tag == SMALL for arrival in arrivals)
    steady = trace.sent_bytes[first : int(DURATION_S)]
    first_minute = sum(trace.generated[: int(WINDOW_S)])
    burst = LIMITS[BIG].burst_tokens
    return {
        "worst_over": max(errors),
        "worst_under": min(errors),
        "worst_error": max(abs(error) for error in errors),
        "first_minute_over": first_minute / (granted + burst) - 1,
        "small_refused_ratio": trace.refused[SMALL] / small,
        "big_refused": trace.refused[BIG],
        "bytes_per_s_each": max(steady) / entries,
    }


def _get_central_refused_ratio(arrivals: list[_Arrival]) -> float:
    """What one bucket for all entries, impossible here, would refuse."""
    limit = LIMITS[SMALL]
    level, updated_s = limit.burst_tokens, 0.0
    refused = count = 0
    for arrival in arrivals:
        if arrival.tag != SMALL:
            continue
        gained = limit.tokens_per_s * (arrival.at_s - updated_s)
        level = min(limit.burst_tokens, level + gained)
        updated_s = arrival.at_s
        count += 1
        refused += level <= 0
        level -= arrival.tokens if level > 0 else 0
    return refused / count

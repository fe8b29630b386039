"""Deferrable jobs beside till lookups in one pool.

A pool of engines on a simulated clock: a slot is free or not, each running
request makes every token a little slower, and the engine starts the most
urgent waiting request first. Jobs come in the evening with deadlines before
the shops open; some could never be done. Three runs see the same till
lookups: without jobs, with all jobs sent at once at the same priority (the
baseline), and with the product's `DeferralQueue` of each entry. A run's
speed is fixed at its start.
"""

from __future__ import annotations

import dataclasses
import heapq
import random

from lab.experiments import Result
from lovagestage.decisions.deadlines import (
    DeferralQueue,
    DeferredRequest,
    SlotSpec,
)
from lovagestage.types import RequestId

ENGINES = 2
SLOTS = 32 * ENGINES
TOKEN_S = 0.010
TOKEN_S_PER_RUNNING = 0.00015 / ENGINES
FIRST_TOKEN_S = 0.020
ENTRIES = 2
SLOTS_OF_ENTRY = 5
QUEUE_LIMIT = 1000
DURATION_S = 900.0
OPENING_S = 800.0
TILL_PER_S = 70.0
RUSH_PER_S = 130.0
RUSH_S = (300.0, 360.0)
TILL_TOKENS = 24
JOBS = 700
JOB_TOKENS = (100, 800)
ARRIVALS_S = 60.0
MAX_RATIO = 1.1


@dataclasses.dataclass(frozen=True)
class _Work:
    at_s: float
    name: str
    tokens: int
    deadline_s: float = 0.0

    @property
    def is_job(self) -> bool:
        return self.deadline_s > 0


@dataclasses.dataclass
class _Trace:
    till_s: list[float] = dataclasses.field(default_factory=list)
    late: int = 0
    done: int = 0
    refused: int = 0


def run(seed: int) -> Result:
    """Runs the three sides over the same work."""
    rng = random.Random(seed)
    tills, jobs = _make_tills(rng), _make_jobs(rng)
    alone = _Pool(False).play(tills)
    baseline = _Pool(False).play(sorted([*tills, *jobs], key=_get_time))
    product = _Pool(True).play(sorted([*tills, *jobs], key=_get_time))
    ratios = {
        f"p{share}": _get_percentile(product, share)
        / _get_percentile(alone, share)
        for share in (50, 95, 99)
    }
    ok = (
        product.late == 0
        and product.done + product.refused == JOBS
        and max(ratios.values()) <= MAX_RATIO
    )
    return Result(
        "deadline",
        seed,
        _get_figures(baseline),
        _get_figures(product),
        ratios["p95"],
        ok,
        {
            "till_alone": _get_figures(alone),
            "till_ratios": ratios,
            "jobs": JOBS,
            "slots": SLOTS,
            "slots_for_jobs": ENTRIES * SLOTS_OF_ENTRY,
        },
    )


def _get_time(work: _Work) -> float:
    return work.at_s


def _make_tills(rng: random.Random) -> list[_Work]:
    works: list[_Work] = []
    now_s = 0.0
    while now_s < DURATION_S:
        is_rush = RUSH_S[0] <= now_s < RUSH_S[1]
        now_s += rng.expovariate(RUSH_PER_S if is_rush else TILL_PER_S)
        tokens = 1 + int(rng.expovariate(1 / TILL_TOKENS))
        works.append(_Work(now_s, f"till-{len(works)}", tokens))
    return works


def _make_jobs(rng: random.Random) -> list[_Work]:
    jobs = []
    for index in range(JOBS):
        at_s = rng.uniform(0, ARRIVALS_S)
        deadline_s = rng.uniform(at_s + 1, OPENING_S)
        tokens = rng.randint(*JOB_TOKENS)
        jobs.append(_Work(at_s, f"job-{index}", tokens, deadline_s))
    return jobs


class _Pool:
    """The engines, and before them the entries' queues where `is_deferred`."""

    def __init__(self, is_deferred: bool) -> None:
        full_s = TOKEN_S + TOKEN_S_PER_RUNNING * SLOTS
        spec = SlotSpec(SLOTS_OF_ENTRY, 1 / full_s, FIRST_TOKEN_S)
        self._queues = [
            DeferralQueue(spec, QUEUE_LIMIT) for _ in range(ENTRIES)
        ]
        self._is_deferred = is_deferred
        self._works: dict[str, tuple[_Work, int]] = {}
        self._waiting: list[tuple[int, int, _Work]] = []
        self._ends: list[tuple[float, int, _Work]] = []
        self._order = 0
        self._trace = _Trace()

    def play(self, works: list[_Work]) -> _Trace:
        for index, work in enumerate(works):
            self._run_until(work.at_s)
            if work.is_job and self._is_deferred:
                self._offer(work, index % ENTRIES)
            else:
                self._submit(work, 0, work.at_s)
        self._run_until(float("inf"))
        return self._trace

    def _offer(self, work: _Work, entry: int) -> None:
        name = RequestId(work.name)
        self._works[work.name] = work, entry
        job = DeferredRequest(work.deadline_s, name, work.tokens)
        if not self._queues[entry].try_enqueue(job, work.at_s):
            self._trace.refused += 1
        self._take(entry, work.at_s)

    def _take(self, entry: int, now_s: float) -> None:
        while (job := self._queues[entry].start_next(now_s)) is not None:
            self._submit(self._works[job.request_id][0], 1, now_s)

    def _submit(self, work: _Work, priority: int, now_s: float) -> None:
        self._order += 1
        heapq.heappush(self._waiting, (priority, self._order, work))
        self._start(now_s)

    def _start(self, now_s: float) -> None:
        while self._waiting and len(self._ends) < SLOTS:
            _, order, work = heapq.heappop(self._waiting)
            token_s = TOKEN_S + TOKEN_S_PER_RUNNING * (len(self._ends) + 1)
            end_s = now_s + FIRST_TOKEN_S + work.tokens * token_s
            heapq.heappush(self._ends, (end_s, order, work))

    def _run_until(self, limit_s: float) -> None:
        while self._ends and self._ends[0][0] <= limit_s:
            now_s, _, work = heapq.heappop(self._ends)
            self._note(work, now_s)
            self._start(now_s)
            if work.is_job and self._is_deferred:
                entry = self._works[work.name][1]
                self._queues[entry].remove(RequestId(work.name))
                self._take(entry, now_s)

    def _note(self, work: _Work, now_s: float) -> None:
        if work.is_job:
            self._trace.done += 1
            self._trace.late += now_s > work.deadline_s
        else:
            self._trace.till_s.append(now_s - work.at_s)


def _get_percentile(trace: _Trace, share: int) -> float:
    ordered = sorted(trace.till_s)
    return ordered[len(ordered) * share // 100]


def _get_figures(trace: _Trace) -> dict[str, float]:
    return {
        "till_p50_ms": _get_percentile(trace, 50) * 1000,
        "till_p95_ms": _get_percentile(trace, 95) * 1000,
        "till_p99_ms": _get_percentile(trace, 99) * 1000,
        "jobs_done": trace.done,
        "jobs_late": trace.late,
        "jobs_refused": trace.refused,
    }

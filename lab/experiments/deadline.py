"""Runs deferrable jobs and interactive till lookups in one pool of engines.

The pool runs on a simulated clock. Each slot is either free or occupied, each
running request slows down the tokens of all requests slightly, and the engine
starts the waiting request with the highest priority first. Jobs arrive in the
evening with deadlines before the shops open; some deadlines are infeasible.
Three simulations run the same till lookups: without jobs, with all jobs
submitted on arrival at the same priority as the lookups (the baseline), and
with the product's `DeferralQueue` in each entry. The speed of a request is
fixed when it starts.
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
LOOKUPS_PER_S = 70.0
RUSH_LOOKUPS_PER_S = 130.0
RUSH_S = (300.0, 360.0)
LOOKUP_TOKENS = 24
JOBS = 700
JOB_TOKENS = (100, 800)
ARRIVALS_S = 60.0
MAX_RATIO = 1.1


@dataclasses.dataclass(frozen=True)
class _Work:
    arrived_s: float
    name: str
    tokens: int
    deadline_s: float = 0.0

    @property
    def is_job(self) -> bool:
        return self.deadline_s > 0


@dataclasses.dataclass
class _Trace:
    lookup_latencies_s: list[float] = dataclasses.field(default_factory=list)
    late_jobs: int = 0
    finished_jobs: int = 0
    refused_jobs: int = 0


def run(seed: int) -> Result:
    """Runs the three simulations on the same lookups and jobs.

    The result is ok if the product finishes no job late, finishes or refuses
    each of them, and raises the percentiles of the lookups' latency to at most
    `MAX_RATIO` times those without jobs.
    """
    rng = random.Random(seed)
    lookups, jobs = _make_lookups(rng), _make_jobs(rng)
    without_jobs = _Pool(False).simulate(lookups)
    baseline = _Pool(False).simulate(
        sorted([*lookups, *jobs], key=_get_arrival_s)
    )
    product = _Pool(True).simulate(
        sorted([*lookups, *jobs], key=_get_arrival_s)
    )
    ratios = {
        f"p{share}": _get_percentile(product, share)
        / _get_percentile(without_jobs, share)
        for share in (50, 95, 99)
    }
    ok = (
        product.late_jobs == 0
        and product.finished_jobs + product.refused_jobs == JOBS
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
            "till_alone": _get_figures(without_jobs),
            "till_ratios": ratios,
            "jobs": JOBS,
            "slots": SLOTS,
            "slots_for_jobs": ENTRIES * SLOTS_OF_ENTRY,
        },
    )


def _get_arrival_s(work: _Work) -> float:
    return work.arrived_s


def _make_lookups(rng: random.Random) -> list[_Work]:
    works: list[_Work] = []
    now_s = 0.0
    while now_s < DURATION_S:
        is_rush = RUSH_S[0] <= now_s < RUSH_S[1]
        now_s += rng.expovariate(
            RUSH_LOOKUPS_PER_S if is_rush else LOOKUPS_PER_S
        )
        tokens = 1 + int(rng.expovariate(1 / LOOKUP_TOKENS))
        works.append(_Work(now_s, f"till-{len(works)}", tokens))
    return works


def _make_jobs(rng: random.Random) -> list[_Work]:
    jobs = []
    for index in range(JOBS):
        arrived_s = rng.uniform(0, ARRIVALS_S)
        deadline_s = rng.uniform(arrived_s + 1, OPENING_S)
        tokens = rng.randint(*JOB_TOKENS)
        jobs.append(_Work(arrived_s, f"job-{index}", tokens, deadline_s))
    return jobs


class _Pool:
    """Engines with the entries' deferral queues if `is_deferred` is set."""

    def __init__(self, is_deferred: bool) -> None:
        token_s_at_full_load = TOKEN_S + TOKEN_S_PER_RUNNING * SLOTS
        spec = SlotSpec(SLOTS_OF_ENTRY, 1 / token_s_at_full_load, FIRST_TOKEN_S)
        self._queues = [
            DeferralQueue(spec, QUEUE_LIMIT) for _ in range(ENTRIES)
        ]
        self._is_deferred = is_deferred
        self._works: dict[str, tuple[_Work, int]] = {}
        self._waiting: list[tuple[int, int, _Work]] = []
        self._running: list[tuple[float, int, _Work]] = []
        self._order = 0
        self._trace = _Trace()

    def simulate(self, works: list[_Work]) -> _Trace:
        for index, work in enumerate(works):
            self._run_until(work.arrived_s)
            if work.is_job and self._is_deferred:
                self._offer_job(work, index % ENTRIES)
            else:
                self._submit(work, 0, work.arrived_s)
        self._run_until(float("inf"))
        return self._trace

    def _offer_job(self, work: _Work, entry: int) -> None:
        name = RequestId(work.name)
        self._works[work.name] = work, entry
        job = DeferredRequest(work.deadline_s, name, work.tokens)
        if not self._queues[entry].try_enqueue(job, work.arrived_s):
            self._trace.refused_jobs += 1
        self._submit_due_jobs(entry, work.arrived_s)

    def _submit_due_jobs(self, entry: int, now_s: float) -> None:
        while (job := self._queues[entry].start_next(now_s)) is not None:
            self._submit(self._works[job.request_id][0], 1, now_s)

    def _submit(self, work: _Work, priority: int, now_s: float) -> None:
        self._order += 1
        heapq.heappush(self._waiting, (priority, self._order, work))
        self._start_waiting(now_s)

    def _start_waiting(self, now_s: float) -> None:
        while self._waiting and len(self._running) < SLOTS:
            _, order, work = heapq.heappop(self._waiting)
            token_s = TOKEN_S + TOKEN_S_PER_RUNNING * (len(self._running) + 1)
            end_s = now_s + FIRST_TOKEN_S + work.tokens * token_s
            heapq.heappush(self._running, (end_s, order, work))

    def _run_until(self, limit_s: float) -> None:
        while self._running and self._running[0][0] <= limit_s:
            now_s, _, work = heapq.heappop(self._running)
            self._record_completion(work, now_s)
            self._start_waiting(now_s)
            if work.is_job and self._is_deferred:
                entry = self._works[work.name][1]
                self._queues[entry].remove(RequestId(work.name))
                self._submit_due_jobs(entry, now_s)

    def _record_completion(self, work: _Work, now_s: float) -> None:
        if work.is_job:
            self._trace.finished_jobs += 1
            self._trace.late_jobs += now_s > work.deadline_s
        else:
            self._trace.lookup_latencies_s.append(now_s - work.arrived_s)


def _get_percentile(trace: _Trace, share: int) -> float:
    sorted_s = sorted(trace.lookup_latencies_s)
    return sorted_s[len(sorted_s) * share // 100]


def _get_figures(trace: _Trace) -> dict[str, float]:
    return {
        "till_p50_ms": _get_percentile(trace, 50) * 1000,
        "till_p95_ms": _get_percentile(trace, 95) * 1000,
        "till_p99_ms": _get_percentile(trace, 99) * 1000,
        "jobs_done": trace.finished_jobs,
        "jobs_late": trace.late_jobs,
        "jobs_refused": trace.refused_jobs,
    }

"""Compares the product's time to first token with round robin, under load.

Engines with continuous batching are modelled by their steps: each step
generates one token for every running request and takes longer the more
requests run. A request that finds the batch full waits. As in the product,
entries know the load in the last heartbeat and the requests that they have
sent since then. Both sides get the same arrivals, sizes and engines.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections import deque
from collections.abc import Callable

import numpy as np

from lab.experiments import Result
from lovagestage.decisions.routing import UpstreamView, choose_upstream
from lovagestage.types import VmId, ZoneId

ENGINES = 16
ENTRIES = 4
BATCH = 16
STEP_BASE_S = 0.020
STEP_PER_RUNNING_S = 0.0005
PREFILL_S = 0.030
MEAN_TOKENS = 80
TOKENS_SIGMA = 1.0
HEARTBEAT_S = 0.5
DURATION_S = 90.0
WARM_UP_S = 10.0
LOADS = (0.70, 0.85, 0.95)
SLOW_FACTOR = 3.0
BURST_FACTOR = 2.0
BURST_S = (40.0, 45.0)
GOAL = 0.6
VERSION = "small@1"

Choose = Callable[["_Entry", int], int]


@dataclasses.dataclass
class _Job:
    arrived_s: float
    tokens: int
    entry: int
    first_token_s: float = -1.0


@dataclasses.dataclass
class _Engine:
    slowdown: float = 1.0
    running: list[_Job] = dataclasses.field(default_factory=list)
    tokens_left: list[int] = dataclasses.field(default_factory=list)
    queue: deque[_Job] = dataclasses.field(default_factory=deque)
    is_stepping: bool = False
    interval_s: float = STEP_BASE_S

    @property
    def outstanding(self) -> int:
        return len(self.running) + len(self.queue)


@dataclasses.dataclass
class _Entry:
    """State view of one entry: the latest heartbeats and its own requests."""

    number: int
    rng: random.Random
    reported: list[int]
    interval_ms: list[float]
    own_outstanding: list[int]
    own_outstanding_at_heartbeat: list[int]
    last_choices: list[int]
    choice_count: int = 0


@dataclasses.dataclass(frozen=True)
class _Case:
    name: str
    load: float
    slow: bool = False
    burst: bool = False


CASES = (
    *(_Case(f"load_{round(load * 100)}", load) for load in LOADS),
    _Case("slow_upstream", 0.70, slow=True),
    _Case("burst", 0.70, burst=True),
)


def run(seed: int) -> Result:
    """Runs every load case with round robin and with the product's choice."""
    baseline, product, ratios = {}, {}, {}
    for case in CASES:
        jobs = _make_jobs(case, seed)
        naive_ms = _measure_percentiles_ms(
            case, jobs, _choose_round_robin, seed
        )
        product_ms = _measure_percentiles_ms(
            case, jobs, _choose_by_product, seed
        )
        baseline[case.name], product[case.name] = naive_ms, product_ms
        ratios[case.name] = {
            name: product_ms[name] / naive_ms[name] for name in product_ms
        }
    worst_p99_ratio = max(r["p99"] for r in ratios.values())
    ok = all(r[p] <= GOAL for r in ratios.values() for p in ("p95", "p99"))
    return Result(
        "latency",
        seed,
        baseline,
        product,
        worst_p99_ratio,
        ok,
        {"ratios": ratios},
    )


def _get_capacity() -> float:
    """Returns the requests a second that all engines together can handle."""
    step_s = STEP_BASE_S + STEP_PER_RUNNING_S * BATCH
    per_request_s = MEAN_TOKENS * step_s / BATCH + PREFILL_S
    return ENGINES / per_request_s


def _make_jobs(case: _Case, seed: int) -> list[_Job]:
    rng = np.random.default_rng(seed)
    rate = case.load * _get_capacity()
    mu = np.log(MEAN_TOKENS) - TOKENS_SIGMA**2 / 2
    jobs, now_s = [], 0.0
    while now_s < DURATION_S:
        in_burst = case.burst and BURST_S[0] <= now_s < BURST_S[1]
        now_s += rng.exponential(1 / (rate * (BURST_FACTOR if in_burst else 1)))
        tokens = max(1, round(rng.lognormal(mu, TOKENS_SIGMA)))
        jobs.append(_Job(now_s, min(tokens, 2000), int(rng.integers(ENTRIES))))
    return jobs


def _choose_round_robin(entry: _Entry, _: int) -> int:
    entry.choice_count += 1
    return entry.choice_count % ENGINES


def _choose_by_product(entry: _Entry, _: int) -> int:
    views = [
        UpstreamView(
            VmId(str(index)),
            ZoneId("zone"),
            frozenset((VERSION,)),
            max(
                0,
                entry.reported[index]
                + entry.own_outstanding[index]
                - entry.own_outstanding_at_heartbeat[index],
            ),
            BATCH * 8,
            BATCH,
            entry.interval_ms[index],
            entry.last_choices[index],
        )
        for index in range(ENGINES)
    ]
    vm = choose_upstream(views, VERSION, frozenset(), entry.rng)
    assert vm is not None
    entry.choice_count += 1
    entry.last_choices[int(vm)] = entry.choice_count
    return int(vm)


def _measure_percentiles_ms(
    case: _Case, jobs: list[_Job], choose: Choose, seed: int
) -> dict[str, float]:
    finished = _simulate(
        case, [dataclasses.replace(job) for job in jobs], choose, seed
    )
    times_s = [
        job.first_token_s - job.arrived_s
        for job in finished
        if job.first_token_s >= 0 and job.arrived_s >= WARM_UP_S
    ]
    return {
        f"p{p}": float(np.percentile(times_s, p)) * 1000 for p in (50, 95, 99)
    }


def _simulate(
    case: _Case, jobs: list[_Job], choose: Choose, seed: int
) -> list[_Job]:
    engines = [_Engine() for _ in range(ENGINES)]
    if case.slow:
        engines[0].slowdown = SLOW_FACTOR
    rng = random.Random(seed)
    entries = [
        _Entry(
            number,
            random.Random(seed * 100 + number),
            [0] * ENGINES,
            [STEP_BASE_S * 1000] * ENGINES,
            [0] * ENGINES,
            [0] * ENGINES,
            [-position for position in rng.sample(range(ENGINES), ENGINES)],
        )
        for number in range(ENTRIES)
    ]
    events: list[tuple[float, int, str, int]] = []
    for order, job in enumerate(jobs):
        heapq.heappush(events, (job.arrived_s, order, "arrive", order))
    order = len(jobs)
    for index in range(ENGINES):
        phase_s = HEARTBEAT_S * index / ENGINES
        heapq.heappush(events, (phase_s, order, "heartbeat", index))
        order += 1
    while events:
        now_s, _, kind, index = heapq.heappop(events)
        order += 1
        if kind == "arrive":
            job = jobs[index]
            chosen = choose(entries[job.entry], index)
            entries[job.entry].own_outstanding[chosen] += 1
            engine = engines[chosen]
            engine.queue.append(job)
            if not engine.is_stepping:
                engine.is_stepping = True
                heapq.heappush(events, (now_s, order, "step", chosen))
        elif kind == "heartbeat":
            _deliver_heartbeat(engines[index], index, entries)
            if now_s < DURATION_S:
                due_s = now_s + HEARTBEAT_S
                heapq.heappush(events, (due_s, order, "heartbeat", index))
        else:
            step_s = _run_step(engines[index], index, now_s, entries)
            if step_s > 0:
                due_s = now_s + step_s
                heapq.heappush(events, (due_s, order, "step", index))
    return jobs


def _deliver_heartbeat(
    engine: _Engine, index: int, entries: list[_Entry]
) -> None:
    for entry in entries:
        entry.reported[index] = engine.outstanding
        entry.interval_ms[index] = engine.interval_s * 1000
        entry.own_outstanding_at_heartbeat[index] = entry.own_outstanding[index]


def _run_step(
    engine: _Engine, index: int, now_s: float, entries: list[_Entry]
) -> float:
    """Runs one step: one token for each running request of an engine.

    Returns:
        Seconds until the next step; 0.0 if no request is left.
    """
    still_running = []
    for job, tokens_left in zip(
        engine.running, engine.tokens_left, strict=True
    ):
        if job.first_token_s < 0:
            job.first_token_s = now_s
        if tokens_left > 1:
            still_running.append((job, tokens_left - 1))
        else:
            entries[job.entry].own_outstanding[index] -= 1
    prefills = 0
    while engine.queue and len(still_running) < BATCH:
        job = engine.queue.popleft()
        still_running.append((job, job.tokens))
        prefills += 1
    engine.running = [job for job, _ in still_running]
    engine.tokens_left = [tokens_left for _, tokens_left in still_running]
    if not still_running:
        engine.is_stepping = False
        return 0.0
    step_s = engine.slowdown * (
        STEP_BASE_S
        + STEP_PER_RUNNING_S * len(still_running)
        + PREFILL_S * prefills
    )
    engine.interval_s = 0.9 * engine.interval_s + 0.1 * step_s
    return step_s

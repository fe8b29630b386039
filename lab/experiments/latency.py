"""Time to first token under load: the product's choice against round robin.

Engines that batch continuously are modelled by their steps: each step gives
every running request one token and takes longer the more of them run; a
request that finds the batch full waits. Entries see what a heartbeat said
some time ago and what they have sent themselves since, as the product does,
and both sides get the same arrivals, sizes and engines.
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
    first_s: float = -1.0


@dataclasses.dataclass
class _Engine:
    factor: float = 1.0
    running: list[_Job] = dataclasses.field(default_factory=list)
    left: list[int] = dataclasses.field(default_factory=list)
    queue: deque[_Job] = dataclasses.field(default_factory=deque)
    stepping: bool = False
    interval_s: float = STEP_BASE_S

    @property
    def outstanding(self) -> int:
        return len(self.running) + len(self.queue)


@dataclasses.dataclass
class _Entry:
    """What one entry knows: the latest heartbeats, and its own requests."""

    number: int
    rng: random.Random
    reported: list[int]
    interval_ms: list[float]
    own: list[int]
    own_at_heartbeat: list[int]
    last_sent: list[int]
    turn: int = 0


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
    """Runs every case on both sides."""
    baseline, product, ratios = {}, {}, {}
    for case in CASES:
        jobs = _make_jobs(case, seed)
        naive = _measure(case, jobs, _choose_in_turn, seed)
        own = _measure(case, jobs, _choose_by_product, seed)
        baseline[case.name], product[case.name] = naive, own
        ratios[case.name] = {name: own[name] / naive[name] for name in own}
    worst = max(r["p99"] for r in ratios.values())
    ok = all(r[p] <= GOAL for r in ratios.values() for p in ("p95", "p99"))
    return Result(
        "latency", seed, baseline, product, worst, ok, {"ratios": ratios}
    )


def _get_capacity() -> float:
    """Requests a second that all engines can take."""
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


def _choose_in_turn(entry: _Entry, _: int) -> int:
    entry.turn += 1
    return entry.turn % ENGINES


def _choose_by_product(entry: _Entry, _: int) -> int:
    views = [
        UpstreamView(
            VmId(str(index)),
            ZoneId("zone"),
            frozenset((VERSION,)),
            max(
                0,
                entry.reported[index]
                + entry.own[index]
                - entry.own_at_heartbeat[index],
            ),
            BATCH * 8,
            BATCH,
            entry.interval_ms[index],
            entry.last_sent[index],
        )
        for index in range(ENGINES)
    ]
    vm = choose_upstream(views, VERSION, frozenset(), entry.rng)
    assert vm is not None
    entry.turn += 1
    entry.last_sent[int(vm)] = entry.turn
    return int(vm)


def _measure(
    case: _Case, jobs: list[_Job], choose: Choose, seed: int
) -> dict[str, float]:
    done = _simulate(
        case, [dataclasses.replace(job) for job in jobs], choose, seed
    )
    times_s = [
        job.first_s - job.arrived_s
        for job in done
        if job.first_s >= 0 and job.arrived_s >= WARM_UP_S
    ]
    return {
        f"p{p}": float(np.percentile(times_s, p)) * 1000 for p in (50, 95, 99)
    }


def _simulate(
    case: _Case, jobs: list[_Job], choose: Choose, seed: int
) -> list[_Job]:
    engines = [_Engine() for _ in range(ENGINES)]
    if case.slow:
        engines[0].factor = SLOW_FACTOR
    rng = random.Random(seed)
    entries = [
        _Entry(
            number,
            random.Random(seed * 100 + number),
            [0] * ENGINES,
            [STEP_BASE_S * 1000] * ENGINES,
            [0] * ENGINES,
            [0] * ENGINES,
            [-place for place in rng.sample(range(ENGINES), ENGINES)],
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
            entries[job.entry].own[chosen] += 1
            engine = engines[chosen]
            engine.queue.append(job)
            if not engine.stepping:
                engine.stepping = True
                heapq.heappush(events, (now_s, order, "step", chosen))
        elif kind == "heartbeat":
            _hear(engines[index], index, entries)
            if now_s < DURATION_S:
                due_s = now_s + HEARTBEAT_S
                heapq.heappush(events, (due_s, order, "heartbeat", index))
        else:
            step_s = _step(engines[index], index, now_s, entries)
            if step_s > 0:
                due_s = now_s + step_s
                heapq.heappush(events, (due_s, order, "step", index))
    return jobs


def _hear(engine: _Engine, index: int, entries: list[_Entry]) -> None:
    for entry in entries:
        entry.reported[index] = engine.outstanding
        entry.interval_ms[index] = engine.interval_s * 1000
        entry.own_at_heartbeat[index] = entry.own[index]


def _step(
    engine: _Engine, index: int, now_s: float, entries: list[_Entry]
) -> float:
    """Gives each running request a token; seconds until the next step."""
    kept = []
    for job, left in zip(engine.running, engine.left, strict=True):
        if job.first_s < 0:
            job.first_s = now_s
        if left > 1:
            kept.append((job, left - 1))
        else:
            entries[job.entry].own[index] -= 1
    prefills = 0
    while engine.queue and len(kept) < BATCH:
        job = engine.queue.popleft()
        kept.append((job, job.tokens))
        prefills += 1
    engine.running = [job for job, _ in kept]
    engine.left = [left for _, left in kept]
    if not kept:
        engine.stepping = False
        return 0.0
    step_s = engine.factor * (
        STEP_BASE_S + STEP_PER_RUNNING_S * len(kept) + PREFILL_S * prefills
    )
    engine.interval_s = 0.9 * engine.interval_s + 0.1 * step_s
    return step_s

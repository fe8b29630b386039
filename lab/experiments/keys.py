"""Measures the cost of request keys: added latency, and memory per key.

The baseline is the same request without a key. Requests with and without keys
alternate on the same fleet, so that both run under the same machine load.
"""

from __future__ import annotations

import dataclasses
import http.client
import json
import random
import statistics
import time
import tracemalloc

from lab.experiments import Result
from lab.fleet import Fleet
from lab.shapes import Shape
from lovagestage.decisions.request_keys import KeyLedger
from lovagestage.messages.keys import Claim, RunId
from lovagestage.state.members import MemberId, MemberJoined, MemberView
from lovagestage.types import Offset, RequestId, VmId, WorkspaceId, ZoneId

PAIRS = 300
WARM_UP = 20
KEYS = 20_000
GOAL_MEDIAN_MS = 5.0
SHAPE = Shape("vault", ("lhe-a", "lhe-b"), 3, 2, 0)


@dataclasses.dataclass(frozen=True)
class Latency:
    """Time from sending a request to receiving its complete response.

    Attributes:
        median_ms: Median in milliseconds.
        p99_ms: 99th percentile in milliseconds.
    """

    median_ms: float
    p99_ms: float


def run(seed: int) -> Result:
    """Measures requests with and without keys, and the memory per key."""
    rng = random.Random(seed)
    with Fleet(SHAPE) as fleet:
        time.sleep(2.0)
        for _ in range(WARM_UP):
            _measure_request_ms(fleet, rng, True)
        plain_ms, keyed_ms = [], []
        for _ in range(PAIRS):
            plain_ms.append(_measure_request_ms(fleet, rng, False))
            keyed_ms.append(_measure_request_ms(fleet, rng, True))
    plain, keyed = _summarize(plain_ms), _summarize(keyed_ms)
    return Result(
        "keys",
        seed,
        dataclasses.asdict(plain),
        dataclasses.asdict(keyed),
        round(keyed.median_ms / plain.median_ms, 3),
        keyed.median_ms - plain.median_ms < GOAL_MEDIAN_MS,
        {
            "pairs": PAIRS,
            "entries": SHAPE.entries,
            "ledger_bytes_per_key": measure_bytes_per_key(),
        },
    )


def measure_bytes_per_key() -> float:
    """Returns the memory of a ledger in bytes per key."""
    view = MemberView()
    vm = VmId("entry-0")
    view.apply(Offset(0), MemberJoined(vm, ZoneId("a"), 1, ""))
    ledger = KeyLedger(MemberId(vm, 1), KEYS, 1.0)
    ledger.apply_view(view)
    tracemalloc.start()
    for number in range(KEYS):
        ledger.claim(view, _make_claim(view, number), 0.0, 0)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(allocated_bytes / ledger.size, 1)


def _make_claim(view: MemberView, number: int) -> Claim:
    run_id = RunId(
        RequestId(f"{number:032x}"), 1, VmId(f"sidecar-{number}"), 1, number
    )
    return Claim(
        view.epoch,
        WorkspaceId(f"workspace-{number}"),
        f"{number:036x}",
        number.to_bytes(16, "big"),
        run_id,
        f"large@{number}",
        repeatable=False,
    )


def _measure_request_ms(fleet: Fleet, rng: random.Random, keyed: bool) -> float:
    entry = rng.choice(fleet.entries)
    prompt = f"Draft {rng.random()}"
    body = {
        "model": "small@1",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 1,
    }
    headers = {"Authorization": "Bearer key-audit"}
    if keyed:
        headers["Idempotency-Key"] = f"{rng.getrandbits(128):032x}"
    connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=30)
    started_s = time.perf_counter()
    connection.request(
        "POST", "/v1/chat/completions", json.dumps(body), headers
    )
    response = connection.getresponse()
    response.read()
    spent_ms = (time.perf_counter() - started_s) * 1000
    connection.close()
    if response.status != 200:
        raise RuntimeError(f"Expected status 200, found {response.status}.")
    return spent_ms


def _summarize(times_ms: list[float]) -> Latency:
    percentiles = statistics.quantiles(times_ms, n=100)
    return Latency(
        round(statistics.median(times_ms), 2), round(percentiles[98], 2)
    )

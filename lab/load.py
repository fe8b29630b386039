"""Open-loop load generator with latency histograms.

Requests start at times drawn in advance, whether or not earlier requests have
ended, and latency is measured from the drawn time. A stall of the system thus
counts for every request that would have waited (no coordinated omission).
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import sys
import time
from collections import Counter

import aiohttp
import numpy as np
from hdrh.histogram import HdrHistogram

HISTOGRAM_MAX_US = 600_000_000
"""Largest latency in microseconds that a histogram can record."""
HISTOGRAM_DIGITS = 3
"""Number of significant digits of recorded latencies."""
PROGRESS_S = 1.0
"""Interval in seconds between two progress lines."""
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True)
class Target:
    """Destination and content of the requests.

    Attributes:
        urls: Base URLs, used round robin.
        key: API key; empty for an engine.
        model: Value of the request's `model` field.
        tokens: Value of the request's `max_tokens` field.
        prompt: Text of the user message.
    """

    urls: tuple[str, ...]
    key: str
    model: str
    tokens: int
    prompt: str = "Explain the failed snapshot of Tuesday night"


class Recorder:
    """Latency histograms and outcome counts of one load.

    Attributes:
        first_token: Microseconds from the due time to the first data.
        between: Microseconds between successive reads of data.
        total: Microseconds from the due time to the end of the answer.
        answers: Number of requests by outcome: `whole`, `cut`, `lost`, or the
            HTTP status of a refusal.
    """

    def __init__(self) -> None:
        self.first_token = _make_histogram()
        self.between = _make_histogram()
        self.total = _make_histogram()
        self.answers: Counter[str] = Counter()

    def get_summary(self) -> dict[str, object]:
        """Returns latency percentiles in milliseconds and counts by outcome."""
        return {
            "answers": dict(self.answers),
            "first_token_ms": _get_percentiles(self.first_token),
            "between_tokens_ms": _get_percentiles(self.between),
            "total_ms": _get_percentiles(self.total),
        }


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)


def _get_percentiles(histogram: HdrHistogram) -> dict[str, float]:
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1e3
        for percentile in PERCENTILES
    }


def make_arrivals(
    rate_per_s: float, duration_s: float, seed: int
) -> list[float]:
    """Draws Poisson arrival times in seconds from the start, sorted."""
    rng = np.random.default_rng(seed)
    count = rng.poisson(rate_per_s * duration_s)
    return sorted(float(t) for t in rng.uniform(0.0, duration_s, count))


async def run_stream(
    session: aiohttp.ClientSession,
    target: Target,
    index: int,
    due_s: float,
    recorder: Recorder,
) -> None:
    """Sends one streamed request and records its latencies and outcome.

    Args:
        session: HTTP client session.
        target: Destination and content of the request.
        index: Number of the request; selects the URL.
        due_s: `time.perf_counter()` at which the request should have started.
        recorder: Recorder of the latencies and the outcome.
    """
    body = {
        "model": target.model,
        "messages": [{"role": "user", "content": target.prompt}],
        "max_tokens": target.tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {target.key}"}
    url = target.urls[index % len(target.urls)]
    try:
        async with session.post(
            f"{url}/v1/chat/completions", json=body, headers=headers
        ) as response:
            if response.status != 200:
                recorder.answers[str(response.status)] += 1
                return
            done = await _read_stream(response, due_s, recorder)
    except (aiohttp.ClientError, TimeoutError):
        recorder.answers["lost"] += 1
        return
    recorder.answers["whole" if done else "cut"] += 1
    recorder.total.record_value(_get_us_since(due_s))


async def _read_stream(
    response: aiohttp.ClientResponse, due_s: float, recorder: Recorder
) -> bool:
    previous_s = 0.0
    tail = b""
    while data := await response.content.readany():
        now_s = time.perf_counter()
        if previous_s == 0.0:
            recorder.first_token.record_value(_get_us_since(due_s))
        else:
            recorder.between.record_value(int((now_s - previous_s) * 1e6) or 1)
        previous_s = now_s
        tail = (tail + data)[-64:]
    return b"[DONE]" in tail


def _get_us_since(start_s: float) -> int:
    return max(1, int((time.perf_counter() - start_s) * 1e6))


async def run_open_loop(
    target: Target,
    arrivals_s: list[float],
    recorder: Recorder,
    show_progress: bool = False,
) -> None:
    """Sends a request at each arrival time and waits for all answers."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        start_s = time.perf_counter()
        tasks = []
        shown_s = 0.0
        for index, arrival_s in enumerate(arrivals_s):
            due_s = start_s + arrival_s
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            tasks.append(
                asyncio.create_task(
                    run_stream(session, target, index, due_s, recorder)
                )
            )
            if show_progress and arrival_s - shown_s > PROGRESS_S:
                shown_s = arrival_s
                print(
                    f"{arrival_s:6.1f} s sent={index + 1}"
                    f" {dict(recorder.answers)}",
                    file=sys.stderr,
                )
        await asyncio.gather(*tasks)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments for the target, rate and duration of the load."""
    parser.add_argument("--url", action="append", required=True)
    parser.add_argument("--key", default="")
    parser.add_argument("--model", required=True)
    parser.add_argument("--tokens", type=int, default=16)
    parser.add_argument("--rate", type=float, default=10.0, help="requests/s")
    parser.add_argument("--duration-s", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="one line of JSON")


def run(args: argparse.Namespace) -> int:
    """Runs the load; returns 0 if every answer was complete, else 1."""
    target = Target(tuple(args.url), args.key, args.model, args.tokens)
    arrivals_s = make_arrivals(args.rate, args.duration_s, args.seed)
    recorder = Recorder()
    asyncio.run(
        run_open_loop(target, arrivals_s, recorder, show_progress=not args.json)
    )
    indent = None if args.json else 2
    print(json.dumps(recorder.get_summary(), indent=indent))
    return 0 if set(recorder.answers) <= {"whole"} else 1

"""Counters, gauges and histograms that a gateway exposes."""

from __future__ import annotations

import asyncio
import re

from lovagestage.gateway.exposition import (
    PREFIX,
    Exposition,
    Series,
    SeriesKind,
)
from lovagestage.gateway.peers import PeerSocket
from tests.gateway_harness import get_free_port
from tests.test_gateway_process import run_gateway_process

SAMPLE = re.compile(r"^([a-z_]+)(?:\{(.*)\})? (-?[0-9.e+-]+|\+Inf)$")
LABEL = re.compile(r'([a-z]+)="([^"]*)"')
LABELS = {PREFIX + s.value.name: set(s.value.labels) for s in Series}


def parse(text):
    """Returns samples by name and labels; fails if the text is malformed."""
    kinds, samples = {}, {}
    for line in text.splitlines():
        if line.startswith("# HELP "):
            continue
        if line.startswith("# TYPE "):
            _, _, name, kind = line.split()
            assert name not in kinds
            kinds[name] = kind
            continue
        match = SAMPLE.match(line)
        assert match, line
        name, labels, value = match.groups()
        pairs = tuple(LABEL.findall(labels or ""))
        assert (name, pairs) not in samples, line
        samples[name, pairs] = float(value)
        base = re.sub("_(bucket|sum|count)$", "", name)
        assert kinds.get(name) or kinds.get(base) == "histogram", line
        expected_labels = LABELS.get(name) or LABELS.get(base, set())
        assert {label for label, _ in pairs} - {"le"} == expected_labels, line
    return samples


def test_every_series_has_a_kind_and_only_its_own_labels():
    exposition = Exposition()
    for series in Series:
        spec = series.value
        labels = ",".join(f'{label}="x"' for label in spec.labels)
        match spec.kind:
            case SeriesKind.COUNTER:
                exposition.count(series, labels)
                assert spec.name.endswith("_total")
            case SeriesKind.HISTOGRAM:
                exposition.observe(series, labels, 0.1)
                assert spec.name.endswith("_seconds")
            case SeriesKind.GAUGE:
                exposition.add_gauge(series, lambda: 2.0)
    samples = parse(exposition.format_text())
    names = {name.removeprefix(PREFIX) for name, _ in samples}
    for series in Series:
        spec = series.value
        is_histogram = spec.kind is SeriesKind.HISTOGRAM
        assert (f"{spec.name}_count" if is_histogram else spec.name) in names


def test_large_counters_lose_no_digits():
    # Guards against rounding large counters. A rounded counter stands still and
    # then jumps, so that rates computed from it are zero first and far too high
    # later.
    exposition = Exposition()
    exposition.count(Series.ATTEMPTS, amount=123_456_789)
    samples = parse(exposition.format_text())
    assert samples[f"{PREFIX}attempts_total", ()] == 123_456_789


def test_omits_gauge_without_value():
    exposition = Exposition()
    exposition.add_gauge(Series.FRESHNESS_CHECK_AGE_S, lambda: None)
    name = f"{PREFIX}{Series.FRESHNESS_CHECK_AGE_S.value.name}"
    assert (name, ()) not in parse(exposition.format_text())


async def test_exposes_store_calls_and_freshness_check_age(tmp_path):
    # The store stops answering. The counter of refused or lost calls must grow,
    # and the age of the last freshness check must rise, so that the outage
    # shows in the metrics before any caller is refused.
    async with run_gateway_process(tmp_path) as harness:
        await harness.call("/safe/x")
        samples = parse(await harness.read_metrics())
        calls = f"{PREFIX}store_calls_total"
        newest = (("call", "newest"), ("outcome", "answered"))
        assert samples[calls, newest] >= 2
        count = f"{PREFIX}store_call_seconds_count"
        assert samples[count, (("call", "newest"),)] >= 2
        assert samples[f"{PREFIX}upstreams", ()] == 1
        assert samples[f"{PREFIX}open_requests", ()] == 0
        age = (f"{PREFIX}proof_age_seconds", ())
        assert 0 <= samples[age] < 5
        harness.store.faults.outage = "503"
        async with asyncio.timeout(10.0):
            while True:
                new_samples = parse(await harness.read_metrics())
                failed = [
                    value
                    for (name, labels), value in new_samples.items()
                    if name == calls and ("outcome", "answered") not in labels
                ]
                if sum(failed) and new_samples[age] > 1.0:
                    break
                await asyncio.sleep(0.1)


async def test_counts_datagrams_both_ways():
    expositions = [Exposition(), Exposition()]
    sockets = [
        PeerSocket(f"127.0.0.1:{get_free_port()}", each) for each in expositions
    ]
    for socket in sockets:
        socket.register(b"kind", lambda data, sender: None)
        await socket.start()
    try:
        sockets[0].send(b"kind", b"12345", sockets[1].own_address)
        async with asyncio.timeout(5.0):
            while not sockets[1].peers:
                await asyncio.sleep(0.01)
    finally:
        for socket in sockets:
            await socket.stop()
    for exposition, way in zip(expositions, ("sent", "received"), strict=True):
        samples = parse(exposition.format_text())
        labels = (("kind", "kind"), ("way", way))
        assert samples[f"{PREFIX}datagrams_total", labels] == 1
        assert samples[f"{PREFIX}datagram_bytes_total", labels] == 9

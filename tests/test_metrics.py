"""Metrics as statsd receives them."""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time

import pytest

from lab.fleet import Fleet
from lab.shapes import SHAPES
from lovagestage.settings import StatsdSettings
from lovagestage.telemetry.metrics import (
    MAX_TIMINGS_PER_SEND,
    SEND_INTERVAL_S,
    SPECS,
    Metric,
    Metrics,
)
from lovagestage.timers import TimerService


def send_and_receive(metrics: Metrics, server: socket.socket) -> list[str]:
    metrics.send()
    lines: list[str] = []
    server.settimeout(0.2)
    try:
        while True:
            lines += server.recv(65536).decode().split("\n")
    except TimeoutError:
        return lines


def post(fleet: Fleet, model: str, stream: bool = False) -> int:
    connection = http.client.HTTPConnection(
        "127.0.0.1", fleet.entries[0].port, timeout=30
    )
    messages = [{"role": "user", "content": "Explain the failed snapshot"}]
    body = {"model": model, "messages": messages, "stream": stream}
    headers = {"Authorization": "Bearer key-trial"}
    connection.request(
        "POST", "/v1/chat/completions", json.dumps(body), headers
    )
    response = connection.getresponse()
    response.read()
    connection.close()
    return response.status


def receive_sums(
    server: socket.socket, expected: dict[str, int], timeout_s: float
) -> tuple[dict[str, int], list[str]]:
    """Sums counters until the expected ones and two more sends have arrived."""
    sums: dict[str, int] = {}
    lines: list[str] = []
    end_s = time.monotonic() + timeout_s
    is_complete = False
    while time.monotonic() < end_s:
        if not is_complete and expected.items() <= sums.items():
            is_complete = True
            end_s = time.monotonic() + 2 * SEND_INTERVAL_S
        for line in server.recv(65536).decode().split("\n"):
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            lines.append(line)
            if kind == "c":
                sums[name] = sums.get(name, 0) + int(value)
    return sums, lines


def test_entry_sends_metrics_of_its_requests():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(10.0)
        statsd = {"port": server.getsockname()[1], "prefix": "p"}
        with Fleet(SHAPES["thin"], statsd=statsd) as fleet:
            assert post(fleet, "small@1") == 200
            assert post(fleet, "small@1", stream=True) == 200
            assert post(fleet, "large@1") == 403
            expected = {
                "p.requests": 3,
                "p.answers": 2,
                "p.refusals.model_not_allowed": 1,
            }
            sums, lines = receive_sums(server, expected, 10.0)
    assert sums == expected
    timers = [line.partition(":")[0] for line in lines if "|ms" in line]
    assert sorted(timers) == ["p.first_chunk", "p.total", "p.total"]
    assert "p.records_refused:0|g" in lines
    assert "p.open_requests:0|g" in lines
    assert any(line.startswith("p.control_offset:") for line in lines)


def test_entry_serves_without_statsd():
    statsd = {"host": "statsd.invalid"}
    with Fleet(SHAPES["thin"], statsd=statsd) as fleet:
        time.sleep(1.5)  # The first send has looked up the host.
        assert post(fleet, "small@1") == 200
        assert post(fleet, "large@1") == 403


@pytest.mark.parametrize("error", [socket.gaierror(-2, "x"), UnicodeError()])
async def test_unknown_host_loses_no_count_and_raises_nothing(
    monkeypatch, error
):
    def raise_error(*args):
        raise error

    metrics = Metrics(StatsdSettings("statsd.invalid"), TimerService())
    with monkeypatch.context() as patch:
        patch.setattr(socket, "getaddrinfo", raise_error)
        metrics.add_to_counter(Metric.REQUESTS)
        metrics.send()
        metrics._resolver.join()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        address = server.getsockname()
        family = (socket.AF_INET, socket.SOCK_DGRAM, 17, "", address)
        monkeypatch.setattr(socket, "getaddrinfo", lambda *args: [family])
        metrics._next_resolve_s = 0.0
        metrics.send()
        metrics._resolver.join()
        assert "lovagestage.requests:1|c" in send_and_receive(metrics, server)


async def test_slow_resolver_does_not_block_sends(monkeypatch):
    lookup_started = threading.Event()
    release_lookup = threading.Event()

    def block_lookup(*args):
        lookup_started.set()
        release_lookup.wait(10.0)
        raise socket.gaierror(-3, "x")

    monkeypatch.setattr(socket, "getaddrinfo", block_lookup)
    metrics = Metrics(StatsdSettings("statsd.invalid"), TimerService())
    started_s = time.monotonic()
    metrics.send()
    metrics._next_resolve_s = 0.0
    first_resolver = metrics._resolver
    metrics.send()
    assert time.monotonic() - started_s < 1.0
    assert lookup_started.wait(5.0)
    assert metrics._resolver is first_resolver
    release_lookup.set()
    first_resolver.join()


async def test_counts_are_added_up_and_timings_bounded():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        port = server.getsockname()[1]
        metrics = Metrics(StatsdSettings(port=port, prefix="p"), TimerService())
        for _ in range(500):
            metrics.add_to_counter(Metric.REFUSALS, "no_capacity")
            metrics.record_timing(Metric.TOTAL, 2.5)
        metrics.set_gauge(Metric.OPEN_REQUESTS, 7)
        lines = send_and_receive(metrics, server)
        second_lines = send_and_receive(metrics, server)
    assert "p.refusals.no_capacity:500|c" in lines
    assert lines.count("p.total:2.500000|ms") == MAX_TIMINGS_PER_SEND
    assert second_lines == ["p.open_requests:7|g"]


def test_every_metric_is_described():
    assert set(SPECS) == set(Metric)

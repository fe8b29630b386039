"""Metrics as statsd gets them."""

from __future__ import annotations

import socket

from lovagestage.metrics import MAX_TIMINGS, SPECS, Metric, Metrics
from lovagestage.settings import StatsdSettings
from lovagestage.timers import TimerService


def receive_all(sent: Metrics, server: socket.socket) -> list[str]:
    sent.send()
    lines: list[str] = []
    server.settimeout(0.2)
    try:
        while True:
            lines += server.recv(65536).decode().split("\n")
    except TimeoutError:
        return lines


async def test_counts_are_added_up_and_timings_bounded():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        port = server.getsockname()[1]
        metrics = Metrics(StatsdSettings(port=port, prefix="p"), TimerService())
        for _ in range(500):
            metrics.count(Metric.REFUSALS, "no_capacity")
            metrics.time(Metric.TOTAL, 2.5)
        metrics.set(Metric.OPEN_REQUESTS, 7)
        lines = receive_all(metrics, server)
        again = receive_all(metrics, server)
    assert "p.refusals.no_capacity:500|c" in lines
    assert lines.count("p.total:2.500000|ms") == MAX_TIMINGS
    assert again == ["p.open_requests:7|g"]


def test_every_metric_is_described():
    assert set(SPECS) == set(Metric)

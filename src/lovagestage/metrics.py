"""Metrics: counted in the process, sent to statsd once a second.

A packet for each event would cost more than a token chunk does; counts are
added up between sends, and of the timings a bounded sample is sent.
"""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter

import statsd

from lovagestage.settings import StatsdSettings
from lovagestage.timers import TimerService

SEND_INTERVAL_S = 1.0
MAX_TIMINGS = 200
"""Timings of one metric sent in an interval; further ones are counted only."""


class MetricKind(enum.Enum):
    """Kinds that statsd knows."""

    COUNTER = "counter"
    TIMER = "timer"
    GAUGE = "gauge"


@dataclasses.dataclass(frozen=True)
class MetricSpec:
    """What a metric is.

    Attributes:
        kind: Kind of statsd.
        unit: Unit of its values.
        text: What it counts.
    """

    kind: MetricKind
    unit: str
    text: str


class Metric(enum.Enum):
    """All metrics; the value is the name that statsd gets."""

    REQUESTS = "requests"
    ANSWERS = "answers"
    REFUSALS = "refusals"
    RETRIES = "retries"
    FIRST_CHUNK = "first_chunk"
    TOTAL = "total"
    OPEN_REQUESTS = "open_requests"
    CONTROL_OFFSET = "control_offset"
    RECORDS_REFUSED = "records_refused"


SPECS = {
    Metric.REQUESTS: MetricSpec(
        MetricKind.COUNTER, "requests", "Requests that reached the API."
    ),
    Metric.ANSWERS: MetricSpec(
        MetricKind.COUNTER, "requests", "Requests with a whole answer."
    ),
    Metric.REFUSALS: MetricSpec(
        MetricKind.COUNTER,
        "requests",
        "Requests refused; the error's code is appended to the name.",
    ),
    Metric.RETRIES: MetricSpec(
        MetricKind.COUNTER, "attempts", "Attempts after a request's first."
    ),
    Metric.FIRST_CHUNK: MetricSpec(
        MetricKind.TIMER, "ms", "From the request's head to its first chunk."
    ),
    Metric.TOTAL: MetricSpec(
        MetricKind.TIMER, "ms", "From the request's head to its whole answer."
    ),
    Metric.OPEN_REQUESTS: MetricSpec(
        MetricKind.GAUGE, "requests", "Requests open now."
    ),
    Metric.CONTROL_OFFSET: MetricSpec(
        MetricKind.GAUGE, "records", "Next offset of the control stream."
    ),
    Metric.RECORDS_REFUSED: MetricSpec(
        MetricKind.GAUGE,
        "records",
        "Control records refused as undecodable; over 0 is an alarm.",
    ),
}


class Metrics:
    """Collects values and sends them.

    Args:
        settings: Where statsd is.
        timers: Timer service.
    """

    def __init__(self, settings: StatsdSettings, timers: TimerService) -> None:
        self._client = statsd.StatsClient(
            settings.host, settings.port, prefix=settings.prefix
        )
        self._counts: Counter[str] = Counter()
        self._timings: dict[str, list[float]] = {}
        self._gauges: dict[str, float] = {}
        timers.subscribe(SEND_INTERVAL_S, self.send)

    def count(self, metric: Metric, suffix: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        name = f"{metric.value}.{suffix}" if suffix else metric.value
        self._counts[name] += amount

    def time(self, metric: Metric, value_ms: float) -> None:
        """Adds a timing."""
        values = self._timings.setdefault(metric.value, [])
        if len(values) < MAX_TIMINGS:
            values.append(value_ms)

    def set(self, metric: Metric, value: float) -> None:
        """Sets a gauge."""
        self._gauges[metric.value] = value

    def send(self) -> None:
        """Sends what was collected since the last time."""
        counts, self._counts = self._counts, Counter()
        timings, self._timings = self._timings, {}
        with self._client.pipeline() as pipeline:
            for name, amount in counts.items():
                pipeline.incr(name, amount)
            for name, values in timings.items():
                for value_ms in values:
                    pipeline.timing(name, value_ms)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)


def format_page() -> str:
    """The page docs/METRICS.md, from the specs."""
    rows = [
        f"| `{metric.value}` | {spec.kind.value} | {spec.unit} | {spec.text} |"
        for metric, spec in SPECS.items()
    ]
    return "\n".join(
        [
            "# Metrics",
            "",
            "Generated from `lovagestage.metrics`; sent to statsd once a"
            " second.",
            "",
            "| name | kind | unit | meaning |",
            "|---|---|---|---|",
            *rows,
            "",
        ]
    )

"""Metrics: counted in the process, sent to statsd once a second.

A packet for each event would cost more than a token chunk does; counts are
added up between sends, and of the timings a bounded sample is sent. A statsd
that can't be found or reached costs metrics, never a request.
"""

from __future__ import annotations

import dataclasses
import enum
import ipaddress
import logging
import threading
import time
from collections import Counter

import statsd

from lovagestage.settings import StatsdSettings
from lovagestage.timers import TimerService

_log = logging.getLogger(__name__)

SEND_INTERVAL_S = 1.0
RESOLVE_INTERVAL_S = 30.0
"""Time between look-ups of a host that has no address yet."""
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
        MetricKind.TIMER,
        "ms",
        "From the request's head to its first chunk; streams only.",
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
        self._settings = settings
        self._client: statsd.StatsClient | None = None
        self._resolver: threading.Thread | None = None
        self._resolve_at_s = 0.0
        if _is_address(settings.host):
            self._resolve()
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
        """Sends what was collected since the last time.

        It is kept, bounded, while the host has no address.
        """
        if self._client is None:
            self._start_resolver()
            return
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

    def _start_resolver(self) -> None:
        now_s = time.monotonic()
        is_busy = self._resolver is not None and self._resolver.is_alive()
        if is_busy or now_s < self._resolve_at_s:
            return
        self._resolve_at_s = now_s + RESOLVE_INTERVAL_S
        # The system's resolver blocks for seconds when no name server
        # answers. A daemon thread holds up neither requests nor the exit.
        self._resolver = threading.Thread(target=self._resolve, daemon=True)
        self._resolver.start()

    def _resolve(self) -> None:
        settings = self._settings
        try:
            self._client = statsd.StatsClient(
                settings.host, settings.port, prefix=settings.prefix
            )
        except (OSError, UnicodeError) as error:
            _log.warning(
                "statsd_not_found",
                extra={"host": settings.host, "error": repr(error)},
            )


def _is_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True

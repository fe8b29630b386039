"""Metrics, collected in the process and sent to statsd once a second.

A packet for each event would cost more than the handling of a token chunk.
Counts are therefore summed between sends, and only a bounded number of timings
is sent. If statsd cannot be found or reached, metrics are lost but no request
is affected.
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
"""Seconds between look-ups of a statsd host whose address is not yet known."""
MAX_TIMINGS_PER_SEND = 200
"""Largest number of timings of one metric in an interval; more are dropped."""


class MetricKind(enum.Enum):
    """Kinds of metrics that statsd supports."""

    COUNTER = "counter"
    TIMER = "timer"
    GAUGE = "gauge"


@dataclasses.dataclass(frozen=True)
class MetricSpec:
    """Describes a metric.

    Attributes:
        kind: Kind of the metric in statsd.
        unit: Unit of the values.
        text: Sentence that says what the metric measures.
    """

    kind: MetricKind
    unit: str
    text: str


class Metric(enum.Enum):
    """All metrics; the value of a member is its name in statsd."""

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
    """Collects values of metrics and sends them to statsd.

    Args:
        settings: Address of statsd and prefix of the names.
        timers: Timer service that calls `send` every `SEND_INTERVAL_S`.
    """

    def __init__(self, settings: StatsdSettings, timers: TimerService) -> None:
        self._settings = settings
        self._client: statsd.StatsClient | None = None
        self._resolver: threading.Thread | None = None
        self._next_resolve_s = 0.0
        if _is_ip_address(settings.host):
            self._create_client()
        self._counts: Counter[str] = Counter()
        self._timings: dict[str, list[float]] = {}
        self._gauges: dict[str, float] = {}
        timers.subscribe(SEND_INTERVAL_S, self.send)

    def add_to_counter(
        self, metric: Metric, suffix: str = "", amount: int = 1
    ) -> None:
        """Adds to a counter.

        Args:
            metric: Counter to add to.
            suffix: Appended to the name in statsd, after a dot.
            amount: Number that is added.
        """
        name = f"{metric.value}.{suffix}" if suffix else metric.value
        self._counts[name] += amount

    def record_timing(self, metric: Metric, value_ms: float) -> None:
        """Adds a timing in milliseconds; drops it if too many were added."""
        values = self._timings.setdefault(metric.value, [])
        if len(values) < MAX_TIMINGS_PER_SEND:
            values.append(value_ms)

    def set_gauge(self, metric: Metric, value: float) -> None:
        """Sets the value of a gauge, which is sent in each interval."""
        self._gauges[metric.value] = value

    def send(self) -> None:
        """Sends the values collected since the last send.

        While the address of the statsd host is not known, the values are
        retained; the number of retained timings is bounded.
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
        is_resolving = self._resolver is not None and self._resolver.is_alive()
        if is_resolving or now_s < self._next_resolve_s:
            return
        self._next_resolve_s = now_s + RESOLVE_INTERVAL_S
        # The system's resolver blocks for seconds when no name server
        # answers. A daemon thread delays neither requests nor the exit of the
        # process.
        self._resolver = threading.Thread(
            target=self._create_client, daemon=True
        )
        self._resolver.start()

    def _create_client(self) -> None:
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


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True

"""Counters, gauges and histograms in the Prometheus text format.

The usual client library is avoided because it takes 5.5 MB of resident memory
(VmHWM of an interpreter that imports it), a sixth of this process.
"""

from __future__ import annotations

import bisect
import dataclasses
import enum
from collections.abc import Callable

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
PREFIX = "lovagestage_"
"""Prefix of each metric name."""


class SeriesKind(enum.Enum):
    """Metric types; each value is the type's name in the text format."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclasses.dataclass(frozen=True)
class SeriesSpec:
    """Description of a metric.

    Attributes:
        name: Name without the prefix; ends with the unit.
        kind: Metric type.
        help_text: Help text.
        labels: Names of the labels, each with a bounded number of values.
    """

    name: str
    kind: SeriesKind
    help_text: str
    labels: tuple[str, ...] = ()


class Series(enum.Enum):
    """Metrics that a gateway exposes."""

    REQUESTS = SeriesSpec(
        "requests_total",
        SeriesKind.COUNTER,
        "Requests by kind of route and outcome.",
        ("kind", "outcome"),
    )
    ATTEMPTS = SeriesSpec(
        "attempts_total", SeriesKind.COUNTER, "Attempts at upstreams."
    )
    NOTICED_ATTEMPTS = SeriesSpec(
        "noticed_attempts_total",
        SeriesKind.COUNTER,
        "Attempts at upstreams that state a request limit, have said that they"
        " leave or have asked for a rest.",
        ("notice",),
    )
    LIMITED_UPSTREAMS = SeriesSpec(
        "limited_upstreams",
        SeriesKind.GAUGE,
        "Upstreams that state a request limit.",
    )
    LEAVING_UPSTREAMS = SeriesSpec(
        "leaving_upstreams",
        SeriesKind.GAUGE,
        "Upstreams that have said in an answer that they leave.",
    )
    RESTING_UPSTREAMS = SeriesSpec(
        "resting_upstreams",
        SeriesKind.GAUGE,
        "Upstreams that have asked this gateway for a rest.",
    )
    LINES_DROPPED = SeriesSpec(
        "log_lines_left_out_total",
        SeriesKind.COUNTER,
        "Log lines over budget.",
    )
    ANSWER_S = SeriesSpec(
        "answer_seconds",
        SeriesKind.HISTOGRAM,
        "From a request's head to its end.",
        ("kind",),
    )
    FIRST_EVENT_S = SeriesSpec(
        "first_event_seconds",
        SeriesKind.HISTOGRAM,
        "From a request's head to its stream's first event.",
    )
    STORE_CALLS = SeriesSpec(
        "store_calls_total",
        SeriesKind.COUNTER,
        "Calls to the metadata store; lost is one without a whole answer.",
        ("call", "outcome"),
    )
    STORE_BYTES = SeriesSpec(
        "store_bytes_total",
        SeriesKind.COUNTER,
        "Bodies of the store's answers, also of those that broke off.",
        ("call", "outcome"),
    )
    STORE_CALL_S = SeriesSpec(
        "store_call_seconds",
        SeriesKind.HISTOGRAM,
        "Answered calls to the metadata store, but reads that wait.",
        ("call",),
    )
    DATAGRAMS = SeriesSpec(
        "datagrams_total",
        SeriesKind.COUNTER,
        "Datagrams between gateways.",
        ("kind", "way"),
    )
    DATAGRAM_BYTES = SeriesSpec(
        "datagram_bytes_total",
        SeriesKind.COUNTER,
        "Payload of datagrams between gateways.",
        ("kind", "way"),
    )
    RELAY_QUESTIONS = SeriesSpec(
        "relay_questions_total",
        SeriesKind.COUNTER,
        "Questions to gateways that watch the store.",
        ("outcome",),
    )
    OPEN_REQUESTS = SeriesSpec(
        "open_requests", SeriesKind.GAUGE, "Requests open now."
    )
    LOOP_DELAY_S = SeriesSpec(
        "loop_delay_seconds",
        SeriesKind.GAUGE,
        "How late the event loop's last periodic turn began.",
    )
    SHED_CONNECTIONS = SeriesSpec(
        "shed_connections_total",
        SeriesKind.COUNTER,
        "New connections that were closed unread under overload.",
    )
    SUSPECT_REQUESTS = SeriesSpec(
        "suspect_requests",
        SeriesKind.GAUGE,
        "Requests that were in flight where upstreams crashed lately.",
    )
    SUSPECT_PARTS = SeriesSpec(
        "suspect_parts",
        SeriesKind.GAUGE,
        "Parts of prompts in flight where upstreams crashed lately.",
    )
    CONVICTED_PARTS = SeriesSpec(
        "convicted_parts",
        SeriesKind.GAUGE,
        "Parts of prompts, or sets of them, refused as they crash upstreams.",
    )
    PART_VERDICTS = SeriesSpec(
        "part_verdicts_total",
        SeriesKind.COUNTER,
        "Changes of what is known of parts of prompts.",
        ("verdict",),
    )
    STORE_ERA = SeriesSpec(
        "store_era",
        SeriesKind.GAUGE,
        "Era that the store states; it rises when it comes back from a copy.",
    )
    EVACUATED_ZONES = SeriesSpec(
        "evacuated_zones",
        SeriesKind.GAUGE,
        "Availability zones whose upstreams get nothing.",
    )
    UPSTREAMS = SeriesSpec(
        "upstreams",
        SeriesKind.GAUGE,
        "Upstreams known, leaving ones included.",
    )
    PEERS = SeriesSpec("peers", SeriesKind.GAUGE, "Other gateways known.")
    CONFIGURATION_LAG_S = SeriesSpec(
        "configuration_lag_seconds",
        SeriesKind.GAUGE,
        "How long a newer configuration has been known and not read.",
    )
    FRESHNESS_CHECK_AGE_S = SeriesSpec(
        "proof_age_seconds",
        SeriesKind.GAUGE,
        "Age of the latest proof that the configuration is in force.",
    )


class Exposition:
    """Collects the values of metrics and formats them as text."""

    def __init__(self) -> None:
        self._counts: dict[tuple[Series, str], float] = {}
        self._histograms: dict[tuple[Series, str], _Histogram] = {}
        self._gauges: dict[Series, Callable[[], float | None]] = {}

    def count(
        self, series: Series, labels: str = "", amount: float = 1.0
    ) -> None:
        """Increments a counter.

        Args:
            series: The counter.
            labels: Labels as they are written between braces in the text
                format.
            amount: Increment.
        """
        key = (series, labels)
        self._counts[key] = self._counts.get(key, 0.0) + amount

    def add_gauge(
        self, series: Series, read: Callable[[], float | None]
    ) -> None:
        """Registers a gauge, which is read each time the text is requested.

        Args:
            series: The gauge.
            read: Returns the gauge's value; None if it has none yet.
        """
        self._gauges[series] = read

    def observe(self, series: Series, labels: str, value_s: float) -> None:
        """Adds a value in seconds to a histogram."""
        key = (series, labels)
        self._histograms.setdefault(key, _Histogram()).add(value_s)

    def format_text(self) -> str:
        """Formats all metrics as text, histograms last.

        A collector that truncates the page then still gets all counters and
        gauges, which take a few lines each.
        """
        lines = []
        for series in sorted(Series, key=_is_histogram):
            spec = series.value
            name = PREFIX + spec.name
            lines.append(f"# HELP {name} {spec.help_text}")
            lines.append(f"# TYPE {name} {spec.kind.value}")
            lines += self._format_counts(series)
            lines += self._format_histograms(series)
            lines += self._format_gauge(series)
        return "\n".join(lines) + "\n"

    def _format_gauge(self, series: Series) -> list[str]:
        read = self._gauges.get(series)
        value = None if read is None else read()
        name = PREFIX + series.value.name
        return [] if value is None else [f"{name} {_format_value(value)}"]

    def _format_counts(self, series: Series) -> list[str]:
        name = PREFIX + series.value.name
        return [
            f"{name}{{{labels}}} {_format_value(value)}"
            for (owner, labels), value in self._counts.items()
            if owner is series
        ]

    def _format_histograms(self, series: Series) -> list[str]:
        name = PREFIX + series.value.name
        return [
            line
            for (owner, labels), histogram in self._histograms.items()
            if owner is series
            for line in histogram.format_lines(name, labels)
        ]


def _is_histogram(series: Series) -> bool:
    return series.value.kind is SeriesKind.HISTOGRAM


def _format_value(value: float) -> str:
    return str(int(value)) if value == int(value) else f"{value:.6f}"


class _Histogram:
    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self._sum = 0.0

    def add(self, value: float) -> None:
        self._counts[bisect.bisect_left(BUCKETS_S, value)] += 1
        self._sum += value

    def format_lines(self, name: str, labels: str) -> list[str]:
        lines = []
        total = 0
        prefix = f"{labels}," if labels else ""
        for bound, count in zip(
            (*BUCKETS_S, "+Inf"), self._counts, strict=True
        ):
            total += count
            lines.append(f'{name}_bucket{{{prefix}le="{bound}"}} {total}')
        lines.append(f"{name}_sum{{{labels}}} {self._sum:.6f}")
        lines.append(f"{name}_count{{{labels}}} {total}")
        return lines

"""Counters and latency histograms in the Prometheus text format.

Kept small on purpose: the usual client library takes 5.5 MB of resident
memory (VmHWM of an interpreter that imports it), a sixth of this process.
"""

from __future__ import annotations

import bisect
import enum

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
_PREFIX = "lovagestage_"


class Series(enum.Enum):
    """What is measured; the value is name and description."""

    REQUESTS = ("requests_total", "Requests by kind of route and outcome.")
    ATTEMPTS = ("attempts_total", "Attempts at upstreams.")
    LINES_LEFT_OUT = ("log_lines_left_out_total", "Log lines over budget.")
    ANSWER_S = ("answer_seconds", "From a request's head to its end.")
    FIRST_EVENT_S = ("first_event_seconds", "Until a stream's first event.")


class Exposition:
    """Collects values and writes them as text."""

    def __init__(self) -> None:
        self._counts: dict[tuple[Series, str], float] = {}
        self._histograms: dict[tuple[Series, str], _Histogram] = {}

    def count(self, series: Series, labels: str = "", by: float = 1.0) -> None:
        """Adds to a counter.

        Args:
            series: The counter.
            labels: As written between braces.
            by: What to add.
        """
        key = (series, labels)
        self._counts[key] = self._counts.get(key, 0.0) + by

    def observe(self, series: Series, labels: str, value_s: float) -> None:
        """Adds a value to a histogram."""
        key = (series, labels)
        self._histograms.setdefault(key, _Histogram()).add(value_s)

    def format_text(self) -> str:
        """All series as text."""
        lines = []
        for series in Series:
            name, text = series.value
            lines.append(f"# HELP {_PREFIX}{name} {text}")
            lines += self._format_counts(series)
            lines += self._format_histograms(series)
        return "\n".join(lines) + "\n"

    def _format_counts(self, series: Series) -> list[str]:
        name = _PREFIX + series.value[0]
        return [
            f"{name}{{{labels}}} {value:g}"
            for (kind, labels), value in self._counts.items()
            if kind is series
        ]

    def _format_histograms(self, series: Series) -> list[str]:
        name = _PREFIX + series.value[0]
        return [
            line
            for (kind, labels), histogram in self._histograms.items()
            if kind is series
            for line in histogram.format_lines(name, labels)
        ]


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

"""How often requests fail where no new version is involved."""

from __future__ import annotations

import math

from lovagestage.types import ServiceId

RISK_GAIN = 0.04
"""Weight of the newest answer in a route's failure rate. About the last 25
count, so a fault that hits both versions is known before it is taken for the
new one's."""
RATE_SPAN_S = 8.0
"""Span over which requests are counted; bursts last a few seconds."""


class RiskTable:
    """Failure rates by route, and request rates by service."""

    def __init__(self) -> None:
        self._risks: dict[tuple[ServiceId, str], float] = {}
        self._rates: dict[ServiceId, tuple[float, float]] = {}

    def add(
        self, service: ServiceId, route: str, failed: bool, now_s: float
    ) -> None:
        """Takes an answer of the old version."""
        key = (service, route)
        known = self._risks.get(key, 0.0)
        self._risks[key] = known + RISK_GAIN * (failed - known)
        rate = self.get_rate(service, now_s)
        self._rates[service] = (rate + 1.0 / RATE_SPAN_S, now_s)

    def get(self, service: ServiceId, route: str) -> float:
        """Rate at which requests of a route fail."""
        return self._risks.get((service, route), 0.0)

    def get_rate(self, service: ServiceId, now_s: float) -> float:
        """Answers of a service per second, of this gateway."""
        rate, at_s = self._rates.get(service, (0.0, now_s))
        return rate * math.exp((at_s - now_s) / RATE_SPAN_S)

"""How often requests fail where no new version is involved."""

from __future__ import annotations

import dataclasses
import math

from lovagestage.types import ServiceId

RISK_GAIN = 0.04
"""Weight of the newest answer in a route's failure rate. About the last 25
count, so a fault that hits both versions is known before it is taken for the
new one's."""
RATE_SPAN_S = 8.0
"""Span over which requests are counted; bursts last a few seconds."""
MIN_AGE_S = 1.0
"""A service's first request says nothing of its rate; after a second a few
have come."""


@dataclasses.dataclass(frozen=True)
class _Rate:
    """A decaying count of requests.

    Attributes:
        per_s: The count over its span, as of `at_s`.
        at_s: Elapsed time of the newest request.
        first_s: Elapsed time of the first one.
    """

    per_s: float
    at_s: float
    first_s: float

    def get(self, now_s: float) -> float:
        return self.per_s * math.exp((self.at_s - now_s) / RATE_SPAN_S)


class RiskTable:
    """Failure rates by route, and request rates by service."""

    def __init__(self) -> None:
        self._risks: dict[tuple[ServiceId, str], float] = {}
        self._rates: dict[ServiceId, _Rate] = {}

    def add(
        self, service: ServiceId, route: str, failed: bool, now_s: float
    ) -> None:
        """Takes an answer of the old version."""
        key = (service, route)
        known = self._risks.get(key, 0.0)
        self._risks[key] = known + RISK_GAIN * (failed - known)
        rate = self._rates.get(service, _Rate(0.0, now_s, now_s))
        self._rates[service] = _Rate(
            rate.get(now_s) + 1.0 / RATE_SPAN_S, now_s, rate.first_s
        )

    def get(self, service: ServiceId, route: str) -> float:
        """Rate at which requests of a route fail."""
        return self._risks.get((service, route), 0.0)

    def get_rate(self, service: ServiceId, now_s: float) -> float:
        """Answers of a service per second, of this gateway.

        A count that has not run for its span yet is scaled up: an order that
        came two seconds after the first request took a service for a quarter
        of its size, allowed itself three times the share, and a version that
        turned bad late got more requests than it may.
        """
        rate = self._rates.get(service)
        if rate is None:
            return 0.0
        age_s = max(MIN_AGE_S, now_s - rate.first_s)
        return rate.get(now_s) / (1.0 - math.exp(-age_s / RATE_SPAN_S))

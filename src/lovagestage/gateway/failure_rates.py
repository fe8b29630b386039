"""Failure and request rates, from answers of versions not being rolled out."""

from __future__ import annotations

import dataclasses
import math

from lovagestage.types import ServiceId

FAILURE_RATE_GAIN = 0.04
"""Weight of the newest answer in a route's failure rate. About the last 25
answers count, so that a fault of both versions raises the rate before it is
mistaken for a fault of the new one."""
RATE_SPAN_S = 8.0
"""Time constant in seconds of the decaying request count; bursts last a few
seconds."""
MIN_AGE_S = 1.0
"""Minimum age in seconds that is assumed for a service's request count. A
service's first request alone says nothing about its rate; after a second a few
requests have arrived."""


@dataclasses.dataclass(frozen=True)
class _RequestRate:
    """A request rate with exponential decay.

    Attributes:
        per_s: Requests per second, as of `at_s`.
        at_s: Elapsed time in seconds of the newest request.
        first_s: Elapsed time in seconds of the first request.
    """

    per_s: float
    at_s: float
    first_s: float

    def get(self, now_s: float) -> float:
        return self.per_s * math.exp((self.at_s - now_s) / RATE_SPAN_S)


class FailureRateTable:
    """Failure rates by route, and request rates by service."""

    def __init__(self) -> None:
        self._failure_rates: dict[tuple[ServiceId, str], float] = {}
        self._request_rates: dict[ServiceId, _RequestRate] = {}

    def record_answer(
        self, service: ServiceId, route: str, failed: bool, now_s: float
    ) -> None:
        """Records an answer of a version that is not being rolled out.

        Args:
            service: The service.
            route: Name of the request's route.
            failed: Whether the answer failed or was slow.
            now_s: Elapsed time in seconds.
        """
        self.record_quality(service, route, failed)
        self.record_request(service, now_s)

    def record_quality(
        self, service: ServiceId, key: str, failed: bool
    ) -> None:
        """Records the quality of an answer, which counts as no request.

        Args:
            service: The service.
            key: Route of the request, or the key of its pace.
            failed: Whether the answer failed or was slow.
        """
        previous = self._failure_rates.get((service, key), 0.0)
        self._failure_rates[(service, key)] = previous + FAILURE_RATE_GAIN * (
            failed - previous
        )

    def record_request(self, service: ServiceId, now_s: float) -> None:
        """Records a request, for the rate of requests.

        Args:
            service: The service.
            now_s: Elapsed time in seconds.
        """
        rate = self._request_rates.get(service, _RequestRate(0.0, now_s, now_s))
        self._request_rates[service] = _RequestRate(
            rate.get(now_s) + 1.0 / RATE_SPAN_S, now_s, rate.first_s
        )

    def get_failure_rate(self, service: ServiceId, route: str) -> float:
        """Returns the share of a route's requests that fail, from 0 to 1."""
        return self._failure_rates.get((service, route), 0.0)

    def get_request_rate(self, service: ServiceId, now_s: float) -> float:
        """Returns the service's answers per second at this gateway.

        A count that is younger than its time constant is scaled up. Otherwise
        an order two seconds after the first request would take the service for
        a quarter of its size and give the new version three times the allowed
        share, and a version that becomes faulty late would get more requests
        than it may.
        """
        rate = self._request_rates.get(service)
        if rate is None:
            return 0.0
        age_s = max(MIN_AGE_S, now_s - rate.first_s)
        return rate.get(now_s) / (1.0 - math.exp(-age_s / RATE_SPAN_S))

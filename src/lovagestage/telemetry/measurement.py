"""What is measured of each request at the callers' API."""

from __future__ import annotations

import time

from aiohttp import web
from aiohttp.typedefs import Handler

from lovagestage.exceptions import BodyTooLargeError, RequestRefusedError
from lovagestage.telemetry.metrics import Metric, Metrics

HEALTH_PATH = "/healthz"
"""The balancer's checks are no requests."""


class Measurement:
    """One request, from its head to its end.

    Args:
        metrics: Where values are collected.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._started_at_s = time.monotonic()
        self._is_refused = False
        metrics.count(Metric.REQUESTS)

    def add_first_chunk(self) -> None:
        """The first chunk of a streamed answer is there."""
        self._metrics.time(Metric.FIRST_CHUNK, self._get_elapsed_ms())

    def add_attempts(self, attempts: int) -> None:
        """Counts the attempts after the first."""
        if attempts > 1:
            self._metrics.count(Metric.RETRIES, amount=attempts - 1)

    def add_refusal(self, code: str) -> None:
        """The request is refused, or its stream ends with an error."""
        self._is_refused = True
        self._metrics.count(Metric.REFUSALS, code)

    def end(self) -> None:
        """The answer is whole, unless it ended with an error."""
        if not self._is_refused:
            self._metrics.count(Metric.ANSWERS)
            self._metrics.time(Metric.TOTAL, self._get_elapsed_ms())

    def _get_elapsed_ms(self) -> float:
        return (time.monotonic() - self._started_at_s) * 1000


_MEASUREMENT = web.RequestKey("measurement", Measurement)


def get_measurement(request: web.Request) -> Measurement:
    """The measurement of a request that came through `Meter.measure`."""
    return request[_MEASUREMENT]


class Meter:
    """Measures the requests of an HTTP application.

    Args:
        metrics: Where values are collected.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def set_open_requests(self, count: int) -> None:
        """Sets the number of requests that are open now."""
        self._metrics.set(Metric.OPEN_REQUESTS, count)

    @web.middleware
    async def measure(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Measures one request."""
        if request.path == HEALTH_PATH:
            return await handler(request)
        measurement = Measurement(self._metrics)
        request[_MEASUREMENT] = measurement
        try:
            response = await handler(request)
        except RequestRefusedError as error:
            measurement.add_refusal(error.code)
            raise
        except web.HTTPRequestEntityTooLarge:
            measurement.add_refusal(BodyTooLargeError.code)
            raise
        measurement.end()
        return response

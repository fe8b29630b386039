"""Metrics of the requests at the callers' API."""

from __future__ import annotations

import time

from aiohttp import web
from aiohttp.typedefs import Handler

from lovagestage.exceptions import BodyTooLargeError, RequestRefusedError
from lovagestage.telemetry.metrics import Metric, Metrics

HEALTH_PATH = "/healthz"
"""Path of the load balancer's health checks, which are not measured."""


class Measurement:
    """Measures one request, from its head to its end.

    Args:
        metrics: Collector of the values.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._started_at_s = time.monotonic()
        self._is_refused = False
        metrics.add_to_counter(Metric.REQUESTS)

    def record_first_chunk(self) -> None:
        """Records the time to the first chunk of a streamed answer."""
        self._metrics.record_timing(Metric.FIRST_CHUNK, self._get_elapsed_ms())

    def record_attempts(self, attempts: int) -> None:
        """Records the attempts beyond the first as retries.

        Args:
            attempts: Number of all attempts of the request.
        """
        if attempts > 1:
            self._metrics.add_to_counter(Metric.RETRIES, amount=attempts - 1)

    def record_refusal(self, code: str) -> None:
        """Records that the request was refused or its stream ended in an error.

        Args:
            code: Code of the error.
        """
        self._is_refused = True
        self._metrics.add_to_counter(Metric.REFUSALS, code)

    def end(self) -> None:
        """Records a complete answer, unless an error was recorded before."""
        if not self._is_refused:
            self._metrics.add_to_counter(Metric.ANSWERS)
            self._metrics.record_timing(Metric.TOTAL, self._get_elapsed_ms())

    def _get_elapsed_ms(self) -> float:
        return (time.monotonic() - self._started_at_s) * 1000


_MEASUREMENT = web.RequestKey("measurement", Measurement)


def get_measurement(request: web.Request) -> Measurement:
    """Returns the measurement attached to a request by `RequestMeter`."""
    return request[_MEASUREMENT]


class RequestMeter:
    """Measures the requests of an HTTP application.

    Args:
        metrics: Collector of the values.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def set_open_requests(self, count: int) -> None:
        """Sets the gauge of the requests that are currently open."""
        self._metrics.set_gauge(Metric.OPEN_REQUESTS, count)

    @web.middleware
    async def measure(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Measures one request as a middleware of the application."""
        if request.path == HEALTH_PATH:
            return await handler(request)
        measurement = Measurement(self._metrics)
        request[_MEASUREMENT] = measurement
        try:
            response = await handler(request)
        except RequestRefusedError as error:
            measurement.record_refusal(error.code)
            raise
        except web.HTTPRequestEntityTooLarge:
            measurement.record_refusal(BodyTooLargeError.code)
            raise
        measurement.end()
        return response

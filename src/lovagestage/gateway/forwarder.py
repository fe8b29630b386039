"""Runs admitted requests on upstreams and forwards the answers."""

from __future__ import annotations

import random
from collections.abc import Callable

from lovagestage.gateway.admission import AdmittedRequest
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.configuration import RouteKind
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.crash_detection import SuspectWatch
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.latency import LatencyTable, LoadGauge
from lovagestage.gateway.plain_runs import forward_plain
from lovagestage.gateway.prefill import PrefillTimes
from lovagestage.gateway.retry_budget import ServiceRetryBudget
from lovagestage.gateway.runs import RunContext, end_request
from lovagestage.gateway.settings import Bounds, GatewaySettings
from lovagestage.gateway.share_exchange import LoanSource
from lovagestage.gateway.sinks import AnswerSink, EvidenceSink
from lovagestage.gateway.stream_runs import forward_stream
from lovagestage.types import ServiceId


class Forwarder:
    """Forwards admitted requests to upstreams.

    Args:
        settings: Settings of the process.
        deployment: Configuration and upstreams that are in force.
        pool: Connections to upstreams.
        evidence: Receives evidence for or against versions.
        suspects: Tracks requests that may crash upstreams.
        rng: Source of randomness.
        count_gateways: Returns the number of gateways, this one included; None
            if gateways cannot exchange messages.
        loans: Borrows shares of request limits from other gateways.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        deployment: Deployment,
        pool: ConnectionPool,
        evidence: EvidenceSink,
        suspects: SuspectWatch,
        rng: random.Random,
        count_gateways: Callable[[], int | None],
        loans: LoanSource,
    ) -> None:
        self._count_gateways = count_gateways
        self._started_s = get_elapsed_s()
        self._zone = settings.zone
        self._bounds = settings.bounds
        self._deployment = deployment
        self._rng = rng
        self._budgets: dict[ServiceId, ServiceRetryBudget] = {}
        self._context = RunContext(
            pool,
            deployment.guard,
            evidence,
            LatencyTable(),
            PrefillTimes(),
            LoadGauge(),
            suspects,
            loans,
        )

    def make_attempts(self, admitted: AdmittedRequest) -> Attempts:
        """Counts a request in the retry budget and prepares its attempts."""
        budget = self._get_budget(admitted.service)
        budget.record_request(get_elapsed_s(), self._count_gateways())
        return Attempts(
            admitted, self._deployment, budget, self._zone, self._rng
        )

    async def forward(self, attempts: Attempts, sink: AnswerSink) -> None:
        """Runs a request and sends its answer to the sink.

        Args:
            attempts: Attempts of the request.
            sink: Receives the answer.

        Raises:
            GatewayRefusalError: No upstream gave an answer that can be
                forwarded.
            AttemptFailedError: A stream broke off after it had started.
        """
        is_whole = False
        try:
            if attempts.admitted.route.kind is RouteKind.STREAM:
                await forward_stream(self._context, attempts, sink)
            else:
                await forward_plain(self._context, attempts, sink)
            is_whole = True
        finally:
            attempts.permit.cancel_reservation()
            end_request(self._context, attempts, is_whole)

    def apply_bounds(self, bounds: Bounds) -> None:
        """Applies new limits; all retry budgets start again."""
        self._bounds = bounds
        self._budgets.clear()

    def _get_budget(self, service: ServiceId) -> ServiceRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = ServiceRetryBudget(
                get_elapsed_s(),
                self._bounds.retry_ratio,
                self._bounds.retry_window_s,
                self._bounds.retry_slack,
                self._started_s,
                self._count_gateways(),
            )
            self._budgets[service] = budget
        return budget

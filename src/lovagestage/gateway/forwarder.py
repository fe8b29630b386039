"""Runs admitted requests on upstreams and passes their answers on."""

from __future__ import annotations

import random
from collections.abc import Callable

from lovagestage.gateway.admission import Admitted
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.configuration import RouteKind
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.latency import LatencyTable, LoadGauge
from lovagestage.gateway.plain import forward_plain
from lovagestage.gateway.reading import ReadingTimes
from lovagestage.gateway.repeats import RepeatBudget
from lovagestage.gateway.runs import RunParts
from lovagestage.gateway.settings import Bounds, GatewaySettings
from lovagestage.gateway.sinks import AnswerSink, EvidenceSink
from lovagestage.gateway.stream_runs import forward_stream
from lovagestage.gateway.suspects import SuspectWatch
from lovagestage.types import ServiceId


class Forwarder:
    """Forwards requests.

    Args:
        settings: Settings of the process.
        deployment: What is in force.
        pool: Connections to upstreams.
        evidence: Takes what is seen of versions.
        suspects: Requests that may crash upstreams.
        rng: Source of randomness.
        get_gateways: Counts the gateways, this one included; None where they
            cannot hear of each other.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        deployment: Deployment,
        pool: ConnectionPool,
        evidence: EvidenceSink,
        suspects: SuspectWatch,
        rng: random.Random,
        get_gateways: Callable[[], int | None],
    ) -> None:
        self._get_gateways = get_gateways
        self._started_s = get_elapsed_s()
        self._zone = settings.zone
        self._bounds = settings.bounds
        self._deployment = deployment
        self._rng = rng
        self._budgets: dict[ServiceId, RepeatBudget] = {}
        self._parts = RunParts(
            pool,
            evidence,
            LatencyTable(),
            ReadingTimes(),
            LoadGauge(),
            suspects,
        )

    def make_attempts(self, admitted: Admitted) -> Attempts:
        """Prepares the attempts of a request."""
        budget = self._get_budget(admitted.service)
        budget.note_request(get_elapsed_s(), self._get_gateways())
        return Attempts(
            admitted, self._deployment, budget, self._zone, self._rng
        )

    async def forward(self, attempts: Attempts, sink: AnswerSink) -> None:
        """Runs a request.

        Raises:
            GatewayRefusalError: It has no answer of an upstream.
            AttemptFailedError: A stream broke off after it had begun.
        """
        if attempts.admitted.route.kind is RouteKind.STREAM:
            await forward_stream(self._parts, attempts, sink)
        else:
            await forward_plain(self._parts, attempts, sink)

    def apply_bounds(self, bounds: Bounds) -> None:
        """Takes new bounds; budgets start anew."""
        self._bounds = bounds
        self._budgets.clear()

    def _get_budget(self, service: ServiceId) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RepeatBudget(
                get_elapsed_s(),
                self._bounds.retry_ratio,
                self._bounds.retry_window_s,
                self._bounds.retry_slack,
                self._started_s,
                self._get_gateways(),
            )
            self._budgets[service] = budget
        return budget

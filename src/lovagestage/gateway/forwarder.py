"""Runs admitted requests on upstreams and passes their answers on."""

from __future__ import annotations

import asyncio
import random

from lovagestage.decisions.retries import RetryBudget
from lovagestage.gateway.admission import Admitted
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.configuration import RouteKind
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.latency import LatencyTable, LoadGauge
from lovagestage.gateway.plain import forward_plain
from lovagestage.gateway.reading import ReadingTimes
from lovagestage.gateway.runs import RunParts
from lovagestage.gateway.settings import Bounds, GatewaySettings
from lovagestage.gateway.sinks import AnswerSink, EvidenceSink
from lovagestage.gateway.stream_runs import forward_stream
from lovagestage.gateway.suspects import SuspectWatch
from lovagestage.types import ServiceId

BUDGET_SAFETY = 0.8
"""Part of the allowed ratio of retries that is used, so that what all gateways
have saved up fits in the rest."""
BUDGET_SAVED = 8.0
"""Retries that a gateway saves up. Escalations come in clumps: with four
saved, one in four was denied at 5 requests a second of which 45% escalate.
With eight, the slack of a small deployment covers all gateways at once, and
in a large one the unused part of the ratio does."""


class Forwarder:
    """Forwards requests.

    Args:
        settings: Settings of the process.
        deployment: What is in force.
        pool: Connections to upstreams.
        evidence: Takes what is seen of versions.
        suspects: Requests that may crash upstreams.
        rng: Source of randomness.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        deployment: Deployment,
        pool: ConnectionPool,
        evidence: EvidenceSink,
        suspects: SuspectWatch,
        rng: random.Random,
    ) -> None:
        self._zone = settings.zone
        self._bounds = settings.bounds
        self._deployment = deployment
        self._rng = rng
        self._budgets: dict[ServiceId, RetryBudget] = {}
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
        budget.note_request(asyncio.get_running_loop().time())
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

    def _get_budget(self, service: ServiceId) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                asyncio.get_running_loop().time(),
                ratio=BUDGET_SAFETY * self._bounds.retry_ratio,
                minimum_per_s=0.0,
                limit=BUDGET_SAVED,
            )
            self._budgets[service] = budget
        return budget

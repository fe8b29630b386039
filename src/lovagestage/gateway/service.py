"""Answers callers' requests: admits, forwards, and says how it went."""

from __future__ import annotations

import asyncio
import logging

from lovagestage.exceptions import AttemptFailedError, GatewayRefusalError
from lovagestage.gateway.admission import Admitted, admit
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.configuration import ClientLimits
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.forwarder import Forwarder
from lovagestage.gateway.messages import CallerRequest
from lovagestage.gateway.server import CallerConnection

_log = logging.getLogger(__name__)

_DEFAULT_LIMITS = ClientLimits()


class GatewayService:
    """Answers requests.

    Args:
        deployment: What is in force.
        forwarder: Runs requests.
        exposition: Takes what is measured.
    """

    def __init__(
        self,
        deployment: Deployment,
        forwarder: Forwarder,
        exposition: Exposition,
    ) -> None:
        self._deployment = deployment
        self._forwarder = forwarder
        self._exposition = exposition

    def get_limits(self) -> ClientLimits:
        """What callers may send."""
        configuration = self._deployment.configuration
        return configuration.limits if configuration else _DEFAULT_LIMITS

    async def answer(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        """Answers one request.

        Raises:
            AttemptFailedError: A stream broke off after it had begun.
        """
        try:
            admitted = self._admit(request)
        except GatewayRefusalError as refusal:
            self._log_end(request, None, refusal.reason, refusal.status)
            await connection.send_refusal(request.id, refusal)
            return
        try:
            attempts = await self._forwarder.forward(admitted, connection)
        except GatewayRefusalError as refusal:
            self._log_end(request, admitted, refusal.reason, refusal.status)
            await connection.send_refusal(request.id, refusal)
        except AttemptFailedError as error:
            self._log_end(request, admitted, "stream_broken", 0, error.reason)
            raise
        except asyncio.CancelledError:
            self._log_end(request, admitted, "caller_gone", 0)
            raise
        else:
            self._log_end(
                request,
                admitted,
                "answered",
                200,
                "",
                ",".join(attempts.tried),
            )

    def _admit(self, request: CallerRequest) -> Admitted:
        return admit(
            request,
            self._deployment.configuration,
            self._deployment.trust,
            get_elapsed_s(),
        )

    def _log_end(
        self,
        request: CallerRequest,
        admitted: Admitted | None,
        outcome: str,
        status: int,
        reason: str = "",
        upstreams: str = "",
    ) -> None:
        time_s = asyncio.get_running_loop().time() - request.arrived_s
        trust_age_s = self._deployment.trust.get_age_s(get_elapsed_s())
        kind = admitted.route.kind.value if admitted else "none"
        labels = f'kind="{kind}",outcome="{outcome}"'
        self._exposition.count(Series.REQUESTS, labels)
        self._exposition.observe(Series.ANSWER_S, f'kind="{kind}"', time_s)
        level = logging.INFO if outcome == "answered" else logging.WARNING
        _log.log(
            level,
            "request_ended",
            extra={
                "request": request.id,
                "route": admitted.route.name if admitted else None,
                "service": admitted.service if admitted else None,
                "outcome": outcome,
                "status": status,
                "reason": reason or None,
                "upstreams": upstreams or None,
                "time_s": round(time_s, 4),
                "config": admitted.config_version if admitted else None,
                "config_age_s": round(trust_age_s or -1.0, 2),
            },
        )

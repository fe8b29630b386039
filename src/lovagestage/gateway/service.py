"""Handles callers' requests: admits, forwards, logs and measures them."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus

from lovagestage.exceptions import (
    AttemptFailedError,
    GatewayRefusalError,
    ProcessEndingError,
)
from lovagestage.gateway.admission import RETRY_AFTER_S, AdmittedRequest, admit
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.caller_connection import CallerConnection
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.configuration import ClientLimits
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.forwarder import Forwarder
from lovagestage.gateway.messages import CallerRequest
from lovagestage.gateway.planned_stop import PlannedStop
from lovagestage.gateway.startup_gate import StartupGate

_log = logging.getLogger(__name__)

_DEFAULT_LIMITS = ClientLimits()
_SUSPECT_OUTCOMES = (
    "crashes_upstreams",
    "part_crashes_upstreams",
    "suspect_waiting",
)
"""Outcomes that earlier crashes explain."""


class GatewayService:
    """Handles the requests that callers send.

    Args:
        deployment: Configuration and upstreams that are in force.
        forwarder: Runs requests on upstreams.
        exposition: Collects the metrics.
        startup_gate: Makes the first callers wait for a configuration.
        planned_stop: Says which requests are accepted during a stop.
    """

    def __init__(
        self,
        deployment: Deployment,
        forwarder: Forwarder,
        exposition: Exposition,
        startup_gate: StartupGate,
        planned_stop: PlannedStop,
    ) -> None:
        self._deployment = deployment
        self._forwarder = forwarder
        self._exposition = exposition
        self._startup_gate = startup_gate
        self._planned_stop = planned_stop

    def get_limits(self) -> ClientLimits:
        """Returns the current limits for callers' requests."""
        configuration = self._deployment.configuration
        return configuration.limits if configuration else _DEFAULT_LIMITS

    async def handle_request(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        """Answers one request.

        Args:
            request: The request.
            connection: The caller's connection, which gets the answer.

        Raises:
            AttemptFailedError: A stream broke off after it had started.
            ProcessEndingError: The process ends within the answer.
        """
        try:
            async with connection.open_scope():
                admitted = await self._admit(request)
        except GatewayRefusalError as refusal:
            self._log_refusal(request, refusal)
            await connection.send_refusal(request.id, refusal)
            return
        attempts = self._forwarder.make_attempts(admitted)
        try:
            async with connection.open_scope():
                await self._forwarder.forward(attempts, connection)
        except ProcessEndingError:
            if connection.status:
                self._log_end(attempts, "stopped", 0)
                raise
            answer = attempts.make_refusal("stopping")
            self._log_end(attempts, "stopped", answer.status)
            await connection.send_refusal(request.id, answer)
        except GatewayRefusalError as refusal:
            self._log_end(attempts, refusal.reason, refusal.status)
            await connection.send_refusal(request.id, refusal)
        except AttemptFailedError as error:
            self._log_end(attempts, "stream_broken", 0, error.reason)
            raise
        except asyncio.CancelledError:
            has_caller_left = not connection.channel.is_open
            self._log_end(
                attempts, "caller_gone" if has_caller_left else "stopped", 0
            )
            raise
        else:
            self._log_end(attempts, "answered", connection.status)

    async def _admit(self, request: CallerRequest) -> AdmittedRequest:
        await self._startup_gate.wait_for_configuration(request.budget_s)
        admitted = admit(
            request,
            self._deployment.configuration,
            self._deployment.freshness,
            get_elapsed_s(),
        )
        now_s = asyncio.get_running_loop().time()
        if not self._planned_stop.accepts(admitted.deadline_s, now_s):
            raise GatewayRefusalError(503, "stopping", RETRY_AFTER_S)
        return admitted

    def _get_configuration_age_s(self) -> float | None:
        age_s = self._deployment.freshness.get_age_s(get_elapsed_s())
        return None if age_s is None else round(age_s, 2)

    def _log_refusal(
        self, request: CallerRequest, refusal: GatewayRefusalError
    ) -> None:
        configuration = self._deployment.configuration
        labels = f'kind="none",outcome="{refusal.reason}"'
        self._exposition.count(Series.REQUESTS, labels)
        _log.warning(
            "request_refused",
            extra={
                "request": request.id,
                "host": request.host,
                "path": request.path,
                "reason": refusal.reason,
                "status": refusal.status,
                "config": configuration.version if configuration else None,
                "config_age_s": self._get_configuration_age_s(),
            },
        )

    def _log_end(
        self,
        attempts: Attempts,
        outcome: str,
        status: int,
        reason: str | None = None,
    ) -> None:
        admitted = attempts.admitted
        request, route = admitted.request, admitted.route
        time_s = asyncio.get_running_loop().time() - request.arrived_s
        self._record_metrics(attempts, outcome, time_s)
        is_good = outcome == "answered" and status < HTTPStatus.BAD_REQUEST
        _log.log(
            logging.INFO if is_good else logging.WARNING,
            "request_ended",
            extra={
                "request": request.id,
                "route": route.name,
                "service": admitted.service,
                "outcome": outcome,
                "status": status,
                "reason": reason,
                "upstreams": ",".join(attempts.tried),
                "waits_s": ",".join(f"{wait:.3f}" for wait in attempts.waits_s),
                "version": attempts.assignment.version,
                "model": attempts.model,
                "prompt_tokens": request.prompt_tokens or None,
                "begun_s": _round(attempts.first_attempt_s),
                "connect_s": _round(attempts.connect_s),
                "head_s": _round(attempts.head_s),
                "first_s": _round(attempts.first_event_s),
                "time_s": _round(time_s),
                "fingerprint": (
                    attempts.fingerprint
                    if outcome in _SUSPECT_OUTCOMES
                    else None
                ),
                "parts": (
                    ",".join(attempts.parts)
                    if outcome in _SUSPECT_OUTCOMES
                    else None
                ),
                "config": admitted.config_version,
                "config_age_s": self._get_configuration_age_s(),
            },
        )

    def _record_metrics(
        self, attempts: Attempts, outcome: str, time_s: float
    ) -> None:
        kind = attempts.admitted.route.kind.value
        labels = f'kind="{kind}",outcome="{outcome}"'
        self._exposition.count(Series.REQUESTS, labels)
        self._exposition.count(Series.ATTEMPTS, "", attempts.sent)
        for notice, count in attempts.noticed.items():
            labels = f'notice="{notice.value}"'
            self._exposition.count(Series.NOTICED_ATTEMPTS, labels, count)
        self._exposition.observe(Series.ANSWER_S, f'kind="{kind}"', time_s)
        if attempts.first_event_s is not None:
            self._exposition.observe(
                Series.FIRST_EVENT_S, "", attempts.first_event_s
            )


def _round(time_s: float | None) -> float | None:
    return None if time_s is None else round(time_s, 4)

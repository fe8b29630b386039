"""Refuses requests for which no upstream is left."""

from __future__ import annotations

from typing import Protocol

from lovagestage.exceptions import GatewayRefusalError
from lovagestage.gateway.admission import AdmittedRequest
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.deployment import Deployment


class RefusableRequest(Protocol):
    """A request that may be refused.

    Attributes:
        admitted: The request.
    """

    admitted: AdmittedRequest

    @property
    def remaining_s(self) -> float:
        """Time in seconds until the request's deadline."""

    def make_refusal(
        self,
        reason: str,
        is_retryable: bool = True,
        retry_after_s: float | None = None,
    ) -> GatewayRefusalError:
        """Makes the request's final error."""


def make_refusal(
    request: RefusableRequest, deployment: Deployment
) -> GatewayRefusalError:
    """Makes the error of a request for which no upstream is left.

    Where all upstreams accept requests later, the caller is told when.

    Args:
        request: The request.
        deployment: Upstreams that are in force.
    """
    admitted = request.admitted
    allowed = deployment.get_ready(admitted.service, admitted.allowed_regions)
    if not allowed and deployment.get_ready(admitted.service, None):
        return request.make_refusal("no_upstream_at_home")
    now_s = get_elapsed_s()
    denial = deployment.get_denial(allowed, now_s)
    if denial is None or denial.denial is None:
        return request.make_refusal("no_upstream")
    retry_after_s = deployment.assign_turn(
        admitted.service, denial, request.remaining_s, now_s
    )
    return request.make_refusal(
        denial.denial.value, retry_after_s=retry_after_s
    )

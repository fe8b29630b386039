"""Decides whether a request is admitted, before it is sent to any upstream."""

from __future__ import annotations

import dataclasses

from lovagestage.decisions.allowed_regions import (
    RegionSet,
    intersect_allowed_regions,
)
from lovagestage.exceptions import GatewayRefusalError
from lovagestage.gateway.configuration import (
    Configuration,
    Route,
    WorkspaceEntry,
    choose_backend,
)
from lovagestage.gateway.freshness import ConfigurationFreshness
from lovagestage.gateway.messages import CallerRequest
from lovagestage.types import ServiceId

RETRY_AFTER_S = 0.4
"""Time in seconds after which a refused caller should retry: long enough for a
retry at the upstreams of another gateway, and within a third of the shortest
deadline."""
DEADLINE_MARGIN_S = 0.06
"""Time in seconds between the end of the gateway's work and the caller's
deadline, so that the answer still reaches the caller in time."""
MAX_PRIORITY = 9
"""Rank of the least urgent requests."""


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """A request that the gateway has admitted.

    Attributes:
        request: The request as the caller sent it.
        route: The route that the request matched.
        service: The service to which the request is sent.
        workspace: The workspace of the request's API key; None on public
            routes.
        deadline_s: Loop time by which the request must be answered.
        config_version: Version of the configuration that admitted the request.
    """

    request: CallerRequest
    route: Route
    service: ServiceId
    workspace: WorkspaceEntry | None
    deadline_s: float
    config_version: int

    @property
    def priority(self) -> int:
        """Rank among requests of the same upstream, 0 for the most urgent."""
        workspace = self.workspace
        if workspace is not None and workspace.priority is not None:
            return min(MAX_PRIORITY, max(0, workspace.priority))
        return min(MAX_PRIORITY, max(0, self.route.priority))

    @property
    def allowed_regions(self) -> RegionSet | None:
        """Regions where the request may run; None for any region."""
        workspace = self.workspace
        return intersect_allowed_regions(
            self.route.allowed_regions,
            None if workspace is None else workspace.allowed_regions,
        )

    def get_remaining_s(self, now_s: float) -> float:
        """Returns the time in seconds until the request's deadline."""
        return self.deadline_s - now_s


def admit(
    request: CallerRequest,
    configuration: Configuration | None,
    freshness: ConfigurationFreshness,
    now_s: float,
) -> AdmittedRequest:
    """Finds the request's route and checks its API key.

    Args:
        request: The request.
        configuration: The configuration in force; None before the first one is
            known.
        freshness: Freshness of the configuration, which says whether its API
            keys may still be used.
        now_s: Elapsed time in seconds.

    Returns:
        The admitted request, with its service and deadline.

    Raises:
        GatewayRefusalError: The request may not run, or not at the moment.
    """
    if configuration is None:
        raise GatewayRefusalError(503, "no_configuration", RETRY_AFTER_S)
    if freshness.is_superseded(now_s):
        raise GatewayRefusalError(
            503, "configuration_superseded", RETRY_AFTER_S
        )
    route = configuration.get_route(request.host, request.path)
    if route is None:
        # An outdated configuration may lack a route that a newer one has, so
        # "no route" is final only while the configuration is fresh.
        _check_freshness(freshness, now_s)
        raise GatewayRefusalError(404, "no_route")
    workspace = None
    if configuration.keys is not None and not route.is_public:
        _check_freshness(freshness, now_s)
        workspace = configuration.keys.get(request.key or "")
        if workspace is None:
            raise GatewayRefusalError(401, "unknown_key")
    service = choose_backend(route, request.session or str(request.id))
    if service is None:
        raise GatewayRefusalError(503, "no_backend", RETRY_AFTER_S)
    budget_s = min(request.budget_s - DEADLINE_MARGIN_S, route.timeout_s)
    return AdmittedRequest(
        request,
        route,
        service,
        workspace,
        request.arrived_s + budget_s,
        configuration.version,
    )


def _check_freshness(freshness: ConfigurationFreshness, now_s: float) -> None:
    if not freshness.is_fresh(now_s):
        raise GatewayRefusalError(503, "configuration_too_old", RETRY_AFTER_S)

"""What a request may do before it is sent anywhere."""

from __future__ import annotations

import dataclasses

from lovagestage.decisions.homes import Homes, get_common_homes
from lovagestage.exceptions import GatewayRefusalError
from lovagestage.gateway.configuration import (
    Configuration,
    Route,
    WorkspaceEntry,
    choose_backend,
)
from lovagestage.gateway.messages import CallerRequest
from lovagestage.gateway.trust import Trust
from lovagestage.types import ServiceId

COME_BACK_S = 0.4
"""When a refused caller should come back: long enough for a retry at another
gateway's upstreams, within a third of the shortest deadline."""
DEADLINE_MARGIN_S = 0.06
"""An answer leaves this much before the caller's deadline to reach it."""
MAX_PRIORITY = 9


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that may run.

    Attributes:
        request: What the caller sent.
        route: Its route.
        service: The service that it goes to.
        workspace: Whose key it bears; None on public routes.
        deadline_s: Loop time by which it must have its answer.
        config_version: Configuration that allowed it.
    """

    request: CallerRequest
    route: Route
    service: ServiceId
    workspace: WorkspaceEntry | None
    deadline_s: float
    config_version: int

    @property
    def priority(self) -> int:
        """Rank among requests of the same upstream, 0 for first."""
        workspace = self.workspace
        if workspace is not None and workspace.priority is not None:
            return min(MAX_PRIORITY, max(0, workspace.priority))
        return min(MAX_PRIORITY, max(0, self.route.priority))

    @property
    def homes(self) -> Homes | None:
        """Regions where it may run; None for any."""
        workspace = self.workspace
        return get_common_homes(
            self.route.homes, None if workspace is None else workspace.homes
        )

    def get_left_s(self, now_s: float) -> float:
        """Time until the deadline."""
        return self.deadline_s - now_s


def admit(
    request: CallerRequest,
    configuration: Configuration | None,
    trust: Trust,
    now_s: float,
) -> Admitted:
    """Finds the route and checks the key.

    Args:
        request: The request.
        configuration: What is in force; None before the first is known.
        trust: Whether keys may be relied on.
        now_s: Elapsed time.

    Raises:
        GatewayRefusalError: It may not run, or not now.
    """
    if configuration is None:
        raise GatewayRefusalError(503, "no_configuration", COME_BACK_S)
    if trust.is_superseded(now_s):
        raise GatewayRefusalError(503, "configuration_superseded", COME_BACK_S)
    route = configuration.get_route(request.host, request.path)
    if route is None:
        # An old configuration may lack a route that a newer one has.
        _check_trust(trust, now_s)
        raise GatewayRefusalError(404, "no_route")
    workspace = None
    if configuration.keys is not None and not route.is_public:
        _check_trust(trust, now_s)
        workspace = configuration.keys.get(request.key or "")
        if workspace is None:
            raise GatewayRefusalError(401, "unknown_key")
    service = choose_backend(route, request.session or str(request.id))
    if service is None:
        raise GatewayRefusalError(503, "no_backend", COME_BACK_S)
    budget_s = min(request.budget_s - DEADLINE_MARGIN_S, route.timeout_s)
    return Admitted(
        request,
        route,
        service,
        workspace,
        request.arrived_s + budget_s,
        configuration.version,
    )


def _check_trust(trust: Trust, now_s: float) -> None:
    if not trust.holds(now_s):
        raise GatewayRefusalError(503, "configuration_too_old", COME_BACK_S)

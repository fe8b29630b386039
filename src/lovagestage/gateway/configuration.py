"""Operators' configuration: routes, services, workspaces and limits."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping, Sequence

import xxhash

from lovagestage.decisions.allowed_regions import RegionSet
from lovagestage.decisions.warmup import Warmup
from lovagestage.types import ServiceId, WorkspaceId


class RouteKind(enum.Enum):
    """Whether requests of a route may be retried after they may have run."""

    SAFE = "safe"
    """A request may run more than once."""
    UNSAFE = "unsafe"
    """A request may run at most once."""
    STREAM = "stream"
    """The answer is a stream of events; a request may run again only where the
    stream can be resumed."""


@dataclasses.dataclass(frozen=True)
class Backend:
    """A service that receives a share of a route's requests."""

    service: ServiceId
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Settings of the requests to one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host that the route belongs to, in lower case.
        prefix: Prefix of the route's paths; begins and ends with a slash.
        kind: Whether requests may be retried after they may have run.
        timeout_s: Time limit in seconds within which a request is answered.
        target_latency_s: Target latency in seconds: an answer within this time
            has its full value.
        max_event_interval_s: Longest interval in seconds between two events of
            a stream that is still on time.
        max_attempts: Maximum number of attempts of one request that may run at
            an upstream.
        priority: Rank of the requests; 0 is the most urgent.
        is_public: Whether requests need no API key.
        is_resumable: Whether a stream can be resumed at another upstream.
        models: Models that may answer, smallest first; empty where the caller
            names the model.
        backends: Services that the route's requests are sent to, by weight.
        allowed_regions: Regions where the route's requests may run; None for
            any region.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    max_event_interval_s: float
    max_attempts: int
    priority: int
    is_public: bool
    is_resumable: bool
    models: tuple[str, ...]
    backends: tuple[Backend, ...]
    allowed_regions: RegionSet | None = None

    @property
    def may_run_again(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """Limits on the size and the duration of callers' requests."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class WorkspaceEntry:
    """The workspace that an API key belongs to.

    Attributes:
        name: Name of the workspace.
        priority: Rank of the workspace's requests; None for the rank of their
            routes.
        allowed_regions: Regions where the workspace's requests may run; None
            for any region.
    """

    name: WorkspaceId
    priority: int | None = None
    allowed_regions: RegionSet | None = None


class Configuration:
    """One version of the operators' complete configuration.

    Args:
        version: Version number; it grows with each change.
        routes: All routes.
        limits: Limits on callers' requests.
        keys: Workspace by API key; None where callers need no keys.
        warmups: Warm-up of upstreams after their start, for services whose
            upstreams need one; None for no service.
    """

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        limits: ClientLimits,
        keys: Mapping[str, WorkspaceEntry] | None,
        warmups: Mapping[ServiceId, Warmup] | None = None,
    ) -> None:
        self.version = version
        self.limits = limits
        self.keys = keys
        self.warmups = warmups or {}
        self._routes = {(r.host, r.prefix): r for r in routes}

    def __len__(self) -> int:
        return len(self._routes)

    def get_route(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of the path.

        Args:
            host: Host of the request, in any case.
            path: Path of the request.

        Returns:
            The route; None where no route of the host matches.
        """
        host = host.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def choose_backend(route: Route, seed: str) -> ServiceId | None:
    """Chooses a service by weight; each gateway chooses the same for a seed.

    Args:
        route: The route.
        seed: The request's session, or the request's id where it has no
            session.

    Returns:
        The service; None where no backend has a weight above 0.
    """
    total = sum(backend.weight for backend in route.backends)
    if total <= 0.0:
        return None
    point = hash_to_share(f"{route.name}/{seed}") * total
    for backend in route.backends:
        point -= backend.weight
        if point < 0.0:
            return backend.service
    return route.backends[-1].service


def hash_to_share(seed: str) -> float:
    """Hashes a text to a number from 0 up to but not including 1."""
    return xxhash.xxh3_64_intdigest(seed.encode()) / 2.0**64

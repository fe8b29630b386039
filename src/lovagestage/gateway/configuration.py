"""What operators configure: routes, services, workspaces and limits."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping, Sequence

import xxhash

from lovagestage.decisions.homes import Homes
from lovagestage.decisions.warmup import Warmup
from lovagestage.types import ServiceId, WorkspaceId


class RouteKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """May run once at most."""
    STREAM = "stream"
    """Answers with events; may run again only where it can be resumed."""


@dataclasses.dataclass(frozen=True)
class Backend:
    """A service that gets a part of a route's requests."""

    service: ServiceId
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: Its name.
        host: Host that it belongs to, in lower case.
        prefix: Prefix of its paths; begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: A request is answered within this.
        aim_s: An answer in this time earns its full value.
        gap_s: Longest pause between events that is on time.
        max_attempts: Upstreams that may run one request.
        priority: 0 is most urgent.
        is_public: Needs no key.
        is_resumable: A stream can go on at another upstream.
        models: Models that may answer, smallest first; empty where the
            caller names one.
        backends: Services that it leads to.
        homes: Regions where its requests may run; None for any.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    aim_s: float
    gap_s: float
    max_attempts: int
    priority: int
    is_public: bool
    is_resumable: bool
    models: tuple[str, ...]
    backends: tuple[Backend, ...]
    homes: Homes | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """What callers may send and how long they may take."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class WorkspaceEntry:
    """A workspace as a key leads to it.

    Attributes:
        name: Its name.
        priority: Rank of its requests; None for that of their routes.
        homes: Regions where they may run; None for any.
    """

    name: WorkspaceId
    priority: int | None = None
    homes: Homes | None = None


class Configuration:
    """One version of all that operators configure.

    Args:
        version: Grows with each change.
        routes: All routes.
        limits: What callers may send.
        keys: Workspace by key; None where callers need no keys.
        warmups: What upstreams bear after their start, of services whose
            upstreams are cold then; None for no service.
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
        """The route of that host with the longest prefix of the path."""
        host = host.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def choose_backend(route: Route, seed: str) -> ServiceId | None:
    """Chooses by weight; the same for the same seed at each gateway.

    Args:
        route: The route.
        seed: The request's session, or its id where it has none.
    """
    total = sum(backend.weight for backend in route.backends)
    if total <= 0.0:
        return None
    point = get_share(f"{route.name}/{seed}") * total
    for backend in route.backends:
        point -= backend.weight
        if point < 0.0:
            return backend.service
    return route.backends[-1].service


def get_share(seed: str) -> float:
    """Hashes a text to a number from 0 up to but not including 1."""
    return xxhash.xxh3_64_intdigest(seed.encode()) / 2.0**64

"""The service document: a team's configuration of its service.

Each service has one document, which a team owns and publishes through the log.
API keys appear in it only as SHA-256 digests, since every process and the log
can read the document.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

from lovagestage.types import (
    ModelVersion,
    ServiceId,
    WorkspaceId,
    parse_model_version,
)


class VersionState(enum.Enum):
    """Life-cycle state of a version within a service."""

    ACTIVE = "active"
    RETIRED = "retired"
    """The version gets no new sessions or requests; open sessions keep it."""
    WITHDRAWN = "withdrawn"
    """The version gets no requests at all, also not of open sessions."""


class Repeatable(enum.Enum):
    """Whether a request may be sent to an upstream more than once."""

    ALWAYS = "always"
    NEVER = "never"


class VersionSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A model version that the service offers.

    Attributes:
        name: Name of the version as `MODEL@VERSION`.
        price: Cost of a generated token, in units of the team's choice.
        capacity_tokens_per_s: Tokens per second that all paid upstreams
            generate together.
        state: Life-cycle state of the version.
    """

    name: str
    price: float
    capacity_tokens_per_s: float
    state: VersionState = VersionState.ACTIVE


class WorkspaceSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A workspace's API keys, allowed versions and limits.

    Attributes:
        key_digests: SHA-256 digests, in hex, of the workspace's API keys.
        allowed: Versions that the workspace may use, each as `MODEL@VERSION`,
            or as `MODEL` for all versions of a model.
        limit_tokens_per_s: Long-run limit in tokens per second over all
            entries.
        burst_tokens: Tokens that the workspace may use in a burst over the
            limit.
        weight: Relative share of the workspace when capacity is scarce.
    """

    key_digests: list[str]
    allowed: list[str]
    limit_tokens_per_s: float
    burst_tokens: float = 0.0
    weight: float = 1.0


class ClassSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests with its versions, quality target and deadline.

    Attributes:
        cascade: Versions, each as `MODEL@VERSION`, from cheapest to best.
        quality_target: Mean rating that answers must reach, from 0 to 1.
        priority: Priority of the requests; 0 is the most urgent.
        repeatable: Whether a request may be sent to an upstream more than
            once.
        deadline_s: Deadline, in seconds, of a request that names none; 0 for
            the default deadline.
        deferrable: Whether a request may wait until its deadline.
    """

    cascade: list[str]
    quality_target: float = 0.0
    priority: int = 1
    repeatable: Repeatable = Repeatable.ALWAYS
    deadline_s: float = 0.0
    deferrable: bool = False


class OnWithdraw(enum.Enum):
    """What happens to a session when its version is withdrawn."""

    END = "end"
    MOVE = "move"


class SessionSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the service's sessions.

    Attributes:
        idle_timeout_s: Seconds without a request after which a session ends.
        on_withdraw: What happens to a session when its version is withdrawn.
    """

    idle_timeout_s: float = 3600.0
    on_withdraw: OnWithdraw = OnWithdraw.END


class RolloutState(enum.Enum):
    """State of a roll-out as the operator requests it."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"


class RolloutSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Moves a model's traffic from one version to another.

    Attributes:
        old: The last good version, as `MODEL@VERSION`; the roll-out replaces
            it, or returns to it if the roll-out is stopped or aborted.
        new: The version, as `MODEL@VERSION`, that the roll-out introduces.
        steps: Shares of traffic for `new` at each step, in growing order; the
            last share is 1.
        step_min_s: Shortest duration of a step, in seconds.
        exposure_budget: Largest number of requests that `new` may answer
            before there is evidence that it is no worse than `old`.
        max_quality_drop: Drop of the mean rating that stops the roll-out.
        state: State of the roll-out as the operator requests it.
    """

    old: str
    new: str
    steps: list[float]
    step_min_s: float = 60.0
    exposure_budget: int = 200
    max_quality_drop: float = 0.05
    state: RolloutState = RolloutState.RUNNING


class RouteSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A route to a plain service, selected by path prefix.

    Attributes:
        prefix: Path prefix of the route, such as `/till/`.
        pool: Name of the pool whose upstreams serve the route.
        repeatable: Whether a call may be sent to an upstream more than once.
    """

    prefix: str
    pool: str
    repeatable: Repeatable = Repeatable.NEVER


class ServiceDocument(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A team's configuration of its service.

    Attributes:
        service: Name of the service.
        team: Name of the team that owns the service.
        versions: Model versions that the service offers.
        workspaces: Workspaces that may use the service, by name.
        classes: Request classes by name; a request that names no class gets
            the class `default`.
        sessions: Settings of the service's sessions.
        rollouts: Roll-outs by model.
        routes: Routes to plain services.
    """

    service: ServiceId
    team: str
    versions: list[VersionSpec]
    workspaces: dict[WorkspaceId, WorkspaceSpec]
    classes: dict[str, ClassSpec]
    sessions: SessionSpec = SessionSpec()
    rollouts: dict[str, RolloutSpec] = {}
    routes: list[RouteSpec] = []

    def get_version(self, name: ModelVersion) -> VersionSpec | None:
        """Returns the document's entry for a version, or None."""
        wanted = str(name)
        return next((v for v in self.versions if v.name == wanted), None)


DEFAULT_CLASS = "default"


def get_key_digest(api_key: str) -> str:
    """Returns the digest of an API key as documents hold it: SHA-256 in hex."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def get_allowed_versions(
    document: ServiceDocument, workspace: WorkspaceId
) -> list[ModelVersion]:
    """Returns the versions that a workspace's open sessions may use.

    Withdrawn versions are excluded. Only this function decides which versions
    are allowed: entries choose from its list and sidecars check against the
    list again, so no routing rule can extend the list.
    """
    return [
        name
        for version in document.versions
        if version.state is not VersionState.WITHDRAWN
        and (name := parse_model_version(version.name)) is not None
        and is_version_granted(document, workspace, name)
    ]


def get_open_versions(
    document: ServiceDocument, workspace: WorkspaceId
) -> list[ModelVersion]:
    """Returns the versions for new sessions and requests without a session.

    Retired and withdrawn versions are excluded.
    """
    active = {
        version.name
        for version in document.versions
        if version.state is VersionState.ACTIVE
    }
    return [
        version
        for version in get_allowed_versions(document, workspace)
        if str(version) in active
    ]


def is_version_granted(
    document: ServiceDocument, workspace: WorkspaceId, version: ModelVersion
) -> bool:
    """Whether a workspace's `allowed` list names a version, in any state."""
    spec = document.workspaces.get(workspace)
    if spec is None:
        return False
    return version.model in spec.allowed or str(version) in spec.allowed

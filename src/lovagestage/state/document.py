"""The service document: all that a team says about its service.

One document per service, owned by a team, published through the log. API
keys appear only as SHA-256 digests, since every process and the log can read
the document.
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
    """Life of a version within a service."""

    ACTIVE = "active"
    RETIRED = "retired"
    """No new sessions or requests; open sessions finish on it."""
    WITHDRAWN = "withdrawn"
    """No work at all from now on."""


class Repeatable(enum.Enum):
    """Whether a request may be sent to an upstream more than once."""

    ALWAYS = "always"
    NEVER = "never"


class VersionSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A version that the service has.

    Attributes:
        name: `MODEL@VERSION`.
        price: Cost of a generated token, in units of the team's choice.
        capacity_tokens_per_s: What the paid upstreams generate together.
        state: Life of the version.
    """

    name: str
    price: float
    capacity_tokens_per_s: float
    state: VersionState = VersionState.ACTIVE


class WorkspaceSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A workspace and what it may use.

    Attributes:
        key_digests: SHA-256 digests, in hex, of its API keys.
        allowed: `MODEL@VERSION`, or `MODEL` for all versions of a model.
        limit_tokens_per_s: Long-run limit over all entries.
        burst_tokens: How far it may go over the limit at once.
        weight: Its share where capacity is scarce.
    """

    key_digests: list[str]
    allowed: list[str]
    limit_tokens_per_s: float
    burst_tokens: float = 0.0
    weight: float = 1.0


class ClassSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests.

    Attributes:
        cascade: `MODEL@VERSION` from cheapest to best.
        quality_target: Mean rating that answers must reach, from 0 to 1.
        priority: 0 is most urgent.
        repeatable: Whether it may be sent to an upstream more than once.
        deadline_s: Deadline of a request that names none; 0 for the default.
        deferrable: It may wait until its deadline.
    """

    cascade: list[str]
    quality_target: float = 0.0
    priority: int = 1
    repeatable: Repeatable = Repeatable.ALWAYS
    deadline_s: float = 0.0
    deferrable: bool = False


class OnWithdraw(enum.Enum):
    """What becomes of a session whose version is withdrawn."""

    END = "end"
    MOVE = "move"


class SessionSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How sessions behave.

    Attributes:
        idle_timeout_s: A session unused for so long has ended.
        on_withdraw: What becomes of it when its version is withdrawn.
    """

    idle_timeout_s: float = 3600.0
    on_withdraw: OnWithdraw = OnWithdraw.END


class RolloutState(enum.Enum):
    """What the operator wants of a roll-out."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"


class RolloutSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Moves a model's traffic from one version to another.

    Attributes:
        old: The last good `MODEL@VERSION`.
        new: The `MODEL@VERSION` to bring in.
        steps: Shares of traffic for `new`, growing, the last 1.
        step_min_s: Shortest time at a step.
        exposure_budget: Most requests that `new` may answer before there is
            evidence that it is no worse than `old`.
        max_quality_drop: Drop of the mean rating that stops the roll-out.
        state: What the operator wants of it.
    """

    old: str
    new: str
    steps: list[float]
    step_min_s: float = 60.0
    exposure_budget: int = 200
    max_quality_drop: float = 0.05
    state: RolloutState = RolloutState.RUNNING


class RouteSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A plain service, reached by path prefix.

    Attributes:
        prefix: Path prefix, such as `/till/`.
        pool: Pool of the upstreams that serve it.
        repeatable: Whether calls may be sent more than once.
    """

    prefix: str
    pool: str
    repeatable: Repeatable = Repeatable.NEVER


class ServiceDocument(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All that a team says about its service.

    Attributes:
        service: Name of the service.
        team: Team that owns it.
        versions: The versions it has.
        workspaces: Who may use it, by workspace.
        classes: Request classes by name; `default` is used when none is named.
        sessions: How sessions behave.
        rollouts: Roll-outs by model.
        routes: Plain services.
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
        """Finds a version's part of the document."""
        wanted = str(name)
        return next((v for v in self.versions if v.name == wanted), None)


DEFAULT_CLASS = "default"


def get_key_digest(api_key: str) -> str:
    """Digest of an API key, as documents hold it."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def get_allowed_versions(
    document: ServiceDocument, workspace: WorkspaceId
) -> list[ModelVersion]:
    """Versions that a workspace's open sessions may use: withdrawn ones not.

    This is the one place that decides it: entries choose from this list and
    sidecars check against it again, so no routing rule can widen it.
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
    """Versions for new sessions and single requests: retired ones not."""
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
    """Whether the workspace's own list names a version, in any state."""
    spec = document.workspaces.get(workspace)
    if spec is None:
        return False
    return version.model in spec.allowed or str(version) in spec.allowed

"""Identifiers and states that every other module shares."""

from __future__ import annotations

import enum
from typing import NewType

import msgspec

VmId = NewType("VmId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
WorkspaceId = NewType("WorkspaceId", str)
ServiceId = NewType("ServiceId", str)
ModelId = NewType("ModelId", str)
VersionId = NewType("VersionId", str)
PoolId = NewType("PoolId", str)
"""A pool of upstreams of one plain service."""
InstanceId = NewType("InstanceId", str)
"""One start of an upstream; a restart has another."""
RequestId = NewType("RequestId", str)
ChangeId = NewType("ChangeId", str)
Fingerprint = NewType("Fingerprint", str)
"""Hash of a request's workspace and body."""
WorkspaceTag = NewType("WorkspaceTag", int)
"""64-bit hash of a service's and a workspace's name."""
LeaseId = NewType("LeaseId", str)
Offset = NewType("Offset", int)
"""Position of a record in one stream of the log, from 0."""
FencingNumber = NewType("FencingNumber", int)
"""Offset of the record that granted a lease; grows with each grant."""


class RunState(enum.Enum):
    """What a refusal says about the request's execution."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(enum.Enum):
    """Role of one of the system's processes."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class RolloutPhase(enum.Enum):
    """Phase of a roll-out; also the state names of its chart."""

    LOADING = "loading"
    """The new version is being loaded; it gets no requests."""
    STEPPING = "stepping"
    ROLLING_BACK = "rolling_back"
    ROLLED_BACK = "rolled_back"
    DONE = "done"


class ModelVersion(msgspec.Struct, frozen=True, order=True):
    """One version of one model, written `MODEL@VERSION`.

    Attributes:
        model: Name of the model.
        version: Name of the version within the model.
    """

    model: ModelId
    version: VersionId

    def __str__(self) -> str:
        return f"{self.model}@{self.version}"


def parse_model_version(text: str) -> ModelVersion | None:
    """Splits `MODEL@VERSION`; None where the text has another form."""
    model, separator, version = text.partition("@")
    if not (model and separator and version):
        return None
    return ModelVersion(ModelId(model), VersionId(version))

"""Identifiers and states that all other modules share."""

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
"""Name of a pool of upstreams of one plain service."""
InstanceId = NewType("InstanceId", str)
"""Id of one start of an upstream; each restart gets a new id."""
RequestId = NewType("RequestId", str)
ChangeId = NewType("ChangeId", str)
Fingerprint = NewType("Fingerprint", str)
"""Hash of a request's workspace and body."""
PartId = NewType("PartId", str)
"""Hash of the text of a part of prompts."""
WorkspaceHash = NewType("WorkspaceHash", int)
"""64-bit hash of the names of a service and a workspace."""
LeaseId = NewType("LeaseId", str)
Offset = NewType("Offset", int)
"""Position of a record in one stream of the log, starting at 0."""
Era = NewType("Era", int)
"""Number of times that the metadata store has come back from a copy."""
Position = NewType("Position", int)
"""Place of a record in a topic of the metadata store: its era and offset, see
`decisions.positions`."""
FencingNumber = NewType("FencingNumber", int)
"""Offset of the record that granted a lease; each later grant has a higher
one."""


class RunState(enum.Enum):
    """Whether a refused request was executed, as far as known."""

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
    """Phase of a roll-out; the values are the state names of its chart."""

    LOADING = "loading"
    """The new version is being loaded and gets no requests."""
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
    """Parses `MODEL@VERSION`; returns None for text of another form."""
    model, separator, version = text.partition("@")
    if not (model and separator and version):
        return None
    return ModelVersion(ModelId(model), VersionId(version))

"""Which version of a roll-out a request may be assigned to: pure decisions.

The allowed versions come first: a roll-out only chooses between two versions
that the workspace may use anyway.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

import msgspec

from lovagestage.decisions.exposure import Assignment
from lovagestage.messages.counters import Arm
from lovagestage.state.document import (
    RolloutSpec,
    ServiceDocument,
    VersionState,
)
from lovagestage.state.rollouts import RolloutKey
from lovagestage.types import ModelVersion


@dataclasses.dataclass(frozen=True)
class Trial:
    """A request's part in a roll-out.

    Attributes:
        key: The roll-out.
        assignment: How the gate assigned it.
    """

    key: RolloutKey
    assignment: Assignment


@dataclasses.dataclass(frozen=True)
class Choice:
    """The version of a request.

    Attributes:
        version: Where it runs.
        trial: Its part in a roll-out; None where it has none.
        arm: What its answer counts for; None where it follows no plan.
    """

    version: ModelVersion
    trial: Trial | None = None
    arm: Arm | None = None


def is_in_rollout(
    name: str,
    resolved: ModelVersion,
    spec: RolloutSpec,
    allowed: Collection[ModelVersion],
) -> bool:
    """Whether a roll-out decides between old and new for a request.

    Args:
        name: What the request names: a service, a model or a version.
        resolved: The version that it gets without the roll-out.
        spec: The roll-out of that version's model.
        allowed: Versions that the workspace may use for new work.
    """
    if name == str(resolved):
        return False
    names = {str(version) for version in allowed}
    if spec.old not in names or spec.new not in names:
        return False
    return name == resolved.model or str(resolved) in (spec.old, spec.new)


def withdraw_stopped(
    document: ServiceDocument, stopped: Collection[str]
) -> ServiceDocument:
    """The document with stopped versions withdrawn.

    A version stopped on evidence is bad for every caller alike, also for
    those who name it and for open sessions. Seen as withdrawn, it is left
    out by the same rules as one that the operator has withdrawn, and no path
    of admission can forget it.
    """
    if not stopped:
        return document
    versions = [
        msgspec.structs.replace(version, state=VersionState.WITHDRAWN)
        if version.name in stopped
        else version
        for version in document.versions
    ]
    return msgspec.structs.replace(document, versions=versions)

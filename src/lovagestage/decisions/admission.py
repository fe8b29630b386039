"""Decides which version of a roll-out a request may be assigned to.

The set of allowed versions has precedence: a roll-out only chooses between two
versions that the workspace may use anyway. The decisions are pure: they read no
clock and open no socket.
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
    """Participation of a request in a roll-out.

    Attributes:
        key: Key of the roll-out.
        assignment: Assignment of the request by the exposure gate.
    """

    key: RolloutKey
    assignment: Assignment


@dataclasses.dataclass(frozen=True)
class Choice:
    """Version that was chosen for a request.

    Attributes:
        version: Version on which the request runs.
        trial: Participation of the request in a roll-out; None if it does not
            take part in one.
        arm: Arm in whose counters the answer is counted; None if the request
            follows no plan.
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
    """Returns whether a roll-out chooses the version of a request.

    Args:
        name: Name in the request: a service, a model or a version.
        resolved: Version on which the request runs without the roll-out.
        spec: The roll-out of that version's model.
        allowed: Versions that the workspace may use for new requests.
    """
    if name == str(resolved):
        return False
    allowed_names = {str(version) for version in allowed}
    if spec.old not in allowed_names or spec.new not in allowed_names:
        return False
    return name == resolved.model or str(resolved) in (spec.old, spec.new)


def withdraw_stopped(
    document: ServiceDocument, stopped: Collection[str]
) -> ServiceDocument:
    """Returns the document with stopped versions marked as withdrawn.

    A version that was stopped on evidence is bad for all callers, including
    those that request it by name and those with open sessions. If it is marked
    as withdrawn, the rules that exclude a version which the operator has
    withdrawn exclude it too, so that no path of admission can miss it.
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

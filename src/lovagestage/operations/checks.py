"""Checks the contents of a service document before it is appended to the log.

The types of the document already enforce its structure. The checks of this
module cover what a type cannot express: references between entries, sums, and
limits within the capacity that the team has paid for.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator

import msgspec

from lovagestage.state.document import (
    DEFAULT_CLASS,
    ClassSpec,
    RolloutSpec,
    ServiceDocument,
    VersionState,
    WorkspaceSpec,
)
from lovagestage.types import parse_model_version

_NAME = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$")
_DIGEST = re.compile(r"^[0-9a-f]{64}$")


class Fault(msgspec.Struct, frozen=True):
    """A fault in a service document.

    Attributes:
        path: Path of the faulty field, such as `classes.till.cascade[1]`.
        reason: Sentence that says which value was expected and, in most
            cases, which one was found.
    """

    path: str
    reason: str


def find_faults(document: ServiceDocument) -> list[Fault]:
    """Finds all faults of a service document.

    Args:
        document: Document that already has the right structure.

    Returns:
        The faults in the order of the checks; empty for a valid document.
    """
    return [
        *_check_names(document),
        *_check_versions(document),
        *_check_workspaces(document),
        *_check_classes(document),
        *_check_rollouts(document),
        *_check_routes(document),
        *_check_sessions(document),
    ]


def _check_names(document: ServiceDocument) -> Iterator[Fault]:
    names = {
        "service": str(document.service),
        "team": document.team,
        **{f"workspaces.{n}": str(n) for n in document.workspaces},
        **{f"classes.{n}": n for n in document.classes},
    }
    for path, name in names.items():
        if not _NAME.match(name):
            yield Fault(
                path,
                f"Found the name {name!r}; expected lower-case letters,"
                " digits, '.', '_' and '-', at most 63.",
            )


def _check_versions(document: ServiceDocument) -> Iterator[Fault]:
    seen: set[str] = set()
    if not document.versions:
        yield Fault("versions", "Expected at least one version.")
    for index, version in enumerate(document.versions):
        path = f"versions[{index}]"
        if parse_model_version(version.name) is None:
            yield Fault(
                f"{path}.name",
                f"Found {version.name!r}; expected MODEL@VERSION.",
            )
        if version.name in seen:
            yield Fault(f"{path}.name", f"{version.name!r} is listed twice.")
        if version.name == document.service:
            yield Fault(
                f"{path}.name", "The version has the same name as the service."
            )
        seen.add(version.name)
        if version.price < 0:
            yield Fault(f"{path}.price", _describe_negative(version.price))
        if version.capacity_tokens_per_s < 0:
            yield Fault(
                f"{path}.capacity_tokens_per_s",
                _describe_negative(version.capacity_tokens_per_s),
            )


def _check_workspaces(document: ServiceDocument) -> Iterator[Fault]:
    workspaces_by_digest: dict[str, str] = {}
    for name, spec in document.workspaces.items():
        path = f"workspaces.{name}"
        yield from _check_workspace(document, spec, path)
        for index, digest in enumerate(spec.key_digests):
            if not _DIGEST.match(digest):
                yield Fault(
                    f"{path}.key_digests[{index}]",
                    "Expected a SHA-256 digest of 64 hex digits.",
                )
            elif digest in workspaces_by_digest:
                yield Fault(
                    f"{path}.key_digests[{index}]",
                    f"Workspace {workspaces_by_digest[digest]!r} has the same"
                    " key.",
                )
            workspaces_by_digest.setdefault(digest, str(name))
    yield from _check_paid_capacity(document)


def _check_workspace(
    document: ServiceDocument, spec: WorkspaceSpec, path: str
) -> Iterator[Fault]:
    known_names = _get_known_names(document)
    if not spec.key_digests:
        yield Fault(f"{path}.key_digests", "Expected at least one key.")
    for index, name in enumerate(spec.allowed):
        if name not in known_names:
            yield Fault(
                f"{path}.allowed[{index}]",
                f"There is no model or version {name!r}.",
            )
    if spec.limit_tokens_per_s <= 0:
        yield Fault(
            f"{path}.limit_tokens_per_s",
            _describe_not_positive(spec.limit_tokens_per_s),
        )
    if spec.weight <= 0:
        yield Fault(f"{path}.weight", _describe_not_positive(spec.weight))
    if spec.burst_tokens < 0:
        yield Fault(
            f"{path}.burst_tokens", _describe_negative(spec.burst_tokens)
        )


def _check_paid_capacity(document: ServiceDocument) -> Iterator[Fault]:
    capacity = sum(
        version.capacity_tokens_per_s
        for version in document.versions
        if version.state is VersionState.ACTIVE
    )
    limits = sum(
        spec.limit_tokens_per_s for spec in document.workspaces.values()
    )
    if limits > capacity:
        yield Fault(
            "workspaces",
            f"The limits add up to {limits:g} tokens/s; expected at most the"
            f" {capacity:g} tokens/s of the active versions.",
        )


def _check_classes(document: ServiceDocument) -> Iterator[Fault]:
    if DEFAULT_CLASS not in document.classes:
        yield Fault("classes", f"Expected a class {DEFAULT_CLASS!r}.")
    for name, spec in document.classes.items():
        yield from _check_class(document, spec, f"classes.{name}")


def _check_class(
    document: ServiceDocument, spec: ClassSpec, path: str
) -> Iterator[Fault]:
    versions = {version.name: version for version in document.versions}
    if not spec.cascade:
        yield Fault(f"{path}.cascade", "Expected at least one version.")
    price = 0.0
    has_active_version = False
    for index, name in enumerate(spec.cascade):
        version = versions.get(name)
        if version is None:
            yield Fault(
                f"{path}.cascade[{index}]", f"There is no version {name!r}."
            )
            continue
        has_active_version = (
            has_active_version or version.state is VersionState.ACTIVE
        )
        if version.price < price:
            yield Fault(
                f"{path}.cascade[{index}]",
                f"{name!r} is cheaper than the version before it; expected the"
                " cheapest version first.",
            )
        price = version.price
    if spec.cascade and not has_active_version:
        yield Fault(f"{path}.cascade", "Expected at least one active version.")
    if not 0 <= spec.quality_target <= 1:
        yield Fault(
            f"{path}.quality_target",
            f"Found {spec.quality_target:g}; expected 0 to 1.",
        )
    if spec.priority < 0:
        yield Fault(f"{path}.priority", _describe_negative(spec.priority))
    if spec.deadline_s < 0:
        yield Fault(f"{path}.deadline_s", _describe_negative(spec.deadline_s))
    if spec.deferrable and spec.deadline_s == 0:
        yield Fault(
            f"{path}.deadline_s", "A deferrable class needs a deadline."
        )


def _check_rollouts(document: ServiceDocument) -> Iterator[Fault]:
    versions = {version.name: version for version in document.versions}
    for model, spec in document.rollouts.items():
        path = f"rollouts.{model}"
        for field, name in (("old", spec.old), ("new", spec.new)):
            version = versions.get(name)
            if version is None or name.partition("@")[0] != model:
                yield Fault(
                    f"{path}.{field}",
                    f"Found {name!r}; expected a version of {model!r}.",
                )
            elif version.state is not VersionState.ACTIVE:
                yield Fault(
                    f"{path}.{field}",
                    f"{name!r} is {version.state.value}; expected an active"
                    " version, since a roll-out may advance or roll back.",
                )
        if spec.old == spec.new:
            yield Fault(
                f"{path}.new", "The new version is the same as the old version."
            )
        yield from _check_steps(spec, path)


def _check_steps(spec: RolloutSpec, path: str) -> Iterator[Fault]:
    steps = spec.steps
    if not steps or steps[-1] != 1:
        yield Fault(f"{path}.steps", "Expected the last step to be 1.")
    if any(not 0 < step <= 1 for step in steps):
        yield Fault(
            f"{path}.steps", "Expected shares greater than 0 and at most 1."
        )
    if any(a >= b for a, b in itertools.pairwise(steps)):
        yield Fault(
            f"{path}.steps",
            "Expected each step to be larger than the step before it.",
        )
    if spec.exposure_budget <= 0:
        yield Fault(
            f"{path}.exposure_budget",
            _describe_not_positive(spec.exposure_budget),
        )
    if spec.step_min_s < 0:
        yield Fault(f"{path}.step_min_s", _describe_negative(spec.step_min_s))
    if not 0 < spec.max_quality_drop < 1:
        yield Fault(
            f"{path}.max_quality_drop",
            f"Found {spec.max_quality_drop:g}; expected a number greater than"
            " 0 and less than 1.",
        )


def _check_routes(document: ServiceDocument) -> Iterator[Fault]:
    seen: set[str] = set()
    for index, route in enumerate(document.routes):
        path = f"routes[{index}]"
        prefix = route.prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield Fault(
                f"{path}.prefix",
                f"Found {prefix!r}; expected a path that begins and ends"
                " with '/'.",
            )
        if prefix.startswith("/v1/") or prefix == "/":
            yield Fault(
                f"{path}.prefix",
                f"{prefix!r} overlaps the paths of the model API.",
            )
        if prefix in seen:
            yield Fault(f"{path}.prefix", f"{prefix!r} is listed twice.")
        if not _NAME.match(route.pool):
            yield Fault(
                f"{path}.pool",
                f"Found the pool {route.pool!r}; expected lower-case letters,"
                " digits, '.', '_' and '-', at most 63.",
            )
        seen.add(prefix)


def _check_sessions(document: ServiceDocument) -> Iterator[Fault]:
    timeout_s = document.sessions.idle_timeout_s
    if timeout_s <= 0:
        yield Fault(
            "sessions.idle_timeout_s", _describe_not_positive(timeout_s)
        )


def _get_known_names(document: ServiceDocument) -> set[str]:
    names = {version.name for version in document.versions}
    return names | {name.partition("@")[0] for name in names}


def _describe_not_positive(value: float) -> str:
    return f"Found {value:g}; expected a number greater than 0."


def _describe_negative(value: float) -> str:
    return f"Found {value:g}; expected 0 or more."

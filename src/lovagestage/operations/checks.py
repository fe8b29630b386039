"""Deep checks of a service document, before it is appended.

The types already hold the document's shape; these checks hold what a type
cannot: references, sums, and what the team has paid for.
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
    """One thing that is wrong with a document.

    Attributes:
        path: Where, such as `classes.till.cascade[1]`.
        reason: What was found and what was expected.
    """

    path: str
    reason: str


def get_faults(document: ServiceDocument) -> list[Fault]:
    """Finds everything that is wrong with a document."""
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
            yield Fault(f"{path}.name", f"{version.name!r} stands twice.")
        if version.name == document.service:
            yield Fault(f"{path}.name", "A version is named as the service is.")
        seen.add(version.name)
        if version.price < 0:
            yield Fault(f"{path}.price", _not_negative(version.price))
        if version.capacity_tokens_per_s < 0:
            yield Fault(
                f"{path}.capacity_tokens_per_s",
                _not_negative(version.capacity_tokens_per_s),
            )


def _check_workspaces(document: ServiceDocument) -> Iterator[Fault]:
    owners: dict[str, str] = {}
    for name, spec in document.workspaces.items():
        path = f"workspaces.{name}"
        yield from _check_workspace(document, spec, path)
        for index, digest in enumerate(spec.key_digests):
            if not _DIGEST.match(digest):
                yield Fault(
                    f"{path}.key_digests[{index}]",
                    "Expected a SHA-256 digest of 64 hex digits.",
                )
            elif digest in owners:
                yield Fault(
                    f"{path}.key_digests[{index}]",
                    f"Workspace {owners[digest]!r} has the same key.",
                )
            owners.setdefault(digest, str(name))
    yield from _check_paid_capacity(document)


def _check_workspace(
    document: ServiceDocument, spec: WorkspaceSpec, path: str
) -> Iterator[Fault]:
    known = _get_known_names(document)
    if not spec.key_digests:
        yield Fault(f"{path}.key_digests", "Expected at least one key.")
    for index, name in enumerate(spec.allowed):
        if name not in known:
            yield Fault(
                f"{path}.allowed[{index}]",
                f"There is no model or version {name!r}.",
            )
    if spec.limit_tokens_per_s <= 0:
        yield Fault(
            f"{path}.limit_tokens_per_s", _positive(spec.limit_tokens_per_s)
        )
    if spec.weight <= 0:
        yield Fault(f"{path}.weight", _positive(spec.weight))
    if spec.burst_tokens < 0:
        yield Fault(f"{path}.burst_tokens", _not_negative(spec.burst_tokens))


def _check_paid_capacity(document: ServiceDocument) -> Iterator[Fault]:
    paid = sum(
        version.capacity_tokens_per_s
        for version in document.versions
        if version.state is VersionState.ACTIVE
    )
    limits = sum(
        spec.limit_tokens_per_s for spec in document.workspaces.values()
    )
    if limits > paid:
        yield Fault(
            "workspaces",
            f"The limits add up to {limits:g} tokens/s; expected at most the"
            f" {paid:g} tokens/s of the active versions.",
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
    usable = False
    for index, name in enumerate(spec.cascade):
        version = versions.get(name)
        if version is None:
            yield Fault(
                f"{path}.cascade[{index}]", f"There is no version {name!r}."
            )
            continue
        usable = usable or version.state is VersionState.ACTIVE
        if version.price < price:
            yield Fault(
                f"{path}.cascade[{index}]",
                f"{name!r} is cheaper than the one before; expected the"
                " cheapest first.",
            )
        price = version.price
    if spec.cascade and not usable:
        yield Fault(f"{path}.cascade", "Expected at least one active version.")
    if not 0 <= spec.quality_target <= 1:
        yield Fault(
            f"{path}.quality_target",
            f"Found {spec.quality_target:g}; expected 0 to 1.",
        )
    if spec.priority < 0:
        yield Fault(f"{path}.priority", _not_negative(spec.priority))
    if spec.deadline_s < 0:
        yield Fault(f"{path}.deadline_s", _not_negative(spec.deadline_s))
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
                    " version, since a roll-out goes on and back.",
                )
        if spec.old == spec.new:
            yield Fault(f"{path}.new", "The new version is the old one.")
        yield from _check_steps(spec, path)


def _check_steps(spec: RolloutSpec, path: str) -> Iterator[Fault]:
    steps = spec.steps
    if not steps or steps[-1] != 1:
        yield Fault(f"{path}.steps", "Expected the last step to be 1.")
    if any(not 0 < step <= 1 for step in steps):
        yield Fault(f"{path}.steps", "Expected shares over 0, up to 1.")
    if any(a >= b for a, b in itertools.pairwise(steps)):
        yield Fault(f"{path}.steps", "Expected each step to be larger.")
    if spec.exposure_budget <= 0:
        yield Fault(f"{path}.exposure_budget", _positive(spec.exposure_budget))
    if spec.step_min_s < 0:
        yield Fault(f"{path}.step_min_s", _not_negative(spec.step_min_s))
    if not 0 < spec.max_quality_drop < 1:
        yield Fault(
            f"{path}.max_quality_drop",
            f"Found {spec.max_quality_drop:g}; expected over 0 and under 1.",
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
                f"{path}.prefix", f"{prefix!r} covers the model API's paths."
            )
        if prefix in seen:
            yield Fault(f"{path}.prefix", f"{prefix!r} stands twice.")
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
        yield Fault("sessions.idle_timeout_s", _positive(timeout_s))


def _get_known_names(document: ServiceDocument) -> set[str]:
    names = {version.name for version in document.versions}
    return names | {name.partition("@")[0] for name in names}


def _positive(value: float) -> str:
    return f"Found {value:g}; expected a number over 0."


def _not_negative(value: float) -> str:
    return f"Found {value:g}; expected 0 or more."

"""Checks of the contents of service documents."""

from __future__ import annotations

import pathlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.operations.checks import find_faults
from lovagestage.settings import parse_json_file
from lovagestage.state.document import ServiceDocument

EXAMPLES = sorted(pathlib.Path("examples").glob("*.jsonc"))
ROLLOUT = {"old": "large@1", "new": "large@2", "steps": [0.1, 1]}


def load_document(path=EXAMPLES[-1]) -> dict:
    return msgspec.to_builtins(parse_json_file(path, ServiceDocument))


def find_fault_paths(raw: dict) -> list[str]:
    return [f.path for f in find_faults(msgspec.convert(raw, ServiceDocument))]


def set_value(raw: dict, path: tuple, value: object) -> dict:
    container = raw
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return raw


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda p: p.stem)
def test_examples_have_no_fault(path):
    assert find_fault_paths(load_document(path)) == []


@pytest.mark.parametrize(
    ("path", "value", "fault"),
    [
        (("service",), "Bad Name", "service"),
        (("versions", 0, "name"), "small", "versions[0].name"),
        (("versions", 1, "name"), "large@2", "versions[2].name"),
        (("versions", 0, "price"), -1.0, "versions[0].price"),
        (("versions", 0, "capacity_tokens_per_s"), 0.0, None),
        (
            ("workspaces", "audit", "allowed"),
            ["huge"],
            "workspaces.audit.allowed[0]",
        ),
        (
            ("workspaces", "audit", "key_digests"),
            [],
            "workspaces.audit.key_digests",
        ),
        (
            ("workspaces", "audit", "key_digests"),
            ["ab"],
            "workspaces.audit.key_digests[0]",
        ),
        (
            ("workspaces", "audit", "limit_tokens_per_s"),
            9e9,
            "workspaces",
        ),
        (("classes", "default", "cascade"), [], "classes.default.cascade"),
        (
            ("classes", "default", "cascade"),
            ["large@1", "small@1"],
            "classes.default.cascade[1]",
        ),
        (
            ("classes", "default", "quality_target"),
            1.5,
            "classes.default.quality_target",
        ),
        (
            ("classes", "default", "deferrable"),
            True,
            "classes.default.deadline_s",
        ),
        (
            ("rollouts", "large"),
            {**ROLLOUT, "old": "small@1"},
            "rollouts.large.old",
        ),
        (
            ("rollouts", "large"),
            {**ROLLOUT, "steps": [1, 0.5]},
            "rollouts.large.steps",
        ),
        (
            ("rollouts", "large"),
            {**ROLLOUT, "new": "large@1"},
            "rollouts.large.new",
        ),
        (("routes", 0, "prefix"), "/v1/chat/", "routes[0].prefix"),
        (("sessions", "idle_timeout_s"), 0.0, "sessions.idle_timeout_s"),
    ],
)
def test_fault_is_found_at_its_path(path, value, fault):
    found = find_fault_paths(set_value(load_document(), path, value))
    if fault is None:
        assert found == []
    else:
        assert fault in found


def test_rollout_without_a_good_version_to_go_back_to_is_refused():
    raw = set_value(load_document(), ("rollouts", "large"), ROLLOUT)
    assert find_fault_paths(raw) == []
    raw["versions"][1]["state"] = "withdrawn"
    assert "rollouts.large.old" in find_fault_paths(raw)


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=20,
    )
)
def test_any_json_is_refused_by_type_or_checked_without_a_crash(value):
    raw = load_document()
    raw["classes"]["default"] = value
    try:
        document = msgspec.convert(raw, ServiceDocument, strict=True)
    except msgspec.ValidationError:
        return
    assert isinstance(find_faults(document), list)

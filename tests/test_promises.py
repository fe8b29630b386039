"""Checks that tests and files named in the documentation exist.

A renamed test or file leaves a stale reference in the documentation: the
guarantee beside it then looks tested, but no test can be found for it. The
tests also check that each guarantee has a state and that links resolve.
"""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
PROMISES = DOCS / "PROMISES.md"
GUARANTEE_STATES = ("holds", "partly", "does not hold")
TEST_NAME = re.compile(r"`([^`\s]*\.py)::([^`]*)`")
LINK = re.compile(r"\]\(([^)\s#]+)[^)]*\)")


def get_test_names(file: Path) -> set[str]:
    """Returns the names of the tests that a file defines.

    Tests of state machines are found as assignments.
    """
    if not file.is_file():
        return set()
    names: set[str] = set()
    for node in ast.parse(file.read_text(encoding="utf-8")).body:
        match node:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                names.add(name)
            case ast.Assign(targets=[ast.Name(id=name)]):
                names.add(name)
    return {name for name in names if name.lower().startswith("test")}


def test_named_tests_exist():
    references = TEST_NAME.findall(PROMISES.read_text(encoding="utf-8"))
    assert references
    missing = [
        f"{file}::{name}"
        for file, name in references
        if name not in get_test_names(ROOT / "tests" / file)
    ]
    assert not missing


def test_no_row_is_empty_and_each_has_a_state():
    page = PROMISES.read_text(encoding="utf-8").split("## Goals")[0]
    lines = [line for line in page.splitlines() if line.startswith("| ")]
    rows = [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines]
    rows = [row for row in rows if row[5] != "state"]
    assert rows
    assert [row for row in rows if len(row) != 7 or not all(row)] == []
    assert [row[0] for row in rows if row[5] not in GUARANTEE_STATES] == []


@pytest.mark.parametrize(
    "page",
    [ROOT / "README.md", ROOT / "SECURITY.md", *sorted(DOCS.rglob("*.md"))],
    ids=lambda p: p.name,
)
def test_link_targets_exist(page):
    targets = LINK.findall(page.read_text(encoding="utf-8"))
    missing = [
        target
        for target in targets
        if "://" not in target and not (page.parent / target).exists()
    ]
    assert not missing

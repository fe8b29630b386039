"""Shared fixtures, and the handling of tests that are known to fail."""

from __future__ import annotations

import pathlib

import pytest

from lab.fleet import Fleet
from lab.shapes import SHAPES

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


@pytest.fixture(scope="module")
def fleet():
    with Fleet(SHAPES["thin"]) as started:
        yield started


def read_known_red():
    """Reads the known failing tests from `KNOWN-RED.txt`.

    Returns:
        Lines of the form `ID | cause | issue | command`, by the test's id.
    """
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.partition("|")[0].strip(): line for line in lines if "::" in line
    }


def pytest_collection_modifyitems(items):
    known_red = read_known_red()
    for item in items:
        if item.nodeid in known_red:
            reason = known_red[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    for line in read_known_red().values():
        terminalreporter.write_line(f"KNOWN RED: {line}")

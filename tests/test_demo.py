"""Tests the exit code of the demo: 0 only if all rows pass on each fleet."""

from __future__ import annotations

import argparse
import contextlib

import pytest

from lab import demo
from lab.clients import CommandError
from lab.demo_environment import Row


def fail(harness):
    raise CommandError(f"refused on {harness.workspace}")


@pytest.mark.parametrize(
    ("check", "code", "last"),
    [
        (lambda harness: harness.workspace, 0, "all rows held"),
        (fail, 1, "2 rows failed"),
    ],
)
def test_exit_code_tells_whether_every_row_held(
    monkeypatch, capsys, check, code, last
):
    monkeypatch.setattr(
        demo, "Fleet", lambda *_, **__: contextlib.nullcontext()
    )
    monkeypatch.setattr(demo, "REQUEST_ROWS", (Row("one", check),))
    monkeypatch.setattr(demo, "OPERATION_ROWS", ())
    assert demo.run(argparse.Namespace(fleet=None, binary=None)) == code
    assert capsys.readouterr().out.splitlines()[-1] == last

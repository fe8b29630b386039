"""Fixtures that several test files share."""

from __future__ import annotations

import pytest

from lab.fleet import SHAPES, Fleet


@pytest.fixture(scope="module")
def fleet():
    with Fleet(SHAPES["thin"]) as started:
        yield started

"""Short runs of the soak; `python -m lab soak` plays more and longer ones."""

from __future__ import annotations

import pytest

from lab.soak.command import play

REGRESSIONS = ()
"""Seeds that ever failed, each with a line on its cause."""


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_known_seeds_hold(seed, tmp_path):
    breaches, summary = play(seed, 6.0, tmp_path)
    assert not breaches, summary

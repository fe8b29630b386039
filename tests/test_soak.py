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


def test_gateways_that_watch_the_store_for_others_keep_their_promises(tmp_path):
    # Nine gateways, of which two read the store for the rest. Any of them is
    # ended, frozen or cut off from the store; keys are taken away and workers
    # leave meanwhile. Callers must see what they see of three that each read.
    breaches, summary = play(501, 6.0, tmp_path, gateways=9)
    assert not breaches, summary

"""Short soak runs; `python -m lab soak` runs more seeds for a longer time."""

from __future__ import annotations

import pytest

from lab.soak.command import run_seed

REGRESSIONS = ()
"""Seeds that failed in a soak run, each with a line on the cause."""


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_known_seeds_hold(seed, tmp_path):
    breaches, summary = run_seed(seed, 6.0, tmp_path)
    assert not breaches, summary


def test_gateways_with_shared_store_watchers_keep_their_guarantees(tmp_path):
    # Of nine gateways, two read the store on behalf of the others. Gateways are
    # stopped, frozen or disconnected from the store while keys are revoked and
    # workers leave. Callers must be given the same guarantees as by three
    # gateways that each read the store.
    breaches, summary = run_seed(501, 6.0, tmp_path, gateways=9)
    assert not breaches, summary

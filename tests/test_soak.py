"""Short soak runs; `python -m lab soak` runs more seeds for a longer time."""

from __future__ import annotations

import pytest

from lab.soak import troubles
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


def test_crashing_requests_and_stores_from_a_copy_keep_the_guarantees(tmp_path):
    # Guards against requests that crash worker after worker, and gateways that
    # never recover, where the store comes back from copies meanwhile.
    faults = (
        troubles.send_crashing_request,
        troubles.restore_store,
        troubles.change_configuration,
        troubles.drain_worker,
    )
    breaches, summary = run_seed(720, 6.0, tmp_path, faults=faults)
    assert not breaches, summary

"""Soak runs with one kind of fault each, which lasts for several seconds."""

from __future__ import annotations

from lab.soak import troubles
from lab.soak.command import run_seed


def test_parts_that_crash_workers_are_found(tmp_path):
    # Guards against a part of prompts that crashes worker after worker, since
    # no two requests with it are alike.
    faults = (troubles.send_crashing_parts,)
    breaches, summary = run_seed(1, 1.0, tmp_path, faults=faults)
    assert not breaches, (summary, breaches)


def test_slow_versions_are_stopped_and_cut_no_stream(tmp_path):
    # Guards against a version that is completed though it answers several
    # times as slowly, and streams that are cut off within its silences.
    faults = (troubles.roll_out_slow_version,)
    breaches, summary = run_seed(1, 1.0, tmp_path, faults=faults)
    assert not breaches, (summary, breaches)

"""Checks that requests which crash workers are stopped, over all gateways."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from lab.soak.deployment import CONTACT_S
from lab.soak.records import CrashingRun
from lab.soak.spans import is_in_touch
from lab.soak.world import SoakEnvironment

CRASHES = 3
MAX_LATE_RUNS = 3
"""Runs that are allowed once gateways must have learned of the third crash."""


def find_crash_breaches(environment: SoakEnvironment) -> Iterator[str]:
    """Yields a description of each request that went on crashing workers."""
    for body, runs in environment.serving.crashing_runs.items():
        crashes_s = get_crash_times_s(runs)
        if len(crashes_s) < CRASHES:
            continue
        must_know_s = crashes_s[CRASHES - 1] + CONTACT_S
        late = get_late_runs(environment, runs, must_know_s)
        if len(late) > MAX_LATE_RUNS:
            yield (
                f"{body.decode()} reached workers {len(late)} times after its"
                f" third crash at {crashes_s[CRASHES - 1]:.2f}:"
                f" {[(r.request_id, round(r.arrived_s, 2)) for r in late]}"
            )


def get_crash_times_s(runs: Sequence[CrashingRun]) -> list[float]:
    """Returns when each worker got the first run that it ended under."""
    return sorted(
        min(run.arrived_s for run in runs if run.worker == name)
        for name in {run.worker for run in runs}
    )


def get_late_runs(
    environment: SoakEnvironment, runs: Sequence[CrashingRun], from_s: float
) -> list[CrashingRun]:
    """Returns the later runs that gateways in touch have sent to workers."""
    senders = environment.crashing_senders
    return [
        run
        for run in runs
        if run.arrived_s > from_s
        and is_in_touch(environment, senders.get(run.request_id), run.arrived_s)
    ]

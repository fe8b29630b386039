"""Checks that requests which crash workers are stopped, over all gateways."""

from __future__ import annotations

from collections.abc import Iterator

from lab.soak.spans import overlaps_fault
from lab.soak.world import CrashingRun, SoakEnvironment

CONTACT_S = 3.0
"""Seconds within which each gateway must have learned of the third crash, and
for which a fault excuses a gateway."""
CRASHES = 3
MAX_LATE_RUNS = 3
"""Runs that are allowed once gateways must have learned of the third crash."""


def find_crash_breaches(environment: SoakEnvironment) -> Iterator[str]:
    """Yields a description of each request that went on crashing workers."""
    for body, runs in environment.crashing_runs.items():
        crashes_s = sorted(
            min(run.arrived_s for run in runs if run.worker == name)
            for name in {run.worker for run in runs}
        )
        if len(crashes_s) < CRASHES:
            continue
        must_know_s = crashes_s[CRASHES - 1] + CONTACT_S
        late = [
            run
            for run in runs
            if run.arrived_s > must_know_s and not _is_excused(environment, run)
        ]
        if len(late) > MAX_LATE_RUNS:
            yield (
                f"{body.decode()} reached workers {len(late)} times after its"
                f" third crash at {crashes_s[CRASHES - 1]:.2f}:"
                f" {[(r.request_id, round(r.arrived_s, 2)) for r in late]}"
            )


def _is_excused(environment: SoakEnvironment, run: CrashingRun) -> bool:
    """Whether the gateway that sent a request was not in touch.

    That is so for some time after a fault of the gateway, or of the store.
    """
    since_s = run.arrived_s - CONTACT_S
    gateway = environment.crashing_senders.get(run.request_id)
    if overlaps_fault(
        environment, since_s, run.arrived_s, ("spoil_store", "restore_store")
    ):
        return True
    return any(
        name == gateway and begun_s < run.arrived_s and ended_s > since_s
        for name, begun_s, ended_s in environment.gateway_faults
    )

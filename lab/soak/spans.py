"""Whether faults of a soak were active in a span of time."""

from __future__ import annotations

from lab.soak.world import SoakEnvironment


def overlaps_fault(
    environment: SoakEnvironment,
    start_s: float,
    end_s: float,
    names: tuple[str, ...],
) -> bool:
    """Whether one of the named faults was active between two times."""
    return any(
        began_s < end_s and ended_s > start_s
        for name, began_s, ended_s in environment.injected_faults
        if name in names
    )

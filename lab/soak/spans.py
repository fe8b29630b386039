"""Whether faults of a soak were active in a span of time."""

from __future__ import annotations

from collections.abc import Collection

from lab.soak.deployment import CONTACT_S
from lab.soak.world import SoakEnvironment

STORE_FAULTS = ("spoil_store", "restore_store")


def overlaps_fault(
    environment: SoakEnvironment,
    start_s: float,
    end_s: float,
    names: Collection[str],
) -> bool:
    """Whether one of the named faults was active between two times."""
    return any(
        began_s < end_s and ended_s > start_s
        for name, began_s, ended_s in environment.injected_faults
        if name in names
    )


def overlaps_process_fault(
    environment: SoakEnvironment,
    start_s: float,
    end_s: float,
    names: Collection[str],
    with_planned: bool = True,
) -> bool:
    """Whether one of the named gateways or workers had a fault of its own.

    Args:
        environment: The environment of the soak.
        start_s: Monotonic time in seconds.
        end_s: Later monotonic time in seconds.
        names: Names of gateways and workers.
        with_planned: Whether announced stops count too.
    """
    return any(
        fault.begun_s < end_s and fault.ended_s > start_s
        for fault in environment.process_faults
        if fault.name in names and (with_planned or not fault.is_planned)
    )


def is_in_touch(
    environment: SoakEnvironment, gateway: str | None, at_s: float
) -> bool:
    """Whether a gateway and the store have had no fault for `CONTACT_S`."""
    since_s = at_s - CONTACT_S
    names = () if gateway is None else (gateway,)
    return not (
        overlaps_fault(environment, since_s, at_s, STORE_FAULTS)
        or overlaps_process_fault(environment, since_s, at_s, names)
    )

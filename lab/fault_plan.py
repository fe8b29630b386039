"""Seeded schedule of faults: which process fails, at what time and how."""

from __future__ import annotations

import dataclasses
import enum
import random

FAULT_FREE_START_S = 5.0
"""Time in seconds without new faults at the start of the traffic."""
FAULT_FREE_END_S = 14.0
"""Time in seconds without new faults at the end of the traffic."""
MIN_INTERVAL_S = 2.5
"""Shortest and longest time in seconds between two injections."""
MAX_INTERVAL_S = 5.0
PAIR_PROBABILITY = 0.35
"""Probability that two faults are injected at the same time."""
MIN_PAUSE_S = 1.0
"""Shortest and longest duration in seconds of faults without a restart."""
MAX_PAUSE_S = 8.0
MIN_DOWNTIME_S = 0.3
"""Shortest and longest time in seconds until a process is started again."""
MAX_DOWNTIME_S = 1.5


class FaultKind(enum.Enum):
    """Types of faults that are injected into a process."""

    KILL = "kill"
    PAUSE = "pause"
    SILENCE = "silence"
    """Open connections of the process deliver no more data; new ones work."""
    REPLACE = "replace"
    """The process is stopped as planned and a new process is started."""
    OUTAGE = "outage"
    LOST_ANSWERS = "lost_answers"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True)
class Fault:
    """One planned fault.

    Attributes:
        at_s: Time of the fault in seconds since the start of the traffic.
        kind: Type of the fault.
        name: Name of the affected process.
        duration_s: Time in seconds until the fault is undone.
    """

    at_s: float
    kind: FaultKind
    name: str
    duration_s: float


# Sidecars whose connections pass through a relay, which SILENCE requires.
_RELAYED_SIDECARS = ("0", "1")
_KILLS = (
    [(FaultKind.KILL, f"entry-{i}") for i in range(3)]
    + [(FaultKind.KILL, f"sidecar-{i}") for i in (2, 3)]
    + [(FaultKind.KILL, f"engine-{i}") for i in range(4)]
)
_TARGETS = (
    _KILLS * 2
    + [(FaultKind.PAUSE, f"entry-{i}") for i in range(3)]
    + [(FaultKind.PAUSE, f"sidecar-{i}") for i in range(4)]
    + [(FaultKind.PAUSE, f"engine-{i}") for i in (0, 3)]
    + [(FaultKind.SILENCE, f"sidecar-{i}") for i in _RELAYED_SIDECARS] * 2
    + [(FaultKind.REPLACE, f"entry-{i}") for i in range(3)]
    + [(FaultKind.REPLACE, f"sidecar-{i}") for i in (2, 3)]
    + [(kind, "log") for kind in list(FaultKind)[4:]] * 2
)


def make_plan(seed: int, duration_s: float) -> list[Fault]:
    """Draws a random schedule of faults, in the order of their times.

    Args:
        seed: Seed of the random generator; equal seeds give equal plans.
        duration_s: Duration of the traffic.
    """
    rng = random.Random(seed)
    at_s = FAULT_FREE_START_S
    faults = []
    while at_s < duration_s - FAULT_FREE_END_S:
        count = 2 if rng.random() < PAIR_PROBABILITY else 1
        for kind, name in rng.sample(_TARGETS, count):
            faults.append(Fault(at_s, kind, name, _draw_duration_s(rng, kind)))
        at_s += rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
    return faults


def _draw_duration_s(rng: random.Random, kind: FaultKind) -> float:
    if kind in (FaultKind.KILL, FaultKind.REPLACE):
        return rng.uniform(MIN_DOWNTIME_S, MAX_DOWNTIME_S)
    return rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)

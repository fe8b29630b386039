"""Roll-outs of versions that answer several times as slowly."""

from __future__ import annotations

import asyncio
import time

from lab.soak.deployment import BAD_ANSWERS, ROLLBACK_S
from lab.soak.records import SlowRollout
from lab.soak.world import SoakEnvironment

DURATIONS_S = (7.0, 9.0)
"""Shortest and longest time in seconds that an order allows."""
SLOW_RATIOS = (0.6, 1.0)
FACTORS = (6.0, 10.0)
NEW_WORKERS = 2
POLL_INTERVAL_S = 0.1
LATE_S = 2.0
"""Seconds after the bound for a version's stop in which requests are late."""
START_S = 0.5
"""Longest time in seconds from the order until a new worker has started."""


async def roll_out_slow_version(environment: SoakEnvironment) -> None:
    """Orders a version that answers most of its requests slowly.

    Its workers stay until the roll-out must have been stopped in any case.
    Nothing happens while another roll-out is under way.
    """
    rng, rollouts = environment.rng, environment.slow_rollouts
    if rollouts and rollouts[-1].ended_s > time.monotonic():
        return
    rollout = SlowRollout(
        f"v{len(rollouts) + 2}",
        time.monotonic(),
        rng.uniform(*DURATIONS_S),
        rng.uniform(*SLOW_RATIOS),
        rng.uniform(*FACTORS),
    )
    rollouts.append(rollout)
    environment.order_rollout(rollout)
    for _ in range(NEW_WORKERS):
        await asyncio.sleep(rng.uniform(0.0, START_S))
        await environment.add_worker(rollout.version)
    while time.monotonic() < _get_end_s(rollout):
        _record_outcome(environment, rollout)
        await asyncio.sleep(POLL_INTERVAL_S)
    await _remove_workers(environment, rollout)


def _get_end_s(rollout: SlowRollout) -> float:
    """Returns when the version's workers leave.

    They stay for as long as requests may break a bound of the roll-out.
    """
    end_s = rollout.ordered_s + rollout.duration_s + ROLLBACK_S
    if len(rollout.answers_s) < BAD_ANSWERS:
        return end_s
    found_s = sorted(rollout.answers_s)[BAD_ANSWERS - 1]
    return max(end_s, found_s + ROLLBACK_S + LATE_S)


def _record_outcome(environment: SoakEnvironment, rollout: SlowRollout) -> None:
    outcome = environment.read_outcome(rollout)
    if outcome is not None and outcome not in rollout.outcomes:
        rollout.outcomes.append(outcome)


async def _remove_workers(
    environment: SoakEnvironment, rollout: SlowRollout
) -> None:
    rollout.ended_s = time.monotonic()
    for name, version in environment.versions.items():
        is_there = name not in environment.departure_s
        if version == rollout.version and is_there:
            environment.departure_s[name] = rollout.ended_s
            environment.write_worker_entry(name, "draining")

"""Checks that parts of prompts that crash workers are found, and only these."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

from lab.soak.crash_checks import get_crash_times_s, get_late_runs
from lab.soak.deployment import CONTACT_S
from lab.soak.records import CrashingPart
from lab.soak.spans import is_in_touch, overlaps_fault
from lab.soak.traffic import SentRequest
from lab.soak.world import SoakEnvironment

CRASHES = 5
MAX_LATE_RUNS = 3
"""Runs that are allowed once gateways must have learned of the fifth crash."""
MIN_REQUESTS = 20
MIN_BEGUN_RATIO = 0.5
"""Minimum of the ratio of sound requests that begin to be answered, as a share
of that ratio outside faults."""
ROUTES = ("stream", "once")
OTHER_FAULTS = (
    "ask_for_rest",
    "crash_worker",
    "restore_store",
    "roll_out_slow_version",
    "send_crashing_request",
    "spoil_answers",
    "spoil_link",
    "spoil_store",
)
"""Faults during which requests may fail for other reasons."""


def find_part_breaches(
    environment: SoakEnvironment,
    sent: Sequence[SentRequest],
    recovery_from_s: float,
) -> Iterator[str]:
    """Yields a description of each part that gateways dealt with wrongly."""
    calm_ratio = _get_calm_ratio(environment, sent, recovery_from_s)
    for part in environment.serving.crashing_parts.values():
        crashes_s = get_crash_times_s(part.runs)
        yield from _check_late_runs(environment, part, crashes_s)
        if calm_ratio is not None and crashes_s:
            yield from _check_sound_requests(
                environment, part, crashes_s, sent, calm_ratio
            )


def _check_late_runs(
    environment: SoakEnvironment, part: CrashingPart, crashes_s: list[float]
) -> Iterator[str]:
    if len(crashes_s) < CRASHES:
        return
    fifth_s = crashes_s[CRASHES - 1]
    late = get_late_runs(environment, part.runs, fifth_s + CONTACT_S)
    if len(late) > MAX_LATE_RUNS:
        yield (
            f"part {part.name} reached workers {len(late)} times after its"
            f" fifth crash at {fifth_s:.2f}, {len(crashes_s)} crashes:"
            f" {[(r.request_id, round(r.arrived_s, 2)) for r in late[:5]]}"
        )


def _check_sound_requests(
    environment: SoakEnvironment,
    part: CrashingPart,
    crashes_s: list[float],
    sent: Sequence[SentRequest],
    calm_ratio: float,
) -> Iterator[str]:
    last_s = crashes_s[:CRASHES][-1]
    from_s = last_s + 2 * CONTACT_S
    # All keys and first parts of sound requests also stand in those that crash.
    found = [
        request
        for request in _select(environment, sent, from_s, part.ended_s)
        if not overlaps_fault(
            environment, request.sent_s, request.ended_s, OTHER_FAULTS
        )
        and is_in_touch(environment, request.gateway, request.sent_s)
    ]
    if len(found) < MIN_REQUESTS:
        return
    ratio = sum(request.has_begun for request in found) / len(found)
    if ratio < MIN_BEGUN_RATIO * calm_ratio:
        yield (
            f"part {part.name}: {ratio:.2f} of {len(found)} sound requests"
            f" began from {from_s:.2f} on, {calm_ratio:.2f} outside faults"
        )


def _get_calm_ratio(
    environment: SoakEnvironment,
    sent: Sequence[SentRequest],
    recovery_from_s: float,
) -> float | None:
    """Returns the ratio that begins outside faults; None if too few are."""
    first_s = min(
        (begun_s for _, begun_s, _ in environment.injected_faults),
        default=math.inf,
    )
    calm = _select(environment, sent, 0.0, first_s)
    calm += _select(environment, sent, recovery_from_s, math.inf)
    if len(calm) < MIN_REQUESTS:
        return None
    return sum(request.has_begun for request in calm) / len(calm)


def _select(
    environment: SoakEnvironment,
    sent: Sequence[SentRequest],
    from_s: float,
    to_s: float,
) -> list[SentRequest]:
    """Returns the requests for streams with a key that stayed valid.

    Requests that their callers gave up at once are left out.
    """
    return [
        request
        for request in sent
        if from_s <= request.sent_s < to_s
        and request.kind in ROUTES
        and environment.keys[request.key] is None
        and (request.reply is not None or request.is_cut)
    ]

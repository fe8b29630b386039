"""Checks that no request is cut off which a gateway could have completed."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from lab.soak.deployment import CONTACT_S, STOP_S
from lab.soak.records import Run
from lab.soak.spans import overlaps_process_fault
from lab.soak.traffic import SentRequest
from lab.soak.world import SoakEnvironment

STOP_NOTICE_S = 3.0
"""Seconds from SIGTERM for which callers may not yet know of the stop."""
LAST_RATIO = 5 / 6
"""Share of the time for a stop after which a request that was sent before
`STOP_NOTICE_S` may be cut off while a worker is still at work on it."""


def find_cut_breaches(
    environment: SoakEnvironment, sent: Sequence[SentRequest], slack_s: float
) -> Iterator[str]:
    """Yields a description of each request that a gateway cut off.

    The gateway had passed the request on, the worker did not break off, and
    time was left. Neither a worker's silence nor a planned stop is a reason.
    """
    for request in sent:
        runs = environment.serving.runs.get(request.id, [])
        time_s = request.ended_s - request.sent_s
        if (
            request.is_cut
            and runs
            and time_s < request.deadline_s - slack_s
            and not _is_excused(environment, request, runs)
        ):
            yield (
                f"cut off after {time_s:.2f} s: {request.id} {request.kind}"
                f" sent at {request.sent_s:.2f} to {request.gateway},"
                f" {_describe_stops(environment, request)}, runs {runs}"
            )


def _is_excused(
    environment: SoakEnvironment, request: SentRequest, runs: Sequence[Run]
) -> bool:
    if request.id in environment.serving.spoiled:
        return True
    workers = [run.worker for run in runs]
    if any(name in environment.crashed_s for name in workers):
        return True
    names = (request.gateway, *workers)
    since_s = request.sent_s - CONTACT_S
    return overlaps_process_fault(
        environment, since_s, request.ended_s, names, with_planned=False
    ) or _is_late_in_stop(environment, request)


def _is_late_in_stop(
    environment: SoakEnvironment, request: SentRequest
) -> bool:
    return any(
        fault.name == request.gateway
        and fault.is_planned
        and request.sent_s <= fault.begun_s + STOP_NOTICE_S
        and fault.begun_s + LAST_RATIO * STOP_S
        <= request.ended_s
        <= fault.ended_s
        for fault in environment.process_faults
    )


def _describe_stops(environment: SoakEnvironment, request: SentRequest) -> str:
    stops = [
        f"{request.sent_s - fault.begun_s:.2f}"
        for fault in environment.process_faults
        if fault.name == request.gateway
        and fault.is_planned
        and fault.begun_s < request.ended_s
        and fault.ended_s > request.sent_s
    ]
    return f"{' '.join(stops)} s after SIGTERM" if stops else "no stop"

"""Checks that a version which answers slowly is stopped in time."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from lab.soak.deployment import (
    BAD_ANSWERS,
    EXPOSURE_RATIO,
    EXPOSURE_SLACK,
    ROLLBACK_S,
)
from lab.soak.records import SlowRollout
from lab.soak.spans import is_in_touch
from lab.soak.traffic import SentRequest
from lab.soak.world import SoakEnvironment

COMPLETED = "completed"


def find_rollout_breaches(
    environment: SoakEnvironment, sent: Sequence[SentRequest], slack_s: float
) -> Iterator[str]:
    """Yields a description of each slow version that reached too many."""
    requests = {request.id: request for request in sent}
    for rollout in environment.slow_rollouts:
        if COMPLETED in rollout.outcomes:
            yield (
                f"slow version {rollout.version} was completed:"
                f" {len(rollout.answers_s)} slow answers,"
                f" ratio {rollout.slow_ratio:.2f}, {rollout.factor:.1f} times"
            )
        yield from _check_share(environment, rollout, requests)
        yield from _check_stop(environment, rollout, requests, slack_s)


def _check_share(
    environment: SoakEnvironment,
    rollout: SlowRollout,
    requests: dict[str, SentRequest],
) -> Iterator[str]:
    deadline_s = rollout.ordered_s + rollout.duration_s
    total = exposed = 0
    for request_id, runs in environment.serving.runs.items():
        for run in runs:
            if not rollout.ordered_s <= run.begun_s < deadline_s:
                continue
            total += 1
            exposed += environment.versions[
                run.worker
            ] == rollout.version and is_in_touch(
                environment, requests[request_id].gateway, run.begun_s
            )
    if exposed > EXPOSURE_RATIO * total + EXPOSURE_SLACK:
        yield f"{rollout.version} got {exposed} of {total} requests"


def _check_stop(
    environment: SoakEnvironment,
    rollout: SlowRollout,
    requests: dict[str, SentRequest],
    slack_s: float,
) -> Iterator[str]:
    if len(rollout.answers_s) < BAD_ANSWERS:
        return
    found_s = sorted(rollout.answers_s)[BAD_ANSWERS - 1]
    late = [
        request_id
        for request_id, runs in environment.serving.runs.items()
        for run in runs
        if environment.versions[run.worker] == rollout.version
        and requests[request_id].sent_s > found_s + ROLLBACK_S + slack_s
        and is_in_touch(environment, requests[request_id].gateway, run.begun_s)
    ]
    if late:
        yield (
            f"{rollout.version} got {len(late)} requests over {ROLLBACK_S} s"
            f" after its {BAD_ANSWERS}th slow answer: {late[:5]}"
        )

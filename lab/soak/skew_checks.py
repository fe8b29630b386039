"""Checks that a gateway serves what it gets while it gets most connections."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from lab.skew import MIN_SERVED_RATIO, SkewResult
from lab.soak.deployment import CONTACT_S
from lab.soak.spans import overlaps_fault, overlaps_process_fault
from lab.soak.traffic import SentRequest
from lab.soak.world import SoakEnvironment

BEFORE_S = 5.0
OTHER_FAULTS = (
    "crash_worker",
    "restore_store",
    "roll_out_slow_version",
    "send_crashing_parts",
    "send_crashing_request",
    "spoil_answers",
    "spoil_link",
    "spoil_store",
)
"""Faults during which requests may fail for other reasons."""


def find_skew_breaches(
    environment: SoakEnvironment, sent: Sequence[SentRequest]
) -> Iterator[str]:
    """Yields a description of each time in which too few were served."""
    for result in get_skew_results(environment, sent):
        if result.ratio < MIN_SERVED_RATIO:
            yield str(result)


def get_skew_results(
    environment: SoakEnvironment, sent: Sequence[SentRequest]
) -> Iterator[SkewResult]:
    """Yields what was served in each time that can be judged."""
    for skewed in environment.skewed_times:
        before = _select(
            environment, sent, skewed.begun_s - BEFORE_S, skewed.begun_s
        )
        during = _select(
            environment, sent, skewed.begun_s + CONTACT_S, skewed.ended_s
        )
        result = SkewResult(skewed.gateway, _count(before), _count(during))
        if result.can_be_judged:
            yield result


def _count(requests: Sequence[SentRequest]) -> tuple[int, int]:
    return len(requests), sum(request.is_served for request in requests)


def _select(
    environment: SoakEnvironment,
    sent: Sequence[SentRequest],
    from_s: float,
    to_s: float,
) -> list[SentRequest]:
    """Returns the requests that a gateway has read and no other fault met."""
    return [
        request
        for request in sent
        if from_s <= request.sent_s < to_s
        and environment.keys[request.key] is None
        and _was_read(environment, request)
        and not overlaps_fault(
            environment, request.sent_s, request.ended_s, OTHER_FAULTS
        )
        and not overlaps_process_fault(
            environment,
            request.sent_s,
            request.ended_s,
            (request.gateway,),
            with_planned=False,
        )
    ]


def _was_read(environment: SoakEnvironment, request: SentRequest) -> bool:
    """Whether a gateway has read a request that its caller did not give up."""
    if request.reply is not None:
        return True
    return request.is_cut and request.id in environment.serving.runs

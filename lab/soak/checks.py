"""Checks what callers and workers observed against the guarantees."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from lab.soak.crash_checks import find_crash_breaches
from lab.soak.cut_checks import find_cut_breaches
from lab.soak.deployment import DRAIN_S, EVENTS, REVOKE_S, WORKSPACE
from lab.soak.notice_checks import NoticeChecker
from lab.soak.part_checks import find_part_breaches
from lab.soak.rollout_checks import find_rollout_breaches
from lab.soak.skew_checks import find_skew_breaches
from lab.soak.spans import overlaps_fault
from lab.soak.stalls import get_stalled_s
from lab.soak.traffic import SentRequest
from lab.soak.world import SoakEnvironment
from lab.worker import SIGNATURE

TIMING_SLACK_S = 0.5
"""Seconds that a busy machine may add to each checked duration.

Without this allowance, scheduling delays count as broken guarantees.
"""
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
RUN_ONCE = ("unsafe", "once", "steady", "slow")
"""Routes of which no request may run more than once."""
MIN_SERVED_RATIO = 0.5
"""Minimum ratio of requests served successfully after all faults have ended."""


def find_breaches(
    environment: SoakEnvironment,
    sent: list[SentRequest],
    recovery_from_s: float,
) -> list[str]:
    """Returns a description of each broken guarantee, naming the request.

    Args:
        environment: The environment of the soak, after its end.
        sent: All requests that the callers sent.
        recovery_from_s: Monotonic time in seconds from which the gateways must
            have recovered from all faults.
    """
    breaches = [
        text
        for request in sent
        for text in _check_request(environment, request)
    ]
    breaches += _check_workers(environment)
    breaches += find_crash_breaches(environment)
    breaches += find_part_breaches(environment, sent, recovery_from_s)
    breaches += find_rollout_breaches(environment, sent, TIMING_SLACK_S)
    breaches += find_cut_breaches(environment, sent, TIMING_SLACK_S)
    breaches += find_skew_breaches(environment, sent)
    breaches += NoticeChecker(environment, sent, TIMING_SLACK_S).find_breaches()
    recovery = [s for s in sent if s.sent_s > recovery_from_s and s.ended_s]
    recovery = [s for s in recovery if environment.keys[s.key] is None]
    served = sum(request.is_served for request in recovery)
    if recovery and served < MIN_SERVED_RATIO * len(recovery):
        breaches.append(
            f"not recovered: {served} of {len(recovery)} served,"
            f" {_count_outcomes(recovery)},"
            f" faults {environment.injected_faults[-4:]},"
            f" recovery period from {recovery_from_s:.1f}"
        )
    return breaches


def _count_outcomes(sent: list[SentRequest]) -> dict[str, int]:
    """Counts the eight most common request outcomes, by route and response."""
    outcomes = collections.Counter(
        f"{s.kind} {s.reply.status} {s.reply.body[:60]!r}"
        if s.reply and s.reply.status != 200
        else f"{s.kind} {'answered' if s.reply else 'connection lost'}"
        for s in sent
    )
    return dict(outcomes.most_common(8))


def _check_request(
    environment: SoakEnvironment, request: SentRequest
) -> Iterator[str]:
    runs = environment.serving.runs.get(request.id, [])
    reply = request.reply
    if request.kind in RUN_ONCE:
        if len(runs) > 1:
            yield f"run more than once: {request.id} {runs}"
        if runs and reply and reply.status in NOT_EXECUTED_STATUSES:
            yield f"reported as not run: {request.id} {reply.status}"
    revoked_s = environment.keys[request.key]
    if revoked_s is not None and runs:
        late_s = request.sent_s - revoked_s
        if late_s > REVOKE_S + TIMING_SLACK_S:
            yield f"run {late_s:.2f} s after its key was revoked: {request}"
    span = (request.sent_s, request.ended_s)
    # Callers can't read an answer while their own process stands still.
    stalled_s = get_stalled_s(environment.stalls, *span)
    time_s = request.ended_s - request.sent_s - stalled_s
    is_late = time_s > request.deadline_s + TIMING_SLACK_S
    # A gateway process suspended by SIGSTOP cannot answer in time: with seed
    # 100, three streams were open at a gateway suspended for 3.5 s.
    if (
        is_late
        and reply
        and not overlaps_fault(environment, *span, ("freeze_gateway",))
    ):
        yield f"answered late: {request.id}"
    if reply is not None and reply.status < 300:
        yield from _check_answer(request, reply.headers, reply.body)


def _check_answer(
    request: SentRequest, headers: dict[str, str], body: bytes
) -> Iterator[str]:
    reply = request.reply
    assert reply is not None
    if headers.get("response-signature") != SIGNATURE:
        yield f"response without the worker's signature: {request.id}"
    if headers.get("attempt-id") != request.id:
        yield f"response to {headers.get('attempt-id')}: {request.id}"
    if request.expected is not None:
        if body != request.expected:
            yield f"wrong body: {request.id} {body[:80]!r}"
        return
    lines = body.decode().splitlines()
    ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
    if ids != list(range(1, len(ids) + 1)):
        yield f"events out of order: {request.id} {ids}"
    if reply.is_complete and len(ids) != EVENTS:
        yield f"incomplete stream ended as complete: {request.id} {ids}"


def _check_workers(environment: SoakEnvironment) -> Iterator[str]:
    for request, runs in environment.serving.runs.items():
        for at_s, name in runs:
            departure_s = environment.departure_s.get(name)
            if (
                departure_s is None
                or at_s - departure_s <= DRAIN_S + TIMING_SLACK_S
            ):
                continue
            if not _is_notice_delayed(environment, departure_s, at_s):
                yield (
                    f"{request} run {at_s - departure_s:.2f} s"
                    f" after {name} left"
                )
    for worker in environment.workers.values():
        for arrival in worker.arrivals:
            if arrival.headers.get("tenant-id") != WORKSPACE:
                yield f"wrong workspace: {arrival.request_id}"
            if "authorization" in arrival.headers:
                yield f"API key forwarded to the worker: {arrival.request_id}"


def _is_notice_delayed(
    environment: SoakEnvironment, start_s: float, end_s: float
) -> bool:
    """Whether a fault may have delayed the notice that a worker is leaving.

    Only faults of the store, faults of a link (to the store or to a worker)
    and suspended gateways excuse a request sent to the worker after the drain
    time.
    """
    names = ("spoil_store", "restore_store", "spoil_link", "freeze_gateway")
    return overlaps_fault(environment, start_s - DRAIN_S, end_s, names)

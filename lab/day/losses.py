"""Finds requests that were lost, from what callers and workers saw."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Sequence

from lab.day.deployment import (
    CONFIG_APPLY_S,
    CONTACT_S,
    GRACE_S,
    LOSS_SLACK_S,
)
from lab.day.records import (
    Attempt,
    DayRecord,
    Outcome,
    Run,
    RunEnd,
    Work,
    WorkKind,
)

STOP_NOTICE_S = 3.0
"""Seconds from SIGTERM for which callers may not know of it."""
LAST_RATIO = 5 / 6
"""Share of the time for a stop after which work may be cut off."""
AFTER_STOP_S = 1.0
CONFIGURATION_RATIO = 3.0
"""Cuts count as the configuration's if there are so many times more of them."""
LATE_RATIO = 0.7
"""Share of its time after which a cut is not the configuration's."""
TIME_SLACK_S = 0.1
"""Seconds before its deadline or its route's timeout at which a request has
reached it: answers leave so much sooner."""
MAX_UNANSWERED = 3
"""Requests on kept connections that may end without an answer at any time."""


class Cause(enum.Enum):
    """Around what a request was lost."""

    TERM = "term"
    HUP = "hup"
    CONFIGURATION = "configuration"
    NONE = "none"
    """Around nothing that was planned."""


@dataclasses.dataclass(frozen=True)
class Loss:
    """A request that ended with neither an answer nor a refusal.

    Attributes:
        attempt: The request.
        runs: Its runs.
        cause: The planned work around it.
    """

    attempt: Attempt
    runs: Sequence[Run]
    cause: Cause

    def __str__(self) -> str:
        attempt = self.attempt
        runs = [
            f"{run.worker} {run.end.value} {run.begun_s - attempt.sent_s:+.2f}"
            f" to {run.ended_s - attempt.sent_s:+.2f}"
            for run in self.runs
        ]
        return (
            f"{self.cause.value}: {attempt.id} {attempt.request_class.name} at"
            f" {attempt.gateway}, status {attempt.status}, cut after"
            f" {attempt.ended_s - attempt.sent_s:.2f} s, runs {runs}"
        )


def find_losses(record: DayRecord) -> list[Loss]:
    """Returns all requests that were cut without an excuse.

    Those around no planned work break the rule only where there are more than
    `MAX_UNANSWERED` of a kind; `count_broken` says so.
    """
    losses = []
    for attempt in record.attempts:
        runs = record.runs.get(attempt.id, [])
        if _is_cut(record, attempt, runs) and not _is_excused(
            record, attempt, runs
        ):
            losses.append(Loss(attempt, runs, _find_cause(record, attempt)))
    return losses


def count_broken(record: DayRecord, losses: Sequence[Loss]) -> int:
    """Returns how many of the losses break the rule."""
    unanswered = [
        loss
        for loss in losses
        if loss.cause is Cause.NONE
        and loss.attempt.is_kept
        and loss.runs
        and not loss.attempt.status
    ]
    broken = [loss for loss in losses if loss.cause in (Cause.TERM, Cause.HUP)]
    count = len(broken)
    if len(unanswered) > MAX_UNANSWERED:
        count += len(unanswered)
    return count + _count_beside_configurations(record, losses)


def _is_cut(record: DayRecord, attempt: Attempt, runs: Sequence[Run]) -> bool:
    if attempt.outcome is not Outcome.CUT or not record.was_read(attempt):
        return False
    time_s = attempt.ended_s - attempt.sent_s
    return bool(runs) or time_s > LOSS_SLACK_S


def _is_excused(
    record: DayRecord, attempt: Attempt, runs: Sequence[Run]
) -> bool:
    if runs and runs[-1].end is RunEnd.BROKEN_OFF:
        return True
    time_s = attempt.ended_s - attempt.sent_s
    limit_s = min(attempt.deadline_s, attempt.request_class.timeout_s)
    if time_s >= limit_s - TIME_SLACK_S:
        return True
    since_s = attempt.sent_s - CONTACT_S
    works = [w for w in record.works if w.gateway == attempt.gateway]
    return any(
        work.begun_s < attempt.ended_s and work.ended_s > since_s
        for work in works
        if work.kind in (WorkKind.FREEZE, WorkKind.KILL)
    ) or any(
        _is_late_in_stop(work, attempt, runs)
        for work in works
        if work.kind is WorkKind.TERM
    )


def _is_late_in_stop(work: Work, attempt: Attempt, runs: Sequence[Run]) -> bool:
    """Whether a worker was at work late in a stop on an early request."""
    late_s = work.begun_s + LAST_RATIO * GRACE_S
    return (
        attempt.sent_s <= work.begun_s + STOP_NOTICE_S
        and late_s <= attempt.ended_s <= work.begun_s + GRACE_S + AFTER_STOP_S
        and any(run.ended_s >= late_s for run in runs)
    )


def _find_cause(record: DayRecord, attempt: Attempt) -> Cause:
    for work in record.works:
        if work.gateway == attempt.gateway and _is_around(work, attempt):
            return Cause.TERM if work.kind is WorkKind.TERM else Cause.HUP
    if any(_is_beside_configuration(w, attempt) for w in record.works):
        return Cause.CONFIGURATION
    return Cause.NONE


def _is_around(work: Work, attempt: Attempt) -> bool:
    begun_s = work.begun_s
    match work.kind:
        case WorkKind.TERM:
            end_s = begun_s + GRACE_S + AFTER_STOP_S
            return attempt.sent_s <= end_s and begun_s <= attempt.ended_s
        case WorkKind.HUP:
            until_s = begun_s + CONFIG_APPLY_S
            return attempt.sent_s <= until_s and begun_s <= attempt.ended_s
    return False


def _is_beside_configuration(work: Work, attempt: Attempt) -> bool:
    if work.kind is not WorkKind.CONFIGURATION:
        return False
    until_s = work.ended_s + CONFIG_APPLY_S + 1.0
    return work.begun_s <= attempt.ended_s <= until_s


def _count_beside_configurations(
    record: DayRecord, losses: Sequence[Loss]
) -> int:
    """Counts losses beside configurations at gateways that cut more then."""
    count = 0
    for gateway in {attempt.gateway for attempt in record.attempts}:
        own = [loss for loss in losses if loss.attempt.gateway == gateway]
        beside = [loss for loss in own if loss.cause is Cause.CONFIGURATION]
        others = [loss for loss in own if loss.cause is Cause.NONE]
        beside_s, others_s = _measure_times(record)
        rate = len(beside) / max(beside_s, 1e-9)
        if rate <= CONFIGURATION_RATIO * len(others) / max(others_s, 1e-9):
            continue
        count += sum(not _is_late(loss.attempt) for loss in beside)
    return count


def _measure_times(record: DayRecord) -> tuple[float, float]:
    """Returns the seconds beside configurations, and those without."""
    sent = [attempt.sent_s for attempt in record.attempts]
    begun_s, ended_s = min(sent), max(sent)
    covered_s, last_s = 0.0, -math.inf
    for work in sorted(record.works, key=lambda w: w.begun_s):
        if work.kind is not WorkKind.CONFIGURATION:
            continue
        first_s = max(work.begun_s, last_s, begun_s)
        last_s = max(last_s, work.ended_s + CONFIG_APPLY_S + 1.0)
        covered_s += max(0.0, min(last_s, ended_s) - first_s)
    return covered_s, max(0.0, ended_s - begun_s - covered_s)


def _is_late(attempt: Attempt) -> bool:
    limit_s = min(attempt.deadline_s, attempt.request_class.timeout_s)
    return attempt.ended_s - attempt.sent_s >= LATE_RATIO * limit_s

"""Finds times of skewed connections in which too few requests were served."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from lab.day.deployment import CONTACT_S
from lab.day.records import Attempt, DayRecord, Outcome, WorkKind
from lab.skew import MIN_SERVED_RATIO, SkewResult

BEFORE_S = 5.0
FAULTS = (WorkKind.FREEZE, WorkKind.KILL)


def find_starved(record: DayRecord) -> list[SkewResult]:
    """Returns the times in which too few requests were served."""
    return [
        result
        for result in get_skew_results(record)
        if result.can_be_judged and result.ratio < MIN_SERVED_RATIO
    ]


def summarize_skews(record: DayRecord) -> list[str]:
    """Returns a line for each time of skewed connections."""
    return [str(result) for result in get_skew_results(record)]


def get_skew_results(record: DayRecord) -> Iterator[SkewResult]:
    """Yields what was served in each time of skewed connections."""
    first_read = list(_get_first_read(record))
    for work in record.works:
        if work.kind is not WorkKind.SKEW:
            continue
        begun_s, ended_s = work.begun_s, work.ended_s
        before = _select(record, first_read, begun_s - BEFORE_S, begun_s)
        during = _select(record, first_read, begun_s + CONTACT_S, ended_s)
        yield SkewResult(
            work.gateway,
            _count(before),
            _count(during),
            _count_unread(record, first_read, begun_s + CONTACT_S, ended_s),
        )


def _get_first_read(record: DayRecord) -> Iterator[Attempt]:
    """Yields the first attempt at each request that a gateway has read.

    A caller's leave shows nothing; those without any read attempt yield none.
    """
    requests = set()
    for attempt in record.attempts:
        is_over = attempt.outcome is not Outcome.OPEN
        if attempt.request_id in requests or not is_over:
            continue
        if record.was_read(attempt):
            requests.add(attempt.request_id)
            yield attempt


def _count_unread(
    record: DayRecord, first_read: Sequence[Attempt], from_s: float, to_s: float
) -> int:
    sent = {
        attempt.request_id
        for attempt in record.attempts
        if from_s <= attempt.sent_s < to_s
        and attempt.outcome is not Outcome.OPEN
    }
    return len(sent - {attempt.request_id for attempt in first_read})


def _select(
    record: DayRecord, attempts: Iterable[Attempt], from_s: float, to_s: float
) -> list[Attempt]:
    return [
        attempt
        for attempt in attempts
        if from_s <= attempt.sent_s < to_s and not _is_excused(record, attempt)
    ]


def _is_excused(record: DayRecord, attempt: Attempt) -> bool:
    since_s = attempt.sent_s - CONTACT_S
    return any(
        work.begun_s < attempt.ended_s and work.ended_s > since_s
        for work in record.works
        if work.kind in FAULTS and work.gateway == attempt.gateway
    )


def _count(attempts: Sequence[Attempt]) -> tuple[int, int]:
    return len(attempts), sum(attempt.is_served for attempt in attempts)

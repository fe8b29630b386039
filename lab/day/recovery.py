"""Finds times of skewed connections in which too few requests were served."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Sequence

from lab.day.deployment import CONTACT_S
from lab.day.records import Attempt, DayRecord, Outcome, WorkKind

BEFORE_S = 5.0
MIN_REQUESTS = 20
MIN_SERVED_RATIO = 0.75
"""Minimum of the ratio of requests that are served, as a share of the ratio in
the seconds before."""
FAULTS = (WorkKind.FREEZE, WorkKind.KILL)


@dataclasses.dataclass(frozen=True)
class SkewResult:
    """What was served while most connections went to one gateway.

    Attributes:
        gateway: The gateway that got them first.
        before: Requests of the seconds before, and how many were served.
        during: The same from `CONTACT_S` on until the end.
        unread: Requests of that time of which no attempt was read.
    """

    gateway: str
    before: tuple[int, int]
    during: tuple[int, int]
    unread: int

    @property
    def ratio(self) -> float:
        """Ratio of served requests, as a share of the ratio before."""
        before = self.before[1] / max(1, self.before[0])
        return self.during[1] / max(1, self.during[0]) / max(1e-9, before)

    def __str__(self) -> str:
        return (
            f"skew to {self.gateway}: {self.during[1]} of {self.during[0]}"
            f" served at the first try that was read, {self.before[1]} of"
            f" {self.before[0]} before ({self.ratio:.2f}), {self.unread} unread"
        )


def find_starved(record: DayRecord) -> list[SkewResult]:
    """Returns the times in which too few requests were served."""
    return [
        result
        for result in get_skew_results(record)
        if min(result.before[0], result.during[0]) >= MIN_REQUESTS
        and result.ratio < MIN_SERVED_RATIO
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

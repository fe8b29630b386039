"""What an upstream says of itself in its answers.

An upstream in need names in its answers the number of requests per second that
it accepts from all gateways together. Nobody else knows that, and an upstream
that is sent more falls over. The statement binds on every path on which a
request reaches the upstream.

Each process of an upstream has notices of its own: what an earlier process
under the same id has said does not bind a later one.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Sequence

MAX_REQUESTS_PER_S = 1e5
"""Upper bound of a stated request limit: no upstream gets more requests."""
MAX_REPORTED_CHARS = 60
"""Maximum length of the text of a malformed statement that is reported."""


class NoticeKind(enum.Enum):
    """Kinds of statements that an upstream makes about itself."""

    REQUEST_LIMIT = "request_limit"


@dataclasses.dataclass(frozen=True)
class AnswerNotices:
    """Statements in the head of one answer, as they were received.

    Each value is a tuple with one text for each time that the statement was
    made; it is empty where the answer does not make the statement.

    Attributes:
        request_limit: Requests per second that the upstream accepts from all
            gateways together.
    """

    request_limit: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class NoticeChange:
    """A change of what is known from an upstream's statements.

    Attributes:
        kind: Kind of the statement.
        value: The new value; None where the statement no longer holds.
        previous: The previous value; None where there was none.
        malformed: Text that could not be used; None where all could.
    """

    kind: NoticeKind
    value: float | None
    previous: float | None = None
    malformed: str | None = None


class UpstreamNotices:
    """What one process of an upstream has said of itself to this gateway."""

    def __init__(self) -> None:
        self._limit_per_s: float | None = None
        self._limit_heard_s = -math.inf
        self._malformed_kinds: set[NoticeKind] = set()

    @property
    def limit_per_s(self) -> float | None:
        """Requests per second accepted from all gateways; None for no limit."""
        return self._limit_per_s

    def record_answer(
        self, notices: AnswerNotices, sent_s: float, now_s: float
    ) -> list[NoticeChange]:
        """Records the statements of an answer.

        An answer without a limit ends the limit only if its request was sent
        after the limit was last stated: answers on different connections may
        overtake each other.

        Args:
            notices: Statements of the answer.
            sent_s: Monotonic time in seconds at which the request was sent.
            now_s: Monotonic time in seconds.

        Returns:
            What has changed, and statements that could not be used.
        """
        if notices.request_limit:
            return self._record_limit(notices.request_limit, now_s)
        if self._limit_per_s is None or sent_s < self._limit_heard_s:
            return []
        previous, self._limit_per_s = self._limit_per_s, None
        return [NoticeChange(NoticeKind.REQUEST_LIMIT, None, previous)]

    def _record_limit(
        self, texts: Sequence[str], now_s: float
    ) -> list[NoticeChange]:
        value = parse_number(texts)
        if value is None:
            return self._make_malformed(NoticeKind.REQUEST_LIMIT, texts)
        previous = self._limit_per_s
        self._limit_per_s = min(value, MAX_REQUESTS_PER_S)
        self._limit_heard_s = now_s
        if previous == self._limit_per_s:
            return []
        return [
            NoticeChange(NoticeKind.REQUEST_LIMIT, self._limit_per_s, previous)
        ]

    def _make_malformed(
        self, kind: NoticeKind, texts: Sequence[str]
    ) -> list[NoticeChange]:
        """Reports an unusable statement, once for each kind."""
        if kind in self._malformed_kinds:
            return []
        self._malformed_kinds.add(kind)
        text = ", ".join(texts)[:MAX_REPORTED_CHARS]
        return [NoticeChange(kind, None, malformed=text)]


def parse_number(texts: Sequence[str]) -> float | None:
    """Returns the smallest of the stated numbers.

    A statement that is made twice with different values binds by its strictest
    value. Texts that are no finite number of 0 or more are ignored.

    Args:
        texts: The stated numbers.

    Returns:
        The number; None where no text is one.
    """
    numbers = []
    for text in texts:
        for part in text.split(","):
            try:
                number = float(part)
            except ValueError:
                continue
            if math.isfinite(number) and number >= 0.0:
                numbers.append(number)
    return min(numbers, default=None)

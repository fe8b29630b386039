"""What an upstream says of itself in its answers.

An upstream in need names in its answers the number of requests per second that
it accepts from all gateways together. Nobody else knows that, and an upstream
that is sent more falls over. An upstream that leaves says so in its answers:
while the store is away, it can't say so there. An upstream that refuses a
request may ask this gateway for a rest; with its empty queue it would otherwise
attract more requests than any other. The statements bind on every path on which
a request reaches the upstream.

Each process of an upstream has notices of its own: what an earlier process
under the same id has said does not bind a later one.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Callable, Sequence

from lovagestage.decisions.send_rates import RateLimit, SendLog

MAX_REQUESTS_PER_S = 1e5
"""Upper bound of a stated request limit: no upstream gets more requests."""
UNCONFIRMED_RETENTION_S = 60.0
"""Time in seconds for which a limit holds that nobody has confirmed. Gateways
that share the limit confirm it to the others several times in this time."""
MIN_RATE_PER_S = 1.0 / UNCONFIRMED_RETENTION_S
"""Smallest limit from which times are computed."""
RECHECK_RATIO = 0.25
"""Part of a limit that gateways may use together to find out whether it still
holds, once nobody has confirmed it."""
MAX_REST_S = 300.0
"""Longest rest in seconds that is applied: an upstream that states an absurd
time is asked again after this one."""
MAX_REPORTED_CHARS = 60
"""Maximum length of the text of a malformed statement that is reported."""
_YES, _NO = "1", "0"


class NoticeKind(enum.Enum):
    """Kinds of statements that an upstream makes about itself."""

    REQUEST_LIMIT = "request_limit"
    LEAVING = "leaving"
    REST = "rest"


class Denial(enum.Enum):
    """Why an upstream gets no further request from this gateway for now."""

    COLD = "upstreams_cold"
    LEAVING = "upstreams_leaving"
    LIMITED = "upstreams_limited"
    RESTING = "upstreams_resting"


@dataclasses.dataclass(frozen=True)
class Permission:
    """Whether a request may be sent to an upstream.

    Attributes:
        denial: Why not; None where it may be sent.
        wait_s: Time in seconds until the upstream accepts another request from
            any gateway; None where it will not.
        interval_s: Mean time in seconds between requests that it accepts from
            then on; 0 for no limit.
    """

    denial: Denial | None = None
    wait_s: float | None = 0.0
    interval_s: float = 0.0


PERMITTED = Permission()


@dataclasses.dataclass(frozen=True)
class AnswerNotices:
    """Statements in the head of one answer, as they were received.

    Each value is a tuple with one text for each time that the statement was
    made; it is empty where the answer does not make the statement.

    Attributes:
        request_limit: Requests per second that the upstream accepts from all
            gateways together.
        leaving: "1" if the upstream is leaving.
        rest: Time in seconds for which the upstream wants no requests from
            this gateway; it counts in an answer that refuses a request.
        is_refusal: Whether the answer refuses the request for now.
    """

    request_limit: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    rest: tuple[str, ...] = ()
    is_refusal: bool = False


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
        self._is_leaving = False
        self._rest_until_s = -math.inf
        self._malformed_kinds: set[NoticeKind] = set()

    @property
    def limit_per_s(self) -> float | None:
        """Requests per second accepted from all gateways; None for no limit."""
        return self._limit_per_s

    @property
    def limit_heard_s(self) -> float:
        """Time in seconds of the newest statement about the limit."""
        return self._limit_heard_s

    @property
    def is_leaving(self) -> bool:
        """Whether the process has said that it is leaving; that is final."""
        return self._is_leaving

    def get_kinds(self, now_s: float) -> list[NoticeKind]:
        """Returns the kinds of statements that are in force."""
        in_force = {
            NoticeKind.REQUEST_LIMIT: self._limit_per_s is not None,
            NoticeKind.LEAVING: self._is_leaving,
            NoticeKind.REST: now_s < self._rest_until_s,
        }
        return [kind for kind, holds in in_force.items() if holds]

    def check(
        self, share: RateLimit, sends: SendLog, now_s: float, is_placed: bool
    ) -> Permission:
        """Decides whether a request may be sent to the upstream.

        Args:
            share: Limit of this gateway's requests while the upstream states a
                request limit.
            sends: This gateway's requests to the upstream.
            now_s: Monotonic time in seconds.
            is_placed: Whether the request is already counted in `sends`.
        """
        if self._is_leaving:
            return Permission(Denial.LEAVING, None)
        if now_s < self._rest_until_s:
            return Permission(Denial.RESTING, self._rest_until_s - now_s)
        if self._limit_per_s is None:
            return PERMITTED
        # A gateway without a share tells its caller when others may send.
        others_wait_s = 1.0 / max(MIN_RATE_PER_S, self._limit_per_s)
        return check_rate(
            share, sends, now_s, is_placed, Denial.LIMITED, others_wait_s
        )

    def is_limit_unconfirmed(
        self, gateways: int, place: float, now_s: float
    ) -> bool:
        """Returns whether this gateway may check if the limit still holds.

        An upstream that no gateway sends to confirms nothing and gets nothing,
        for ever. Once its limit was not confirmed for long enough, the gateways
        may each send one request, at times that are spread so widely that all
        of these stay within `RECHECK_RATIO` of the limit.

        Args:
            gateways: Number of known gateways, this one included.
            place: This gateway's place in the spread, from 0 to 1.
            now_s: Monotonic time in seconds.
        """
        if self._limit_per_s is None:
            return False
        per_s = max(MIN_RATE_PER_S, self._limit_per_s)
        spread_s = gateways / (RECHECK_RATIO * per_s)
        due_s = UNCONFIRMED_RETENTION_S + place * spread_s
        return now_s - self._limit_heard_s > due_s

    def record_peer_limit(self, per_s: float | None, heard_s: float) -> bool:
        """Records what another gateway has read in the upstream's answers.

        Args:
            per_s: The limit; None where the upstream no longer states one.
            heard_s: Monotonic time in seconds at which that gateway read it.

        Returns:
            Whether the limit has changed.
        """
        if heard_s <= self._limit_heard_s:
            return False
        previous = self._limit_per_s
        self._limit_heard_s = heard_s
        self._limit_per_s = (
            None if per_s is None else min(per_s, MAX_REQUESTS_PER_S)
        )
        return previous != self._limit_per_s

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
        return [
            *self._record_limit(notices.request_limit, sent_s, now_s),
            *self._record_leaving(notices.leaving),
            *self._record_rest(notices, now_s),
        ]

    def _record_rest(
        self, notices: AnswerNotices, now_s: float
    ) -> list[NoticeChange]:
        if not notices.rest or not notices.is_refusal:
            return []
        value = parse_number(notices.rest, max)
        if value is None:
            return self._make_malformed(NoticeKind.REST, notices.rest)
        was_resting = now_s < self._rest_until_s
        rest_s = min(value, MAX_REST_S)
        self._rest_until_s = max(self._rest_until_s, now_s + rest_s)
        # Requests that were under way are refused as well, and each of them
        # prolongs the rest a little.
        return [] if was_resting else [NoticeChange(NoticeKind.REST, rest_s)]

    def _record_leaving(self, texts: Sequence[str]) -> list[NoticeChange]:
        stated = {part.strip() for text in texts for part in text.split(",")}
        if _YES in stated and not self._is_leaving:
            self._is_leaving = True
            return [NoticeChange(NoticeKind.LEAVING, 1.0)]
        if stated - {_YES, _NO}:
            return self._make_malformed(NoticeKind.LEAVING, texts)
        return []

    def _record_limit(
        self, texts: Sequence[str], sent_s: float, now_s: float
    ) -> list[NoticeChange]:
        if texts:
            return self._record_stated_limit(texts, now_s)
        if self._limit_per_s is None or sent_s < self._limit_heard_s:
            return []
        previous, self._limit_per_s = self._limit_per_s, None
        self._limit_heard_s = now_s
        return [NoticeChange(NoticeKind.REQUEST_LIMIT, None, previous)]

    def _record_stated_limit(
        self, texts: Sequence[str], now_s: float
    ) -> list[NoticeChange]:
        value = parse_number(texts, min)
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


def check_rate(
    share: RateLimit,
    sends: SendLog,
    now_s: float,
    is_placed: bool,
    denial: Denial,
    others_wait_s: float,
) -> Permission:
    """Decides whether a request stays within this gateway's share of a rate.

    Args:
        share: The gateway's share.
        sends: The gateway's requests to the upstream.
        now_s: Monotonic time in seconds.
        is_placed: Whether the request is already counted in `sends`.
        denial: The reason to report if it does not.
        others_wait_s: Time in seconds until another gateway may send, for a
            gateway without a share.
    """
    is_permitted = (
        sends.is_within(share, now_s)
        if is_placed
        else sends.has_capacity(share, now_s)
    )
    if is_permitted:
        return PERMITTED
    if not share.requests:
        return Permission(denial, others_wait_s, others_wait_s)
    interval_s = share.span_s / share.requests
    return Permission(denial, sends.get_wait_s(share, now_s), interval_s)


def parse_number(
    texts: Sequence[str],
    choose_strictest: Callable[[Sequence[float]], float],
) -> float | None:
    """Returns a stated number.

    A statement that is made twice with different values binds by its strictest
    value. Texts that are no finite number of 0 or more are ignored.

    Args:
        texts: The stated numbers.
        choose_strictest: Returns the strictest of several numbers.

    Returns:
        The number; None where no text is one.
    """
    parts = [part for text in texts for part in text.split(",")]
    numbers = [
        number for part in parts if (number := _parse_part(part)) is not None
    ]
    return choose_strictest(numbers) if numbers else None


def _parse_part(text: str) -> float | None:
    # Python's own notation of numbers with underscores is no number here.
    if "_" in text:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None

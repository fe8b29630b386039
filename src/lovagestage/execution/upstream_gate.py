"""Applies what the sidecar's upstream says of itself to each new request.

All entries reach an upstream through its sidecar alone, so the sidecar uses the
whole of a request limit that the upstream states.
"""

from __future__ import annotations

import logging
import time

from lovagestage.decisions.limit_sharing import MIN_REQUESTS_PER_S
from lovagestage.decisions.send_rates import (
    NO_REQUESTS,
    SendLog,
    make_spaced_limit,
)
from lovagestage.decisions.upstream_notices import (
    AnswerNotices,
    NoticeChange,
    Permission,
    UpstreamNotices,
)

_log = logging.getLogger(__name__)

DEPARTURE_RETENTION_S = 30.0
"""Time in seconds for which a stated departure holds. An upstream that starts
again under the same address faster than its state is read would otherwise get
nothing, for ever."""


class UpstreamGate:
    """Knows the notices of one upstream and counts the requests to it."""

    def __init__(self) -> None:
        self._sends = SendLog()
        self._notices = UpstreamNotices()
        self._departure_stated_s = 0.0

    def reset(self) -> None:
        """Forgets all notices: the next answer is another process's."""
        self._notices = UpstreamNotices()

    def record_answer(self, notices: AnswerNotices, sent_s: float) -> None:
        """Records what an answer says of the upstream; logs changes.

        Args:
            notices: Statements of the answer.
            sent_s: Monotonic time in seconds at which the request was sent.
        """
        now_s = time.monotonic()
        for change in self._notices.record_answer(notices, sent_s, now_s):
            _log_change(change)
        if notices.leaving and self._notices.is_leaving:
            self._departure_stated_s = now_s

    def record_sent(self) -> None:
        """Counts a request that is sent to the upstream."""
        self._sends.record_placed()
        self._sends.record_sent(time.monotonic())

    def check(self) -> Permission:
        """Returns whether the upstream accepts another request now."""
        now_s = time.monotonic()
        if self._is_departure_old(now_s):
            self.reset()
        share = NO_REQUESTS
        limit_per_s = self._notices.limit_per_s
        if limit_per_s is not None:
            share = make_spaced_limit(max(MIN_REQUESTS_PER_S, limit_per_s))
        return self._notices.check(share, self._sends, now_s, is_placed=False)

    def _is_departure_old(self, now_s: float) -> bool:
        age_s = now_s - self._departure_stated_s
        return self._notices.is_leaving and age_s > DEPARTURE_RETENTION_S


def _log_change(change: NoticeChange) -> None:
    if change.malformed is not None:
        _log.warning(
            "upstream_notice_malformed",
            extra={"notice": change.kind.value, "text": change.malformed},
        )
        return
    _log.info(
        "upstream_notice_changed",
        extra={
            "notice": change.kind.value,
            "value": change.value,
            "previous": change.previous,
        },
    )

"""Reads what an engine or plain service says of itself in its answers."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp

from lovagestage.decisions.upstream_notices import AnswerNotices

HEADER_REQUEST_LIMIT = "X-Request-Limit"
HEADER_LEAVING = "X-Leaving"
_UNAVAILABLE_STATUS = 503
"""Status with which an upstream speaks of itself. The status 429 speaks of one
caller, whose rest must not be that of all others."""

NoticeListener = Callable[[AnswerNotices, float], None]
"""Called with the notices of an answer, and the monotonic time in seconds at
which its request was sent."""


def read_notices(response: aiohttp.ClientResponse) -> AnswerNotices:
    """Returns what the head of an answer says of the upstream."""
    headers = response.headers
    return AnswerNotices(
        request_limit=tuple(headers.getall(HEADER_REQUEST_LIMIT, ())),
        leaving=tuple(headers.getall(HEADER_LEAVING, ())),
        rest=tuple(headers.getall("Retry-After", ())),
        is_refusal=response.status == _UNAVAILABLE_STATUS,
    )

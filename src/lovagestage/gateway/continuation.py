"""Waits until a stream that has started can go on after the end of a run.

Its caller can get no refusal any more and loses the rest of the stream if no
upstream continues it, while a pause only makes it late.
"""

from __future__ import annotations

import asyncio
import logging

from lovagestage.gateway.attempts import MIN_REMAINING_S, Attempts
from lovagestage.gateway.clocks import get_elapsed_s

_log = logging.getLogger(__name__)
POLL_S = 0.1
"""Interval in seconds between looks at whether a stream can go on: short for a
caller that waits for the next event, and long enough that an upstream which is
full is not asked again immediately."""


async def wait_for_retry(attempts: Attempts) -> bool:
    """Waits for a retry of a stream whose run the gateway has given up.

    Returns:
        Whether a retry was taken; False where none may follow.
    """
    while attempts.get_obstacle(outlasts_refusals=True) is None:
        if attempts.permit.take(get_elapsed_s()):
            return True
        await asyncio.sleep(POLL_S)
    return False


async def wait_for_upstream(attempts: Attempts, is_owed: bool) -> None:
    """Waits for an upstream at which a stream can go on.

    The wait lasts no longer than a stream that is on time may pause; after that
    its caller does better to resume it at another gateway. Where the gateway
    has given up a run that might have gone on, the wait lasts until the
    deadline, and upstreams that failed or refused the request get it again
    once they are healthy.

    Args:
        attempts: Attempts of the request.
        is_owed: Whether the gateway has given up a run of the stream.
    """
    if attempts.has_other_upstream():
        return
    begun_s = get_elapsed_s()
    limit_s = attempts.remaining_s - MIN_REMAINING_S
    if is_owed:
        attempts.forget_exclusions()
    else:
        limit_s = min(limit_s, attempts.admitted.route.max_event_interval_s)
    while get_elapsed_s() < begun_s + limit_s:
        await asyncio.sleep(POLL_S)
        if attempts.has_healthy_upstream():
            break
    _log.info(
        "upstream_awaited",
        extra={
            "request": attempts.admitted.request.id,
            "attempts": attempts.sent,
            "waited_s": round(get_elapsed_s() - begun_s, 3),
            "left_s": round(attempts.remaining_s, 3),
        },
    )

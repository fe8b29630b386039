"""Prepares the next run of a request after one without a complete answer.

The caller of a stream that has started can get no refusal any more and loses
the rest if no upstream continues it, while a pause only makes it late. So does
the caller of a request whose run was given up for its silence: it might have
been answered.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection

from lovagestage.exceptions import AttemptFailedError
from lovagestage.gateway.attempts import MIN_REMAINING_S, Attempts
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.types import InstanceId

_log = logging.getLogger(__name__)
POLL_S = 0.1
"""Interval in seconds between looks at whether a stream can go on: short for a
caller that waits for the next event, and long enough that an upstream which is
full is not asked again immediately."""


class Continuation:
    """Prepares the runs of one request after its first one.

    Args:
        attempts: Attempts of the request.
    """

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts
        # Upstreams that might still have gone on when their runs were given up,
        # so that the caller is owed the answer.
        self._given_up: list[InstanceId] = []

    async def prepare_run(
        self, failure: AttemptFailedError, is_started: bool
    ) -> None:
        """Waits until the next run may begin.

        Args:
            failure: How the last run ended.
            is_started: Whether the caller has got a part of the answer.

        Raises:
            AttemptFailedError: A stream that has started may not go on.
            GatewayRefusalError: The request may not be sent again.
        """
        attempts = self._attempts
        if attempts.permit.is_reserved:
            self._given_up.append(attempts.tried[-1])
        if self._given_up:
            may_go_on = await _wait_for_retry(attempts)
        else:
            may_go_on = attempts.may_retry()
        if not may_go_on:
            if is_started:
                raise failure
            raise attempts.make_refusal(failure.reason) from failure
        if is_started or self._given_up:
            await _wait_for_upstream(attempts, self._given_up)


async def _wait_for_retry(attempts: Attempts) -> bool:
    """Waits for a retry of a request whose run the gateway has given up.

    Returns:
        Whether a retry was taken; False where none may follow.
    """
    while attempts.get_obstacle(outlasts_refusals=True) is None:
        if attempts.permit.take(get_elapsed_s()):
            return True
        await asyncio.sleep(POLL_S)
    return False


async def _wait_for_upstream(
    attempts: Attempts, given_up: Collection[InstanceId]
) -> None:
    """Waits for an upstream at which a request can go on.

    For a stream the wait lasts no longer than one that is on time may pause;
    after that its caller does better to resume it at another gateway. Where the
    gateway has given up a run that might have gone on, the wait lasts until the
    deadline, and that run's upstream gets the request again.

    Args:
        attempts: Attempts of the request.
        given_up: Upstreams whose runs of the request were given up.
    """
    if attempts.has_other_upstream():
        return
    begun_s = get_elapsed_s()
    limit_s = attempts.remaining_s - MIN_REMAINING_S
    if given_up:
        attempts.readmit(given_up)
        is_found = attempts.has_other_upstream
    else:
        limit_s = min(limit_s, attempts.admitted.route.max_event_interval_s)
        is_found = attempts.has_healthy_upstream
    while get_elapsed_s() < begun_s + limit_s:
        await asyncio.sleep(POLL_S)
        if is_found():
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

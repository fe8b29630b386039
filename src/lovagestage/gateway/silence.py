"""Waits for data from an upstream, and decides when its silence is enough.

A run is given up for its silence only where another one may really follow: the
request may run again, another upstream is healthy, and the retry is taken from
the budget before the run is given up. Otherwise the wait goes on until the
request's deadline, and the decision is made again from time to time.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from types import TracebackType
from typing import Self, TypeVar

from lovagestage.adapters.running_time import RunningTimer
from lovagestage.decisions.crash_admission import Admission
from lovagestage.exceptions import AttemptFailedError
from lovagestage.gateway.attempts import Attempts
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.crash_detection import SuspectWatch
from lovagestage.gateway.retry_permit import Obstacle
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import RunState

_log = logging.getLogger(__name__)
RECHECK_S = 0.2
"""Interval in seconds between decisions on a run that stays silent: far under
the shortest interval between events that routes allow, and long against the
time that a decision takes."""
_FINAL_OBSTACLES = (
    Obstacle.NO_TIME_LEFT,
    Obstacle.ATTEMPTS_USED,
    Obstacle.MAY_RUN_ONCE,
)
"""Obstacles that do not pass while the run goes on."""
_Result = TypeVar("_Result")


async def wait_for_data(
    suspects: SuspectWatch,
    attempts: Attempts,
    upstream: Upstream,
    awaitable: Awaitable[_Result],
    patience_s: float,
) -> _Result:
    """Waits for data from an upstream, until the request's deadline.

    Args:
        suspects: Tracks requests that may crash upstreams.
        attempts: Attempts of the request.
        upstream: The upstream of the last attempt.
        awaitable: The read to wait for.
        patience_s: Time in seconds after which the run may be given up where
            another one may follow. A retry is reserved for that one.

    Returns:
        The result of the read.

    Raises:
        AttemptFailedError: The upstream sent nothing in time. This counts as a
            fault of the upstream if the request has time left.
    """
    try:
        async with asyncio.timeout(max(0.0, attempts.remaining_s)) as timeout:
            with _Silence(suspects, attempts, upstream, patience_s, timeout):
                return await awaitable
    except TimeoutError as error:
        raise AttemptFailedError(
            "silent", RunState.UNKNOWN, attempts.remaining_s > 0.0
        ) from error


def find_obstacle(
    suspects: SuspectWatch, attempts: Attempts, upstream: Upstream
) -> Obstacle | None:
    """Returns why no attempt would follow the run at an upstream.

    Returns:
        The obstacle; None if there is none. A retry is reserved then.
    """
    obstacle = attempts.get_obstacle()
    if obstacle is not None:
        return obstacle
    if not attempts.has_healthy_upstream(besides=upstream):
        return Obstacle.NO_UPSTREAM
    admission = suspects.admit(attempts.fingerprint, attempts.parts)
    if admission is not Admission.FREE:
        return Obstacle.SUSPECT
    if not attempts.permit.reserve(get_elapsed_s()):
        return Obstacle.NO_RETRY_LEFT
    return None


class _Silence:
    """Ends a wait early once the run may be given up."""

    def __init__(
        self,
        suspects: SuspectWatch,
        attempts: Attempts,
        upstream: Upstream,
        patience_s: float,
        timeout: asyncio.Timeout,
    ) -> None:
        self._suspects = suspects
        self._attempts = attempts
        self._upstream = upstream
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._begun_s = self._loop.time()
        self._obstacle: Obstacle | None = None
        self._timer: RunningTimer | asyncio.TimerHandle = RunningTimer(
            patience_s, self._decide
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._timer.cancel()
        if kind is None:
            # The run goes on, also where data came with the decision.
            self._attempts.permit.cancel_reservation()
        if self._obstacle is None:
            return
        attempts = self._attempts
        _log.info(
            "silence_waited_through",
            extra={
                "request": attempts.admitted.request.id,
                "upstream": self._upstream.id,
                "obstacle": self._obstacle.value,
                "silent_s": round(self._loop.time() - self._begun_s, 3),
                "ended": "data" if kind is None else "no_data",
                "attempts": attempts.sent,
                "left_s": round(attempts.remaining_s, 3),
            },
        )

    def _decide(self) -> None:
        if self._timeout.expired():
            return
        obstacle = find_obstacle(self._suspects, self._attempts, self._upstream)
        if obstacle is None:
            self._obstacle = None
            self._timeout.reschedule(self._loop.time())
            return
        self._obstacle = obstacle
        if obstacle not in _FINAL_OBSTACLES:
            self._timer = self._loop.call_later(RECHECK_S, self._decide)

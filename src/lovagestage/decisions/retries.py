"""Pure decisions on whether and when a failed attempt is retried."""

from __future__ import annotations

import dataclasses

from lovagestage.exceptions import (
    DeadlineExceededError,
    DispatchLostError,
    IsolatedRunPendingError,
    ModelNotAllowedError,
    RequestCrashesUpstreamsError,
    RequestRefusedError,
    RouteNotAllowedError,
)
from lovagestage.types import RunState

MAX_ATTEMPTS = 4
"""Maximum number of attempts per request, including the first one."""
BACKOFF_BASE_S = 0.05
"""Maximum wait in seconds after the first attempt; it doubles with each
attempt."""
MAX_BACKOFF_S = 1.0
"""Upper limit in seconds of the wait between two attempts."""
BUDGET_RATIO = 0.1
"""Number of retries that each request adds to the budget."""
BUDGET_MINIMUM_PER_S = 5.0
"""Number of retries per second that the budget earns regardless of requests."""
BUDGET_LIMIT = 128.0
"""Maximum number of retries that may accumulate. The loss of one upstream fails
all of its running requests simultaneously, and these are to be retried."""
RETRY_AFTER_S = 1
"""Seconds after which a caller is asked to retry a failed request."""
PROBE_WAIT_S = 0.1
"""Mean wait in seconds before a request that waits for a probe is tried
again."""

_FINAL = (
    DeadlineExceededError,
    ModelNotAllowedError,
    RequestCrashesUpstreamsError,
    RouteNotAllowedError,
)


class RetryBudget:
    """Number of retries that an entry may make, as a fraction of its requests.

    Without a budget, each request would be sent `MAX_ATTEMPTS` times if all
    attempts fail, and the load that overloaded the upstreams would prevent
    their recovery.

    Args:
        now_s: Monotonic time in seconds.
        ratio: Retries earned per request.
        minimum_per_s: Retries earned per second regardless of requests.
        limit: Maximum number of retries that may accumulate; also the initial
            number.

    Attributes:
        limit: Maximum number of retries that may accumulate; may be changed.
    """

    def __init__(
        self,
        now_s: float,
        ratio: float = BUDGET_RATIO,
        minimum_per_s: float = BUDGET_MINIMUM_PER_S,
        limit: float = BUDGET_LIMIT,
    ) -> None:
        self._ratio = ratio
        self._minimum_per_s = minimum_per_s
        self.limit = limit
        self._tokens = limit
        self._refilled_s = now_s

    @property
    def tokens(self) -> float:
        """Number of retries that are left."""
        return self._tokens

    def record_request(self, now_s: float) -> None:
        """Adds the retries that one request earns."""
        self._refill(now_s, self._ratio)

    def try_acquire(self, now_s: float, reserve: float = 0.0) -> bool:
        """Acquires one retry; False if no more than the reserve is left."""
        self._refill(now_s, 0.0)
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True

    def release(self) -> None:
        """Releases an acquired retry that was not made."""
        self._tokens = min(self.limit, self._tokens + 1.0)

    def _refill(self, now_s: float, share: float) -> None:
        earned = (now_s - self._refilled_s) * self._minimum_per_s + share
        self._tokens = min(self.limit, self._tokens + earned)
        self._refilled_s = now_s


@dataclasses.dataclass(frozen=True)
class Failure:
    """A failed attempt.

    Attributes:
        error: The error, with the known state of the run.
        attempts: Number of attempts so far, including this one.
        has_forwarded_answer: Whether a part of the answer was forwarded to the
            caller.
        repeatable: Whether the request may run more than once.
        remaining_s: Seconds until the deadline.
    """

    error: RequestRefusedError
    attempts: int
    has_forwarded_answer: bool
    repeatable: bool
    remaining_s: float


def get_backoff_s(attempts: int, jitter: float) -> float:
    """Returns the wait in seconds after an attempt, with full jitter.

    Args:
        attempts: Number of attempts so far, from 1.
        jitter: Random number, uniform over 0 to 1.
    """
    limit_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0 ** (attempts - 1))
    return limit_s * jitter


def is_retryable(failure: Failure) -> bool:
    """Returns whether another attempt would be safe and could succeed.

    A request that may run only once may be sent again only if it is proved that
    it was not run. A part of the answer that the caller has received can't be
    revoked, and a second run may begin with other words.
    """
    if isinstance(failure.error, _FINAL) or failure.has_forwarded_answer:
        return False
    if failure.attempts >= MAX_ATTEMPTS:
        return False
    return failure.error.run is RunState.NOT_RUN or failure.repeatable


def get_retry_delay_s(
    failure: Failure, budget: RetryBudget, now_s: float, jitter: float
) -> float | None:
    """Returns the time until the next attempt; None if the failure is final.

    A request whose next attempt would start after its deadline fails
    immediately, so that its caller can use the remaining time.
    """
    if isinstance(failure.error, IsolatedRunPendingError):
        # Probes run one at a time. Waiting for a turn adds no load to the
        # upstreams and uses no retry of the budget.
        delay_s = PROBE_WAIT_S * (0.5 + jitter)
        return delay_s if delay_s < failure.remaining_s else None
    if not is_retryable(failure):
        return None
    delay_s = get_backoff_s(failure.attempts, jitter)
    if delay_s >= failure.remaining_s or not budget.try_acquire(now_s):
        return None
    return delay_s


def is_upstream_at_fault(error: RequestRefusedError) -> bool:
    """Returns whether the next attempt should use another upstream."""
    return not isinstance(error, DispatchLostError | IsolatedRunPendingError)


def make_final_error(
    failure: Failure,
) -> RequestRefusedError:
    """Returns the error for the caller, with the time to retry after.

    The time is set only if a retry by the caller is safe.
    """
    error = failure.error
    is_final = isinstance(error, _FINAL)
    may_retry = error.run is RunState.NOT_RUN or failure.repeatable
    if error.retry_after_s is None and may_retry and not is_final:
        error.retry_after_s = RETRY_AFTER_S
    return error

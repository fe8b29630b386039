"""Whether and when a failed attempt is made again: pure decisions."""

from __future__ import annotations

import dataclasses

from lovagestage.exceptions import (
    DeadlineExceededError,
    DispatchLostError,
    ModelNotAllowedError,
    RequestCrashesUpstreamsError,
    RequestRefusedError,
    RouteNotAllowedError,
    SuspectWaitingError,
)
from lovagestage.types import RunState

MAX_ATTEMPTS = 4
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 1.0
BUDGET_RATIO = 0.1
BUDGET_MINIMUM_PER_S = 5.0
BUDGET_LIMIT = 128.0
"""Retries that may be saved up: one upstream's loss fails all that it runs
at once, and those are to be answered."""
COME_BACK_S = 1
PROBE_WAIT_S = 0.1

_FINAL = (
    DeadlineExceededError,
    ModelNotAllowedError,
    RequestCrashesUpstreamsError,
    RouteNotAllowedError,
)


class RetryBudget:
    """Retries that an entry may make, as a share of its requests.

    Where everything fails, each request would otherwise be sent
    `MAX_ATTEMPTS` times, and the load that brought the upstreams down would
    keep them down.

    Args:
        now_s: Monotonic time.
        ratio: Retries earned by each request.
        minimum_per_s: Retries earned by time alone.
        limit: Retries that may be saved up; it starts with as many.

    Attributes:
        limit: Retries that may be saved up; it may change.
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
        self._filled_s = now_s

    @property
    def tokens(self) -> float:
        """Retries that are left."""
        return self._tokens

    def note_request(self, now_s: float) -> None:
        """Adds a request's share."""
        self._fill(now_s, self._ratio)

    def take(self, now_s: float, reserve: float = 0.0) -> bool:
        """Takes one retry; False where no more than the reserve is left."""
        self._fill(now_s, 0.0)
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Takes back a retry that was not made."""
        self._tokens = min(self.limit, self._tokens + 1.0)

    def _fill(self, now_s: float, share: float) -> None:
        earned = (now_s - self._filled_s) * self._minimum_per_s + share
        self._tokens = min(self.limit, self._tokens + earned)
        self._filled_s = now_s


@dataclasses.dataclass(frozen=True)
class Failure:
    """An attempt that failed.

    Attributes:
        error: How it failed, with what is known of its run.
        attempts: Attempts made so far, with this one.
        passed_on: Whether the caller has had a part of the answer.
        repeatable: Whether the request may run more than once.
        remaining_s: Time until the deadline.
    """

    error: RequestRefusedError
    attempts: int
    passed_on: bool
    repeatable: bool
    remaining_s: float


def get_backoff_s(attempts: int, jitter: float) -> float:
    """Time to wait after so many attempts, with full jitter.

    Args:
        attempts: Attempts made, from 1.
        jitter: Uniform over 0 to 1.
    """
    limit_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2.0 ** (attempts - 1))
    return limit_s * jitter


def is_retryable(failure: Failure) -> bool:
    """Whether another attempt would be safe and could help.

    Only a proof that the request was not run makes it safe to send one that
    may run once. What the caller has had can't be taken back, and a second
    run need not begin with the same words.
    """
    if isinstance(failure.error, _FINAL) or failure.passed_on:
        return False
    if failure.attempts >= MAX_ATTEMPTS:
        return False
    return failure.error.run is RunState.NOT_RUN or failure.repeatable


def get_retry_delay_s(
    failure: Failure, budget: RetryBudget, now_s: float, jitter: float
) -> float | None:
    """Time until the next attempt; None where the failure is final.

    A request that would only be tried again after its deadline is given up
    now: its caller can use the time.
    """
    if isinstance(failure.error, SuspectWaitingError):
        # Probes run one at a time; the wait for a turn puts no load on the
        # upstreams and takes nothing from the budget.
        delay_s = PROBE_WAIT_S * (0.5 + jitter)
        return delay_s if delay_s < failure.remaining_s else None
    if not is_retryable(failure):
        return None
    delay_s = get_backoff_s(failure.attempts, jitter)
    if delay_s >= failure.remaining_s or not budget.take(now_s):
        return None
    return delay_s


def is_upstream_at_fault(error: RequestRefusedError) -> bool:
    """Whether the next attempt should go to another upstream."""
    return not isinstance(error, DispatchLostError | SuspectWaitingError)


def make_final_error(
    failure: Failure,
) -> RequestRefusedError:
    """The failure as its caller gets it, with when to come back."""
    error = failure.error
    final = isinstance(error, _FINAL)
    may_repeat = error.run is RunState.NOT_RUN or failure.repeatable
    if error.retry_after_s is None and may_repeat and not final:
        error.retry_after_s = COME_BACK_S
    return error

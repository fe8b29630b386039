"""Keeps a request's retry from its decision until it is made (no I/O)."""

from __future__ import annotations

import enum

from lovagestage.gateway.retry_budget import ServiceRetryBudget


class Obstacle(enum.Enum):
    """Why a request is not sent to another upstream."""

    NO_TIME_LEFT = "no_time_left"
    REFUSED = "refused"
    """As many upstreams have refused it as may be asked."""
    ATTEMPTS_USED = "attempts_used"
    """It has run as often as its route allows."""
    MAY_RUN_ONCE = "may_run_once"
    SUSPECT = "suspect"
    """Copies of it were in flight at crashes of upstreams."""
    NO_UPSTREAM = "no_upstream"
    """No other upstream is healthy."""
    NO_RETRY_LEFT = "no_retry_left"
    """The service's retry budget is used up."""


class RetryPermit:
    """A request's access to the retry budget of its service.

    A retry may be reserved before the attempt that it replaces is given up.

    Args:
        budget: Retry budget of the service.
    """

    def __init__(self, budget: ServiceRetryBudget) -> None:
        self._budget = budget
        self._is_reserved = False

    @property
    def tokens(self) -> float:
        """Number of retries that the service has left."""
        return self._budget.tokens

    @property
    def is_reserved(self) -> bool:
        """Whether a retry is reserved."""
        return self._is_reserved

    def reserve(self, now_s: float) -> bool:
        """Reserves one retry; returns whether one is reserved."""
        if not self._is_reserved:
            self._is_reserved = self._budget.try_acquire(now_s)
        return self._is_reserved

    def take(self, now_s: float) -> bool:
        """Takes the reserved retry, or else one from the budget."""
        is_taken = self.reserve(now_s)
        self._is_reserved = False
        return is_taken

    def take_for_escalation(self, now_s: float) -> bool:
        """Takes a retry for an escalation to a larger model."""
        return self._budget.try_acquire_escalation(now_s)

    def return_used(self) -> None:
        """Returns a retry that reached no upstream to the budget."""
        self._budget.release()

    def cancel_reservation(self) -> None:
        """Returns a retry that was reserved and not taken to the budget."""
        if self._is_reserved:
            self._is_reserved = False
            self._budget.release()

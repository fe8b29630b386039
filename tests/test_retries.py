"""Retry decisions: safe, bounded, and final where a retry can't help."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.decisions.retries import (
    BUDGET_LIMIT,
    BUDGET_MINIMUM_PER_S,
    BUDGET_RATIO,
    MAX_ATTEMPTS,
    Failure,
    RetryBudget,
    get_backoff_s,
    get_retry_delay_s,
    is_upstream_at_fault,
    make_final_error,
)
from lovagestage.exceptions import (
    DeadlineExceededError,
    DispatchLostError,
    NoCapacityError,
    RequestRefusedError,
    UpstreamLostError,
)
from lovagestage.types import RunState


def make_error(run: RunState) -> RequestRefusedError:
    return UpstreamLostError("lost", run)


@given(
    run=st.sampled_from(RunState),
    attempts=st.integers(1, MAX_ATTEMPTS + 1),
    passed_on=st.booleans(),
    repeatable=st.booleans(),
    remaining_s=st.floats(-1, 2),
    jitter=st.floats(0, 1),
)
def test_only_what_is_safe_and_in_time_is_sent_again(
    run, attempts, passed_on, repeatable, remaining_s, jitter
):
    failure = Failure(
        make_error(run), attempts, passed_on, repeatable, remaining_s
    )
    delay_s = get_retry_delay_s(failure, RetryBudget(0.0), 0.0, jitter)
    if delay_s is None:
        return
    assert repeatable or run is RunState.NOT_RUN
    assert not passed_on
    assert attempts < MAX_ATTEMPTS
    assert delay_s < remaining_s


@given(
    st.lists(st.tuples(st.floats(0, 2), st.integers(0, 40), st.integers(0, 99)))
)
def test_retries_stay_within_their_share(steps):
    # All attempts fail for a while. Whatever the mix of requests and failures,
    # the retries number at most a tenth of the requests, plus a few per second,
    # plus the accumulated budget.
    budget, now_s, requests, acquired = RetryBudget(0.0), 0.0, 0, 0
    for pause_s, sent, failed in steps:
        now_s += pause_s
        requests += sent
        for _ in range(sent):
            budget.record_request(now_s)
        acquired += sum(budget.try_acquire(now_s) for _ in range(failed))
        earned = BUDGET_RATIO * requests + BUDGET_MINIMUM_PER_S * now_s
        assert acquired <= BUDGET_LIMIT + earned + 1e-6


def test_spent_budget_makes_the_failure_final_with_a_retry_time():
    budget = RetryBudget(0.0)
    failure = Failure(make_error(RunState.NOT_RUN), 1, False, False, 60.0)
    while get_retry_delay_s(failure, budget, 0.0, 0.5) is not None:
        pass
    assert make_final_error(failure).retry_after_s == 1
    assert get_retry_delay_s(failure, budget, 1.0, 0.5) is not None


@pytest.mark.parametrize(
    ("error", "repeatable", "expected"),
    [
        (make_error(RunState.UNKNOWN), False, None),
        (make_error(RunState.UNKNOWN), True, 1),
        (DeadlineExceededError("late", RunState.UNKNOWN), True, None),
        (NoCapacityError("full", retry_after_s=7), False, 7),
    ],
)
def test_caller_is_told_to_retry_only_if_that_is_safe(
    error, repeatable, expected
):
    failure = Failure(error, 4, False, repeatable, 9.0)
    assert make_final_error(failure).retry_after_s == expected


def test_backoff_doubles_up_to_a_cap():
    assert [get_backoff_s(n, 1.0) for n in (1, 2, 3, 9)] == [0.05, 0.1, 0.2, 1]
    assert get_backoff_s(3, 0.5) == 0.1


def test_upstream_whose_connection_was_lost_may_be_tried_again():
    assert not is_upstream_at_fault(DispatchLostError("lost"))
    assert is_upstream_at_fault(make_error(RunState.UNKNOWN))

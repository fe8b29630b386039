"""A service's failure and request rates as a gateway measures them."""

from __future__ import annotations

import pytest

from lovagestage.gateway.failure_rates import RATE_SPAN_S, FailureRateTable

PER_S = 10.0


def record_steady_answers(span_s):
    """Records the answers of a service with a steady rate, from time 0 on."""
    table = FailureRateTable()
    for number in range(round(span_s * PER_S)):
        table.record_answer("pool", "r", False, number / PER_S)
    return table


@pytest.mark.parametrize("span_s", [2.0, RATE_SPAN_S, 10 * RATE_SPAN_S])
def test_rate_is_right_from_the_second_second_on(span_s):
    # An order arrives two seconds after the first request. If the service were
    # estimated at a quarter of its size, the new version would get three times
    # its share, and more requests than it may before a late fault shows.
    assert record_steady_answers(span_s).get_request_rate(
        "pool", span_s
    ) == pytest.approx(PER_S, rel=0.15)


def test_rate_falls_when_requests_end():
    assert (
        record_steady_answers(20.0).get_request_rate(
            "pool", 20.0 + 4 * RATE_SPAN_S
        )
        < 0.05 * PER_S
    )


def test_first_request_alone_is_no_high_rate():
    table = FailureRateTable()
    table.record_answer("pool", "r", False, 5.0)
    assert table.get_request_rate("pool", 5.0) <= 1.1
    assert table.get_request_rate("other", 5.0) == 0.0

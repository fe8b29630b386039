"""Decisions on requests that arrive while a gateway stops."""

from __future__ import annotations

import pytest

from lovagestage.gateway.planned_stop import (
    ANSWER_MARGIN_S,
    DRAIN_NOTICE_S,
    STOP_MARGIN_S,
    PlannedStop,
)

STOP_S = 8.0
NOTICED_S = 100.0 + DRAIN_NOTICE_S
LATEST_S = 100.0 + STOP_S - STOP_MARGIN_S - ANSWER_MARGIN_S


@pytest.mark.parametrize(
    ("now_s", "deadline_s", "is_accepted"),
    [
        (NOTICED_S - 0.01, 1_000.0, True),
        (NOTICED_S, LATEST_S - 0.01, True),
        (NOTICED_S, LATEST_S + 0.01, False),
        (LATEST_S, LATEST_S + 0.01, False),
    ],
)
def test_a_request_that_outlasts_the_process_is_not_accepted(
    now_s, deadline_s, is_accepted
):
    # A request was accepted that the end of the process cut off.
    stop = PlannedStop()
    assert stop.accepts(deadline_s, now_s)
    stop.begin(100.0, STOP_S)
    assert stop.accepts(deadline_s, now_s) is is_accepted

"""The player of days in real processes, and its judgement of lost requests."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from lab.day.command import play
from lab.day.deployment import BY_NAME, GRACE_S
from lab.day.losses import Cause, count_broken, find_losses
from lab.day.plan import Day, DayError, Kind, decode_day, read_day
from lab.day.records import (
    Attempt,
    DayRecord,
    Outcome,
    Run,
    RunEnd,
    Work,
    WorkKind,
)

ROOT = pathlib.Path(__file__).parent.parent
SENT_S = 100.0


def make_record(ended_s, runs, works=(), **fields):
    """Makes a record of one stream that was cut at a time after its start."""
    attempt = Attempt(
        "q1", BY_NAME["chat"], "edge-0", True, SENT_S, 25.0, SENT_S + ended_s
    )
    attempt.outcome = Outcome.CUT
    for name, value in fields.items():
        setattr(attempt, name, value)
    record = DayRecord(attempts=[attempt], works=list(works))
    record.runs["q1"] = [
        Run("w1", SENT_S + begun_s, SENT_S + end_s, end)
        for begun_s, end_s, end in runs
    ]
    return record


def count(record):
    return count_broken(record, find_losses(record))


DROPPED = [(0.0, 3.0, RunEnd.DROPPED)]
TERM_BEFORE = Work(WorkKind.TERM, "edge-0", SENT_S - 2.0, SENT_S + 6.0)
HUP_BEFORE = Work(WorkKind.HUP, "edge-0", SENT_S - 1.0, SENT_S - 1.0)


@pytest.mark.parametrize(
    ("ended_s", "runs", "works", "cause"),
    [
        (3.0, DROPPED, [TERM_BEFORE], Cause.TERM),
        (3.0, DROPPED, [HUP_BEFORE], Cause.HUP),
        (3.0, [], [HUP_BEFORE], Cause.HUP),
        (3.0, DROPPED, [], Cause.NONE),
    ],
)
def test_cut_request_is_lost(ended_s, runs, works, cause):
    record = make_record(ended_s, runs, works)
    (loss,) = find_losses(record)
    assert loss.cause is cause
    assert count(record) == (cause is not Cause.NONE)


FREEZE = Work(WorkKind.FREEZE, "edge-0", SENT_S - 2.0, SENT_S - 1.0)
OTHER_FREEZE = Work(WorkKind.FREEZE, "edge-1", SENT_S - 2.0, SENT_S - 1.0)
LATE_S = GRACE_S - 0.6
"""Just before a stopping process ends, in the last sixth of its time."""
TERM = Work(WorkKind.TERM, "edge-0", SENT_S, SENT_S + LATE_S)


@pytest.mark.parametrize(
    ("ended_s", "runs", "works", "is_lost"),
    [
        # The worker broke off; the request was closed unread; the gateway was
        # frozen; the worker was at work late in the stop; time was over.
        (3.0, [(0.0, 3.0, RunEnd.BROKEN_OFF)], [TERM_BEFORE], False),
        (0.1, [], [TERM_BEFORE], False),
        (3.0, DROPPED, [TERM_BEFORE, FREEZE], False),
        (LATE_S, [(0.0, LATE_S, RunEnd.DROPPED)], [TERM], False),
        (24.95, [(0.0, 24.9, RunEnd.DROPPED)], [HUP_BEFORE], False),
        # Another gateway was frozen; the stop was not yet late; the worker had
        # ended before it was late.
        (3.0, DROPPED, [TERM_BEFORE, OTHER_FREEZE], True),
        (6.0, [(0.0, 6.0, RunEnd.DROPPED)], [TERM], True),
        (LATE_S, [(0.0, 2.0, RunEnd.COMPLETE)], [TERM], True),
    ],
)
def test_only_the_named_excuses_count(ended_s, runs, works, is_lost):
    assert count(make_record(ended_s, runs, works)) == is_lost


def test_request_sent_late_in_a_stop_has_no_excuse():
    work = Work(WorkKind.TERM, "edge-0", SENT_S - 4.0, SENT_S + 4.0)
    record = make_record(3.4, [(0.0, 3.4, RunEnd.DROPPED)], [work])
    assert count(record) == 1


def test_cut_beside_a_configuration_is_lost_if_there_are_more_then():
    works = [Work(WorkKind.CONFIGURATION, "", SENT_S + 1.0, SENT_S + 1.0)]
    assert count(make_record(3.0, DROPPED, works)) == 1
    assert count(make_record(20.0, [(0.0, 20.0, RunEnd.DROPPED)], works)) == 0


def test_more_than_three_requests_on_kept_connections_need_no_planned_work():
    record = make_record(3.0, DROPPED)
    record.attempts *= 3
    assert count(record) == 0
    record.attempts += record.attempts[:1]
    assert count(record) == 4


def test_reads_the_days_of_the_review():
    day = read_day(ROOT / "review" / "1" / "day.toml")
    kinds = [trouble.kind for trouble in day.troubles]
    assert kinds == [Kind.ROLLOUT_BAD, *[Kind.HUP] * 4, Kind.ROLL_TERM]
    assert day.troubles[0].factor == 8.0


@pytest.mark.parametrize(
    "entry",
    [
        {"at": 1.0, "kind": "garble"},
        {"at": 1.0, "kind": "rollout_bad", "how": "errors"},
    ],
)
def test_refuses_a_day_that_it_would_play_in_part(entry):
    with pytest.raises(DayError):
        decode_day({"name": "x", "length_s": 5.0, "plan": [entry]})


def test_short_day_loses_no_request(tmp_path):
    # A version that is silent for seconds is ordered while gateways are
    # reloaded and restarted in turn.
    plan = [
        {"at": 1.0, "kind": "rollout_bad", "for_s": 5.0, "x": 12.0},
        {"at": 3.0, "kind": "hup", "share": 1.0, "gap_s": 0.1},
        {"at": 4.0, "kind": "roll_term", "gap_s": 0.2},
    ]
    day: Day = decode_day({"name": "short", "length_s": 9.0, "plan": plan})
    record, _ = asyncio.run(play(day, 1, tmp_path, 2, 0.7))
    losses = find_losses(record)
    assert count_broken(record, losses) == 0, losses
    served = [a for a in record.attempts if a.status == 200]
    assert len(served) > 0.9 * len(record.attempts) > 100

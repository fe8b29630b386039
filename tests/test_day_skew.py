"""Plays days on which most new connections go to one gateway."""

from __future__ import annotations

import asyncio
import pathlib
import random

import pytest

from lab.day.callers import Balancer, Skew
from lab.day.command import play
from lab.day.deployment import BY_NAME, CONTACT_S
from lab.day.losses import find_losses
from lab.day.plan import Day, Kind, Trouble, read_day
from lab.day.records import (
    Attempt,
    DayRecord,
    Outcome,
    Run,
    RunEnd,
    Work,
    WorkKind,
)
from lab.day.recovery import find_starved, get_skew_results

ROOT = pathlib.Path(__file__).parent.parent
GATEWAYS = 6
PROCESSOR_SHARE = 0.3
"""Share of a processor that a small gateway has."""
TARGET_RATIO = 0.95
"""Share of the ratio before at which requests are to be served."""
RATE = 2.0
SKEW = Trouble(Kind.SKEW_CONNECTIONS, 6.0, 10.0, 1.0, 0.9, 1.0)
BEGUN_S = 100.0


def test_small_gateway_that_gets_most_connections_serves_what_it_reads(
    tmp_path,
):
    # Guards against a gateway that reads more requests than its processor can
    # serve, and takes its own delay for a loss of its upstreams.
    day = Day("skew", 17.0, (SKEW,))
    record, stalls = asyncio.run(
        play(day, 1, tmp_path, GATEWAYS, RATE, PROCESSOR_SHARE)
    )
    (result,) = get_skew_results(record)
    assert result.ratio >= TARGET_RATIO, (str(result), stalls)


def make_attempts(name, sent_s, outcomes):
    """Makes the attempts at one request, with a status for each answer."""
    attempts = []
    for number, (outcome, status) in enumerate(outcomes):
        attempt = Attempt(
            f"{name}-{number}", BY_NAME["chat"], "edge-0", False, sent_s, 25.0
        )
        attempt.request_id = f"{name}-0"
        attempt.ended_s = sent_s + 0.1
        attempt.outcome, attempt.status = outcome, status
        attempts.append(attempt)
    return attempts


SERVED = [(Outcome.ANSWERED, 200)]
REFUSED = [(Outcome.ANSWERED, 503), (Outcome.ANSWERED, 200)]
UNREAD = [(Outcome.UNCONNECTED, 0), (Outcome.ANSWERED, 200)]
CLOSED_UNREAD = [(Outcome.CUT, 0), (Outcome.ANSWERED, 200)]


def make_record(during):
    work = Work(WorkKind.SKEW, "edge-0", BEGUN_S, BEGUN_S + 9.0)
    record = DayRecord(works=[work])
    for number in range(40):
        record.attempts += make_attempts(f"b{number}", BEGUN_S - 2.0, SERVED)
    for number, outcomes in enumerate(during):
        sent_s = BEGUN_S + CONTACT_S + 1.0
        record.attempts += make_attempts(f"d{number}", sent_s, outcomes)
    return record


def test_only_the_first_try_that_was_read_counts():
    assert find_starved(make_record([SERVED] * 20 + [REFUSED] * 20))
    assert not find_starved(make_record([SERVED] * 31 + [REFUSED] * 9))
    assert not find_starved(make_record([UNREAD, CLOSED_UNREAD] * 20))


@pytest.mark.parametrize(
    ("was_reset", "runs", "was_read"),
    [(True, [], False), (False, [], True), (True, [Run("w1", 0.0)], True)],
)
def test_a_reset_before_any_run_shows_that_nothing_was_read(
    was_reset, runs, was_read
):
    (attempt,) = make_attempts("x", BEGUN_S, [(Outcome.CUT, 0)])
    attempt.was_reset, attempt.ended_s = was_reset, BEGUN_S + 0.9
    record = DayRecord(attempts=[attempt], runs={attempt.id: runs})
    assert record.was_read(attempt) == was_read
    assert bool(find_losses(record)) == was_read


def test_a_request_that_ran_and_was_cut_was_read():
    record = make_record([CLOSED_UNREAD] * 40)
    for number in range(40):
        run = Run("w1", BEGUN_S, BEGUN_S + 5.0, RunEnd.DROPPED)
        record.runs[f"d{number}-0"] = [run]
    assert find_starved(record)


def test_a_fault_of_the_gateway_excuses_it_alone():
    record = make_record([REFUSED] * 40)
    fault = Work(WorkKind.KILL, "edge-1", BEGUN_S, BEGUN_S + 8.0)
    record.works.append(fault)
    assert find_starved(record)
    fault.gateway = "edge-0"
    assert not find_starved(record)


def test_reads_the_days_of_skewed_connections():
    days = sorted((ROOT / "lab" / "days").glob("*.toml"))
    assert days
    for path in days:
        kinds = {trouble.kind for trouble in read_day(path).troubles}
        assert Kind.SKEW_CONNECTIONS in kinds


class Gateway:
    def __init__(self, name):
        self.name = name


def test_retries_meet_other_gateways():
    # Guards against a player whose callers meet the same gateway again, which
    # the platform's callers do not.
    gateways = [Gateway(f"edge-{n}") for n in range(3)]
    balancer, rng = Balancer(gateways), random.Random(1)
    balancer.skew = Skew(gateways[0], 1.0)
    assert balancer.choose(rng) is gateways[0]
    names = {balancer.choose(rng, ["edge-0"]).name for _ in range(50)}
    assert names == {"edge-1", "edge-2"}

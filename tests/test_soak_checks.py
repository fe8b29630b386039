"""Tests that the checks of a soak fail where a guarantee was broken.

The records stand for soaks in which the gateways did what the name says.
"""

from __future__ import annotations

import pytest

from lab.caller import Reply
from lab.soak.cut_checks import find_cut_breaches
from lab.soak.part_checks import find_part_breaches
from lab.soak.prompts import draw_prompt, read_parts
from lab.soak.records import (
    CrashingPart,
    CrashingRun,
    ProcessFault,
    Run,
    SkewedTime,
    SlowRollout,
)
from lab.soak.rollout_checks import find_rollout_breaches
from lab.soak.skew_checks import find_skew_breaches
from lab.soak.stalls import Stall, get_stalled_s
from lab.soak.traffic import SentRequest
from lab.soak.world import SoakEnvironment

KEY = "key0"
SERVED = Reply(200, {}, b"", True)
REFUSED = Reply(503, {}, b"", True)
SLACK_S = 0.5


@pytest.fixture
def environment(tmp_path):
    made = SoakEnvironment(1, tmp_path)
    made.keys[KEY] = None
    made.versions.update({"w1": "v1", "w2": "v2"})
    return made


def send(name, sent_s, reply=SERVED, kind="once", time_s=0.1):
    request = SentRequest(name, kind, KEY, sent_s, "edge-0", None)
    request.ended_s = sent_s + time_s
    request.reply, request.is_cut = reply, reply is None
    return request


def send_many(count, from_s, reply=SERVED):
    return [
        send(f"{from_s}-{n}", from_s + n * 0.01, reply) for n in range(count)
    ]


def add_part(environment, late_runs):
    part = CrashingPart("dead", 10.0, 30.0)
    part.runs = [CrashingRun(f"w{n}", f"c{n}", 10.0 + n) for n in range(5)]
    part.runs += [CrashingRun("w9", f"l{n}", 17.5) for n in range(late_runs)]
    environment.serving.crashing_parts["dead"] = part
    environment.injected_faults.append(("send_crashing_parts", 10.0, 30.0))


@pytest.mark.parametrize(("late_runs", "breaches"), [(3, 0), (4, 1)])
def test_a_fourth_late_run_of_a_part_is_a_breach(
    environment, late_runs, breaches
):
    add_part(environment, late_runs)
    assert len(list(find_part_breaches(environment, [], 40.0))) == breaches


def test_late_runs_of_a_gateway_out_of_touch_are_none(environment):
    add_part(environment, 9)
    environment.injected_faults.append(("spoil_store", 15.0, 16.0))
    assert not list(find_part_breaches(environment, [], 40.0))


@pytest.mark.parametrize(("refused", "breaches"), [(15, 0), (16, 1)])
def test_sound_requests_that_are_refused_for_a_part_are_a_breach(
    environment, refused, breaches
):
    add_part(environment, 0)
    sent = send_many(30, 5.0) + send_many(30 - refused, 21.0)
    sent += send_many(refused, 22.0, REFUSED)
    assert len(list(find_part_breaches(environment, sent, 40.0))) == breaches


@pytest.mark.parametrize(
    ("sent_s", "time_s", "is_planned", "is_breach"),
    [
        (10.0, 1.0, True, True),
        (13.5, 1.9, True, True),
        (12.9, 2.5, True, False),
        (13.5, 1.9, False, False),
        (10.0, 2.6, True, False),
    ],
)
def test_only_requests_that_could_have_been_completed_are_cut_off(
    environment, sent_s, time_s, is_planned, is_breach
):
    # The gateway is stopped or killed at 10 s and gone at 15.4 s.
    fault = ProcessFault("edge-0", 10.0, 15.4, is_planned)
    environment.process_faults.append(fault)
    environment.serving.runs["q"] = [Run(sent_s, "w1")]
    request = send("q", sent_s, None, "unsafe", time_s)
    found = list(find_cut_breaches(environment, [request], SLACK_S))
    assert bool(found) == is_breach


def test_a_request_that_its_worker_broke_off_is_not_cut_off(environment):
    environment.serving.runs["q"] = [Run(10.0, "w1")]
    environment.serving.spoiled.add("q")
    request = send("q", 10.0, None)
    assert not list(find_cut_breaches(environment, [request], SLACK_S))


@pytest.mark.parametrize(
    ("exposed", "from_s", "answers", "breaches"),
    [
        (45, 10.0, 0, 0),
        (53, 10.0, 0, 1),
        (53, 19.0, 50, 1),
        (53, 17.0, 50, 0),
        (53, 19.0, 49, 0),
    ],
)
def test_a_slow_version_that_gets_too_many_requests_is_a_breach(
    environment, exposed, from_s, answers, breaches
):
    # Ordered at 10 s for 5 s, with 100 requests to the old version meanwhile;
    # the 50th slow answer ends at 13 s.
    rollout = SlowRollout("v2", 10.0, 5.0, 1.0, 8.0)
    rollout.answers_s = [13.0] * answers
    environment.slow_rollouts.append(rollout)
    sent = send_many(100, 10.0) + send_many(exposed, from_s + 0.001)
    for number, request in enumerate(sent):
        worker = "w1" if number < 100 else "w2"
        environment.serving.runs[request.id] = [Run(request.sent_s, worker)]
    found = list(find_rollout_breaches(environment, sent, SLACK_S))
    assert len(found) == breaches


def test_a_slow_version_that_is_completed_is_a_breach(environment):
    rollout = SlowRollout("v2", 10.0, 5.0, 1.0, 8.0)
    environment.slow_rollouts.append(rollout)
    rollout.outcomes = ["in_progress", "reverted"]
    assert not list(find_rollout_breaches(environment, [], SLACK_S))
    rollout.outcomes = ["in_progress", "completed"]
    assert list(find_rollout_breaches(environment, [], SLACK_S))


@pytest.mark.parametrize(("refused", "breaches"), [(10, 0), (11, 1)])
def test_fewer_requests_served_under_most_connections_are_a_breach(
    environment, refused, breaches
):
    environment.skewed_times.append(SkewedTime(20.0, "edge-0", 26.0))
    sent = send_many(40, 16.0) + send_many(40 - refused, 23.5)
    sent += send_many(refused, 24.5, REFUSED)
    assert len(list(find_skew_breaches(environment, sent))) == breaches


def test_a_crashing_part_stands_neither_first_nor_last(environment):
    for number in range(50):
        prompt = draw_prompt(environment.rng, number, "dead")
        assert "dead" in prompt.parts[1:-1]
        header = prompt.make_headers()["Prefix_Hash"]
        assert read_parts(header) == prompt.parts[:-1]


def test_only_the_part_of_a_stall_within_a_request_counts():
    stalls = [Stall(10.0, 12.0, 0.0), Stall(20.0, 21.0, 0.0)]
    assert get_stalled_s(stalls, 11.5, 15.0) == pytest.approx(0.5)
    assert get_stalled_s(stalls, 13.0, 15.0) == 0.0

"""Blame for parts of prompts, over gateways that decide by reports."""

from __future__ import annotations

import msgspec
import pytest

from lovagestage.decisions.crash_admission import Admission
from lovagestage.decisions.crash_records import CONVICTION_RETENTION_S
from lovagestage.decisions.crash_suspects import SuspectTable
from lovagestage.decisions.part_blame import MAX_CLEARED
from lovagestage.messages.crashes import CrashReport, CrashReportKind
from tests.part_blame_simulation import Simulation

MAX_CRASHES = 5
LEARN_S = 3.0
MAX_LATER_RUNS = 3
"""Runs on a part that may begin later than that, while no answer has cleared
the parts beside it."""
DEADLY_FROM_S = 5.0
END_S = 30.0


def play(seed, gateways, deadly=("dead1",), first_seen=True, **fields):
    """Plays sound and deadly requests for half a minute."""
    upstreams = max(6, gateways // 2)
    simulation = Simulation(seed, gateways, upstreams, **fields)
    rng = simulation.rng

    def send_sound():
        first = rng.choice(("first1", "first2", "first3"))
        middle = f"doc{int(rng.paretovariate(0.7)) % 3000}"
        simulation.send((first, middle))

    def send_deadly(part):
        simulation.send(("first1", part), part)

    sound_from_s = 0.0 if first_seen else DEADLY_FROM_S
    for number in range(int((END_S - sound_from_s) * 12 * upstreams)):
        simulation.at(sound_from_s + number / (12 * upstreams), send_sound)
    for part in deadly:
        for number in range(int((END_S - DEADLY_FROM_S) * 4)):
            delay_s = rng.uniform(0.0, END_S - DEADLY_FROM_S)
            del number
            simulation.at(DEADLY_FROM_S + delay_s, send_deadly, part)
    return simulation


def get_later_runs(simulation, part):
    """Returns how many runs began later than the aim allows."""
    crashes = sorted(s for s, each in simulation.crashes if each == part)
    if len(crashes) < MAX_CRASHES:
        return 0
    limit_s = crashes[MAX_CRASHES - 1] + LEARN_S
    return sum(
        begun_s > limit_s and each == part
        for begun_s, each in simulation.deadly_runs
    )


def check_convictions(simulation, deadly):
    for table in simulation.tables:
        assert table.count_convictions(simulation.now_s) == len(deadly)
        for part in deadly:
            admission = table.admit("any", simulation.now_s, ("first1", part))
            assert admission is Admission.REFUSE_PARTS


def check_sound_requests(simulation, from_s):
    sound = [
        r
        for r in simulation.requests
        if r.deadly is None and from_s <= r.sent_s < END_S - 4.0
    ]
    served = [r for r in sound if r.outcome == "answered"]
    prompt = [r for r in served if r.begun_s - r.sent_s < 0.3]
    assert len(served) > 0.98 * len(sound)
    assert len(prompt) > 0.95 * len(sound)


@pytest.mark.parametrize("gateways", [3, 31])
@pytest.mark.parametrize("seed", range(6))
def test_a_part_crashes_few_upstreams_and_nobody_else_is_refused(
    seed, gateways
):
    # Guards against blame that is counted on requests, or that falls on the
    # caller's first part.
    simulation = play(seed, gateways)
    simulation.run_until(END_S)
    crashes = len(simulation.crashes)
    in_flight = max(0, crashes - MAX_CRASHES)
    assert get_later_runs(simulation, "dead1") == 0
    assert in_flight <= 3
    check_convictions(simulation, ("dead1",))
    check_sound_requests(simulation, DEADLY_FROM_S + 2 * LEARN_S)


@pytest.mark.parametrize("seed", range(6))
def test_without_parts_upstreams_crash_without_end(seed):
    # Guards against a simulation in which the part does no harm.
    simulation = play(seed, 3, sees_parts=False)
    simulation.run_until(END_S)
    assert get_later_runs(simulation, "dead1") > 3


@pytest.mark.parametrize("gateways", [3, 31])
@pytest.mark.parametrize("seed", range(6))
def test_two_parts_beside_a_first_part_that_nobody_has_cleared(seed, gateways):
    # Guards against a first part that is refused for good, as two deadly parts
    # stood beside it before any answer came.
    parts = ("dead1", "dead2")
    simulation = play(seed, gateways, parts, first_seen=False)
    simulation.run_until(END_S)
    for part in parts:
        assert get_later_runs(simulation, part) <= MAX_LATER_RUNS
    check_convictions(simulation, parts)
    check_sound_requests(simulation, DEADLY_FROM_S + 4 * LEARN_S)


@pytest.mark.parametrize("seed", range(3))
def test_gateways_started_later_refuse_the_part(seed):
    # Guards against new processes that begin with nothing.
    simulation = play(seed, 3)
    for number in range(4):
        simulation.at(12.0 + number, simulation.add_gateway)
    simulation.run_until(END_S)
    assert get_later_runs(simulation, "dead1") == 0
    check_sound_requests(simulation, DEADLY_FROM_S + 2 * LEARN_S)


def make_crash(request, upstream, *parts, is_probe=False):
    kind = CrashReportKind.CONVICTED if is_probe else CrashReportKind.STRIKE
    return CrashReport(kind, request, f"{request}/{upstream}", upstream, parts)


def apply_all(reports):
    table = SuspectTable()
    for report in reports:
        table.apply_report(report, 0.0)
    return table


def test_a_rare_part_of_a_request_that_crashes_upstreams_is_not_refused():
    # Guards against a sound part that stood in one deadly request, sent again
    # and again, and now in others.
    reports = [make_crash("r", name, "rare") for name in "ab"]
    reports.append(make_crash("r", "c", "rare", is_probe=True))
    table = apply_all(reports)
    assert table.admit("r", 0.0, ("rare",)) is Admission.REFUSE
    assert table.admit("s", 0.0, ("rare",)) is Admission.PROBE
    table.start_probe("s", "s/1", 0.0, ("rare",))
    table.record_end("s", "s/1", True, 0.0, ("rare",))
    assert table.admit("t", 0.0, ("rare",)) is Admission.FREE


def test_parts_that_cannot_be_told_apart_are_refused_together_only():
    # Guards against a first part that is refused alone, for the part that stood
    # beside it in all requests that crashed upstreams.
    reports = [
        make_crash(f"r{name}", name, "first", "dead", is_probe=True)
        for name in "abc"
    ]
    table = apply_all(reports)
    refused = Admission.REFUSE_PARTS
    assert table.admit("x", 0.0, ("first", "dead")) is refused
    assert table.admit("x", 0.0, ("first", "doc")) is Admission.PROBE
    table.start_probe("x", "x/1", 0.0, ("first", "doc"))
    table.record_end("x", "x/1", True, 0.0, ("first", "doc"))
    assert table.admit("y", 0.0, ("other", "dead")) is refused
    end_s = CONVICTION_RETENTION_S
    assert table.admit("y", end_s, ("other", "dead")) is not refused


def test_a_part_beside_parts_that_are_rare_is_convicted():
    # Guards against a deadly part that stands in each request beside another
    # part which no answer has cleared.
    reports = [
        make_crash(f"r{name}", name, f"rare{name}", "dead", is_probe=True)
        for name in "abc"
    ]
    table = apply_all(reports)
    assert table.admit("x", 0.0, ("dead",)) is Admission.REFUSE_PARTS
    assert table.admit("x", 0.0, ("rarea",)) is not Admission.REFUSE_PARTS


def test_a_popular_part_at_the_crashes_of_another_is_not_convicted():
    # Guards against a sound part that many requests hold, so that it was in
    # flight at crashes and in a probe beside the deadly part.
    reports = [make_crash(f"r{name}", name, "dead") for name in "abcd"]
    reports += [make_crash(f"s{name}", name, "doc") for name in "abcd"]
    reports.append(make_crash("s", "e", "doc", is_probe=True))
    reports.append(make_crash("r", "e", "dead", is_probe=True))
    reports.append(make_crash("q", "f", "dead", is_probe=True))
    table = apply_all(reports)
    assert table.admit("x", 0.0, ("dead",)) is Admission.REFUSE_PARTS
    assert table.admit("x", 0.0, ("doc",)) is Admission.FREE


def test_a_gateway_that_has_cleared_an_accused_part_says_so():
    # Guards against a part that is refused by gateways which have seen no
    # answer on it, while others have.
    table = SuspectTable()
    table.record_end("x", "x/1", True, 0.0, ("first",))
    accusation = make_crash("r", "a", "first", "dead", is_probe=True)
    table.apply_report(accusation, 0.0)
    rebuttal = table.make_rebuttal(accusation, 0.0)
    assert rebuttal.parts == ("first",)
    other = apply_all(
        make_crash(f"r{name}", name, "first", "dead", is_probe=True)
        for name in "abc"
    )
    other.apply_report(rebuttal, 0.0)
    assert other.admit("y", 0.0, ("first",)) is Admission.FREE
    assert other.admit("y", 0.0, ("dead",)) is Admission.REFUSE_PARTS


def test_reports_of_earlier_releases_and_to_them_are_read():
    # Guards against gateways of two releases that drop each other's reports.
    decoder = msgspec.msgpack.Decoder(CrashReport)
    data = msgspec.msgpack.encode(["crash_report", "strike", "f", "r/1", "u"])
    assert decoder.decode(data).parts == ()
    encoded = msgspec.msgpack.encode(make_crash("r", "u", "dead"))
    assert msgspec.msgpack.decode(encoded)[:5] == [
        "crash_report",
        "strike",
        "r",
        "r/u",
        "u",
    ]


def test_cleared_parts_are_bounded():
    # Guards against memory that grows with each part ever answered.
    table = SuspectTable()
    for number in range(MAX_CLEARED + 1):
        table.record_end("r", "r/1", True, 0.0, (f"p{number}",))
    strike = make_crash("s", "a", "p0", f"p{MAX_CLEARED}")
    table.apply_report(strike, 0.0)
    assert table.part_count == 1

"""The audit of the failover experiment finds each broken guarantee."""

from __future__ import annotations

import dataclasses

import pytest

from lab.audit import Evidence, audit, get_interruptions_s
from lab.fault_driver import InjectedFault
from lab.fault_plan import Fault, FaultKind, make_plan
from lab.recorded_runs import RecordedRun
from lab.traffic import Kind, Send
from lovagestage.decisions.billing import Bill, BillOutcome

ANSWERED_SEND = Send("r1", Kind.KEYED, "entry-0", 10.0, 11.0, 200, tokens=6)
ANSWERED_SEND.request_id = "a"
REFUSED_SEND = Send(
    "r1", Kind.KEYED, "entry-1", 12.0, 13.0, 503, "not_run", "x"
)
BROKEN_SEND = Send("r1", Kind.ONCE, "entry-0", 10.0, 12.0, 0)
WRONG_SEND = dataclasses.replace(ANSWERED_SEND, is_wrong=True)
CUT_SEND = Send("r1", Kind.STREAM, "entry-0", 10.0, 12.0, 200, "ran", "x")
RUN = RecordedRun(10.5, "a", "large@1", "user: r1 why\n")
LATE_RUN = RecordedRun(10.5, "a", "large@2", "user: r1 why\n")
SECOND_RUN = RecordedRun(11.5, "b", "large@1", "user: r1 why\n")
BILL = Bill("a", "audit", "vault", "large@1", 11, 3, 6)


def make_bill(request_id, outcome=BillOutcome.FINISHED):
    return Bill(request_id, "audit", "vault", "large@1", 11, 3, 6, outcome)


def make_injected_fault(kind, name):
    return InjectedFault(Fault(0.0, kind, name, 1.0), 9.0, 11.0)


KILL = make_injected_fault(FaultKind.KILL, "entry-0")
STOP = make_injected_fault(FaultKind.REPLACE, "entry-0")


@pytest.mark.parametrize(
    ("sends", "runs", "bills", "applied", "found"),
    [
        ([ANSWERED_SEND], [RUN], [BILL], [], []),
        (
            [WRONG_SEND],
            [RUN],
            [BILL],
            [],
            ["wrong_bytes"],
        ),
        ([ANSWERED_SEND], [RUN, SECOND_RUN], [BILL], [], ["doubled_runs"]),
        ([ANSWERED_SEND], [RUN], [], [], ["missing_bills"]),
        (
            [ANSWERED_SEND],
            [RUN],
            [make_bill("a", BillOutcome.CANCELLED)],
            [],
            ["missing_bills"],
        ),
        (
            [dataclasses.replace(ANSWERED_SEND, kind=Kind.PLAIN)],
            [RUN, SECOND_RUN],
            [BILL, make_bill("b")],
            [],
            ["doubled_bills"],
        ),
        ([REFUSED_SEND], [], [], [], []),
        ([REFUSED_SEND], [RUN], [], [], ["false_refusals"]),
        ([ANSWERED_SEND, REFUSED_SEND], [RUN], [BILL], [], ["false_refusals"]),
        ([BROKEN_SEND], [], [], [], ["lost_answers"]),
        ([BROKEN_SEND], [], [], [KILL], []),
        ([BROKEN_SEND], [], [], [STOP], ["cut_by_planned_stop"]),
        ([CUT_SEND], [], [], [STOP], ["cut_by_planned_stop"]),
        ([CUT_SEND], [], [], [STOP, KILL], []),
        ([ANSWERED_SEND], [LATE_RUN], [BILL], [], ["work_on_withdrawn"]),
    ],
)
def test_audit_finds_each_broken_promise(sends, runs, bills, applied, found):
    evidence = Evidence(sends, runs, bills, applied, "large@2", 1.0)
    findings = dataclasses.asdict(audit(evidence))
    assert [name for name, tags in findings.items() if tags] == found


def test_gap_is_the_slowest_request_near_a_kill_less_the_median():
    served = [(8.0 + n / 10, 0.1, True) for n in range(30)]
    served[12] = (9.2, 0.9, True)
    assert get_interruptions_s(served, [KILL]) == ([0.8], [])
    pause = make_injected_fault(FaultKind.PAUSE, "engine-0")
    assert get_interruptions_s(served, [KILL, pause]) == ([], [0.8])


def test_plan_is_the_same_for_a_seed():
    assert make_plan(7, 65.0) == make_plan(7, 65.0) != make_plan(8, 65.0)

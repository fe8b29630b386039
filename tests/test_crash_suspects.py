"""A request that crashes every upstream crashes a bounded number of them."""

from __future__ import annotations

import asyncio
import threading

import openai
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lab.demo import make_client
from lab.fleet import Fleet
from lab.shapes import Shape
from lovagestage.decisions.crash_admission import Admission
from lovagestage.decisions.crash_records import (
    CLAIM_SETTLE_S,
    CONVICTION_RETENTION_S,
    PROBE_TIMEOUT_S,
)
from lovagestage.decisions.crash_suspects import (
    MAX_UPSTREAMS_LOST,
    SuspectTable,
    get_fingerprint,
)
from lovagestage.gateway.crash_detection import CLEAR_SPREAD_S, SuspectWatch
from lovagestage.messages.crashes import CrashReport, CrashReportKind
from tests.test_thin_path import MESSAGES, get_expected_text

CRASHING = get_fingerprint("audit", b"poison")
HARMLESS = [get_fingerprint("audit", b"%d" % n) for n in range(4)]
UPSTREAMS = range(4)


class CrashMachine(RuleBasedStateMachine):
    """Entries that exchange reports, over upstreams with the sidecars' rule.

    The rule: a request with strikes does not run beside a probe, and a probe
    does not run beside other requests with strikes.
    """

    @initialize(entries=st.integers(1, 3))
    def start(self, entries):
        self.tables = [SuspectTable() for _ in range(entries)]
        self.running = []
        self.lost = 0
        self.most_copies = 0
        self.now_s = 0.0
        self.run_count = 0

    def apply_report(self, report):
        for table in self.tables:
            table.apply_report(report, self.now_s)

    @rule(
        name=st.sampled_from([CRASHING, CRASHING, *HARMLESS]),
        entry=st.integers(0, 2),
        vm=st.sampled_from(UPSTREAMS),
    )
    def send(self, name, entry, vm):
        table = self.tables[entry % len(self.tables)]
        admission = table.admit(name, self.now_s)
        if admission in (Admission.WAIT, Admission.REFUSE):
            return
        probe = admission is Admission.PROBE
        strikes = table.get_strikes(name, self.now_s)
        concurrent_suspects = [
            run for run in self.running if run[2] == vm and run[4]
        ]
        if strikes and any(probe or run[3] for run in concurrent_suspects):
            return
        self.run_count += 1
        run = f"run-{self.run_count}"
        if probe:
            self.apply_report(table.start_probe(name, run, self.now_s))
        self.running.append((name, run, vm, probe, strikes))
        copies = sum(run[0] == CRASHING for run in self.running)
        self.most_copies = max(self.most_copies, copies)

    @precondition(lambda self: any(r[0] == CRASHING for r in self.running))
    @rule(choice=st.integers(0, 9))
    def crash(self, choice):
        crashing_runs = [run for run in self.running if run[0] == CRASHING]
        vm = crashing_runs[choice % len(crashing_runs)][2]
        failed_runs = [run for run in self.running if run[2] == vm]
        self.running = [run for run in self.running if run[2] != vm]
        self.lost += 1
        upstream = f"upstream-{vm}/{self.lost}"
        for name, run, _, _, _ in failed_runs:
            self.apply_report(
                self.tables[0].record_crash(name, run, upstream, self.now_s)
            )

    @precondition(lambda self: any(r[0] != CRASHING for r in self.running))
    @rule(choice=st.integers(0, 9))
    def answer(self, choice):
        harmless_runs = [run for run in self.running if run[0] != CRASHING]
        answered = harmless_runs[choice % len(harmless_runs)]
        self.running.remove(answered)
        report = self.tables[0].record_end(
            answered[0], answered[1], True, self.now_s
        )
        if report is not None:
            self.apply_report(report)
        # A request that was answered beside the crashing request may run freely
        # again immediately, unless it was convicted.
        assert self.tables[-1].admit(answered[0], self.now_s) in (
            Admission.FREE,
            Admission.REFUSE,
        )

    @rule(pause_s=st.floats(0, 10))
    def wait(self, pause_s):
        self.now_s += pause_s

    @invariant()
    def few_upstreams_are_lost(self):
        if hasattr(self, "lost") and self.now_s < CONVICTION_RETENTION_S:
            others = max(0, self.most_copies - 1)
            assert self.lost <= MAX_UPSTREAMS_LOST + others


TestCrashMachine = CrashMachine.TestCase
TestCrashMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


def test_probed_innocent_is_not_convicted_by_a_suspect_beside_it():
    # The sidecar never runs other requests with strikes beside a probe. A crash
    # can therefore only convict the request that caused it.
    table = SuspectTable()
    for run in ("a", "b"):
        table.record_crash(CRASHING, run, run, 0.0)
        table.record_crash(HARMLESS[0], run, run, 0.0)
    assert table.admit(HARMLESS[0], 0.0) is Admission.PROBE
    table.start_probe(HARMLESS[0], "c", 0.0)
    table.record_end(HARMLESS[0], "c", True, 1.0)
    assert table.admit(HARMLESS[0], 1.0) is Admission.FREE
    table.start_probe(CRASHING, "d", 1.0)
    table.record_crash(CRASHING, "d", "d", 1.0)
    assert table.admit(CRASHING, 1.0) is Admission.REFUSE
    assert table.admit(CRASHING, 1.0 + CONVICTION_RETENTION_S) is Admission.FREE


def test_crashing_request_sent_repeatedly_crashes_a_bounded_number():
    # One caller repeatedly sends a request that crashes each engine which runs
    # it, through either entry. All other requests in flight are answered
    # completely, and the crashing request is refused after at most three
    # engines.
    shape = Shape("vault", ("lhe-a", "lhe-b", "lhe-c"), 2, 6, 0)
    with Fleet(shape) as fleet:
        for engine in fleet.engines:
            fleet.set_fault(engine.name, crash_on="poison")
        texts, codes = [], []

        def send_request(entry: int) -> None:
            client = make_client(fleet, "punjab-traders", entry)
            answer = client.chat.completions.create(
                model="large@1", messages=MESSAGES, max_tokens=80
            )
            texts.append(answer.choices[0].message.content)

        threads = [
            threading.Thread(target=send_request, args=(n % 2,))
            for n in range(16)
        ]
        for thread in threads:
            thread.start()
        for number in range(6):
            client = make_client(fleet, entry=number % 2)
            try:
                client.with_options(max_retries=0).chat.completions.create(
                    model="large@1",
                    messages=[{"role": "user", "content": "poison"}],
                )
            except openai.APIStatusError as error:
                codes.append(error.code)
        for thread in threads:
            thread.join(30)
        crashed_engines = [
            e.name for e in fleet.engines if e.process.poll() is not None
        ]
        assert texts == [get_expected_text("large@1", 80)] * 16
        assert len(crashed_engines) <= MAX_UPSTREAMS_LOST
        assert codes == ["request_crashes_upstreams"] * 6


STRIKE, CONVICTED = CrashReportKind.STRIKE, CrashReportKind.CONVICTED


def apply_all(reports):
    table = SuspectTable()
    for report in reports:
        table.apply_report(report, 0.0)
    return table


@settings(max_examples=100, deadline=None)
@given(st.randoms(use_true_random=False))
def test_strikes_in_any_order_and_twice_lead_to_the_same_verdict(rng):
    # Guards against verdicts that depend on which way a report took.
    names = [CRASHING, *HARMLESS]
    reports = [
        CrashReport(
            CONVICTED if rng.random() < 0.2 else STRIKE,
            rng.choice(names),
            f"run-{number}",
            f"upstream-{rng.randrange(5)}",
        )
        for number in range(rng.randrange(1, 14))
    ]
    table = apply_all(reports)
    other = apply_all(rng.sample(reports * 2, 2 * len(reports)))
    copy = apply_all(table.get_reports(0.0))
    for name in names:
        assert other.admit(name, 0.0) is table.admit(name, 0.0)
        assert copy.admit(name, 0.0) is table.admit(name, 0.0)


def test_an_innocent_beside_a_convicted_request_is_not_refused():
    # Guards against requests that are refused for an hour because they were in
    # flight where another request crashed the upstream.
    innocent = HARMLESS[0]
    reports = [
        CrashReport(STRIKE, innocent, "i1", "b"),
        CrashReport(CONVICTED, innocent, "i2", "c"),
        *(CrashReport(STRIKE, CRASHING, f"r{name}", name) for name in "ab"),
    ]
    assert apply_all(reports).admit(innocent, 0.0) is Admission.REFUSE
    reports.append(CrashReport(CONVICTED, CRASHING, "rc", "c"))
    table = apply_all(reports)
    assert table.admit(innocent, 0.0) is Admission.PROBE
    assert table.admit(CRASHING, 0.0) is Admission.REFUSE
    for run in ("i3", "i4"):
        table.record_end(innocent, run, True, 0.0)
        assert table.admit(innocent, 0.0) is Admission.FREE
    table.record_crash(innocent, "i5", "x", 0.0)
    assert table.admit(innocent, 0.0) is Admission.FREE


def test_a_guilty_request_that_another_one_explains_crashes_one_more():
    # Guards against the guilty request running freely, at all entries at one
    # moment, because an innocent one with more strikes was convicted first.
    innocent = HARMLESS[0]
    reports = [
        *(CrashReport(STRIKE, innocent, f"i{name}", name) for name in "abcd"),
        CrashReport(CONVICTED, innocent, "ie", "e"),
        *(CrashReport(STRIKE, CRASHING, f"r{name}", name) for name in "abe"),
    ]
    table = apply_all(reports)
    assert table.admit(CRASHING, 0.0) is Admission.PROBE
    table.start_probe(CRASHING, "p", 0.0)
    assert table.admit(CRASHING, 0.0) is Admission.WAIT
    table.record_crash(CRASHING, "p", "f", 0.0)
    assert table.admit(CRASHING, 0.0) is Admission.REFUSE


def test_a_probe_that_crashes_late_convicts():
    # Guards against a request that crashes each upstream after half a minute
    # and is probed without end, since its probe has given way to another one.
    table = SuspectTable()
    for name in "ab":
        table.record_crash(CRASHING, name, name, 0.0)
    table.start_probe(CRASHING, "p", 1.0)
    late_s = 2.0 + PROBE_TIMEOUT_S
    table.start_probe(CRASHING, "q", late_s)
    assert table.holds_probe(CRASHING, "q", late_s)
    table.record_crash(CRASHING, "p", "c", late_s)
    assert table.admit(CRASHING, late_s) is Admission.REFUSE


def test_of_probes_claimed_at_one_moment_one_runs():
    # Guards against entries that each start a probe, because the claims of the
    # others are still on their way.
    tables = [SuspectTable() for _ in range(5)]
    for table in tables:
        for name in "ab":
            table.record_crash(CRASHING, name, name, 0.0)
    claims = [
        table.start_probe(CRASHING, f"probe-{number}", 0.01 * number)
        for number, table in enumerate(tables)
    ]
    for table in tables:
        for claim in reversed(claims):
            table.apply_report(claim, 0.05)
    settled_s = 0.05 + CLAIM_SETTLE_S
    holders = [
        number
        for number, table in enumerate(tables)
        if table.holds_probe(CRASHING, f"probe-{number}", settled_s)
    ]
    assert len(holders) == 1
    late = tables[3].start_probe(CRASHING, "probe", settled_s)
    for table in tables:
        table.apply_report(late, settled_s)
        assert not table.holds_probe(CRASHING, "probe", settled_s)
    # A copy of the claim that arrives after the probe has ended starts none.
    ended = tables[holders[0]].record_end(
        CRASHING, f"probe-{holders[0]}", False, settled_s
    )
    tables[0].apply_report(ended, settled_s)
    tables[0].apply_report(claims[holders[0]], settled_s)
    assert tables[0].admit(CRASHING, settled_s) is Admission.PROBE


def test_an_answer_between_crashes_keeps_the_newest_strike():
    # Guards against a request that is forgiven all its crashes by one answer,
    # and against copies of one request that count one crash several times.
    table = SuspectTable()
    for name in "ab":
        for copy in range(3):
            table.record_crash(CRASHING, f"{name}{copy}", name, 0.0)
    assert table.get_strikes(CRASHING, 0.0) == 2
    report = table.record_end(CRASHING, "c", True, 0.0)
    table.apply_report(report, 0.0)
    assert table.admit(CRASHING, 0.0) is Admission.FREE
    table.record_crash(CRASHING, "d", "d", 0.0)
    assert table.admit(CRASHING, 0.0) is Admission.PROBE


def test_lost_runs_hold_the_next_retry_until_they_are_checked():
    # Guards against the retries of one request, or copies of it, that crash one
    # upstream after the other before the first crash is confirmed.
    table = SuspectTable()
    table.start_check(CRASHING, "r/1", "a", 0.0)
    table.start_check(CRASHING, "s/1", "a", 0.0)
    assert table.admit(CRASHING, 0.0) is Admission.FREE
    table.start_check(CRASHING, "r/2", "b", 0.0)
    assert table.admit(CRASHING, 0.0) is Admission.WAIT
    table.record_end(CRASHING, "r/2", False, 0.0)
    assert table.admit(CRASHING, 0.0) is Admission.FREE
    table.start_check(CRASHING, "r/3", "b", 0.0)
    table.record_crash(CRASHING, "r/1", "a", 0.0)
    table.record_crash(CRASHING, "r/3", "b", 0.0)
    assert table.admit(CRASHING, 0.0) is Admission.PROBE


def make_watch():
    posted = []
    watch = SuspectWatch(posted.append, lambda: True)
    for name in "ab":
        watch.on_report(CrashReport(STRIKE, CRASHING, f"r{name}", name))
    return watch, posted


async def test_claim_of_a_caller_that_has_left_holds_no_copies():
    # Guards against copies that wait for a probe which never starts, since its
    # caller has left while the claim settled.
    watch, posted = make_watch()
    task = asyncio.ensure_future(watch.claim_probe(CRASHING, "p"))
    await asyncio.sleep(0)
    assert watch.admit(CRASHING) is Admission.WAIT
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert watch.admit(CRASHING) is Admission.PROBE
    assert posted[-1].kind is CrashReportKind.PROBE_ENDED


async def test_lost_claim_that_arrives_late_holds_no_copies():
    # Guards against a claim that lost, and whose second copy passes for a new
    # probe once the winner has ended.
    watch, posted = make_watch()
    other, _ = make_watch()
    task = asyncio.ensure_future(watch.claim_probe(CRASHING, "q"))
    await asyncio.sleep(0)
    watch.on_report(CrashReport(CrashReportKind.PROBE, CRASHING, "p"))
    assert not await task
    for report in (*posted, posted[0]):
        other.on_report(report)
    assert other.admit(CRASHING) is Admission.PROBE


async def test_of_gateways_with_an_answer_on_a_part_few_tell_it():
    # Guards against as many reports as there are gateways, to each of them,
    # where all of them have an answer on a suspected part at one moment.
    posted = []
    watches = []
    for number in range(40):

        def post(report, sender=number):
            posted.append(report)
            for other, watch in enumerate(watches):
                if other != sender:
                    watch.on_report(report)

        watches.append(SuspectWatch(post, lambda: True))
    for watch in watches:
        for name in "ab":
            watch.on_report(
                CrashReport(STRIKE, CRASHING, f"r{name}", name, ("first",))
            )
    for number, watch in enumerate(watches):
        watch.record_answered(HARMLESS[0], f"s{number}", ("first",))
    await asyncio.sleep(CLEAR_SPREAD_S + 0.2)
    assert [report.parts for report in posted] == [("first",)]
    assert watches[0].admit(HARMLESS[1], ("first",)) is Admission.FREE

"""One request that crashes each upstream takes down a bounded number."""

from __future__ import annotations

import threading

import openai
from hypothesis import settings
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
from lovagestage.decisions.crash_suspects import (
    CONVICTION_KEEP_S,
    MAX_UPSTREAMS_LOST,
    Admission,
    SuspectTable,
    get_fingerprint,
)
from tests.test_thin_path import MESSAGES, get_expected_text

POISON = get_fingerprint("audit", b"poison")
INNOCENTS = [get_fingerprint("audit", b"%d" % n) for n in range(4)]
UPSTREAMS = range(4)


class CrashMachine(RuleBasedStateMachine):
    """Entries that hear each other, over upstreams with the sidecars' rule."""

    @initialize(entries=st.integers(1, 3))
    def start(self, entries):
        self.tables = [SuspectTable() for _ in range(entries)]
        self.running = []
        self.lost = 0
        self.most_copies = 0
        self.now_s = 0.0
        self.names = 0

    def tell(self, report):
        for table in self.tables:
            table.apply(report, self.now_s)

    @rule(
        name=st.sampled_from([POISON, POISON, *INNOCENTS]),
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
        beside = [run for run in self.running if run[2] == vm and run[4]]
        if strikes and any(probe or run[3] for run in beside):
            return
        self.names += 1
        run = f"run-{self.names}"
        if probe:
            self.tell(table.start_probe(name, run, self.now_s))
        self.running.append((name, run, vm, probe, strikes))
        copies = sum(run[0] == POISON for run in self.running)
        self.most_copies = max(self.most_copies, copies)

    @precondition(lambda self: any(r[0] == POISON for r in self.running))
    @rule(choice=st.integers(0, 9))
    def crash(self, choice):
        poisons = [run for run in self.running if run[0] == POISON]
        vm = poisons[choice % len(poisons)][2]
        died = [run for run in self.running if run[2] == vm]
        self.running = [run for run in self.running if run[2] != vm]
        self.lost += 1
        for name, run, _, probe, _ in died:
            self.tell(self.tables[0].add_crash(name, run, probe, self.now_s))

    @precondition(lambda self: any(r[0] != POISON for r in self.running))
    @rule(choice=st.integers(0, 9))
    def answer(self, choice):
        innocent = [run for run in self.running if run[0] != POISON]
        done = innocent[choice % len(innocent)]
        self.running.remove(done)
        report = self.tables[0].add_end(done[0], done[1], True, self.now_s)
        if report is not None:
            self.tell(report)
        # Whatever was in flight beside the poison is free again at once.
        assert self.tables[-1].admit(done[0], self.now_s) in (
            Admission.FREE,
            Admission.REFUSE,
        )

    @rule(pause_s=st.floats(0, 10))
    def wait(self, pause_s):
        self.now_s += pause_s

    @invariant()
    def few_upstreams_are_lost(self):
        if hasattr(self, "lost") and self.now_s < CONVICTION_KEEP_S:
            others = max(0, self.most_copies - 1)
            assert self.lost <= MAX_UPSTREAMS_LOST + others


TestCrashMachine = CrashMachine.TestCase
TestCrashMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


def test_probed_innocent_is_not_convicted_by_a_suspect_beside_it():
    # The sidecar keeps requests with strikes away from a probe, so that the
    # only one that a crash can convict is the one that caused it.
    table = SuspectTable()
    for run in ("a", "b"):
        table.add_crash(POISON, run, False, 0.0)
        table.add_crash(INNOCENTS[0], run, False, 0.0)
    assert table.admit(INNOCENTS[0], 0.0) is Admission.PROBE
    table.start_probe(INNOCENTS[0], "c", 0.0)
    table.add_end(INNOCENTS[0], "c", True, 1.0)
    assert table.admit(INNOCENTS[0], 1.0) is Admission.FREE
    table.add_crash(POISON, "d", True, 1.0)
    assert table.admit(POISON, 1.0) is Admission.REFUSE
    assert table.admit(POISON, 1.0 + CONVICTION_KEEP_S) is Admission.FREE


def test_poison_sent_again_and_again_takes_down_a_bounded_number():
    # One caller's request kills each engine that runs it, and it sends it
    # again through either entry. The requests in flight beside it are
    # answered whole; the poison is refused by name after three engines.
    shape = Shape("vault", ("lhe-a", "lhe-b", "lhe-c"), 2, 6, 0)
    with Fleet(shape) as fleet:
        for engine in fleet.engines:
            fleet.set_fault(engine.name, crash_on="poison")
        texts, codes = [], []

        def ask(entry: int) -> None:
            client = make_client(fleet, "punjab-traders", entry)
            answer = client.chat.completions.create(
                model="large@1", messages=MESSAGES, max_tokens=80
            )
            texts.append(answer.choices[0].message.content)

        threads = [
            threading.Thread(target=ask, args=(n % 2,)) for n in range(16)
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
        dead = [e.name for e in fleet.engines if e.process.poll() is not None]
        assert texts == [get_expected_text("large@1", 80)] * 16
        assert len(dead) <= MAX_UPSTREAMS_LOST
        assert codes == ["request_crashes_upstreams"] * 6

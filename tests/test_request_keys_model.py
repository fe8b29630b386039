"""State machine test of the key ledger, the member view and the run gate.

Messages may be delivered in any order, repeatedly or not at all.
"""

from __future__ import annotations

import uuid

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lovagestage.decisions.request_keys import KeyLedger, PullState
from lovagestage.decisions.run_gate import RunGate
from lovagestage.messages.keys import (
    Claim,
    ClaimOutcome,
    Pull,
    RunId,
    RunKnowledge,
)
from lovagestage.state.members import (
    MemberId,
    MemberJoined,
    MemberRemoved,
    MemberView,
)

ENTRIES = 3
SLOTS = 2
SIDECARS = 2
PICK = st.integers(0, 1_000_000)


class Entry:
    def __init__(self, name, zone, incarnation, log):
        self.record = MemberJoined(name, zone, incarnation, "")
        self.id = MemberId(name, incarnation)
        self.view, self.folded = MemberView(SLOTS), 0
        self.ledger = KeyLedger(self.id, 100, 1e9, SLOTS)
        log.append(self.record)

    def fold(self, log):
        for offset in range(self.folded, len(log)):
            self.view.apply(offset, log[offset])
        self.folded = len(log)
        self.ledger.apply_view(self.view)


class Sidecar:
    def __init__(self, incarnation):
        self.gate = RunGate(incarnation)
        self.here = {}


class Caller:
    """One request with the key, sent through one entry."""

    def __init__(self, number, entry):
        self.number, self.entry = number, entry
        self.state, self.run, self.after, self.tries = "new", None, None, 0
        self.answer = None


class World(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now_ms, self.count = 1_000_000_000, 0
        self.log, self.net, self.callers = [], [], []
        self.entries = [self.make_entry(i) for i in range(ENTRIES)]
        self.dead = set()
        self.sidecars = [Sidecar(self.tick()) for _ in range(SIDECARS)]
        self.executed, self.key = [], None

    @initialize(timed=st.booleans())
    def settle(self, timed):
        number = (self.now_ms << 80) | (7 << 76) | (2 << 62) | 5
        self.key = str(uuid.UUID(int=number)) if timed else "plain"
        self.fold_all()
        self.fold_all()

    def tick(self):
        self.count += 1
        return self.count

    def make_entry(self, index):
        return Entry(f"e{index}", f"z{index % 2}", self.tick(), self.log)

    # Callers

    @rule(entry=PICK)
    def send(self, entry):
        caller = Caller(self.tick(), self.entries[entry % ENTRIES])
        self.callers.append(caller)
        self.claim(caller)

    @rule(entry=PICK)
    def ask_whether_run(self, entry):
        caller = Caller(self.tick(), self.entries[entry % ENTRIES])
        caller.state, caller.ran = "claiming", len(self.executed)
        self.callers.append(caller)
        self.send_claim(caller)

    def claim(self, caller):
        index = (caller.number + caller.tries) % SIDECARS
        caller.tries += 1
        caller.run = RunId(
            f"r{caller.number}",
            caller.tries,
            str(index),
            self.sidecars[index].gate.incarnation,
            self.now_ms,
        )
        caller.state = "claiming"
        self.send_claim(caller)

    def send_claim(self, caller):
        view = caller.entry.view
        holders = view.get_holders(view.get_slot("w", self.key))
        if holders:
            claim = Claim(
                view.epoch,
                "w",
                self.key,
                b"body",
                caller.run,
                "m@1",
                False,
                caller.after,
            )
            self.net.append((self.on_claim, holders[0], claim, caller))

    @precondition(lambda self: self.callers)
    @rule(pick=PICK)
    def give_up_claim(self, pick):
        caller = self.callers[pick % len(self.callers)]
        if caller.state == "claiming":
            self.end(caller, "unknown")

    def end(self, caller, state, answer=None):
        caller.state, caller.answer = state, answer

    # Messages

    @precondition(lambda self: self.net)
    @rule(pick=PICK, repeat=st.sampled_from([False, False, False, True]))
    def deliver(self, pick, repeat):
        message = self.net[pick % len(self.net)]
        if not repeat:
            self.net.remove(message)
        handler, *arguments = message
        handler(*arguments)

    @rule(lost=st.integers(0, 8))
    def deliver_all(self, lost):
        for number in range(1, 30):
            if self.net and number == lost:
                self.lose(0)
            elif self.net:
                self.deliver(0, False)

    @rule(entry=PICK, lost=st.integers(0, 8))
    def send_and_deliver(self, entry, lost):
        self.send(entry)
        self.deliver_all(lost)

    @precondition(lambda self: self.net)
    @rule(pick=PICK)
    def lose(self, pick):
        handler, *arguments = self.net.pop(pick % len(self.net))
        if handler == self.on_copy:
            _, owner, copy, claim, caller = arguments
            self.on_copied(owner, copy, None, claim, caller)

    def get_entry(self, member):
        for entry in self.entries:
            if entry.id == member and member not in self.dead:
                return entry
        return None

    def on_claim(self, owner, claim, caller):
        entry = self.get_entry(owner)
        if entry is None:
            return
        decided = entry.ledger.claim(entry.view, claim, 0.0, self.now_ms)
        if not hasattr(decided, "slot"):
            self.net.append((self.on_decided, claim.run, decided, caller))
            return
        holders = entry.view.get_holders(decided.slot)
        if len(holders) == 1:
            self.on_copied(entry, decided, None, claim, caller)
        else:
            self.net.append(
                (self.on_copy, holders[1], entry, decided, claim, caller)
            )

    def on_copy(self, member, owner, copy, claim, caller):
        entry = self.get_entry(member)
        if entry is not None:
            taken = entry.ledger.store_copy(entry.view, copy, 0.0)
            self.net.append((self.on_copied, owner, copy, taken, claim, caller))

    def on_copied(self, owner, copy, taken, claim, caller):
        if owner.id not in self.dead:
            answer = owner.ledger.confirm(owner.view, copy, taken)
            self.net.append((self.on_decided, claim.run, answer, caller))

    def on_decided(self, run, answer, caller):
        if caller.state != "claiming" or caller.run != run:
            return
        match answer.outcome:
            case ClaimOutcome.GRANTED:
                caller.state = "waiting"
                self.net.append((self.on_dispatch, run, caller))
            case ClaimOutcome.FREE:
                assert caller.ran == 0, "The refusal 'not run' is false."
                self.end(caller, "not_run")
            case ClaimOutcome.HELD:
                caller.run = answer.entry.run
                self.ask_sidecar(caller)
            case ClaimOutcome.HISTORY_LOST:
                self.end(caller, "unknown")
            case _ if run is None:
                self.end(caller, "unknown")
            case _:
                self.claim(caller)

    def ask_sidecar(self, caller):
        caller.state = "asking"
        self.net.append((self.on_inquiry, caller.run, caller))

    def on_dispatch(self, run, caller):
        sidecar = self.sidecars[int(run.sidecar)]
        name = (run.request_id, run.attempt)
        if name in sidecar.here:
            self.net.append((self.on_answer, run, caller))
        elif sidecar.gate.may_start(
            name, run.incarnation, run.permit_ms, self.now_ms
        ):
            sidecar.here[name] = run
            self.executed.append(run)
            self.net.append((self.on_answer, run, caller))
        else:
            sidecar.gate.forbid(name, self.now_ms)

    def on_inquiry(self, run, caller):
        sidecar = self.sidecars[int(run.sidecar)]
        name = (run.request_id, run.attempt)
        known = RunKnowledge.RECORDED
        if sidecar.here.get(name) != run:
            known = sidecar.gate.query_run(
                name, run.incarnation, run.permit_ms, True, self.now_ms
            )
        self.net.append((self.on_known, run, known, caller))

    def on_known(self, run, known, caller):
        if caller.state != "asking" or caller.run != run:
            return
        if known is RunKnowledge.RECORDED:
            self.end(caller, "answered", run)
        elif known is RunKnowledge.FORBIDDEN:
            caller.after = run
            self.claim(caller)
        else:
            self.end(caller, "unknown")

    def on_answer(self, run, caller):
        if caller.state == "waiting" and caller.run == run:
            self.end(caller, "answered", run)

    @precondition(lambda self: self.callers)
    @rule(pick=PICK)
    def doubt(self, pick):
        caller = self.callers[pick % len(self.callers)]
        if caller.state == "waiting":
            self.ask_sidecar(caller)

    # Faults

    @rule(pick=PICK)
    def fold(self, pick):
        self.entries[pick % ENTRIES].fold(self.log)

    @rule()
    def fold_all(self):
        for entry in self.entries:
            entry.fold(self.log)
            self.pull(entry)

    @rule(pick=PICK)
    def pull_one(self, pick):
        self.pull(self.entries[pick % ENTRIES])

    def pull(self, entry):
        if entry.id in self.dead:
            return
        slot, answers = entry.view.get_slot("w", self.key), {}
        while entry.id in entry.view.get_holders(slot):
            step = entry.ledger.plan_pull(entry.view, slot, answers)
            if step.state is not PullState.ASK:
                if step.state is PullState.LOST:
                    entry.ledger.mark_lost(slot, step.lost_holders, self.now_ms)
                entry.ledger.finish_pull(entry.view, slot)
                return
            source = self.get_entry(step.sources[0])
            if source is None:
                return
            answer = source.ledger.answer_pull(
                source.view, Pull(entry.view.epoch, slot), 0.0
            )
            if answer.epoch != entry.view.epoch:
                return
            entry.ledger.merge(slot, answer, 0.0)
            answers[step.sources[0]] = answer.complete_start

    @rule(pick=PICK, fault=st.sampled_from(["silent", "killed", "replaced"]))
    def change_view(self, pick, fault):
        # A process that does not respond may have ended, be paused or be
        # disconnected; the other entries can't tell which.
        index = pick % ENTRIES
        member = self.entries[index].id
        if fault != "silent":
            self.dead.add(member)
        if fault == "replaced":
            self.entries[index] = self.make_entry(index)
        else:
            self.log.append(
                MemberRemoved(
                    member.vm, member.incarnation, ended=fault == "killed"
                )
            )

    @rule(pick=PICK)
    def change_view_for_all_others(self, pick):
        index = pick % ENTRIES
        self.change_view(pick, "silent")
        for other in (*self.entries, *self.entries):
            if other is not self.entries[index]:
                other.fold(self.log)
                self.pull(other)

    @rule(pick=PICK)
    def restart_sidecar(self, pick):
        self.sidecars[pick % SIDECARS] = Sidecar(self.tick())

    @rule(pick=PICK)
    def forget_runs(self, pick):
        sidecar = self.sidecars[pick % SIDECARS]
        for name, run in sidecar.here.items():
            sidecar.gate.record_forgotten(name, run.permit_ms)
        sidecar.here.clear()

    @rule(seconds=st.sampled_from([1, 20, 40, 90]))
    def wait(self, seconds):
        self.now_ms += seconds * 1000
        for sidecar in self.sidecars:
            sidecar.gate.remove_expired(self.now_ms)

    # Guarantees

    @invariant()
    def runs_at_most_once(self):
        assert len(self.executed) <= 1, self.executed

    @invariant()
    def answers_are_equal(self):
        answers = {c.answer for c in self.callers if c.state == "answered"}
        assert len(answers) <= 1
        assert answers <= set(self.executed)


TestWorld = World.TestCase
TestWorld.settings = settings(
    max_examples=400, stateful_step_count=40, deadline=None, derandomize=True
)

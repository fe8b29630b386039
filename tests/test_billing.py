"""The log gets each request's bill and counts it once, despite losses."""

from __future__ import annotations

import dataclasses
import types

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lovagestage.decisions import billing
from lovagestage.entry import answer_billing
from lovagestage.messages.peers import BillCopy, BillRelease
from lovagestage.operations import usage

VMS = ("entry-0", "entry-1", "entry-2")
ZONES = {"entry-0": "a", "entry-1": "b", "entry-2": "a"}
LIMIT_BYTES = 6 * billing.MAX_BILL_BYTES
BATCH_BYTES = 70
"""Size of two bills."""
vms = st.sampled_from(VMS)


def make_bill(request_id="r1", at_s=0, tokens=7, workspace="audit", **more):
    return billing.Bill(
        request_id, workspace, "vault", "large@1", at_s, 3, tokens, **more
    )


def make_ledger(vm="entry-0", incarnation=1, limit_bytes=LIMIT_BYTES):
    return billing.BillingLedger(
        vm, ZONES[vm], incarnation, limit_bytes, BATCH_BYTES
    )


class BillingMachine(RuleBasedStateMachine):
    """Three entries, a log, and a network that loses messages."""

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.count = 0
        self.incarnation = 1
        self.log: list[bytes] = []
        # The log starts unavailable, so that bills accumulate before the first
        # kill.
        self.log_up = False
        self.killed_since_settled = False
        self.answered: set[str] = set()
        self.refused: set[str] = set()
        self.uncopied: dict[str, set[str]] = {vm: set() for vm in VMS}
        self.ledgers = {vm: make_ledger(vm) for vm in VMS}
        self.gone: set[str] = set()

    def get_holder(self, vm):
        others = set(VMS) - self.gone - {vm}
        peers = [billing.Peer(o, ZONES[o]) for o in sorted(others)]
        return self.ledgers[vm].choose_holder(peers)

    def send_copy(self, vm, copy, ack_arrives):
        holder = self.get_holder(vm)
        if copy is None or not self.ledgers[holder].store_copies(
            copy, self.now_s
        ):
            return False
        if ack_arrives:
            self.ledgers[vm].on_copied(copy, holder)
        return ack_arrives

    @rule(
        vm=vms,
        network=st.sampled_from(["up", "up", "no_ack", "down"]),
        count=st.integers(1, 5),
    )
    def serve(self, vm, network, count):
        for _ in range(count):
            self.serve_one(vm, network)

    def serve_one(self, vm, network):
        # The entry reserves space, runs the request, bills it, copies the bill
        # and only then answers. If no peer acknowledges the copy, the answer is
        # sent nevertheless; during that time the loss of this single VM loses
        # the bill.
        if vm in self.gone:
            return
        ledger = self.ledgers[vm]
        self.count += 1
        request_id = f"r{self.count}"
        if not ledger.reserve():
            self.refused.add(request_id)
            return
        number = ledger.add(make_bill(request_id, int(self.now_s)))
        ledger.release()
        copy = ledger.make_copy(number, self.get_holder(vm))
        copied = network != "down" and self.send_copy(vm, copy, network == "up")
        if not copied:
            self.uncopied[vm].add(request_id)
        self.answered.add(request_id)

    @rule(vm=vms, lost=st.booleans())
    def renew(self, vm, lost):
        ledger = self.ledgers[vm]
        if vm in self.gone:
            return
        ledger.take_over_bills(self.now_s)
        if lost:
            return
        holder = self.get_holder(vm)
        self.ledgers[holder].on_release(ledger.make_release(), self.now_s)
        copy = ledger.make_missing_copy(holder)
        if copy is None or self.send_copy(vm, copy, True):
            self.uncopied[vm].clear()

    @rule(vm=vms, answer=st.sampled_from(["whole", "lost"]))
    def append(self, vm, answer):
        batch = self.ledgers[vm].make_batch()
        if batch is None or not self.log_up:
            return
        self.log.append(billing.encode_batch(batch))
        if answer == "whole":
            self.ledgers[vm].on_appended(batch)

    @rule(up=st.booleans())
    def switch_log(self, up):
        self.log_up = up

    @rule(seconds=st.floats(0.1, 2 * billing.COPY_RENEWAL_TIMEOUT_S))
    def wait(self, seconds):
        self.now_s += seconds

    @precondition(lambda self: not self.killed_since_settled)
    @rule(vm=vms, replaced=st.booleans())
    def kill(self, vm, replaced):
        # At most one of the VMs that have a bill is lost: the next kill waits
        # until `settle` has appended all bills that the remaining VMs have.
        self.killed_since_settled = True
        self.answered -= self.uncopied[vm]
        self.uncopied[vm] = set()
        self.incarnation += 1
        self.ledgers[vm] = make_ledger(vm, self.incarnation)
        if not replaced:
            self.gone = {vm}

    @rule()
    def replace(self):
        self.gone = set()

    @precondition(lambda self: self.killed_since_settled)
    @rule()
    def settle(self):
        self.log_up = True
        for _ in range(3):
            self.now_s += billing.COPY_RENEWAL_TIMEOUT_S + 1
            for vm in VMS:
                self.renew(vm, False)
            for vm in VMS:
                while self.ledgers[vm].make_batch():
                    self.append(vm, "whole")
        self.killed_since_settled = False
        self.uncopied = {vm: set() for vm in VMS}
        self.check_log()

    def check_log(self):
        totals = usage.UsageTotals()
        counter = usage.UsageCounter(usage.BillFilter(), 1, totals)
        for record in self.log:
            counter.add_batch(record)
        in_log = {
            bill.request_id
            for record in self.log
            for bill in billing.decode_batch(record)
        }
        assert self.answered <= in_log
        assert not self.refused & in_log
        total = sum(usage_sum.requests for usage_sum in totals.sums.values())
        assert total == len(in_log)

    @invariant()
    def keeps_its_bound(self):
        for ledger in getattr(self, "ledgers", {}).values():
            sizes = ledger.get_sizes()
            assert sizes["held_bytes"] <= LIMIT_BYTES
            # Bills that were taken over are pending in addition; the space that
            # they need is that of the copies.
            assert sizes["pending_bytes"] <= 2 * LIMIT_BYTES

    def teardown(self):
        if hasattr(self, "ledgers"):
            self.settle()


BillingMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)
TestBilling = BillingMachine.TestCase


async def test_end_of_a_stream_waits_for_its_bill():
    # An entry that is lost immediately after the end of an answer must already
    # have copied the bill. The last event is therefore withheld until the call
    # that adds and copies the bill has returned.
    steps: list[object] = []

    class Service:
        async def add_bill(self, bill):
            steps.append(bill.request_id)

    request = types.SimpleNamespace(
        request_id="r1", workspace="audit", service="vault"
    )
    result = types.SimpleNamespace(version="large@1", finished=None)
    stream = answer_billing.BilledStream(request, result, Service())
    steps.append(stream.add_chunk(b'data: {"content":"a"}'))
    steps.append(stream.add_chunk(b"data: [DONE]"))
    steps.append(await stream.finish(0.0))
    assert steps == [b'data: {"content":"a"}', b"", "r1", b"data: [DONE]"]


def test_full_buffer_refuses_before_the_request_runs():
    ledger = make_ledger(limit_bytes=2 * billing.MAX_BILL_BYTES)
    assert [ledger.reserve() for _ in range(3)] == [True, True, False]
    ledger.release()
    assert ledger.reserve()


def test_bill_fits_into_its_room():
    longest = make_bill("f" * 64, 2**40, 2**40, "w" * 128)
    ledger = make_ledger()
    ledger.add(longest)
    assert ledger.get_sizes()["pending_bytes"] < billing.MAX_BILL_BYTES


def test_batch_is_bounded_in_bytes():
    ledger = make_ledger()
    for index in range(20):
        ledger.add(make_bill(f"r{index}"))
    batch = ledger.make_batch()
    assert 1 < len(batch.bills) < 20
    assert sum(map(len, batch.bills)) <= BATCH_BYTES


def test_holder_is_in_another_zone_where_there_is_one():
    peers = [billing.Peer(vm, ZONES[vm]) for vm in ("entry-1", "entry-2")]
    assert make_ledger().choose_holder(peers) == "entry-1"
    assert make_ledger().choose_holder(peers[1:]) == "entry-2"
    assert make_ledger().choose_holder([]) is None


def test_bills_of_a_silent_owner_are_taken_over_once():
    owner, holder = make_ledger(), make_ledger("entry-1")
    holder.store_copies(owner.make_copy(owner.add(make_bill()), "entry-1"), 0.0)
    assert holder.take_over_bills(billing.COPY_RENEWAL_TIMEOUT_S) == 0
    assert holder.take_over_bills(billing.COPY_RENEWAL_TIMEOUT_S + 0.1) == 1
    assert holder.take_over_bills(billing.COPY_RENEWAL_TIMEOUT_S + 0.2) == 0
    assert len(holder.make_batch().bills) == 1


def test_restarted_owner_leaves_its_bills_to_the_holder():
    # Guards against bills that wait for a process that no longer exists. An
    # entry is replaced under the same name so fast that its heartbeat never
    # expires. The new process does not know the bills of its predecessor, so
    # the holder must not wait until it renews or drops them.
    owner, holder = make_ledger(), make_ledger("entry-1")
    number = owner.add(make_bill())
    holder.store_copies(owner.make_copy(number, "entry-1"), 0.0)
    assert holder.take_over_bills(1.0) == 0
    holder.on_release(BillRelease("entry-0", 2, 0), 1.0)
    assert holder.take_over_bills(1.0) == 1


def test_release_drops_only_what_the_log_has():
    owner, holder = make_ledger(), make_ledger("entry-1")
    for index in range(3):
        number = owner.add(make_bill(f"r{index}"))
        holder.store_copies(owner.make_copy(number, "entry-1"), 0.0)
    owner.on_appended(owner.make_batch())
    holder.on_release(owner.make_release(), 0.0)
    assert holder.get_sizes()["held"] == 1


def test_next_holder_gets_what_the_lost_one_had():
    owner = make_ledger()
    numbers = [owner.add(make_bill(f"r{index}")) for index in range(2)]
    owner.on_copied(owner.make_copy(numbers[0], "entry-1"), "entry-1")
    copy = owner.make_missing_copy("entry-2")
    assert [bill.number for bill in copy.bills] == numbers
    owner.on_copied(copy, "entry-2")
    assert owner.make_missing_copy("entry-2") is None


def test_holder_refuses_copies_over_its_bound():
    owner, holder = make_ledger(), make_ledger("entry-1", limit_bytes=70)
    copies = [
        owner.make_copy(owner.add(make_bill(f"r{index}")), "entry-1")
        for index in range(4)
    ]
    held = [holder.store_copies(copy, 0.0) for copy in copies]
    assert held == [True, True, False, False]


def test_late_copy_is_dropped_by_the_next_release():
    owner, holder = make_ledger(), make_ledger("entry-1")
    copy = owner.make_copy(owner.add(make_bill()), "entry-1")
    owner.on_appended(owner.make_batch())
    holder.on_release(owner.make_release(), 0.0)
    assert isinstance(copy, BillCopy)
    holder.store_copies(copy, 0.1)
    holder.on_release(owner.make_release(), 0.2)
    assert holder.get_sizes()["held"] == 0


@pytest.mark.parametrize("passes", [1, 3])
def test_usage_counts_each_request_once(passes):
    day_s = 24 * 3600
    bills = [make_bill(f"r{i}", (i % 2) * day_s, 10) for i in range(10)]
    ledger = make_ledger()
    for bill in (*bills, *bills[:4], make_bill("x", workspace="trial")):
        ledger.add(bill)
    totals = usage.UsageTotals()
    counter = usage.UsageCounter(usage.BillFilter("audit"), passes, totals)
    records = [b"\x07junk"]
    while batch := ledger.make_batch():
        records.append(billing.encode_batch(batch))
        ledger.on_appended(batch)
    for share in range(passes):
        counter.start_pass(share)
        for record in records:
            counter.add_batch(record)
    assert totals.sums == {
        usage.UsageKey(day, "audit", "large@1"): usage.UsageSum(5, 15, 50)
        for day in ("1970-01-01", "1970-01-02")
    }
    assert (totals.duplicates, totals.undecodable) == (4, 1)


def test_usage_of_one_day():
    totals = usage.UsageTotals()
    counter = usage.UsageCounter(
        usage.BillFilter(None, "1970-01-02"), 1, totals
    )
    ledger = make_ledger()
    for at_s in (0, 24 * 3600, 48 * 3600):
        ledger.add(make_bill(f"r{at_s}", at_s))
    counter.add_batch(billing.encode_batch(ledger.make_batch()))
    assert [k.day for k in totals.sums] == ["1970-01-02"]
    assert dataclasses.asdict(next(iter(totals.sums.values())))["requests"] == 1


@pytest.mark.parametrize("order", [1, -1])
@pytest.mark.parametrize("day", [None, "1970-01-01", "1970-01-02"])
def test_whole_answer_is_billed_over_what_a_leaving_caller_had(order, day):
    # A caller disconnects in the middle of a stream and is billed for 3 tokens.
    # Its retry with the same key, after midnight, gets the complete answer
    # under the same id. The two bills come from two entries, in either order.
    cancelled = make_bill("r", 0, 3, outcome=billing.BillOutcome.CANCELLED)
    complete = make_bill("r", 24 * 3600, 30)
    ledger = make_ledger()
    for bill in [cancelled, complete, cancelled][::order]:
        ledger.add(bill)
    totals = usage.UsageTotals()
    counter = usage.UsageCounter(usage.BillFilter(None, day), 1, totals)
    counter.add_batch(billing.encode_batch(ledger.make_batch()))
    found = {k.day: s.completion_tokens for k, s in totals.sums.items()}
    assert found == ({} if day == "1970-01-01" else {"1970-01-02": 30})

"""Tests what gateways do when the store comes back from an earlier copy."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.decisions.positions import (
    SETTLE_S,
    EraChange,
    StoreEras,
    advance,
    get_era,
    get_offset,
    is_overtaken,
    make_position,
)
from lovagestage.exceptions import StoreAnswerLostError, StoreUnavailableError
from lovagestage.gateway.peer_messages import HelloMessage
from lovagestage.gateway.peer_messenger import PeerMessenger
from lovagestage.gateway.rollouts import (
    LOST_S,
    Rollout,
    RolloutOrder,
    RolloutOutcome,
)
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import UpstreamEntry
from lovagestage.platform.records import Page, Record
from tests.gateway_harness import KEY, run_gateway_harness
from tests.test_gateway_feeds import TOPIC, run_feed, run_store, wait_until
from tests.test_gateway_rollouts import call_until, put_order

OTHER_KEY = "other"
APPLY_S = 2.0
"""Time in seconds within which a change must be in force."""


async def wait_for_version(harness, version, timeout_s=4.0):
    for gateway in harness.gateways:
        await harness.wait_until(
            lambda g=gateway: g.deployment.configuration.version >= version,
            timeout_s,
        )


async def come_back(harness, copy, write=lambda: None, away_s=0.3):
    """Takes the store away, and back from a copy that is written to."""
    harness.store.faults.update({"outage": "reset"})
    await asyncio.sleep(away_s)
    harness.store.restore_copy(copy)
    write()
    harness.store.faults.update({"outage": None})


@pytest.mark.parametrize("gateways", [1, 9])
@pytest.mark.parametrize("times", [1, 2])
async def test_key_revoked_at_a_reused_offset_is_refused(gateways, times):
    # Guards against a gateway that takes the topic's end for the one that it
    # knows, and never reads the records that stand there now.
    async with run_gateway_harness(2, gateways=gateways) as harness:
        copy = harness.store.take_copy()
        version = 1
        for number in range(times):
            keys = (KEY, OTHER_KEY) if number < times - 1 else (OTHER_KEY,)
            for _ in range(2):
                version += 1
                harness.put_configuration(version=version, keys=(KEY,))
            await wait_for_version(harness, version)

            def write(first=version + 1, keys=keys):
                harness.put_configuration(version=first, keys=(KEY, OTHER_KEY))
                harness.put_configuration(version=first + 1, keys=keys)

            await come_back(harness, copy, write)
            version += 2
        await asyncio.sleep(APPLY_S)
        for gateway in range(gateways):
            reply = await harness.call("/safe/x", gateway)
            assert reply.status == 401
            reply = await harness.call("/safe/x", gateway, key=OTHER_KEY)
            assert reply.status == 200


@pytest.mark.parametrize("gateways", [1, 9])
async def test_callers_are_served_though_offsets_went_back(gateways):
    # Guards against a gateway that takes every read of the store for an old
    # one until the topic has grown to where it was, and trusts no key
    # meanwhile.
    async with run_gateway_harness(2, gateways=gateways) as harness:
        copy = harness.store.take_copy()
        for version in range(2, 9):
            harness.put_configuration(version=version)
        await wait_for_version(harness, 8)
        await come_back(
            harness, copy, lambda: harness.put_configuration(version=8)
        )
        await asyncio.sleep(APPLY_S)
        for gateway in range(gateways):
            reply = await harness.call("/safe/x", gateway)
            assert reply.status == 200
            configuration = harness.gateways[gateway].deployment.configuration
            assert configuration.version == 8


async def test_departure_at_a_reused_offset_is_heard():
    # Guards against an upstream that goes on getting requests because it said
    # that it leaves at an offset which the gateway has passed.
    async with run_gateway_harness(3) as harness:
        copy = harness.store.take_copy()
        for sequence in range(2, 6):
            harness.put_entry("w2", Sequence=sequence)
        await asyncio.sleep(1.0)

        def write():
            harness.put_entry("w1", State="draining", Sequence=9)
            for sequence in range(6, 12):
                harness.put_entry("w2", Sequence=sequence)

        await come_back(harness, copy, write)
        await asyncio.sleep(APPLY_S)
        before = len(harness.workers["w1"].arrivals)
        for number in range(30):
            await harness.call("/safe/x", request_id=f"a{number}")
        assert len(harness.workers["w1"].arrivals) == before


async def test_upstream_that_was_removed_does_not_return_with_the_copy():
    # Guards against requests to an upstream that is gone: the copy still
    # lists it, and the store has lost its removal.
    async with run_gateway_harness(3) as harness:
        copy = harness.store.take_copy()
        harness.store.append_keyed("keyed.servers", "w1", b"")
        await asyncio.sleep(1.0)
        await come_back(harness, copy)
        before = len(harness.workers["w1"].arrivals)
        for number in range(60):
            await harness.call("/safe/x", request_id=f"a{number}")
            await asyncio.sleep(0.05)
        assert len(harness.workers["w1"].arrivals) == before


async def test_upstreams_that_the_copy_lacks_are_used_until_they_are_back():
    # Guards against callers that are refused although every upstream runs:
    # those that came after the copy write their entries again a moment later.
    async with run_gateway_harness(0) as harness:
        copy = harness.store.take_copy()
        await harness.add_worker("w1")
        await harness.wait_until(
            lambda: len(harness.gateway.deployment.rotation)
        )
        await come_back(harness, copy)
        for number in range(10):
            reply = await harness.call("/safe/x", request_id=f"a{number}")
            assert reply.status == 200
            await asyncio.sleep(0.1)
        harness.put_entry("w1", Sequence=2)
        await asyncio.sleep(3.0)
        assert (await harness.call("/safe/x", request_id="b")).status == 200


async def test_evacuation_that_the_copy_lacks_stays_until_it_is_back():
    # Guards against a zone that gets requests again because the store has lost
    # the order to evacuate it.
    async with run_gateway_harness(2) as harness:
        copy = harness.store.take_copy()
        evacuations = harness.gateway.deployment.evacuations
        harness.store.append_keyed("keyed.op", "evacuate/b", b"{}")
        await harness.wait_until(lambda: len(evacuations))
        await come_back(harness, copy)
        for _ in range(10):
            await asyncio.sleep(0.1)
            assert len(evacuations)
        harness.store.append_keyed("keyed.op", "evacuate/b", b"{}")
        await asyncio.sleep(2.5)
        assert len(evacuations)


@pytest.mark.parametrize("rewritten", ["kept", "same offset", "new offset"])
async def test_lost_outcome_of_a_rollout_is_written_again_once(rewritten):
    # Guards against operators who read a decided roll-out as still running, or
    # an outcome that each gateway writes again.
    async with run_gateway_harness(gateways=3) as harness:
        await harness.add_worker("n1", Version="v2")
        copy = harness.store.take_copy()
        if rewritten == "kept":
            await put_order(harness, duration_s=2.0)
            copy = harness.store.take_copy()
        else:
            await put_order(harness, duration_s=2.0)
        await call_until(harness, "completed")
        await asyncio.sleep(1.5)
        op = harness.store.get_topic("keyed.op")
        order = next(v for k, (_, v) in op.newest.items() if "rollout" in k)

        def write():
            if rewritten == "new offset":
                harness.put_configuration(version=2)
            if rewritten != "kept":
                harness.store.append_keyed("keyed.op", "rollout/pool", order)

        await come_back(harness, copy, write)
        await asyncio.sleep(4.0)
        status = harness.store.get_topic("keyed.status")
        written = [data for data in status.read(0, status.end)]
        assert sum(b"completed" in data for data in written) == 1
        for gateway in harness.gateways:
            (rollout,) = gateway.deployment.rollouts.values()
            assert rollout.outcome.value == "completed"
            assert gateway.is_ready()


async def test_an_answer_of_an_earlier_era_counts_for_nothing():
    # Guards against an answer that was held while the store came back: it
    # proves nothing of the present, whether it reads or writes.
    async with run_store() as (store, client):
        store.append_keyed(TOPIC, "config", b"x")
        store.era = 3
        await client.read_newest(TOPIC, 1.0)
        store.era = 2
        with pytest.raises(StoreUnavailableError):
            await client.read_newest(TOPIC, 1.0)
        with pytest.raises(StoreAnswerLostError):
            await client.append("lovagestage", [("", b"x")], 1.0)


async def test_gateway_started_in_the_new_era_knows_what_the_others_know():
    # Guards against a process that starts from the copy and takes up a roll-out
    # that was decided, or a configuration that was replaced.
    async with run_gateway_harness(gateways=2) as harness:
        await harness.add_worker("n1", Version="v2")
        await put_order(harness, duration_s=2.0)
        copy = harness.store.take_copy()
        await call_until(harness, "completed")
        await come_back(
            harness, copy, lambda: harness.put_configuration(version=4)
        )
        await asyncio.sleep(SETTLE_S + 1.0)
        harness.start_another()
        gateway = harness.gateways[-1]
        await harness.wait_until(gateway.is_ready)
        (rollout,) = gateway.deployment.rollouts.values()
        assert rollout.outcome is RolloutOutcome.COMPLETED
        assert gateway.deployment.configuration.version == 4


def test_overdue_version_is_not_reverted_before_others_can_tell_its_outcome():
    # The store comes back without the outcome `completed`. A gateway that had
    # not heard of it reverted the version before one that knew wrote it again.
    order = RolloutOrder("s", "v2", 2.0)
    rollout = Rollout(order, make_position(0, 5), 0.0)
    assert rollout.get_due_outcome(3.9) is RolloutOutcome.RUNNING
    rollout.move(make_position(1, 5), 4.5)
    assert rollout.get_due_outcome(4.6) is RolloutOutcome.RUNNING
    assert rollout.get_due_outcome(4.4 + SETTLE_S) is RolloutOutcome.RUNNING
    assert rollout.get_due_outcome(4.5 + SETTLE_S) is RolloutOutcome.REVERTED


def test_gateway_that_has_just_started_reverts_no_overdue_version():
    # Others tell it that the order is old before they tell of its outcome.
    order = RolloutOrder("s", "v2", 2.0)
    rollout = Rollout(order, make_position(1, 5), 10.0)
    rollout.apply_age(9.0, 10.1)
    assert rollout.get_due_outcome(10.2) is RolloutOutcome.RUNNING
    assert rollout.get_due_outcome(10.0 + SETTLE_S) is RolloutOutcome.REVERTED


async def test_era_that_begins_while_the_history_is_lost_is_noticed():
    # Guards against upstreams that are dropped at once, as the first list of a
    # new era passes for a complete one.
    async with run_store() as (store, client):
        copy = store.take_copy()
        store.append_keyed(TOPIC, "a", b"x")
        async with run_feed(client) as (feed, listener):
            await wait_until(lambda: listener.confirmations)
            listener.on_copy = listener.copies.append
            store.restore_copy(copy)
            feed._topic_log.restart(None)
            await wait_until(lambda: listener.copies)
            assert get_era(listener.copies[0].end) == store.era == 1


async def test_an_answer_without_an_era_is_no_old_one():
    # Guards against a client that takes a refusal of a part in front of the
    # store for a lost answer.
    async with run_store() as (store, client):
        await client.read_newest(TOPIC, 1.0)
        store.era = ""
        store.faults.outage = "503"
        with pytest.raises(StoreUnavailableError):
            await client.append("lovagestage", [("", b"x")], 1.0)


class FakeStore:
    """Appends batches to a list, or loses them."""

    def __init__(self):
        self.batches = []
        self.loses_answers = 0

    async def append(self, topic, records, timeout_s):
        self.batches += [data for _, data in records]
        if self.loses_answers:
            self.loses_answers -= 1
            raise StoreAnswerLostError("lost")


def read_topic(messenger, batches, era=1):
    records = tuple(
        Record(make_position(era, number), "", data)
        for number, data in enumerate(batches)
    )
    messenger.on_records(Page(records, make_position(era, len(records))))


async def test_lost_messages_are_written_again_once_by_their_sender():
    # Guards against evidence that only the lost part of the topic held, and
    # against senders that write again what the copy has kept.
    store = FakeStore()
    messenger = PeerMessenger(store, "vm", 1, HelloMessage("a"))
    await messenger._send_all()
    messenger.enqueue(HelloMessage("b"))
    await messenger._send_all()
    messenger.on_era_changed()
    read_topic(messenger, store.batches[:1], era=2)
    messenger.on_freshness_confirmed(0.0)
    await messenger._send_all()
    assert store.batches[2:] == store.batches[1:2]
    messenger.on_freshness_confirmed(1.0)
    await messenger._send_all()
    assert len(store.batches) == 3


async def test_messages_that_are_read_again_count_once():
    # Guards against a good version that is reverted because its failures are
    # read twice: after the store came back, or after a lost answer.
    store = FakeStore()
    sender = PeerMessenger(store, "sender", 1, HelloMessage("a"))
    store.loses_answers = 1
    with pytest.raises(StoreAnswerLostError):
        await sender._send_all()
    sender.enqueue(HelloMessage("b"))
    await sender._send_all()
    received = []
    receiver = PeerMessenger(store, "receiver", 1, HelloMessage("c"))
    receiver.subscribe(HelloMessage, received.append)
    read_topic(receiver, store.batches)
    receiver.on_era_changed()
    read_topic(receiver, store.batches, era=2)
    assert received == [HelloMessage("a"), HelloMessage("b")]


@given(
    st.integers(0, 50),
    st.integers(0, 2**39),
    st.integers(0, 50),
    st.integers(0, 2**39),
)
def test_positions_order_by_era_and_then_by_offset(
    era, offset, other_era, other
):
    # Guards against an offset of one era that is compared with one of another.
    first = make_position(era, offset)
    second = make_position(other_era, other)
    assert (get_era(first), get_offset(first)) == (era, offset)
    assert (first < second) == ((era, offset) < (other_era, other))
    assert get_era(advance(first, 7)) == era
    assert float(first) == first


def test_an_era_that_goes_down_is_an_old_answer():
    eras = StoreEras()
    changes = [eras.observe(era) for era in (4, 4, 5, 4, 5, 7)]
    assert changes == [
        EraChange.NONE,
        EraChange.NONE,
        EraChange.NEW,
        EraChange.OUTDATED,
        EraChange.NONE,
        EraChange.NEW,
    ]
    assert eras.current == 7


def test_an_order_that_was_written_again_is_the_same_one():
    # Guards against a decided roll-out that begins anew because the store holds
    # its order at another place, and against a new order of the same version
    # that passes for the old one.
    order = RolloutOrder("pool", "v2", 20.0)
    rollout = Rollout(order, make_position(1, 9), 100.0)
    moved, kept = make_position(2, 7), make_position(2, 9)
    assert not rollout.is_repeated_by(order, make_position(1, 12), 110.0)
    assert rollout.is_repeated_by(order, moved, 130.0)
    assert not rollout.is_repeated_by(order, moved, 100.0 + 20.0 + 2 * LOST_S)
    assert rollout.is_repeated_by(order, kept, 900.0)
    other = RolloutOrder("pool", "v3", 20.0)
    assert not rollout.is_repeated_by(other, kept, 110.0)
    rollout.move(moved, 1.0)
    assert rollout.is_at(make_position(1, 9))
    assert rollout.is_at(moved)
    assert rollout.is_at(7)
    assert not rollout.is_at(kept)


def test_a_removed_upstream_returns_with_a_newer_entry_only():
    # Guards against requests to an upstream that the copy lists although it is
    # gone, and against one that is never used again although it runs.
    def make_entry(sequence):
        return UpstreamEntry(
            "pool", "h:1", "a", "v", 4, False, None, 0.0, sequence
        )

    rotation = Rotation()
    rotation.apply("w1", make_entry(5), make_position(1, 3), 0.0, False)
    rotation.apply("w1", None, make_position(1, 4), 1.0, False)
    rotation.apply("w1", make_entry(5), make_position(2, 3), 2.0, False)
    assert not rotation.get_ready("pool")
    rotation.apply("w1", make_entry(6), make_position(2, 4), 3.0, False)
    assert rotation.get_ready("pool")
    # Where the store was away, a removal says only that it could not write.
    rotation.apply("w1", None, make_position(2, 5), 4.0, True)
    rotation.expire(9.0)
    rotation.apply("w1", make_entry(6), make_position(3, 2), 10.0, False)
    assert rotation.get_ready("pool")


def test_copies_take_back_no_newer_evacuation():
    # Guards against a zone that is evacuated or restored by an order's
    # predecessor, which the copy still holds.
    known = make_position(1, 9)
    assert is_overtaken(make_position(2, 4), known)
    assert not is_overtaken(make_position(2, 9), known)
    assert not is_overtaken(make_position(2, 11), known)
    assert not is_overtaken(make_position(1, 4), known)

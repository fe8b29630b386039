"""Tests what gateways do when the store comes back from an earlier copy."""

from __future__ import annotations

import asyncio

import pytest

from lovagestage.exceptions import StoreAnswerLostError, StoreUnavailableError
from tests.gateway_harness import KEY, run_gateway_harness
from tests.test_gateway_feeds import TOPIC, run_store
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

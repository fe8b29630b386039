"""Tests evacuated zones, also where a read returns an old state."""

from __future__ import annotations

import asyncio
import json

from hypothesis import given
from hypothesis import strategies as st

from lovagestage.decisions.evacuation import EvacuatedZones
from tests.gateway_harness import run_gateway_harness


def test_the_newest_record_of_a_zone_decides():
    # A read of an older state of the store returns the order to evacuate the
    # zone after the removal of that order.
    evacuations = EvacuatedZones()
    assert evacuations.apply_record("a", 4, True)
    assert evacuations.apply_record("a", 6, False)
    assert not evacuations.apply_record("a", 4, True)
    assert "a" not in evacuations


def test_an_order_sent_twice_changes_nothing():
    evacuations = EvacuatedZones()
    evacuations.apply_record("a", 4, True)
    assert not evacuations.apply_record("a", 5, True)
    assert "a" in evacuations


def test_a_zone_missing_in_a_full_list_is_restored():
    # The store dropped its history, including the record that removed the
    # order.
    evacuations = EvacuatedZones()
    evacuations.apply_record("a", 4, True)
    evacuations.apply_record("b", 5, True)
    assert evacuations.replace_all({"b": 5}, 9) == {"a": False}
    assert "a" not in evacuations
    assert "b" in evacuations


def test_an_outdated_full_list_changes_nothing():
    evacuations = EvacuatedZones()
    evacuations.apply_record("a", 4, True)
    evacuations.apply_record("b", 5, True)
    evacuations.apply_record("b", 8, False)
    assert evacuations.replace_all({"b": 5}, 3) == {}
    assert "a" in evacuations
    assert "b" not in evacuations


@given(
    written=st.lists(st.sampled_from(["a", "b"]), min_size=1, max_size=12),
    reads=st.lists(st.integers(0, 11), max_size=30),
)
def test_records_in_any_order_end_at_the_newest(written, reads):
    # Orders and removals alternate for each zone; reads arrive in any order.
    history = []
    for offset, zone in enumerate(written):
        earlier = sum(name == zone for name, _, _ in history)
        history.append((zone, offset, earlier % 2 == 0))
    evacuations = EvacuatedZones()
    newest = {}
    for read in reads:
        zone, offset, is_evacuated = history[read % len(history)]
        evacuations.apply_record(zone, offset, is_evacuated)
        newest[zone] = max(
            newest.get(zone, (-1, False)), (offset, is_evacuated)
        )
    for zone, (_, is_evacuated) in newest.items():
        assert (zone in evacuations) == is_evacuated


def put_evacuation(harness, zone, body=b"{}"):
    harness.store.append_keyed("keyed.op", f"evacuate/{zone}", body)


async def send_calls(harness, count=12):
    replies = [await harness.call("/safe/x") for _ in range(count)]
    return [reply.status for reply in replies]


async def wait_evacuated(harness, zone, is_evacuated):
    evacuations = harness.gateway.deployment.evacuations
    await harness.wait_until(lambda: (zone in evacuations) == is_evacuated)


def test_an_evacuated_zone_gets_nothing_until_it_is_restored():
    # Guards against requests that are still sent to upstreams of a zone which
    # operators have evacuated, because these upstreams still answer.
    async def run():
        async with run_gateway_harness(1) as harness:
            await harness.add_worker("w2", Zone="b")
            await harness.wait_until(
                lambda: len(harness.gateway.deployment.rotation) == 2
            )
            put_evacuation(harness, "b")
            await wait_evacuated(harness, "b", True)
            before = len(harness.workers["w2"].arrivals)
            assert set(await send_calls(harness)) == {200}
            assert len(harness.workers["w2"].arrivals) == before
            put_evacuation(harness, "b", b"")
            await wait_evacuated(harness, "b", False)
            await harness.workers["w1"].stop()
            del harness.workers["w1"]
            assert 200 in await send_calls(harness)
            assert len(harness.workers["w2"].arrivals) > before

    asyncio.run(run())


def test_a_request_is_refused_at_once_where_all_zones_are_emptied():
    # Guards against requests that wait for upstreams to which nothing may be
    # sent.
    async def run():
        async with run_gateway_harness(1) as harness:
            put_evacuation(harness, "a")
            await wait_evacuated(harness, "a", True)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            reply = await harness.call("/safe/x")
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0.0
            assert json.loads(reply.body)["error"] == "no_upstream"
            assert loop.time() - started_s < 0.5
            assert harness.workers["w1"].arrivals == []

    asyncio.run(run())


def test_an_order_outlives_the_history_of_the_store():
    # Guards against an order that is forgotten when the store drops its
    # history, and against an order that remains in force after the record of
    # its removal was dropped.
    async def run():
        async with run_gateway_harness(2) as harness:
            put_evacuation(harness, "b")
            await wait_evacuated(harness, "b", True)
            harness.store.faults.outage = "503"
            harness.put_configuration(version=2)
            harness.store.get_topic("keyed.op").delete_records()
            harness.store.faults.outage = ""
            deployment = harness.gateway.deployment
            await harness.wait_until(
                lambda: deployment.configuration.version > 1
            )
            assert "b" in deployment.evacuations
            harness.store.faults.outage = "503"
            put_evacuation(harness, "b", b"")
            harness.store.get_topic("keyed.op").delete_records()
            harness.store.faults.outage = ""
            await wait_evacuated(harness, "b", False)

    asyncio.run(run())

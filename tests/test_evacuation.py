"""Zones that operators want emptied, whatever the store shows of the order."""

from __future__ import annotations

import asyncio
import json

from hypothesis import given
from hypothesis import strategies as st

from lovagestage.decisions.evacuation import Evacuations
from tests.gateway_stage import run_stage


def test_the_newest_record_of_a_zone_decides():
    # A read that shows the past brings the order after it was taken back.
    evacuations = Evacuations()
    assert evacuations.apply("a", 4, True)
    assert evacuations.apply("a", 6, False)
    assert not evacuations.apply("a", 4, True)
    assert "a" not in evacuations


def test_an_order_sent_twice_changes_nothing():
    evacuations = Evacuations()
    evacuations.apply("a", 4, True)
    assert not evacuations.apply("a", 5, True)
    assert "a" in evacuations


def test_a_zone_missing_in_a_full_list_is_given_back():
    # The store dropped its history, and with it the record of the removal.
    evacuations = Evacuations()
    evacuations.apply("a", 4, True)
    evacuations.apply("b", 5, True)
    assert evacuations.replace_all({"b": 5}, 9) == {"a": False}
    assert "a" not in evacuations
    assert "b" in evacuations


def test_a_full_list_of_the_past_changes_nothing():
    evacuations = Evacuations()
    evacuations.apply("a", 4, True)
    evacuations.apply("b", 5, True)
    evacuations.apply("b", 8, False)
    assert evacuations.replace_all({"b": 5}, 3) == {}
    assert "a" in evacuations
    assert "b" not in evacuations


@given(
    written=st.lists(st.sampled_from(["a", "b"]), min_size=1, max_size=12),
    reads=st.lists(st.integers(0, 11), max_size=30),
)
def test_records_in_any_order_end_at_the_newest(written, reads):
    # Orders and removals take turns for each zone; reads come in any order.
    history = []
    for offset, zone in enumerate(written):
        earlier = sum(name == zone for name, _, _ in history)
        history.append((zone, offset, earlier % 2 == 0))
    evacuations = Evacuations()
    seen = {}
    for read in reads:
        zone, offset, is_standing = history[read % len(history)]
        evacuations.apply(zone, offset, is_standing)
        seen[zone] = max(seen.get(zone, (-1, False)), (offset, is_standing))
    for zone, (_, is_standing) in seen.items():
        assert (zone in evacuations) == is_standing


def order(stage, zone, body=b"{}"):
    stage.store.put("keyed.op", f"evacuate/{zone}", body)


async def call_some(stage, count=12):
    replies = [await stage.call("/safe/x") for _ in range(count)]
    return [reply.status for reply in replies]


async def wait_evacuated(stage, zone, is_standing):
    evacuations = stage.gateway.deployment.evacuations
    await stage.wait_until(lambda: (zone in evacuations) == is_standing)


def test_an_emptied_zone_gets_nothing_until_it_is_given_back():
    # Guards against requests that go on to upstreams of a zone that operators
    # have asked to be empty, because these still answer.
    async def run():
        async with run_stage(1) as stage:
            await stage.add_worker("w2", Zone="b")
            await stage.wait_until(
                lambda: len(stage.gateway.deployment.rotation) == 2
            )
            order(stage, "b")
            await wait_evacuated(stage, "b", True)
            before = len(stage.workers["w2"].arrivals)
            assert set(await call_some(stage)) == {200}
            assert len(stage.workers["w2"].arrivals) == before
            order(stage, "b", b"")
            await wait_evacuated(stage, "b", False)
            await stage.workers["w1"].stop()
            del stage.workers["w1"]
            assert 200 in await call_some(stage)
            assert len(stage.workers["w2"].arrivals) > before

    asyncio.run(run())


def test_a_request_is_refused_at_once_where_all_zones_are_emptied():
    # Guards against requests that wait for upstreams which may get nothing.
    async def run():
        async with run_stage(1) as stage:
            order(stage, "a")
            await wait_evacuated(stage, "a", True)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            reply = await stage.call("/safe/x")
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0.0
            assert json.loads(reply.body)["error"] == "no_upstream"
            assert loop.time() - began_s < 0.5
            assert stage.workers["w1"].arrivals == []

    asyncio.run(run())


def test_an_order_outlives_the_history_of_the_store():
    # Guards against an order that is forgotten with the store's history, and
    # against one that stays after its removal was forgotten.
    async def run():
        async with run_stage(2) as stage:
            order(stage, "b")
            await wait_evacuated(stage, "b", True)
            stage.store.faults.outage = "503"
            stage.put_configuration(version=2)
            stage.store.get_topic("keyed.op").forget()
            stage.store.faults.outage = ""
            deployment = stage.gateway.deployment
            await stage.wait_until(lambda: deployment.configuration.version > 1)
            assert "b" in deployment.evacuations
            stage.store.faults.outage = "503"
            order(stage, "b", b"")
            stage.store.get_topic("keyed.op").forget()
            stage.store.faults.outage = ""
            await wait_evacuated(stage, "b", False)

    asyncio.run(run())

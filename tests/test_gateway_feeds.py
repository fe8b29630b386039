"""Tests how feeds and the store's client read the store during failures."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from lab.metadata_store import MetadataStore
from lab.server import start_app
from lovagestage.decisions.positions import make_position
from lovagestage.exceptions import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from lovagestage.gateway.feeds import TopicFeed
from lovagestage.gateway.store_recovery import StoreRecoverySignal
from lovagestage.gateway.topic_options import TopicReadOptions
from lovagestage.platform.store import StoreClient

TOPIC = "keyed.op"


def at(offset):
    """Returns a position in the era in which the stand-in store begins."""
    return make_position(0, offset)


class Recorder:
    def __init__(self):
        self.records = []
        self.confirmations = []
        self.copies = []

    def on_newest(self, page):
        self.on_records(page)

    def on_records(self, page):
        self.records += [(r.key, r.value) for r in page.records]

    def on_copy(self, page):
        self.on_records(page)

    def on_era_changed(self):
        """Does nothing: the tests do not record these calls."""

    def on_freshness_confirmed(self, at_s):
        self.confirmations.append(at_s)

    def on_update_available(self, at_s):
        """Does nothing: the tests do not record these calls."""


@contextlib.asynccontextmanager
async def run_store():
    store = MetadataStore()
    runner, port = await start_app(store.make_app(), "127.0.0.1", 0)
    client = StoreClient(f"127.0.0.1:{port}")
    try:
        yield store, client
    finally:
        client.close()
        await runner.cleanup()


@contextlib.asynccontextmanager
async def run_feed(
    client,
    wait_s=0.2,
    pause_s=0.0,
    topic=TOPIC,
    store_recovery=None,
    relay=None,
):
    listener = Recorder()
    feed = TopicFeed(
        client,
        TopicReadOptions(topic, wait_s, pause_s, topic.startswith("keyed.")),
        listener,
        random.Random(1),
        store_recovery or StoreRecoverySignal(),
        relay,
    )
    await feed.start()
    try:
        yield feed, listener
    finally:
        await feed.stop()


async def wait_until(condition, timeout_s=3.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


async def test_a_starting_gateway_retries_soon():
    # All VMs restart after a loss of power while the store refuses calls. A
    # gateway refuses every caller until it has read the store, so it must
    # detect the store's recovery soon.
    async with run_store() as (store, client):
        store.append_keyed(TOPIC, "config", b"x")
        store.faults.outage = "503"
        async with run_feed(client) as (_, listener):
            await asyncio.sleep(2.0)
            loop = asyncio.get_running_loop()
            store.faults.outage = ""
            recovered_s = loop.time()
            await wait_until(lambda: listener.records)
            assert loop.time() - recovered_s < 0.4


async def test_an_empty_read_confirms_freshness_for_its_whole_wait():
    # The store held the read for its full wait and returned no record: no
    # change was made before the end of the wait. A read without an answer
    # confirms nothing.
    async with run_store() as (store, client):
        async with run_feed(client, wait_s=0.3) as (_, listener):
            await wait_until(lambda: len(listener.confirmations) >= 3)
            intervals_s = [
                later_s - earlier_s
                for earlier_s, later_s in zip(
                    listener.confirmations,
                    listener.confirmations[1:],
                    strict=False,
                )
            ]
            assert min(intervals_s) > 0.2
            count = len(listener.confirmations)
            store.faults.outage = "silent"
            await asyncio.sleep(1.0)
            assert len(listener.confirmations) <= count + 1


async def test_an_outdated_read_confirms_nothing():
    # The store answers from an outdated copy of the topic. Such an answer must
    # not count as a freshness confirmation.
    async with run_store() as (store, client):
        for number in range(3):
            store.append_keyed(TOPIC, "config", b"%d" % number)
        async with run_feed(client) as (_, listener):
            await wait_until(lambda: len(listener.confirmations) >= 2)
            store.faults.stale_by = 2
            await asyncio.sleep(0.4)
            count = len(listener.confirmations)
            await asyncio.sleep(0.8)
            assert len(listener.confirmations) == count


async def test_records_in_bursts_share_a_read():
    # Guards against one call to the store for each record of a burst.
    async with run_store() as (store, client):
        async with run_feed(client, wait_s=2.0, pause_s=0.3) as (_, listener):
            await wait_until(lambda: listener.confirmations)
            before = len(store.calls)
            for number in range(20):
                store.append_keyed(TOPIC, f"k{number}", b"x")
                await asyncio.sleep(0.02)
            await wait_until(lambda: len(listener.records) == 20)
            assert len(store.calls) - before <= 4


async def test_client_reports_the_outcome_of_an_append():
    # With status 503 nothing was appended. With a lost answer the records may
    # have been appended. If the topic ends elsewhere, the condition failed, and
    # the error states the end for a retry.
    async with run_store() as (store, client):
        record = [("a", b"1")]
        assert await client.append("keyed.status", record, 1.0) == at(0)
        store.faults.outage = "503"
        with pytest.raises(StoreUnavailableError):
            await client.append("keyed.status", record, 1.0)
        store.faults.outage = ""
        store.faults.lose_appends = 1
        with pytest.raises(StoreAnswerLostError):
            await client.append("keyed.status", record, 1.0)
        with pytest.raises(StoreConflictError) as raised:
            await client.append("keyed.status", record, 1.0, expected_end=at(1))
        assert raised.value.end == at(2)


async def test_client_reads_all_pages_and_removals():
    async with run_store() as (store, client):
        for number in range(120):
            store.append_keyed("keyed.status", f"k{number:03}", b"%d" % number)
        store.append_keyed("keyed.status", "k000", b"")
        page = await client.read_newest("keyed.status", 1.0)
        assert (len(page.records), page.end) == (119, at(121))
        tail = await client.read("keyed.status", at(119), 0.0, 1.0)
        assert [(r.key, r.value) for r in tail.records] == [
            ("k119", b"119"),
            ("k000", None),
        ]


async def test_client_reports_where_a_shortened_topic_starts():
    async with run_store() as (store, client):
        for _ in range(4):
            store.append_keyed("keyed.status", "k", b"x")
        store.get_topic("keyed.status").delete_records()
        with pytest.raises(StoreHistoryLostError) as raised:
            await client.read("keyed.status", at(1), 0.0, 1.0)
        assert raised.value.first == at(4)


async def test_client_aborts_an_inactive_connection_and_opens_another():
    async with run_store() as (store, client):
        store.faults.outage = "silent"
        with pytest.raises(StoreUnavailableError):
            await client.read("keyed.status", 0, 0.0, 0.2)
        store.faults.outage = ""
        page = await client.read("keyed.status", 0, 0.0, 0.5)
        assert page.end == at(0)


async def test_first_read_after_a_failure_does_not_wait():
    # The store is unavailable for a moment. Callers' keys are accepted only
    # while the last freshness confirmation is recent. With a read that the
    # store holds, the next confirmation would come a full wait later and
    # callers would be refused until then.
    async with run_store() as (store, client):
        async with run_feed(client, wait_s=2.0) as (feed, listener):
            await wait_until(lambda: listener.confirmations)
            store.faults.outage = "503"
            await wait_until(
                lambda: feed.get_last_failure_age_s(0.0) is not None
            )
            store.faults.outage = ""
            before = len(listener.confirmations)
            await wait_until(lambda: len(listener.confirmations) > before, 1.5)


@contextlib.asynccontextmanager
async def run_lost_feed(outage):
    """Runs a feed that has lost the store, with its recovery signal."""
    async with run_store() as (store, client):
        recovery = StoreRecoverySignal()
        async with run_feed(client, store_recovery=recovery) as (
            feed,
            listener,
        ):
            await wait_until(lambda: listener.confirmations)
            store.faults.outage = outage
            await wait_until(
                lambda: feed.get_last_failure_age_s(0.0) is not None
            )
            yield store, recovery, listener


async def test_feed_that_hangs_retries_when_another_detects_the_recovery():
    # The store has recovered from an outage and one feed has detected it. The
    # other feed's current call was sent before the recovery and hangs. If that
    # feed waited for the timeout and the backoff, keys would be refused for a
    # second longer.
    async with run_lost_feed("silent") as (store, recovery, listener):
        calls = len(store.calls)
        await wait_until(lambda: len(store.calls) > calls)
        store.faults.outage = ""
        before = len(listener.confirmations)
        recovery.notify_feeds()
        await wait_until(lambda: len(listener.confirmations) > before, 0.5)


async def test_slow_answer_is_not_aborted():
    # The store answers slowly, but it answers: another feed has reached it, and
    # the answer to this feed's call is in transit. The feed must use this
    # answer and not send the call again.
    async with run_lost_feed("503") as (store, recovery, listener):
        store.faults.outage = ""
        store.faults.slow_ms = 50
        before = len(listener.confirmations)
        recovery.notify_feeds()
        await wait_until(lambda: len(listener.confirmations) > before, 0.5)

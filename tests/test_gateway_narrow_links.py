"""Tests records of the store that arrive slowly over a slow link."""

from __future__ import annotations

import asyncio

import pytest

from lovagestage.exceptions import StoreUnavailableError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.feeds import INACTIVITY_TIMEOUT_S
from lovagestage.gateway.freshness import NOTIFICATION_LIFETIME_S
from lovagestage.gateway.relay import RelayedState, RelayMode
from lovagestage.gateway.store_recovery import StoreRecoverySignal
from tests.gateway_harness import run_gateway_harness
from tests.test_gateway_feeds import TOPIC, at, run_feed, run_store, wait_until
from tests.test_gateway_relay import one_watcher, run_gateways

__all__ = ["one_watcher"]

LINK_BYTES_PER_S = 100_000
TRANSFER_S = 2 * INACTIVITY_TIMEOUT_S
LARGE = b"x" * int(LINK_BYTES_PER_S * TRANSFER_S)
"""A value whose transfer takes twice the inactivity timeout of a read."""
SLACK_S = 0.7


async def test_record_that_takes_longer_than_the_inactivity_timeout_is_read():
    # Guards against reads that are aborted and started again indefinitely, so
    # that the newest configuration never comes into force.
    async with run_store() as (store, client):
        async with run_feed(client) as (_, listener):
            await wait_until(lambda: listener.confirmations)
            store.faults.bytes_per_s = LINK_BYTES_PER_S
            store.append_keyed(TOPIC, "config", LARGE)
            loop = asyncio.get_running_loop()
            put_s = loop.time()
            await wait_until(lambda: listener.records, 4 * TRANSFER_S)
            assert loop.time() - put_s < TRANSFER_S + SLACK_S


async def test_gateway_starts_with_a_record_that_arrives_slowly():
    # Guards against a gateway that never becomes ready after a start, because
    # its first read is aborted each time.
    async with run_store() as (store, client):
        store.append_keyed(TOPIC, "config", LARGE)
        store.faults.bytes_per_s = LINK_BYTES_PER_S
        async with run_feed(client) as (feed, listener):
            # The first answer encodes the record as text, which is longer by a
            # third.
            await wait_until(lambda: listener.records, 4 * TRANSFER_S)
            assert feed.is_synced


async def test_arriving_answer_is_not_aborted_when_the_store_recovers():
    # Guards against a transfer that is aborted whenever another topic's feed
    # detects the store's recovery.
    async with run_store() as (store, client):
        recovery = StoreRecoverySignal()
        async with run_feed(client, store_recovery=recovery) as (
            feed,
            listener,
        ):
            await wait_until(lambda: listener.confirmations)
            store.faults.outage = "503"
            await wait_until(
                lambda: feed.get_last_failure_age_s(0.0) is not None
            )
            store.faults.bytes_per_s = LINK_BYTES_PER_S
            store.append_keyed(TOPIC, "config", LARGE)
            store.faults.outage = ""
            await wait_until(lambda: client.is_receiving)
            await asyncio.sleep(TRANSFER_S / 2)
            recovery.notify_feeds()
            # If started again, the transfer would take its full time again.
            await wait_until(lambda: listener.records, 0.8 * TRANSFER_S)


async def test_answer_that_stops_midway_is_aborted_soon():
    # Guards against waiting indefinitely on a connection that stopped sending.
    async with run_store() as (store, client):
        store.append_keyed(TOPIC, "config", LARGE)
        store.faults.bytes_per_s = LINK_BYTES_PER_S
        read = asyncio.ensure_future(client.read(TOPIC, 0, 0.0, 0.3))
        await asyncio.sleep(0.5)
        assert not read.done()
        store.faults.stall = True
        loop = asyncio.get_running_loop()
        stalled_s = loop.time()
        with pytest.raises(StoreUnavailableError) as failure:
            await read
        assert loop.time() - stalled_s < 0.5
        assert 0 < failure.value.transfer.received_bytes < len(LARGE)


async def test_records_that_have_arrived_count_though_the_rest_is_lost():
    # Guards against the loss of a complete record because the transfer of the
    # next one is interrupted.
    async with run_store() as (store, client):
        async with run_feed(client) as (_, listener):
            await wait_until(lambda: listener.confirmations)
            store.faults.break_after_bytes = 150
            store.append_keyed(TOPIC, "config", b"first" * 20)
            await wait_until(lambda: listener.records)
            store.faults.break_after_bytes = 250
            store.faults.outage = "503"
            store.append_keyed(TOPIC, "config", b"other" * 20)
            store.append_keyed(TOPIC, "config", b"third" * 50)
            store.faults.outage = ""
            await wait_until(lambda: len(listener.records) >= 2)
            assert listener.records[1] == ("config", b"other" * 20)


async def test_followers_read_a_large_record_while_their_watcher_does():
    # Guards against a change that comes into force at the followers one
    # transfer time later than at their watcher.
    async with run_gateways() as (store, watcher, follower):
        store.faults.bytes_per_s = LINK_BYTES_PER_S
        confirmation_count, calls = (
            len(watcher.listener.confirmations),
            follower.calls,
        )
        await wait_until(
            lambda: len(watcher.listener.confirmations) > confirmation_count
        )
        store.append_keyed(TOPIC, "config", LARGE)
        await wait_until(lambda: follower.calls > calls, 0.4)
        await wait_until(lambda: follower.listener.records, 4 * TRANSFER_S)


class FakeRelay:
    """Reports a watcher's state that is ahead of the store's answers."""

    watch_wait_s = 0.2

    def __init__(self, end):
        self.end = end

    def get_mode(self):
        return RelayMode.FOLLOWER

    async def wait_for_state(self, topic):
        await asyncio.sleep(0.05)
        return RelayedState(self.end, get_elapsed_s(), None, True)

    def notify_followers(self):
        """Does nothing: there are no followers."""


async def test_read_that_lacks_records_known_to_a_watcher_confirms_nothing():
    # Guards against accepting an old configuration as current while the store
    # answers from an outdated copy.
    async with run_store() as (store, client):
        store.append_keyed(TOPIC, "config", b"old")
        relay = FakeRelay(at(1))
        async with run_feed(client, relay=relay) as (_, listener):
            await wait_until(lambda: listener.confirmations)
            store.faults.stale_by = 1
            store.append_keyed(TOPIC, "config", b"new")
            relay.end = at(2)
            await asyncio.sleep(0.2)
            confirmation_count = len(listener.confirmations)
            await asyncio.sleep(0.3)
            assert len(listener.confirmations) == confirmation_count
            store.faults.stale_by = 0
            await wait_until(
                lambda: len(listener.confirmations) > confirmation_count
            )
            assert listener.records[-1] == ("config", b"new")


async def test_configuration_that_is_overdue_is_not_served_by_the_old_one():
    # Guards against the use of a route that was removed by a configuration
    # whose existence is known but whose content has not arrived.
    async with run_gateway_harness() as harness:
        gateway = harness.gateway
        assert (await harness.call("/open/x")).status == 200
        harness.store.faults.stall = True
        harness.put_configuration(version=5)
        await harness.wait_until(
            lambda: gateway.deployment.freshness.is_superseded(get_elapsed_s()),
            6.0,
        )
        refused = await harness.call("/open/x")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert not await harness.is_ready()
        # The store becomes unavailable: a newer configuration no longer counts
        # as readable.
        harness.store.faults.outage = "503"
        await asyncio.sleep(NOTIFICATION_LIFETIME_S + 0.2)
        assert (await harness.call("/open/x")).status == 200
        harness.store.faults.outage = ""
        harness.store.faults.stall = False
        await harness.wait_until(gateway.is_ready, 6.0)
        assert gateway.deployment.configuration.version == 5
        assert (await harness.call("/open/x")).status == 200

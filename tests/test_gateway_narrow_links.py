"""Records of the store that a narrow link carries only slowly."""

from __future__ import annotations

import asyncio

from lovagestage.gateway.feeds import READ_TIMEOUT_S
from tests.test_gateway_feeds import TOPIC, run_feed, run_store, wait_until

LINK_BYTES_PER_S = 100_000
TRANSFER_S = 2 * READ_TIMEOUT_S
LARGE = b"x" * int(LINK_BYTES_PER_S * TRANSFER_S)
"""Takes twice as long as a silent store is waited for."""
SLACK_S = 0.7


async def test_record_that_takes_longer_than_a_silence_may_is_read():
    # Guards against reads that are cut and begun anew for ever, so that the
    # newest configuration never comes into force.
    async with run_store() as (store, client):
        async with run_feed(client) as (_, listener):
            await wait_until(lambda: listener.proofs)
            store.faults.bytes_per_s = LINK_BYTES_PER_S
            store.put(TOPIC, "config", LARGE)
            loop = asyncio.get_running_loop()
            put_s = loop.time()
            await wait_until(lambda: listener.records, 4 * TRANSFER_S)
            assert loop.time() - put_s < TRANSFER_S + SLACK_S


async def test_gateway_begins_with_a_record_that_takes_long():
    # Guards against a gateway that starts anew and is never ready.
    async with run_store() as (store, client):
        store.put(TOPIC, "config", LARGE)
        store.faults.bytes_per_s = LINK_BYTES_PER_S
        async with run_feed(client) as (feed, listener):
            # In the answer the record is written in text, by a third longer.
            await wait_until(lambda: listener.records, 4 * TRANSFER_S)
            assert feed.is_synced

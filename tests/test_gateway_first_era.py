"""A gateway that starts while the store is back from a copy trusts no key.

The store lists an earlier configuration until the operator has written the
newer one again. A process that has just started knows nothing newer.
"""

from __future__ import annotations

import asyncio

import pytest

from lovagestage.gateway.clocks import get_elapsed_s
from tests.gateway_harness import KEY, run_gateway_harness
from tests.test_gateway_store_eras import OTHER_KEY, come_back, wait_for_version

REVOKE_5_S = "Bounds.RevokeMs=5000"
REWRITE_S = 1.5
"""Time in seconds from the store's return until the operator writes again."""


async def call_repeatedly(harness, gateway, key, seconds):
    """Returns the statuses of calls, one soon after the other."""
    end_s = get_elapsed_s() + seconds
    statuses = []
    while get_elapsed_s() < end_s:
        request_id = f"{key}{len(statuses)}"
        reply = await harness.call(
            "/safe/x", gateway, key=key, request_id=request_id
        )
        statuses.append(reply.status)
        await asyncio.sleep(0.02)
    return statuses


async def wait_until_ready(gateway, timeout_s=4.0):
    """Returns the seconds until a gateway is ready."""
    begun_s = get_elapsed_s()
    async with asyncio.timeout(timeout_s):
        while not gateway.is_ready():
            await asyncio.sleep(0.01)
    return get_elapsed_s() - begun_s


@pytest.mark.parametrize("gateways", [1, 2, 9])
async def test_gateway_started_in_a_drill_runs_no_revoked_key(gateways):
    # It took the copy for the store's present state, and served the key that
    # the lost configuration had taken away.
    async with run_gateway_harness(
        2, gateways=gateways, extra_settings=REVOKE_5_S, keys=(KEY, OTHER_KEY)
    ) as harness:
        copy = harness.store.take_copy()
        harness.put_configuration(version=2, keys=(OTHER_KEY,))
        await wait_for_version(harness, 2)
        await come_back(harness, copy)
        harness.start_another()
        calls = asyncio.ensure_future(
            call_repeatedly(harness, gateways, KEY, REWRITE_S + 1.5)
        )
        await asyncio.sleep(REWRITE_S)
        harness.put_configuration(version=2, keys=(OTHER_KEY,))
        statuses = await calls
        assert set(statuses) <= {401, 503}, statuses
        await harness.wait_until(harness.gateways[-1].is_ready)
        reply = await harness.call("/safe/x", gateways, key=OTHER_KEY)
        assert reply.status == 200


async def test_lone_gateway_serves_once_the_copy_is_as_good_as_it_gets():
    # Nobody can tell it more: it waits for as long as the configuration may
    # take to be written again, and no longer.
    async with run_gateway_harness(1, extra_settings=REVOKE_5_S) as harness:
        copy = harness.store.take_copy()
        harness.tasks[0].cancel()
        await come_back(harness, copy)
        harness.start_another()
        time_s = await wait_until_ready(harness.gateways[-1])
        assert 1.9 < time_s < 2.6
        assert (await harness.call("/safe/x", 1)).status == 200


async def test_gateway_told_that_the_era_is_old_does_not_wait():
    # The store came back long ago. A restart costs its callers no wait.
    async with run_gateway_harness(
        1, gateways=3, extra_settings=REVOKE_5_S
    ) as harness:
        copy = harness.store.take_copy()
        await come_back(harness, copy)
        await asyncio.sleep(3.0)
        harness.start_another()
        assert await wait_until_ready(harness.gateways[-1]) < 1.6


async def test_gateways_told_of_a_newer_configuration_wait_for_it():
    # The others know a configuration that the copy lacks: their word that the
    # era is old must not make the copy a present one.
    async with run_gateway_harness(
        1, gateways=2, extra_settings=REVOKE_5_S, keys=(KEY, OTHER_KEY)
    ) as harness:
        copy = harness.store.take_copy()
        harness.put_configuration(version=2, keys=(OTHER_KEY,))
        await wait_for_version(harness, 2)
        await come_back(harness, copy)
        await asyncio.sleep(2.5)
        harness.start_another()
        statuses = await call_repeatedly(harness, 2, KEY, 1.5)
        assert set(statuses) == {503}


async def test_first_start_with_a_sound_store_waits_for_nothing():
    async with run_gateway_harness(1, extra_settings=REVOKE_5_S) as harness:
        harness.start_another()
        assert await wait_until_ready(harness.gateways[-1]) < 0.3

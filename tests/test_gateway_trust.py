"""Tests how long API keys are accepted while the store is unavailable."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovagestage.gateway.feed_wiring import get_operator_poll_s
from lovagestage.gateway.freshness import (
    FRESHNESS_MARGIN_S,
    NOTIFICATION_LIFETIME_S,
    ConfigurationFreshness,
)
from lovagestage.gateway.settings import Bounds
from tests.gateway_harness import KEY, make_configuration, run_gateway_harness

SECOND_KEY = "anfqasnmgkcuyj8pjbvk"


async def test_a_key_that_was_taken_away_is_refused():
    async with run_gateway_harness(keys=(KEY, SECOND_KEY)) as harness:
        assert (await harness.call("/safe/x")).status == 200
        harness.put_configuration(version=5, keys=(SECOND_KEY,))
        gateway = harness.gateway
        await harness.wait_until(
            lambda: gateway.deployment.configuration.version == 5
        )
        assert (await harness.call("/safe/x")).status == 401
        assert (await harness.call("/safe/x", key=SECOND_KEY)).status == 200


async def test_keys_are_refused_while_the_store_does_not_answer():
    # The store's connections stop delivering data: nothing is reset, and polls
    # get no answer. An API key may have been revoked meanwhile, so requests
    # with a key are asked to retry later, while public ones are still served.
    # When the store answers again, the gateway accepts keys again.
    async with run_gateway_harness() as harness:
        harness.store.faults.outage = "silent"
        gateway = harness.gateway
        await harness.wait_until(lambda: not gateway.is_ready(), 6.0)
        refused = await harness.call("/safe/x")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert (await harness.call("/open/x")).status == 200
        assert not await harness.is_ready()
        harness.store.faults.outage = ""
        await harness.wait_until(gateway.is_ready, 6.0)
        assert (await harness.call("/safe/x")).status == 200


async def test_an_unknown_route_is_not_denied_by_an_old_configuration():
    # The configuration may be out of date, and the newest one may have the
    # route: the caller is asked to retry later, and gets no answer that denies
    # the route.
    async with run_gateway_harness() as harness:
        assert (await harness.call("/nowhere/x")).status == 404
        harness.store.faults.outage = "503"
        await harness.wait_until(lambda: not harness.gateway.is_ready(), 6.0)
        assert (await harness.call("/nowhere/x")).status == 503


async def test_an_older_configuration_never_comes_back():
    # Reads are stale after the store has lost its history.
    async with run_gateway_harness() as harness:
        gateway = harness.gateway
        for version in (7, 3):
            harness.put_configuration(version=version)
            await asyncio.sleep(0.1)
        assert gateway.deployment.configuration.version == 7


async def test_follows_on_when_the_store_drops_its_history():
    # The records that a read asks for were dropped (410). The newest record of
    # each key is read again, and a change made between the two reads is found.
    async with run_gateway_harness() as harness:
        for topic in harness.store.topics.values():
            topic.delete_records()
        harness.put_configuration(version=9)
        harness.store.topics["keyed.op"].delete_records()
        gateway = harness.gateway
        await harness.wait_until(
            lambda: gateway.deployment.configuration.version == 9, 6.0
        )


async def test_a_leaver_is_found_in_time_though_no_read_is_woken():
    # The store does not wake reads that wait for records. An upstream's entry
    # is removed just after a read began; that read must end early enough for
    # the next one to stop requests within the drain time of 2 s.
    async with run_gateway_harness() as harness:
        harness.store.faults.deaf = True
        await asyncio.sleep(0.1)
        harness.store.append_keyed("keyed.servers", "w1", b"")
        rotation = harness.gateway.deployment.rotation
        await harness.wait_until(
            lambda: len(rotation.get_ready("pool")) == 1, 1.8
        )


async def test_a_configuration_that_cannot_be_read_changes_nothing():
    async with run_gateway_harness() as harness:
        harness.store.append_keyed("keyed.op", "config", b"{")
        harness.store.append_keyed("keyed.op", "config", b'{"Version": "x"}')
        harness.put_configuration(version=4)
        gateway = harness.gateway
        await harness.wait_until(
            lambda: gateway.deployment.configuration.version == 4
        )


def test_make_configuration_has_the_key_that_tests_use():
    assert make_configuration()["Tenants"][0]["ApiKeys"] == [KEY]


class FreshnessMachine(RuleBasedStateMachine):
    """Revokes a key at any time; reads are answered late, never, or stale.

    The model stores the moments at which the store certainly had nothing
    newer. A key that was revoked `LIMIT_S` ago must not be accepted, whatever
    answers arrived in which order.
    """

    LIMIT_S = 5.0

    def __init__(self):
        super().__init__()
        self.freshness = ConfigurationFreshness(self.LIMIT_S, 2.0)
        self.now_s = 50.0
        self.sent = []
        self.revoked_s = None

    @rule(seconds=st.floats(0.01, 3.0))
    def wait(self, seconds):
        self.now_s += seconds

    @rule()
    def send(self):
        self.sent.append(self.now_s)

    @rule(index=st.integers(0, 5))
    def answer(self, index):
        if index < len(self.sent):
            sent_s = self.sent.pop(index)
            # An answer to a read that was sent after the key was revoked shows
            # the revocation, and the key is refused from then on.
            if self.revoked_s is None or sent_s < self.revoked_s:
                self.freshness.record_confirmation(sent_s)

    @rule()
    def lose_answers(self):
        self.sent.clear()

    @rule()
    def revoke(self):
        if self.revoked_s is None:
            self.revoked_s = self.now_s

    @invariant()
    def relies_on_no_key_for_too_long(self):
        if self.revoked_s is None:
            return
        if self.now_s - self.revoked_s >= self.LIMIT_S - FRESHNESS_MARGIN_S:
            assert not self.freshness.is_fresh(self.now_s)


FreshnessMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestConfigurationFreshness = FreshnessMachine.TestCase


@pytest.mark.parametrize("revoke_s", [1.5, 5.0, 30.0])
def test_freshness_outlasts_the_loss_of_the_store_by_a_fifth(revoke_s):
    # A read returned a record just before its wait was over, so it is a
    # freshness check only for the time at which it was sent; the next read
    # waits as long, and the store is lost at its end. Callers with keys must
    # still be served for a while.
    bounds = Bounds(
        revoke_s, 3.0, 3.0, 9.0, 8.0, 0.9, 0.15, 30.0, 5.0, 10.0, 54.0
    )
    oldest_check_s = 2 * get_operator_poll_s(bounds)
    assert revoke_s - FRESHNESS_MARGIN_S - oldest_check_s >= 0.2 * revoke_s


def test_configuration_is_superseded_once_a_newer_one_must_be_in_force():
    freshness = ConfigurationFreshness(5.0, 3.0)
    freshness.record_confirmation(10.0)
    freshness.record_update_notification(10.5)
    assert not freshness.is_superseded(12.0)
    freshness.record_update_notification(12.5)
    assert freshness.is_superseded(13.0)
    # A newer configuration that was notified long ago may be out of reach.
    assert not freshness.is_superseded(12.5 + NOTIFICATION_LIFETIME_S)
    freshness.record_confirmation(12.7)
    assert not freshness.is_superseded(13.0)


def test_configuration_is_not_superseded_without_a_notification():
    freshness = ConfigurationFreshness(5.0, 3.0)
    freshness.record_confirmation(10.0)
    assert not freshness.is_superseded(60.0)

"""How long keys are relied on while the store is out of reach."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovagestage.gateway.settings import Bounds
from lovagestage.gateway.trust import MARGIN_S, NEWS_S, Trust
from lovagestage.gateway.wiring import get_operator_wait_s
from tests.gateway_stage import KEY, make_configuration, run_stage

OTHER_KEY = "anfqasnmgkcuyj8pjbvk"


async def test_a_key_that_was_taken_away_is_refused():
    async with run_stage(keys=(KEY, OTHER_KEY)) as stage:
        assert (await stage.call("/safe/x")).status == 200
        stage.put_configuration(version=5, keys=(OTHER_KEY,))
        gateway = stage.gateway
        await stage.wait_until(
            lambda: gateway.deployment.configuration.version == 5
        )
        assert (await stage.call("/safe/x")).status == 401
        assert (await stage.call("/safe/x", key=OTHER_KEY)).status == 200


async def test_keys_are_refused_for_now_when_the_store_falls_silent():
    # The store's connections go silent: nothing is reset, polls just get no
    # answer. A key may have been taken away meanwhile, so requests with one
    # are told to come back, and public ones are served on. When the store
    # answers again, so does the gateway.
    async with run_stage() as stage:
        stage.store.faults.outage = "silent"
        gateway = stage.gateway
        await stage.wait_until(lambda: not gateway.is_ready(), 6.0)
        refused = await stage.call("/safe/x")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert (await stage.call("/open/x")).status == 200
        assert not await stage.is_ready()
        stage.store.faults.outage = ""
        await stage.wait_until(gateway.is_ready, 6.0)
        assert (await stage.call("/safe/x")).status == 200


async def test_an_unknown_route_is_not_denied_by_an_old_configuration():
    # The configuration may be out of date, and the newest may have the
    # route: the caller is told to come back, not that there is none.
    async with run_stage() as stage:
        assert (await stage.call("/nowhere/x")).status == 404
        stage.store.faults.outage = "503"
        await stage.wait_until(lambda: not stage.gateway.is_ready(), 6.0)
        assert (await stage.call("/nowhere/x")).status == 503


async def test_an_older_configuration_never_comes_back():
    # Reads show the past after the store lost its history.
    async with run_stage() as stage:
        gateway = stage.gateway
        for version in (7, 3):
            stage.put_configuration(version=version)
            await asyncio.sleep(0.1)
        assert gateway.deployment.configuration.version == 7


async def test_follows_on_when_the_store_drops_its_history():
    # The records that a read asks for were dropped (410). The newest of each
    # key is read again, and a change made in the gap is found.
    async with run_stage() as stage:
        for topic in stage.store.topics.values():
            topic.forget()
        stage.put_configuration(version=9)
        stage.store.topics["keyed.op"].forget()
        gateway = stage.gateway
        await stage.wait_until(
            lambda: gateway.deployment.configuration.version == 9, 6.0
        )


async def test_a_leaver_is_found_in_time_though_no_read_is_woken():
    # The store does not wake reads that wait. An upstream's entry is removed
    # just after a read began; the read's end must come early enough for the
    # next one to stop requests within the drain time of 2 s.
    async with run_stage() as stage:
        stage.store.faults.deaf = True
        await asyncio.sleep(0.1)
        stage.store.put("keyed.servers", "w1", b"")
        rotation = stage.gateway.deployment.rotation
        await stage.wait_until(
            lambda: len(rotation.get_ready("pool")) == 1, 1.8
        )


async def test_a_configuration_that_cannot_be_read_changes_nothing():
    async with run_stage() as stage:
        stage.store.put("keyed.op", "config", b"{")
        stage.store.put("keyed.op", "config", b'{"Version": "x"}')
        stage.put_configuration(version=4)
        gateway = stage.gateway
        await stage.wait_until(
            lambda: gateway.deployment.configuration.version == 4
        )


def test_make_configuration_has_the_key_that_tests_use():
    assert make_configuration()["Tenants"][0]["ApiKeys"] == [KEY]


class TrustMachine(RuleBasedStateMachine):
    """A key is taken away at any time; reads come late, never, or stale.

    Model: the moments at which the store certainly had nothing newer. A key
    that was taken away `LIMIT_S` ago must not be relied on, whatever answers
    came in which order.
    """

    LIMIT_S = 5.0

    def __init__(self):
        super().__init__()
        self.trust = Trust(self.LIMIT_S, 2.0)
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
            # An answer to a read that was sent after the key was taken away
            # shows it, and the key is refused from then on.
            if self.revoked_s is None or sent_s < self.revoked_s:
                self.trust.note_proof(sent_s)

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
        if self.now_s - self.revoked_s >= self.LIMIT_S - MARGIN_S:
            assert not self.trust.holds(self.now_s)


TrustMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestTrust = TrustMachine.TestCase


@pytest.mark.parametrize("revoke_s", [1.5, 5.0, 30.0])
def test_trust_outlasts_the_loss_of_the_store_by_a_fifth(revoke_s):
    # A read returned a record just before its wait was over and proves only
    # the time of its sending; the next read is held as long, and the store is
    # lost at its end. Callers with keys must still be served for a while.
    bounds = Bounds(
        revoke_s, 3.0, 3.0, 9.0, 8.0, 0.9, 0.15, 30.0, 5.0, 10.0, 54.0
    )
    oldest_proof_s = 2 * get_operator_wait_s(bounds)
    assert revoke_s - MARGIN_S - oldest_proof_s >= 0.2 * revoke_s


def test_news_end_trust_once_they_must_be_in_force():
    trust = Trust(5.0, 3.0)
    trust.note_proof(10.0)
    trust.record_update_notification(10.5)
    assert not trust.is_superseded(12.0)
    trust.record_update_notification(12.5)
    assert trust.is_superseded(13.0)
    # What was heard of long ago may be out of reach.
    assert not trust.is_superseded(12.5 + NEWS_S)
    trust.note_proof(12.7)
    assert not trust.is_superseded(13.0)


def test_nothing_is_overdue_without_news():
    trust = Trust(5.0, 3.0)
    trust.note_proof(10.0)
    assert not trust.is_superseded(60.0)

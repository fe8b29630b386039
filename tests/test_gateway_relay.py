"""Tests the relay of the store's state from watchers to followers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random

import pytest

from lab.metadata_store import MetadataStore
from lab.ports import get_free_port
from lab.server import start_app
from lovagestage.gateway import gossip as gossip_module
from lovagestage.gateway import relay as relay_module
from lovagestage.gateway import watchers as watchers_module
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.feed_wiring import get_relay_bound_s
from lovagestage.gateway.feeds import TopicFeed
from lovagestage.gateway.freshness import ConfigurationFreshness
from lovagestage.gateway.gossip import KEEPALIVE_INTERVAL_S
from lovagestage.gateway.peers import PEER_EXPIRY_S, PeerSocket
from lovagestage.gateway.relay import MIN_RELAY_GATEWAYS, Relay, RelayMode
from lovagestage.gateway.relay_messages import (
    MAX_DATAGRAM_BYTES,
    StateResponse,
    TopicState,
    UpdateNotification,
    split_records,
)
from lovagestage.gateway.settings import Bounds
from lovagestage.gateway.store_recovery import StoreRecoverySignal
from lovagestage.gateway.topic_options import TopicReadOptions
from lovagestage.platform.records import Record
from lovagestage.platform.store import StoreClient
from tests.test_gateway_feeds import TOPIC, Recorder, wait_until
from tests.test_gateway_gossip import run_pair

BOUND_S = 3.0
"""Time limit for a change, with queries every 0.6 s: long enough to distinguish
an effect that is immediate from one that comes with the next query."""
ROUND_S = (
    relay_module.QUERY_INTERVAL_RATIO * BOUND_S
    + relay_module.RESPONSE_TIMEOUT_S
)


class Gateway:
    """The components of a gateway that read the store."""

    def __init__(self, store_port):
        self.exposition = Exposition()
        address = f"127.0.0.1:{get_free_port()}"
        self.socket = PeerSocket(address, self.exposition)
        self.relay = Relay(self.socket, BOUND_S, self.exposition)
        self.listener = Recorder()
        self.client = StoreClient(f"127.0.0.1:{store_port}")
        self.calls = 0
        self._exchange = self.client._exchange
        self.client._exchange = self.count_call
        self.feed = TopicFeed(
            self.client,
            TopicReadOptions(TOPIC, 0.4, 0.0),
            self.listener,
            random.Random(1),
            StoreRecoverySignal(),
            self.relay,
        )
        self.relay.add_source(self.feed)
        self.services = (self.socket, self.relay, self.feed)

    async def count_call(self, *arguments):
        self.calls += 1
        return await self._exchange(*arguments)

    async def stop(self):
        for service in reversed(self.services):
            await service.stop()


@contextlib.asynccontextmanager
async def run_gateways():
    """Runs a store, a watcher and a follower that are peers of each other."""
    store = MetadataStore()
    runner, port = await start_app(store.make_app(), "127.0.0.1", 0)
    pair = sorted(
        (Gateway(port), Gateway(port)),
        key=lambda each: watchers_module.get_rank(each.socket.own_address),
    )
    pair[0].name, pair[1].name = "watcher", "follower"
    add_fake_peers(pair)
    for gateway in pair:
        for service in gateway.services:
            await service.start()
    try:
        await wait_until(lambda: all(g.listener.confirmations for g in pair))
        await wait_until(lambda: TOPIC in pair[1].relay._last_round.states)
        await asyncio.sleep(0.1)
        yield store, *pair
    finally:
        for gateway in pair:
            await gateway.stop()
        await runner.cleanup()


def add_fake_peers(pair):
    # The other peers rank after the pair, so that one of the pair is the
    # watcher.
    max_rank = watchers_module.get_rank(pair[1].socket.own_address)
    fake_peers = [
        ("127.0.0.1", port)
        for port in range(1, 60_000)
        if watchers_module.get_rank(("127.0.0.1", port)) > max_rank
    ]
    for gateway, other in zip(pair, reversed(pair), strict=True):
        gateway.socket.peers |= {
            other.socket.own_address,
            *fake_peers[: MIN_RELAY_GATEWAYS - 2],
        }


@pytest.fixture(autouse=True)
def one_watcher(monkeypatch):
    monkeypatch.setattr(watchers_module, "MIN_WATCHERS", 1)


async def test_follower_does_not_call_the_store_while_nothing_changes():
    # Guards against calls to the store from followers without a change, and
    # against freshness confirmations that are too old.
    async with run_gateways() as (_, watcher, follower):
        assert watcher.relay.get_mode() is RelayMode.WATCHER
        assert follower.relay.get_mode() is RelayMode.FOLLOWER
        await asyncio.sleep(ROUND_S)
        calls, confirmation_count = (
            follower.calls,
            len(follower.listener.confirmations),
        )
        await asyncio.sleep(2.5)
        assert follower.calls == calls
        assert len(follower.listener.confirmations) >= confirmation_count + 2
        age_s = get_elapsed_s() - follower.listener.confirmations[-1]
        assert (
            age_s
            < relay_module.HELD_READ_RATIO * BOUND_S
            + relay_module.CONFIRMATION_AGE_SLACK_S
            + ROUND_S
        )


async def test_change_reaches_a_follower_at_once():
    async with run_gateways() as (store, _, follower):
        for number in range(3):
            store.append_keyed(TOPIC, "config", b"%d" % number)
            await wait_until(
                lambda value=b"%d" % number: (
                    ("config", value) in follower.listener.records
                ),
                0.4,
            )
            await asyncio.sleep(0.7)


async def test_change_reaches_a_follower_whose_notification_is_lost():
    # The datagram that notifies of the change is lost. The next response states
    # the new end of the topic, and the follower reads the store.
    async with run_gateways() as (store, watcher, follower):
        send = watcher.relay._send

        def send_all_but_updates(message, peer):
            if not isinstance(message, UpdateNotification):
                send(message, peer)

        watcher.relay._send = send_all_but_updates
        store.append_keyed(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records, ROUND_S + 0.5)


async def test_follower_reads_the_store_when_its_watcher_is_gone():
    # The watcher's process is killed, and the configuration changes. The
    # follower receives no response, reads the store in the same round, and
    # becomes a watcher itself.
    async with run_gateways() as (store, watcher, follower):
        await watcher.stop()
        store.append_keyed(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records, ROUND_S + 0.5)
        await wait_until(
            lambda: follower.relay.get_mode() is RelayMode.WATCHER, 2.0
        )


async def test_follower_counts_its_queries():
    async with run_gateways() as (_, watcher, follower):
        name = "lovagestage_relay_questions_total"
        answered, lost = (
            f'{name}{{outcome="{outcome}"}}' for outcome in ("answered", "lost")
        )
        assert answered in follower.exposition.format_text()
        assert lost not in follower.exposition.format_text()
        await watcher.stop()
        await wait_until(lambda: lost in follower.exposition.format_text())


async def test_follower_does_not_rely_on_a_watcher_without_the_store():
    # The store rejects the watcher's VM and serves the follower. A key is
    # revoked meanwhile. The watcher's freshness confirmation becomes too old;
    # the follower must detect that before a change is overdue, and read the
    # store itself.
    async with run_gateways() as (store, watcher, follower):
        watcher.client._address = "127.0.0.1:1"
        watcher.client.close()
        store.append_keyed(TOPIC, "config", b"new")
        limit_s = (
            relay_module.HELD_READ_RATIO * BOUND_S
            + relay_module.CONFIRMATION_AGE_SLACK_S
            + ROUND_S
        )
        await wait_until(lambda: follower.listener.records, limit_s + 0.5)
        assert not watcher.listener.records


async def test_confirmation_is_dated_to_the_query():
    # The watcher makes its response and is paused before it sends it. A key is
    # revoked in between. If the freshness confirmation were dated to the
    # response's arrival, the follower would accept the key for too long.
    async with run_gateways() as (_, watcher, follower):
        send = watcher.relay._send
        loop = asyncio.get_running_loop()
        made_s = []

        def send_late(message, peer):
            if isinstance(message, StateResponse):
                made_s.append(get_elapsed_s())
                loop.call_later(0.2, send, message, peer)

        watcher.relay._send = send_late
        await wait_until(lambda: made_s)
        before = len(follower.listener.confirmations)
        await wait_until(lambda: len(follower.listener.confirmations) > before)
        assert follower.listener.confirmations[-1] <= made_s[-1]
        # The follower's confirmation can't be later than the watcher's own one.
        assert (
            follower.listener.confirmations[-1]
            <= watcher.listener.confirmations[-1]
        )


async def test_response_to_an_earlier_query_confirms_nothing():
    # The response arrives after the next query was sent. If it were dated by
    # that query, its freshness confirmation would appear too recent.
    async with run_gateways() as (_, watcher, follower):
        watcher.relay._send = lambda message, peer: None
        await wait_until(lambda: follower.relay._pending_response is not None)
        number = follower.relay._query_number
        late_response = StateResponse(
            number - 1, (TopicState(TOPIC, 0, 0, None),)
        )
        follower.relay._on_response(late_response)
        assert not follower.relay._pending_response.done()


async def test_follower_learns_of_an_outage_from_its_watcher():
    # The store is unavailable for a moment in which the follower does not call
    # it. Entries of upstreams expire meanwhile. Their removal must not be
    # treated as a departure of the upstreams, so the follower must learn of the
    # outage.
    async with run_gateways() as (store, watcher, follower):
        calls = follower.calls
        store.faults.outage = "503"
        await wait_until(
            lambda: (
                watcher.feed.get_last_failure_age_s(get_elapsed_s()) is not None
            )
        )
        store.faults.outage = ""
        await wait_until(
            lambda: (
                follower.feed.get_last_failure_age_s(get_elapsed_s())
                is not None
            )
        )
        assert follower.calls == calls


async def test_few_gateways_read_the_store_themselves():
    # With few gateways, watchers would cost the store more reads than they
    # save.
    socket = PeerSocket("127.0.0.1:1", Exposition())
    relay = Relay(socket, BOUND_S, Exposition())
    for port in range(2, MIN_RELAY_GATEWAYS):
        socket.add_peer(f"127.0.0.1:{port}")
        assert relay.get_mode() is RelayMode.ALONE
    socket.add_peer(f"127.0.0.1:{MIN_RELAY_GATEWAYS}")
    assert relay.get_mode() is not RelayMode.ALONE


@pytest.mark.parametrize(
    ("gateways", "watchers"), [(8, 2), (32, 2), (33, 3), (390, 25)]
)
def test_all_gateways_find_the_same_watchers(monkeypatch, gateways, watchers):
    monkeypatch.setattr(watchers_module, "MIN_WATCHERS", 2)
    # Guards against gateways that choose different watchers, and against an
    # uneven distribution of followers over the watchers.
    addresses = [f"127.0.0.1:{port}" for port in range(1, gateways + 1)]
    watcher_lists = []
    queried = []
    for own in addresses:
        socket = PeerSocket(own, Exposition())
        for each in addresses:
            socket.add_peer(each)
        relay = Relay(socket, BOUND_S, Exposition())
        watcher_lists.append(
            tuple(relay.watchers.get_watchers(get_elapsed_s()))
        )
        if relay.get_mode() is RelayMode.FOLLOWER:
            queried.append(relay.watchers.choose_watcher(get_elapsed_s()))
    assert len(set(watcher_lists)) == 1
    assert len(watcher_lists[0]) == watchers
    assert set(queried) == set(watcher_lists[0])
    most_followers = max(queried.count(each) for each in set(queried))
    assert most_followers <= 2.5 * watchers_module.GATEWAYS_PER_WATCHER


async def test_gateway_is_known_by_its_datagrams():
    # The store has dropped the messages of gateways that have run for long. A
    # gateway that has just started learns of them by their datagrams.
    one, two = (
        PeerSocket(f"127.0.0.1:{get_free_port()}", Exposition())
        for _ in range(2)
    )
    two.register(b"kind", lambda data, sender: None)
    for socket in (one, two):
        await socket.start()
    try:
        one.send(b"kind", b"", two.own_address)
        await wait_until(lambda: one.own_address in two.peers)
        two.dispatch(b"none of ours", ("127.0.0.1", 9))
        assert two.peers == {one.own_address}
    finally:
        for socket in (one, two):
            await socket.stop()


async def test_connection_that_was_idle_is_not_used_again(monkeypatch):
    # A follower's connection to the store broke long ago without being
    # detected. A call on it would time out before the change is read.
    monkeypatch.setattr("lovagestage.gateway.feeds.IDLE_LIMIT_S", 0.1)
    async with run_gateways() as (store, _, follower):
        await asyncio.sleep(0.5)
        connection = follower.client._connection
        assert connection is not None
        store.append_keyed(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records)
        assert follower.client._connection is not connection


async def test_gateways_that_were_replaced_are_forgotten():
    # VMs are replaced all the time. If their addresses were retained, datagrams
    # would be sent to more and more of them, and the first ranks would contain
    # only gateways that no longer exist.
    socket = PeerSocket("127.0.0.1:1", Exposition())
    socket.register(b"kind", lambda data, sender: None)
    for port in (2, 3):
        socket.add_peer(f"127.0.0.1:{port}")
    start_s = get_elapsed_s()
    socket.expire(start_s + PEER_EXPIRY_S - 1)
    assert len(socket.peers) == 2
    socket._last_received_s[("127.0.0.1", 2)] -= PEER_EXPIRY_S
    socket._last_received_s[("127.0.0.1", 3)] -= PEER_EXPIRY_S
    socket.dispatch(b"kind", ("127.0.0.1", 3))
    socket.expire(get_elapsed_s() + 1)
    assert socket.peers == {("127.0.0.1", 3)}


async def test_idle_gateway_sends_keepalive_reports(monkeypatch):
    # A gateway without waiting requests has nothing to report. It must send a
    # keep-alive report long before the other gateways remove it.
    monkeypatch.setattr(gossip_module, "KEEPALIVE_INTERVAL_S", 0.3)
    async with run_pair() as (pair, _):
        sent = []
        pair[0]._socket.send = lambda kind, data, peer: sent.append(peer)
        await wait_until(lambda: len(sent) >= 2)
    assert 5 * KEEPALIVE_INTERVAL_S <= PEER_EXPIRY_S


@pytest.mark.parametrize("revoke_s", [1.5, 2.5, 5.0, 60.0])
def test_keys_outlast_the_loss_of_the_store_at_followers(revoke_s):
    # The store becomes unavailable just before a follower's next query. The
    # follower's freshness confirmation came from a watcher and has the maximum
    # age. Callers with a key must nevertheless be served for three fifths of
    # the time limit for revoking a key.
    bounds = Bounds(
        revoke_s, 4.0, 3.0, 9.0, 8.0, 0.9, 0.1, 30.0, 5.0, 10.0, 54.0
    )
    bound_s = get_relay_bound_s(bounds)
    assert bound_s <= 3.0
    relay = Relay(
        PeerSocket("127.0.0.1:1", Exposition()), bound_s, Exposition()
    )
    oldest_s = (
        relay.watch_wait_s
        + relay_module.CONFIRMATION_AGE_SLACK_S
        + relay._query_interval_s
    )
    freshness = ConfigurationFreshness(revoke_s, 4.0)
    freshness.record_confirmation(0.0)
    assert freshness.is_fresh(oldest_s + 0.599 * revoke_s)


def change_options(feed, **fields):
    feed._options = dataclasses.replace(feed._options, **fields)


def enable_relayed_records(gateways):
    for gateway in gateways:
        change_options(gateway.feed, is_relayed=True)


async def test_follower_gets_new_records_from_its_watcher():
    # Upstreams are replaced one after the other. Each change would cost the
    # store a call from every follower; the watcher sends the records instead.
    async with run_gateways() as (store, watcher, follower):
        enable_relayed_records((watcher, follower))
        calls = follower.calls
        for number in range(8):
            store.append_keyed(TOPIC, f"u{number}", b"x" * 400)
            store.append_keyed(TOPIC, f"v{number}", b"y" * 400)
            await asyncio.sleep(0.2)
        await wait_until(lambda: len(follower.listener.records) == 16)
        assert follower.listener.records == watcher.listener.records
        assert follower.calls == calls


async def test_records_that_overtake_others_wait_for_them():
    # The second datagram with records arrives before the first one.
    async with run_gateways() as (_, watcher, follower):
        enable_relayed_records((watcher, follower))
        await asyncio.sleep(ROUND_S)
        calls, first = follower.calls, follower.feed.get_known_end()
        records = [Record(first + n, "u", b"%d" % n) for n in range(4)]
        follower.feed.apply_relayed_records(records[2:], None)
        assert not follower.listener.records
        follower.feed.apply_relayed_records(records[:2], None)
        assert [v for _, v in follower.listener.records] == [
            b"0",
            b"1",
            b"2",
            b"3",
        ]
        follower.feed.apply_relayed_records(records, None)
        assert len(follower.listener.records) == 4
        assert follower.calls == calls


async def test_follower_reads_the_store_for_records_that_are_lost():
    # The datagram with the records is lost. The response arrives and states
    # that there are new records.
    async with run_gateways() as (store, watcher, follower):
        enable_relayed_records((watcher, follower))
        watcher.relay._send_records = lambda *_: None
        store.append_keyed(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records, 0.5)
        assert follower.listener.records == [("config", b"new")]


async def test_records_with_callers_keys_are_not_relayed():
    # Guards against callers' keys in datagrams between gateways.
    async with run_gateways() as (store, watcher, follower):
        calls = follower.calls
        assert watcher.feed.get_recent_records(0) == ()
        store.append_keyed(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records, 0.5)
        assert follower.calls > calls


async def test_a_watchers_confirmation_stays_fresh_while_records_arrive():
    # A record is appended every 0.3 s. Each held read that returns one confirms
    # freshness only for the time at which it was sent. If the next read were
    # held as well, the follower would find the confirmation too old and read
    # the store each time.
    async with run_gateways() as (store, watcher, follower):
        enable_relayed_records((watcher, follower))
        change_options(watcher.feed, pause_s=1.0)
        calls = follower.calls
        for number in range(10):
            store.append_keyed(TOPIC, f"u{number}", b"new")
            await asyncio.sleep(0.3)
        assert follower.calls == calls


def test_records_are_split_into_datagrams():
    sizes = [300] * 10 + [MAX_DATAGRAM_BYTES + 1, 300]
    records = [Record(n, "", b"x" * size) for n, size in enumerate(sizes)]
    groups = split_records(records)
    assert [r for group in groups for r in group] == records[:10]
    for group in groups:
        total_bytes = sum(len(r.value) for r in group)
        assert total_bytes <= MAX_DATAGRAM_BYTES


def test_followers_of_a_watcher_without_the_store_query_another_watcher():
    # The store rejects the VM of a watcher. The watcher still responds, with a
    # freshness confirmation that becomes too old, and each of its followers
    # would read the store itself in each round until the watcher can read the
    # store again.
    exposition = Exposition()
    socket = PeerSocket("127.0.0.1:1", exposition)
    for port in range(2, 69):
        socket.add_peer(f"127.0.0.1:{port}")
    relay = Relay(socket, BOUND_S, exposition)
    relay.add_source(
        TopicFeed(
            StoreClient("127.0.0.1:1"),
            TopicReadOptions(TOPIC, 0.4, 0.0),
            Recorder(),
            random.Random(1),
            StoreRecoverySignal(),
            relay,
        )
    )
    ranked = sorted(
        [socket.own_address, *socket.peers], key=watchers_module.get_rank
    )
    watchers = ranked[:5]
    first_choice = relay.watchers.choose_watcher(get_elapsed_s())
    assert first_choice in watchers
    store_lost = StateResponse(1, (TopicState(TOPIC, 7, 5000, 4000),))
    relay._apply_response(first_choice, store_lost)
    second_choice = relay.watchers.choose_watcher(get_elapsed_s())
    assert second_choice in watchers
    assert second_choice != first_choice
    relay._apply_response(
        second_choice, StateResponse(2, (TopicState(TOPIC, 7, 400, 4000),))
    )
    relay._apply_response(
        second_choice, StateResponse(3, (TopicState(TOPIC, 7, 5000, None),))
    )
    assert relay.watchers.choose_watcher(get_elapsed_s()) == second_choice
    # If all watchers have lost the store, the store itself has failed: no other
    # gateways replace them.
    for watcher in watchers:
        relay._apply_response(watcher, store_lost)
    assert relay.watchers.choose_watcher(get_elapsed_s()) in watchers
    assert list(relay.watchers.get_watchers(get_elapsed_s())) == watchers


async def test_followers_rarely_read_a_store_that_all_gateways_have_lost():
    # The store is unavailable for seconds. Without a limit, every gateway would
    # read each topic every second. The watchers detect the recovery and notify
    # the followers.
    async with run_gateways() as (store, watcher, follower):
        store.faults.outage = "503"
        await wait_until(lambda: follower.feed._outage.is_lost, 3.0)
        calls, own_calls = watcher.calls, follower.calls
        await asyncio.sleep(2.5)
        assert watcher.calls >= calls + 3
        assert follower.calls <= own_calls + 1
        store.faults.outage = ""
        confirmation_count = len(follower.listener.confirmations)
        await wait_until(
            lambda: len(follower.listener.confirmations) > confirmation_count,
            1.0 + ROUND_S,
        )

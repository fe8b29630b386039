"""Gateways that watch the store for others."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random

import pytest

from lab.metadata_store import MetadataStore
from lab.ports import get_free_port
from lab.server import start_app
from lovagestage.gateway import gossip as gossips
from lovagestage.gateway import relay as relays
from lovagestage.gateway import watchers as watchers_of
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.feeds import TopicFeed, TopicReading
from lovagestage.gateway.gossip import ALIVE_S
from lovagestage.gateway.peers import FORGET_S, PeerSocket
from lovagestage.gateway.relay import MIN_GATEWAYS, Relay, RelayMode
from lovagestage.gateway.relay_messages import (
    MAX_DATAGRAM_BYTES,
    Answer,
    News,
    TopicState,
    split_records,
)
from lovagestage.gateway.settings import Bounds
from lovagestage.gateway.store_return import StoreReturn
from lovagestage.gateway.trust import Trust
from lovagestage.gateway.wiring import get_relay_bound_s
from lovagestage.platform.records import Record
from lovagestage.platform.store import StoreClient
from tests.test_gateway_feeds import TOPIC, Recorder, wait_until
from tests.test_gateway_gossip import run_pair

BOUND_S = 3.0
"""Rounds of 0.6 s: what comes at once is told from what comes with the next."""
ROUND_S = relays.PERIOD_RATIO * BOUND_S + relays.ANSWER_S


class Gateway:
    """The parts of a gateway that learn what is in the store."""

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
            TopicReading(TOPIC, 0.4, 0.0),
            self.listener,
            random.Random(1),
            StoreReturn(),
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
    """A store, a watcher and a follower that know of each other."""
    store = MetadataStore()
    runner, port = await start_app(store.make_app(), "127.0.0.1", 0)
    pair = sorted(
        (Gateway(port), Gateway(port)),
        key=lambda each: watchers_of.get_rank(each.socket.own),
    )
    pair[0].name, pair[1].name = "watcher", "follower"
    add_others(pair)
    for gateway in pair:
        for service in gateway.services:
            await service.start()
    try:
        await wait_until(lambda: all(g.listener.proofs for g in pair))
        await wait_until(lambda: TOPIC in pair[1].relay._round.states)
        await asyncio.sleep(0.1)
        yield store, *pair
    finally:
        for gateway in pair:
            await gateway.stop()
        await runner.cleanup()


def add_others(pair):
    # The others are far down in the ranks: of the two first, one watches.
    limit = watchers_of.get_rank(pair[1].socket.own)
    found = [
        ("127.0.0.1", port)
        for port in range(1, 60_000)
        if watchers_of.get_rank(("127.0.0.1", port)) > limit
    ]
    for gateway, other in zip(pair, reversed(pair), strict=True):
        gateway.socket.peers |= {other.socket.own, *found[: MIN_GATEWAYS - 2]}


@pytest.fixture(autouse=True)
def one_watcher(monkeypatch):
    monkeypatch.setattr(watchers_of, "MIN_WATCHERS", 1)


async def test_follower_asks_the_store_nothing_while_nothing_changes():
    async with run_gateways() as (_, watcher, follower):
        assert watcher.relay.get_mode() is RelayMode.WATCHER
        assert follower.relay.get_mode() is RelayMode.FOLLOWER
        await asyncio.sleep(ROUND_S)
        calls, proofs = follower.calls, len(follower.listener.proofs)
        await asyncio.sleep(2.5)
        assert follower.calls == calls
        assert len(follower.listener.proofs) >= proofs + 2
        age_s = get_elapsed_s() - follower.listener.proofs[-1]
        assert age_s < relays.WATCH_RATIO * BOUND_S + relays.SLACK_S + ROUND_S


async def test_change_reaches_a_follower_at_once():
    async with run_gateways() as (store, _, follower):
        for number in range(3):
            store.put(TOPIC, "config", b"%d" % number)
            await wait_until(
                lambda value=b"%d" % number: (
                    ("config", value) in follower.listener.records
                ),
                0.4,
            )
            await asyncio.sleep(0.7)


async def test_change_reaches_a_follower_whose_news_are_lost():
    # The datagram that tells of the change is lost. The next answer tells
    # how far the topic goes, and the follower reads the store.
    async with run_gateways() as (store, watcher, follower):
        send = watcher.relay._send

        def send_most(message, peer):
            if not isinstance(message, News):
                send(message, peer)

        watcher.relay._send = send_most
        store.put(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records, ROUND_S + 0.5)


async def test_follower_reads_the_store_when_its_watcher_is_gone():
    # The watcher's process is killed, and the configuration changes. The
    # follower gets no answer, reads the store in the same round, and goes on
    # as a watcher itself.
    async with run_gateways() as (store, watcher, follower):
        await watcher.stop()
        store.put(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records, ROUND_S + 0.5)
        await wait_until(
            lambda: follower.relay.get_mode() is RelayMode.WATCHER, 2.0
        )


async def test_follower_counts_its_questions():
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
    # The store turns the watcher's VM away and serves the follower. A key is
    # taken away meanwhile. The watcher's proof grows old; the follower must
    # notice before a change is overdue, and read the store itself.
    async with run_gateways() as (store, watcher, follower):
        watcher.client._address = "127.0.0.1:1"
        watcher.client.close()
        store.put(TOPIC, "config", b"new")
        limit_s = relays.WATCH_RATIO * BOUND_S + relays.SLACK_S + ROUND_S
        await wait_until(lambda: follower.listener.records, limit_s + 0.5)
        assert not watcher.listener.records


async def test_proof_counts_from_the_question():
    # The watcher makes its answer and is paused before it is sent. A key is
    # taken away in between. Were the proof dated when the answer arrives, the
    # follower would trust the key for longer than allowed.
    async with run_gateways() as (_, watcher, follower):
        send = watcher.relay._send
        loop = asyncio.get_running_loop()
        made_s = []

        def send_late(message, peer):
            if isinstance(message, Answer):
                made_s.append(get_elapsed_s())
                loop.call_later(0.2, send, message, peer)

        watcher.relay._send = send_late
        await wait_until(lambda: made_s)
        before = len(follower.listener.proofs)
        await wait_until(lambda: len(follower.listener.proofs) > before)
        assert follower.listener.proofs[-1] <= made_s[-1]
        # What the watcher itself has proved is the latest that can be known.
        assert follower.listener.proofs[-1] <= watcher.listener.proofs[-1]


async def test_answer_to_an_earlier_question_proves_nothing():
    # It arrives after the next question was sent: dated by that one, its
    # proof would be too young.
    async with run_gateways() as (_, watcher, follower):
        watcher.relay._send = lambda message, peer: None
        await wait_until(lambda: follower.relay._answer is not None)
        number = follower.relay._number
        late = Answer(number - 1, (TopicState(TOPIC, 0, 0, None),))
        follower.relay._on_answer(late)
        assert not follower.relay._answer.done()


async def test_follower_knows_of_an_outage_that_it_did_not_see():
    # The store is away for a moment in which the follower asks it nothing.
    # Entries of upstreams lapse meanwhile; their removal must not be taken
    # for a leave, so the follower has to learn of the outage.
    async with run_gateways() as (store, watcher, follower):
        calls = follower.calls
        store.faults.outage = "503"
        await wait_until(
            lambda: watcher.feed.get_lost_age_s(get_elapsed_s()) is not None
        )
        store.faults.outage = ""
        await wait_until(
            lambda: follower.feed.get_lost_age_s(get_elapsed_s()) is not None
        )
        assert follower.calls == calls


async def test_few_gateways_read_the_store_themselves():
    socket = PeerSocket("127.0.0.1:1", Exposition())
    relay = Relay(socket, BOUND_S, Exposition())
    for port in range(2, MIN_GATEWAYS):
        socket.add_peer(f"127.0.0.1:{port}")
        assert relay.get_mode() is RelayMode.ALONE
    socket.add_peer(f"127.0.0.1:{MIN_GATEWAYS}")
    assert relay.get_mode() is not RelayMode.ALONE


@pytest.mark.parametrize(
    ("gateways", "watchers"), [(8, 2), (32, 2), (33, 3), (390, 25)]
)
def test_all_gateways_find_the_same_watchers(monkeypatch, gateways, watchers):
    monkeypatch.setattr(watchers_of, "MIN_WATCHERS", 2)
    addresses = [f"127.0.0.1:{port}" for port in range(1, gateways + 1)]
    found = []
    asked = []
    for own in addresses:
        socket = PeerSocket(own, Exposition())
        for each in addresses:
            socket.add_peer(each)
        relay = Relay(socket, BOUND_S, Exposition())
        found.append(tuple(relay.watchers.get(get_elapsed_s())))
        if relay.get_mode() is RelayMode.FOLLOWER:
            asked.append(relay.watchers.choose(get_elapsed_s()))
    assert len(set(found)) == 1
    assert len(found[0]) == watchers
    assert set(asked) == set(found[0])
    most = max(asked.count(each) for each in set(asked))
    assert most <= 2.5 * watchers_of.FOLLOWERS


async def test_gateway_is_known_by_its_datagrams():
    # The store has forgotten the notes of gateways that have run for long. A
    # gateway that has just started learns of them when they send to it.
    one, two = (
        PeerSocket(f"127.0.0.1:{get_free_port()}", Exposition())
        for _ in range(2)
    )
    two.register(b"kind", lambda data, sender: None)
    for socket in (one, two):
        await socket.start()
    try:
        one.send(b"kind", b"", two.own)
        await wait_until(lambda: one.own in two.peers)
        two.take(b"none of ours", ("127.0.0.1", 9))
        assert two.peers == {one.own}
    finally:
        for socket in (one, two):
            await socket.stop()


async def test_connection_that_was_idle_is_not_used_again(monkeypatch):
    # A follower's connection to the store went silent long ago, unnoticed.
    # A call on it would time out before the change is read.
    monkeypatch.setattr("lovagestage.gateway.feeds.IDLE_LIMIT_S", 0.1)
    async with run_gateways() as (store, _, follower):
        await asyncio.sleep(0.5)
        connection = follower.client._connection
        assert connection is not None
        store.put(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records)
        assert follower.client._connection is not connection


async def test_gateways_that_were_replaced_are_forgotten():
    # VMs are replaced all day. Were their addresses kept, datagrams would go
    # to ever more of them, and the first ranks would hold none that watches.
    socket = PeerSocket("127.0.0.1:1", Exposition())
    socket.register(b"kind", lambda data, sender: None)
    for port in (2, 3):
        socket.add_peer(f"127.0.0.1:{port}")
    start_s = get_elapsed_s()
    socket.expire(start_s + FORGET_S - 1)
    assert len(socket.peers) == 2
    socket._heard_s[("127.0.0.1", 2)] -= FORGET_S
    socket._heard_s[("127.0.0.1", 3)] -= FORGET_S
    socket.take(b"kind", ("127.0.0.1", 3))
    socket.expire(get_elapsed_s() + 1)
    assert socket.peers == {("127.0.0.1", 3)}


async def test_idle_gateway_is_not_taken_for_gone(monkeypatch):
    # It has nothing waiting and so nothing to tell. It says that it is there,
    # well before the others forget it.
    monkeypatch.setattr(gossips, "ALIVE_S", 0.3)
    async with run_pair() as (pair, _):
        sent = []
        pair[0]._socket.send = lambda kind, data, peer: sent.append(peer)
        await wait_until(lambda: len(sent) >= 2)
    assert 5 * ALIVE_S <= FORGET_S


@pytest.mark.parametrize("revoke_s", [1.5, 2.5, 5.0, 60.0])
def test_keys_outlast_the_loss_of_the_store_at_followers(revoke_s):
    # The store is lost just before a follower's next question. The proof that
    # it has then was told by a watcher and is as old as can be; callers with
    # a key must be served for three fifths of the bound on keys all the same.
    bounds = Bounds(
        revoke_s, 4.0, 3.0, 9.0, 8.0, 0.9, 0.1, 30.0, 5.0, 10.0, 54.0
    )
    bound_s = get_relay_bound_s(bounds)
    assert bound_s <= 3.0
    relay = Relay(
        PeerSocket("127.0.0.1:1", Exposition()), bound_s, Exposition()
    )
    oldest_s = relay.watch_wait_s + relays.SLACK_S + relay._period_s
    trust = Trust(revoke_s, 4.0)
    trust.note_proof(0.0)
    assert trust.holds(oldest_s + 0.599 * revoke_s)


def change_reading(feed, **fields):
    feed._reading = dataclasses.replace(feed._reading, **fields)


def tell_records(gateways):
    for gateway in gateways:
        change_reading(gateway.feed, is_told=True)


async def test_follower_gets_what_is_new_from_its_watcher():
    # Upstreams are replaced one after the other. Each change would cost the
    # store a call of every follower; the answer brings the records instead.
    async with run_gateways() as (store, watcher, follower):
        tell_records((watcher, follower))
        calls = follower.calls
        for number in range(8):
            store.put(TOPIC, f"u{number}", b"x" * 400)
            store.put(TOPIC, f"v{number}", b"y" * 400)
            await asyncio.sleep(0.2)
        await wait_until(lambda: len(follower.listener.records) == 16)
        assert follower.listener.records == watcher.listener.records
        assert follower.calls == calls


async def test_records_that_overtake_others_wait_for_them():
    # The second datagram arrives first, and the answer between the two.
    async with run_gateways() as (_, watcher, follower):
        tell_records((watcher, follower))
        await asyncio.sleep(ROUND_S)
        calls, first = follower.calls, follower.feed.get_end()
        late = [Record(first + n, "u", b"%d" % n) for n in range(4)]
        follower.feed.take_records(late[2:], None)
        assert not follower.listener.records
        follower.feed.take_records(late[:2], None)
        assert [v for _, v in follower.listener.records] == [
            b"0",
            b"1",
            b"2",
            b"3",
        ]
        follower.feed.take_records(late, None)
        assert len(follower.listener.records) == 4
        assert follower.calls == calls


async def test_follower_reads_the_store_for_records_that_are_lost():
    # The datagram with the records is lost; the answer arrives and tells that
    # there is something new.
    async with run_gateways() as (store, watcher, follower):
        tell_records((watcher, follower))
        watcher.relay._send_records = lambda *_: None
        store.put(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records, 0.5)
        assert follower.listener.records == [("config", b"new")]


async def test_records_with_callers_keys_are_not_told():
    async with run_gateways() as (store, watcher, follower):
        calls = follower.calls
        assert watcher.feed.get_records(0) == ()
        store.put(TOPIC, "config", b"new")
        await wait_until(lambda: follower.listener.records, 0.5)
        assert follower.calls > calls


async def test_a_watchers_proof_stays_sound_while_there_is_news():
    # A record comes every 0.3 s. Each held read that returns one proves
    # nothing later than its sending; were the next one held as well, the
    # follower would find the proof too old and read the store each time.
    async with run_gateways() as (store, watcher, follower):
        tell_records((watcher, follower))
        change_reading(watcher.feed, pause_s=1.0)
        calls = follower.calls
        for number in range(10):
            store.put(TOPIC, f"u{number}", b"new")
            await asyncio.sleep(0.3)
        assert follower.calls == calls


def test_records_are_parted_by_datagram():
    sizes = [300] * 10 + [MAX_DATAGRAM_BYTES + 1, 300]
    records = [Record(n, "", b"x" * size) for n, size in enumerate(sizes)]
    parts = split_records(records)
    assert [r for part in parts for r in part] == records[:10]
    for part in parts:
        total = sum(len(r.value) for r in part)
        assert total <= MAX_DATAGRAM_BYTES


def test_followers_of_a_watcher_without_the_store_ask_another_watcher():
    # The store turns the VM of a watcher away. It goes on answering, with a
    # proof that grows old, and each of its followers would read the store
    # itself in each round until the watcher has it back.
    exposition = Exposition()
    socket = PeerSocket("127.0.0.1:1", exposition)
    for port in range(2, 69):
        socket.add_peer(f"127.0.0.1:{port}")
    relay = Relay(socket, BOUND_S, exposition)
    relay.add_source(
        TopicFeed(
            StoreClient("127.0.0.1:1"),
            TopicReading(TOPIC, 0.4, 0.0),
            Recorder(),
            random.Random(1),
            StoreReturn(),
            relay,
        )
    )
    ranked = sorted([socket.own, *socket.peers], key=watchers_of.get_rank)
    watchers = ranked[:5]
    lost = relay.watchers.choose(get_elapsed_s())
    assert lost in watchers
    blind = Answer(1, (TopicState(TOPIC, 7, 5000, 4000),))
    relay._note_answer(lost, blind)
    asked = relay.watchers.choose(get_elapsed_s())
    assert asked in watchers
    assert asked != lost
    relay._note_answer(asked, Answer(2, (TopicState(TOPIC, 7, 400, 4000),)))
    relay._note_answer(asked, Answer(3, (TopicState(TOPIC, 7, 5000, None),)))
    assert relay.watchers.choose(get_elapsed_s()) == asked
    # When all have lost it, it is the store: none stands in for them.
    for watcher in watchers:
        relay._note_answer(watcher, blind)
    assert relay.watchers.choose(get_elapsed_s()) in watchers
    assert list(relay.watchers.get(get_elapsed_s())) == watchers


async def test_followers_leave_a_store_alone_that_all_have_lost():
    # The store is down for seconds. Every gateway would ask it for each topic
    # every second; the watchers find out when it is back, and tell.
    async with run_gateways() as (store, watcher, follower):
        store.faults.outage = "503"
        await wait_until(lambda: follower.feed._failures, 3.0)
        calls, own_calls = watcher.calls, follower.calls
        await asyncio.sleep(2.5)
        assert watcher.calls >= calls + 3
        assert follower.calls <= own_calls + 1
        store.faults.outage = ""
        proofs = len(follower.listener.proofs)
        await wait_until(
            lambda: len(follower.listener.proofs) > proofs, 1.0 + ROUND_S
        )

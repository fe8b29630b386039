"""What gateways tell each other of the upstreams' load."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.ports import get_free_port
from lovagestage.gateway import gossip as gossips
from lovagestage.gateway.choice import Work, choose_upstream
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.gossip import (
    HEARD_FOR_S,
    KIND,
    PEERS_PER_PERIOD,
    PERIOD_S,
    Gossip,
)
from lovagestage.gateway.neighbours import choose_neighbours
from lovagestage.gateway.peers import PeerSocket
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.told_waits import ToldWaits
from lovagestage.gateway.upstream import UpstreamEntry

NAMES = ("w1", "w2", "w3")


def make_rotation():
    rotation = Rotation()
    for number, name in enumerate(NAMES):
        entry = UpstreamEntry("pool", f"h:{number}", "a", "v1", 8, False)
        rotation.apply(name, entry, number, 0.0, False)
    return rotation


def tell_waits(rotations):
    """Tells each gateway what all others have waiting, as gossip does."""
    for told in zip(*(r.get_all() for r in rotations), strict=True):
        performances = [upstream.performance for upstream in told]
        total_s = sum(each.get_own_wait_s() for each in performances)
        for each in performances:
            each.waiting_elsewhere_s = total_s - each.get_own_wait_s()


def get_elsewhere(rotation):
    return {
        u.id: round(u.performance.waiting_elsewhere_s, 3)
        for u in rotation.get_all()
    }


@contextlib.asynccontextmanager
async def run_pair():
    rotations = make_rotation(), make_rotation()
    addresses = [f"127.0.0.1:{get_free_port()}" for _ in rotations]
    sockets = [PeerSocket(address, Exposition()) for address in addresses]
    pair = [
        Gossip(f"edge-{number}", "a", sockets[number], rotations[number])
        for number in range(2)
    ]
    for socket, other in zip(sockets, reversed(addresses), strict=True):
        await socket.start()
        socket.add_peer(other)
    for gossip in pair:
        await gossip.start()
    try:
        yield pair, rotations
    finally:
        for service in (*pair, *sockets):
            await service.stop()


async def wait_until(condition, timeout_s=2.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_gateway_learns_what_another_has_waiting():
    async with run_pair() as (_, (one, two)):
        upstream = one.get_ready("pool")[0]
        upstream.performance.waiting_s = 0.4
        await wait_until(lambda: get_elsewhere(two)["w1"] == 0.4)
        assert get_elsewhere(one)["w1"] == 0.0
        upstream.performance.waiting_s = 0.0
        await wait_until(lambda: get_elsewhere(two)["w1"] == 0.0)


async def test_what_a_stopped_gateway_told_is_forgotten():
    # A gateway is killed while it has requests waiting. What it told last
    # must not keep others away from those upstreams for ever.
    async with run_pair() as (pair, (one, two)):
        one.get_ready("pool")[0].performance.waiting_s = 0.4
        await wait_until(lambda: get_elsewhere(two)["w1"] == 0.4)
        await pair[0].stop()
        await asyncio.sleep(HEARD_FOR_S)
        await wait_until(lambda: get_elsewhere(two)["w1"] == 0.0)


async def test_datagrams_of_others_change_nothing():
    async with run_pair() as (pair, (_, two)):
        for data in (b"", b"x", KIND + bytes(12) + b"abc", bytes(40)):
            pair[1]._socket.take(data, ("127.0.0.1", 1))
        assert set(get_elsewhere(two).values()) == {0.0}


async def test_late_datagrams_do_not_undo_newer_ones():
    async with run_pair() as (pair, (one, two)):
        sent = []
        pair[0]._socket.send = lambda kind, data, peer: sent.append(data)
        for wait_s in (0.9, 0.1):
            one.get_ready("pool")[0].performance.waiting_s = wait_s
            pair[0]._send()
        pair[1].take(sent[1], ("127.0.0.1", 1))
        pair[1].take(sent[0], ("127.0.0.1", 1))
        assert get_elsewhere(two)["w1"] == 0.1


def test_requests_avoid_an_upstream_that_others_have_filled():
    rotation = make_rotation()
    upstreams = rotation.get_ready("pool")
    upstreams[0].performance.waiting_elsewhere_s = 2.0
    rng = random.Random(1)
    chosen = {
        choose_upstream(
            upstreams, (), Work(0.1, 0.1, str(seed)), "a", 0.0, rng
        ).upstream.id
        for seed in range(200)
    }
    assert chosen == {"w2", "w3"}


def make_peers(zones, per_zone):
    return {
        (f"10.{zone}.0.{number}", 9): f"z{zone}"
        for zone in range(zones)
        for number in range(per_zone)
    }


@pytest.mark.parametrize(("zones", "per_zone"), [(6, 12), (16, 25)])
def test_many_gateways_tell_their_zone(zones, per_zone):
    # What is told to all is told seldom: 0.7 s old with 68 gateways, 4 s with
    # 390. A zone is told three to ten times as often, with no more datagrams.
    peers = make_peers(zones, per_zone)
    chosen = choose_neighbours(peers.keys(), peers, "z1")
    assert {peers[peer] for peer in chosen.peers} == {"z1"}
    assert chosen.ratio == zones
    assert PERIOD_S * len(chosen.peers) / PEERS_PER_PERIOD <= 0.25


def test_few_gateways_tell_all():
    peers = make_peers(5, 2)
    assert choose_neighbours(peers.keys(), peers, "z1").peers == peers.keys()


def test_a_zone_with_few_gateways_is_told_by_all():
    peers = make_peers(6, 12)
    chosen = choose_neighbours(peers.keys(), peers, "elsewhere")
    assert chosen.peers == peers.keys()
    assert chosen.ratio == 1.0


def test_a_zone_stands_for_all():
    # Twelve gateways here have 0.02 s waiting each at an upstream, and so have
    # those of the other zones, who do not tell it here, or told it long ago.
    rotation = make_rotation()
    peers = make_peers(6, 12)
    socket = PeerSocket("10.1.0.200:9", Exposition())
    socket.peers = set(peers)
    gossip = Gossip("edge", "z1", socket, rotation)
    for peer, zone in peers.items():
        gossip.note_zone(peer, zone)
        teller = Gossip(str(peer), zone, socket, make_rotation())
        upstream = teller._rotation.get_ready("pool")[0]
        upstream.performance.waiting_s = 0.02
        sent = []
        socket.send = lambda kind, data, to, sent=sent: sent.append(data)
        teller._send()
        run_in_loop(gossip.take, sent[0], peer)
    assert get_elsewhere(rotation)["w1"] == pytest.approx(72 * 0.02)


def run_in_loop(call, *arguments):
    async def run():
        call(*arguments)

    asyncio.run(run())


async def test_gateways_of_other_zones_are_told_from_time_to_time(monkeypatch):
    # They would forget this gateway, and not know it as one that watches.
    monkeypatch.setattr(gossips, "ALIVE_S", 0.3)
    peers = make_peers(6, 12)
    socket = PeerSocket("10.1.0.200:9", Exposition())
    socket.peers = set(peers)
    told = []
    socket.send = lambda kind, data, peer: told.append(peer)
    gossip = Gossip("edge", "z1", socket, make_rotation())
    for peer, zone in peers.items():
        gossip.note_zone(peer, zone)
    await gossip.start()
    try:
        await wait_until(lambda: told.count(("10.3.0.1", 9)) >= 2)
    finally:
        await gossip.stop()


@given(
    told=st.lists(
        st.tuples(
            st.integers(0, 3),
            st.dictionaries(st.integers(0, 5), st.integers(0, 9)),
        ),
        max_size=40,
    )
)
def test_sums_are_those_of_what_each_gateway_told_last(told):
    waits, newest = ToldWaits(), {}
    for gateway, own in told:
        waits.replace(gateway, own)
        newest[gateway] = own
    for name in range(6):
        expected = sum(own.get(name, 0) for own in newest.values())
        assert waits.get(name) == expected


def test_a_datagram_costs_what_it_names_not_all_upstreams(monkeypatch):
    # Guards against gateways that are busy with each other's datagrams where
    # there are thousands of upstreams.
    named = []
    short_name = gossips._get_short_name
    monkeypatch.setattr(
        gossips, "_get_short_name", lambda u: named.append(1) or short_name(u)
    )

    async def run():
        rotation = Rotation()
        for number in range(2000):
            entry = UpstreamEntry("pool", f"h:{number}", "a", "v1", 8, False)
            rotation.apply(f"w{number}", entry, number, 0.0, False)
        address = f"127.0.0.1:{get_free_port()}"
        gossip = Gossip(
            "edge", "a", PeerSocket(address, Exposition()), rotation
        )
        busy = rotation.get_ready("pool")[7]
        for sequence in range(1, 101):
            entry = gossips._ENTRY.pack(short_name(busy), sequence)
            head = gossips._HEAD.pack(99, sequence, 1)
            gossip.take(head + b"a" + entry, ("10.0.0.2", 7000))
        assert busy.performance.waiting_elsewhere_s == pytest.approx(0.1)

    asyncio.run(run())
    assert len(named) <= 2 * 2000

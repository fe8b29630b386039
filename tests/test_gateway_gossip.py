"""Tests the exchange of the upstreams' queue times between gateways."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.ports import get_free_port
from lovagestage.gateway import gossip as gossip_module
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.gossip import (
    DATAGRAM_KIND,
    PEERS_PER_INTERVAL,
    REPORT_INTERVAL_S,
    REPORT_TTL_S,
    Gossip,
)
from lovagestage.gateway.gossip_targets import choose_gossip_targets
from lovagestage.gateway.peers import PeerSocket
from lovagestage.gateway.reported_waits import ReportedWaits
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import UpstreamEntry
from lovagestage.gateway.upstream_choice import AttemptCost, choose_upstream

NAMES = ("w1", "w2", "w3")


def make_rotation():
    rotation = Rotation()
    for number, name in enumerate(NAMES):
        entry = UpstreamEntry("pool", f"h:{number}", "a", "v1", 8, False)
        rotation.apply(name, entry, number, 0.0, False)
    return rotation


def exchange_queue_times(rotations):
    """Gives each gateway the sum of the others' queue times, as gossip does."""
    for upstreams in zip(*(r.get_all() for r in rotations), strict=True):
        performances = [upstream.performance for upstream in upstreams]
        total_s = sum(each.get_own_wait_s() for each in performances)
        for each in performances:
            each.waiting_elsewhere_s = total_s - each.get_own_wait_s()


def get_waits_elsewhere(rotation):
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


async def test_a_gateway_receives_the_queue_times_of_another():
    async with run_pair() as (_, (one, two)):
        upstream = one.get_ready("pool")[0]
        upstream.performance.waiting_s = 0.4
        await wait_until(lambda: get_waits_elsewhere(two)["w1"] == 0.4)
        assert get_waits_elsewhere(one)["w1"] == 0.0
        upstream.performance.waiting_s = 0.0
        await wait_until(lambda: get_waits_elsewhere(two)["w1"] == 0.0)


async def test_reports_of_a_stopped_gateway_expire():
    # A gateway is killed while it has requests waiting. Its last report must
    # expire: else the other gateways would avoid these upstreams indefinitely.
    async with run_pair() as (pair, (one, two)):
        one.get_ready("pool")[0].performance.waiting_s = 0.4
        await wait_until(lambda: get_waits_elsewhere(two)["w1"] == 0.4)
        await pair[0].stop()
        await asyncio.sleep(REPORT_TTL_S)
        await wait_until(lambda: get_waits_elsewhere(two)["w1"] == 0.0)


async def test_invalid_datagrams_change_nothing():
    # Datagrams that are no valid reports must be dropped without an effect.
    async with run_pair() as (pair, (_, two)):
        for data in (b"", b"x", DATAGRAM_KIND + bytes(12) + b"abc", bytes(40)):
            pair[1]._socket.dispatch(data, ("127.0.0.1", 1))
        assert set(get_waits_elsewhere(two).values()) == {0.0}


async def test_late_datagrams_do_not_undo_newer_ones():
    # Datagrams may arrive out of order: an older report must be ignored.
    async with run_pair() as (pair, (one, two)):
        sent = []
        pair[0]._socket.send = lambda kind, data, peer: sent.append(data)
        for wait_s in (0.9, 0.1):
            one.get_ready("pool")[0].performance.waiting_s = wait_s
            pair[0]._send()
        pair[1].apply_report(sent[1], ("127.0.0.1", 1))
        pair[1].apply_report(sent[0], ("127.0.0.1", 1))
        assert get_waits_elsewhere(two)["w1"] == 0.1


def test_requests_avoid_an_upstream_that_others_have_filled():
    rotation = make_rotation()
    upstreams = rotation.get_ready("pool")
    upstreams[0].performance.waiting_elsewhere_s = 2.0
    rng = random.Random(1)
    chosen = {
        choose_upstream(
            upstreams, (), AttemptCost(0.1, 0.1, str(seed)), "a", 0.0, rng
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
def test_many_gateways_report_to_their_zone_only(zones, per_zone):
    # Reports to all gateways are rare: they are 0.7 s old with 68 gateways and
    # 4 s old with 390. Reports to the gateways of one zone are three to ten
    # times as frequent, with no more datagrams.
    peers = make_peers(zones, per_zone)
    chosen = choose_gossip_targets(peers.keys(), peers, "z1")
    assert {peers[peer] for peer in chosen.peers} == {"z1"}
    assert chosen.ratio == zones
    assert REPORT_INTERVAL_S * len(chosen.peers) / PEERS_PER_INTERVAL <= 0.25


def test_few_gateways_report_to_all():
    peers = make_peers(5, 2)
    assert (
        choose_gossip_targets(peers.keys(), peers, "z1").peers == peers.keys()
    )


def test_a_gateway_in_a_small_zone_reports_to_all():
    peers = make_peers(6, 12)
    chosen = choose_gossip_targets(peers.keys(), peers, "elsewhere")
    assert chosen.peers == peers.keys()
    assert chosen.ratio == 1.0


def test_queue_times_are_extrapolated_from_the_zone():
    # Each of twelve gateways in this zone has a queue time of 0.02 s at an
    # upstream, and so have the gateways of the other zones, which sent no
    # report to this zone or sent one long ago.
    rotation = make_rotation()
    peers = make_peers(6, 12)
    socket = PeerSocket("10.1.0.200:9", Exposition())
    socket.peers = set(peers)
    gossip = Gossip("edge", "z1", socket, rotation)
    for peer, zone in peers.items():
        gossip.record_zone(peer, zone)
        reporter = Gossip(str(peer), zone, socket, make_rotation())
        upstream = reporter._rotation.get_ready("pool")[0]
        upstream.performance.waiting_s = 0.02
        sent = []
        socket.send = lambda kind, data, to, sent=sent: sent.append(data)
        reporter._send()
        run_in_loop(gossip.apply_report, sent[0], peer)
    assert get_waits_elsewhere(rotation)["w1"] == pytest.approx(72 * 0.02)


def run_in_loop(call, *arguments):
    async def run():
        call(*arguments)

    asyncio.run(run())


async def test_gateways_of_other_zones_get_keepalive_reports(monkeypatch):
    # Without these reports the other zones would remove this gateway from their
    # peers, and would not count it among the watchers.
    monkeypatch.setattr(gossip_module, "KEEPALIVE_INTERVAL_S", 0.3)
    peers = make_peers(6, 12)
    socket = PeerSocket("10.1.0.200:9", Exposition())
    socket.peers = set(peers)
    receivers = []
    socket.send = lambda kind, data, peer: receivers.append(peer)
    gossip = Gossip("edge", "z1", socket, make_rotation())
    for peer, zone in peers.items():
        gossip.record_zone(peer, zone)
    await gossip.start()
    try:
        await wait_until(lambda: receivers.count(("10.3.0.1", 9)) >= 2)
    finally:
        await gossip.stop()


@given(
    reports=st.lists(
        st.tuples(
            st.integers(0, 3),
            st.dictionaries(st.integers(0, 5), st.integers(0, 9)),
        ),
        max_size=40,
    )
)
def test_sums_are_those_of_the_last_reports(reports):
    waits, newest = ReportedWaits(), {}
    for gateway, report in reports:
        waits.replace(gateway, report)
        newest[gateway] = report
    for name in range(6):
        expected = sum(report.get(name, 0) for report in newest.values())
        assert waits.get(name) == expected


def test_cost_of_a_datagram_does_not_grow_with_all_upstreams(monkeypatch):
    # Guards against gateways whose CPU is used up by each other's datagrams
    # where there are thousands of upstreams.
    hash_calls = []
    get_name_hash = gossip_module._get_name_hash
    monkeypatch.setattr(
        gossip_module,
        "_get_name_hash",
        lambda upstream: hash_calls.append(1) or get_name_hash(upstream),
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
            entry = gossip_module._ENTRY.pack(get_name_hash(busy), sequence)
            head = gossip_module._HEAD.pack(99, sequence, 1)
            gossip.apply_report(head + b"a" + entry, ("10.0.0.2", 7000))
        assert busy.performance.waiting_elsewhere_s == pytest.approx(0.1)

    asyncio.run(run())
    assert len(hash_calls) <= 2 * 2000

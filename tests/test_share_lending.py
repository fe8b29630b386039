"""Tests how gateways lend each other shares of a limit."""

from __future__ import annotations

import asyncio
import bisect
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lab.ports import get_free_port
from lovagestage.decisions.demand import (
    SLICE_S,
    RequestRate,
    get_sufficient_rate,
)
from lovagestage.decisions.limit_sharing import (
    GatewaySet,
    RankedLimitPolicy,
    get_sharing_peers,
)
from lovagestage.decisions.send_rates import SendLog
from lovagestage.decisions.share_lending import (
    LEASE_S,
    NO_LOAN,
    BaseShare,
    Lease,
    LentShare,
    Loan,
)
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.limit_shares import LimitShares
from lovagestage.gateway.peers import PeerSocket
from lovagestage.gateway.share_exchange import (
    ASK_INTERVAL_S,
    MAX_LENDERS,
    ShareExchange,
)
from lovagestage.gateway.upstream_guard import STARTUP_DELAY_S
from tests.test_upstream_notices import make_rotation, state_limit

WINDOW_S = 4.0
STEP_S = 0.05
SERVICE = "pool"


def make_share(per_s=10.0, span_s=1.0):
    return LentShare(BaseShare(per_s, span_s), 0.0)


def get_rate(share, now_s):
    limit = share.get_rate_limit(now_s)
    return limit.requests / limit.span_s if limit.requests else 0.0


def test_lender_gives_up_what_it_lends_until_the_lease_has_ended():
    share = make_share(10.0)
    assert share.lend("b", 6.0, 2.0, 0, 5.0).per_s == pytest.approx(6.0)
    assert share.get_per_s(5.0) == pytest.approx(4.0)
    assert share.get_per_s(5.0 + LEASE_S - 0.01) == pytest.approx(4.0)
    assert share.get_per_s(5.0 + LEASE_S + 0.01) == pytest.approx(10.0)


def test_lender_keeps_what_it_needs():
    share = make_share(10.0)
    assert share.lend("b", 9.0, 4.0, 0, 5.0).per_s == pytest.approx(6.0)
    assert share.lend("c", 9.0, 4.0, 0, 5.0) is NO_LOAN
    assert share.get_per_s(5.0) == pytest.approx(4.0)


def test_share_of_one_request_is_lent_whole_or_not_at_all():
    loan = make_share(1.0).lend("b", 0.5, 0.0, 0, 5.0)
    assert loan.per_s == pytest.approx(1.0)
    assert make_share(1.0).lend("b", 0.5, 0.5, 0, 5.0) is NO_LOAN


def test_share_that_accrues_slowly_is_not_lent():
    # Guards against lenders that lose seconds of a small limit for nothing.
    share = make_share(0.2, 5.0)
    assert share.lend("b", 0.2, 0.0, 0, 5.0) is NO_LOAN
    assert get_rate(share, 5.0) == pytest.approx(0.2)


def test_renewed_lease_replaces_the_one_before():
    share = make_share(10.0)
    share.lend("b", 6.0, 2.0, 0, 5.0)
    assert share.lend("b", 8.0, 2.0, 0, 5.5).per_s == pytest.approx(8.0)
    assert share.get_per_s(5.5) == pytest.approx(2.0)


def test_smaller_lease_frees_nothing_before_the_larger_one_has_ended():
    # Guards against a part that is used twice where the newer lease is lost.
    share = make_share(10.0)
    share.lend("b", 6.0, 2.0, 0, 5.0)
    share.lend("b", 3.0, 2.0, 0, 5.5)
    assert share.get_per_s(5.6) == pytest.approx(4.0)
    assert share.get_per_s(5.0 + LEASE_S + 0.01) == pytest.approx(7.0)


def test_borrowed_part_allows_requests_only_as_it_accrues():
    # Guards against a lender and a borrower that each use the whole span.
    share = make_share(0.0)
    share.borrow("a", Lease(10.0, 5.0 + LEASE_S), 0.0, 5.0)
    assert share.get_rate_limit(5.0).requests == 0
    assert share.get_rate_limit(5.35).requests == 3
    assert share.get_rate_limit(5.0 + LEASE_S + 0.1).requests == 0


def test_what_has_accrued_goes_over_with_a_share():
    # Guards against a second without service at each gateway where requests
    # begin to arrive.
    lender, borrower = make_share(1.0), make_share(0.0)
    loan = lender.lend("b", 1.0, 0.0, 0, 5.0)
    assert loan.accrued == pytest.approx(1.0)
    borrower.borrow("a", Lease(loan.per_s, 6.5), loan.accrued, 5.1)
    assert borrower.get_rate_limit(5.1).requests == 1
    assert lender.get_rate_limit(5.0 + LEASE_S + 0.1).requests == 0


def test_what_the_lender_has_used_does_not_go_over():
    assert make_share(1.0).lend("b", 1.0, 0.0, 1, 5.0).accrued == 0.0
    loan = make_share(10.0).lend("b", 5.0, 5.0, 3, 5.0)
    assert loan.accrued == pytest.approx(2.0)


def test_renewal_brings_nothing_that_has_accrued():
    share = make_share(10.0)
    share.lend("b", 6.0, 2.0, 0, 5.0)
    assert share.lend("b", 6.0, 2.0, 0, 5.5).accrued == 0.0


def test_leases_end_before_a_lender_that_has_restarted_uses_its_share():
    assert LEASE_S < STARTUP_DELAY_S


class SimulatedGateway:
    def __init__(self, name, share):
        self.name = name
        self.share = share
        self.sends = SendLog()
        self.times_s = []

    def send_all(self, now_s):
        """Sends as many requests as are permitted."""
        while self.sends.has_capacity(self.share.get_rate_limit(now_s), now_s):
            self.sends.record_placed()
            self.sends.record_sent(now_s)
            self.times_s.append(now_s)


def lend_at_random(rng, gateways, now_s, lost_ratio, pending):
    """Lets a gateway lend to another one; the answer may be late or lost."""
    lender, borrower = rng.sample(gateways, 2)
    wanted = rng.uniform(0.0, 2.0 * max(1.0, lender.share.base.per_s))
    kept = rng.choice((0.0, lender.share.base.per_s * rng.random()))
    asked_s = now_s - rng.uniform(0.0, 0.5)
    sent = lender.sends.count_since(now_s - lender.share.base.span_s)
    loan = lender.share.lend(borrower.name, wanted, kept, sent, now_s)
    if loan.per_s and rng.random() >= lost_ratio:
        arrives_s = now_s + rng.uniform(0.0, LEASE_S)
        lease = Lease(loan.per_s, asked_s + LEASE_S)
        entry = (arrives_s, lender.name, borrower, lease, loan.accrued)
        pending.append(entry)


@settings(deadline=None)
@given(
    st.integers(2, 12),
    st.floats(0.1, 60.0),
    st.sampled_from((0.0, 0.5)),
    st.integers(0, 10**6),
)
def test_no_lending_lifts_the_sum_over_the_limit(count, per_s, lost, seed):
    # Guards against parts used twice where datagrams are late or lost: all
    # gateways send whenever they may, and a few do so now and then.
    rng = random.Random(seed)
    names = [f"10.0.0.{number}:7000" for number in range(count)]
    policy = RankedLimitPolicy()
    gateways = []
    for name in names:
        others = [other for other in names if other != name]
        base = policy.get_share(GatewaySet(name, others, others), "i-1", per_s)
        gateways.append(SimulatedGateway(name, LentShare(base, 0.0)))
    eager = rng.sample(gateways, rng.randint(1, count))
    pending = []
    for step in range(int(12.0 / STEP_S)):
        now_s = step * STEP_S
        if rng.random() < 0.5:
            lend_at_random(rng, gateways, now_s, lost, pending)
        for entry in [e for e in pending if e[0] <= now_s]:
            pending.remove(entry)
            _, lender, borrower, lease, accrued = entry
            borrower.share.borrow(lender, lease, accrued, now_s)
        total = sum(gateway.share.get_per_s(now_s) for gateway in gateways)
        assert total <= per_s * (1.0 + 1e-6)
        for gateway in gateways:
            if gateway in eager or rng.random() < 0.02:
                gateway.send_all(now_s)
    times_s = sorted(at_s for gateway in gateways for at_s in gateway.times_s)
    worst = max(
        (
            bisect.bisect_left(times_s, first_s + WINDOW_S) - index
            for index, first_s in enumerate(times_s)
        ),
        default=0,
    )
    assert worst <= 1.5 * per_s * WINDOW_S + 5


def test_rate_rises_within_a_second_and_falls_within_four():
    rate = RequestRate()
    for number in range(40):
        rate.record(10.0 + number * 0.025)
    assert rate.get_per_s(10.99) == pytest.approx(40.0)
    assert rate.get_per_s(12.5) == pytest.approx(10.0)
    assert rate.get_per_s(15.0 + SLICE_S) == 0.0


def test_rate_that_suffices_leaves_room_for_uneven_requests():
    assert get_sufficient_rate(0.0, 3.0) == 0.0
    assert get_sufficient_rate(9.0, 2.0) == pytest.approx(15.0)


def test_only_gateways_with_a_share_are_asked():
    names = [f"10.0.0.{number}:7000" for number in range(40)]
    gateways = GatewaySet(names[0], names[1:], names[1:])
    asked = get_sharing_peers(gateways, "i-1", 0.5)
    policy = RankedLimitPolicy()
    for name in asked:
        others = [other for other in names if other != name]
        share = policy.get_share(GatewaySet(name, others, others), "i-1", 0.5)
        assert share.per_s > 0.0
    assert 3 <= len(asked) <= 4


def make_limit_shares(own_name, names, per_s):
    """Makes the shares of one gateway, whose only upstream states a limit."""
    others = [name for name in names if name != own_name]
    gateways = GatewaySet(own_name, others, others)
    rotation = make_rotation()
    (upstream,) = rotation.get_all()
    upstream.record_answer_notices(state_limit(str(per_s)), 0.0, 0.0)
    shares = LimitShares(
        RankedLimitPolicy(), rotation, random.Random(1), lambda _: gateways
    )
    return rotation, upstream, shares


def record_requests(shares, per_s, start_s, duration_s):
    for number in range(int(per_s * duration_s)):
        shares.record_request(SERVICE, start_s + number / per_s)


def test_idle_gateway_lends_to_the_one_that_gets_most_requests():
    # Guards against equal shares, with which most requests are refused at one
    # gateway while the shares of the others lie idle.
    names = [f"10.0.0.{number}:7000" for number in range(6)]
    per_s, now_s = 30.0, 20.0
    parts = {n: make_limit_shares(n, names, per_s) for n in names}
    _, upstream, busy = parts[names[0]]
    record_requests(busy, 20.0, 18.0, 2.0)
    busy.get_rate_limit(upstream, per_s, now_s)
    wishes = busy.find_wishes(MAX_LENDERS, now_s)
    assert set(wishes) == set(names[1:])
    for lender, asked in wishes.items():
        _, known, shares = parts[lender]
        lent = shares.lend(known, names[0], asked[0].per_s, now_s)
        busy.borrow(upstream, lender, lent, now_s, now_s)
    limit = busy.get_rate_limit(upstream, per_s, now_s + 1.0)
    assert limit.requests / limit.span_s > 20.0
    assert not busy.find_wishes(MAX_LENDERS, now_s + 0.1)


def test_gateway_that_needs_its_share_lends_nothing():
    names = [f"10.0.0.{number}:7000" for number in range(3)]
    _, upstream, shares = make_limit_shares(names[0], names, 30.0)
    record_requests(shares, 12.0, 18.0, 2.0)
    assert shares.lend(upstream, names[1], 5.0, 20.0) is NO_LOAN


def test_limit_that_falls_takes_what_is_borrowed_with_it():
    # Guards against a second and a half of the old rate under a new limit.
    names = [f"10.0.0.{number}:7000" for number in range(3)]
    _, upstream, shares = make_limit_shares(names[0], names, 30.0)
    shares.get_rate_limit(upstream, 30.0, 20.0)
    shares.borrow(upstream, names[1], Loan(10.0), 20.0, 20.0)
    limit = shares.get_rate_limit(upstream, 3.0, 21.0)
    assert limit.requests / limit.span_s <= 2.0 + 1e-6


def test_late_answer_is_no_lease():
    names = [f"10.0.0.{number}:7000" for number in range(3)]
    _, upstream, shares = make_limit_shares(names[0], names, 30.0)
    shares.get_rate_limit(upstream, 30.0, 20.0)
    shares.borrow(upstream, names[1], Loan(5.0), 20.0 - LEASE_S - 0.1, 20.0)
    limit = shares.get_rate_limit(upstream, 30.0, 21.0)
    assert limit.requests / limit.span_s == pytest.approx(10.0)


async def test_share_moves_by_datagrams_to_where_the_requests_arrive():
    addresses = [f"127.0.0.1:{get_free_port()}" for _ in range(3)]
    sockets = [PeerSocket(address, Exposition()) for address in addresses]
    parts = [make_limit_shares(a, addresses, 30.0) for a in addresses]
    services = [
        ShareExchange(socket, rotation, shares)
        for socket, (rotation, _, shares) in zip(sockets, parts, strict=True)
    ]
    for socket in sockets:
        await socket.start()
        for address in addresses:
            socket.add_peer(address)
    for service in services:
        await service.start()
    try:
        _, upstream, busy = parts[0]
        now_s = get_elapsed_s()
        record_requests(busy, 20.0, now_s - 1.0, 1.0)
        busy.get_rate_limit(upstream, 30.0, now_s)
        async with asyncio.timeout(3.0):
            while True:
                now_s = get_elapsed_s()
                limit = busy.get_rate_limit(upstream, 30.0, now_s)
                if limit.requests / limit.span_s > 15.0:
                    break
                await asyncio.sleep(ASK_INTERVAL_S / 5)
    finally:
        for service in (*services, *sockets):
            await service.stop()

"""Tests how gateways share the request limit that an upstream states."""

from __future__ import annotations

import asyncio
import contextlib
import math
import struct

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from lab.experiments import request_limits as experiment
from lab.ports import get_free_port
from lovagestage.decisions.limit_sharing import (
    GatewaySet,
    RankedLimitPolicy,
)
from lovagestage.decisions.return_turns import ReturnTurns
from lovagestage.decisions.send_rates import (
    MAX_SEND_TIMES,
    SEND_TIME_RETENTION_S,
    RateLimit,
    SendLog,
    make_spaced_limit,
)
from lovagestage.decisions.share_lending import LentShare
from lovagestage.decisions.upstream_notices import (
    UNCONFIRMED_RETENTION_S,
    AnswerNotices,
    Denial,
    UpstreamNotices,
)
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.limit_exchange import LimitExchange
from lovagestage.gateway.peers import PeerSocket
from tests.gateway_harness import make_guard
from tests.test_upstream_notices import apply_entry, make_rotation, state_limit

WINDOW_S = 4.0
NAMES = [f"10.0.0.{number}:7000" for number in range(40)]


def make_set(own, names, **fields):
    others = [name for name in names if name != own]
    return GatewaySet(own, others, **{"live_peers": others, **fields})


def get_rate_limit(gateways, per_s):
    base = RankedLimitPolicy().get_share(gateways, "i-1", per_s)
    return LentShare(base, 0.0).get_rate_limit(0.0)


def get_shares(names, per_s, **fields):
    return [
        get_rate_limit(make_set(name, names, **fields), per_s) for name in names
    ]


@given(st.integers(1, 40), st.floats(0.1, 500.0))
def test_all_shares_together_keep_the_bound_in_any_window(count, per_s):
    # In the worst case, each gateway's first request falls into the window.
    worst = sum(
        share.requests * (math.floor(WINDOW_S / share.span_s) + 1)
        for share in get_shares(NAMES[:count], per_s)
        if share.requests
    )
    assert worst <= 1.5 * per_s * WINDOW_S + 5


@given(st.integers(1, 40), st.floats(0.1, 500.0))
def test_all_shares_together_are_the_limit(count, per_s):
    shares = get_shares(NAMES[:count], per_s)
    total = sum(share.requests / share.span_s for share in shares)
    assert total == pytest.approx(per_s)


def test_a_new_gateway_leaves_limited_upstreams_to_the_others():
    shares = get_shares(NAMES, 20.0, is_discovery_complete=False)
    assert {share.requests for share in shares} == {0}


def test_another_gateway_takes_the_share_of_one_that_is_silent():
    names = NAMES[:10]
    shares = get_shares(names, 0.5)
    silent = next(n for n, s in zip(names, shares, strict=True) if s.requests)
    live = [name for name in names if name != silent]
    total = sum(
        get_rate_limit(
            make_set(name, names, live_peers=[n for n in live if n != name]),
            0.5,
        ).requests
        > 0
        for name in live
    )
    assert total == sum(share.requests > 0 for share in shares)


def test_a_gateway_that_is_cut_off_keeps_the_size_of_its_share():
    cut = make_set(NAMES[0], NAMES, live_peers=())
    share = get_rate_limit(cut, 2.3)
    assert share.requests / share.span_s < 2.3 / 5


def test_gateways_without_discovery_send_few_requests():
    gateways = GatewaySet("", None)
    share = get_rate_limit(gateways, 2.3)
    assert share.requests / share.span_s < 2.3 / 30


def test_an_upstream_that_accepts_nothing_is_asked_rarely():
    shares = get_shares(NAMES[:5], 0.0)
    assert sum(s.requests / s.span_s for s in shares) <= 0.1 + 1e-9


@given(st.floats(1e-6, 1e6))
def test_spaced_limits_fit_into_the_log(per_s):
    share = make_spaced_limit(per_s)
    assert 1 <= share.requests < MAX_SEND_TIMES
    assert 0.0 < share.span_s <= SEND_TIME_RETENTION_S


@given(st.lists(st.floats(0.0, 3.0), max_size=20), st.integers(1, 4))
@example([1.1754943508222875e-38, 2.0], 1)
def test_a_request_may_be_sent_after_the_wait(gaps_s, requests):
    log, rate_limit, now_s = SendLog(), RateLimit(requests, 2.0), 0.0
    for gap_s in gaps_s:
        now_s += gap_s
        wait_s = log.get_wait_s(rate_limit, now_s)
        assert (wait_s == 0.0) == log.has_capacity(rate_limit, now_s)
        assert log.has_capacity(rate_limit, now_s + wait_s + 1e-6)
        if wait_s == 0.0:
            log.record_placed()
            log.record_sent(now_s)


def test_gateways_on_troubled_days_keep_the_limit(monkeypatch):
    # Guards against a rule that holds only while all gateways agree on which
    # gateways exist: some have just started, stopped for good or are cut off.
    monkeypatch.setattr(experiment, "DAYS", {3: 2, 31: 2})
    result = experiment.run(3)
    assert not any(case["broken"] for case in result.lovagestage.values())
    assert result.baseline["31 at 0.4 calm"]["broken"] > 0


def test_a_denied_request_is_told_when_to_return():
    notices, sends = UpstreamNotices(), SendLog()
    notices.record_answer(state_limit("2"), 0.0, 0.0)
    share = RateLimit(1, 0.5)
    assert notices.check(share, sends, 1.0, False).denial is None
    sends.record_placed()
    sends.record_sent(1.0)
    denied = notices.check(share, sends, 1.2, False)
    assert denied.denial is Denial.LIMITED
    assert denied.wait_s == pytest.approx(0.3)
    without_share = notices.check(RateLimit(0), sends, 1.2, False)
    assert without_share.wait_s == pytest.approx(0.5)


def test_requests_placed_before_a_limit_was_known_are_checked_again():
    notices, sends = UpstreamNotices(), SendLog()
    for _ in range(3):
        sends.record_placed()
    notices.record_answer(state_limit("2"), 0.0, 0.0)
    assert notices.check(RateLimit(2, 1.0), sends, 0.1, True).denial
    sends.record_withdrawn()
    assert not notices.check(RateLimit(2, 1.0), sends, 0.1, True).denial


def test_an_unconfirmed_limit_is_checked_by_few_gateways_at_a_time():
    notices = UpstreamNotices()
    notices.record_answer(state_limit("2"), 0.0, 0.0)
    places = [number / 390 for number in range(390)]

    def count_due(now_s):
        return sum(
            notices.is_limit_unconfirmed(390, place, now_s) for place in places
        )

    assert count_due(UNCONFIRMED_RETENTION_S - 1.0) == 0
    for start_s in range(60, 900, 50):
        assert count_due(start_s + WINDOW_S) - count_due(start_s) <= 3
    assert count_due(1000.0) == 390


@contextlib.asynccontextmanager
async def run_exchanges(count):
    """Yields rotations with one upstream, and guards, of several gateways."""
    addresses = [f"127.0.0.1:{get_free_port()}" for _ in range(count)]
    sockets = [PeerSocket(address, Exposition()) for address in addresses]
    rotations = [make_rotation() for _ in addresses]
    guards = [make_guard(rotation) for rotation in rotations]
    services = [
        LimitExchange(*parts)
        for parts in zip(sockets, rotations, guards, strict=True)
    ]
    for socket in sockets:
        await socket.start()
        for address in addresses:
            socket.add_peer(address)
    for service in services:
        await service.start()
    try:
        yield sockets, rotations, guards
    finally:
        for service in (*services, *sockets):
            await service.stop()


async def wait_for_limits(rotations, expected):
    async with asyncio.timeout(2.0):
        while [
            rotation.get_all()[0].notices.limit_per_s for rotation in rotations
        ] != expected:
            await asyncio.sleep(0.01)


async def test_gateways_learn_of_a_limit_and_its_end_from_each_other():
    # Guards against gateways without a share that hold back for ever, and
    # against those that the upstream has not told yet and that send on.
    async with run_exchanges(3) as (_, rotations, guards):
        (upstream,) = rotations[0].get_all()
        now_s = get_elapsed_s()
        guards[0].record_answer(upstream, state_limit("2.5"), now_s, now_s)
        await wait_for_limits(rotations, [2.5, 2.5, 2.5])
        now_s = get_elapsed_s()
        guards[0].record_answer(upstream, AnswerNotices(), now_s, now_s)
        await wait_for_limits(rotations, [None, None, None])


async def test_malformed_limits_of_other_gateways_are_dropped():
    async with run_exchanges(2) as (sockets, rotations, _):
        (upstream,) = rotations[1].get_all()
        name = upstream.get_process_hash()
        peer = sockets[1].own_address
        entry = struct.Struct(">IdH")
        for value in (math.nan, math.inf, -math.inf, -2.0, 1e300):
            sockets[0].send(b"lvl1", entry.pack(name, value, 0), peer)
        sockets[0].send(b"lvl1", b"short", peer)
        sockets[0].send(b"lvl1", entry.pack(name ^ 1, 3.0, 0), peer)
        sockets[0].send(b"lvl1", entry.pack(name, 3.0, 0), peer)
        await wait_for_limits(rotations[1:], [3.0])


async def test_a_limit_of_the_process_before_does_not_bind_the_next_one():
    async with run_exchanges(2) as (_, rotations, guards):
        apply_entry(rotations[1], 2, 2)
        (old,), (new,) = rotations[0].get_all(), rotations[1].get_all()
        now_s = get_elapsed_s()
        guards[0].record_answer(old, state_limit("2.5"), now_s, now_s)
        await asyncio.sleep(0.2)
        assert new.notices.limit_per_s is None


def test_an_upstream_that_comes_back_is_still_limited():
    # Guards against a limit that is dropped with an entry that expired while
    # the store was away: the process is the same.
    rotation = make_rotation()
    guard = make_guard(rotation)
    (upstream,) = rotation.get_all()
    guard.record_answer(upstream, state_limit("0.5"), 0.0, 0.0)
    rotation.apply("i-1", None, 2, 1.0, False)
    guard.get_denied(1.0)
    apply_entry(rotation, 1, 3)
    upstream.sends.record_placed()
    assert guard.get_denied(2.0) == {upstream}


def test_callers_that_are_refused_together_return_in_turn():
    turns = ReturnTurns()
    waits_s = [turns.assign(0.5, 1.0, 60.0, 10.0) for _ in range(3)]
    assert waits_s == pytest.approx([0.5, 1.5, 2.5])
    # Turns that have passed are free again.
    assert turns.assign(0.5, 1.0, 60.0, 20.0) == pytest.approx(0.5)


def test_a_turn_that_a_caller_cannot_use_stays_free():
    turns = ReturnTurns()
    assert turns.assign(0.5, 1.0, 60.0, 0.0) == pytest.approx(0.5)
    assert turns.assign(0.5, 1.0, 1.0, 0.0) == pytest.approx(1.5)
    assert turns.assign(0.5, 1.0, 60.0, 0.0) == pytest.approx(1.5)


def test_callers_return_together_after_a_rest():
    turns = ReturnTurns()
    assert {turns.assign(2.0, 0.0, 60.0, 0.0) for _ in range(3)} == {2.0}

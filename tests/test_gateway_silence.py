"""Upstreams that take requests and answer none."""

from __future__ import annotations

import asyncio
import heapq
import random

from lab import worker as lab
from lovagestage.gateway.choice import Work, choose_upstream
from lovagestage.gateway.silence import (
    MIN_PATIENCE_S,
    PATIENCE_MEANS,
    UNKNOWN_PATIENCE_S,
    Silence,
    get_patience_s,
)
from tests.gateway_stage import run_stage
from tests.test_gateway_gossip import NAMES, make_rotation, tell_waits

INTERVAL_S = 0.02
REQUESTS = 150
MOST_LOST = 30
"""A third of what comes in the patience of 0.25 s would be four; with those
that try it again and a slow machine's, far under the fifty of a third."""


def test_patience_grows_with_what_answers_take():
    assert get_patience_s(0.01) == MIN_PATIENCE_S
    assert get_patience_s(0.5) == PATIENCE_MEANS * 0.5
    assert get_patience_s(None) == UNKNOWN_PATIENCE_S


def test_silence_counts_while_a_request_waits():
    silence = Silence()
    assert not silence.is_stalled(99.0)
    number = silence.add(100.0, 0.25)
    assert not silence.is_stalled(100.2)
    assert silence.is_stalled(100.3)
    silence.remove(number)
    assert not silence.is_stalled(100.3)


def test_any_sign_shows_that_an_upstream_works():
    # A long prompt is read for a second; events of other streams come
    # meanwhile. The upstream is busy and does not hang.
    silence = Silence()
    silence.add(100.0, 0.25)
    for tenth in range(1, 11):
        silence.note_heard(100.0 + 0.1 * tenth)
        assert not silence.is_stalled(100.0 + 0.1 * tenth + 0.05)
    assert silence.is_stalled(101.3)


async def test_few_requests_find_out_that_an_upstream_hangs():
    # One of three upstreams takes each request and answers none, for as long
    # as it lasts. A request that may run once waits there until its deadline,
    # and nothing fails before. The others, fifty a second, must not follow.
    async def hang_unless_warm(arrival, writer):
        script = lab.hang
        if arrival.request_id.startswith("warm"):
            script = lab.answer_plain
        await script(arrival, writer)

    async with run_stage(2, lab.answer_plain) as stage:
        await stage.add_worker("w3", hang_unless_warm)
        rotation = stage.gateway.deployment.rotation
        await stage.wait_until(lambda: len(rotation.get_ready("pool")) == 3)
        for number in range(12):
            await stage.call("/unsafe/x", request_id=f"warm{number}")
        calls = []
        for number in range(REQUESTS):
            call = stage.call(
                "/unsafe/x", request_id=f"r{number}", Deadline_Ms="1500"
            )
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(INTERVAL_S)
        replies = await asyncio.gather(*calls)
    lost = sum(reply.status != 200 for reply in replies)
    assert lost <= MOST_LOST, lost


GATEWAYS = 24
PER_S = 73.0
HANG_S = 6.4
DEADLINE_S = 1.4
ANSWER_S = 0.03
GOSSIP_S = 0.24
MOST_FOUND_OUT = GATEWAYS
"""Fewer than one request for each gateway, over all of the time."""


class Fleet:
    """Gateways before one plain service of which an upstream hangs.

    Requests come at even intervals, each to a gateway drawn at random.
    """

    def __init__(self):
        self.rng = random.Random(5)
        self.rotations = [make_rotation() for _ in range(GATEWAYS)]
        self.ends = []
        self.lost = 0

    def run(self):
        gossip_s = 0.0
        for number in range(int(PER_S * HANG_S)):
            now_s = 100.0 + number / PER_S
            while self.ends and self.ends[0][0] <= now_s:
                _, _, end = heapq.heappop(self.ends)
                end()
            if now_s >= gossip_s:
                gossip_s = now_s + GOSSIP_S
                tell_waits(self.rotations)
            self.send(self.rng.choice(self.rotations), now_s, number)

    def send(self, rotation, now_s, number):
        work = Work(ANSWER_S, ANSWER_S)
        placement = choose_upstream(
            rotation.get_ready("pool"), (), work, "a", now_s, self.rng
        )
        upstream = placement.upstream
        performance = upstream.performance
        hangs = upstream.id == NAMES[-1]
        self.lost += hangs
        performance.note_sent(now_s)
        performance.running += 1
        performance.waiting_s += ANSWER_S
        waiting = performance.silence.add(now_s, get_patience_s(ANSWER_S))
        end_s = now_s + (DEADLINE_S if hangs else ANSWER_S)

        def end():
            if performance.silence.is_stalled(end_s):
                performance.note_absent(end_s)
            performance.silence.remove(waiting)
            performance.running -= 1
            performance.waiting_s -= ANSWER_S
            if not hangs:
                performance.silence.note_heard(end_s)
                performance.note_answer(False)

        heapq.heappush(self.ends, (end_s, number, end))


def test_gateways_tell_each_other_of_an_upstream_that_hangs():
    # 24 gateways get three plain requests a second each. One of three
    # upstreams takes what it is sent and answers nothing for six seconds. A
    # gateway has nothing else under way when its next request comes, and by
    # its own requests alone the one that hangs looks as idle as the others.
    fleet = Fleet()
    fleet.run()
    assert fleet.lost <= MOST_FOUND_OUT, fleet.lost

"""Tests the detection of upstreams that accept requests and answer none."""

from __future__ import annotations

import asyncio
import heapq
import random

from lab import worker as lab
from lovagestage.gateway.stall_detection import (
    DEFAULT_STALL_TIMEOUT_S,
    MIN_STALL_TIMEOUT_S,
    STALL_TIMEOUT_FACTOR,
    StallDetector,
    get_stall_timeout_s,
)
from lovagestage.gateway.upstream_choice import AttemptCost, choose_upstream
from tests.gateway_harness import run_gateway_harness
from tests.test_gateway_gossip import NAMES, exchange_queue_times, make_rotation

INTERVAL_S = 0.02
REQUESTS = 150
MAX_LOST = 30
"""Upper limit for failed requests. A third of the requests that arrive within
the stall timeout of 0.25 s would be four. With the requests that probe the
upstream again and those of a slow machine, the limit is far below fifty, which
would be a third of all requests."""


def test_stall_timeout_grows_with_the_expected_time():
    assert get_stall_timeout_s(0.01) == MIN_STALL_TIMEOUT_S
    assert get_stall_timeout_s(0.5) == STALL_TIMEOUT_FACTOR * 0.5
    assert get_stall_timeout_s(None) == DEFAULT_STALL_TIMEOUT_S


def test_an_upstream_is_stalled_only_while_a_request_waits():
    detector = StallDetector()
    assert not detector.is_stalled(99.0)
    number = detector.add(100.0, 0.25)
    assert not detector.is_stalled(100.2)
    assert detector.is_stalled(100.3)
    detector.remove(number)
    assert not detector.is_stalled(100.3)


def test_any_data_shows_that_an_upstream_works():
    # The prefill of a long prompt takes a second, and events of other streams
    # arrive in that time. The upstream is busy and has not stalled.
    detector = StallDetector()
    detector.add(100.0, 0.25)
    for tenth in range(1, 11):
        detector.record_data(100.0 + 0.1 * tenth)
        assert not detector.is_stalled(100.0 + 0.1 * tenth + 0.05)
    assert detector.is_stalled(101.3)


async def test_few_requests_fail_before_a_stall_is_detected():
    # One of three upstreams accepts each request and answers none during the
    # entire test. A request that must not run twice waits there until its
    # deadline, and no failure occurs before that. The further requests, fifty a
    # second, must not be sent to the same upstream.
    async def hang_unless_warm(arrival, writer):
        script = lab.hang
        if arrival.request_id.startswith("warm"):
            script = lab.answer_plain
        await script(arrival, writer)

    async with run_gateway_harness(2, lab.answer_plain) as harness:
        await harness.add_worker("w3", hang_unless_warm)
        rotation = harness.gateway.deployment.rotation
        await harness.wait_until(lambda: len(rotation.get_ready("pool")) == 3)
        for number in range(12):
            await harness.call("/unsafe/x", request_id=f"warm{number}")
        calls = []
        for number in range(REQUESTS):
            call = harness.call(
                "/unsafe/x", request_id=f"r{number}", Deadline_Ms="1500"
            )
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(INTERVAL_S)
        replies = await asyncio.gather(*calls)
    lost = sum(reply.status != 200 for reply in replies)
    assert lost <= MAX_LOST, lost


GATEWAYS = 24
PER_S = 73.0
HANG_S = 6.4
DEADLINE_S = 1.4
ANSWER_S = 0.03
GOSSIP_S = 0.24
MAX_FLEET_LOST = GATEWAYS
"""Upper limit for lost requests: one for each gateway on average, over the
entire time in which the upstream hangs."""


class Fleet:
    """Simulated gateways with one plain service, of which one upstream hangs.

    Requests arrive at regular intervals, each at a random gateway.
    """

    def __init__(self):
        self.rng = random.Random(5)
        self.rotations = [make_rotation() for _ in range(GATEWAYS)]
        self.pending_ends = []
        self.lost = 0

    def run(self):
        next_gossip_s = 0.0
        for number in range(int(PER_S * HANG_S)):
            now_s = 100.0 + number / PER_S
            while self.pending_ends and self.pending_ends[0][0] <= now_s:
                _, _, end = heapq.heappop(self.pending_ends)
                end()
            if now_s >= next_gossip_s:
                next_gossip_s = now_s + GOSSIP_S
                exchange_queue_times(self.rotations)
            self.send(self.rng.choice(self.rotations), now_s, number)

    def send(self, rotation, now_s, number):
        work = AttemptCost(ANSWER_S, ANSWER_S)
        placement = choose_upstream(
            rotation.get_ready("pool"), (), work, "a", now_s, self.rng
        )
        upstream = placement.upstream
        performance = upstream.performance
        hangs = upstream.id == NAMES[-1]
        self.lost += hangs
        performance.record_sent(now_s)
        performance.running += 1
        performance.waiting_s += ANSWER_S
        wait_number = performance.stall_detector.add(
            now_s, get_stall_timeout_s(ANSWER_S)
        )
        end_s = now_s + (DEADLINE_S if hangs else ANSWER_S)

        def end():
            if performance.stall_detector.is_stalled(end_s):
                performance.record_unreachable(end_s)
            performance.stall_detector.remove(wait_number)
            performance.running -= 1
            performance.waiting_s -= ANSWER_S
            if not hangs:
                performance.stall_detector.record_data(end_s)
                performance.record_answer(False)

        heapq.heappush(self.pending_ends, (end_s, number, end))


def test_gateways_detect_a_stalled_upstream_together():
    # Each of 24 gateways receives three plain requests a second. One of three
    # upstreams accepts requests and answers none for six seconds. A gateway has
    # no other request in progress when its next one arrives, and judged by the
    # gateway's own requests only, the upstream that hangs looks as idle as the
    # others.
    fleet = Fleet()
    fleet.run()
    assert fleet.lost <= MAX_FLEET_LOST, fleet.lost

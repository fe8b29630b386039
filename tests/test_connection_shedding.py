"""Connections that an overloaded gateway closes before it reads from them."""

from __future__ import annotations

import asyncio
import random

import pytest

from lovagestage.decisions.connection_shedding import (
    MAX_SHARE,
    TARGET_DELAY_S,
    WINDOW_S,
    ConnectionShedding,
)
from lovagestage.gateway import overload
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.overload import OverloadWatch
from lovagestage.gateway.server import CallerServer
from lovagestage.timers import TimerService

CHECKS = 8
"""Checks of the delay in a window."""


def record_window(shedding, start_s, delays_s):
    step_s = WINDOW_S / len(delays_s)
    for number, delay_s in enumerate(delays_s, start=1):
        shedding.record_delay(delay_s, start_s + number * step_s + 1e-9)


def make_shedding(windows, delay_s):
    shedding = ConnectionShedding(0.0)
    for number in range(windows):
        record_window(shedding, number * WINDOW_S, [delay_s] * CHECKS)
    return shedding


def test_one_long_turn_of_the_loop_is_no_overload():
    shedding = ConnectionShedding(0.0)
    record_window(shedding, 0.0, [2.0, *[0.0] * (CHECKS - 1)])
    assert shedding.share == 0.0


def test_most_connections_are_closed_within_two_seconds_of_heavy_overload():
    shedding = make_shedding(int(2.0 / WINDOW_S), 10 * TARGET_DELAY_S)
    assert shedding.share == MAX_SHARE
    assert not shedding.admits(MAX_SHARE - 0.01)


def test_some_connections_are_served_under_any_overload():
    shedding = make_shedding(100, 100.0)
    assert shedding.admits(MAX_SHARE)


def test_all_connections_are_served_again_after_an_overload():
    shedding = make_shedding(20, 1.0)
    for number in range(20, 60):
        record_window(shedding, number * WINDOW_S, [0.0] * CHECKS)
    assert shedding.share == 0.0
    assert shedding.admits(0.0)


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def watched(monkeypatch):
    """A watch on an event loop that is far too slow, and its peers."""
    clock, peers = Clock(), ["edge-1"]
    monkeypatch.setattr(overload, "get_elapsed_s", clock)
    timers = TimerService(clock)
    watch = OverloadWatch(
        timers, Exposition(), random.Random(1), lambda: len(peers)
    )
    for _ in range(20):
        clock.now_s += 0.5
        timers.fire_due()
    return watch, peers


def test_overloaded_gateway_closes_most_connections(watched):
    watch, _ = watched
    admitted = sum(watch.admits_connection() for _ in range(1000))
    assert 50 < admitted < 200


def test_only_gateway_closes_none(watched):
    # Guards against callers that nobody else can serve.
    watch, peers = watched
    peers.clear()
    assert all(watch.admits_connection() for _ in range(100))


async def test_shed_connection_is_closed_before_its_request_is_read():
    # Guards against a request that was read and got no answer.
    async def fail(request, connection):
        raise AssertionError(request)

    server = CallerServer(fail, lambda: None, lambda: False)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server._make_channel, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /safe/x HTTP/1.1\r\nHost: x\r\n\r\n")
    try:
        async with asyncio.timeout(2.0):
            assert await reader.read() == b""
    except ConnectionResetError:
        pass
    assert server.open_connections == 0
    writer.close()
    listener.close()

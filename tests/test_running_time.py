"""Timeouts that a stall of the gateway's own process does not use up."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from lovagestage.adapters.http1 import open_channel
from lovagestage.adapters.running_time import timeout_while_running
from lovagestage.exceptions import UpstreamConnectionError
from tests.gateway_harness import run_gateway_harness


async def stall(loop, times, stall_s):
    """Lets the event loop stand still some times in a row."""
    for _ in range(times):
        loop.call_soon(_block, stall_s)
        await asyncio.sleep(0)


def _block(stall_s):
    time.sleep(stall_s)


@pytest.mark.parametrize(("stalls", "stall_s"), [(6, 0.25), (1, 0.5)])
async def test_own_stall_is_not_taken_for_an_upstream_that_cannot_be_reached(
    stalls, stall_s
):
    # Guards against 503 for a caller whose upstream had accepted in time.
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    opening = asyncio.ensure_future(open_channel(f"127.0.0.1:{port}", 0.4))
    await asyncio.sleep(0)
    await stall(loop, stalls, stall_s)
    channel = await opening
    assert channel.is_open
    channel.abort()
    server.close()


async def test_upstream_that_does_not_accept_is_given_up_in_time():
    # The queue of a socket that accepts none is full after some connections.
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    loop = asyncio.get_running_loop()
    channels, began_s = [], loop.time()
    with pytest.raises(UpstreamConnectionError):
        for _ in range(8):
            began_s = loop.time()
            channels.append(await open_channel(address, 0.3))
    assert 0.25 < loop.time() - began_s < 1.0
    for channel in channels:
        channel.abort()
    listener.close()


async def test_a_stall_counts_for_one_part_of_a_timeout():
    began_s = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        async with timeout_while_running(0.3):
            _block(0.4)
            await asyncio.sleep(5.0)
    time_s = asyncio.get_running_loop().time() - began_s
    assert time_s > 0.6


async def test_own_stall_refuses_no_caller():
    # Guards against 503 from a gateway that stood still while it connected to
    # the only upstream that was left.
    async with run_gateway_harness(1) as harness:
        loop = asyncio.get_running_loop()
        calls = [
            asyncio.ensure_future(harness.call(f"/{kind}/x"))
            for kind in ("safe", "unsafe")
        ]
        await stall(loop, 14, 0.15)
        replies = await asyncio.gather(*calls)
        assert [reply.status for reply in replies] == [200, 200]

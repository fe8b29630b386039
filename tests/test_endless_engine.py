"""Tests engines that send without end."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest

from lovagestage.adapters.http_engine import HttpEngine
from lovagestage.exceptions import EngineError

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
LIMIT_S = 2.0


@contextlib.asynccontextmanager
async def run_engine(block):
    """Runs an engine whose answers are one block again and again."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(block)
                await writer.drain()
                await asyncio.sleep(0)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server, aiohttp.ClientSession() as session:
        yield HttpEngine(session, f"http://{host}:{port}", lambda *_: None)


@pytest.mark.parametrize("size", [1, 65536])
async def test_an_event_without_end_is_a_failure_of_the_engine(size):
    # It was kept in memory until the stream's time was over.
    async with run_engine(b"x" * size) as engine:
        with pytest.raises(EngineError):
            async with asyncio.timeout(LIMIT_S):
                async for _ in engine.run("r1", 1, b"{}"):
                    pass


async def test_a_state_without_end_is_a_failure_of_the_engine():
    async with run_engine(b"x" * 65536) as engine:
        with pytest.raises(EngineError, match="too long"):
            await engine.get_load()

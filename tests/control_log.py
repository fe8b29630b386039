"""Log service for tests of the control log, with readers that use it."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable

import aiohttp
from aiohttp.test_utils import TestServer

from lab.log import LogService
from lovagestage.adapters.http_log import HttpLog
from lovagestage.control.reader import ControlReader


class ControlLog:
    """A running log service, its faults, and the services started on it.

    The started services are stopped when `serve_log` ends.
    """

    def __init__(self, service, server, session, stack):
        self.faults = service.faults
        self.url = str(server.make_url(""))
        self.log = HttpLog(session, self.url)
        self._stack = stack

    async def start(self, service):
        await self._stack.enter_async_context(service)
        return service

    async def start_reader(self, **options) -> ControlReader:
        return await self.start(ControlReader(self.log, **options))


@contextlib.asynccontextmanager
async def serve_log(retain_records: int = 10_000):
    service = LogService(100_000.0, 100_000.0, retain_records)
    async with (
        TestServer(service.app()) as server,
        aiohttp.ClientSession() as session,
        contextlib.AsyncExitStack() as stack,
    ):
        yield ControlLog(service, server, session, stack)


async def wait_for(condition: Callable[[], bool], timeout_s: float = 8.0):
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, "The condition did not come true."
        await asyncio.sleep(0.01)

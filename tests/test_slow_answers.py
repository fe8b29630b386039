"""Answers of outside systems that a narrow link carries only slowly."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json

import aiohttp
import pytest
from aiohttp import web

from lab.server import hang, start_app
from lovagestage.adapters import http_calls
from lovagestage.adapters.http_log import HttpLog
from lovagestage.adapters.http_rater import HttpRater
from lovagestage.adapters.http_vm_list import HttpVmList
from lovagestage.exceptions import LogUnavailableError

SILENCE_S = 0.3
SLICES = 10
SLICE_S = 0.1
"""A whole answer takes over three times as long as a silent end is waited
for, and no part of it does."""
LOG_PAGE = {
    "first_offset": 0,
    "next_offset": 1,
    "records": [{"offset": 0, "data": base64.b64encode(b"x" * 4000).decode()}],
}


@contextlib.asynccontextmanager
async def serve(answer, stops=False):
    """Serves one answer for every path, in slices with pauses between."""
    data = json.dumps(answer).encode()
    size = len(data) // SLICES + 1

    async def handle(request):
        response = web.StreamResponse()
        response.content_length = len(data)
        await response.prepare(request)
        for start in range(0, len(data), size):
            await asyncio.sleep(SLICE_S)
            await response.write(data[start : start + size])
            if stops:
                await hang(request)
        return response

    app = web.Application()
    app.router.add_get("/{path:.*}", handle)
    runner, port = await start_app(app, "127.0.0.1", 0)
    async with aiohttp.ClientSession() as session:
        try:
            yield session, f"http://127.0.0.1:{port}"
        finally:
            await runner.cleanup()


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(http_calls, "SHORT_CALL_TIMEOUT_S", SILENCE_S)


async def test_page_of_the_log_that_takes_long_is_read():
    # Guards against a process that never gets past one large page of the log.
    async with serve(LOG_PAGE) as (session, url):
        page = await HttpLog(session, url).read("control", 0, 500, 0.0)
        assert page.records[0][1] == b"x" * 4000


async def test_ratings_that_take_long_are_read():
    # Guards against ratings that pile up and are never read any more.
    page = {"next": 0, "ratings": [], "padding": "x" * 4000}
    async with serve(page) as (session, url):
        await HttpRater(session, url).read(0)


async def test_list_of_vms_that_takes_long_is_read():
    # Guards against a fleet whose list has grown and is never read any more.
    answer = {"vms": [], "padding": "x" * 4000}
    async with serve(answer) as (session, url):
        assert await HttpVmList(session, url).get_vms() == []


async def test_log_that_stops_midway_is_given_up():
    async with serve(LOG_PAGE, stops=True) as (session, url):
        async with asyncio.timeout(5 * SILENCE_S):
            with pytest.raises(LogUnavailableError):
                await HttpLog(session, url).read("control", 0, 500, 0.0)

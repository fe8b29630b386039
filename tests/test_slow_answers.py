"""Responses of the platform's services that arrive slowly over a thin link."""

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

INACTIVITY_TIMEOUT_S = 0.3
SLICES = 10
SLICE_INTERVAL_S = 0.1
"""Time between two slices of a response. A complete response takes over three
times the inactivity timeout, and no pause within it reaches the timeout."""
LOG_PAGE = {
    "first_offset": 0,
    "next_offset": 1,
    "records": [{"offset": 0, "data": base64.b64encode(b"x" * 4000).decode()}],
}


@contextlib.asynccontextmanager
async def serve_slowly(answer, stops_midway=False):
    """Serves the same response for every path, in slices with pauses between.

    Args:
        answer: Content of the response, sent as JSON.
        stops_midway: Whether the server stops sending after the first slice.
    """
    data = json.dumps(answer).encode()
    slice_bytes = len(data) // SLICES + 1

    async def handle(request):
        response = web.StreamResponse()
        response.content_length = len(data)
        await response.prepare(request)
        for start in range(0, len(data), slice_bytes):
            await asyncio.sleep(SLICE_INTERVAL_S)
            await response.write(data[start : start + slice_bytes])
            if stops_midway:
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
def shorten_timeout(monkeypatch):
    monkeypatch.setattr(
        http_calls, "SHORT_CALL_TIMEOUT_S", INACTIVITY_TIMEOUT_S
    )


async def test_page_of_the_log_that_takes_long_is_read():
    # Guards against a timeout on the total transfer: a process would then
    # never read one large page of the log and the records after it.
    async with serve_slowly(LOG_PAGE) as (session, url):
        page = await HttpLog(session, url).read("control", 0, 500, 0.0)
        assert page.records[0][1] == b"x" * 4000


async def test_ratings_that_take_long_are_read():
    # Guards against ratings that accumulate until their page is too large to
    # be read within a timeout on the total transfer.
    page = {"next": 0, "ratings": [], "padding": "x" * 4000}
    async with serve_slowly(page) as (session, url):
        await HttpRater(session, url).read(0)


async def test_list_of_vms_that_takes_long_is_read():
    # Guards against a list of VMs that has grown until it can't be read
    # within a timeout on the total transfer.
    answer = {"vms": [], "padding": "x" * 4000}
    async with serve_slowly(answer) as (session, url):
        assert await HttpVmList(session, url).get_vms() == []


async def test_log_that_stops_midway_is_given_up():
    async with serve_slowly(LOG_PAGE, stops_midway=True) as (session, url):
        async with asyncio.timeout(5 * INACTIVITY_TIMEOUT_S):
            with pytest.raises(LogUnavailableError):
                await HttpLog(session, url).read("control", 0, 500, 0.0)

"""Log service: append-only streams in memory with a rate limit on appends."""

from __future__ import annotations

import argparse
import asyncio
import base64
import contextlib
from typing import Any

from aiohttp import web

from lab.bucket import TokenBucket
from lab.faults import Faults, error
from lab.server import add_server_arguments, hang, make_app, run_app

MAX_WAIT_MS = 30_000.0
"""Longest time in milliseconds that a read may wait for a record."""
DEFAULT_LIMIT = 1000
"""Number of records returned by a read without a limit."""
MAX_LIMIT = 10_000


class LogFaults(Faults):
    """Injectable faults of the log service."""

    # Answers 503 to every call.
    outage: bool = False
    # Delays each response by this time, after the call took effect.
    slow_ms: float = 0.0
    # The next N appends take effect but are answered with 500.
    lose_answer: int = 0
    # Calls neither take effect nor get a response.
    stall: bool = False


class Stream:
    """Records of one stream; the oldest records expire.

    Args:
        retain_records: Number of records that can still be read.
    """

    def __init__(self, retain_records: int) -> None:
        self._retain_records = retain_records
        self._records: list[bytes] = []
        self._base_offset = 0
        self._appended = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Offset that the next appended record will get."""
        return self._base_offset + len(self._records)

    @property
    def first_offset(self) -> int:
        """Offset of the oldest retained record."""
        return max(0, self.next_offset - self._retain_records)

    def append(self, data: bytes) -> int:
        """Adds a record, wakes waiting readers and returns the offset."""
        offset = self.next_offset
        self._records.append(data)
        if len(self._records) > 2 * self._retain_records:
            expired = self.first_offset - self._base_offset
            del self._records[:expired]
            self._base_offset += expired
        self._appended.set()
        self._appended.clear()
        return offset

    def read(self, start: int, limit: int) -> list[tuple[int, bytes]]:
        """Returns at most `limit` records from offset `start`, with offsets."""
        index = start - self._base_offset
        return list(enumerate(self._records[index : index + limit], start))

    async def wait_for(self, offset: int, timeout_s: float) -> None:
        """Waits until the record at `offset` exists or the timeout expires."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.next_offset <= offset:
                    await self._appended.wait()


class LogService:
    """The log's streams and their HTTP handlers.

    Args:
        append_rate_per_s: Mean number of admitted appends per second.
        burst: Maximum number of appends admitted without a pause.
        retain_records: Number of records that each stream retains.
    """

    def __init__(
        self, append_rate_per_s: float, burst: float, retain_records: int
    ) -> None:
        self.faults = LogFaults()
        self._bucket = TokenBucket(append_rate_per_s, burst)
        self._retain_records = retain_records
        self._streams: dict[str, Stream] = {}
        self._appends: dict[str, int] = {}
        self._rejected = 0
        self._lost = 0

    def app(self) -> web.Application:
        """Creates the web application that serves this log."""
        app = make_app(self.faults, self.stats)
        path = "/v1/streams/{stream}/records"
        app.router.add_post(path, self._handle_append)
        app.router.add_get(path, self._handle_read)
        return app

    def stats(self) -> dict[str, Any]:
        """Returns counts of appends, rejections and lost answers."""
        return {
            "appends": self._appends,
            "rejected": self._rejected,
            "lost": self._lost,
        }

    def _get_stream(self, request: web.Request) -> Stream:
        name = request.match_info["stream"]
        if name not in self._streams:
            self._streams[name] = Stream(self._retain_records)
        return self._streams[name]

    async def _check_faults(self, request: web.Request) -> web.Response | None:
        if self.faults.stall:
            await hang(request)
        if self.faults.outage or self.faults.stall:
            return error(503, "outage")
        return None

    async def _handle_append(self, request: web.Request) -> web.Response:
        data = await request.read()
        refusal = await self._check_faults(request)
        if refusal is not None:
            return refusal
        if not self._bucket.try_acquire():
            self._rejected += 1
            wait_ms = self._bucket.get_wait_s() * 1000
            return error(429, "append_rate", retry_after_ms=wait_ms)
        offset = self._get_stream(request).append(data)
        name = request.match_info["stream"]
        self._appends[name] = self._appends.get(name, 0) + 1
        lost = self.faults.lose_answer > 0
        if lost:
            self.faults.lose_answer -= 1
            self._lost += 1
        await asyncio.sleep(self.faults.slow_ms / 1000)
        if lost:
            return error(500, "lost")
        return web.json_response({"offset": offset})

    async def _handle_read(self, request: web.Request) -> web.Response:
        refusal = await self._check_faults(request)
        if refusal is not None:
            return refusal
        try:
            start = int(request.query.get("from", "0"))
            limit = int(request.query.get("limit", str(DEFAULT_LIMIT)))
            wait_ms = float(request.query.get("wait_ms", "0"))
        except ValueError:
            return error(400, "wrong_query")
        if start < 0 or limit < 1 or not 0 <= wait_ms <= MAX_WAIT_MS:
            return error(400, "wrong_query")
        stream = self._get_stream(request)
        await stream.wait_for(start, wait_ms / 1000)
        await asyncio.sleep(self.faults.slow_ms / 1000)
        refusal = await self._check_faults(request)
        if refusal is not None:
            return refusal
        return _make_read_response(stream, start, min(limit, MAX_LIMIT))


def _make_read_response(stream: Stream, start: int, limit: int) -> web.Response:
    first_offset = stream.first_offset
    if start < first_offset:
        return error(410, "below_horizon", first_offset=first_offset)
    records = [
        {"offset": offset, "data": base64.b64encode(data).decode()}
        for offset, data in stream.read(start, limit)
    ]
    return web.json_response(
        {
            "first_offset": first_offset,
            "next_offset": stream.next_offset,
            "records": records,
        }
    )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    add_server_arguments(parser)
    parser.add_argument("--append-rate", type=float, default=300.0)
    parser.add_argument("--append-burst", type=float, default=30.0)
    parser.add_argument("--retain-records", type=int, default=100_000)


def run(args: argparse.Namespace) -> int:
    def build() -> web.Application:
        return LogService(
            args.append_rate, args.append_burst, args.retain_records
        ).app()

    return run_app(build, args.host, args.port)

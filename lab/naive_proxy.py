"""Naive reverse proxy: round robin over engines with unconditional retries.

It is the baseline of the failover experiment. It collects bills in memory,
appends them to the log in batches, and polls the log every few seconds for
withdrawn versions.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import secrets
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from lab.faults import error
from lab.server import add_server_arguments, run_app
from lovagestage.adapters.http_log import HttpLog
from lovagestage.decisions.billing import (
    BILLING_STREAM,
    Batch,
    Bill,
    encode_batch,
)
from lovagestage.exceptions import CodecError, LogError
from lovagestage.state.document import ServiceDocument, VersionState
from lovagestage.state.records import (
    CONTROL_STREAM,
    DocumentChange,
    decode_record,
)
from lovagestage.types import Offset, RequestId, ServiceId, WorkspaceId

MAX_ATTEMPTS = 3
"""Maximum number of attempts of a request."""
TIMEOUT_S = 30.0
"""Time limit in seconds of one attempt."""
POLL_INTERVAL_S = 2.0
"""Interval in seconds between two reads of the control stream."""
FLUSH_INTERVAL_S = 4.0
"""Interval in seconds between two appends of bills."""
READ_LIMIT = 500
"""Maximum number of records per read of the control stream."""
CLASS_MODELS = {"policy-draft": "large@1"}
DEFAULT_MODEL = "small@1"


class NaiveProxy:
    """One naive proxy with its HTTP handlers.

    Args:
        engines: Base URLs of the engines.
        log_url: URL of the log service.
    """

    def __init__(self, engines: list[str], log_url: str) -> None:
        self._engines = itertools.cycle(engines)
        self._log_url = log_url
        self._withdrawn: set[str] = set()
        self._bills: list[bytes] = []

    def app(self) -> web.Application:
        """Creates the web application that serves this proxy."""
        app = web.Application()
        app.router.add_get("/healthz", self._handle_health)
        app.router.add_post("/v1/chat/completions", self._handle_chat)
        app.cleanup_ctx.append(self._run_loops)
        return app

    async def _run_loops(self, _app: web.Application) -> AsyncIterator[None]:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            self._session = session
            self._log = HttpLog(session, self._log_url)
            loops = (self._read_control(), self._append_bills())
            tasks = [asyncio.create_task(loop) for loop in loops]
            yield
            for task in tasks:
                task.cancel()

    async def _handle_health(self, _request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _handle_chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        body["model"] = self._get_model(request, body["model"])
        if body["model"] in self._withdrawn:
            return error(403, "version_withdrawn")
        request_id = secrets.token_hex(16)
        for _ in range(MAX_ATTEMPTS):
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                return await self._forward(request, body, request_id)
        return error(503, "no_capacity", run="not_run")

    def _get_model(self, request: web.Request, name: str) -> str:
        if "@" in name:
            return name
        request_class = request.headers.get("X-Request-Class", "")
        return CLASS_MODELS.get(request_class, DEFAULT_MODEL)

    async def _forward(
        self, request: web.Request, body: dict[str, Any], request_id: str
    ) -> web.StreamResponse:
        headers = {"X-Request-Id": request_id}
        url = f"{next(self._engines)}/v1/chat/completions"
        async with self._session.post(
            url, json=body, headers=headers
        ) as answer:
            answer.raise_for_status()
            response_headers = {
                "X-Request-Id": request_id,
                "X-Model-Version": body["model"],
            }
            if not body.get("stream"):
                data = await answer.read()
                self._record_bill(request_id, body["model"])
                return web.Response(
                    body=data,
                    headers=response_headers,
                    content_type="application/json",
                )
            response = web.StreamResponse(headers=response_headers)
            response.content_type = "text/event-stream"
            await response.prepare(request)
            try:
                async for chunk in answer.content.iter_any():
                    await response.write(chunk)
            except (aiohttp.ClientError, TimeoutError):
                return response
            self._record_bill(request_id, body["model"])
            await response.write_eof()
            return response

    def _record_bill(self, request_id: str, model: str) -> None:
        bill = Bill(
            RequestId(request_id),
            WorkspaceId("audit"),
            ServiceId("vault"),
            model,
            int(time.time()),
            0,
            0,
        )
        self._bills.append(msgspec.msgpack.encode(bill))

    async def _append_bills(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            bills, self._bills = self._bills, []
            if bills:
                batch = Batch(len(bills), bills)
                with contextlib.suppress(LogError):
                    await self._log.append(BILLING_STREAM, encode_batch(batch))

    async def _read_control(self) -> None:
        offset = Offset(0)
        while True:
            with contextlib.suppress(LogError):
                page = await self._log.read(
                    CONTROL_STREAM, offset, READ_LIMIT, 0.0
                )
                for record_offset, data in page.records:
                    self._apply_record(data)
                    offset = Offset(record_offset + 1)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _apply_record(self, data: bytes) -> None:
        with contextlib.suppress(CodecError):
            record = decode_record(data)
            if isinstance(record, DocumentChange):
                document = msgspec.json.decode(
                    record.document, type=ServiceDocument
                )
                self._withdrawn = {
                    version.name
                    for version in document.versions
                    if version.state is VersionState.WITHDRAWN
                }


def add_arguments(parser: argparse.ArgumentParser) -> None:
    add_server_arguments(parser)
    parser.add_argument("--engines", required=True, help="JSON list of URLs")
    parser.add_argument("--log", required=True, help="URL of the log service")


def run(args: argparse.Namespace) -> int:
    def build() -> web.Application:
        return NaiveProxy(json.loads(args.engines), args.log).app()

    return run_app(build, args.host, args.port)

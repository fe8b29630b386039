"""Plain service: a non-idempotent call, a read-only call and an echo."""

from __future__ import annotations

import argparse
import asyncio
import os
from collections import Counter
from typing import Any

from aiohttp import web

from lab.faults import Faults, error
from lab.server import add_server_arguments, hang, make_app, run_app


class PlainFaults(Faults):
    """Injectable faults of the plain service."""

    # Exits the process at the next call.
    crash: bool = False
    # Delays each response by this time, after the call has run.
    slow_ms: float = 0.0
    # The next N calls run, but their connections are reset without a response.
    drop_after_run: int = 0
    # Calls neither run nor get a response.
    stall: bool = False
    # Answers 503 to every call, which does not run.
    outage: bool = False


class PlainService:
    """The plain service's run counters and HTTP handlers."""

    def __init__(self) -> None:
        self.faults = PlainFaults()
        self._by_request_id: Counter[str] = Counter()
        self._by_key: Counter[str] = Counter()
        self._by_path: Counter[str] = Counter()
        self._dropped = 0

    def app(self) -> web.Application:
        """Creates the web application that serves this service."""
        app = make_app(self.faults, self.stats)
        app.router.add_post("/charge", self._handle)
        app.router.add_get("/lookup", self._handle)
        app.router.add_route("*", "/echo", self._handle)
        return app

    def stats(self) -> dict[str, Any]:
        """Returns counts of runs by request id, key and path."""
        return {
            "runs": self._by_request_id,
            "runs_by_key": self._by_key,
            "runs_by_path": self._by_path,
            "dropped": self._dropped,
        }

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.text()
        if self.faults.crash:
            os._exit(1)
        if self.faults.stall:
            await hang(request)
            # The call does not run even if the fault has been switched off
            # in the meantime.
            return error(503, "stall")
        if self.faults.outage:
            return error(503, "outage")
        self._count_run(request)
        if self.faults.drop_after_run > 0:
            self.faults.drop_after_run -= 1
            self._dropped += 1
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        await asyncio.sleep(self.faults.slow_ms / 1000)
        response = web.json_response(
            {
                "path": request.path,
                "query": request.query_string,
                "body": body,
                "headers": list(request.headers.items()),
            },
            status=int(request.headers.get("Status", "200")),
        )
        response.set_cookie("a", "1")
        response.set_cookie("b", "2")
        return response

    def _count_run(self, request: web.Request) -> None:
        self._by_path[request.path] += 1
        request_id = request.headers.get("X-Request-Id")
        if request_id is not None:
            self._by_request_id[request_id] += 1
        key = request.headers.get("Idempotency-Key")
        if key is not None:
            self._by_key[key] += 1


def add_arguments(parser: argparse.ArgumentParser) -> None:
    add_server_arguments(parser)


def run(args: argparse.Namespace) -> int:
    return run_app(lambda: PlainService().app(), args.host, args.port)

"""Weight store: transfers take a set time and their rate is limited."""

from __future__ import annotations

import argparse
import asyncio
import json
import math
from collections import Counter
from typing import Any

from aiohttp import web

from lab.bucket import TokenBucket
from lab.faults import Faults, error, read_object
from lab.server import add_server_arguments, hang, make_app, run_app


class WeightFaults(Faults):
    """Injectable faults of the weight store."""

    # Answers 503 to every fetch.
    outage: bool = False
    # Transfers start but do not end until the client disconnects.
    stall: bool = False
    # Answers 429 to every fetch.
    throttle: bool = False
    # Replaces the transfer time that the process was started with.
    transfer_s: float | None = None


class WeightStore:
    """The weight store's counters and HTTP handler.

    Args:
        transfer_s: Duration of a transfer in seconds.
        rate_per_s: Mean number of admitted transfers per second.
        burst: Maximum number of transfers admitted without a pause.
    """

    def __init__(
        self, transfer_s: float, rate_per_s: float, burst: float
    ) -> None:
        self.faults = WeightFaults()
        self._transfer_s = transfer_s
        self._bucket = TokenBucket(rate_per_s, burst)
        self._fetches: Counter[str] = Counter()
        self._throttled = 0
        self._running = 0

    def app(self) -> web.Application:
        """Creates the web application that serves this store."""
        app = make_app(self.faults, self.stats)
        app.router.add_post("/v1/fetch", self._handle_fetch)
        return app

    def stats(self) -> dict[str, Any]:
        """Returns counts of fetches, refusals and transfers in progress."""
        return {
            "fetches": self._fetches,
            "throttled": self._throttled,
            "running": self._running,
        }

    async def _handle_fetch(self, request: web.Request) -> web.StreamResponse:
        body = await read_object(request)
        if self.faults.outage:
            return error(503, "outage")
        if self.faults.throttle or not self._bucket.try_acquire():
            self._throttled += 1
            answer = error(429, "throttled")
            wait_s = max(1, math.ceil(self._bucket.get_wait_s()))
            answer.headers["Retry-After"] = str(wait_s)
            return answer
        self._fetches[f"{body.get('model')}@{body.get('version')}"] += 1
        self._running += 1
        try:
            return await self._transfer(request, body)
        finally:
            self._running -= 1

    async def _transfer(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        """Sends the headers immediately and the body after the transfer."""
        response = web.StreamResponse()
        response.content_type = "application/json"
        transfer_s = self.faults.transfer_s
        if transfer_s is None:
            transfer_s = self._transfer_s
        try:
            await response.prepare(request)
            if self.faults.stall:
                await hang(request)
            await asyncio.sleep(transfer_s)
            answer = {
                "model": body.get("model"),
                "version": body.get("version"),
            }
            await response.write(json.dumps(answer).encode())
            await response.write_eof()
        except ConnectionResetError:
            pass  # The engine has disconnected.
        return response


def add_arguments(parser: argparse.ArgumentParser) -> None:
    add_server_arguments(parser)
    parser.add_argument("--transfer-s", type=float, default=1.0)
    parser.add_argument("--rate", type=float, default=1.0, help="per second")
    parser.add_argument("--burst", type=float, default=4.0)


def run(args: argparse.Namespace) -> int:
    def build() -> web.Application:
        return WeightStore(args.transfer_s, args.rate, args.burst).app()

    return run_app(build, args.host, args.port)

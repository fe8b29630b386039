"""Shared parts of the stand-ins: arguments, server start and shutdown."""

from __future__ import annotations

import argparse
import asyncio
import signal
from collections.abc import Callable
from typing import Any

from aiohttp import web

from lab.faults import Faults, add_fault_route

BACKLOG = 1024
"""Number of connections that may wait to be accepted."""
SHUTDOWN_TIMEOUT_S = 0.2
"""Time in seconds that open requests get at shutdown."""
HANG_POLL_S = 0.1
"""Interval in seconds between two checks whether the client is connected."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest request body in bytes that a stand-in accepts."""


def add_server_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments `--host` and `--port`."""
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0, help="0 picks one")


def make_app(
    faults: Faults, stats: Callable[[], dict[str, Any]]
) -> web.Application:
    """Creates a web application with the routes that all stand-ins have.

    Args:
        faults: Faults that `POST /_faults` sets.
        stats: Returns the counters that `GET /_stats` reports.
    """

    async def handle_stats(_request: web.Request) -> web.Response:
        return web.json_response(stats())

    async def handle_health(_request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def state_notices(
        _request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers.extend(faults.notices or {})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.on_response_prepare.append(state_notices)
    add_fault_route(app, faults)
    app.router.add_get("/_stats", handle_stats)
    app.router.add_get("/healthz", handle_health)
    return app


async def hang(request: web.Request) -> None:
    """Sends nothing and returns when the client has disconnected."""
    while request.transport is not None and not request.transport.is_closing():
        await asyncio.sleep(HANG_POLL_S)


async def wait_for_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def start_app(
    app: web.Application, host: str, port: int
) -> tuple[web.AppRunner, int]:
    """Starts a server; returns its runner and the port that it listens on."""
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=BACKLOG).start()
    return runner, int(runner.addresses[0][1])


def run_app(build: Callable[[], web.Application], host: str, port: int) -> int:
    """Serves an application until SIGTERM or SIGINT; returns exit code 0.

    The server prints `ready port=PORT` when it accepts connections.
    """

    async def serve() -> None:
        runner, bound_port = await start_app(build(), host, port)
        print(f"ready port={bound_port}", flush=True)
        await wait_for_signal()
        await runner.cleanup()

    asyncio.run(serve())
    return 0

"""What every stand-in's process shares: its arguments, start and end."""

from __future__ import annotations

import argparse
import asyncio
import signal
from collections.abc import Callable
from typing import Any

from aiohttp import web

from lab.faults import Faults, add_fault_route

BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 0.2
HANG_POLL_S = 0.1
MAX_BODY_BYTES = 16 * 1024 * 1024


def add_server_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds `--host` and `--port`."""
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0, help="0 picks one")


def make_app(
    faults: Faults, stats: Callable[[], dict[str, Any]]
) -> web.Application:
    """An application with the routes that every stand-in has."""

    async def handle_stats(_request: web.Request) -> web.Response:
        return web.json_response(stats())

    async def handle_health(_request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    add_fault_route(app, faults)
    app.router.add_get("/_stats", handle_stats)
    app.router.add_get("/healthz", handle_health)
    return app


async def hang(request: web.Request) -> None:
    """Says nothing until the client has gone."""
    while request.transport is not None and not request.transport.is_closing():
        await asyncio.sleep(HANG_POLL_S)


async def wait_for_signal() -> None:
    """Returns at SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def start_app(
    app: web.Application, host: str, port: int
) -> tuple[web.AppRunner, int]:
    """Listens, and returns the runner with the port it got."""
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=BACKLOG).start()
    return runner, int(runner.addresses[0][1])


def run_app(build: Callable[[], web.Application], host: str, port: int) -> int:
    """Serves the application until SIGTERM."""

    async def serve() -> None:
        runner, bound_port = await start_app(build(), host, port)
        print(f"ready port={bound_port}", flush=True)
        await wait_for_signal()
        await runner.cleanup()

    asyncio.run(serve())
    return 0

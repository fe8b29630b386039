"""TCP load balancer: assigns connections round robin to healthy backends."""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter
from typing import Any, cast

import aiohttp

from lab.faults import Faults
from lab.server import (
    BACKLOG,
    add_server_arguments,
    make_app,
    start_app,
    wait_for_signal,
)

CHECK_INTERVAL_S = 0.5
"""Pause between two health checks, and the time limit of one, in seconds."""
CONNECT_TIMEOUT_S = 1.0
"""Time limit in seconds to connect to a backend before the next is tried."""


class BalancerFaults(Faults):
    """Injectable faults of the balancer."""

    # Stops the health checks: the last known health of each backend stays.
    freeze_health: bool = False


class ProxySide(asyncio.Protocol):
    """One side of a proxied connection: forwards its bytes to its peer side."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.peer: ProxySide | None = None
        self._buffered: list[bytes] = []
        self._ended = False

    def pair_with(self, peer: ProxySide) -> None:
        """Connects two sides and forwards the bytes that arrived before."""
        self.peer, peer.peer = peer, self
        for side, other in ((self, peer), (peer, self)):
            for data in side._buffered:
                other.write(data)
            side._buffered.clear()
            if side._ended:
                other.close()

    def write(self, data: bytes) -> None:
        """Sends bytes to the endpoint of this side."""
        if self.transport is not None:
            self.transport.write(data)

    def close(self) -> None:
        """Closes this side after its buffered bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.peer is None:
            self._buffered.append(data)
        else:
            self.peer.write(data)

    def pause_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended = True
        if self.peer is not None:
            self.peer.close()


class ClientSide(ProxySide):
    """The client's side of a connection: requests a backend on connect."""

    def __init__(self, balancer: Balancer) -> None:
        super().__init__()
        self._balancer = balancer
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._task = asyncio.create_task(self._balancer.connect(self))


class Balancer:
    """Health checks of the backends and the round-robin choice among them.

    Args:
        backends: Addresses `HOST:PORT` of the backends.
    """

    def __init__(self, backends: list[str]) -> None:
        self.faults = BalancerFaults()
        self._backends = backends
        self._healthy: list[str] = []
        self._next_index = 0
        self._connections: Counter[str] = Counter()
        self._refused = 0

    def stats(self) -> dict[str, Any]:
        """Returns the healthy backends and the counters for `/_stats`."""
        return {
            "healthy": self._healthy,
            "connections": self._connections,
            "refused": self._refused,
        }

    async def connect(self, client: ClientSide) -> None:
        """Connects the client to the next backend that accepts a connection."""
        loop = asyncio.get_running_loop()
        for _ in range(len(self._healthy)):
            backend = self._get_next_backend()
            if backend is None:
                break
            host, _, port = backend.rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, backend_side = await loop.create_connection(
                        ProxySide, host, int(port)
                    )
            except OSError:  # Includes TimeoutError, which is a subclass.
                continue
            self._connections[backend] += 1
            client.pair_with(backend_side)
            return
        self._refused += 1
        client.close()

    def _get_next_backend(self) -> str | None:
        if not self._healthy:
            return None
        self._next_index += 1
        return self._healthy[self._next_index % len(self._healthy)]

    async def run_health_checks(self) -> None:
        """Checks the health of all backends periodically, without end."""
        timeout = aiohttp.ClientTimeout(total=CHECK_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                if not self.faults.freeze_health:
                    await self._check_all(session)
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_all(self, session: aiohttp.ClientSession) -> None:
        checks = (self._is_healthy(session, b) for b in self._backends)
        results = await asyncio.gather(*checks)
        pairs = zip(self._backends, results, strict=True)
        self._healthy = [backend for backend, healthy in pairs if healthy]

    async def _is_healthy(
        self, session: aiohttp.ClientSession, backend: str
    ) -> bool:
        try:
            async with session.get(f"http://{backend}/healthz") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


async def _serve(balancer: Balancer, args: argparse.Namespace) -> None:
    loop = asyncio.get_running_loop()
    checks = asyncio.create_task(balancer.run_health_checks())
    app = make_app(balancer.faults, balancer.stats)
    runner, control_port = await start_app(app, args.host, args.control_port)
    server = await loop.create_server(
        lambda: ClientSide(balancer), args.host, args.port, backlog=BACKLOG
    )
    port = server.sockets[0].getsockname()[1]
    print(f"ready port={port} control_port={control_port}", flush=True)
    await wait_for_signal()
    server.close()
    checks.cancel()
    await runner.cleanup()


def add_arguments(parser: argparse.ArgumentParser) -> None:
    add_server_arguments(parser)
    parser.add_argument("--backends", required=True, help="HOST:PORT,...")
    parser.add_argument(
        "--control-port",
        type=int,
        default=0,
        help="port of /_faults and /_stats",
    )


def run(args: argparse.Namespace) -> int:
    backends = [text for text in args.backends.split(",") if text]
    asyncio.run(_serve(Balancer(backends), args))
    return 0

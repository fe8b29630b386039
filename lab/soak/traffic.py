"""Callers of a soak, and records of the responses that they received."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import itertools
import time

from lab.caller import Reply, make_request, read_reply
from lab.soak.world import SoakEnvironment

DEADLINE_S = 3.0
ABANDON_RATIO = 0.05
KEEP_ALIVE_RATIO = 0.7
PAUSE_S = 0.02


@dataclasses.dataclass
class SentRequest:
    """One request as its caller observed it.

    Attributes:
        id: Request id.
        kind: Name of the route: `safe`, `unsafe` or `stream`.
        key: API key that the request was sent with.
        sent_s: Monotonic time in seconds at which sending started.
        gateway: Name of the gateway that it was sent to.
        expected: Body of a correct response; None for streams.
        ended_s: Monotonic time in seconds at which the request ended; 0.0
            while it is open.
        reply: Response received; None if the connection broke or the caller
            gave up.
    """

    id: str
    kind: str
    key: str
    sent_s: float
    gateway: str
    expected: bytes | None
    ended_s: float = 0.0
    reply: Reply | None = None


class Callers:
    """Sends requests to ready gateways until its tasks are cancelled.

    Attributes:
        sent: All requests sent so far, including open ones.
    """

    def __init__(self, environment: SoakEnvironment) -> None:
        self.sent: list[SentRequest] = []
        self._environment = environment
        self._rng = environment.rng
        self._request_numbers = itertools.count()
        self._ready_ports: list[int] = []

    async def poll_readiness(self) -> None:
        """Polls the readiness of all gateways, as a load balancer does.

        If no gateway is ready, requests go to all of them.
        """
        while True:
            gateways = self._environment.gateways
            states = await asyncio.gather(*(g.is_ready() for g in gateways))
            ports = [g.client_port for g in gateways]
            chosen = [p for p, r in zip(ports, states, strict=True) if r]
            self._ready_ports = chosen or ports
            await asyncio.sleep(0.5)

    async def send_requests(self) -> None:
        """Sends requests one after the other, over keep-alive connections."""
        while True:
            try:
                await self._use_connection()
            except (OSError, EOFError, TimeoutError, ValueError):
                await asyncio.sleep(PAUSE_S)

    async def _use_connection(self) -> None:
        if not self._ready_ports:
            await asyncio.sleep(PAUSE_S)
            return
        port = self._rng.choice(self._ready_ports)
        gateway = next(
            g.name for g in self._environment.gateways if g.client_port == port
        )
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            while True:
                reply = await self._send_request(gateway, reader, writer)
                await asyncio.sleep(self._rng.uniform(0.0, 2 * PAUSE_S))
                is_last = reply.headers.get("connection") == "close"
                if is_last or self._rng.random() > KEEP_ALIVE_RATIO:
                    return
        finally:
            writer.close()

    async def _send_request(
        self,
        gateway: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Reply:
        kind = self._rng.choice(("safe", "unsafe", "stream"))
        valid = [
            k
            for k, revoked_s in self._environment.keys.items()
            if revoked_s is None
        ]
        revoked = [
            k for k, revoked_s in self._environment.keys.items() if revoked_s
        ]
        key = self._rng.choice(
            revoked or valid if self._draw_with_ratio(0.1) else valid
        )
        name = f"q{next(self._request_numbers)}"
        target, body = f"/{kind}/{name}?a=1", name.encode() * 20
        digest = hashlib.sha256(body).hexdigest()
        expected = f"{name} POST {target} {digest}".encode()
        sent = SentRequest(
            name,
            kind,
            key,
            time.monotonic(),
            gateway,
            None if kind == "stream" else expected,
        )
        self.sent.append(sent)
        headers = {"Deadline_Ms": str(int(DEADLINE_S * 1000))}
        data = make_request(target, "POST", body, name, key, **headers)
        writer.write(data)
        limit_s = (
            0.05 if self._draw_with_ratio(ABANDON_RATIO) else DEADLINE_S + 1.0
        )
        try:
            async with asyncio.timeout(limit_s):
                sent.reply = await read_reply(reader)
        finally:
            sent.ended_s = time.monotonic()
        return sent.reply

    def _draw_with_ratio(self, ratio: float) -> bool:
        return self._rng.random() < ratio

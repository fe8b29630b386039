"""Callers of a soak, and what they saw."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import itertools
import time

from lab.caller import Reply, make_request, read_reply
from lab.soak.world import World

DEADLINE_S = 3.0
LEAVE_RATIO = 0.05
KEEP_RATIO = 0.7
PAUSE_S = 0.02


@dataclasses.dataclass
class Sent:
    """One request as its caller saw it.

    Attributes:
        id: Its id.
        kind: Name of its route.
        key: Its key.
        sent_s: Monotonic time of the start.
        expected: The body of a right answer; None for streams.
        ended_s: Monotonic time of the end.
        reply: What came; None where the connection broke.
    """

    id: str
    kind: str
    key: str
    sent_s: float
    expected: bytes | None
    ended_s: float = 0.0
    reply: Reply | None = None


class Callers:
    """Tasks that send requests as long as they are let.

    Attributes:
        sent: All requests that have ended.
    """

    def __init__(self, world: World) -> None:
        self.sent: list[Sent] = []
        self._world = world
        self._rng = world.rng
        self._numbers = itertools.count()
        self._ready: list[int] = []

    async def watch_readiness(self) -> None:
        """Asks the gateways as the balancer does."""
        while True:
            gateways = self._world.gateways
            states = await asyncio.gather(*(g.is_ready() for g in gateways))
            ports = [g.client_port for g in gateways]
            chosen = [p for p, r in zip(ports, states, strict=True) if r]
            self._ready = chosen or ports
            await asyncio.sleep(0.5)

    async def call_on(self) -> None:
        """Sends requests one after the other, on kept connections."""
        while True:
            try:
                await self._use_connection()
            except (OSError, EOFError, TimeoutError, ValueError):
                await asyncio.sleep(PAUSE_S)

    async def _use_connection(self) -> None:
        if not self._ready:
            await asyncio.sleep(PAUSE_S)
            return
        port = self._rng.choice(self._ready)
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            while True:
                reply = await self._call(reader, writer)
                await asyncio.sleep(self._rng.uniform(0.0, 2 * PAUSE_S))
                is_last = reply.headers.get("connection") == "close"
                if is_last or self._rng.random() > KEEP_RATIO:
                    return
        finally:
            writer.close()

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Reply:
        kind = self._rng.choice(("safe", "unsafe", "stream"))
        valid = [k for k, since in self._world.keys.items() if since is None]
        old = [k for k, since in self._world.keys.items() if since]
        key = self._rng.choice(old or valid if self._draw(0.1) else valid)
        name = f"q{next(self._numbers)}"
        target, body = f"/{kind}/{name}?a=1", name.encode() * 20
        digest = hashlib.sha256(body).hexdigest()
        expected = f"{name} POST {target} {digest}".encode()
        sent = Sent(
            name,
            kind,
            key,
            time.monotonic(),
            None if kind == "stream" else expected,
        )
        self.sent.append(sent)
        headers = {"Deadline_Ms": str(int(DEADLINE_S * 1000))}
        data = make_request(target, "POST", body, name, key, **headers)
        writer.write(data)
        limit_s = 0.05 if self._draw(LEAVE_RATIO) else DEADLINE_S + 1.0
        try:
            async with asyncio.timeout(limit_s):
                sent.reply = await read_reply(reader)
        finally:
            sent.ended_s = time.monotonic()
        return sent.reply

    def _draw(self, ratio: float) -> bool:
        return self._rng.random() < ratio

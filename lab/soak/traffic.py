"""Callers of a soak, and records of the responses that they received."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import itertools
import math
import time

from lab.caller import Reply, make_request, read_reply
from lab.soak.deployment import DEADLINE_S, LONG_DEADLINE_S, STREAMS
from lab.soak.prompts import Prompt, draw_prompt
from lab.soak.records import SkewedTime
from lab.soak.world import SoakEnvironment

ABANDON_RATIO = 0.05
KEEP_ALIVE_RATIO = 0.7
SKEWED_KEEP_ALIVE_RATIO = 0.2
"""Ratio of connections that are kept while most new ones go to one gateway."""
SKEW_RATIO = 0.9
PAUSE_S = 0.02
MAX_REST_S = DEADLINE_S / 3
"""Longest time in seconds that a caller waits because a gateway asks for it."""
PATIENT_START_S = 3.0
"""Longest time in seconds until a patient caller sends its first request."""
SHORT_KINDS = ("safe", "unsafe", "stream", "once")
LONG_KINDS = ("steady", "slow")


@dataclasses.dataclass
class SentRequest:
    """One request as its caller observed it.

    Attributes:
        id: Request id.
        kind: Name of the route, such as `safe`, `unsafe` or `stream`.
        key: API key that the request was sent with.
        sent_s: Monotonic time in seconds at which sending started.
        gateway: Name of the gateway that it was sent to.
        expected: Body of a correct response; None for streams.
        prompt: Parts of the prompt; None for requests without one.
        ended_s: Monotonic time in seconds at which the request ended; 0.0
            while it is open, also at the end of the soak.
        reply: Response received; None if the connection broke or the caller
            gave up.
        is_cut: Whether the connection ended before the response did.
    """

    id: str
    kind: str
    key: str
    sent_s: float
    gateway: str
    expected: bytes | None
    prompt: Prompt | None = None
    ended_s: float = 0.0
    reply: Reply | None = None
    is_cut: bool = False

    @property
    def deadline_s(self) -> float:
        """Time in seconds that the caller waits."""
        return LONG_DEADLINE_S if self.kind in LONG_KINDS else DEADLINE_S

    @property
    def is_served(self) -> bool:
        """Whether the caller got a complete answer."""
        reply = self.reply
        return reply is not None and reply.status == 200 and reply.is_complete

    @property
    def has_begun(self) -> bool:
        """Whether an answer to the request has begun."""
        return self.reply is not None and self.reply.status == 200


@dataclasses.dataclass(frozen=True)
class CallerHabits:
    """How a caller uses its connections.

    Attributes:
        kinds: Routes that it chooses from, or takes in turn if it is patient.
        keep_ratio: Ratio of responses after which it keeps its connection.
        is_patient: Whether it never gives up a request.
    """

    kinds: tuple[str, ...]
    keep_ratio: float
    is_patient: bool = False


BRIEF = CallerHabits(SHORT_KINDS, KEEP_ALIVE_RATIO)
LASTING = CallerHabits(SHORT_KINDS, 1.0)
"""Keeps its connection until the gateway closes it."""
PATIENT = CallerHabits(LONG_KINDS, 1.0, is_patient=True)
"""Sends requests that last for seconds, and keeps its connection as well."""


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
        self._ready: list[str] = []
        self._ports = {g.name: g.client_port for g in environment.gateways}

    async def poll_readiness(self) -> None:
        """Polls the readiness of all gateways, as a load balancer does.

        If no gateway is ready, requests go to all of them.
        """
        while True:
            gateways = self._environment.gateways
            states = await asyncio.gather(*(g.is_ready() for g in gateways))
            names = [g.name for g in gateways]
            chosen = [n for n, r in zip(names, states, strict=True) if r]
            self._ready = chosen or names
            await asyncio.sleep(0.5)

    async def send_requests(self, habits: CallerHabits = BRIEF) -> None:
        """Sends requests one after the other, over keep-alive connections."""
        if habits.is_patient:
            # Otherwise all of them would send at the same moments.
            await asyncio.sleep(self._rng.uniform(0.0, PATIENT_START_S))
        while True:
            try:
                await self._use_connection(habits)
            except (OSError, EOFError, TimeoutError, ValueError):
                await asyncio.sleep(PAUSE_S)

    async def _use_connection(self, habits: CallerHabits) -> None:
        if not self._ready:
            await asyncio.sleep(PAUSE_S)
            return
        gateway = self._choose_gateway()
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._ports[gateway]
            )
        try:
            for number in itertools.count(self._rng.randrange(2)):
                kind = (
                    habits.kinds[number % len(habits.kinds)]
                    if habits.is_patient
                    else self._rng.choice(habits.kinds)
                )
                sent = self._make_request(kind, gateway)
                gives_up = not habits.is_patient and self._draw_with_ratio(
                    ABANDON_RATIO
                )
                reply = await self._send(sent, reader, writer, gives_up)
                await asyncio.sleep(self._draw_pause_s(reply))
                is_last = reply.headers.get("connection") == "close"
                if is_last or not self._keeps_connection(habits):
                    return
        finally:
            writer.close()

    def _draw_pause_s(self, reply: Reply) -> float:
        """Draws the time until the next request, as the gateway asks for it."""
        pause_s = self._rng.uniform(0.0, 2 * PAUSE_S)
        rest_s = float(reply.headers.get("retry-after", "0"))
        return pause_s + min(rest_s, MAX_REST_S)

    def _choose_gateway(self) -> str:
        """Chooses a ready gateway, as the platform does for a connection."""
        skewed = self._get_skewed_time()
        if skewed is None or not self._draw_with_ratio(SKEW_RATIO):
            return self._rng.choice(self._ready)
        if skewed.gateway not in self._ready:
            skewed.gateway = self._rng.choice(self._ready)
        return skewed.gateway

    def _keeps_connection(self, habits: CallerHabits) -> bool:
        if self._get_skewed_time() is not None and not habits.is_patient:
            return self._draw_with_ratio(SKEWED_KEEP_ALIVE_RATIO)
        return self._draw_with_ratio(habits.keep_ratio)

    def _get_skewed_time(self) -> SkewedTime | None:
        times = self._environment.skewed_times
        return times[-1] if times and math.isinf(times[-1].ended_s) else None

    def _make_request(self, kind: str, gateway: str) -> SentRequest:
        environment = self._environment
        valid = environment.get_valid_keys()
        revoked = [key for key in environment.keys if key not in valid]
        uses_revoked = bool(revoked) and self._draw_with_ratio(0.1)
        number = next(self._request_numbers)
        name = f"q{number}"
        digest = hashlib.sha256(_make_body(name)).hexdigest()
        expected = f"{name} POST {_make_target(kind, name)} {digest}".encode()
        is_stream = kind in STREAMS
        sent = SentRequest(
            name,
            kind,
            self._rng.choice(revoked if uses_revoked else valid),
            time.monotonic(),
            gateway,
            None if is_stream else expected,
            draw_prompt(self._rng, number) if is_stream else None,
        )
        self.sent.append(sent)
        return sent

    async def _send(
        self,
        sent: SentRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gives_up: bool,
    ) -> Reply:
        headers = {"Deadline_Ms": str(int(sent.deadline_s * 1000))}
        if sent.prompt is not None:
            headers |= sent.prompt.make_headers()
        target = _make_target(sent.kind, sent.id)
        body = _make_body(sent.id)
        writer.write(
            make_request(target, "POST", body, sent.id, sent.key, **headers)
        )
        limit_s = 0.05 if gives_up else sent.deadline_s + 1.0
        try:
            async with asyncio.timeout(limit_s):
                sent.reply = await read_reply(reader)
        except (EOFError, ConnectionError, TimeoutError) as error:
            sent.ended_s = time.monotonic()
            sent.is_cut = not isinstance(error, TimeoutError)
            raise
        sent.ended_s = time.monotonic()
        sent.is_cut = not sent.reply.is_complete
        return sent.reply

    def _draw_with_ratio(self, ratio: float) -> bool:
        return self._rng.random() < ratio


def _make_body(name: str) -> bytes:
    return name.encode() * 20


def _make_target(kind: str, name: str) -> str:
    return f"/{kind}/{name}?a=1"

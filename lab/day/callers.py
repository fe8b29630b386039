"""Callers of a day, in an open loop, behind the platform's load balancer."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time
from collections.abc import Collection, Sequence
from typing import Any

from lab.caller import Reply, make_request, read_reply
from lab.day.deployment import CLASSES, IDLE_TIMEOUT_S, KEY, RequestClass
from lab.day.records import Attempt, DayRecord, Outcome
from lab.soak.gateways import GatewayProcess

PROBE_INTERVAL_S = 1.0
MISSES = 2
"""Probes without success after which a gateway gets no new connections."""
CONNECT_TIMEOUT_S = 1.0
KEPT_RATIO = 0.8
"""Share of the idle timeout for which callers reuse a connection."""
LOOK_S = 0.5
"""Interval in seconds between looks at whether an answer has stopped."""
CALLERS = 40
RETRIES = 1
SKEWED_KEEP_RATIO = 0.2
"""Ratio of connections that are kept while most new ones go to one gateway."""
REST_RATIO = 1 / 3
"""Share of the time left for which callers honour `Retry-After`."""
REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that the request has not run."""
FINAL = (200, 400, 401, 404, 413, 431)
"""Statuses after which nothing is sent again."""
SESSIONS = 60
SHARED_PARTS = 24


@dataclasses.dataclass(frozen=True)
class Skew:
    """A time in which most new connections go to one gateway.

    Attributes:
        gateway: The gateway.
        share: Share of the new connections that it gets.
    """

    gateway: GatewayProcess
    share: float


class Balancer:
    """Chooses gateways for new connections by their readiness.

    Args:
        gateways: All gateways.

    Attributes:
        skew: Where most new connections go; None for no such gateway.
    """

    def __init__(self, gateways: list[GatewayProcess]) -> None:
        self._gateways = gateways
        self._misses = {gateway.name: 0 for gateway in gateways}
        self.skew: Skew | None = None

    async def probe(self) -> None:
        """Probes all gateways until the task is cancelled."""
        while True:
            states = await asyncio.gather(
                *(gateway.is_ready() for gateway in self._gateways)
            )
            for gateway, is_ready in zip(self._gateways, states, strict=True):
                misses = self._misses[gateway.name] + 1
                self._misses[gateway.name] = 0 if is_ready else misses
            await asyncio.sleep(PROBE_INTERVAL_S)

    def choose(
        self, rng: random.Random, tried: Collection[str] = ()
    ) -> GatewayProcess:
        """Chooses a gateway for a new connection.

        Args:
            rng: Source of randomness.
            tried: Names of gateways that the request has met before.
        """
        ready = [g for g in self._gateways if self._misses[g.name] < MISSES]
        if not tried and (skew := self.skew) is not None:
            if skew.gateway not in ready and ready:
                # The next one gets them once the one before is out.
                skew = self.skew = Skew(rng.choice(ready), skew.share)
            if rng.random() < skew.share:
                return skew.gateway
        others = [g for g in ready if g.name not in tried]
        return rng.choice(others or ready or self._gateways)


class _TimedReader(asyncio.StreamReader):
    """Knows when the last bytes came.

    Attributes:
        received_s: Monotonic time in seconds of the last bytes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.received_s = time.monotonic()

    def feed_data(self, data: Any) -> None:
        self.received_s = time.monotonic()
        super().feed_data(data)


class _Connection:
    def __init__(
        self, gateway: str, reader: _TimedReader, writer: asyncio.StreamWriter
    ) -> None:
        self.gateway = gateway
        self.reader = reader
        self.writer = writer
        self.requests = 0
        self.idle_since_s = time.monotonic()

    @property
    def is_usable(self) -> bool:
        idle_s = time.monotonic() - self.idle_since_s
        return (
            idle_s < KEPT_RATIO * IDLE_TIMEOUT_S
            and not self.reader.at_eof()
            and not self.writer.is_closing()
        )


async def _open_connection(gateway: GatewayProcess) -> _Connection:
    """Opens a connection to a gateway.

    Raises:
        OSError: It was refused.
        TimeoutError: It took too long.
    """
    loop = asyncio.get_running_loop()
    reader = _TimedReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        transport, _ = await loop.create_connection(
            lambda: protocol, "127.0.0.1", gateway.client_port
        )
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return _Connection(gateway.name, reader, writer)


class Callers:
    """Sends requests in an open loop until its tasks are cancelled.

    Args:
        balancer: Chooses gateways.
        record: Gets all attempts.
        rng: Source of all random choices.
        rate: Times the rates of the classes.
    """

    def __init__(
        self,
        balancer: Balancer,
        record: DayRecord,
        rng: random.Random,
        rate: float,
    ) -> None:
        self._balancer = balancer
        self._record = record
        self._rng = rng
        self._rate = rate
        self._numbers = itertools.count()
        self._idle: list[list[_Connection]] = [[] for _ in range(CALLERS)]
        self._tasks: set[asyncio.Task[None]] = set()

    async def send_requests(self, length_s: float) -> None:
        """Sends requests for a time, and waits for their answers."""
        end_s = time.monotonic() + length_s
        senders = [self._send_class(each, end_s) for each in CLASSES]
        await asyncio.gather(*senders)
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _send_class(self, each: RequestClass, end_s: float) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(each.per_s * self._rate))
            if time.monotonic() >= end_s:
                return
            task = asyncio.ensure_future(self._request(each))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _request(self, each: RequestClass) -> None:
        caller = self._rng.randrange(CALLERS)
        end_s = time.monotonic() + each.deadline_s
        headers = self._draw_headers(each)
        attempts: list[Attempt] = []
        for _ in range(RETRIES + 1):
            left_s = end_s - time.monotonic()
            if left_s <= 0.0:
                return
            attempt, reply = await self._attempt(
                each, caller, left_s, headers, attempts
            )
            attempts.append(attempt)
            if not self._may_retry(attempt):
                return
            rest_s = float(reply.headers.get("retry-after", 0)) if reply else 0
            await asyncio.sleep(min(rest_s, REST_RATIO * left_s))

    async def _attempt(
        self,
        each: RequestClass,
        caller: int,
        left_s: float,
        headers: dict[str, str],
        earlier: Sequence[Attempt],
    ) -> tuple[Attempt, Reply | None]:
        attempt = Attempt(
            f"q{next(self._numbers)}", each, "", False, time.monotonic(), left_s
        )
        attempt.request_id = earlier[0].id if earlier else attempt.id
        self._record.attempts.append(attempt)
        connection = None if earlier else self._take_idle(caller)
        if connection is None:
            tried = [each.gateway for each in earlier]
            connection = await self._connect(attempt, tried)
        if connection is None:
            return attempt, None
        attempt.gateway = connection.gateway
        attempt.is_kept = connection.requests > 0
        reply = await self._exchange(attempt, connection, headers)
        attempt.ended_s = time.monotonic()
        self._put_back(caller, connection, attempt, reply)
        return attempt, reply

    async def _connect(
        self, attempt: Attempt, tried: Collection[str]
    ) -> _Connection | None:
        gateway = self._balancer.choose(self._rng, tried)
        attempt.gateway = gateway.name
        try:
            return await _open_connection(gateway)
        except (OSError, TimeoutError):
            attempt.outcome = Outcome.UNCONNECTED
            attempt.ended_s = time.monotonic()
            return None

    async def _exchange(
        self,
        attempt: Attempt,
        connection: _Connection,
        headers: dict[str, str],
    ) -> Reply | None:
        each = attempt.request_class
        left_s = attempt.deadline_s - (time.monotonic() - attempt.sent_s)
        data = make_request(
            f"/{each.name}/2f",
            "POST",
            b"x" * each.body_bytes,
            attempt.id,
            KEY,
            Deadline_Ms=str(int(left_s * 1000)),
            **headers,
        )
        connection.requests += 1
        reply = None
        try:
            async with asyncio.timeout(left_s):
                connection.writer.write(data)
                await connection.writer.drain()
                attempt.sent_s, attempt.deadline_s = time.monotonic(), left_s
                reply = await self._read(each, connection)
        except TimeoutError:
            attempt.outcome = Outcome.ABANDONED
        except (EOFError, ConnectionError) as error:
            attempt.outcome = Outcome.CUT
            attempt.was_reset = isinstance(
                error, ConnectionResetError | BrokenPipeError
            )
        if reply is not None:
            attempt.status = reply.status
            is_whole = reply.is_complete
            attempt.outcome = Outcome.ANSWERED if is_whole else Outcome.CUT
        return reply

    async def _read(self, each: RequestClass, connection: _Connection) -> Reply:
        """Reads an answer; leaves one that pauses for too long.

        Raises:
            TimeoutError: The caller has left.
        """
        reader = connection.reader
        reader.received_s = time.monotonic()
        reading = asyncio.ensure_future(read_reply(reader))
        try:
            while not (await asyncio.wait({reading}, timeout=LOOK_S))[0]:
                if time.monotonic() - reader.received_s > each.abandon_gap_s:
                    raise TimeoutError
            return reading.result()
        finally:
            reading.cancel()

    def _take_idle(self, caller: int) -> _Connection | None:
        idle = self._idle[caller]
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            connection.writer.close()
        return None

    def _put_back(
        self,
        caller: int,
        connection: _Connection,
        attempt: Attempt,
        reply: Reply | None,
    ) -> None:
        is_last = (
            reply is None
            or attempt.outcome is not Outcome.ANSWERED
            or reply.headers.get("connection") == "close"
            or self._draws_new_connection()
        )
        if is_last:
            connection.writer.close()
            return
        connection.idle_since_s = time.monotonic()
        self._idle[caller].append(connection)

    def _draws_new_connection(self) -> bool:
        """Whether a caller leaves its connection, as many do under a skew."""
        is_skewed = self._balancer.skew is not None
        return is_skewed and self._rng.random() >= SKEWED_KEEP_RATIO

    def _may_retry(self, attempt: Attempt) -> bool:
        is_idempotent = attempt.request_class.is_idempotent
        if attempt.outcome is Outcome.ANSWERED:
            if attempt.status in FINAL:
                return False
            return is_idempotent or attempt.status in REFUSALS
        if attempt.outcome is Outcome.UNCONNECTED:
            return True
        if attempt.outcome is not Outcome.CUT:
            return False
        return is_idempotent or not self._record.was_read(attempt)

    def _draw_headers(self, each: RequestClass) -> dict[str, str]:
        if not each.prompt_tokens:
            return {}
        number = next(self._numbers)
        shared = self._rng.randrange(SHARED_PARTS)
        tokens = each.prompt_tokens // 2
        return {
            "Model_Name": "*",
            "Token_Usage": f"{each.prompt_tokens},{each.events * 5}",
            "Prefix_Hash": f"{shared:06x}:{tokens},f{number:07x}:{tokens}",
            "Session": f"s{self._rng.randrange(SESSIONS)}",
        }

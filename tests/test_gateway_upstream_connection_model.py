"""Drives connections to one upstream through faulty answers, in any order.

Each request that is read from a caller must be answered or refused, and no byte
of one answer may reach another request's caller.
"""

from __future__ import annotations

import asyncio
import contextlib
import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from lab import worker as lab
from tests.gateway_harness import run_gateway_harness
from tests.test_gateway_upstream_errors import (
    make_body_request,
    read_final_reply,
)

BEHAVIOURS = (
    "whole",
    "twice_at_once",
    "twice_late",
    "twice_in_halves",
    "thrice_late",
    "early",
    "early_and_late_twice",
    "unframed",
    "reset_before",
    "closed_before",
    "reset_within",
    "nonsense",
)
FRAMINGS = ("length", "long", "chunked", "empty", "expect")
STATUSES = (200, 502, 503, 504)
MAX_EXAMPLES = int(os.environ.get("CONNECTION_EXAMPLES", "12"))
STEPS = 14


def make_answer(request_id, text=None):
    body = (text or request_id).encode()
    arrival = lab.Arrival("POST", "/", {"attempt-id": request_id}, b"")
    length = str(len(body))
    return lab.make_head(200, arrival, Content_Length=length) + body


class FaultyUpstream:
    """An upstream that answers each request as it is told to."""

    def __init__(self):
        self.address = ""
        self.runs = []
        self.behaviours = {}
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        waiting = b""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while waiting is not None:
                waiting = await self._answer(reader, writer, waiting)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, reader, writer, waiting):
        """Answers a request; returns the bytes that go ahead of the next."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2]
        )
        name = fields["attempt-id"]
        behaviour = self.behaviours[name]
        length = int(fields.get("content-length", "0"))
        is_early = behaviour.startswith("early")
        if not is_early:
            await reader.readexactly(length)
        self.runs.append(name)
        if behaviour == "reset_before":
            lab.reset_connection(writer)
            return None
        if behaviour == "closed_before":
            return None
        answer = waiting + make_answer(name)
        if behaviour == "reset_within":
            writer.write(answer[:-2])
            await writer.drain()
            await asyncio.sleep(0.01)
            lab.reset_connection(writer)
            return None
        if behaviour == "nonsense":
            writer.write(waiting + b"\x00nonsense\r\n\r\n")
            return None
        if behaviour == "unframed":
            arrival = lab.Arrival("POST", "/", {"attempt-id": name}, b"")
            writer.write(waiting + lab.make_head(200, arrival) + name.encode())
            return None
        writer.write(answer)
        if is_early:
            await asyncio.sleep(0.01)
            await reader.readexactly(length)
        second = make_answer(name, "second")
        half = len(second) // 2
        now, later = {
            "twice_at_once": (second, b""),
            "twice_late": (b"", second),
            "early_and_late_twice": (b"", second),
            "twice_in_halves": (second[:half], second[half:]),
            "thrice_late": (b"", second * 2),
        }.get(behaviour, (b"", b""))
        writer.write(now)
        await writer.drain()
        return later


class UpstreamConnections(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.stack = contextlib.AsyncExitStack()
        self.upstream = FaultyUpstream()
        self.sent = 0
        self.callers = []
        self.loop.run_until_complete(self._start())

    async def _start(self):
        harness = run_gateway_harness(workers=0)
        self.harness = await self.stack.enter_async_context(harness)
        await self.upstream.start()
        self.harness.workers["w1"] = self.upstream
        self.harness.put_entry("w1")
        rotation = self.harness.gateway.deployment.rotation
        await self.harness.wait_until(lambda: rotation.get_ready("pool"))

    def teardown(self):
        for _, writer in self.callers:
            writer.close()
        self.loop.run_until_complete(self._stop())
        self.loop.close()

    async def _stop(self):
        await self.stack.aclose()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @rule(
        path=st.sampled_from(["/safe/x", "/unsafe/x"]),
        framing=st.sampled_from(FRAMINGS),
        behaviour=st.sampled_from(BEHAVIOURS),
        is_new=st.booleans(),
        is_split=st.booleans(),
    )
    def send(self, path, framing, behaviour, is_new, is_split):
        self.loop.run_until_complete(
            self._send(path, framing, behaviour, is_new, is_split)
        )

    @precondition(lambda self: self.sent > 1)
    @rule(behaviours=st.lists(st.sampled_from(BEHAVIOURS), max_size=3))
    def send_at_once(self, behaviours):
        sends = (
            self._send("/safe/x", "length", behaviour, True, False)
            for behaviour in behaviours
        )

        async def run():
            await asyncio.gather(*sends)

        self.loop.run_until_complete(run())

    async def _send(self, path, framing, behaviour, is_new, is_split):
        self.sent += 1
        name = f"a{self.sent}"
        self.upstream.behaviours[name] = behaviour
        if is_new or not self.callers:
            caller = await self.harness.connect()
        else:
            caller = self.callers.pop()
        reader, writer = caller
        data = make_body_request(name, framing, path)
        if is_split:
            writer.write(data[:-1])
            await asyncio.sleep(0.01)
            data = data[-1:]
        writer.write(data)
        reply = await read_final_reply(reader)
        assert reply.is_complete
        assert reply.status in STATUSES, (name, behaviour, reply)
        assert reply.headers.get("attempt-id", name) == name
        if reply.status == 200:
            assert reply.body == name.encode(), (name, behaviour, reply)
        elif behaviour in ("whole", "unframed") and path == "/safe/x":
            # Nothing went wrong at this request itself.
            assert reply.status == 503, (name, behaviour, reply)
        if path == "/unsafe/x":
            assert self.upstream.runs.count(name) <= 1
        if reply.headers.get("connection") == "close":
            writer.close()
        else:
            self.callers.append(caller)


UpstreamConnections.TestCase.settings = settings(
    max_examples=MAX_EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize="CONNECTION_EXAMPLES" not in os.environ,
    suppress_health_check=list(HealthCheck),
)
TestUpstreamConnections = UpstreamConnections.TestCase

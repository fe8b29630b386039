"""An upstream that reads a request slowly is not taken for a lost one."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from lab import worker as lab
from tests.gateway_harness import run_gateway_harness

PAUSE_S = 1.7
"""Longer than sent bytes may stay unacknowledged; under the route's timeout."""
RECEIVE_BUFFER_BYTES = 4096
BODY = b"b" * 60_000
"""More than the upstream's system takes while the upstream does not read."""


class PausingUpstream:
    """Reads nothing of a request's body for a time after its head."""

    def __init__(self):
        self.address = ""
        self.runs = []

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=RECEIVE_BUFFER_BYTES
        )
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().lower().split("\r\n")[1:-2]
                fields = dict(line.split(": ", 1) for line in lines)
                self.runs.append(fields["attempt-id"])
                writer.transport.pause_reading()
                await asyncio.sleep(PAUSE_S)
                writer.transport.resume_reading()
                await reader.readexactly(int(fields["content-length"]))
                arrival = lab.Arrival("POST", "/", fields, b"")
                await lab.send(writer, 200, arrival, b"done")


@pytest.mark.parametrize("route", ["unsafe", "safe"])
async def test_pause_in_reading_a_long_body_loses_no_request(route):
    # The system ends a connection whose peer reads nothing as if no packet had
    # been acknowledged. The caller got 502 though the upstream was at work.
    async with run_gateway_harness(workers=0) as harness:
        upstream = harness.workers["w1"] = PausingUpstream()
        await upstream.start()
        harness.put_entry("w1")
        rotation = harness.gateway.deployment.rotation
        await harness.wait_until(lambda: rotation.get_ready("pool"))
        for number in range(2):
            reply = await harness.call(
                f"/{route}/x", body=BODY, request_id=f"a{number}"
            )
            assert (reply.status, reply.body) == (200, b"done")
        assert upstream.runs == ["a0", "a1"]

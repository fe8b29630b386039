"""Scripted HTTP worker of the platform that controls each byte it sends."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Sequence

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
"""Value of the Response-Signature header of all signed responses."""
_CRLF = b"\r\n"


@dataclasses.dataclass(frozen=True)
class Arrival:
    """An HTTP request as the worker received it.

    Attributes:
        method: HTTP method.
        target: Path and query string.
        headers: Header values by lower-case name.
        body: Complete request body.
        notices: Headers by which the worker says something of itself in its
            answer.
        arrived_s: Monotonic time in seconds of the arrival.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    notices: dict[str, str] = dataclasses.field(default_factory=dict)
    arrived_s: float = 0.0

    @property
    def request_id(self) -> str:
        """Id that the gateway gave to this attempt."""
        return self.headers.get("attempt-id", "")


Script = Callable[[Arrival, asyncio.StreamWriter], Awaitable[None]]


class StreamEnding(enum.Enum):
    """How a stream is framed, and how its connection ends if it breaks off.

    A stream without chunks has no length either: it ends with its connection.
    """

    CHUNKED = "chunked"
    """In chunks; a break resets the connection."""
    CLOSED_ORDERLY = "closed_orderly"
    """Without chunks; a break closes the connection as the end does."""
    RESET = "reset"
    """Without chunks; a break resets the connection."""


class Worker:
    """HTTP server that answers each request with a script.

    Args:
        instance: Instance id; a request that expects another id gets 421.
        script: Function that answers a request; `answer_plain` by default.

    Attributes:
        arrivals: Received requests, including those that were refused.
        started: Ids of requests that the worker started to run.
        cancelled: Ids of requests whose connection closed before the end.
        connections: Number of accepted connections.
        address: `HOST:PORT` of the listener; empty before the start.
        notices: Headers in each answer by which the worker says something of
            itself, such as the number of requests per second that it accepts.
    """

    def __init__(self, instance: str, script: Script | None = None) -> None:
        self.instance = instance
        self.script = script or answer_plain
        self.arrivals: list[Arrival] = []
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.connections = 0
        self.address = ""
        self.notices: dict[str, str] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Starts to listen on the loopback interface; port 0 picks a port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        host, bound = self._server.sockets[0].getsockname()
        self.address = f"{host}:{bound}"

    async def stop(self) -> None:
        """Stops as in a crash: closes the listener, resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset_connection(writer)

    async def drop_connections(self) -> None:
        """Resets all open connections but continues to listen."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while (arrival := await read_request(reader)) is not None:
                arrival = dataclasses.replace(
                    arrival,
                    notices=dict(self.notices),
                    arrived_s=time.monotonic(),
                )
                await self._answer(arrival, reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        arrival: Arrival,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.arrivals.append(arrival)
        expected = arrival.headers.get("expected-instance")
        if expected not in (None, self.instance):
            await send(writer, 421, arrival, b"", signed=False)
            return
        self.started.append(arrival.request_id)
        work = asyncio.ensure_future(self.script(arrival, writer))
        closed = asyncio.ensure_future(_wait_for_close(reader))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if not work.done():
            work.cancel()
            self.cancelled.append(arrival.request_id)
            raise ConnectionResetError
        await work


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.005)


async def read_request(reader: asyncio.StreamReader) -> Arrival | None:
    """Reads one request; returns None at the end of the connection."""
    with contextlib.suppress(asyncio.IncompleteReadError):
        head = await reader.readuntil(b"\r\n\r\n")
        request_line, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = request_line.split(" ")
        pairs = (line.partition(":") for line in lines if line)
        headers = {n.strip().lower(): v.strip() for n, _, v in pairs}
        length = int(headers.get("content-length", "0"))
        return Arrival(
            method, target, headers, await reader.readexactly(length)
        )
    return None


def make_head(
    status: int, arrival: Arrival, signed: bool = True, **extra_headers: str
) -> bytes:
    """Encodes a response head; keyword arguments become headers, `_` as `-`."""
    lines = [f"HTTP/1.1 {status} X"]
    lines.append(f"Attempt-Id: {arrival.request_id}")
    if signed:
        lines.append(f"Response-Signature: {SIGNATURE}")
    fields = {**arrival.notices, **extra_headers}
    lines += [f"{name.replace('_', '-')}: {v}" for name, v in fields.items()]
    return "\r\n".join(lines).encode() + _CRLF + _CRLF


async def send(
    writer: asyncio.StreamWriter,
    status: int,
    arrival: Arrival,
    body: bytes,
    signed: bool = True,
    **extra_headers: str,
) -> None:
    """Sends a complete response with a Content-Length."""
    length = str(len(body))
    head = make_head(
        status, arrival, signed, Content_Length=length, **extra_headers
    )
    writer.write(head + body)
    await writer.drain()


async def answer_plain(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Script that sends a complete response immediately."""
    await send(writer, 200, arrival, b"done")


async def refuse(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Script that refuses a request and reports that it was not run."""
    await send(writer, 503, arrival, b"", signed=False, Not_Executed="1")


def make_refusal_with_rest(rest_s: float) -> Script:
    """Makes a script that refuses requests and asks for a rest."""

    async def run(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        await send(
            writer,
            503,
            arrival,
            b"",
            signed=False,
            Not_Executed="1",
            Retry_After=str(rest_s),
        )

    return run


async def fail(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Script that answers 500: the request has run and the worker failed."""
    await send(writer, 500, arrival, b"bad")


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset instead of an orderly close."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    # The other end may have closed the connection already.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def reset(_arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Script that resets the connection without a response."""
    reset_connection(writer)


async def hang(_arrival: Arrival, _writer: asyncio.StreamWriter) -> None:
    """Script that sends no response and keeps the connection open."""
    await asyncio.sleep(3600)


def make_stream(
    events: int = 5,
    break_after: int | None = None,
    pause_s: float | Sequence[float] = 0.0,
    confidence: dict[str, int] | None = None,
    first_s: float = 0.0,
    ending: StreamEnding = StreamEnding.CHUNKED,
) -> Script:
    """Makes a script that streams events with ids from 1.

    The stream resumes after the event that the `Last-Event-Id` header names.

    Args:
        events: Id of the last event.
        break_after: Id of the last complete event; the script ends the
            connection within the next event. None for no break.
        pause_s: Pause in seconds before each event, or one for each of them.
        confidence: Value of the `Confidence` header by model.
        first_s: Time in seconds until the response begins.
        ending: How the response is framed, and how its connection breaks off.
    """
    is_chunked = ending is StreamEnding.CHUNKED
    framing = {"Transfer_Encoding": "chunked"} if is_chunked else {}
    pauses_s = (
        [pause_s] * events if isinstance(pause_s, float | int) else pause_s
    )

    async def run(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(first_s)
        model = arrival.headers.get("model-name", "")
        extra_headers = {"Content_Type": "text/event-stream"}
        if confidence and model in confidence:
            extra_headers["Confidence"] = str(confidence[model])
        writer.write(make_head(200, arrival, True, **framing, **extra_headers))
        await writer.drain()
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(pauses_s[number - 1])
            event = f"id: {number}\ndata: {model or 'text'}\n\n".encode()
            if break_after is not None and number > break_after:
                writer.write(_chunk(event[:5]) if is_chunked else event[:5])
                await writer.drain()
                await asyncio.sleep(0.02)
                _end_connection(writer, ending)
                return
            writer.write(_chunk(event) if is_chunked else event)
            await writer.drain()
        if is_chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()

    return run


def _end_connection(writer: asyncio.StreamWriter, ending: StreamEnding) -> None:
    if ending is StreamEnding.CLOSED_ORDERLY:
        writer.close()
    else:
        reset_connection(writer)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)

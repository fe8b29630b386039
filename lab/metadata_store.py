"""Metadata store of the platform: topics, conditional appends and faults."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct

from aiohttp import web

from lab.faults import Faults
from lab.server import hang, make_app

_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")
PAGE_RECORDS = 50
"""Maximum number of keys in a page of newest values."""
STALL_BYTES = 64
"""Number of body bytes that are sent before a stall."""
SLICE_S = 0.02
"""Rate-limited bodies are sent in slices, one per this time in seconds."""
MAX_WAIT_S = 30.0
"""Longest time in seconds that a read waits for a record."""
OPERATOR_ONLY = ("keyed.op", "keyed.servers")


class StoreFaults(Faults):
    """Injectable faults of the metadata store."""

    # Outcome of every call: "503", "429", "reset" or "silent" (no response).
    outage: str = ""
    # Delays each call by this time, before it takes effect.
    slow_ms: float = 0.0
    # The next N appends take effect, but the connection is reset.
    lose_appends: int = 0
    # Reads return only after their full wait time, even if records exist.
    deaf: bool = False
    # Resets the connection after this number of bytes of a read's body.
    break_after_bytes: int = 0
    # Stops sending after the first bytes of the body of a read.
    stall: bool = False
    # Rate limit of each response body of a read.
    bytes_per_s: float = 0.0
    # Reads return a topic without its last N records.
    stale_by: int = 0


class Topic:
    """A topic with a single partition of records.

    Attributes:
        is_keyed: Whether records have keys and the newest of each key stays.
        first: Offset of the oldest retained record.
        newest: Offset and value of the newest record of each key.
        producers: Highest epoch and last sequence number of each producer.
    """

    def __init__(self, name: str) -> None:
        self.is_keyed = name.startswith("keyed.")
        self.first = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, tuple[int, int]] = {}
        self._records: list[bytes] = []
        self._appended = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset that the next appended record will get."""
        return self.first + len(self._records)

    def append(self, records: list[bytes]) -> int:
        """Adds records and returns the offset of the first one."""
        offset = self.end
        for data in records:
            if self.is_keyed:
                self._update_newest(data)
            self._records.append(data)
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def read(self, offset: int, end: int) -> list[bytes]:
        """Returns the records from `offset` up to, but not including, `end`."""
        return self._records[offset - self.first : end - self.first]

    def copy(self) -> Topic:
        """Returns a copy of the topic as it is now."""
        topic = Topic.__new__(Topic)
        topic.is_keyed, topic.first = self.is_keyed, self.first
        topic.newest = dict(self.newest)
        topic.producers = dict(self.producers)
        topic._records = list(self._records)
        topic._appended = self._appended
        return topic

    def restore(self, copy: Topic) -> None:
        """Goes back to a copy; offsets after it are given out again."""
        restored = copy.copy()
        self.first, self.newest = restored.first, restored.newest
        self.producers = restored.producers
        self._records = restored._records

    def delete_records(self) -> None:
        """Deletes all records, but keeps the newest value of each key."""
        self.first = self.end
        self._records.clear()

    async def wait(self, offset: int, wait_s: float) -> None:
        """Waits until the record at `offset` exists or the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.end <= offset:
                    await self._appended.wait()

    def _update_newest(self, data: bytes) -> None:
        end = 1 + data[0]
        key, value = data[1:end].decode(), data[end:]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)


class MetadataStore:
    """The metadata store's topics and HTTP handlers.

    Attributes:
        faults: Faults that are set now.
        topics: Topics by name.
        era: Number of times that the store has come back from a copy; stated
            in each of its answers.
        calls: Types of the calls so far: `append`, `read` or `newest`.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.topics: dict[str, Topic] = {}
        self.era = 0
        self.calls: list[str] = []

    def get_topic(self, name: str) -> Topic:
        """Returns a topic, which is created on its first use."""
        return self.topics.setdefault(name, Topic(name))

    def take_copy(self) -> dict[str, Topic]:
        """Returns a copy of all topics, from which the store may come back."""
        return {name: topic.copy() for name, topic in self.topics.items()}

    def restore_copy(self, copies: dict[str, Topic]) -> None:
        """Loses all that was written since a copy, and begins a new era."""
        for name, topic in self.topics.items():
            topic.restore(copies.get(name) or Topic(name))
        self.era += 1

    def append_keyed(self, topic: str, key: str, value: bytes) -> int:
        """Appends a keyed record, as operators and upstreams do.

        Returns:
            The offset of the record.
        """
        data = bytes((len(key.encode()),)) + key.encode() + value
        return self.get_topic(topic).append([data])

    def make_app(self) -> web.Application:
        """Creates the web application that serves the store."""
        app = make_app(self.faults, lambda: {"calls": len(self.calls)})
        app.on_response_prepare.append(self._state_era)
        app.router.add_post("/v1/log-append", self._handle_append)
        app.router.add_get("/v1/log-read", self._handle_read)
        app.router.add_get("/v1/log-newest", self._handle_newest)
        return app

    async def _state_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        del request
        response.headers["Store-Era"] = str(self.era)

    async def _handle_append(self, request: web.Request) -> web.Response:
        self.calls.append("append")
        name = request.query["Topic"]
        if name in OPERATOR_ONLY:
            return web.json_response({}, status=403)
        failure = await self._apply_faults(request)
        if failure is not None:
            return failure
        topic = self.get_topic(name)
        records = _decode_records(await request.read())
        if "At" in request.query and int(request.query["At"]) != topic.end:
            return web.json_response({"EndOffset": topic.end}, status=412)
        refusal = self._check_producer(topic, request, len(records))
        if refusal is not None:
            return refusal
        offset = topic.append(records)
        if self.faults.lose_appends:
            self.faults.lose_appends -= 1
            await self._reset_connection(request)
        return web.json_response({"Offset": offset, "EndOffset": topic.end})

    def _check_producer(
        self, topic: Topic, request: web.Request, count: int
    ) -> web.Response | None:
        producer = request.query.get("Producer")
        if producer is None:
            return None
        epoch = int(request.query["epoch"])
        sequence = int(request.query["Sequence"])
        known_epoch, known_sequence = topic.producers.get(producer, (-1, -1))
        if epoch < known_epoch:
            return web.json_response({"Reason": "fenced"}, status=409)
        if epoch == known_epoch and sequence != known_sequence + 1:
            return web.json_response({"Reason": "seq"}, status=409)
        if count:
            topic.producers[producer] = (epoch, sequence)
        return None

    async def _handle_read(self, request: web.Request) -> web.StreamResponse:
        self.calls.append("read")
        failure = await self._apply_faults(request)
        if failure is not None:
            return failure
        topic = self.get_topic(request.query["Topic"])
        offset = int(request.query["Source"])
        wait_s = float(request.query.get("WaitMs", 0)) / 1000
        if not topic.first <= offset <= topic.end:
            return web.json_response({"StartOffset": topic.first}, status=410)
        if self.faults.deaf:
            await asyncio.sleep(min(wait_s, MAX_WAIT_S))
        await topic.wait(offset, min(wait_s, MAX_WAIT_S))
        if not topic.first <= offset <= topic.end:
            return web.json_response({"StartOffset": topic.first}, status=410)
        end = max(topic.first, topic.end - self.faults.stale_by)
        body = _READ_HEAD.pack(end, topic.first)
        for data in topic.read(offset, max(offset, end)):
            body += _LENGTH.pack(len(data)) + data
        return await self._send_body(request, body)

    async def _send_body(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = len(body)
        with contextlib.suppress(ConnectionResetError):
            await self._write_body(request, response, body)
        return response

    async def _write_body(
        self, request: web.Request, response: web.StreamResponse, body: bytes
    ) -> None:
        await response.prepare(request)
        limit_bytes = self.faults.break_after_bytes or len(body)
        position = 0
        while position < min(len(body), limit_bytes):
            size = limit_bytes - position
            if rate := self.faults.bytes_per_s:
                size = min(size, int(rate * SLICE_S))
                await asyncio.sleep(SLICE_S)
            if self.faults.stall:
                size = min(size, STALL_BYTES)
            await response.write(body[position : position + size])
            position += size
            if self.faults.stall and position < len(body):
                await hang(request)
        if position < len(body):
            await self._reset_connection(request)

    async def _handle_newest(self, request: web.Request) -> web.StreamResponse:
        self.calls.append("newest")
        failure = await self._apply_faults(request)
        if failure is not None:
            return failure
        topic = self.get_topic(request.query["Topic"])
        after = request.query.get("After", "")
        keys = sorted(key for key in topic.newest if key > after)
        entries = [
            {
                "Key": key,
                "Data": base64.b64encode(topic.newest[key][1]).decode(),
                "Offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_RECORDS]
        ]
        page = {
            "Entries": entries,
            "HasMore": len(keys) > PAGE_RECORDS,
            "EndOffset": topic.end,
        }
        return await self._send_body(request, json.dumps(page).encode())

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        outage = self.faults.outage
        if outage == "silent":
            await hang(request)
        if outage == "reset":
            await self._reset_connection(request)
        if outage:
            status = int(outage) if outage.isdigit() else 503
            return web.json_response({}, status=status)
        return None

    async def _reset_connection(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()


def _decode_records(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records

"""Stand-ins for the scripts of review 2: store, workers, clients, gateways.

Python's standard library only. The store and the workers speak what
PROTOCOL.md says; where that page is silent they behave like sound ones.
Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import logging
import os
import pathlib
import random
import shutil
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "clinic"
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_S = 1.2
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
_CONNECTION_ENDS = (EOFError, ConnectionError, asyncio.CancelledError)
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {
    "SeedLagS": "3",
    "ReuseAfterS": "2",
    "ContactMs": "3000",
    "AckMs": "4000",
    "CatchUpS": "4",
    "DrainMs": "2000",
    "GraceS": "8",
    "LossSlackMs": "200",
    "ConfigApplyMs": "2000",
    "DowngradeSlackMs": "250",
    "MaxStretchMs": "5000",
    "StrictRevocation": "true",
    "RevokeMs": "5000",
    "RetryBudgetRatio": "0.9",
    "RetryWindowS": "10",
    "RetrySlack": "54",
    "ExposureShare": "0.15",
    "ExposureSlack": "30",
    "RollbackMs": "5000",
    "RecoveryS": "12",
    "IterationMs": "120",
    "ReuseWindowS": "8.6",
    "SessionS": "5",
}


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Lines of what was sent, answered and run, with times in seconds."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._begun_s = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        age_s = time.monotonic() - self._begun_s
        self._lines.append(f"{age_s:9.4f} {text}")

    def conclude(self, text: str) -> None:
        """Adds a line that is also printed."""
        self.add(text)
        print(text, flush=True)

    def write(self) -> None:
        self._path.write_text("\n".join(self._lines) + "\n")


# HTTP/1.1, as little of it as the stand-ins need.


class Message:
    """Head and body of a request or an answer."""

    def __init__(
        self, first: str, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        self.first = first
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]

    @property
    def id(self) -> str:
        return self.headers.get("attempt-id", "")


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]]:
    """Reads a first line and headers.

    Raises:
        EOFError: The connection ended, with or without a part of a head.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError(repr(error.partial)) from error
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, [(name.strip(), value.strip()) for name, _, value in pairs]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message with a length, in chunks, or without a body.

    Raises:
        EOFError: The connection ended before the message did.
    """
    first, headers = await read_head(reader)
    fields = {name.lower(): value for name, value in headers}
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(
                int(fields.get("content-length", "0"))
            )
    except asyncio.IncompleteReadError as error:
        raise EOFError("within a body") from error
    return Message(first, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        parts.append((await reader.readexactly(size + 2))[:-2])
        if size == 0:
            return b"".join(parts)


def make_head(first: str, headers: Mapping[str, str]) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def make_answer(
    status: int, headers: Mapping[str, str], body: bytes = b""
) -> bytes:
    fields = {**headers, "Content-Length": str(len(body))}
    return make_head(f"HTTP/1.1 {status} X", fields) + body


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


# The platform's store.


class Topic:
    def __init__(self, name: str) -> None:
        self.is_keyed = name.startswith("keyed.")
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.appended = asyncio.Event()

    def append(self, records: Sequence[bytes]) -> int:
        offset = len(self.records)
        for data in records:
            if self.is_keyed:
                end = 1 + data[0]
                key, value = data[1:end].decode(), data[end:]
                if value:
                    self.newest[key] = (len(self.records), value)
                else:
                    self.newest.pop(key, None)
            self.records.append(data)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def copy(self) -> Topic:
        topic = Topic("")
        topic.is_keyed = self.is_keyed
        topic.records = list(self.records)
        topic.newest = dict(self.newest)
        return topic


class Store:
    """The metadata store: a log with keyed topics.

    In a drill it is away for a moment, and comes back from a copy.
    """

    def __init__(self, record: Record) -> None:
        self.address = ""
        self._record = record
        self._topics: dict[str, Topic] = {}
        self._era = 1
        self.is_away = False
        self._writers: set[asyncio.StreamWriter] = set()

    def take_copy(self) -> dict[str, Topic]:
        return {name: topic.copy() for name, topic in self._topics.items()}

    def go_away(self) -> None:
        """Ends all connections, and each new one, until it is back."""
        self.is_away = True
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._record.add("store: away")

    def come_back(self, copy: dict[str, Topic]) -> None:
        """Comes back from a copy; what was written since is gone."""
        self._topics = {name: topic.copy() for name, topic in copy.items()}
        self._era += 1
        self.is_away = False
        self._record.add(f"store: back from a copy, era {self._era}")

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a key as the operator or a worker; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self._get(topic).append([bytes((len(name),)) + name + data])
        self._record.add(f"store: {topic} {key} written")

    def get_newest(self, topic: str, key: str) -> bytes | None:
        """Returns the newest value of a key, as the operator reads it."""
        found = self._get(topic).newest.get(key)
        return None if found is None else found[1]

    def beat(self, name: str, entry: Mapping[str, object]) -> None:
        """Writes a worker's entry, if more than its `Sequence` changes."""
        known = self._get("keyed.servers").newest.get(name)
        if known is not None:
            fields = json.loads(known[1])
            if {**fields, "Sequence": 0} == {**entry, "Sequence": 0}:
                return
        self.put("keyed.servers", name, entry)

    def _get(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic(name))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*_CONNECTION_ENDS):
            while not self.is_away:
                request = await read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(self, request: Message) -> bytes:
        path, _, query_text = request.target.partition("?")
        query = dict(
            item.partition("=")[::2] for item in query_text.split("&") if item
        )
        headers = {"Store-Era": str(self._era)}
        topic = self._get(query.get("Topic", ""))
        if path == "/v1/log-append":
            status, fields = self._append(topic, query, request.body)
            return make_answer(status, headers, json.dumps(fields).encode())
        if path == "/v1/log-read":
            if int(query["Source"]) > len(topic.records):
                return make_answer(410, headers, b'{"StartOffset":0}')
            body = await self._read(topic, query)
            return make_answer(200, headers, body)
        if path == "/v1/log-newest":
            body = json.dumps(self._list(topic, query)).encode()
            return make_answer(200, headers, body)
        return make_answer(404, headers)

    def _append(
        self, topic: Topic, query: Mapping[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        if query["Topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        end = len(topic.records)
        if "At" in query and int(query["At"]) != end:
            return 412, {"EndOffset": end}
        records = []
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        offset = topic.append(records)
        return 200, {"Offset": offset, "EndOffset": len(topic.records)}

    async def _read(self, topic: Topic, query: Mapping[str, str]) -> bytes:
        first = int(query["Source"])
        wait_s = float(query.get("WaitMs", "0")) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while len(topic.records) <= first:
                    await topic.appended.wait()
        body = struct.pack(">QQ", len(topic.records), 0)
        for data in topic.records[first:]:
            body += struct.pack(">I", len(data)) + data
        return body

    @staticmethod
    def _list(topic: Topic, query: Mapping[str, str]) -> dict[str, object]:
        keys = sorted(
            key for key in topic.newest if key > query.get("After", "")
        )
        entries = [
            {
                "Key": key,
                "Data": base64.b64encode(topic.newest[key][1]).decode(),
                "Offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        return {
            "Entries": entries,
            "HasMore": len(keys) > 500,
            "EndOffset": len(topic.records),
        }


# Workers.

Answer = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


def make_entry(service: str, address: str) -> dict[str, object]:
    return {
        "Service": service,
        "Address": address,
        "Zone": "a",
        "Version": "v1",
        "MaxBatchSize": 64,
        "State": "ready",
        "WarmupLeftMs": 0,
        "Sequence": 1,
        "born": int(time.time() * 1000),
    }


class Worker:
    """A sound worker; `answer` answers one request on its connection."""

    def __init__(self, name: str, answer: Answer, record: Record) -> None:
        self.name = name
        self.address = ""
        self.begun: list[str] = []
        self._answer = answer
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts a process; one that starts again has the address it had."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{bound}"
        self._record.add(f"worker: {self.name} started")

    def end(self, how: str) -> None:
        """Ends the process: nothing listens, all connections are reset."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._record.add(f"worker: {self.name} {how}")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*_CONNECTION_ENDS):
            while True:
                request = await read_message(reader)
                if request.headers.get("expected-instance") != self.name:
                    fields = {"Attempt-Id": request.id, "Not-Executed": "1"}
                    writer.write(make_answer(421, fields))
                    continue
                self.begun.append(request.id)
                self._record.add(f"run: {request.id} begins at {self.name}")
                await self._answer(request, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


# Clients.


class Client:
    """A client that keeps its connection for many requests."""

    def __init__(self, address: str, record: Record, key: str = KEY) -> None:
        self._key = key
        self._host, _, self._port = address.rpartition(":")
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.answered_on_connection = 0

    async def call(
        self, path: str, request_id: str, body: bytes, **extra: str
    ) -> Message | None:
        """Sends a request; returns its answer.

        Returns:
            The answer; None if the connection ended before any byte of it.

        Raises:
            EOFError: The connection ended within the answer.
        """
        if self._writer is None or self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
            self.answered_on_connection = 0
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Authorization": f"Token {self._key}",
            "Deadline-Ms": "8000",
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }
        self._record.add(f"client: {request_id} sent")
        try:
            self._writer.write(
                make_head(f"POST {path} HTTP/1.1", headers) + body
            )
            await self._writer.drain()
            answer = await read_message(self._reader)
        except (EOFError, ConnectionError) as error:
            self.close()
            self._record.add(
                f"client: {request_id} connection ended: {error!r}"
            )
            if isinstance(error, EOFError) and str(error) != "b''":
                raise
            return None
        self._record.add(
            f"client: {request_id} answered {answer.status}"
            f" {len(answer.body)} bytes"
        )
        self.answered_on_connection += 1
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


# Gateways.


def get_free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        port = probe.getsockname()[1]
    return int(port)


_hosts = itertools.count(random.SystemRandom().randrange(1, 200))


def make_host() -> str:
    """Returns a loopback address for one machine.

    Each machine has an address of its own, as on the platform: the port of the
    metrics is the same on all of them.
    """
    block = random.SystemRandom().randrange(10, 250)
    return f"127.{block}.{random.SystemRandom().randrange(250)}.{next(_hosts)}"


class Gateway:
    """A machine that runs the gateway as the deploy file says."""

    def __init__(
        self, name: str, store: Store, folder: pathlib.Path, record: Record
    ) -> None:
        self.name = name
        self.host = make_host()
        self.client_address = f"{self.host}:{get_free_port(self.host)}"
        self.ready_address = f"{self.host}:{get_free_port(self.host)}"
        self._record = record
        self._store = store
        self._path = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._peer_port = get_free_port(self.host)
        self._process: asyncio.subprocess.Process | None = None
        self.write_settings(seeds=())

    def write_settings(self, seeds: Sequence[str]) -> None:
        fields = {
            "NodeName": self.name,
            "Role": "gateway",
            "MachineClass": "edge",
            "Serves": "edge",
            "Ip": self.host,
            "Zone": "a",
            "Region": "lhr",
            "Zones.a": "lhr",
            "Listen.Frontend": self.client_address,
            "Listen.Readiness": self.ready_address,
            "PortRange": f"{self._peer_port},{self._peer_port}",
            "Seeds": ",".join(seeds),
            "Bootstrap": "false",
            "Limits.CpuQuota": "0.817",
            "Limits.CpuCores": "1",
            "Limits.MemoryMb": "300",
            "Limits.MaxFds": "4100",
            "HeartbeatMs": str(int(HEARTBEAT_S * 1000)),
            "Platform.Address": self._store.address,
            "Platform.form": "log",
            **{f"Bounds.{name}": value for name, value in BOUNDS.items()},
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        new = self._path.with_suffix(".new")
        new.write_text(text)
        new.replace(self._path)

    @property
    def returncode(self) -> int | None:
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["LOVAGESTAGE_NODE_FILE"] = str(self._path)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                "lovagestage.gateway",
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )
        self._record.add(f"gateway: {self.name} started")

    def send_signal(self, number: int) -> None:
        assert self._process is not None
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        assert self._process is not None
        return await self._process.wait()

    async def stop(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Asks as the platform's balancer does."""
        host, _, port = self.ready_address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    make_head("GET /v1/readyz HTTP/1.1", {"Host": HOST})
                )
                answer = await read_message(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_until_ready(self, limit_s: float = 15.0) -> None:
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise NotRunError(f"{self.name} is not ready: {self.get_log()}")
            await asyncio.sleep(0.05)
        self._record.add(f"gateway: {self.name} is ready")

    def get_log(self) -> str:
        return self._log.read_text(errors="replace")[-1500:]


def run_scenario(
    folder: pathlib.Path,
    scenario: Callable[[Record, pathlib.Path], Awaitable[int]],
    limit_s: float = 110.0,
) -> None:
    """Runs a case and ends the process with its exit code."""
    if not (ROOT / "target" / "deps" / "lovagestage").is_dir():
        print("the build of the deploy file has not been made")
        sys.exit(EXIT_NOT_RUN)
    # Connections that are reset are a part of the cases.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    record = Record(folder / "record.txt")
    record.add("with the disruption" if WITH_TROUBLE else "TROUBLE=0")
    work = pathlib.Path(tempfile.mkdtemp())
    try:
        code = asyncio.run(_run(scenario, record, work, limit_s))
    except Exception as error:
        # An unexpected error must not pass for a broken rule (exit code 1).
        record.conclude(f"not run: {error!r}")
        code = EXIT_NOT_RUN
    finally:
        record.write()
        shutil.rmtree(work, ignore_errors=True)
    sys.exit(code)


async def _run(
    scenario: Callable[[Record, pathlib.Path], Awaitable[int]],
    record: Record,
    work: pathlib.Path,
    limit_s: float,
) -> int:
    async with asyncio.timeout(limit_s):
        return await scenario(record, work)

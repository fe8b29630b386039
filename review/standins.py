"""Stand-ins of the review's scripts: store, workers, clients, gateways.

They need the standard library alone, speak what the platform's pages say, and
listen on loopback addresses only. Whatever they see goes into a `Record`.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
METRICS_PORT = 9464
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script."""
CONNECTION_ENDS = (
    ConnectionError,
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
)
"""How the service of a connection ends, the end of the script included."""

SETTINGS = """NodeName={name}
Role=gateway
MachineClass=edge
Serves=edge
Ip={ip}
Zone=lhr-gulberg
Region=lhr
Zones.lhr-gulberg=lhr
Listen.Frontend={ip}:{client}
Listen.Readiness={ip}:{ready}
PortRange={peer},{peer}
Limits.CpuQuota=0.817
Limits.MemoryMb=300
Discovery=platform
Ingress=virtual_ip
HeartbeatMs=1200
Bounds.ContactMs=3000
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.DowngradeSlackMs=250
Bounds.MaxStretchMs=5000
Bounds.StrictRevocation=true
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.9
Bounds.RetryWindowS=10
Bounds.RetrySlack=54
Bounds.ExposureShare=0.15
Bounds.ExposureSlack=30
Bounds.RollbackMs=5000
Bounds.RecoveryS=12
Bounds.IterationMs=120
Bounds.SessionS=5
Platform.Address={store}
Platform.form=log
"""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start.

    Args:
        path: File that gets the lines.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._start_s

    def add(self, text: str) -> None:
        """Adds a line."""
        line = f"{self.now_s():8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


async def read_head(reader: asyncio.StreamReader) -> list[str] | None:
    """Reads the lines of a message's head; None at the end of the input."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return data.decode("latin-1")[:-4].split("\r\n")


def get_headers(lines: list[str]) -> dict[str, str]:
    """Returns the headers of a head by their names in lower case."""
    pairs = (line.partition(":") for line in lines[1:])
    return {name.lower(): value.strip() for name, _, value in pairs}


def get_address(server: asyncio.Server) -> str:
    """Returns the `IP:PORT` on which a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


class Topic:
    """A topic of the store with one partition."""

    def __init__(self, records: list[bytes] | None = None) -> None:
        self.records = list(records or [])
        self.appended = asyncio.Event()

    def append(self, data: bytes) -> None:
        """Adds a record and wakes the reads that wait for one."""
        self.records.append(data)
        self.wake()

    def wake(self) -> None:
        """Wakes the reads that wait."""
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    """The platform's metadata store: appends, reads and newest records."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.era = 0
        self.is_down = False
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = get_address(server)

    def get_topic(self, name: str) -> Topic:
        """Returns a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a keyed record, as the operator and the workers do."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self.get_topic(topic).append(bytes((len(name),)) + name + data)

    def take_copy(self) -> dict[str, list[bytes]]:
        """Returns a copy of all records."""
        return {name: list(t.records) for name, t in self.topics.items()}

    def go_away(self) -> None:
        """Resets all connections and refuses new ones."""
        self.is_down = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, copy: dict[str, list[bytes]]) -> None:
        """Comes back from a copy; offsets after it are given out again."""
        self.topics = {name: Topic(records) for name, records in copy.items()}
        self.era += 1
        self.is_down = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*CONNECTION_ENDS):
            while not self.is_down:
                lines = await read_head(reader)
                if lines is None:
                    break
                length = int(get_headers(lines).get("content-length", "0"))
                body = await reader.readexactly(length)
                method, target, _ = lines[0].split(" ")
                status, answer = await self._answer(method, target, body)
                if self.is_down:
                    break
                era = f"Store-Era: {self.era}\r\n" if self.era else ""
                head = (
                    f"HTTP/1.1 {status} X\r\n{era}"
                    f"Content-Length: {len(answer)}\r\n\r\n"
                )
                writer.write(head.encode() + answer)
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        name = fields["Topic"]
        match path:
            case "/v1/log-append":
                return self._append(name, fields, body)
            case "/v1/log-read":
                return await self._read(name, fields)
            case "/v1/log-newest":
                return self._read_newest(name)
        return 404, b"{}"

    def _append(
        self, name: str, fields: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = self.get_topic(name)
        offset = len(topic.records)
        if "At" in fields and int(fields["At"]) != offset:
            return 412, json.dumps({"EndOffset": offset}).encode()
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            topic.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        end = len(topic.records)
        return 200, json.dumps({"Offset": offset, "EndOffset": end}).encode()

    async def _read(
        self, name: str, fields: dict[str, str]
    ) -> tuple[int, bytes]:
        offset = int(fields["Source"])
        if offset > len(self.get_topic(name).records):
            return 410, json.dumps({"StartOffset": 0}).encode()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(fields.get("WaitMs", "0")) / 1000):
                topic = self.get_topic(name)
                while len(topic.records) <= offset:
                    await topic.appended.wait()
        records = self.get_topic(name).records
        if offset > len(records):
            return 410, json.dumps({"StartOffset": 0}).encode()
        parts = [struct.pack(">QQ", len(records), 0)]
        for data in records[offset:]:
            parts.append(struct.pack(">I", len(data)) + data)
        return 200, b"".join(parts)

    def _read_newest(self, name: str) -> tuple[int, bytes]:
        records = self.get_topic(name).records
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, data in enumerate(records):
            key = data[1 : 1 + data[0]].decode()
            newest.pop(key, None)
            if value := data[1 + data[0] :]:
                newest[key] = (offset, value)
        entries = [
            {
                "Key": key,
                "Data": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
        ]
        answer = {
            "Entries": entries,
            "HasMore": False,
            "EndOffset": len(records),
        }
        return 200, json.dumps(answer).encode()


@dataclasses.dataclass
class Arrival:
    """A request as a worker received it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers by their names in lower case.
        body: The body.
        number: Number of the request on its connection, from 1.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    number: int

    @property
    def id(self) -> str:
        """The `Attempt-Id`."""
        return self.headers.get("attempt-id", "")


Answer = Callable[["Worker", Arrival, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """A worker that answers each request with a function.

    It drops a request when its connection closes. `outcomes` holds, by the id
    of a request, how its run ended.

    Args:
        name: Id of the worker.
        answer: Answers a request.
        record: Gets a line for each run.
    """

    def __init__(self, name: str, answer: Answer, record: Record) -> None:
        self.name = name
        self.address = ""
        self.outcomes: dict[str, str] = {}
        self._answer = answer
        self._record = record

    async def start(self) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = get_address(server)

    def make_entry(self, service: str, state: str = "ready") -> dict:
        """Returns the worker's entry in the store."""
        return {
            "Service": service,
            "Address": self.address,
            "Zone": "lhr-gulberg",
            "Version": "v1",
            "MaxBatchSize": 64,
            "State": state,
            "WarmupLeftMs": 0,
            "Sequence": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = 0
        with contextlib.suppress(*CONNECTION_ENDS):
            while (lines := await read_head(reader)) is not None:
                headers = get_headers(lines)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                method, target, _ = lines[0].split(" ")
                number += 1
                arrival = Arrival(method, target, headers, body, number)
                if not await self._run(arrival, reader, writer):
                    break
        writer.close()

    async def _run(
        self,
        arrival: Arrival,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if arrival.headers.get("expected-instance", self.name) != self.name:
            writer.write(
                b"HTTP/1.1 421 X\r\nInstance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % self.name.encode()
            )
            return True
        tenant = arrival.headers.get("tenant-id")
        self._record.add(
            f"{self.name} runs {arrival.id} {arrival.target} of {tenant}"
        )
        self.outcomes[arrival.id] = "at work"
        work = asyncio.ensure_future(self._answer(self, arrival, writer))
        closed = asyncio.ensure_future(_wait_for_end(reader))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if not work.done():
            work.cancel()
            self.outcomes[arrival.id] = "dropped: its connection was closed"
        else:
            work.result()
            self.outcomes[arrival.id] = "complete"
        self._record.add(
            f"{self.name} ended {arrival.id}: {self.outcomes[arrival.id]}"
        )
        return self.outcomes[arrival.id] == "complete"


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


def make_head(arrival: Arrival, status: int, **headers: str) -> bytes:
    """Encodes the signed head of a worker's answer."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"Attempt-Id: {arrival.id}",
        f"Response-Signature: 3e1b.{arrival.id}",
        *(f"{name.replace('_', '-')}: {v}" for name, v in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def answer_plain(
    writer: asyncio.StreamWriter, arrival: Arrival, body: bytes
) -> None:
    """Sends a complete answer with a length."""
    head = make_head(arrival, 200, Content_Length=str(len(body)))
    writer.write(head + body)
    await writer.drain()


async def answer_stream(
    writer: asyncio.StreamWriter, arrival: Arrival, pauses_s: list[float]
) -> None:
    """Streams one event after each pause; goes on at `Last-Event-Id`."""
    writer.write(
        make_head(
            arrival,
            200,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
        )
    )
    first = int(arrival.headers.get("last-event-id", "0"))
    for number, pause_s in list(enumerate(pauses_s, 1))[first:]:
        await asyncio.sleep(pause_s)
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


@dataclasses.dataclass
class Reply:
    """What a client got for a request.

    Attributes:
        status: Status; 0 if the connection ended before the head.
        headers: Headers by their names in lower case.
        body: The body as far as it was received.
        is_complete: Whether the answer was complete.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    def __str__(self) -> str:
        how = "complete" if self.is_complete else "the connection ended"
        signed = (
            "signed" if "response-signature" in self.headers else "unsigned"
        )
        return f"{self.status} {signed}, {len(self.body)} bytes, {how}"


class Client:
    """A client with one connection to a gateway.

    Args:
        record: Gets a line for each request and answer.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, address: str) -> None:
        """Opens the connection."""
        host, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()

    async def call(
        self,
        request_id: str,
        path: str,
        method: str = "POST",
        body: bytes = b"x",
        deadline_ms: int = 8000,
        key: str = KEY,
    ) -> Reply:
        """Sends a request and reads its answer, until its deadline."""
        assert self._writer is not None
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {key}",
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n"
        data += b"" if method == "GET" else body
        self._record.add(f"client sends {request_id} {method} {path}")
        reply = Reply()
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, TimeoutError
        ):
            self._writer.write(data)
            async with asyncio.timeout(deadline_ms / 1000):
                await self._read(reply)
        self._record.add(f"client got {request_id}: {reply}")
        return reply

    async def _read(self, reply: Reply) -> None:
        assert self._reader is not None
        lines = await read_head(self._reader)
        if lines is None:
            return
        reply.status = int(lines[0].split(" ")[1])
        reply.headers = get_headers(lines)
        if "content-length" in reply.headers:
            length = int(reply.headers["content-length"])
            reply.body = await self._reader.readexactly(length)
        else:
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                data = await self._reader.readexactly(size + 2)
                reply.body += data[:-2]
            await self._reader.readexactly(2)
        reply.is_complete = True


class Gateway:
    """A gateway process, started as the deploy file says.

    Each has a loopback address of its own, as on machines of their own, since
    the port of the metrics is a fixed one.

    Args:
        name: Name of its machine.
        store: Address of the store.
        folder: Folder for the settings and the log.
        record: Gets a line for each start and signal.
    """

    def __init__(
        self, name: str, store: str, folder: pathlib.Path, record: Record
    ) -> None:
        self.name = name
        self._record = record
        self._log = folder / f"{name}.log"
        self._path = folder / f"{name}.conf"
        ip = _get_free_ip()
        ports = _get_free_ports(ip, 3)
        self.address = f"{ip}:{ports[0]}"
        self._ready = (ip, ports[1])
        self._path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                client=ports[0],
                ready=ports[1],
                peer=ports[2],
                store=store,
            )
        )
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["LOVAGESTAGE_NODE_FILE"] = str(self._path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                "lovagestage.gateway",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._record.add(f"{self.name} started")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._record.add(f"{self.name} gets {number.name}")
        self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end of the process and returns its exit code."""
        assert self._process is not None
        code = await self._process.wait()
        self._record.add(f"{self.name} ended with code {code}")
        return code

    async def kill(self) -> None:
        """Kills the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Asks the readiness address."""
        try:
            reader, writer = await asyncio.open_connection(*self._ready)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(1.0):
                line = await reader.readline()
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Waits until the process is ready; raises `TimeoutError`."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def get_log(self) -> str:
        """Returns the process's log."""
        return self._log.read_text(errors="replace")


def _get_free_ip() -> str:
    for _ in range(100):
        ip = ".".join(("127", *(str(random.randint(2, 250)) for _ in range(3))))
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((ip, METRICS_PORT))
            return ip
    raise OSError("no free loopback address")


def _get_free_ports(ip: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [int(probe.getsockname()[1]) for probe in probes]


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Returns a route of the configuration; its prefix is its name."""
    return {
        "Name": f"r-{name}",
        "Hostname": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": kind,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 1500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1 if kind == "unsafe" else 3,
        "Public": False,
        **fields,
    }


def make_configuration(
    version: int, routes: list[dict], keys: tuple[str, ...] = (KEY,)
) -> dict:
    """Returns a configuration for the operator to write."""
    services = sorted({route["Service"] for route in routes})
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": n, "HealthPath": "/healthz"} for n in services],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": list(keys), "Priority": 1}],
    }


Case = Callable[[Record, pathlib.Path, bool, list[Gateway]], Awaitable[int]]


def run_case(case: Case, folder: pathlib.Path, limit_s: float = 100.0) -> None:
    """Runs a case and exits with its code; ends all processes.

    Args:
        case: Gets the record, a temporary folder, whether the disruption is
            made, and a list to which it adds each gateway that it starts.
        folder: Folder of the case, for `record.txt`.
        limit_s: Time limit in seconds.
    """

    async def run() -> int:
        record = Record(folder / "record.txt")
        gateways: list[Gateway] = []
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        record.add(f"TROUBLE={int(has_trouble)}")
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(limit_s):
                    code = await case(
                        record, pathlib.Path(temporary), has_trouble, gateways
                    )
            except Exception as error:
                record.add(f"could not run: {error!r}")
                for gateway in gateways:
                    for line in gateway.get_log().splitlines()[-8:]:
                        record.add(f"{gateway.name} logged: {line}")
                code = NOT_RUN
            finally:
                for gateway in gateways:
                    await gateway.kill()
        names = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}
        record.add(f"result: {names[code]}")
        return code

    if not (ROOT / "target" / "deps" / "lovagestage").is_dir():
        print("target/deps is missing: run the build of deploy/system.toml")
        sys.exit(NOT_RUN)
    sys.exit(asyncio.run(run()))

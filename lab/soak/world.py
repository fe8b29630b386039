"""Environment of a soak: gateways, a store, workers and links between them."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import json
import math
import os
import pathlib
import random
import signal
import sys
import time

from lab import worker as lab
from lab.metadata_store import MetadataStore
from lab.ports import get_free_port
from lab.server import start_app
from lab.soak.proxy import Proxy
from lab.worker import Arrival, Worker

GATEWAYS = 3
"""Default number of gateway processes.

With eight or more, some gateways watch the store on behalf of others.
"""
WORKERS = 4
EVENTS = 6
REVOKE_S = 2.5
DRAIN_S = 2.0
STOP_S = 6.0
RESTART_S = 0.3
ANSWERED_BY = "Answered-By"
"""Header in which a worker names itself. A stream that goes on at another
worker keeps the headers of its first one."""
CRASHING_BODY = b"crash-"
"""First bytes of the body of a request that crashes each worker."""
POLICIES = {
    "safe": {"RouteType": "safe", "MaxAttempts": 3},
    "unsafe": {"RouteType": "unsafe", "MaxAttempts": 1},
    "stream": {
        "RouteType": "streaming",
        "MaxAttempts": 3,
        "Resumable": True,
        "TargetGapMs": 500,
    },
}
SETTINGS = f"""NodeName=NAME
Zone=a
Ip=127.0.0.1
PortRange=PEER,PEER
Listen.Frontend=127.0.0.1:CLIENT
Listen.Readiness=127.0.0.1:READY
Platform.Address=STORE
Bounds.RevokeMs={int(REVOKE_S * 1000)}
Bounds.ConfigApplyMs=2000
Bounds.DrainMs={int(DRAIN_S * 1000)}
Bounds.GraceS={int(STOP_S)}
Bounds.RetryBudgetRatio=0.9
Bounds.RetrySlack=54
Bounds.ExposureShare=0.15
Bounds.ExposureSlack=30
"""


def make_body(arrival: Arrival) -> bytes:
    """Returns the response body of a worker.

    The body contains every part of the request that a gateway must forward
    unchanged: its id, method, target and the digest of its body.
    """
    digest = hashlib.sha256(arrival.body).hexdigest()
    name = f"{arrival.request_id} {arrival.method} {arrival.target}"
    return f"{name} {digest}".encode()


@dataclasses.dataclass
class StatedLimit:
    """A request limit that a worker states in its answers.

    Attributes:
        worker: Instance name of the worker.
        per_s: Requests per second from all gateways together.
        begun_s: Monotonic time in seconds from which its answers say so.
        ended_s: Monotonic time in seconds until which they do.
    """

    worker: str
    per_s: float
    begun_s: float
    ended_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class StatedRest:
    """A refusal in which a worker asks a gateway for a rest.

    Attributes:
        worker: Instance name of the worker.
        request_id: Id of the refused request.
        asked_s: Monotonic time in seconds of the refusal.
        rest_s: Length of the rest in seconds.
    """

    worker: str
    request_id: str
    asked_s: float
    rest_s: float


@dataclasses.dataclass(frozen=True)
class CrashingRun:
    """A run of a request that crashes the worker which runs it.

    Attributes:
        worker: Instance name of the worker.
        request_id: Id of the request.
        arrived_s: Monotonic time in seconds of its arrival, and of the crash.
    """

    worker: str
    request_id: str
    arrived_s: float


class GatewayProcess:
    """One gateway, whose process is restarted after each fault that ends it.

    Attributes:
        name: Name of the gateway's VM.
        client_port: Port that callers connect to.
        ready_port: Port of the readiness endpoint.
        link: Proxy between the gateway and the store.
        is_frozen: Whether the process is suspended by SIGSTOP.
    """

    def __init__(self, name: str, link: Proxy, folder: pathlib.Path) -> None:
        self.name = name
        self.link = link
        self.is_frozen = False
        self.client_port, self.ready_port = get_free_port(), get_free_port()
        self._peer_port = get_free_port()
        self._path = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._restart_lock = asyncio.Lock()

    @property
    def is_alive(self) -> bool:
        """Whether the gateway process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Id of the gateway process, which must have been started."""
        assert self._process is not None
        return self._process.pid

    async def start(self) -> None:
        """Starts the process and appends its output to the log file."""
        text = SETTINGS.replace("NAME", self.name)
        text = text.replace("CLIENT", str(self.client_port))
        text = text.replace("READY", str(self.ready_port))
        text = text.replace("PEER", str(self._peer_port))
        self._path.write_text(text.replace("STORE", self.link.address))
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lovagestage.gateway",
                "--metrics-port=0",
                "--settings",
                str(self._path),
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process of this gateway, if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)
            self.is_frozen = signal_number is signal.SIGSTOP

    async def restart(self, signal_number: signal.Signals) -> None:
        """Ends the process with a signal and starts another one.

        Concurrent calls run one after the other.
        """
        async with self._restart_lock:
            self.send_signal(signal_number)
            if self._process is not None:
                await self._process.wait()
            await asyncio.sleep(RESTART_S)
            await self.start()

    async def stop(self) -> None:
        """Kills the process without starting another one."""
        if self.is_alive and self._process is not None:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Whether the readiness endpoint answers 200 within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready_port
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class SoakEnvironment:
    """All components of a soak and the records that its checks need.

    Attributes:
        rng: Source of all random choices.
        store: Test double of the metadata store.
        gateways: The gateway processes.
        workers: Workers by instance name, including stopped ones.
        links: Proxies in front of the workers, by instance name.
        runs: Monotonic start time in seconds and worker of each run, by
            request id.
        keys: Monotonic time in seconds at which each API key was revoked;
            None while the key is valid.
        departure_s: Monotonic time in seconds just before each leaving
            worker was stopped, or its store entry was marked as draining or
            removed.
        fault_ratios: Ratio of requests that workers fail, by name of the
            script; for `break`, ratio of streams that break off.
        injected_faults: Name, monotonic start and monotonic end in seconds of
            each injected fault that has ended.
        gateway_faults: Name of the gateway, monotonic start and monotonic end
            in seconds of each restart, suspension and cut of one gateway.
        limits: Request limits that workers have stated.
        rests: Rests that workers have asked for.
        rest_s: Time in seconds for which a worker that refuses all requests
            asks for a rest, by the worker's instance name.
        crashing_runs: Runs of each request that crashes workers, by its body.
        crashing_senders: Gateway that each copy of such a request was sent to,
            by request id.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, gateways: int = GATEWAYS
    ) -> None:
        self.rng = random.Random(seed)
        self.store = MetadataStore()
        self.gateways: list[GatewayProcess] = []
        self.workers: dict[str, Worker] = {}
        self.links: dict[str, Proxy] = {}
        self.runs: dict[str, list[tuple[float, str]]] = {}
        self.keys: dict[str, float | None] = {}
        self.departure_s: dict[str, float] = {}
        self.fault_ratios: dict[str, float] = {}
        self.injected_faults: list[tuple[str, float, float]] = []
        self.gateway_faults: list[tuple[str, float, float]] = []
        self.limits: list[StatedLimit] = []
        self.rests: list[StatedRest] = []
        self.rest_s: dict[str, float] = {}
        self.crashing_runs: dict[bytes, list[CrashingRun]] = {}
        self.crashing_senders: dict[str, str] = {}
        self._tasks: set[asyncio.Future[None]] = set()
        self._folder = folder
        self._gateway_count = gateways
        self._version = 0
        self._worker_count = 0

    async def start(self) -> None:
        """Starts the store, the workers and the gateways."""
        _, port = await start_app(self.store.make_app(), "127.0.0.1", 0)
        for _ in range(WORKERS):
            await self.add_worker()
        self.change_keys(add=3)
        for number in range(self._gateway_count):
            link = Proxy(f"127.0.0.1:{port}")
            await link.start()
            gateway = GatewayProcess(f"edge-{number}", link, self._folder)
            await gateway.start()
            self.gateways.append(gateway)

    async def stop(self) -> None:
        """Stops all gateway processes, workers and links."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)
            await gateway.stop()
            gateway.link.stop()
        for name, worker in self.workers.items():
            await worker.stop()
            self.links[name].stop()

    def change_keys(self, add: int = 0, remove: int = 0) -> None:
        """Adds and revokes API keys and writes the new configuration.

        Keys are revoked only if more than `remove` keys are valid.

        Args:
            add: Number of keys to add.
            remove: Number of keys to revoke.
        """
        for _ in range(add):
            self.keys[f"key{len(self.keys)}"] = None
        valid = [
            key for key, revoked_s in self.keys.items() if revoked_s is None
        ]
        for key in valid[:remove] if len(valid) > remove else ():
            self.keys[key] = time.monotonic()
        self.write_configuration()

    def write_configuration(self) -> None:
        """Writes the current configuration under a new, higher version."""
        self._version += self.rng.randint(1, 3)
        valid = [
            key for key, revoked_s in self.keys.items() if revoked_s is None
        ]
        routes = [
            {
                "Name": f"r-{name}",
                "Hostname": "ficu95.example",
                "PathPrefix": f"/{name}/",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 400,
                "Service": "pool",
                **policy,
            }
            for name, policy in POLICIES.items()
        ]
        configuration = {
            "Version": self._version,
            "Routes": routes,
            "Services": [{"Name": "pool"}],
            "Limits": {"IdleTimeoutMs": 5000},
            "Tenants": [{"Name": "clinic", "ApiKeys": valid}],
        }
        data = json.dumps(configuration).encode()
        self.store.append_keyed("keyed.op", "config", data)

    async def add_worker(self) -> None:
        """Starts a worker behind its own proxy and registers it."""
        self._worker_count += 1
        name = f"w{self._worker_count}"
        worker = Worker(name, self._handle_request)
        await worker.start()
        link = Proxy(worker.address)
        await link.start()
        self.workers[name], self.links[name] = worker, link
        self.write_worker_entry(name, "ready")

    def write_worker_entry(self, name: str, state: str) -> None:
        """Writes the entry of a worker, as the worker itself would do."""
        entry = {
            "Service": "pool",
            "Address": self.links[name].address,
            "Zone": "a",
            "Version": "v1",
            "MaxBatchSize": 8,
            "State": state,
            "WarmupLeftMs": 0,
            "Sequence": 1,
        }
        data = json.dumps(entry).encode()
        self.store.append_keyed("keyed.servers", name, data)

    def get_live_workers(self) -> list[str]:
        """Returns the names of workers that neither left nor crashed."""
        return [name for name in self.workers if name not in self.departure_s]

    async def _handle_request(
        self, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        instance = arrival.headers.get("expected-instance", "")
        notices = {**arrival.notices, ANSWERED_BY: instance}
        arrival = dataclasses.replace(arrival, notices=notices)
        if instance in self.rest_s:
            await self._ask_for_rest(arrival, writer, instance)
            return
        if arrival.body.startswith(CRASHING_BODY):
            await self._run_crashing_request(arrival, instance)
            return
        script = self._draw_script()
        if script is lab.refuse:
            await script(arrival, writer)
            return
        run = (time.monotonic(), instance)
        self.runs.setdefault(arrival.request_id, []).append(run)
        await asyncio.sleep(self.rng.uniform(0.002, 0.06))
        if script is not None:
            await script(arrival, writer)
        elif arrival.target.startswith("/stream/"):
            await self._stream(arrival, writer)
        else:
            await lab.send(writer, 200, arrival, make_body(arrival))

    async def crash_worker(self, name: str) -> None:
        """Ends a worker abruptly; its entry and another worker follow."""
        self.departure_s[name] = time.monotonic()
        await self.workers[name].stop()
        self.links[name].stop()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self.store.append_keyed("keyed.servers", name, b"")
        await self.add_worker()

    async def _run_crashing_request(self, arrival: Arrival, name: str) -> None:
        runs = self.crashing_runs.setdefault(arrival.body, [])
        runs.append(CrashingRun(name, arrival.request_id, time.monotonic()))
        await asyncio.sleep(self.rng.uniform(0.0, 0.05))
        if name not in self.departure_s:
            self._tasks.add(asyncio.ensure_future(self.crash_worker(name)))
        await asyncio.sleep(1.0)

    async def _ask_for_rest(
        self, arrival: Arrival, writer: asyncio.StreamWriter, worker: str
    ) -> None:
        rest_s = self.rest_s[worker]
        self.rests.append(
            StatedRest(worker, arrival.request_id, time.monotonic(), rest_s)
        )
        await lab.make_refusal_with_rest(rest_s)(arrival, writer)

    def _draw_script(self) -> lab.Script | None:
        remaining = self.rng.random()
        for name, share in self.fault_ratios.items():
            remaining -= share
            if remaining < 0.0:
                return SCRIPTS.get(name)
        return None

    async def _stream(
        self, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        breaks = self.rng.random() < self.fault_ratios.get("break", 0.0)
        script = lab.make_stream(
            EVENTS,
            break_after=self.rng.randint(0, EVENTS - 1) if breaks else None,
            pause_s=0.03,
        )
        await script(arrival, writer)


async def _answer_twice(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    for body in (make_body(arrival), b"second"):
        await lab.send(writer, 200, arrival, body)


async def _cut_short(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    body = make_body(arrival)
    head = lab.make_head(200, arrival, Content_Length=str(len(body) + 9))
    writer.write(head + body)
    await writer.drain()
    lab.reset_connection(writer)


SCRIPTS: dict[str, lab.Script] = {
    "fail": lab.fail,
    "refuse": lab.refuse,
    "reset": lab.reset,
    "hang": lab.hang,
    "twice": _answer_twice,
    "short": _cut_short,
}

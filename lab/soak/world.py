"""Environment of a soak: gateways, a store, workers and links between them."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import signal
import time

from lab.metadata_store import MetadataStore
from lab.server import start_app
from lab.soak.deployment import (
    GATEWAYS,
    OLD_VERSION,
    SERVICE,
    WORKERS,
    make_configuration,
)
from lab.soak.gateways import GatewayProcess
from lab.soak.proxy import Proxy
from lab.soak.records import (
    ProcessFault,
    SkewedTime,
    SlowRollout,
    StatedLimit,
)
from lab.soak.serving import WorkerBehaviour
from lab.soak.stalls import Stall
from lab.worker import Worker

HEARTBEAT_S = 1.0
OUTCOME_TOPIC = "keyed.status"


class SoakEnvironment:
    """All components of a soak and the records that its checks need.

    Attributes:
        rng: Source of all random choices.
        store: Test double of the metadata store.
        gateways: The gateway processes.
        workers: Workers by instance name, including stopped ones.
        links: Proxies in front of the workers, by instance name.
        versions: Version of each worker, by instance name.
        serving: How the workers answer, and what they have run.
        keys: Monotonic time in seconds at which each API key was revoked;
            None while the key is valid.
        departure_s: Monotonic time in seconds just before each leaving
            worker was stopped, or its store entry was marked as draining or
            removed.
        crashed_s: Monotonic time in seconds at which each worker crashed.
        injected_faults: Name, monotonic start and monotonic end in seconds of
            each injected fault that has ended.
        process_faults: Faults of single gateways, and of links to workers.
        limits: Request limits that workers have stated.
        crashing_senders: Gateway that each request which crashes workers was
            sent to, by request id.
        slow_rollouts: Roll-outs of slow versions so far.
        skewed_times: Times in which most new connections went to one gateway.
        stalls: Times in which the soak's own process did not run.
        restarting: Workers whose restart is not over.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        gateways: int = GATEWAYS,
        workers: int = WORKERS,
    ) -> None:
        self.rng = random.Random(seed)
        self.store = MetadataStore()
        self.gateways: list[GatewayProcess] = []
        self.workers: dict[str, Worker] = {}
        self.links: dict[str, Proxy] = {}
        self.versions: dict[str, str] = {}
        self.serving = WorkerBehaviour(self.rng, self.crash_worker)
        self.keys: dict[str, float | None] = {}
        self.departure_s: dict[str, float] = {}
        self.crashed_s: dict[str, float] = {}
        self.injected_faults: list[tuple[str, float, float]] = []
        self.process_faults: list[ProcessFault] = []
        self.limits: list[StatedLimit] = []
        self.crashing_senders: dict[str, str] = {}
        self.slow_rollouts: list[SlowRollout] = []
        self.skewed_times: list[SkewedTime] = []
        self.stalls: list[Stall] = []
        self.restarting: set[str] = set()
        self._folder = folder
        self._gateway_count = gateways
        self._initial_workers = workers
        self._version = 0
        self._worker_count = 0
        self._entries: dict[str, dict[str, object]] = {}

    async def start(self) -> None:
        """Starts the store, the workers and the gateways."""
        _, port = await start_app(self.store.make_app(), "127.0.0.1", 0)
        for _ in range(self._initial_workers):
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
        self._entries.clear()
        for name, worker in self.workers.items():
            await worker.stop()
            self.links[name].stop()

    def get_valid_keys(self) -> list[str]:
        """Returns the API keys that are not revoked."""
        return [key for key, ended_s in self.keys.items() if ended_s is None]

    def change_keys(self, add: int = 0, remove: int = 0) -> None:
        """Adds and revokes API keys and writes the new configuration.

        Keys are revoked only if more than `remove` keys are valid.

        Args:
            add: Number of keys to add.
            remove: Number of keys to revoke.
        """
        for _ in range(add):
            self.keys[f"key{len(self.keys)}"] = None
        valid = self.get_valid_keys()
        for key in valid[:remove] if len(valid) > remove else ():
            self.keys[key] = time.monotonic()
        self.write_configuration()

    def write_configuration(self) -> None:
        """Writes the current configuration under a new, higher version."""
        self._version += self.rng.randint(1, 3)
        fields = make_configuration(self._version, self.get_valid_keys())
        data = json.dumps(fields).encode()
        self.store.append_keyed("keyed.op", "config", data)

    def order_rollout(self, rollout: SlowRollout) -> None:
        """Writes the order to move the service to another version."""
        order = {
            "Service": SERVICE,
            "Target": rollout.version,
            "DurationS": rollout.duration_s,
        }
        data = json.dumps(order).encode()
        self.store.append_keyed("keyed.op", f"rollout/{SERVICE}", data)

    def read_outcome(self, rollout: SlowRollout) -> str | None:
        """Returns the state of a roll-out as the gateways have written it."""
        records = self.store.get_topic(OUTCOME_TOPIC).newest
        for _, data in records.values():
            fields = json.loads(data)
            if fields.get("Target") == rollout.version:
                return str(fields["State"])
        return None

    async def add_worker(self, version: str = OLD_VERSION) -> str:
        """Starts a worker behind its own proxy, registers and names it."""
        self._worker_count += 1
        name = f"w{self._worker_count}"
        worker = Worker(name, self.serving.handle_request)
        await worker.start()
        link = Proxy(worker.address)
        await link.start()
        self.workers[name], self.links[name] = worker, link
        self.versions[name] = version
        for rollout in self.slow_rollouts:
            if rollout.version == version:
                self.serving.rollouts[name] = rollout
        self.write_worker_entry(name, "ready")
        return name

    def write_worker_entry(self, name: str, state: str) -> None:
        """Writes the entry of a worker, as the worker itself would do."""
        address, version = self.links[name].address, self.versions[name]
        self.add_entry(name, address, state, version)

    def add_entry(
        self,
        name: str,
        address: str,
        state: str = "ready",
        version: str = OLD_VERSION,
    ) -> None:
        """Writes an entry, which is written again until it is removed."""
        known = self._entries.get(name, {})
        entry = {
            "Service": SERVICE,
            "Address": address,
            "Zone": "a",
            "Version": version,
            "MaxBatchSize": 8,
            "State": state,
            "WarmupLeftMs": 0,
            "Sequence": 1,
            "born": known.get("born", int(1000 * time.time())),
        }
        self._entries[name] = entry
        self._append_entry(name)

    def remove_worker_entry(self, name: str) -> None:
        """Removes the entry of a worker, which writes no other."""
        self._entries.pop(name, None)
        self.store.append_keyed("keyed.servers", name, b"")

    async def send_heartbeats(self) -> None:
        """Writes the entries of all workers again and again."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, entry in list(self._entries.items()):
                entry["Sequence"] = int(str(entry["Sequence"])) + 1
                # A store that fails takes no writes of workers either.
                if not self.store.faults.outage:
                    self._append_entry(name)

    async def restart_worker(self, name: str) -> None:
        """Ends a worker within a heartbeat and starts it under its id.

        The store carries out that heartbeat after the new process's first one.
        """
        late = json.dumps(self._entries.pop(name)).encode()
        worker = self.workers[name]
        await worker.stop()
        await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        if name in self.departure_s:
            return
        await worker.start()
        self.links[name].target = worker.address
        self.write_worker_entry(name, "ready")
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        # One that has left since leaves nothing behind.
        if name in self._entries:
            self.store.append_keyed("keyed.servers", name, late)

    def _append_entry(self, name: str) -> None:
        data = json.dumps(self._entries[name]).encode()
        self.store.append_keyed("keyed.servers", name, data)

    def get_live_workers(self) -> list[str]:
        """Returns the workers of the old version that are there to stay."""
        return [
            name
            for name in self.workers
            if name not in self.departure_s
            and self.versions[name] == OLD_VERSION
        ]

    async def crash_worker(self, name: str) -> None:
        """Ends a worker abruptly; its entry and another worker follow."""
        if name in self.crashed_s:
            return
        # A worker that was leaving anyway is not replaced twice.
        is_replaced = name not in self.departure_s
        self.crashed_s[name] = time.monotonic()
        self.departure_s.setdefault(name, self.crashed_s[name])
        await self.workers[name].stop()
        self.links[name].stop()
        self._entries.pop(name, None)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self.store.append_keyed("keyed.servers", name, b"")
        if is_replaced:
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            await self.add_worker(self._get_offered_version(name))

    def _get_offered_version(self, name: str) -> str:
        """Returns the version of a worker that takes another one's place."""
        rollout = self.serving.rollouts.get(name)
        if rollout is None or rollout.ended_s <= time.monotonic():
            return OLD_VERSION
        return rollout.version

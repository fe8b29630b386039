"""What a day is played on: gateways, store, workers, and their operator."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import time
from collections.abc import Sequence

from lab.day.deployment import (
    OLD_VERSION,
    POOL,
    SERVICES,
    SETTINGS,
    make_configuration,
)
from lab.day.engines import DayWorker
from lab.day.records import DayRecord, Work, WorkKind
from lab.metadata_store import MetadataStore
from lab.server import start_app
from lab.soak.gateways import GatewayProcess
from lab.soak.proxy import Proxy

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.1
OUTCOME_TOPIC = "keyed.status"


class DayFleet:
    """Processes and stand-ins of a day.

    Args:
        folder: Folder for the gateways' settings and logs.
        rng: Source of all random choices.
        record: Gets what the workers see.
        gateways: Number of gateways.

    Attributes:
        gateways: The gateway processes.
        workers: Workers that have not ended, by name.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        rng: random.Random,
        record: DayRecord,
        gateways: int,
    ) -> None:
        self.gateways: list[GatewayProcess] = []
        self.workers: dict[str, DayWorker] = {}
        self._folder = folder
        self._rng = rng
        self._record = record
        self._gateway_count = gateways
        self._store = MetadataStore()
        self._version = 0
        self._worker_count = 0

    async def start(self) -> None:
        """Starts everything and waits until all gateways are ready."""
        _, port = await start_app(self._store.make_app(), "127.0.0.1", 0)
        for service in SERVICES:
            for _ in range(service.workers):
                await self.add_worker(service.name, OLD_VERSION)
        self.write_configuration()
        for number in range(self._gateway_count):
            link = Proxy(f"127.0.0.1:{port}")
            await link.start()
            gateway = GatewayProcess(
                f"edge-{number}", link, self._folder, SETTINGS
            )
            self.gateways.append(gateway)
            await gateway.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(READY_POLL_S)

    async def stop(self) -> None:
        """Ends all processes and workers."""
        for gateway in self.gateways:
            await gateway.stop()
            gateway.link.stop()
        for worker in list(self.workers.values()):
            await worker.stop()

    def write_configuration(self, extra_routes: Sequence[str] = ()) -> None:
        """Writes a configuration with a higher version."""
        self._version += self._rng.randint(1, 3)
        fields = make_configuration(self._version, extra_routes)
        begun_s = time.monotonic()
        self._put("keyed.op", "config", fields)
        self._record.works.append(
            Work(WorkKind.CONFIGURATION, "", begun_s, time.monotonic())
        )

    def order_rollout(self, version: str, duration_s: float) -> None:
        """Orders the move of the pool to another version."""
        order = {
            "Service": POOL.name,
            "Target": version,
            "DurationS": duration_s,
        }
        self._put("keyed.op", f"rollout/{POOL.name}", order)

    def read_outcome(self, version: str) -> str | None:
        """Returns the state of a roll-out as the gateways have written it."""
        for _, data in self._store.get_topic(OUTCOME_TOPIC).newest.values():
            fields = json.loads(data)
            if fields.get("Target") == version:
                return str(fields["State"])
        return None

    async def add_worker(
        self,
        service: str,
        version: str,
        slow_share: float = 0.0,
        factor: float = 1.0,
    ) -> None:
        """Starts a worker and registers it."""
        self._worker_count += 1
        worker = DayWorker(
            f"w{self._worker_count}",
            service,
            version,
            self._record,
            self._rng,
            slow_share,
            factor,
        )
        await worker.server.start()
        self.workers[worker.name] = worker
        self.write_entry(worker, "ready")

    def write_entry(self, worker: DayWorker, state: str) -> None:
        """Writes a worker's entry, as it does itself."""
        entry = {
            "Service": worker.service,
            "Address": worker.server.address,
            "Zone": "a",
            "Version": worker.version,
            "MaxBatchSize": 64,
            "State": state,
            "WarmupLeftMs": 0,
            "Sequence": 1,
        }
        self._put("keyed.servers", worker.name, entry)

    async def end_worker(self, worker: DayWorker) -> None:
        """Ends a worker without draining, and removes its entry."""
        self.workers.pop(worker.name, None)
        await worker.stop()
        self._store.append_keyed("keyed.servers", worker.name, b"")

    def get_workers(self, version: str) -> list[DayWorker]:
        """Returns the pool's workers of a version."""
        return [
            worker
            for worker in self.workers.values()
            if (worker.service, worker.version) == (POOL.name, version)
        ]

    def _put(self, topic: str, key: str, fields: dict[str, object]) -> None:
        self._store.append_keyed(topic, key, json.dumps(fields).encode())

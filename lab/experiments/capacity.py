"""Measures how the product's costs grow with size, for docs/CAPACITY.md.

Each slope is fitted by least squares over several sizes; the residual is the
largest distance of a measured point from the line, in the unit of the point.

The costs of links are measured on a real entry process that is connected to N
sidecars, simulated by listeners in this process behind byte-counting relays.
Memory and CPU time of the state are measured on the real objects in this
process.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec
import numpy as np
import zmq

from lab.experiments import Result
from lab.fleet import Fleet
from lab.ports import HOST, get_free_port
from lab.shapes import Shape
from lab.usage import get_usage
from lovagestage.bus.transport import Listener, PeerId
from lovagestage.decisions.routing import UpstreamView, choose_upstream
from lovagestage.execution.sidecar import get_state_hash, omit_known_state
from lovagestage.messages.envelope import Heartbeat, Hello, Message
from lovagestage.settings import BusSettings
from lovagestage.state.document import (
    ClassSpec,
    ServiceDocument,
    VersionSpec,
    WorkspaceSpec,
)
from lovagestage.state.fold import ControlState
from lovagestage.state.records import DocumentChange, encode_record
from lovagestage.types import (
    ChangeId,
    ServiceId,
    VmId,
    WorkspaceId,
    ZoneId,
)

LINK_COUNTS = (8, 16, 32, 64)
LINK_SECONDS = 9.0
BUSY_INTERVAL_S = BusSettings("", "", "", []).heartbeat_interval_s
SETTLE_S = 2.5
WORKSPACE_COUNTS = (10, 50, 100, 200)
VERSION_COUNTS = (4, 8, 16, 22)
VIEW_COUNTS = (8, 16, 32, 64)
REPEATS = 300
_ZONE = ZoneId("zone-1")
SHAPE = Shape("vault", ("lhe-a",), 1, 0, 0)


@dataclasses.dataclass(frozen=True)
class Slope:
    """A line fitted to measured points.

    Attributes:
        unit: Unit of the measured values, and of the sizes after a slash.
        base: Value of the line at size zero.
        slope: Increase of the value for each unit of size.
        residual: Largest distance of a measured point from the line.
        points: Sizes and the values measured at them.
    """

    unit: str
    base: float
    slope: float
    residual: float
    points: list[tuple[float, float]]


def run(seed: int) -> Result:
    """Measures all slopes; the result is ok if each of them has points."""
    rng = random.Random(seed)
    slopes = {
        "state_bytes_by_workspace": fit(
            "bytes/workspace", WORKSPACE_COUNTS, _get_workspace_bytes
        ),
        "state_bytes_by_version": fit(
            "bytes/version", VERSION_COUNTS, _get_version_bytes
        ),
        "change_bytes_by_workspace": fit(
            "record bytes/workspace",
            WORKSPACE_COUNTS,
            lambda n: len(_make_change(n, 4, 0)),
        ),
        "change_us_by_workspace": fit(
            "us/workspace", WORKSPACE_COUNTS, _get_change_us
        ),
        "choice_us_by_upstream": fit(
            "us/upstream", VIEW_COUNTS, lambda n: _get_choice_us(n, rng)
        ),
        **_measure_links("idle", {}),
        **_measure_links(
            "busy", {"idle_heartbeat_interval_s": BUSY_INTERVAL_S}
        ),
    }
    return Result(
        "capacity",
        seed,
        {},
        {name: dataclasses.asdict(slope) for name, slope in slopes.items()},
        0.0,
        all(slope.points for slope in slopes.values()),
        {"link_seconds": LINK_SECONDS, "repeats": REPEATS},
    )


def fit(
    unit: str, counts: tuple[int, ...], measure: Callable[[int], float]
) -> Slope:
    """Measures the cost at each size and fits a line.

    Args:
        unit: Unit of the slope.
        counts: Sizes to measure at.
        measure: Returns the cost at a size.
    """
    points = [(float(count), float(measure(count))) for count in counts]
    return fit_points(unit, points)


def fit_points(unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fits a line to measured points by least squares."""
    x = np.array([point[0] for point in points])
    y = np.array([point[1] for point in points])
    slope, base = np.polyfit(x, y, 1)
    residual = float(np.max(np.abs(y - (slope * x + base))))
    return Slope(unit, float(base), float(slope), residual, points)


def make_document(workspaces: int, versions: int) -> ServiceDocument:
    """Returns a service document of a given size.

    Args:
        workspaces: Number of workspaces.
        versions: Number of model versions.
    """
    names = [f"model-{n // 2}@{n % 2}" for n in range(versions)]
    return ServiceDocument(
        ServiceId("service"),
        "team",
        [VersionSpec(name, 1.0, 1000.0) for name in names],
        {
            WorkspaceId(f"workspace-{n}"): WorkspaceSpec(
                [f"{n:064x}"], ["model-0", "model-1"], 100.0
            )
            for n in range(workspaces)
        },
        {"default": ClassSpec(names[:2])},
    )


def _make_change(workspaces: int, versions: int, base: int) -> bytes:
    document = make_document(workspaces, versions)
    return encode_record(
        DocumentChange(
            ChangeId(f"change-{base}"),
            document.service,
            base,
            "operator",
            msgspec.json.encode(document),
        )
    )


def _get_state_bytes(workspaces: int, versions: int) -> float:
    data = _make_change(workspaces, versions, 0)
    gc.collect()
    tracemalloc.start()
    state = ControlState()
    state.apply(state.next_offset, data)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state.services
    return float(allocated_bytes)


def _get_workspace_bytes(count: int) -> float:
    return _get_state_bytes(count, 4)


def _get_version_bytes(count: int) -> float:
    return _get_state_bytes(10, count)


def _get_change_us(count: int) -> float:
    records = [_make_change(count, 4, base) for base in range(REPEATS)]
    state = ControlState()
    start_s = time.process_time()
    for record in records:
        state.apply(state.next_offset, record)
    return (time.process_time() - start_s) * 1e6 / REPEATS


def _get_choice_us(count: int, rng: random.Random) -> float:
    views = [
        UpstreamView(
            VmId(f"vm-{n}"),
            ZoneId(f"zone-{n % 4}"),
            frozenset(f"model-{v}@1" for v in range(22)),
            rng.randrange(64),
            64,
        )
        for n in range(count)
    ]
    choose = functools.partial(
        choose_upstream,
        views,
        "model-3@1",
        frozenset(),
        rng,
    )
    start_s = time.process_time()
    for _ in range(REPEATS):
        choose()
    return (time.process_time() - start_s) * 1e6 / REPEATS


def _measure_links(
    name: str, bus_options: dict[str, float]
) -> dict[str, Slope]:
    """Measures and fits the costs of links between an entry and sidecars.

    Busy links send heartbeats at the interval of a link that is in use or has
    an unanswered heartbeat.
    """
    cpu, received, sent, memory = [], [], [], []
    for count in LINK_COUNTS:
        with Fleet(SHAPE, bus_options=bus_options) as fleet:
            figures = asyncio.run(_run_links(fleet, count))
        cpu.append((float(count), figures.cpu_ms_per_s))
        received.append((float(count), figures.received_bytes_per_s))
        sent.append((float(count), figures.sent_bytes_per_s))
        memory.append((float(count), figures.resident_kb))
    return {
        f"{name}_link_cpu_ms_per_s": fit_points("ms a second/link", cpu),
        f"{name}_link_received_bytes_per_s": fit_points(
            "bytes a second/link", received
        ),
        f"{name}_link_sent_bytes_per_s": fit_points(
            "bytes a second/link", sent
        ),
        f"{name}_link_resident_kb": fit_points("kB resident/link", memory),
    }


@dataclasses.dataclass(frozen=True)
class _LinkFigures:
    cpu_ms_per_s: float
    received_bytes_per_s: float
    sent_bytes_per_s: float
    resident_kb: float


class _Relay:
    """Forwards bytes between an entry and one sidecar, and counts them."""

    def __init__(self, port: int) -> None:
        self.to_entry = 0
        self.from_entry = 0
        self._port = port
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            HOST, self._port
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, False),
                self._forward(target_reader, writer, True),
            )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_entry: bool,
    ) -> None:
        while data := await reader.read(65536):
            if to_entry:
                self.to_entry += len(data)
            else:
                self.from_entry += len(data)
            writer.write(data)
        writer.close()


class _SimulatedSidecar:
    """Answers the entry's messages as a real sidecar does."""

    def __init__(
        self, context: zmq.Context[zmq.Socket[bytes]], bus: BusSettings, n: int
    ) -> None:
        self._sequence = 0
        self._vm = VmId(f"played-{n}")
        self.listener = Listener(context, bus, self._on_message)

    def _on_message(self, peer: PeerId, message: Message) -> None:
        if isinstance(message, Hello):
            heartbeat = self._make_heartbeat(message.sequence)
            self.listener.send(peer, omit_known_state(heartbeat, message))

    def _make_heartbeat(self, received_sequence: int) -> Heartbeat:
        self._sequence += 1
        versions = ["small@1", "large@1", "large@2"]
        return Heartbeat(
            self._vm,
            _ZONE,
            time.time_ns(),
            self._sequence,
            False,
            versions,
            17,
            3,
            64,
            21.5,
            100_000,
            86_400_000,
            received_sequence,
            get_state_hash(self._vm, _ZONE, versions),
        )


async def _run_links(fleet: Fleet, count: int) -> _LinkFigures:
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    sidecars, relays = [], []
    for number in range(count):
        bus = fleet.settings.make_bus_settings(get_free_port())
        sidecars.append(_SimulatedSidecar(context, bus, number))
        relay = _Relay(int(bus.bind.rpartition(":")[2]))
        port = await relay.start()
        relays.append(relay)
        await asyncio.to_thread(_publish_vm, fleet, number, port)
    await asyncio.sleep(SETTLE_S)
    figures = await _measure_figures(fleet, relays)
    for relay in relays:
        relay.stop()
    for sidecar in sidecars:
        sidecar.listener.close()
    context.destroy(linger=0)
    return figures


async def _measure_figures(fleet: Fleet, relays: list[_Relay]) -> _LinkFigures:
    pid = fleet.entries[0].process.pid
    before = get_usage(pid)
    received = sum(relay.to_entry for relay in relays)
    sent = sum(relay.from_entry for relay in relays)
    await asyncio.sleep(LINK_SECONDS)
    after = get_usage(pid)
    return _LinkFigures(
        (after.cpu_s - before.cpu_s) * 1e3 / LINK_SECONDS,
        (sum(r.to_entry for r in relays) - received) / LINK_SECONDS,
        (sum(r.from_entry for r in relays) - sent) / LINK_SECONDS,
        after.resident_bytes / 1e3,
    )


def _publish_vm(fleet: Fleet, number: int, port: int) -> None:
    name = f"played-{number}"
    fleet.set_vm(
        name,
        {
            "vm": name,
            "role": "sidecar",
            "zone": "zone-1",
            "state": "live",
            "bus": f"{HOST}:{port}",
        },
    )

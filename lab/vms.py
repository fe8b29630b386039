"""VM list: reports the platform's VMs with a delay."""

from __future__ import annotations

import argparse
import time
from typing import Any, Literal

import msgspec
from aiohttp import web

from lab.faults import Faults, error
from lab.server import add_server_arguments, hang, make_app, run_app


class VmFaults(Faults):
    """Injectable faults of the VM list."""

    # Answers 503 to every read.
    outage: bool = False
    # Gives no response to any read.
    stall: bool = False
    # Replaces the lag that the process was started with.
    lag_s: float | None = None


class Vm(msgspec.Struct, kw_only=True):
    """One entry of the VM list.

    Attributes:
        vm: Name of the VM.
        role: Role of the process on the VM.
        zone: Availability zone.
        state: `live`, or `leaving` if the VM is about to be removed.
        bus: `HOST:PORT` of its message listener.
        http: Address of its HTTP listener; empty if not listed.
    """

    vm: str
    role: Literal["entry", "sidecar"]
    zone: str
    state: Literal["live", "leaving"]
    bus: str
    http: str = ""


class VmList:
    """The current VM list, its earlier states and the HTTP handlers.

    Args:
        lag_s: Age in seconds of the state that reads return.
    """

    def __init__(self, lag_s: float) -> None:
        self.faults = VmFaults()
        self._lag_s = lag_s
        self._vms: dict[str, Vm] = {}
        self._history: list[tuple[float, list[Vm]]] = [(0.0, [])]
        self._reads = 0

    def app(self) -> web.Application:
        """Creates the web application that serves this list."""
        app = make_app(self.faults, self.stats)
        app.router.add_get("/v1/vms", self._handle_list)
        app.router.add_put("/v1/vms/{vm}", self._handle_put)
        app.router.add_delete("/v1/vms/{vm}", self._handle_delete)
        return app

    def stats(self) -> dict[str, Any]:
        """Returns the number of reads and the names of the listed VMs."""
        return {"reads": self._reads, "vms": sorted(self._vms)}

    def _record_state(self) -> None:
        self._history.append((time.monotonic(), list(self._vms.values())))

    def _get_reported(self) -> list[Vm]:
        lag_s = self._lag_s if self.faults.lag_s is None else self.faults.lag_s
        limit_s = time.monotonic() - lag_s
        past = [vms for at_s, vms in self._history if at_s <= limit_s]
        return past[-1] if past else []

    async def _handle_list(self, request: web.Request) -> web.Response:
        self._reads += 1
        if self.faults.stall:
            await hang(request)
        if self.faults.outage or self.faults.stall:
            return error(503, "outage")
        vms = [msgspec.structs.asdict(vm) for vm in self._get_reported()]
        return web.json_response({"vms": vms})

    async def _handle_put(self, request: web.Request) -> web.Response:
        try:
            vm = msgspec.json.decode(await request.read(), type=Vm)
        except (msgspec.DecodeError, msgspec.ValidationError) as wrong:
            return error(400, "wrong_vm", detail=str(wrong))
        if vm.vm != request.match_info["vm"]:
            return error(400, "wrong_vm", detail="the path names another VM")
        self._vms[vm.vm] = vm
        self._record_state()
        return web.json_response(msgspec.structs.asdict(vm))

    async def _handle_delete(self, request: web.Request) -> web.Response:
        if self._vms.pop(request.match_info["vm"], None) is None:
            return error(404, "unknown_vm")
        self._record_state()
        return web.json_response({})


def add_arguments(parser: argparse.ArgumentParser) -> None:
    add_server_arguments(parser)
    parser.add_argument("--lag-s", type=float, default=1.0)


def run(args: argparse.Namespace) -> int:
    return run_app(lambda: VmList(args.lag_s).app(), args.host, args.port)

"""Composition root: builds a process from its settings and runs it."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import signal
import time
from typing import Protocol

import aiohttp
import mode
import zmq

from lovagestage.adapters import HttpEngine, HttpLog, HttpVmList
from lovagestage.control import ControlReader
from lovagestage.crash_watch import CrashWatch
from lovagestage.dispatcher import Dispatcher
from lovagestage.entry import Entry
from lovagestage.hub import Hub
from lovagestage.links import LinkTable
from lovagestage.logs import start_logging
from lovagestage.messages import Hello
from lovagestage.runs import RunTable
from lovagestage.settings import EntrySettings, Settings, SidecarSettings
from lovagestage.sidecar import Sidecar
from lovagestage.timers import TimerService
from lovagestage.transport import KeyAuthenticator, Listener
from lovagestage.types import Role
from lovagestage.upstreams import UpstreamTable
from lovagestage.vmwatch import VmWatch

_log = logging.getLogger(__name__)


class _Process(Protocol):
    """The main service of a role."""

    async def drain(self) -> None:
        """Takes no new work and waits for what is open."""


@dataclasses.dataclass(frozen=True)
class _Base:
    """Parts that every role has."""

    settings: Settings
    context: zmq.Context[zmq.Socket[bytes]]
    session: aiohttp.ClientSession
    timers: TimerService
    control: ControlReader
    hub: Hub
    own: Hello


def run_process(settings: Settings) -> int:
    """Runs a process until it is told to stop; returns its exit code."""
    start_logging(settings.log, settings.vm)
    return asyncio.run(_run(settings))


async def _run(settings: Settings) -> int:
    stop = _make_stop_event()
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    authenticator = KeyAuthenticator(context, settings.bus.accepted_keys)
    authenticator.start()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        base = _make_base(settings, context, session)
        process, services = _make_role(base)
        listener = Listener(context, settings.bus, base.hub.on_message)
        base.hub.set_listener(listener)
        started = [base.timers, base.control, *services]
        for service in started:
            await service.start()
        _log.info("process_started")
        await stop.wait()
        await process.drain()
        for service in reversed(started):
            await service.stop()
        listener.close()
    authenticator.stop()
    context.destroy(linger=500)
    _log.info("process_stopped")
    return 0


def _make_stop_event() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


def _make_base(
    settings: Settings,
    context: zmq.Context[zmq.Socket[bytes]],
    session: aiohttp.ClientSession,
) -> _Base:
    return _Base(
        settings,
        context,
        session,
        TimerService(),
        ControlReader(HttpLog(session, settings.platform.log_url)),
        Hub(),
        Hello(settings.vm, time.time_ns()),
    )


def _make_role(base: _Base) -> tuple[_Process, list[mode.Service]]:
    if base.settings.entry is not None:
        return _make_entry(base, base.settings.entry)
    assert base.settings.sidecar is not None
    return _make_sidecar(base, base.settings.sidecar)


def _make_entry(
    base: _Base, role: EntrySettings
) -> tuple[_Process, list[mode.Service]]:
    settings = base.settings
    common = (base.context, settings.bus, base.own, base.timers)
    upstreams = UpstreamTable(*common)
    peers = LinkTable(Role.ENTRY, *common)
    watch = VmWatch(HttpVmList(base.session, settings.platform.vms_url))
    watch.subscribe(upstreams.apply_vm_list)
    watch.subscribe(peers.apply_vm_list)
    dispatcher = Dispatcher(
        upstreams,
        settings.zone,
        random.Random(),
        base.timers,
        CrashWatch(peers, base.hub),
    )
    entry = Entry(
        settings,
        role,
        base.control,
        upstreams,
        peers,
        dispatcher,
        base.own,
        base.hub,
    )
    return entry, [watch, upstreams, peers, entry]


def _make_sidecar(
    base: _Base, role: SidecarSettings
) -> tuple[_Process, list[mode.Service]]:
    engine = HttpEngine(base.session, role.upstream_url)
    runs = RunTable(engine, base.hub, role)
    sidecar = Sidecar(
        base.settings,
        role,
        base.control,
        engine,
        runs,
        base.timers,
        base.hub,
    )
    return sidecar, [sidecar]

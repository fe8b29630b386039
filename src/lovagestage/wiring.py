"""Composition root: builds a process from its settings and runs it."""

from __future__ import annotations

import asyncio
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
from lovagestage.dispatcher import Dispatcher
from lovagestage.entry import Entry
from lovagestage.logs import start_logging
from lovagestage.messages import Hello, Message
from lovagestage.settings import EntrySettings, Settings, SidecarSettings
from lovagestage.sidecar import Sidecar
from lovagestage.timers import TimerService
from lovagestage.transport import KeyAuthenticator, Listener, PeerId
from lovagestage.upstreams import UpstreamTable

_log = logging.getLogger(__name__)


class _Process(Protocol):
    """The main service of a role."""

    def set_listener(self, listener: Listener) -> None: ...

    def on_message(self, peer: PeerId, message: Message) -> None: ...

    async def drain(self) -> None: ...


def run_process(settings: Settings) -> int:
    """Runs a process until it is told to stop; returns its exit code."""
    start_logging(settings.log, settings.vm)
    return asyncio.run(_run(settings))


async def _run(settings: Settings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    authenticator = KeyAuthenticator(context, settings.bus.accepted_keys)
    authenticator.start()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        timers = TimerService()
        control = ControlReader(HttpLog(session, settings.platform.log_url))
        process, services = _make_role(
            settings, context, session, control, timers
        )
        listener = Listener(context, settings.bus, process.on_message)
        process.set_listener(listener)
        started = [timers, control, *services]
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


def _make_role(
    settings: Settings,
    context: zmq.Context[zmq.Socket[bytes]],
    session: aiohttp.ClientSession,
    control: ControlReader,
    timers: TimerService,
) -> tuple[_Process, list[mode.Service]]:
    if settings.entry is not None:
        return _make_entry(
            settings, settings.entry, context, session, control, timers
        )
    assert settings.sidecar is not None
    return _make_sidecar(settings, settings.sidecar, session, control, timers)


def _make_entry(
    settings: Settings,
    role: EntrySettings,
    context: zmq.Context[zmq.Socket[bytes]],
    session: aiohttp.ClientSession,
    control: ControlReader,
    timers: TimerService,
) -> tuple[_Process, list[mode.Service]]:
    upstreams = UpstreamTable(
        context,
        settings.bus,
        Hello(settings.vm, time.time_ns()),
        HttpVmList(session, settings.platform.vms_url),
        timers,
    )
    dispatcher = Dispatcher(upstreams, settings.zone, random.Random())
    entry = Entry(settings, role, control, upstreams, dispatcher)
    return entry, [upstreams, entry]


def _make_sidecar(
    settings: Settings,
    role: SidecarSettings,
    session: aiohttp.ClientSession,
    control: ControlReader,
    timers: TimerService,
) -> tuple[_Process, list[mode.Service]]:
    engine = HttpEngine(session, role.upstream_url)
    sidecar = Sidecar(settings, role, control, engine, timers)
    return sidecar, [sidecar]

"""Runs a gateway as a process: start, readiness, reload and planned stop."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import signal
import socket

from lovagestage.exceptions import SettingsError
from lovagestage.gateway.caller_connection import CallerConnection
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.listeners import open_listener
from lovagestage.gateway.log_output import start_logging
from lovagestage.gateway.messages import CallerRequest
from lovagestage.gateway.planned_stop import DRAIN_NOTICE_S
from lovagestage.gateway.server import CallerServer
from lovagestage.gateway.settings import GatewaySettings
from lovagestage.gateway.wiring import make_components
from lovagestage.platform.settings import read_settings

_log = logging.getLogger(__name__)

EXPIRE_INTERVAL_S = 0.2
"""Interval in seconds for removing expired upstreams and sessions and closing
idle connections. An expired upstream is used at most this much longer."""
SETTINGS_CHECK_INTERVAL_S = 1.0
STARTUP_WAIT_S = 0.25
"""Time in seconds for which a starting gateway delays accepting callers until
it is ready. A healthy store answers within 0.05 s. A refusal would send the
first callers to gateways that started at the same moment; while the store is
unavailable, the refusal comes this much later."""
STARTUP_POLL_INTERVAL_S = 0.005
"""Interval in seconds between checks whether a starting gateway is ready; a
call to the store takes about as long."""
STOP_POLL_INTERVAL_S = 0.05
LAST_ANSWERS_S = 0.2
"""Longest time in seconds for which a stopping process sends the last answers
to callers whose requests it has ended."""


def run_gateway(
    settings: GatewaySettings,
    path: pathlib.Path,
    metrics_port: int,
    listener: socket.socket,
) -> int:
    """Runs a gateway until it receives a signal to stop.

    Args:
        settings: Settings of the process.
        path: File from which the settings were read.
        metrics_port: Port of the metrics; 0 for none.
        listener: Socket on which callers' connections arrive.

    Returns:
        The exit code of the process.
    """
    exposition = Exposition()
    start_logging(settings.vm, exposition)
    gateway = Gateway(settings, path, metrics_port, exposition, listener)
    return asyncio.run(gateway.run())


class Gateway:
    """A gateway process with its servers and background services.

    Args:
        settings: Settings of the process.
        path: File from which the settings were read.
        metrics_port: Port of the metrics; 0 for none.
        exposition: Collects the metrics.
        listener: Socket on which callers' connections arrive.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        path: pathlib.Path,
        metrics_port: int,
        exposition: Exposition,
        listener: socket.socket,
    ) -> None:
        self._settings = settings
        self._path = path
        self._metrics_port = metrics_port
        self._exposition = exposition
        self._listener = listener
        self._is_draining = False
        self._settings_changed_ns = 0
        self._components = make_components(settings, exposition)
        service = self._components.service
        self._caller_server = CallerServer(
            service.handle_request,
            service.get_limits,
            self._components.overload.admits_connection,
        )
        self._probe_server = CallerServer(
            self._answer_probe, service.get_limits
        )
        self._metrics_server = CallerServer(
            self._answer_metrics, service.get_limits
        )
        exposition.add_gauge(
            Series.OPEN_REQUESTS, lambda: self._caller_server.open_requests
        )
        self._components.timers.subscribe(EXPIRE_INTERVAL_S, self._expire)
        self._components.timers.subscribe(
            SETTINGS_CHECK_INTERVAL_S, self._check_settings
        )

    @property
    def deployment(self) -> Deployment:
        """Deployment state as this gateway currently knows it."""
        return self._components.deployment

    async def run(self) -> int:
        """Runs until SIGTERM or SIGINT; returns the process's exit code."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        # They may have changed since the process has read them.
        self._reload("start")
        try:
            await self._open_probe_servers()
            for service in self._components.services:
                await service.start()
            _log.info(
                "process_started",
                extra={"address": self._settings.client_address},
            )
            await self._wait_until_ready(stop)
            await self._caller_server.open(self._listener)
            await stop.wait()
            await self._drain()
        finally:
            self._caller_server.close()
            self._probe_server.close()
            self._metrics_server.close()
            for service in reversed(self._components.services):
                await service.stop()
        _log.info("process_stopped", extra={"signal": "term"})
        return 0

    async def _open_probe_servers(self) -> None:
        address = self._settings.readiness_address
        await self._probe_server.open(open_listener(address))
        if self._metrics_port:
            host = self._settings.client_address.rpartition(":")[0]
            address = f"{host}:{self._metrics_port}"
            await self._metrics_server.open(open_listener(address))

    async def _wait_until_ready(self, stop: asyncio.Event) -> None:
        """Waits until the gateway is ready, for `STARTUP_WAIT_S` at most.

        Callers that connect meanwhile wait in the listening socket's queue.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + STARTUP_WAIT_S
        while not (self.is_ready() or stop.is_set() or loop.time() >= end_s):
            await asyncio.sleep(STARTUP_POLL_INTERVAL_S)

    async def _drain(self) -> None:
        """Reports not ready to the balancer, then completes open requests.

        A connection that may bring another request stays open for a moment,
        so that the request is answered or refused.
        """
        loop = asyncio.get_running_loop()
        stop, server = self._components.planned_stop, self._caller_server
        stop.begin(loop.time(), self._settings.bounds.stop_s)
        self._is_draining = True
        server.is_draining = True
        _log.info("drain_started", extra={"open": server.open_requests})
        await asyncio.sleep(DRAIN_NOTICE_S)
        server.close()
        await self._wait_until_closed(stop.end_s)
        if server.open_requests:
            _log.warning("drain_timeout", extra={"open": server.open_requests})
            server.end_requests()
            await self._wait_until_closed(loop.time() + LAST_ANSWERS_S)

    async def _wait_until_closed(self, end_s: float) -> None:
        """Closes idle connections until none is open or the time is over."""
        loop = asyncio.get_running_loop()
        while self._caller_server.open_connections and loop.time() < end_s:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            self._caller_server.close_idle()

    def is_ready(self) -> bool:
        """Returns whether the balancer should send callers to this gateway."""
        now_s = get_elapsed_s()
        return (
            not self._is_draining
            and self.deployment.configuration is not None
            and self._components.upstream_feed.is_synced
            and self._components.rollouts.is_resolved
            and self.deployment.freshness.is_fresh(now_s)
            and not self.deployment.freshness.is_superseded(now_s)
        )

    async def _answer_probe(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        is_ready = self.is_ready()
        await connection.send_text(200 if is_ready else 503, "")

    async def _answer_metrics(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        await connection.send_text(200, self._exposition.format_text())

    def _expire(self) -> None:
        self.deployment.rotation.expire(get_elapsed_s())
        self.deployment.pins.expire(get_elapsed_s())
        self._components.pool.close_expired()

    def _check_settings(self) -> None:
        try:
            changed_ns = self._path.stat().st_mtime_ns
        except OSError as error:
            _log.warning("settings_not_read", extra={"error": str(error)})
            return
        if self._settings_changed_ns not in (0, changed_ns):
            self._reload("file")
        self._settings_changed_ns = changed_ns

    def _reload(self, cause: str) -> None:
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            _log.error(
                "settings_refused",
                extra={"cause": cause, "error": error.message},
            )
            return
        # Addresses and wait times, such as those of long polls and of the stop,
        # stay unchanged until a restart.
        self.deployment.freshness.limit_s = settings.bounds.revoke_s
        self.deployment.freshness.apply_s = settings.bounds.apply_s
        self.deployment.regions = settings.regions
        self.deployment.pins.session_s = settings.bounds.session_s
        self._components.rollouts.apply_bounds(settings.bounds)
        self._components.forwarder.apply_bounds(settings.bounds)
        _log.info("settings_reloaded", extra={"cause": cause})

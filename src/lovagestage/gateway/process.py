"""A gateway's process: start, readiness, reload and planned stop."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import signal
import socket

from lovagestage.exceptions import SettingsError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.listeners import open_listener
from lovagestage.gateway.loglines import start_logging
from lovagestage.gateway.messages import CallerRequest
from lovagestage.gateway.server import CallerConnection, CallerServer
from lovagestage.gateway.settings import GatewaySettings
from lovagestage.gateway.wiring import make_parts
from lovagestage.platform.settings import read_settings

_log = logging.getLogger(__name__)

EXPIRE_S = 0.2
"""Upstreams that lapsed are given up at most this late."""
SETTINGS_CHECK_S = 1.0
COLD_WAIT_S = 0.25
"""The first callers wait so long for the store, which answers within 0.05 s
where it is sound. A refusal would send them to gateways that have started at
the same moment; with a store that is away it comes this much later."""
COLD_POLL_S = 0.005
"""Time between looks whether the store has answered; a call takes as long."""
NOTICE_S = 2.6
"""Time for the balancer to see that the gateway is leaving: two looks, a
second apart, and the time for the answer."""
STOP_MARGIN_S = 0.6
"""A stopping process ends itself this long before it would be killed."""
STOP_POLL_S = 0.05


def run_gateway(
    settings: GatewaySettings,
    path: pathlib.Path,
    metrics_port: int,
    listener: socket.socket,
) -> int:
    """Runs a gateway until it is told to stop; returns its exit code."""
    exposition = Exposition()
    start_logging(settings.vm, exposition)
    gateway = Gateway(settings, path, metrics_port, exposition, listener)
    return asyncio.run(gateway.run())


class Gateway:
    """All parts of a gateway.

    Args:
        settings: Settings of the process.
        path: File that they came from.
        metrics_port: Port of the metrics; 0 for none.
        exposition: Takes what is measured.
        listener: Where callers' connections arrive.
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
        self._is_leaving = False
        self._settings_changed_ns = 0
        self._parts = make_parts(settings, exposition)
        service = self._parts.service
        self._callers = CallerServer(service.answer, service.get_limits)
        self._probes = CallerServer(self._answer_probe, service.get_limits)
        self._metrics = CallerServer(self._answer_metrics, service.get_limits)
        exposition.add_gauge(
            Series.OPEN_REQUESTS, lambda: self._callers.open_requests
        )
        self._parts.timers.subscribe(EXPIRE_S, self._expire)
        self._parts.timers.subscribe(SETTINGS_CHECK_S, self._check_settings)

    @property
    def deployment(self) -> Deployment:
        """What the gateway believes of the deployment."""
        return self._parts.deployment

    async def run(self) -> int:
        """Runs until SIGTERM or SIGINT."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        try:
            await self._open_probes()
            for service in self._parts.services:
                await service.start()
            _log.info(
                "process_started",
                extra={"address": self._settings.client_address},
            )
            await self._wait_for_beliefs(stop)
            await self._callers.open(self._listener)
            await stop.wait()
            await self._leave()
        finally:
            self._callers.close()
            self._probes.close()
            self._metrics.close()
            for service in reversed(self._parts.services):
                await service.stop()
        _log.info("process_stopped", extra={"signal": "term"})
        return 0

    async def _open_probes(self) -> None:
        address = self._settings.readiness_address
        await self._probes.open(open_listener(address))
        if self._metrics_port:
            host = self._settings.client_address.rpartition(":")[0]
            address = f"{host}:{self._metrics_port}"
            await self._metrics.open(open_listener(address))

    async def _wait_for_beliefs(self, stop: asyncio.Event) -> None:
        """Lets callers wait while the store is about to answer."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + COLD_WAIT_S
        while not (self.is_ready() or stop.is_set() or loop.time() >= end_s):
            await asyncio.sleep(COLD_POLL_S)

    async def _leave(self) -> None:
        """Leaves the balancer, then answers what is open."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        end_s = started_s + self._settings.bounds.stop_s - STOP_MARGIN_S
        self._is_leaving = True
        self._callers.is_leaving = True
        _log.info("drain_started", extra={"open": self._callers.open_requests})
        await asyncio.sleep(NOTICE_S)
        self._callers.close()
        self._parts.service.refuse_streams()
        while self._callers.open_requests and loop.time() < end_s:
            await asyncio.sleep(STOP_POLL_S)
            self._callers.close_idle()
        if self._callers.open_requests:
            _log.warning(
                "drain_timeout", extra={"open": self._callers.open_requests}
            )

    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        now_s = get_elapsed_s()
        return (
            not self._is_leaving
            and self.deployment.configuration is not None
            and self._parts.upstream_feed.is_synced
            and self._parts.rollouts.is_resolved
            and self.deployment.trust.holds(now_s)
            and not self.deployment.trust.is_superseded(now_s)
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
        self._parts.pool.expire()

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
        # Addresses and times to wait for stay as they are until a restart.
        self.deployment.trust.limit_s = settings.bounds.revoke_s
        self.deployment.trust.apply_s = settings.bounds.apply_s
        self.deployment.regions = settings.regions
        self.deployment.pins.session_s = settings.bounds.session_s
        self._parts.rollouts.apply_bounds(settings.bounds)
        self._parts.forwarder.apply_bounds(settings.bounds)
        _log.info("settings_reloaded", extra={"cause": cause})

"""Composition root of a gateway: builds the parts and runs them."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import random
import signal
import time

import mode

from lovagestage.crash_reports import CrashReport
from lovagestage.exceptions import SettingsError
from lovagestage.gateway.beliefs import OperatorBeliefs, UpstreamBeliefs
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.feeds import TopicFeed
from lovagestage.gateway.forwarder import Forwarder
from lovagestage.gateway.gossip import Gossip
from lovagestage.gateway.loglines import start_logging
from lovagestage.gateway.mailbox import Mailbox
from lovagestage.gateway.messages import CallerRequest
from lovagestage.gateway.notes import (
    TOPIC,
    CountNote,
    FailureNote,
    HelloNote,
    OutcomeNote,
)
from lovagestage.gateway.pins import SessionPins
from lovagestage.gateway.rollout_service import RolloutService
from lovagestage.gateway.server import CallerConnection, CallerServer
from lovagestage.gateway.service import GatewayService
from lovagestage.gateway.settings import GatewaySettings
from lovagestage.gateway.suspects import SuspectWatch
from lovagestage.gateway.trust import Trust
from lovagestage.platform.store import (
    OPERATOR_TOPIC,
    UPSTREAM_TOPIC,
    StoreClient,
)
from lovagestage.timers import TimerService

_log = logging.getLogger(__name__)

WAIT_RATIO = 0.7
"""The store holds a read for this part of the time in which what it waits for
must be in force: a change arrives at once, and one whose wake-up is lost is
found by the next read. A removal was seen to arrive only with the end of a
3 s wait, a second after the upstream's time to drain."""
TRUST_WAIT_RATIO = 0.3
"""The same as part of the time for which keys may be relied on, where that is
shorter: one lost read must not end the trust."""
OPERATOR_PAUSE_S = 0.2
"""Configurations come in storms of several a second; a tenth of the time in
which one must be in force."""
UPSTREAM_PAUSE_S = 0.4
"""A release changes many upstreams within seconds, and each change would wake
every gateway: 5.6 calls a second and gateway without pauses on the quiet day
of the largest site. A fifth of the time for which a leaving one serves."""
NOTES_WAIT_S = 10.0
"""Notes are rare; a read costs a call whenever it ends."""
NOTES_PAUSE_S = 0.6
"""Evidence comes from all gateways within moments; a verdict has seconds."""
EXPIRE_S = 0.2
SETTINGS_CHECK_S = 1.0
NOTICE_S = 2.6
"""Time for the balancer to see that the gateway is leaving: two looks, a
second apart, and the time for the answer."""
STOP_MARGIN_S = 0.6
"""A stopping process ends itself this long before it would be killed."""
STOP_POLL_S = 0.05


def run_gateway(
    settings: GatewaySettings, path: pathlib.Path, metrics_port: int
) -> int:
    """Runs a gateway until it is told to stop; returns its exit code."""
    exposition = Exposition()
    start_logging(settings.vm, exposition)
    gateway = Gateway(settings, path, metrics_port, exposition)
    return asyncio.run(gateway.run())


class Gateway:
    """All parts of a gateway.

    Args:
        settings: Settings of the process.
        path: File that they came from.
        metrics_port: Port of the metrics; 0 for none.
        exposition: Takes what is measured.

    Attributes:
        deployment: What it believes of the deployment.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        path: pathlib.Path,
        metrics_port: int,
        exposition: Exposition,
    ) -> None:
        self._settings = settings
        self._path = path
        self._metrics_port = metrics_port
        self._exposition = exposition
        self._is_leaving = False
        self._settings_changed_ns = 0
        self._services = self._make_parts()

    async def run(self) -> int:
        """Runs until SIGTERM or SIGINT."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        try:
            await self._open()
            for service in self._services:
                await service.start()
            _log.info(
                "process_started",
                extra={"address": self._settings.client_address},
            )
            await stop.wait()
            await self._leave()
        finally:
            self._callers.close()
            self._probes.close()
            self._metrics.close()
            for service in reversed(self._services):
                await service.stop()
        _log.info("process_stopped", extra={"signal": "term"})
        return 0

    def _make_parts(self) -> list[mode.Service]:
        settings = self._settings
        rng = random.Random()
        self.deployment = Deployment(
            Trust(settings.bounds.revoke_s),
            SessionPins(settings.bounds.session_s),
        )
        self._pool = ConnectionPool()
        self._rollouts = RolloutService(
            self._make_store(),
            self.deployment,
            settings.vm,
            settings.bounds,
            rng,
        )
        mailbox = Mailbox(
            self._make_store(),
            settings.vm,
            time.time_ns(),
            settings.peer_address or "",
        )
        suspects = SuspectWatch(mailbox.post)
        mailbox.subscribe(CrashReport, suspects.on_report)
        mailbox.subscribe(FailureNote, self._rollouts.on_failure_note)
        mailbox.subscribe(CountNote, self._rollouts.on_count_note)
        mailbox.subscribe(OutcomeNote, self._rollouts.on_outcome_note)
        self._rollouts.set_mailbox(mailbox)
        self._forwarder = Forwarder(
            settings,
            self.deployment,
            self._pool,
            self._rollouts,
            suspects,
            rng,
        )
        service = GatewayService(
            self.deployment, self._forwarder, self._exposition
        )
        self._callers = CallerServer(service.answer, service.get_limits)
        self._probes = CallerServer(self._answer_probe, service.get_limits)
        self._metrics = CallerServer(self._answer_metrics, service.get_limits)
        timers = TimerService()
        timers.subscribe(EXPIRE_S, self._expire)
        timers.subscribe(SETTINGS_CHECK_S, self._check_settings)
        return [
            timers,
            *self._make_gossip(mailbox),
            *self._make_feeds(mailbox, rng),
            mailbox,
            self._rollouts,
        ]

    def _make_gossip(self, mailbox: Mailbox) -> list[mode.Service]:
        settings = self._settings
        if settings.peer_address is None:
            return []
        gossip = Gossip(
            settings.vm, settings.peer_address, self.deployment.rotation
        )

        def add_peer(note: HelloNote) -> None:
            gossip.add_peer(note.peer_address)

        mailbox.subscribe(HelloNote, add_peer)
        return [gossip]

    def _make_store(self) -> StoreClient:
        return StoreClient(self._settings.store_address)

    def _make_feeds(
        self, mailbox: Mailbox, rng: random.Random
    ) -> list[mode.Service]:
        bounds = self._settings.bounds
        operators = OperatorBeliefs(self.deployment, self._rollouts.on_order)
        self._operator_feed = TopicFeed(
            self._make_store(),
            OPERATOR_TOPIC,
            operators,
            min(
                WAIT_RATIO * bounds.apply_s, TRUST_WAIT_RATIO * bounds.revoke_s
            ),
            OPERATOR_PAUSE_S,
            True,
            rng,
        )
        upstreams = UpstreamBeliefs(self.deployment, self._get_lost_age_s)
        self._upstream_feed = TopicFeed(
            self._make_store(),
            UPSTREAM_TOPIC,
            upstreams,
            WAIT_RATIO * bounds.drain_s,
            UPSTREAM_PAUSE_S,
            True,
            rng,
        )
        notes = TopicFeed(
            self._make_store(),
            TOPIC,
            mailbox,
            NOTES_WAIT_S,
            NOTES_PAUSE_S,
            False,
            rng,
        )
        return [self._operator_feed, self._upstream_feed, notes]

    def _get_lost_age_s(self, now_s: float) -> float | None:
        return self._upstream_feed.get_lost_age_s(now_s)

    async def _open(self) -> None:
        await self._callers.open(self._settings.client_address)
        await self._probes.open(self._settings.readiness_address)
        if self._metrics_port:
            host = self._settings.client_address.rpartition(":")[0]
            await self._metrics.open(f"{host}:{self._metrics_port}")

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
        while self._callers.open_requests and loop.time() < end_s:
            await asyncio.sleep(STOP_POLL_S)
            self._callers.close_idle()
        if self._callers.open_requests:
            _log.warning(
                "drain_timeout", extra={"open": self._callers.open_requests}
            )

    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            not self._is_leaving
            and self.deployment.configuration is not None
            and self._upstream_feed.is_synced
            and self._rollouts.is_resolved
            and self.deployment.trust.holds(get_elapsed_s())
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
        self._pool.expire()

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
        from lovagestage.gateway.command import get_settings

        try:
            settings = get_settings(self._path)
        except SettingsError as error:
            _log.error(
                "settings_refused",
                extra={"cause": cause, "error": error.message},
            )
            return
        # Addresses and times to wait for stay as they are until a restart.
        self.deployment.trust.limit_s = settings.bounds.revoke_s
        self.deployment.pins.session_s = settings.bounds.session_s
        self._rollouts.apply_bounds(settings.bounds)
        self._forwarder.apply_bounds(settings.bounds)
        _log.info("settings_reloaded", extra={"cause": cause})

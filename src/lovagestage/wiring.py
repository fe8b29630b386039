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

from lovagestage.adapters.http_engine import HttpEngine
from lovagestage.adapters.http_log import HttpLog
from lovagestage.adapters.http_plain_service import HttpPlainService
from lovagestage.adapters.http_rater import HttpRater
from lovagestage.adapters.http_vm_list import HttpVmList
from lovagestage.api.entry import Entry
from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.transport import KeyAuthenticator, Listener
from lovagestage.bus.upstreams import UpstreamTable
from lovagestage.bus.vmwatch import VmWatch
from lovagestage.control.gate import FencingGate
from lovagestage.control.leasing import LeaseKeeper
from lovagestage.control.membership import Membership
from lovagestage.control.orders import OrderService
from lovagestage.control.peerstate import PeerState, StateResponder
from lovagestage.control.reader import ControlReader
from lovagestage.control.rollout_driver import EvidenceSource, RolloutDriver
from lovagestage.control.snapshotting import (
    SNAPSHOT_LEASE,
    SnapshotStream,
    SnapshotWriter,
)
from lovagestage.control.writer import ControlWriter
from lovagestage.decisions.billing import BillingLedger
from lovagestage.decisions.deadlines import DeferralQueue, SlotSpec
from lovagestage.decisions.learned_counters import LearnedCounters
from lovagestage.decisions.limits import LimitTable
from lovagestage.entry.answer_tracking import AnswerTracker
from lovagestage.entry.billing_service import BillingService
from lovagestage.entry.cascade_service import CascadeService
from lovagestage.entry.crash_watch import CrashWatch
from lovagestage.entry.deferral_service import (
    FIRST_TOKEN_ESTIMATE_S,
    DeferralService,
)
from lovagestage.entry.dispatcher import Dispatcher
from lovagestage.entry.exposure_service import ExposureService
from lovagestage.entry.key_service import KeyService
from lovagestage.entry.limit_service import LimitService
from lovagestage.entry.quality import QualityService
from lovagestage.entry.version_search import VersionSearch
from lovagestage.execution.permissions import RequestPermissions
from lovagestage.execution.runs import RunTable
from lovagestage.execution.sidecar import Sidecar
from lovagestage.execution.upstream_gate import UpstreamGate
from lovagestage.messages.envelope import Hello
from lovagestage.settings import EntrySettings, Settings, SidecarSettings
from lovagestage.state.members import MemberJoined
from lovagestage.state.rollouts import ROLLOUT_LEASE
from lovagestage.telemetry.logs import start_logging
from lovagestage.telemetry.metrics import Metric, Metrics
from lovagestage.timers import TimerService
from lovagestage.types import Role

_log = logging.getLogger(__name__)


class _Process(Protocol):
    """Main service of a process, which depends on its role."""

    async def drain(self) -> None:
        """Stops accepting new work and waits until open work has ended."""


@dataclasses.dataclass(frozen=True)
class _Components:
    """Components that the processes of every role have.

    Attributes:
        settings: Settings of the process.
        context: The zmq context of the process.
        session: HTTP client of the process.
        timers: Timer service.
        metrics: Metrics of the process.
        log: Client of the platform's log.
        control: Reader of the configuration in force.
        writer: Writer of records to the `control` stream.
        hub: Dispatches messages from the process's listener.
        own: First message on a connection, with the VM name and the
            incarnation of this process.
    """

    settings: Settings
    context: zmq.Context[zmq.Socket[bytes]]
    session: aiohttp.ClientSession
    timers: TimerService
    metrics: Metrics
    log: HttpLog
    control: ControlReader
    writer: ControlWriter
    hub: Hub
    own: Hello


def run_process(settings: Settings) -> int:
    """Runs a process until SIGTERM or SIGINT; returns its exit code."""
    start_logging(settings.log, settings.vm)
    return asyncio.run(_run(settings))


async def _run(settings: Settings) -> int:
    stop = _make_stop_event()
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    authenticator = KeyAuthenticator(context, settings.bus.accepted_keys)
    authenticator.start()
    async with _make_session(settings) as session:
        components = _make_components(settings, context, session)
        process, services = _make_role(components)
        listener = Listener(context, settings.bus, components.hub.on_message)
        components.hub.set_listener(listener)
        started = [components.timers, components.control, *services]
        for service in started:
            await service.start()
        _log.info("process_started")
        await stop.wait()
        await process.drain()
        for service in reversed(started):
            await service.stop()
        components.metrics.send()
        listener.close()
    authenticator.stop()
    context.destroy(linger=500)
    _log.info("process_stopped")
    return 0


def _make_session(settings: Settings) -> aiohttp.ClientSession:
    role_settings = settings.sidecar
    is_plain = role_settings is not None and bool(role_settings.pool)
    return aiohttp.ClientSession(
        # Each call to a plain service needs a new connection; for the reason
        # see `HttpPlainService`.
        connector=aiohttp.TCPConnector(limit=0, force_close=is_plain),
        # Cookies of one caller must not be sent with the call of another.
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def _make_stop_event() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


def _make_components(
    settings: Settings,
    context: zmq.Context[zmq.Socket[bytes]],
    session: aiohttp.ClientSession,
) -> _Components:
    log = HttpLog(session, settings.platform.log_url)
    control = ControlReader(
        log,
        SnapshotStream(log, settings.platform.log_keys),
        settings.platform.operators_root_key,
    )
    timers = TimerService()
    metrics = Metrics(settings.statsd, timers)
    _record_control_metrics(control, metrics)
    hub = Hub()
    StateResponder(control, hub)
    return _Components(
        settings,
        context,
        session,
        timers,
        metrics,
        log,
        control,
        ControlWriter(log, control),
        hub,
        Hello(settings.vm, time.time_ns()),
    )


def _record_control_metrics(control: ControlReader, metrics: Metrics) -> None:
    def set_gauges() -> None:
        state = control.folded
        metrics.set_gauge(Metric.CONTROL_OFFSET, state.next_offset)
        metrics.set_gauge(Metric.RECORDS_REFUSED, state.undecodable)

    control.subscribe(set_gauges)


def _make_role(components: _Components) -> tuple[_Process, list[mode.Service]]:
    if components.settings.entry is not None:
        return _make_entry(components, components.settings.entry)
    assert components.settings.sidecar is not None
    return _make_sidecar(components, components.settings.sidecar)


def _make_entry(
    components: _Components, role_settings: EntrySettings
) -> tuple[_Process, list[mode.Service]]:
    settings = components.settings
    common = (
        components.context,
        settings.bus,
        components.own,
        components.timers,
    )
    upstreams = UpstreamTable(
        *common, settings.zone, role_settings.upstream_subset
    )
    peers = LinkTable(
        Role.ENTRY, *common, settings.zone, role_settings.peer_subset
    )
    vm_watch = VmWatch(
        HttpVmList(components.session, settings.platform.vms_url)
    )
    vm_watch.subscribe(upstreams.apply_vm_list)
    vm_watch.subscribe(peers.apply_vm_list)
    membership = _make_membership(components, role_settings, peers)
    vm_watch.subscribe(membership.apply_vm_list)
    keys = KeyService(
        role_settings, components.control, membership, peers, components.hub
    )
    dispatcher = Dispatcher(
        upstreams,
        random.Random(),
        components.timers,
        CrashWatch(peers, components.hub),
        RequestPermissions(components.control),
    )
    billing = _make_billing(components, role_settings, peers)
    exposure = _make_exposure(components, peers)
    cascades = _make_cascades(components, role_settings, peers)
    quality = _make_quality(components, exposure, cascades)
    limits = LimitService(
        LimitTable(settings.vm, components.own.incarnation, time.monotonic()),
        components.control,
        peers,
        components.timers,
        components.hub,
    )
    entry = Entry(
        settings,
        role_settings,
        components.control,
        upstreams,
        peers,
        dispatcher,
        components.hub,
        billing,
        keys,
        AnswerTracker(exposure, cascades, quality),
        limits,
        _make_deferrals(role_settings),
        components.metrics,
    )
    background_services = [
        *_make_snapshot_services(components, role_settings),
        *_make_rollout_driver(components, role_settings, upstreams, exposure),
        exposure,
        cascades,
        *([quality] if quality else []),
    ]
    peer_state = PeerState(components.control, [peers, upstreams], upstreams)
    version_search = VersionSearch(
        components.control, upstreams, peers, components.hub, random.Random()
    )
    connection_services = [
        vm_watch,
        upstreams,
        peers,
        peer_state,
        version_search,
    ]
    return entry, [
        *connection_services,
        billing,
        limits,
        membership,
        keys,
        *background_services,
        entry,
    ]


def _make_deferrals(role_settings: EntrySettings) -> DeferralService:
    spec = SlotSpec(
        role_settings.deferred_slots,
        role_settings.deferred_tokens_per_s,
        FIRST_TOKEN_ESTIMATE_S,
    )
    return DeferralService(DeferralQueue(spec, role_settings.deferred_limit))


def _make_exposure(
    components: _Components, peers: LinkTable
) -> ExposureService:
    return ExposureService(
        components.control,
        components.writer,
        peers,
        components.timers,
        components.hub,
        components.own,
        random.Random(),
        bool(components.settings.platform.rater_url),
    )


def _make_cascades(
    components: _Components, role_settings: EntrySettings, peers: LinkTable
) -> CascadeService:
    return CascadeService(
        components.control,
        LearnedCounters(components.own.vm, components.own.incarnation),
        peers,
        components.timers,
        components.hub,
        random.Random(),
        role_settings.learning_window_s,
    )


def _make_quality(
    components: _Components, exposure: ExposureService, cascades: CascadeService
) -> QualityService | None:
    url = components.settings.platform.rater_url
    if not url:
        return None
    return QualityService(
        HttpRater(components.session, url), exposure, cascades
    )


def _make_rollout_driver(
    components: _Components,
    role_settings: EntrySettings,
    upstreams: UpstreamTable,
    evidence: EvidenceSource,
) -> list[mode.Service]:
    lease = LeaseKeeper(
        ROLLOUT_LEASE,
        components.own,
        components.control,
        components.writer,
        role_settings.lease_ttl_s,
    )
    driver = RolloutDriver(
        components.control, lease, components.writer, upstreams, evidence
    )
    return [lease, driver]


def _make_billing(
    components: _Components, role_settings: EntrySettings, peers: LinkTable
) -> BillingService:
    ledger = BillingLedger(
        components.settings.vm,
        components.settings.zone,
        components.own.incarnation,
        role_settings.billing_buffer_bytes,
        role_settings.billing_batch_bytes,
    )
    return BillingService(
        ledger,
        components.log,
        peers,
        components.timers,
        components.hub,
        role_settings.billing_interval_s,
        random.Random(),
    )


def _make_snapshot_services(
    components: _Components, role_settings: EntrySettings
) -> list[mode.Service]:
    lease = LeaseKeeper(
        SNAPSHOT_LEASE,
        components.own,
        components.control,
        components.writer,
        role_settings.lease_ttl_s,
    )
    writer = SnapshotWriter(
        components.log,
        components.control,
        lease,
        keys=components.settings.platform.log_keys,
    )
    return [lease, writer]


def _make_membership(
    components: _Components, role_settings: EntrySettings, peers: LinkTable
) -> Membership:
    settings = components.settings
    return Membership(
        components.control,
        components.log,
        peers,
        MemberJoined(
            settings.vm,
            settings.zone,
            components.own.incarnation,
            settings.bus.bind,
        ),
        role_settings.member_silence_s,
    )


def _make_upstream(
    components: _Components,
    role_settings: SidecarSettings,
    gate: UpstreamGate,
) -> HttpEngine | HttpPlainService:
    if not role_settings.pool:
        return HttpEngine(
            components.session, role_settings.upstream_url, gate.record_answer
        )
    return HttpPlainService(
        components.session,
        role_settings.upstream_url,
        role_settings.max_answer_bytes,
        gate.record_answer,
    )


def _make_sidecar(
    components: _Components, role_settings: SidecarSettings
) -> tuple[_Process, list[mode.Service]]:
    gate = UpstreamGate()
    engine = _make_upstream(components, role_settings, gate)
    runs = RunTable(
        engine, components.hub, role_settings, components.own.incarnation
    )
    if isinstance(engine, HttpEngine):
        OrderService(engine, FencingGate(components.control), components.hub)
    sidecar = Sidecar(
        components.settings,
        role_settings,
        components.control,
        engine,
        runs,
        gate,
        components.timers,
        components.hub,
    )
    return sidecar, [sidecar]

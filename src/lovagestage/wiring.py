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
from lovagestage.control.rollout_driver import Evidence, RolloutDriver
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
from lovagestage.entry.billing_service import BillingService
from lovagestage.entry.cascade_service import CascadeService
from lovagestage.entry.crash_watch import CrashWatch
from lovagestage.entry.deferral_service import FIRST_TOKEN_S, DeferralService
from lovagestage.entry.dispatcher import Dispatcher
from lovagestage.entry.exposure_service import ExposureService
from lovagestage.entry.key_service import KeyService
from lovagestage.entry.limit_service import LimitService
from lovagestage.entry.quality import QualityService
from lovagestage.entry.trials import Trials
from lovagestage.entry.version_search import VersionSearch
from lovagestage.execution.rights import RequestRights
from lovagestage.execution.runs import RunTable
from lovagestage.execution.sidecar import Sidecar
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
    metrics: Metrics
    log: HttpLog
    control: ControlReader
    writer: ControlWriter
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
    async with _make_session(settings) as session:
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
        base.metrics.send()
        listener.close()
    authenticator.stop()
    context.destroy(linger=500)
    _log.info("process_stopped")
    return 0


def _make_session(settings: Settings) -> aiohttp.ClientSession:
    role = settings.sidecar
    is_plain = role is not None and bool(role.pool)
    return aiohttp.ClientSession(
        # Each call to a plain service needs its own connection: see
        # `HttpPlainService`.
        connector=aiohttp.TCPConnector(limit=0, force_close=is_plain),
        # One caller's cookies must not be sent with another's call.
        cookie_jar=aiohttp.DummyCookieJar(),
    )


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
    log = HttpLog(session, settings.platform.log_url)
    control = ControlReader(
        log,
        SnapshotStream(log, settings.platform.log_keys),
        settings.platform.operators_root_key,
    )
    timers = TimerService()
    metrics = Metrics(settings.statsd, timers)
    _measure_control(control, metrics)
    hub = Hub()
    StateResponder(control, hub)
    return _Base(
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


def _measure_control(control: ControlReader, metrics: Metrics) -> None:
    def set_gauges() -> None:
        state = control.folded
        metrics.set(Metric.CONTROL_OFFSET, state.next_offset)
        metrics.set(Metric.RECORDS_REFUSED, state.undecodable)

    control.subscribe(set_gauges)


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
    upstreams = UpstreamTable(*common, settings.zone, role.upstream_subset)
    peers = LinkTable(Role.ENTRY, *common, settings.zone, role.peer_subset)
    watch = VmWatch(HttpVmList(base.session, settings.platform.vms_url))
    watch.subscribe(upstreams.apply_vm_list)
    watch.subscribe(peers.apply_vm_list)
    membership = _make_membership(base, role, peers)
    watch.subscribe(membership.apply_vm_list)
    keys = KeyService(role, base.control, membership, peers, base.hub)
    dispatcher = Dispatcher(
        upstreams,
        random.Random(),
        base.timers,
        CrashWatch(peers, base.hub),
        RequestRights(base.control),
    )
    billing = _make_billing(base, role, peers)
    exposure = _make_exposure(base, peers)
    cascades = _make_cascades(base, role, peers)
    quality = _make_quality(base, exposure, cascades)
    limits = LimitService(
        LimitTable(settings.vm, base.own.incarnation, time.monotonic()),
        base.control,
        peers,
        base.timers,
        base.hub,
    )
    entry = Entry(
        settings,
        role,
        base.control,
        upstreams,
        peers,
        dispatcher,
        base.hub,
        billing,
        keys,
        Trials(exposure, cascades, quality),
        limits,
        _make_deferrals(role),
        base.metrics,
    )
    work = [
        *_make_snapshot_services(base, role),
        *_make_rollout_driver(base, role, upstreams, exposure),
        exposure,
        cascades,
        *([quality] if quality else []),
    ]
    peer_state = PeerState(base.control, [peers, upstreams], upstreams)
    search = VersionSearch(
        base.control, upstreams, peers, base.hub, random.Random()
    )
    links = [watch, upstreams, peers, peer_state, search]
    return entry, [*links, billing, limits, membership, keys, *work, entry]


def _make_deferrals(role: EntrySettings) -> DeferralService:
    spec = SlotSpec(
        role.deferred_slots, role.deferred_tokens_per_s, FIRST_TOKEN_S
    )
    return DeferralService(DeferralQueue(spec, role.deferred_limit))


def _make_exposure(base: _Base, peers: LinkTable) -> ExposureService:
    return ExposureService(
        base.control,
        base.writer,
        peers,
        base.timers,
        base.hub,
        base.own,
        random.Random(),
        bool(base.settings.platform.rater_url),
    )


def _make_cascades(
    base: _Base, role: EntrySettings, peers: LinkTable
) -> CascadeService:
    return CascadeService(
        base.control,
        LearnedCounters(base.own.vm, base.own.incarnation),
        peers,
        base.timers,
        base.hub,
        random.Random(),
        role.learning_window_s,
    )


def _make_quality(
    base: _Base, exposure: ExposureService, cascades: CascadeService
) -> QualityService | None:
    url = base.settings.platform.rater_url
    if not url:
        return None
    return QualityService(HttpRater(base.session, url), exposure, cascades)


def _make_rollout_driver(
    base: _Base,
    role: EntrySettings,
    upstreams: UpstreamTable,
    evidence: Evidence,
) -> list[mode.Service]:
    lease = LeaseKeeper(
        ROLLOUT_LEASE, base.own, base.control, base.writer, role.lease_ttl_s
    )
    driver = RolloutDriver(
        base.control, lease, base.writer, upstreams, evidence
    )
    return [lease, driver]


def _make_billing(
    base: _Base, role: EntrySettings, peers: LinkTable
) -> BillingService:
    ledger = BillingLedger(
        base.settings.vm,
        base.settings.zone,
        base.own.incarnation,
        role.billing_buffer_bytes,
        role.billing_batch_bytes,
    )
    return BillingService(
        ledger,
        base.log,
        peers,
        base.timers,
        base.hub,
        role.billing_interval_s,
        random.Random(),
    )


def _make_snapshot_services(
    base: _Base, role: EntrySettings
) -> list[mode.Service]:
    keeper = LeaseKeeper(
        SNAPSHOT_LEASE, base.own, base.control, base.writer, role.lease_ttl_s
    )
    writer = SnapshotWriter(
        base.log,
        base.control,
        keeper,
        keys=base.settings.platform.log_keys,
    )
    return [keeper, writer]


def _make_membership(
    base: _Base, role: EntrySettings, peers: LinkTable
) -> Membership:
    settings = base.settings
    return Membership(
        base.control,
        base.log,
        peers,
        MemberJoined(
            settings.vm,
            settings.zone,
            base.own.incarnation,
            settings.bus.bind,
        ),
        role.member_silence_s,
    )


def _make_upstream(
    base: _Base, role: SidecarSettings
) -> HttpEngine | HttpPlainService:
    if not role.pool:
        return HttpEngine(base.session, role.upstream_url)
    return HttpPlainService(
        base.session, role.upstream_url, role.max_answer_bytes
    )


def _make_sidecar(
    base: _Base, role: SidecarSettings
) -> tuple[_Process, list[mode.Service]]:
    engine = _make_upstream(base, role)
    runs = RunTable(engine, base.hub, role, base.own.incarnation)
    if isinstance(engine, HttpEngine):
        OrderService(engine, FencingGate(base.control), base.hub)
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

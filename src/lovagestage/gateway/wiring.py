"""Composition root of a gateway: creates its components and connects them."""

from __future__ import annotations

import dataclasses
import functools
import random
import time
from collections.abc import Callable

import mode

from lovagestage.decisions.limit_sharing import RankedLimitPolicy
from lovagestage.decisions.positions import StoreEras
from lovagestage.decisions.upstream_notices import NoticeKind
from lovagestage.decisions.warmup import Warmup, ZoneWarmupPolicy
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.crash_detection import SuspectWatch
from lovagestage.gateway.crash_wiring import make_informer, make_suspect_watch
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.era_reports import EraReports
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.feed_wiring import (
    MIN_RELAY_BOUND_S,
    get_relay_bound_s,
    make_operator_feed,
    make_peer_messages_feed,
    make_upstream_feed,
)
from lovagestage.gateway.feeds import TopicFeed
from lovagestage.gateway.forwarder import Forwarder
from lovagestage.gateway.freshness import (
    ConfigurationFreshness,
)
from lovagestage.gateway.gossip import Gossip
from lovagestage.gateway.limit_exchange import LimitExchange
from lovagestage.gateway.overload import OverloadWatch
from lovagestage.gateway.peer_directory import (
    NoPeerDirectory,
    SocketPeerDirectory,
)
from lovagestage.gateway.peer_messages import (
    ActiveSessionsMessage,
    AnswerCountMessage,
    FailureMessage,
    HelloMessage,
    OutcomeMessage,
)
from lovagestage.gateway.peer_messenger import PeerMessenger
from lovagestage.gateway.peers import PeerAddress, PeerSocket, format_peer
from lovagestage.gateway.planned_stop import PlannedStop
from lovagestage.gateway.relay import (
    Relay,
)
from lovagestage.gateway.rollout_service import RolloutService
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.service import GatewayService
from lovagestage.gateway.session_pins import SessionPins
from lovagestage.gateway.settings import GatewaySettings
from lovagestage.gateway.share_exchange import NoLoans, ShareExchange
from lovagestage.gateway.startup_gate import StartupGate
from lovagestage.gateway.state_view import OperatorStateView
from lovagestage.gateway.store_recovery import StoreRecoverySignal
from lovagestage.gateway.upstream_guard import PeerDirectory, UpstreamGuard
from lovagestage.messages.crashes import CrashReport
from lovagestage.platform.store import (
    CallKind,
    CallOutcome,
    CallResult,
    StoreClient,
)
from lovagestage.timers import TimerService
from lovagestage.types import ServiceId


@dataclasses.dataclass(frozen=True)
class Components:
    """Components that a gateway process starts and calls.

    Attributes:
        deployment: Deployment state as this gateway knows it.
        pool: Pooled connections to upstreams.
        rollouts: Tracks the roll-outs.
        forwarder: Runs requests on upstreams.
        upstream_feed: Reads the upstreams' entries from the store.
        planned_stop: Says which requests are accepted during a stop.
        service: Handles callers' requests.
        timers: Calls subscribers periodically.
        overload: Says which new connections are served.
        services: Background services in the order in which they are started,
            including those among the components above.
    """

    deployment: Deployment
    pool: ConnectionPool
    rollouts: RolloutService
    forwarder: Forwarder
    upstream_feed: TopicFeed
    planned_stop: PlannedStop
    service: GatewayService
    timers: TimerService
    overload: OverloadWatch
    services: tuple[mode.Service, ...]


def make_components(
    settings: GatewaySettings, exposition: Exposition
) -> Components:
    """Creates all components without starting any."""
    rng = random.Random()
    bounds = settings.bounds
    eras = StoreEras()
    make_store = functools.partial(_make_store, settings, exposition, eras)
    socket = _make_peer_socket(settings, exposition)
    rotation = Rotation(settings.heartbeat_s)
    gossip = _make_gossip(settings, rotation, socket)
    guard = _make_guard(
        settings,
        rotation,
        lambda service: deployment.get_warmup(service),
        socket,
        gossip,
    )
    deployment = Deployment(
        ConfigurationFreshness(bounds.revoke_s, bounds.apply_s),
        SessionPins(bounds.session_s),
        guard,
        rotation,
    )
    deployment.regions = settings.regions
    rollouts = RolloutService(
        make_store(), deployment, settings.vm, bounds, rng
    )
    peer_messenger = PeerMessenger(
        make_store(),
        settings.vm,
        time.time_ns(),
        HelloMessage(settings.peer_address or "", settings.zone),
    )
    rollouts.set_peer_messenger(peer_messenger)
    suspects, crash_exchange = make_suspect_watch(
        peer_messenger, socket, exposition
    )
    if socket is not None and gossip is not None:
        era_reports = EraReports(
            socket,
            deployment,
            lambda: operator_feed.settled_era,
            lambda era: operator_feed.apply_settled_era(era),
        )
        informer = make_informer(
            suspects, crash_exchange, guard, era_reports.inform_newcomer
        )
        peer_messenger.subscribe(
            HelloMessage, _make_hello_handler(socket, gossip, informer)
        )
    relay = _make_relay(settings, socket, exposition)
    _subscribe_to_peer_messages(peer_messenger, rollouts, suspects)
    share_exchange = (
        None
        if socket is None
        else ShareExchange(socket, rotation, guard.shares)
    )
    pool = ConnectionPool()
    forwarder = Forwarder(
        settings,
        deployment,
        pool,
        rollouts,
        suspects,
        rng,
        lambda: None if socket is None else len(socket.peers) + 1,
        share_exchange or NoLoans(),
    )
    planned_stop = PlannedStop()
    startup_gate = StartupGate(lambda: operator_feed.is_receiving_first_answer)
    store_recovery = StoreRecoverySignal()
    operator_state = OperatorStateView(
        deployment,
        rollouts.on_order,
        _make_configuration_listener(socket, startup_gate),
    )
    operator_feed = make_operator_feed(
        make_store(), bounds, operator_state, rng, store_recovery, relay
    )
    upstream_feed = make_upstream_feed(
        make_store(), bounds, deployment, rng, store_recovery, relay
    )
    peer_messages_feed = make_peer_messages_feed(
        make_store(), peer_messenger, rng, store_recovery, relay
    )
    if relay is not None:
        for feed in (operator_feed, upstream_feed, peer_messages_feed):
            relay.add_source(feed)
    _add_gauges(exposition, deployment, socket, operator_feed)
    exposition.add_gauge(Series.STORE_ERA, lambda: eras.current)
    timers = TimerService()
    limit_exchange = (
        None if socket is None else LimitExchange(socket, rotation, guard)
    )
    peer_services = (
        socket,
        gossip,
        relay,
        limit_exchange,
        share_exchange,
        crash_exchange,
    )
    services = (
        timers,
        *(each for each in peer_services if each is not None),
        operator_feed,
        upstream_feed,
        peer_messages_feed,
        peer_messenger,
        rollouts,
    )
    return Components(
        deployment,
        pool,
        rollouts,
        forwarder,
        upstream_feed,
        planned_stop,
        GatewayService(
            deployment, forwarder, exposition, startup_gate, planned_stop
        ),
        timers,
        OverloadWatch(
            timers,
            exposition,
            rng,
            lambda: 0 if socket is None else len(socket.peers),
        ),
        services,
    )


def _make_configuration_listener(
    socket: PeerSocket | None, startup_gate: StartupGate
) -> Callable[[int, bytes], None]:
    def on_configuration(version: int, configuration: bytes) -> None:
        startup_gate.set_configured()
        if socket is not None:
            socket.add_configuration(version, configuration)

    return on_configuration


def _make_store(
    settings: GatewaySettings, exposition: Exposition, eras: StoreEras
) -> StoreClient:
    """Creates a store client for one component.

    Calls on one client wait for each other, so components do not share a
    client.
    """

    def record_call(call: CallResult) -> None:
        labels = f'call="{call.kind.value}"'
        outcome = f'{labels},outcome="{call.outcome.value}"'
        exposition.count(Series.STORE_CALLS, outcome)
        if call.received_bytes:
            exposition.count(Series.STORE_BYTES, outcome, call.received_bytes)
        is_long_poll = call.kind is CallKind.WAITING_READ
        if call.outcome is CallOutcome.ANSWERED and not is_long_poll:
            exposition.observe(Series.STORE_CALL_S, labels, call.duration_s)

    return StoreClient(settings.store_address, record_call, eras)


def _add_gauges(
    exposition: Exposition,
    deployment: Deployment,
    socket: PeerSocket | None,
    operator_feed: TopicFeed,
) -> None:
    exposition.add_gauge(
        Series.UPSTREAMS, lambda: len(deployment.rotation.get_all())
    )
    for series, kind in (
        (Series.LIMITED_UPSTREAMS, NoticeKind.REQUEST_LIMIT),
        (Series.LEAVING_UPSTREAMS, NoticeKind.LEAVING),
        (Series.RESTING_UPSTREAMS, NoticeKind.REST),
    ):
        exposition.add_gauge(
            series, functools.partial(_count_noticed, deployment, kind)
        )
    exposition.add_gauge(
        Series.EVACUATED_ZONES, lambda: len(deployment.evacuations)
    )
    exposition.add_gauge(
        Series.FRESHNESS_CHECK_AGE_S,
        lambda: deployment.freshness.get_age_s(get_elapsed_s()),
    )
    exposition.add_gauge(
        Series.CONFIGURATION_LAG_S,
        lambda: operator_feed.get_lag_s(get_elapsed_s()),
    )
    if socket is not None:
        exposition.add_gauge(Series.PEERS, lambda: len(socket.peers))


def _count_noticed(deployment: Deployment, kind: NoticeKind) -> int:
    now_s = get_elapsed_s()
    return sum(
        kind in upstream.notices.get_kinds(now_s)
        for upstream in deployment.rotation.get_all()
    )


def _subscribe_to_peer_messages(
    peer_messenger: PeerMessenger,
    rollouts: RolloutService,
    suspects: SuspectWatch,
) -> None:
    peer_messenger.subscribe(CrashReport, suspects.on_report)
    peer_messenger.subscribe(FailureMessage, rollouts.on_failure_message)
    peer_messenger.subscribe(AnswerCountMessage, rollouts.on_count_message)
    peer_messenger.subscribe(
        ActiveSessionsMessage, rollouts.on_sessions_message
    )
    peer_messenger.subscribe(OutcomeMessage, rollouts.on_outcome_message)


def _make_peer_socket(
    settings: GatewaySettings, exposition: Exposition
) -> PeerSocket | None:
    if settings.peer_address is None:
        return None
    return PeerSocket(settings.peer_address, exposition)


def _make_hello_handler(
    socket: PeerSocket,
    gossip: Gossip,
    inform: Callable[[PeerAddress], None],
) -> Callable[[HelloMessage], None]:
    def on_hello(message: HelloMessage) -> None:
        peer = socket.add_peer(message.peer_address)
        if peer is None:
            return
        if message.zone:
            gossip.record_zone(peer, message.zone)
        inform(peer)

    return on_hello


def _make_gossip(
    settings: GatewaySettings,
    rotation: Rotation,
    socket: PeerSocket | None,
) -> Gossip | None:
    if socket is None:
        return None
    return Gossip(settings.vm, settings.zone, socket, rotation)


def _make_guard(
    settings: GatewaySettings,
    rotation: Rotation,
    get_warmup: Callable[[ServiceId], Warmup | None],
    socket: PeerSocket | None,
    gossip: Gossip | None,
) -> UpstreamGuard:
    own_name = ""
    peers: PeerDirectory = NoPeerDirectory()
    if socket is not None and gossip is not None:
        own_name = format_peer(socket.own_address)
        peers = SocketPeerDirectory(socket, gossip)
    return UpstreamGuard(
        ZoneWarmupPolicy(),
        RankedLimitPolicy(),
        rotation,
        get_warmup,
        settings.zone,
        own_name,
        peers,
        get_elapsed_s(),
    )


def _make_relay(
    settings: GatewaySettings,
    socket: PeerSocket | None,
    exposition: Exposition,
) -> Relay | None:
    bound_s = get_relay_bound_s(settings.bounds)
    if socket is None or bound_s < MIN_RELAY_BOUND_S:
        return None
    return Relay(socket, bound_s, exposition)

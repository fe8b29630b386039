"""Composition root of a gateway: builds its parts and connects them."""

from __future__ import annotations

import dataclasses
import functools
import random
import time
from collections.abc import Callable

import mode

from lovagestage.decisions.warmup import ZoneDealers
from lovagestage.gateway.beliefs import OperatorBeliefs, UpstreamBeliefs
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.cold_start import ColdStart
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.feeds import TopicFeed, TopicReading
from lovagestage.gateway.forwarder import Forwarder
from lovagestage.gateway.gossip import Gossip
from lovagestage.gateway.mailbox import Mailbox
from lovagestage.gateway.notes import (
    TOPIC,
    CountNote,
    FailureNote,
    HelloNote,
    OutcomeNote,
    SessionsNote,
)
from lovagestage.gateway.peers import PeerSocket
from lovagestage.gateway.pins import SessionPins
from lovagestage.gateway.relay import (
    PERIOD_RATIO,
    SLACK_S,
    WATCH_RATIO,
    Relay,
)
from lovagestage.gateway.rollout_service import RolloutService
from lovagestage.gateway.service import GatewayService
from lovagestage.gateway.settings import Bounds, GatewaySettings
from lovagestage.gateway.store_return import StoreReturn
from lovagestage.gateway.suspects import SuspectWatch
from lovagestage.gateway.trust import MARGIN_S, Trust
from lovagestage.gateway.warmups import WarmupGuard
from lovagestage.messages.crashes import CrashReport
from lovagestage.platform.store import (
    OPERATOR_TOPIC,
    UPSTREAM_TOPIC,
    CallEnd,
    CallKind,
    CallOutcome,
    StoreClient,
)
from lovagestage.timers import TimerService

WAIT_RATIO = 0.7
"""The store holds a read for this part of the time in which what it waits for
must be in force. A change arrives at once; the store does not always wake a
read that waits, and then the next one finds the change in time."""
TRUST_WAIT_RATIO = 0.3
"""The same as part of the time for which keys may be relied on, where that is
shorter. A read that returns records proves nothing later than its sending, so
that the proof is two waits old when the store is lost at the end of the next
one, and callers must be served for a while from then on."""
OWED_RATIO = 0.6
"""Part of the time for which keys may be relied on that must be left when the
store is lost: callers with a key are owed service for so long after it."""
MIN_RELAY_BOUND_S = 0.5
"""Where less is left, followers would ask more than ten times a second: each
gateway reads the store for itself."""
OPERATOR_PAUSE_S = 0.2
"""Configurations come in storms of several a second; a tenth of the time in
which one must be in force."""
UPSTREAM_PAUSE_RATIO = 0.25
"""Pause as part of the time for which a leaving upstream still serves. A
release changes many within seconds, and each change would wake every gateway
that reads for itself."""
NOTES_WAIT_S = 10.0
"""Notes are rare; a read costs a call whenever it ends."""
NOTES_PAUSE_S = 1.0
"""Evidence comes from all gateways within moments; a verdict has seconds, and
the time in which going sessions are told is longer."""


@dataclasses.dataclass(frozen=True)
class Parts:
    """What a gateway's process runs and asks.

    Attributes:
        deployment: What the gateway believes.
        pool: Kept connections to upstreams.
        rollouts: Follows the roll-outs.
        forwarder: Runs requests.
        upstream_feed: Reads the upstreams' entries.
        service: Answers callers.
        timers: Calls subscribers.
        services: What is started, in order, with the above among them.
    """

    deployment: Deployment
    pool: ConnectionPool
    rollouts: RolloutService
    forwarder: Forwarder
    upstream_feed: TopicFeed
    service: GatewayService
    timers: TimerService
    services: tuple[mode.Service, ...]


def make_parts(settings: GatewaySettings, exposition: Exposition) -> Parts:
    """Builds all parts; nothing is started."""
    rng = random.Random()
    bounds = settings.bounds
    make_store = functools.partial(_make_store, settings, exposition)
    socket = _make_peer_socket(settings, exposition)
    guard = WarmupGuard(
        ZoneDealers(),
        settings.zone,
        None if socket is None else socket.own,
        lambda: () if gossip is None else gossip.get_zone_peers(),
        get_elapsed_s(),
    )
    deployment = Deployment(
        Trust(bounds.revoke_s, bounds.apply_s),
        SessionPins(bounds.session_s),
        guard,
    )
    deployment.regions = settings.regions
    gossip = _make_gossip(settings, deployment, socket)
    rollouts = RolloutService(
        make_store(), deployment, settings.vm, bounds, rng
    )
    mailbox = Mailbox(
        make_store(),
        settings.vm,
        time.time_ns(),
        HelloNote(settings.peer_address or "", settings.zone),
    )
    rollouts.set_mailbox(mailbox)
    suspects = SuspectWatch(mailbox.post)
    if socket is not None and gossip is not None:
        mailbox.subscribe(HelloNote, _make_greeter(socket, gossip))
    relay = _make_relay(settings, socket, exposition)
    _subscribe(mailbox, rollouts, suspects)
    pool = ConnectionPool()
    forwarder = Forwarder(
        settings,
        deployment,
        pool,
        rollouts,
        suspects,
        rng,
        lambda: None if socket is None else len(socket.peers) + 1,
    )
    cold_start = ColdStart(lambda: operator_feed.is_beginning)
    store_return = StoreReturn()
    operator_beliefs = OperatorBeliefs(
        deployment,
        rollouts.on_order,
        _make_configuration_listener(socket, cold_start),
    )
    operator_feed = _make_operator_feed(
        make_store(), bounds, operator_beliefs, rng, store_return, relay
    )
    upstream_feed = _make_upstream_feed(
        make_store(), bounds, deployment, rng, store_return, relay
    )
    notes_feed = _make_notes_feed(
        make_store(), mailbox, rng, store_return, relay
    )
    if relay is not None:
        for feed in (operator_feed, upstream_feed, notes_feed):
            relay.add_source(feed)
    _add_gauges(exposition, deployment, socket, operator_feed)
    timers = TimerService()
    peer_services = (socket, gossip, relay)
    services = (
        timers,
        *(each for each in peer_services if each is not None),
        operator_feed,
        upstream_feed,
        notes_feed,
        mailbox,
        rollouts,
    )
    return Parts(
        deployment,
        pool,
        rollouts,
        forwarder,
        upstream_feed,
        GatewayService(deployment, forwarder, exposition, cold_start),
        timers,
        services,
    )


def _make_configuration_listener(
    socket: PeerSocket | None, cold_start: ColdStart
) -> Callable[[int, bytes], None]:
    def note(version: int, configuration: bytes) -> None:
        cold_start.end()
        if socket is not None:
            socket.add_key(version, configuration)

    return note


def _make_store(
    settings: GatewaySettings, exposition: Exposition
) -> StoreClient:
    """A client of its own for each part: calls on one wait for each other."""

    def note(call: CallEnd) -> None:
        labels = f'call="{call.kind.value}"'
        outcome = f'{labels},outcome="{call.outcome.value}"'
        exposition.count(Series.STORE_CALLS, outcome)
        if call.received_bytes:
            exposition.count(Series.STORE_BYTES, outcome, call.received_bytes)
        has_waited = call.kind is CallKind.WAITING_READ
        if call.outcome is CallOutcome.ANSWERED and not has_waited:
            exposition.observe(Series.STORE_CALL_S, labels, call.time_s)

    return StoreClient(settings.store_address, note)


def _add_gauges(
    exposition: Exposition,
    deployment: Deployment,
    socket: PeerSocket | None,
    operator_feed: TopicFeed,
) -> None:
    exposition.add_gauge(
        Series.UPSTREAMS, lambda: len(deployment.rotation.get_all())
    )
    exposition.add_gauge(
        Series.EVACUATED_ZONES, lambda: len(deployment.evacuations)
    )
    exposition.add_gauge(
        Series.PROOF_AGE_S,
        lambda: deployment.trust.get_age_s(get_elapsed_s()),
    )
    exposition.add_gauge(
        Series.CONFIGURATION_LAG_S,
        lambda: operator_feed.get_lag_s(get_elapsed_s()),
    )
    if socket is not None:
        exposition.add_gauge(Series.PEERS, lambda: len(socket.peers))


def _subscribe(
    mailbox: Mailbox, rollouts: RolloutService, suspects: SuspectWatch
) -> None:
    mailbox.subscribe(CrashReport, suspects.on_report)
    mailbox.subscribe(FailureNote, rollouts.on_failure_note)
    mailbox.subscribe(CountNote, rollouts.on_count_note)
    mailbox.subscribe(SessionsNote, rollouts.on_sessions_note)
    mailbox.subscribe(OutcomeNote, rollouts.on_outcome_note)


def _make_peer_socket(
    settings: GatewaySettings, exposition: Exposition
) -> PeerSocket | None:
    if settings.peer_address is None:
        return None
    return PeerSocket(settings.peer_address, exposition)


def _make_greeter(
    socket: PeerSocket, gossip: Gossip
) -> Callable[[HelloNote], None]:
    def greet(note: HelloNote) -> None:
        peer = socket.add_peer(note.peer_address)
        if peer is not None and note.zone:
            gossip.note_zone(peer, note.zone)

    return greet


def _make_gossip(
    settings: GatewaySettings,
    deployment: Deployment,
    socket: PeerSocket | None,
) -> Gossip | None:
    if socket is None:
        return None
    return Gossip(settings.vm, settings.zone, socket, deployment.rotation)


def _make_relay(
    settings: GatewaySettings,
    socket: PeerSocket | None,
    exposition: Exposition,
) -> Relay | None:
    bound_s = get_relay_bound_s(settings.bounds)
    if socket is None or bound_s < MIN_RELAY_BOUND_S:
        return None
    return Relay(socket, bound_s, exposition)


def get_relay_bound_s(bounds: Bounds) -> float:
    """Time within which a change must be in force at followers.

    A proof that a watcher tells is older than one's own, and keys are relied
    on only as long as it is young: it must not be so old that callers are
    refused soon after the store is lost.
    """
    oldest_s = (1.0 - OWED_RATIO) * bounds.revoke_s - MARGIN_S - SLACK_S
    return min(
        bounds.apply_s,
        bounds.drain_s,
        bounds.evacuate_s,
        oldest_s / (WATCH_RATIO + PERIOD_RATIO),
    )


def get_operator_wait_s(bounds: Bounds) -> float:
    """Time for which the store holds a read of the operators' topic."""
    return min(
        WAIT_RATIO * min(bounds.apply_s, bounds.evacuate_s),
        TRUST_WAIT_RATIO * bounds.revoke_s,
    )


def _make_operator_feed(
    store: StoreClient,
    bounds: Bounds,
    beliefs: OperatorBeliefs,
    rng: random.Random,
    store_return: StoreReturn,
    relay: Relay | None,
) -> TopicFeed:
    return TopicFeed(
        store,
        TopicReading(
            OPERATOR_TOPIC, get_operator_wait_s(bounds), OPERATOR_PAUSE_S
        ),
        beliefs,
        rng,
        store_return,
        relay,
    )


def _make_upstream_feed(
    store: StoreClient,
    bounds: Bounds,
    deployment: Deployment,
    rng: random.Random,
    store_return: StoreReturn,
    relay: Relay | None,
) -> TopicFeed:
    beliefs = UpstreamBeliefs(deployment)
    feed = TopicFeed(
        store,
        TopicReading(
            UPSTREAM_TOPIC,
            WAIT_RATIO * bounds.drain_s,
            UPSTREAM_PAUSE_RATIO * bounds.drain_s,
            is_told=True,
        ),
        beliefs,
        rng,
        store_return,
        relay,
    )
    beliefs.set_source(feed)
    return feed


def _make_notes_feed(
    store: StoreClient,
    mailbox: Mailbox,
    rng: random.Random,
    store_return: StoreReturn,
    relay: Relay | None,
) -> TopicFeed:
    return TopicFeed(
        store,
        TopicReading(
            TOPIC,
            NOTES_WAIT_S,
            NOTES_PAUSE_S,
            is_keyed=False,
            watch_wait_s=NOTES_WAIT_S,
            is_told=True,
            is_timely=False,
        ),
        mailbox,
        rng,
        store_return,
        relay,
    )

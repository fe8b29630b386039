"""Creates the feeds that read the store's topics, for the composition root."""

from __future__ import annotations

import random

from lovagestage.decisions.positions import SETTLE_S
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.feeds import TopicFeed
from lovagestage.gateway.freshness import FRESHNESS_MARGIN_S
from lovagestage.gateway.peer_messages import PEER_MESSAGES_TOPIC
from lovagestage.gateway.peer_messenger import PeerMessenger
from lovagestage.gateway.relay import (
    CONFIRMATION_AGE_SLACK_S,
    HELD_READ_RATIO,
    QUERY_INTERVAL_RATIO,
    Relay,
)
from lovagestage.gateway.settings import Bounds
from lovagestage.gateway.state_view import OperatorStateView, UpstreamStateView
from lovagestage.gateway.store_recovery import StoreRecoverySignal
from lovagestage.gateway.topic_options import TopicReadOptions
from lovagestage.platform.store import (
    OPERATOR_TOPIC,
    UPSTREAM_TOPIC,
    StoreClient,
)

LONG_POLL_RATIO = 0.7
"""Time for which the store holds a long poll, as a share of the time in which a
change must be in force. A change normally ends the poll immediately. The store
does not always wake a waiting read, and then the next read still finds the
change in time."""
FRESHNESS_POLL_RATIO = 0.3
"""Time for which the store holds a read of the operators' topic, as a share of
the time for which keys may be relied on. It applies if it is shorter than the
time above. A read that returns records confirms the state only as of its
sending. The last confirmation is therefore two waits old if the store is lost
at the end of the next poll, and callers must still be served for a while after
that."""
OUTAGE_SERVICE_RATIO = 0.6
"""Share of the time for which keys may be relied on that must be left when the
store becomes unavailable. Requests with a key must be served for that long
afterwards."""
TRUST_DELAY_RATIO = 0.4
"""Time after the store has come back from a copy for which no read confirms the
configuration, as a share of the time for which keys may be relied on; it
applies where it is shorter than the operator may take to write again. The store
may lack a newer configuration until then. Callers are served meanwhile by the
confirmation before the outage."""
MIN_RELAY_BOUND_S = 0.5
"""Shortest relay bound in seconds. With a shorter one, followers would query
their watcher more than ten times a second, so each gateway reads the store
itself."""
OPERATOR_READ_PAUSE_S = 0.2
"""Pause in seconds after records of the operators' topic. Configurations come
in bursts of several a second, and the pause makes such records share a read. It
is a tenth of the time in which a configuration must be in force."""
UPSTREAM_READ_PAUSE_RATIO = 0.25
"""Pause after records of the upstreams' topic, as a share of the time for which
a draining upstream still serves. A release changes many upstreams within
seconds, and without the pause each change would wake every gateway that reads
the store itself."""
PEER_MESSAGES_POLL_S = 10.0
"""Time in seconds for which the store holds a read of the peer messages. Peer
messages are rare, and each read that ends costs a call."""
PEER_MESSAGES_READ_PAUSE_S = 1.0
"""Pause in seconds after records of the peer messages. All gateways report
evidence within moments and a verdict may take seconds. Gateways also have
longer than this to send their ongoing sessions to each other."""


def get_relay_bound_s(bounds: Bounds) -> float:
    """Returns the time in seconds in which followers must apply a change.

    A freshness confirmation that a watcher reports is older than one from a
    gateway's own read, and keys are relied on only as long as it is young. The
    bound keeps it from being so old that callers are refused soon after the
    store becomes unavailable.
    """
    max_age_s = (
        (1.0 - OUTAGE_SERVICE_RATIO) * bounds.revoke_s
        - FRESHNESS_MARGIN_S
        - CONFIRMATION_AGE_SLACK_S
    )
    return min(
        bounds.apply_s,
        bounds.drain_s,
        bounds.evacuate_s,
        max_age_s / (HELD_READ_RATIO + QUERY_INTERVAL_RATIO),
    )


def get_operator_poll_s(bounds: Bounds) -> float:
    """Returns the time in seconds for which the store holds operator reads.

    These are the reads of the operators' topic.
    """
    return min(
        LONG_POLL_RATIO * min(bounds.apply_s, bounds.evacuate_s),
        FRESHNESS_POLL_RATIO * bounds.revoke_s,
    )


def make_operator_feed(
    store: StoreClient,
    bounds: Bounds,
    state: OperatorStateView,
    rng: random.Random,
    store_recovery: StoreRecoverySignal,
    relay: Relay | None,
) -> TopicFeed:
    """Creates the feed of configurations, roll-outs and evacuations."""
    return TopicFeed(
        store,
        TopicReadOptions(
            OPERATOR_TOPIC,
            get_operator_poll_s(bounds),
            OPERATOR_READ_PAUSE_S,
            trust_delay_s=min(SETTLE_S, TRUST_DELAY_RATIO * bounds.revoke_s),
        ),
        state,
        rng,
        store_recovery,
        relay,
    )


def make_upstream_feed(
    store: StoreClient,
    bounds: Bounds,
    deployment: Deployment,
    rng: random.Random,
    store_recovery: StoreRecoverySignal,
    relay: Relay | None,
) -> TopicFeed:
    """Creates the feed of the upstreams' entries."""
    state = UpstreamStateView(deployment)
    feed = TopicFeed(
        store,
        TopicReadOptions(
            UPSTREAM_TOPIC,
            LONG_POLL_RATIO * bounds.drain_s,
            UPSTREAM_READ_PAUSE_RATIO * bounds.drain_s,
            is_relayed=True,
        ),
        state,
        rng,
        store_recovery,
        relay,
    )
    state.set_source(feed)
    return feed


def make_peer_messages_feed(
    store: StoreClient,
    peer_messenger: PeerMessenger,
    rng: random.Random,
    store_recovery: StoreRecoverySignal,
    relay: Relay | None,
) -> TopicFeed:
    """Creates the feed of messages between gateways."""
    return TopicFeed(
        store,
        TopicReadOptions(
            PEER_MESSAGES_TOPIC,
            PEER_MESSAGES_POLL_S,
            PEER_MESSAGES_READ_PAUSE_S,
            is_keyed=False,
            watch_wait_s=PEER_MESSAGES_POLL_S,
            is_relayed=True,
            requires_freshness=False,
        ),
        peer_messenger,
        rng,
        store_recovery,
        relay,
    )

"""Relays the state of the store's topics from a few gateways to the others.

A few gateways, the watchers, have long-polling reads open at the store. The
other gateways, the followers, query one of the watchers a few times a second by
datagram. The response states the end of each topic and the age of its freshness
confirmation, that is, how long ago the watcher confirmed with the store that
there were no further records. Followers read the store themselves if there are
new records, and also whenever no valid response arrives: a lost datagram or a
stopped watcher costs a call to the store and causes no further delay.

New records are sent along with the response, as the store's records with their
positions in the topic, so that a change does not cost the store a call from
each follower.

Freshness confirmations need no common clock. A follower dates the confirmation
by its own clock: to the time at which it sent its query, minus the age that the
watcher states. The response was made after the query was sent, so the actual
confirmation is at least as recent as that.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import logging
from collections.abc import Sequence
from typing import Protocol

import mode

from lovagestage.decisions.positions import advance
from lovagestage.exceptions import CodecError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.peers import PeerAddress, PeerSocket
from lovagestage.gateway.relay_messages import (
    Message,
    RelayedRecords,
    StateQuery,
    StateResponse,
    TopicState,
    UpdateNotification,
    decode_message,
    encode_message,
    split_records,
)
from lovagestage.gateway.watchers import WatcherList
from lovagestage.platform.records import Record
from lovagestage.types import Position

_log = logging.getLogger(__name__)

DATAGRAM_KIND = b"lvr1"
MIN_RELAY_GATEWAYS = 8
"""Minimum number of gateways for the relay; fewer gateways read the store
themselves. Two watchers read more often than the gateways would on their own,
which outweighs the reads that the followers save."""
HELD_READ_RATIO = 0.3
"""Time for which the store holds a watcher's read, as a fraction of the time
within which a change must be in force."""
QUERY_INTERVAL_RATIO = 0.2
"""Interval between a follower's queries, as a fraction of the time within which
a change must be in force. Together with the response timeout and the slack
below, at most half of that time plus half a second passes until a follower
reads the store itself, whatever happens to its watcher."""
RESPONSE_TIMEOUT_S = 0.25
"""Time limit in seconds for a response: over fifty times the time that a
response takes between zones."""
CONFIRMATION_AGE_SLACK_S = 0.25
"""Slack in seconds for the age of a watcher's freshness confirmation, beyond
the time for which its read is held: ten times the duration of a read where the
store is slow."""


class RelayMode(enum.Enum):
    """How a gateway keeps its view of the store up to date."""

    ALONE = "alone"
    """There are few gateways: this one reads the store for itself."""
    WATCHER = "watcher"
    """The gateway reads the store and responds to followers."""
    FOLLOWER = "follower"
    """The gateway queries a watcher."""


class QueryOutcome(enum.Enum):
    """Outcomes of queries to a watcher."""

    ANSWERED = "answered"
    STALE = "unsound"
    """The watcher has lost the store, and its last freshness confirmation is
    too old."""
    LOST = "lost"
    """No response arrived within the timeout."""


@dataclasses.dataclass(frozen=True)
class RelayedState:
    """A topic's state from a watcher, dated by the follower's own clock.

    Attributes:
        end: End of the topic as known to the watcher.
        confirmed_s: Time in seconds at which the topic had no further records.
        last_failure_s: Time in seconds at which the store last failed to
            answer the watcher; None for never.
        is_fresh: Whether the freshness confirmation is recent enough to rely
            on.
    """

    end: Position
    confirmed_s: float
    last_failure_s: float | None
    is_fresh: bool


class TopicSource(Protocol):
    """A feed whose state is sent to followers.

    Attributes:
        topic: The feed's topic.
        max_confirmation_age_s: Age in seconds up to which a watcher's
            freshness confirmation for the topic may be relied on.
    """

    topic: str
    max_confirmation_age_s: float

    def get_topic_state(self, now_s: float) -> TopicState | None:
        """Returns the topic's state; None before a freshness confirmation."""

    def get_known_end(self) -> Position | None:
        """Returns the end of the known records; None before the first read."""

    def get_recent_records(self, first: Position) -> Sequence[Record]:
        """Returns the records from a position on; empty if incomplete."""

    def apply_relayed_records(
        self, records: Sequence[Record], last_failure_s: float | None
    ) -> None:
        """Applies records with consecutive positions that a watcher has sent.

        Args:
            records: The records.
            last_failure_s: Time in seconds at which the store last failed to
                answer the watcher; None for never.
        """


@dataclasses.dataclass(frozen=True)
class _Round:
    """The result of one query: its number, and the states by topic."""

    number: int
    states: dict[str, RelayedState]


class Relay(mode.Service):
    """Queries a watcher, or responds to followers.

    Args:
        socket: Socket for the datagrams.
        bound_s: Shortest time in seconds within which a change must be in
            force.
        exposition: Metrics, for the counts of queries.

    Attributes:
        watch_wait_s: Time in seconds for which the store holds a watcher's
            read.
        watchers: The gateways that are watchers.
    """

    def __init__(
        self, socket: PeerSocket, bound_s: float, exposition: Exposition
    ) -> None:
        super().__init__()
        self._exposition = exposition
        self.watch_wait_s = HELD_READ_RATIO * bound_s
        self._query_interval_s = QUERY_INTERVAL_RATIO * bound_s
        self._socket = socket
        self.watchers = WatcherList(socket.own_address, socket.peers)
        self._sources: dict[str, TopicSource] = {}
        self._followers: dict[PeerAddress, float] = {}
        self._query_number = 0
        self._query_sent_s = 0.0
        self._pending_response: asyncio.Future[StateResponse] | None = None
        self._update_notified = asyncio.Event()
        self._last_round = _Round(0, {})
        self._round_ended = asyncio.Event()
        self._delivered_rounds: dict[str, int] = {}
        self._logged_mode = RelayMode.ALONE
        socket.register(DATAGRAM_KIND, self._dispatch)

    def add_source(self, source: TopicSource) -> None:
        """Adds a feed whose state other gateways may query."""
        self._sources[source.topic] = source

    def get_mode(self) -> RelayMode:
        """Returns how this gateway is to keep its view up to date now."""
        if 1 + len(self._socket.peers) < MIN_RELAY_GATEWAYS:
            return RelayMode.ALONE
        if self._socket.own_address in self.watchers.get_watchers(
            get_elapsed_s()
        ):
            return RelayMode.WATCHER
        return RelayMode.FOLLOWER

    def notify_followers(self) -> None:
        """Notifies the followers that a topic has new records.

        Gateways that have sent no query for two intervals no longer count as
        followers.
        """
        oldest_query_s = get_elapsed_s() - 2 * self._query_interval_s
        for peer, last_query_s in list(self._followers.items()):
            if last_query_s < oldest_query_s:
                del self._followers[peer]
            else:
                self._send(UpdateNotification(), peer)

    async def wait_for_state(self, topic: str) -> RelayedState | None:
        """Waits for the next state of a topic from a watcher.

        Each round of query and response yields one state of each topic.

        Args:
            topic: The topic.

        Returns:
            The state; None if no round has ended in time, or if the response
            was lost or did not include the topic.
        """
        timeout_s = 2 * self._query_interval_s + RESPONSE_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                while self._last_round.number == self._delivered_rounds.get(
                    topic, 0
                ):
                    self._round_ended.clear()
                    await self._round_ended.wait()
        except TimeoutError:
            return None
        self._delivered_rounds[topic] = self._last_round.number
        return self._last_round.states.get(topic)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            relay_mode = self.get_mode()
            self._log_mode_change(relay_mode)
            if relay_mode is RelayMode.FOLLOWER:
                await self._query_watcher()
            self._update_notified.clear()
            try:
                async with asyncio.timeout(self._query_interval_s):
                    await self._update_notified.wait()
            except TimeoutError:
                continue

    async def _query_watcher(self) -> None:
        self._query_number += 1
        self._query_sent_s = get_elapsed_s()
        watcher = self.watchers.choose_watcher(self._query_sent_s)
        self._pending_response = asyncio.get_running_loop().create_future()
        ends = (
            (source.topic, source.get_known_end())
            for source in self._sources.values()
        )
        known_ends = tuple(
            (topic, end) for topic, end in ends if end is not None
        )
        self._send(StateQuery(self._query_number, known_ends), watcher)
        states: dict[str, RelayedState] = {}
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await self._pending_response
            self._apply_response(watcher, response)
            states = self._convert_to_local_time(response)
        except TimeoutError:
            self._exclude_watcher(watcher, QueryOutcome.LOST)
        self._pending_response = None
        self._last_round = _Round(self._query_number, states)
        self._round_ended.set()

    def _dispatch(self, data: bytes, sender: PeerAddress) -> None:
        try:
            message = decode_message(data)
        except CodecError as error:
            _log.warning("relay_refused", extra={"error": error.message})
            return
        match message:
            case StateQuery():
                self._on_query(message, sender)
            case StateResponse():
                self._on_response(message)
            case UpdateNotification():
                self._update_notified.set()
            case RelayedRecords():
                self._on_records(message)

    def _on_query(self, query: StateQuery, sender: PeerAddress) -> None:
        now_s = get_elapsed_s()
        self._followers[sender] = now_s
        states = [
            state
            for source in self._sources.values()
            if (state := source.get_topic_state(now_s)) is not None
        ]
        ends = dict(query.ends)
        for state in states:
            first = ends.get(state.topic, state.end)
            if first < state.end:
                self._send_records(state, first, sender)
        self._send(StateResponse(query.number, tuple(states)), sender)

    def _send_records(
        self, state: TopicState, first: Position, peer: PeerAddress
    ) -> None:
        """Sends the records that a follower lacks.

        Nothing is sent if one of these records is no longer stored here, and
        only the first ones if they exceed the size limits.
        """
        records = self._sources[state.topic].get_recent_records(first)
        for part in split_records(records):
            relayed = RelayedRecords(
                state.topic,
                part[0].position,
                state.last_failure_age_ms,
                tuple((record.key, record.value) for record in part),
            )
            self._send(relayed, peer)

    def _on_records(self, message: RelayedRecords) -> None:
        source = self._sources.get(message.topic)
        if source is None:
            return
        last_failure_s = None
        if message.last_failure_age_ms is not None:
            last_failure_s = (
                get_elapsed_s() - message.last_failure_age_ms / 1000
            )
        records = [
            Record(advance(message.first, index), key, value)
            for index, (key, value) in enumerate(message.records)
        ]
        source.apply_relayed_records(records, last_failure_s)

    def _on_response(self, response: StateResponse) -> None:
        pending = self._pending_response
        # A response to an earlier query would be dated by the current query,
        # and its freshness confirmation would appear too recent.
        if (
            pending is None
            or pending.done()
            or response.number != self._query_number
        ):
            return
        pending.set_result(response)

    def _convert_to_local_time(
        self, response: StateResponse
    ) -> dict[str, RelayedState]:
        """Returns the states of a response, dated by this gateway's clock."""
        now_s = get_elapsed_s()
        return {
            state.topic: RelayedState(
                state.end,
                self._query_sent_s - state.confirmation_age_ms / 1000,
                None
                if state.last_failure_age_ms is None
                else now_s - state.last_failure_age_ms / 1000,
                self._is_fresh(state),
            )
            for state in response.states
        }

    def _is_fresh(self, state: TopicState) -> bool:
        source = self._sources.get(state.topic)
        if source is None:
            return False
        return state.confirmation_age_ms <= 1000 * source.max_confirmation_age_s

    def _send(self, message: Message, peer: PeerAddress) -> None:
        self._socket.send(DATAGRAM_KIND, encode_message(message), peer)

    def _log_mode_change(self, relay_mode: RelayMode) -> None:
        if relay_mode is self._logged_mode:
            return
        _log.info(
            "relay_mode_changed",
            extra={
                "mode": relay_mode.value,
                "previous": self._logged_mode.value,
                "gateways": 1 + len(self._socket.peers),
            },
        )
        self._logged_mode = relay_mode

    def _apply_response(
        self, watcher: PeerAddress, response: StateResponse
    ) -> None:
        """Applies a response; excludes a watcher that has lost the store."""
        if any(
            state.last_failure_age_ms is not None and not self._is_fresh(state)
            for state in response.states
        ):
            self._exclude_watcher(watcher, QueryOutcome.STALE)
            return
        self._count_query(QueryOutcome.ANSWERED)
        if self.watchers.record_valid_response(watcher):
            _log.info("watcher_regained", extra={"watcher": watcher[0]})

    def _exclude_watcher(
        self, watcher: PeerAddress, outcome: QueryOutcome
    ) -> None:
        self._count_query(outcome)
        has_lost_store = outcome is QueryOutcome.STALE
        if self.watchers.is_excluded(watcher, get_elapsed_s()):
            return
        pause_s = self.watchers.exclude_watcher(
            watcher, get_elapsed_s(), has_lost_store
        )
        _log.warning(
            "watcher_lost",
            extra={
                "watcher": watcher[0],
                "reason": outcome.value,
                "pause_s": pause_s,
            },
        )

    def _count_query(self, outcome: QueryOutcome) -> None:
        self._exposition.count(
            Series.RELAY_QUESTIONS, f'outcome="{outcome.value}"'
        )

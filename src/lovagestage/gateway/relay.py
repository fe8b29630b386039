"""Gateways that watch the store for others, so that not each one has to.

A few gateways, the watchers, hold reads of the store. The others, the
followers, ask one of them a few times a second, by datagram, how far each
topic goes and how old the proof of it is. They read the store themselves
where there is something new, and also whenever no sound answer comes: a lost
datagram or a dead watcher costs a call to the store and delays nothing
further.

What is new comes with the answer, as the store's records with their places
in the topic, so that a change costs the store no call of each follower.

A proof needs no common clock. It counts from the moment at which the
follower sent its question, less the age that the watcher states: the answer
was made after the question, so the proof is at least as young as that.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import logging
from collections.abc import Sequence
from typing import Protocol

import mode

from lovagestage.exceptions import CodecError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.peers import PeerAddress, PeerSocket
from lovagestage.gateway.relay_messages import (
    Answer,
    Message,
    News,
    Question,
    Records,
    TopicState,
    decode_message,
    encode_message,
    split_records,
)
from lovagestage.gateway.watchers import WatcherList
from lovagestage.platform.records import Record

_log = logging.getLogger(__name__)

KIND = b"lvr1"
MIN_GATEWAYS = 8
"""Fewer gateways read the store themselves: two watchers read more often than
they would, which outweighs what the others save."""
WATCH_RATIO = 0.3
"""The store holds a watcher's read for this part of the time in which a change
must be in force."""
PERIOD_RATIO = 0.2
"""A follower asks after this part of it. Together with the answer's time limit
and the slack below, half of that time and half a second pass at most until a
follower reads the store itself, whatever became of its watcher."""
ANSWER_S = 0.25
"""Time for an answer: over fifty times what it takes between zones."""
SLACK_S = 0.25
"""Age of a watcher's proof beyond the time of its read: what the read takes,
ten times over where the store is slow."""


class RelayMode(enum.Enum):
    """What a gateway does for its view of the store."""

    ALONE = "alone"
    """There are few gateways: it reads the store."""
    WATCHER = "watcher"
    """It reads the store and answers others."""
    FOLLOWER = "follower"
    """It asks a watcher."""


class QuestionOutcome(enum.Enum):
    """What became of a question to a watcher."""

    ANSWERED = "answered"
    UNSOUND = "unsound"
    """The watcher has been without the store for too long."""
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class RelayedState:
    """What a follower was told of a topic, by its own clock.

    Attributes:
        end: Offset that the topic has reached, as its watcher has heard.
        proved_s: When there was nothing beyond.
        lost_s: When the store last failed to answer; None for never.
        is_sound: Whether the proof is young enough to rely on.
    """

    end: int
    proved_s: float
    lost_s: float | None
    is_sound: bool


class TopicSource(Protocol):
    """A feed whose state is told to followers.

    Attributes:
        topic: Its topic.
        proof_limit_s: Age up to which a watcher's proof of it is sound.
    """

    topic: str
    proof_limit_s: float

    def get_state(self, now_s: float) -> TopicState | None:
        """What it knows from the store itself; None for nothing yet."""

    def get_end(self) -> int | None:
        """Offset up to which it knows the topic; None before it does."""

    def get_records(self, first: int) -> Sequence[Record]:
        """Newest records from an offset on; empty where it has not all."""

    def take_records(
        self, records: Sequence[Record], lost_s: float | None
    ) -> None:
        """Takes records that follow each other from a watcher."""


@dataclasses.dataclass(frozen=True)
class _Round:
    number: int
    states: dict[str, RelayedState]


class Relay(mode.Service):
    """Asks a watcher, or answers followers.

    Args:
        socket: Where datagrams go and come from.
        bound_s: Shortest time in which a change must be in force.
        exposition: Counts questions.

    Attributes:
        watch_wait_s: Time for which the store holds a watcher's read.
        watchers: Who watches.
    """

    def __init__(
        self, socket: PeerSocket, bound_s: float, exposition: Exposition
    ) -> None:
        super().__init__()
        self._exposition = exposition
        self.watch_wait_s = WATCH_RATIO * bound_s
        self._period_s = PERIOD_RATIO * bound_s
        self._socket = socket
        self.watchers = WatcherList(socket.own, socket.peers)
        self._sources: dict[str, TopicSource] = {}
        self._followers: dict[PeerAddress, float] = {}
        self._number = 0
        self._sent_s = 0.0
        self._answer: asyncio.Future[Answer] | None = None
        self._news = asyncio.Event()
        self._round = _Round(0, {})
        self._round_done = asyncio.Event()
        self._consumed: dict[str, int] = {}
        self._noted_mode = RelayMode.ALONE
        socket.register(KIND, self._take)

    def add_source(self, source: TopicSource) -> None:
        """Adds a feed whose state others may ask for."""
        self._sources[source.topic] = source

    def get_mode(self) -> RelayMode:
        """What this gateway is to do now."""
        if 1 + len(self._socket.peers) < MIN_GATEWAYS:
            return RelayMode.ALONE
        if self._socket.own in self.watchers.get(get_elapsed_s()):
            return RelayMode.WATCHER
        return RelayMode.FOLLOWER

    def tell_news(self) -> None:
        """Tells followers that a topic has grown."""
        limit_s = get_elapsed_s() - 2 * self._period_s
        for peer, asked_s in list(self._followers.items()):
            if asked_s < limit_s:
                del self._followers[peer]
            else:
                self._send(News(), peer)

    async def wait_state(self, topic: str) -> RelayedState | None:
        """The next state that a watcher tells; None where it tells none."""
        limit_s = 2 * self._period_s + ANSWER_S
        try:
            async with asyncio.timeout(limit_s):
                while self._round.number == self._consumed.get(topic, 0):
                    self._round_done.clear()
                    await self._round_done.wait()
        except TimeoutError:
            return None
        self._consumed[topic] = self._round.number
        return self._round.states.get(topic)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            mode_now = self.get_mode()
            self._note_mode(mode_now)
            if mode_now is RelayMode.FOLLOWER:
                await self._ask()
            self._news.clear()
            try:
                async with asyncio.timeout(self._period_s):
                    await self._news.wait()
            except TimeoutError:
                continue

    async def _ask(self) -> None:
        self._number += 1
        self._sent_s = get_elapsed_s()
        watcher = self.watchers.choose(self._sent_s)
        self._answer = asyncio.get_running_loop().create_future()
        ends = ((s.topic, s.get_end()) for s in self._sources.values())
        known = tuple((topic, end) for topic, end in ends if end is not None)
        self._send(Question(self._number, known), watcher)
        states: dict[str, RelayedState] = {}
        try:
            async with asyncio.timeout(ANSWER_S):
                answer = await self._answer
            self._note_answer(watcher, answer)
            states = self._date(answer)
        except TimeoutError:
            self._pass_over(watcher, QuestionOutcome.LOST)
        self._answer = None
        self._round = _Round(self._number, states)
        self._round_done.set()

    def _take(self, data: bytes, sender: PeerAddress) -> None:
        try:
            message = decode_message(data)
        except CodecError as error:
            _log.warning("relay_refused", extra={"error": error.message})
            return
        match message:
            case Question():
                self._on_question(message, sender)
            case Answer():
                self._on_answer(message)
            case News():
                self._news.set()
            case Records():
                self._on_records(message)

    def _on_question(self, question: Question, sender: PeerAddress) -> None:
        now_s = get_elapsed_s()
        self._followers[sender] = now_s
        states = [
            state
            for source in self._sources.values()
            if (state := source.get_state(now_s)) is not None
        ]
        ends = dict(question.ends)
        for state in states:
            first = ends.get(state.topic, state.end)
            if first < state.end:
                self._send_records(state, first, sender)
        self._send(Answer(question.number, tuple(states)), sender)

    def _send_records(
        self, state: TopicState, first: int, peer: PeerAddress
    ) -> None:
        """Sends what is new, unless it is too much or not all known."""
        records = self._sources[state.topic].get_records(first)
        for part in split_records(records):
            message = Records(
                state.topic,
                part[0].offset,
                state.lost_age_ms,
                tuple((record.key, record.value) for record in part),
            )
            self._send(message, peer)

    def _on_records(self, message: Records) -> None:
        source = self._sources.get(message.topic)
        if source is None:
            return
        lost_s = None
        if message.lost_age_ms is not None:
            lost_s = get_elapsed_s() - message.lost_age_ms / 1000
        records = [
            Record(message.first + number, key, value)
            for number, (key, value) in enumerate(message.records)
        ]
        source.take_records(records, lost_s)

    def _on_answer(self, answer: Answer) -> None:
        waiting = self._answer
        # An answer to an earlier question would be dated by this one.
        if waiting is None or waiting.done() or answer.number != self._number:
            return
        waiting.set_result(answer)

    def _date(self, answer: Answer) -> dict[str, RelayedState]:
        """The states of an answer, by this gateway's clock."""
        now_s = get_elapsed_s()
        return {
            state.topic: RelayedState(
                state.end,
                self._sent_s - state.proof_age_ms / 1000,
                None
                if state.lost_age_ms is None
                else now_s - state.lost_age_ms / 1000,
                self._is_sound(state),
            )
            for state in answer.states
        }

    def _is_sound(self, state: TopicState) -> bool:
        source = self._sources.get(state.topic)
        if source is None:
            return False
        return state.proof_age_ms <= 1000 * source.proof_limit_s

    def _send(self, message: Message, peer: PeerAddress) -> None:
        self._socket.send(KIND, encode_message(message), peer)

    def _note_mode(self, now: RelayMode) -> None:
        if now is self._noted_mode:
            return
        _log.info(
            "relay_mode_changed",
            extra={
                "mode": now.value,
                "previous": self._noted_mode.value,
                "gateways": 1 + len(self._socket.peers),
            },
        )
        self._noted_mode = now

    def _note_answer(self, watcher: PeerAddress, answer: Answer) -> None:
        """Takes an answer; a watcher without the store is passed over."""
        if any(
            state.lost_age_ms is not None and not self._is_sound(state)
            for state in answer.states
        ):
            self._pass_over(watcher, QuestionOutcome.UNSOUND)
            return
        self._count(QuestionOutcome.ANSWERED)
        if self.watchers.note_sound(watcher):
            _log.info("watcher_regained", extra={"watcher": watcher[0]})

    def _pass_over(
        self, watcher: PeerAddress, outcome: QuestionOutcome
    ) -> None:
        self._count(outcome)
        is_blind = outcome is QuestionOutcome.UNSOUND
        if self.watchers.is_passed_over(watcher, get_elapsed_s()):
            return
        pause_s = self.watchers.pass_over(watcher, get_elapsed_s(), is_blind)
        _log.warning(
            "watcher_lost",
            extra={
                "watcher": watcher[0],
                "reason": outcome.value,
                "pause_s": pause_s,
            },
        )

    def _count(self, outcome: QuestionOutcome) -> None:
        self._exposition.count(
            Series.RELAY_QUESTIONS, f'outcome="{outcome.value}"'
        )

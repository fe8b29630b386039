"""Follows topics of the metadata store."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import math
import random
from collections.abc import Sequence

import mode

from lovagestage.exceptions import (
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.feed_protocols import FeedListener, Watch
from lovagestage.gateway.lag import Lag
from lovagestage.gateway.relay import SLACK_S, RelayedState, RelayMode
from lovagestage.gateway.relay_messages import TopicState
from lovagestage.gateway.store_return import StoreReturn
from lovagestage.gateway.topic_log import TopicLog
from lovagestage.platform.records import Page, Record
from lovagestage.platform.store import StoreClient

_log = logging.getLogger(__name__)

SILENCE_S = 0.9
"""Time without a byte of an answer beyond the wait that was asked for: over
ten times what a slow store takes, and short enough for two tries within the
shortest bound on a configuration. The whole answer may take longer: a large
configuration over a narrow link does."""
BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 0.8
"""A store that refuses is asked again after this at the latest, so that what
changed meanwhile is in force within a second of its return."""
COLD_BACKOFF_LIMIT_S = 0.3
"""The same before the first answer: until then every caller is refused."""
IDLE_LIMIT_S = 2.0
"""A connection to the store that was idle for longer is closed before the next
call. Other connections that went silent show it by a call that times out."""
RETURN_GRACE_S = 0.1
"""Time for the answer to a call that is under way when another feed finds that
the store is back: a call sent before hangs until its time limit, as a rule."""


WATCHER_PAUSE_S = 0.15
"""Pause of a watcher after records: shorter than the slack that followers
leave its proof, and there are few of them."""
LOST_TO_ALL_S = 3.0
"""A follower asks a store that its watcher has lost as well only so often."""
TOLD_S = 0.05
"""Time for records that come after the answer that they belong to: several
times what a datagram takes between zones. Records that take longer to arrive
at a watcher are read by its followers themselves."""


@dataclasses.dataclass(frozen=True)
class TopicReading:
    """How a topic is read.

    Attributes:
        topic: The topic.
        wait_s: Time for which the store holds a read without a record.
        pause_s: Time after records until the next read, so that records that
            come in clumps share a read.
        is_keyed: Whether to begin with the newest record of each key.
        watch_wait_s: Time for which the store holds a watcher's read; None
            for what a bounded proof needs.
        is_told: Whether a watcher tells followers its records. Callers' keys
            are read from the store alone.
        is_timely: Whether a change must be in force within a bound, so that
            followers rely on young proofs only.
    """

    topic: str
    wait_s: float
    pause_s: float
    is_keyed: bool = True
    watch_wait_s: float | None = None
    is_told: bool = False
    is_timely: bool = True


class TopicFeed(mode.Service):
    """Reads a topic from its newest records on, for as long as it runs.

    Args:
        store: Client for this feed alone; calls on it are one at a time.
        reading: What is read, and how.
        listener: Takes what is read.
        rng: Source of randomness.
        store_return: Shared by the feeds of a process.
        watch: Spares reads where another gateway watches the topic; None
            where each reads for itself.

    Attributes:
        topic: The topic.
        proof_limit_s: Age up to which followers rely on a watcher's proof.
        is_synced: Whether the store has answered.
    """

    def __init__(
        self,
        store: StoreClient,
        reading: TopicReading,
        listener: FeedListener,
        rng: random.Random,
        store_return: StoreReturn,
        watch: Watch | None = None,
    ) -> None:
        super().__init__()
        self._store = store
        self._reading = reading
        self.topic = reading.topic
        self._watch_wait_s = _get_watch_wait_s(reading, watch)
        self.proof_limit_s = math.inf
        if reading.is_timely:
            self.proof_limit_s = self._watch_wait_s + SLACK_S
        self._was_watching = False
        self._had_news = False
        self._has_told_early = False
        self._told = asyncio.Event()
        self._listener = listener
        self._rng = rng
        self._store_return = store_return
        self._watch = watch
        self._is_back = store_return.make_event()
        self._topic_log = TopicLog(None if reading.is_keyed else 0)
        self._lag = Lag()
        self._failures = 0
        self._lost_s: float | None = None
        self._failed_s: float | None = None
        self._proved_s: float | None = None
        self._read_s = get_elapsed_s()
        self.is_synced = False

    @property
    def is_beginning(self) -> bool:
        """Whether its first answer is arriving."""
        return not self.is_synced and self._store.is_receiving

    def get_lost_age_s(self, now_s: float) -> float | None:
        """Time since the store last failed to answer; None for never."""
        return None if self._lost_s is None else now_s - self._lost_s

    def get_lag_s(self, now_s: float) -> float:
        """How long records have been known of that are not read yet."""
        return self._lag.get_age_s(now_s)

    def get_state(self, now_s: float) -> TopicState | None:
        """How far the topic reaches, as this gateway has heard itself."""
        end = self._topic_log.end
        if end is None or self._proved_s is None:
            return None
        lost_s = self.get_lost_age_s(now_s)
        # What is still being read exists: a follower must not take the proof
        # for one that there is nothing more.
        return TopicState(
            self.topic,
            max(end, self._lag.end),
            math.ceil(1000 * (now_s - self._proved_s)),
            None if lost_s is None else int(1000 * lost_s),
        )

    def get_end(self) -> int | None:
        """Offset up to which the topic is known; None before it is."""
        return self._topic_log.end

    def get_records(self, first: int) -> Sequence[Record]:
        """Newest records from an offset on; empty where one is missing."""
        return (
            self._topic_log.get_newest(first) if self._reading.is_told else ()
        )

    def take_records(
        self, records: Sequence[Record], lost_s: float | None
    ) -> None:
        """Takes records from a watcher.

        What is still missing when an answer has told how far the topic goes
        is read from the store.
        """
        if not self._reading.is_told:
            return
        self._note_lost(lost_s)
        if fresh := self._topic_log.add_told(records):
            self._hand_on(fresh)
            self._told.set()

    def _hand_on(self, records: tuple[Record, ...]) -> None:
        self._listener.on_records(Page(records, records[-1].offset + 1))
        self._note_known()

    def _note_end(self, end: int) -> None:
        """Notes how far the topic reaches, read or not."""
        now_s, known = get_elapsed_s(), self._topic_log.end
        self._lag.note_end(end, known, now_s)
        if self._lag.is_behind(known):
            self._listener.on_news(now_s)
        if (age_s := self._lag.take_report(now_s)) is not None:
            _log.warning(
                "topic_behind",
                extra={
                    "topic": self.topic,
                    "known": known,
                    "end": self._lag.end,
                    "age_s": round(age_s, 2),
                },
            )

    def _note_known(self) -> None:
        known = self._topic_log.end
        age_s = self._lag.note_known(known, get_elapsed_s())
        if age_s is not None:
            _log.info(
                "topic_caught_up",
                extra={
                    "topic": self.topic,
                    "known": known,
                    "age_s": round(age_s, 2),
                },
            )

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                has_records = await self._follow()
            except StoreHistoryLostError as error:
                self._on_history_lost(error)
                has_records = False
            except StoreError as error:
                await self._on_failure(error)
                continue
            if has_records:
                await asyncio.sleep(self._get_pause_s())
        self._store.close()

    def _get_pause_s(self) -> float:
        return WATCHER_PAUSE_S if self._was_watching else self._reading.pause_s

    async def _follow(self) -> bool:
        """Learns what is new; returns whether there were records."""
        mode = RelayMode.ALONE
        if self._watch is not None and self.is_synced:
            mode = self._watch.get_mode()
        self._was_watching = False
        if mode is RelayMode.FOLLOWER:
            assert self._watch is not None
            state = await self._watch.wait_state(self.topic)
            if state is not None and await self._rely_on(state):
                return False
            if state is not None and self._is_lost_to_all(state):
                return False
            return await self._read(0.0)
        self._was_watching = mode is RelayMode.WATCHER
        if self._was_watching:
            return await self._watch_topic()
        return await self._read(self._reading.wait_s)

    async def _watch_topic(self) -> bool:
        """Reads for the followers as well.

        A held read that returns records proves nothing later than its
        sending. The next one is not held: with two waits in a row the proof
        would be too old for followers, who would all read the store.
        """
        assert self._watch is not None
        self._has_told_early = False
        self._had_news = await self._read(
            0.0 if self._had_news else self._watch_wait_s
        )
        if self._had_news:
            self._watch.tell_news()
        return self._had_news

    async def _rely_on(self, state: RelayedState) -> bool:
        """Takes a watcher's proof, once all that it covers is known."""
        self._note_lost(state.lost_s)
        if state.is_sound:
            self._note_end(state.end)
        if state.is_sound and self._reading.is_told:
            await self._wait_told(state.end)
        end = self._topic_log.end
        if not state.is_sound or end is None or self._lag.is_behind(end):
            return False
        self._note_regained("watcher")
        self._listener.on_proof(state.proved_s)
        return True

    def _is_lost_to_all(self, state: RelayedState) -> bool:
        """Whether a watcher has lost the store, and this gateway lately too.

        The load that this answers: the store is down, and every gateway asks
        it for each topic every second or two. The watchers do, and tell of
        its return; this gateway asks now and then, as only some may be lost.
        """
        if state.is_sound or state.lost_s is None or self._failed_s is None:
            return False
        now_s = get_elapsed_s()
        return now_s - min(state.lost_s, self._failed_s) < LOST_TO_ALL_S

    async def _wait_told(self, end: int) -> None:
        """Waits for records that an answer has overtaken."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TOLD_S):
                while (self._topic_log.end or 0) < end:
                    self._told.clear()
                    await self._told.wait()

    def _note_lost(self, lost_s: float | None) -> None:
        """Takes that the store was away at a time, as a watcher saw it.

        What lapsed at the store meanwhile is no removal, also where this
        gateway asked it nothing.
        """
        if lost_s is not None:
            self._lost_s = max(lost_s, self._lost_s or lost_s)

    async def _read(self, wait_s: float) -> bool:
        """Reads the store.

        A connection that went silent while nothing was asked is not noticed
        before its next call has timed out, by when a change may be overdue:
        one that was idle is not used again.
        """
        if get_elapsed_s() - self._read_s > IDLE_LIMIT_S:
            self._store.close()
        has_records = await self._read_unless_back(wait_s)
        self._read_s = get_elapsed_s()
        self._on_success()
        return has_records

    async def _read_unless_back(self, wait_s: float) -> bool:
        """Reads; a call that hangs is given up once the store is back."""
        if not self._failures:
            return await self._read_once(wait_s)
        self._is_back.clear()
        read = asyncio.ensure_future(self._read_once(0.0))
        back = asyncio.ensure_future(self._is_back.wait())
        try:
            await asyncio.wait(
                (read, back), return_when=asyncio.FIRST_COMPLETED
            )
            if not read.done():
                await asyncio.wait((read,), timeout=RETURN_GRACE_S)
            if not (read.done() or self._store.is_receiving):
                raise StoreUnavailableError("Given up: the store is back.")
            return await read
        finally:
            back.cancel()
            read.cancel()
            # What is given up closes its connection before the next call.
            await asyncio.wait((read, back))

    async def _read_once(self, wait_s: float) -> bool:
        """Reads once; returns whether there were records.

        After a failure the proof is old and a change may have been missed: a
        read that waits would renew neither until its wait is over, and keys
        could not be relied on meanwhile. Such a read is sent without a wait.
        """
        sent_s = get_elapsed_s()
        known = self._topic_log.end
        if known is None:
            await self._read_newest(sent_s)
            return False
        page = await self._store.read(
            self.topic, known, wait_s, SILENCE_S, self._take_page
        )
        if page.end < max(known, self._lag.end):
            # The read shows the past: it proves nothing.
            _log.warning(
                "store_read_stale",
                extra={
                    "topic": self.topic,
                    "end": page.end,
                    "known": known,
                },
            )
            return True
        if known + len(page.records) >= page.end:
            # Nothing newer when the wait was over, or when it was sent.
            waited_s = 0.0 if page.records else wait_s
            self._prove(min(sent_s + waited_s, get_elapsed_s()))
        return bool(page.records)

    async def _read_newest(self, sent_s: float) -> None:
        page = await self._store.read_newest(self.topic, SILENCE_S)
        self._topic_log.restart(page.end)
        self._listener.on_newest(page)
        self._note_known()
        if not self._lag.is_behind(page.end):
            self._prove(sent_s)

    def _take_page(self, page: Page) -> None:
        """Takes a part of an answer while the rest arrives.

        Records that are whole count at once, also where the rest is lost.
        """
        if fresh := self._topic_log.add(page.records):
            self._hand_on(fresh)
        self._note_end(page.end)
        if self._was_watching and not self._has_told_early:
            self._tell_early()

    def _tell_early(self) -> None:
        """Tells followers of records that take long to arrive here.

        They read them from the store at the same time, instead of one
        transfer later.
        """
        assert self._watch is not None
        if self._lag.get_age_s(get_elapsed_s()) >= TOLD_S:
            self._has_told_early = True
            self._watch.tell_news()

    def _prove(self, at_s: float) -> None:
        self._proved_s = at_s
        self._listener.on_proof(at_s)

    def _on_history_lost(self, error: StoreHistoryLostError) -> None:
        _log.warning(
            "store_history_lost",
            extra={"topic": self.topic, "reason": error.message},
        )
        self._topic_log.restart(None if self._reading.is_keyed else error.first)

    async def _on_failure(self, error: StoreError) -> None:
        self._store.close()
        self._lost_s = self._failed_s = get_elapsed_s()
        self._failures += 1
        if _is_power_of_two(self._failures):
            _log.warning(
                "store_lost",
                extra={
                    "topic": self.topic,
                    "reason": error.message,
                    "failures": self._failures,
                    "received_bytes": error.transfer.received_bytes,
                    "expected_bytes": error.transfer.expected_bytes,
                },
            )
        limit_s = BACKOFF_LIMIT_S if self.is_synced else COLD_BACKOFF_LIMIT_S
        delay_s = min(limit_s, BACKOFF_BASE_S * 2.0 ** (self._failures - 1))
        with contextlib.suppress(TimeoutError):
            delay_s *= 0.5 + 0.5 * self._rng.random()
            async with asyncio.timeout(delay_s):
                await self._is_back.wait()

    def _on_success(self) -> None:
        if self._failures:
            self._store_return.tell()
            if self._watch is not None:
                # Followers that wait for the store ask at once.
                self._watch.tell_news()
        self._note_regained("store")
        self.is_synced = True

    def _note_regained(self, source: str) -> None:
        if self._failures:
            _log.info(
                "store_regained",
                extra={
                    "topic": self.topic,
                    "failures": self._failures,
                    "source": source,
                },
            )
        self._failures = 0
        self._failed_s = None


def _get_watch_wait_s(reading: TopicReading, watch: Watch | None) -> float:
    if reading.watch_wait_s is not None:
        return reading.watch_wait_s
    return reading.wait_s if watch is None else watch.watch_wait_s


def _is_power_of_two(number: int) -> bool:
    """Thins out lines of what happens over and over."""
    return number & (number - 1) == 0

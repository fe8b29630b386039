"""Feeds, which follow the topics of the metadata store."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
from collections.abc import Sequence

import mode

from lovagestage.decisions.positions import (
    FIRST_ERA,
    START,
    EraSettling,
    advance,
    format_position,
    get_era,
    make_position,
)
from lovagestage.exceptions import (
    StoreEraChangedError,
    StoreError,
    StoreHistoryLostError,
)
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.feed_outage import FeedOutage
from lovagestage.gateway.feed_protocols import FeedListener, RelayClient
from lovagestage.gateway.lag_report import LagReport
from lovagestage.gateway.relay import (
    CONFIRMATION_AGE_SLACK_S,
    RelayedState,
    RelayMode,
)
from lovagestage.gateway.relay_messages import TopicState
from lovagestage.gateway.store_recovery import StoreRecoverySignal
from lovagestage.gateway.topic_log import TopicLog
from lovagestage.gateway.topic_options import TopicReadOptions
from lovagestage.platform.records import Page, Record
from lovagestage.platform.store import StoreClient
from lovagestage.types import Era, Position

_log = logging.getLogger(__name__)

INACTIVITY_TIMEOUT_S = 0.9
"""Inactivity timeout of a read in seconds: the time without a received byte,
beyond the wait that the read asked for, after which the read is aborted. It is
over ten times the response time of a slow store, and short enough for two
attempts within the shortest time limit for applying a configuration. The
complete answer may take longer: a large configuration over a slow link does."""
IDLE_LIMIT_S = 2.0
"""Idle time in seconds after which a connection to the store is closed before
the next call. A broken connection that was used more recently is detected by a
call that times out."""
WATCHER_PAUSE_S = 0.15
"""Pause of a watcher in seconds after a read that returned records. It is
shorter than the slack that followers allow for the age of the watcher's
freshness confirmation; the additional reads cost the store little, as there
are few watchers."""
RELAYED_RECORDS_TIMEOUT_S = 0.05
"""Time limit in seconds for records that arrive after the response that they
belong to: several times the transit time of a datagram between zones. Records
that take longer than this to arrive at a watcher are read from the store by its
followers themselves."""


class TopicFeed(mode.Service):
    """Reads a topic, from its newest records on, until the feed is stopped.

    A read that finds nothing beyond the known end of the topic confirms that
    the records known here were current at that time: a freshness confirmation.

    Args:
        store: Client for this feed only, since it makes one call at a time.
        options: The topic and how it is read.
        listener: Receives the records and the freshness confirmations.
        rng: Source of random numbers for the backoff.
        store_recovery: Signal shared by the feeds of a process.
        relay: Provides the topic's state from a gateway that watches it, which
            replaces most reads of the store; None where each gateway reads the
            store itself.

    Attributes:
        topic: The topic.
        max_confirmation_age_s: Age in seconds up to which followers rely on a
            watcher's freshness confirmation.
        is_synced: Whether the store has answered.
    """

    def __init__(
        self,
        store: StoreClient,
        options: TopicReadOptions,
        listener: FeedListener,
        rng: random.Random,
        store_recovery: StoreRecoverySignal,
        relay: RelayClient | None = None,
    ) -> None:
        super().__init__()
        self._store = store
        self._options = options
        self.topic = options.topic
        self._watch_wait_s = _get_watch_wait_s(options, relay)
        self.max_confirmation_age_s = math.inf
        if options.requires_freshness:
            self.max_confirmation_age_s = (
                self._watch_wait_s + CONFIRMATION_AGE_SLACK_S
            )
        self._was_watching = False
        self._had_records = False
        self._has_notified_early = False
        self._relayed_records_added = asyncio.Event()
        self._listener = listener
        self._store_recovery = store_recovery
        self._relay = relay
        self._outage = FeedOutage(options.topic, rng, store_recovery)
        self._topic_log = TopicLog(None if options.is_keyed else START)
        self._lag = LagReport(options.topic)
        self._settling = EraSettling(options.trust_delay_s)
        self._era: Era | None = None
        # Confirmation that was not trusted as the era may have just begun.
        self._unproved_confirmation_s: float | None = None
        self._is_era_unproved = False
        self._confirmed_s: float | None = None
        self._last_read_s = get_elapsed_s()
        self.is_synced = False

    @property
    def is_receiving_first_answer(self) -> bool:
        """Whether the store's first answer to this feed is arriving."""
        return not self.is_synced and self._store.is_receiving

    def get_last_failure_age_s(self, now_s: float) -> float | None:
        """Returns the time in seconds since the store last failed to answer.

        Args:
            now_s: Elapsed time.

        Returns:
            The time; None if the store has never failed.
        """
        failed_s = self._outage.last_failure_s
        return None if failed_s is None else now_s - failed_s

    def get_lag_s(self, now_s: float) -> float:
        """Returns how long the feed has been behind the topic, in seconds.

        That is the time for which records have been known to exist that are
        not read yet; 0 where there are none.
        """
        return self._lag.get_age_s(now_s)

    @property
    def settled_era(self) -> Era | None:
        """The era of the store; None while it may have just begun."""
        return None if self._settling.is_settling else self._era

    def apply_settled_era(self, era: Era) -> None:
        """Trusts the reads since this process's start, if they are of an era.

        Args:
            era: Era of which another gateway knows that it began long ago.
        """
        if not self._is_era_unproved or era != self._era:
            return
        self._is_era_unproved = False
        self._settling.release()
        _log.info("store_era_proved", extra={"topic": self.topic, "era": era})
        if self._unproved_confirmation_s is not None:
            self._confirm_freshness(self._unproved_confirmation_s)

    def get_topic_state(self, now_s: float) -> TopicState | None:
        """Returns the topic's state as this gateway has read it from the store.

        Args:
            now_s: Elapsed time.

        Returns:
            The state; None before the first freshness confirmation.
        """
        end = self._topic_log.end
        if end is None or self._confirmed_s is None:
            return None
        failure_age_s = self.get_last_failure_age_s(now_s)
        # Includes records that this gateway is still reading: a follower must
        # not take the confirmation to mean that they don't exist.
        return TopicState(
            self.topic,
            max(end, self._lag.end),
            math.ceil(1000 * (now_s - self._confirmed_s)),
            None if failure_age_s is None else int(1000 * failure_age_s),
        )

    def get_known_end(self) -> Position | None:
        """Returns the end of the known records; None before the first read."""
        return self._topic_log.end

    def get_recent_records(self, first: Position) -> Sequence[Record]:
        """Returns the recent records from a position on.

        Args:
            first: The position.

        Returns:
            The records; empty where one of them is no longer stored here, and
            for topics whose records are not sent to followers.
        """
        return (
            self._topic_log.get_recent(first)
            if self._options.is_relayed
            else ()
        )

    def apply_relayed_records(
        self, records: Sequence[Record], last_failure_s: float | None
    ) -> None:
        """Applies records that a watcher has sent.

        Records that are still missing once a response has stated the end of
        the topic are read from the store.

        Args:
            records: Records with consecutive positions.
            last_failure_s: Elapsed time at which the store last failed to
                answer the watcher; None for never.
        """
        if not self._options.is_relayed:
            return
        self._record_store_failure(last_failure_s)
        if new_records := self._topic_log.add_relayed(records):
            self._deliver_records(new_records)
            self._relayed_records_added.set()

    def _deliver_records(self, records: tuple[Record, ...]) -> None:
        end = advance(records[-1].position, 1)
        self._listener.on_records(Page(records, end))
        self._lag.record_known_end(self._topic_log.end)

    def _record_end(self, end: Position) -> None:
        """Records the end of the topic, whether or not it is read so far.

        Notifies the listener that there are records beyond the known ones.
        """
        known_end = self._topic_log.end
        self._lag.record_end(end, known_end)
        if self._lag.is_behind(known_end):
            self._listener.on_update_available(get_elapsed_s())

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                has_records = await self._update()
            except StoreEraChangedError as error:
                self._on_era_changed(error)
                has_records = False
            except StoreHistoryLostError as error:
                self._on_history_lost(error)
                has_records = False
            except StoreError as error:
                self._store.close()
                await self._outage.wait_after_failure(error, self.is_synced)
                continue
            if has_records:
                await asyncio.sleep(self._get_pause_s())
        self._store.close()

    def _get_pause_s(self) -> float:
        return WATCHER_PAUSE_S if self._was_watching else self._options.pause_s

    async def _update(self) -> bool:
        """Gets new records, or a confirmation that there are none.

        The source is the store or, for a follower, a watcher; a follower reads
        the store where the watcher's state is not sufficient.

        Returns:
            Whether a read of the store returned records.
        """
        relay_mode = RelayMode.ALONE
        if self._relay is not None and self.is_synced:
            relay_mode = self._relay.get_mode()
        self._was_watching = False
        if self._settling.get_left_s(get_elapsed_s()) == 0.0:
            return await self._read(0.0)
        if relay_mode is RelayMode.FOLLOWER:
            assert self._relay is not None
            state = await self._relay.wait_for_state(self.topic)
            if state is not None and await self._apply_watcher_state(state):
                return False
            if (
                state is not None
                and not state.is_fresh
                and self._outage.is_shared(
                    state.last_failure_s, get_elapsed_s()
                )
            ):
                return False
            return await self._read(0.0)
        self._was_watching = relay_mode is RelayMode.WATCHER
        if self._was_watching:
            return await self._watch_topic()
        return await self._read(self._options.wait_s)

    async def _watch_topic(self) -> bool:
        """Reads the store as a watcher, on behalf of the followers too.

        A held read that returns records confirms freshness only for the time
        at which it was sent. The read after it is therefore not held: after
        two waits in a row the confirmation would be too old for the
        followers, and all of them would read the store.
        """
        assert self._relay is not None
        self._has_notified_early = False
        self._had_records = await self._read(
            0.0 if self._had_records else self._watch_wait_s
        )
        if self._had_records:
            self._relay.notify_followers()
        return self._had_records

    async def _apply_watcher_state(self, state: RelayedState) -> bool:
        """Applies a watcher's state of the topic.

        The watcher's freshness confirmation is accepted once all records that
        it covers are known here.

        Returns:
            Whether the confirmation was accepted.
        """
        self._record_store_failure(state.last_failure_s)
        known_end = self._topic_log.end
        if known_end is None or get_era(state.end) != get_era(known_end):
            # One of the two has not heard yet that the store came back; the
            # store itself tells which.
            return False
        if state.is_fresh:
            self._record_end(state.end)
        if state.is_fresh and self._options.is_relayed:
            await self._wait_for_relayed_records(state.end)
        end = self._topic_log.end
        if not state.is_fresh or end is None or self._lag.is_behind(end):
            return False
        self._outage.record_recovery("watcher")
        if self._settling.is_trusted(state.confirmed_s):
            self._listener.on_freshness_confirmed(state.confirmed_s)
        return True

    async def _wait_for_relayed_records(self, end: Position) -> None:
        """Waits for records whose datagrams arrive after the response."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELAYED_RECORDS_TIMEOUT_S):
                while (self._topic_log.end or START) < end:
                    self._relayed_records_added.clear()
                    await self._relayed_records_added.wait()

    def _record_store_failure(self, last_failure_s: float | None) -> None:
        """Records an outage of the store that a watcher has reported.

        Entries that expired in the store during the outage must not count as
        removed, even if this gateway made no call to the store in that time.

        Args:
            last_failure_s: Elapsed time at which the store last failed to
                answer the watcher; None for never.
        """
        if last_failure_s is not None:
            self._outage.record_failure_elsewhere(last_failure_s)

    async def _read(self, wait_s: float) -> bool:
        """Reads the store and returns whether there were records.

        A connection that broke while it was idle is detected only when the
        next call on it times out, and by then a change may be overdue. A
        connection that was idle for long is therefore not used again.
        """
        if get_elapsed_s() - self._last_read_s > IDLE_LIMIT_S:
            self._store.close()
        has_records = await self._outage.run_read(
            self._read_once, wait_s, self._store
        )
        self._last_read_s = get_elapsed_s()
        self._on_success()
        return has_records

    async def _read_once(self, wait_s: float) -> bool:
        """Reads once and returns whether there were records.

        After a failure the last freshness confirmation is old and a change
        may have been missed. A read that the store holds would renew the
        confirmation only after its wait, and callers' keys could not be
        accepted until then. The read after a failure is sent without a wait.
        """
        sent_s = get_elapsed_s()
        known_end = self._topic_log.end
        settling_s = self._settling.get_left_s(sent_s)
        if known_end is None or settling_s == 0.0:
            await self._read_newest(sent_s)
            return False
        if settling_s is not None:
            wait_s = min(wait_s, settling_s)
        page = await self._store.read(
            self.topic,
            known_end,
            wait_s,
            INACTIVITY_TIMEOUT_S,
            self._apply_partial_page,
        )
        self._era = get_era(page.end)
        if page.end < max(known_end, self._lag.end):
            # The answer comes from an outdated copy of the topic: it confirms
            # nothing about the present.
            _log.warning(
                "store_read_stale",
                extra={
                    "topic": self.topic,
                    "end": format_position(page.end),
                    "known": format_position(known_end),
                },
            )
            return True
        if advance(known_end, len(page.records)) >= page.end:
            # Nothing newer existed at the end of the wait or, for a read that
            # returned records, when the read was sent.
            waited_s = 0.0 if page.records else wait_s
            self._confirm_freshness(min(sent_s + waited_s, get_elapsed_s()))
        return bool(page.records)

    async def _read_newest(self, sent_s: float) -> None:
        page = await self._store.read_newest(self.topic, INACTIVITY_TIMEOUT_S)
        era = get_era(page.end)
        if self._era not in (None, era):
            # The store had dropped the history before it came back, so no read
            # from a position has told the new era.
            self._start_era(era, None)
        if self._era is None:
            self._doubt_first_era(era, sent_s)
        self._era = era
        self._topic_log.restart(page.end)
        if self._settling.get_left_s(sent_s) == 0.0:
            self._settling.finish()
            self._is_era_unproved = False
        if self._settling.is_settling:
            self._listener.on_copy(page)
        else:
            self._listener.on_newest(page)
        self.is_synced = True
        self._lag.record_known_end(self._topic_log.end)
        if not self._lag.is_behind(page.end):
            self._confirm_freshness(sent_s)

    def _apply_partial_page(self, page: Page) -> None:
        """Applies the part of an answer that has arrived so far.

        Complete records are valid immediately, even if the rest of the answer
        is lost.
        """
        if new_records := self._topic_log.add(page.records):
            self._deliver_records(new_records)
        self._record_end(page.end)
        if self._was_watching and not self._has_notified_early:
            self._notify_early()

    def _notify_early(self) -> None:
        """Notifies followers of records that take long to arrive here.

        The followers then read these records from the store at the same time
        as this gateway, and not only after its transfer has ended.
        """
        assert self._relay is not None
        if self._lag.get_age_s(get_elapsed_s()) >= RELAYED_RECORDS_TIMEOUT_S:
            self._has_notified_early = True
            self._relay.notify_followers()

    def _confirm_freshness(self, at_s: float) -> None:
        if not self._settling.is_trusted(at_s):
            self._unproved_confirmation_s = at_s
            return
        self._confirmed_s = at_s
        self._listener.on_freshness_confirmed(at_s)

    def _on_history_lost(self, error: StoreHistoryLostError) -> None:
        _log.warning(
            "store_history_lost",
            extra={"topic": self.topic, "reason": error.message},
        )
        self._topic_log.restart(None if self._options.is_keyed else error.first)

    def _on_era_changed(self, error: StoreEraChangedError) -> None:
        """Forgets where the topic stands, but nothing that was read of it.

        A topic without keys is read again from its beginning, as nothing tells
        where the copy ends.
        """
        known_end = self._topic_log.end
        self._start_era(error.era, known_end)
        self._topic_log.restart(
            None if self._options.is_keyed else make_position(error.era, 0)
        )
        if not self._options.is_keyed:
            self._settling.finish()

    def _doubt_first_era(self, era: Era, now_s: float) -> None:
        """Takes the first era that this process reads for one just begun.

        The store may have come back from a copy a moment ago, without a
        configuration that revokes a key. A process that has run meanwhile
        knows better; one that has just started trusts no read until the
        configuration has had time to be written again, or until another
        gateway says that the era began before.
        """
        if era == FIRST_ERA or not self._options.trust_delay_s:
            return
        self._is_era_unproved = True
        self._settling.start(now_s)
        _log.info("store_era_unproved", extra={"topic": self.topic, "era": era})

    def _start_era(self, era: Era, known_end: Position | None) -> None:
        """Starts an era in which others stand at the offsets of lost records.

        The newest record of each key is read at once. What these lack or
        contradict stays in force until it has had time to be written again.
        """
        _log.warning(
            "store_era_changed",
            extra={
                "topic": self.topic,
                "era": era,
                "previous": self._era,
                "known": format_position(known_end),
            },
        )
        self._era = era
        self._is_era_unproved = False
        now_s = get_elapsed_s()
        self._outage.record_failure_elsewhere(now_s)
        self._store_recovery.notify_era_changed()
        self._settling.start(now_s)
        self._listener.on_era_changed()

    def _on_success(self) -> None:
        if self._outage.is_lost:
            self._store_recovery.notify_feeds()
            if self._relay is not None:
                # Followers that wait for the store query this watcher
                # immediately.
                self._relay.notify_followers()
        self._outage.record_recovery("store")
        self.is_synced = True


def _get_watch_wait_s(
    options: TopicReadOptions, relay: RelayClient | None
) -> float:
    if options.watch_wait_s is not None:
        return options.watch_wait_s
    return options.wait_s if relay is None else relay.watch_wait_s

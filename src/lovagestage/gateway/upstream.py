"""One process of an upstream, by its entry and this gateway's own calls."""

from __future__ import annotations

import dataclasses
import enum
import logging

import xxhash

from lovagestage.decisions.positions import format_position, get_era
from lovagestage.decisions.send_rates import SendLog
from lovagestage.decisions.upstream_notices import (
    AnswerNotices,
    NoticeChange,
    NoticeKind,
    UpstreamNotices,
)
from lovagestage.decisions.warmup import WarmupTracker
from lovagestage.gateway.performance import Performance
from lovagestage.types import (
    InstanceId,
    Position,
    ServiceId,
    VersionId,
    ZoneId,
)

_log = logging.getLogger(__name__)

MAX_PAST_PROCESSES = 8
"""Maximum number of replaced processes of an upstream id that are remembered. A
write is carried out seconds late at most, and a process takes as long to
start."""
MAX_PREFIXES = 4096
"""Maximum number of prompt prefixes that are tracked after a restart: several
times as many as an engine's cache holds. Once as many have been sent, the
cache is full of them."""


@dataclasses.dataclass(frozen=True)
class UpstreamEntry:
    """An upstream's entry in the store, written by the upstream itself.

    Attributes:
        service: Service that the upstream serves.
        address: Address as `IP:PORT`.
        zone: The upstream's availability zone.
        version: Version of the upstream's software.
        slots: Number of requests that the upstream works on concurrently.
        is_draining: Whether the upstream will soon take no new requests.
        start_ms: Unix time of the process's start in milliseconds; None where
            the entry has none. Another value under the same id belongs to
            another process.
        warmup_left_s: Time in seconds for which the upstream still warms up,
            as the entry reports it.
        sequence: Number of the entry, which grows with each one that the
            process writes.
    """

    service: ServiceId
    address: str
    zone: ZoneId
    version: VersionId
    slots: int
    is_draining: bool
    start_ms: int | None = None
    warmup_left_s: float = 0.0
    sequence: int = 0


@dataclasses.dataclass(frozen=True)
class Rival:
    """A process that has written under the id of one that is known.

    Attributes:
        start_ms: Unix time of its start in milliseconds.
        position: Position of its first entry since the known process's last.
        seen_s: Elapsed time in seconds at which that entry was read.
    """

    start_ms: int | None
    position: Position
    seen_s: float


class UpstreamState(enum.Enum):
    """Whether an upstream takes requests."""

    READY = "ready"
    DRAINING = "draining"
    EXPIRED = "lapsed"
    """The upstream's entry expired while the store was unavailable; the
    upstream may write it again."""
    GONE = "gone"


class Upstream:
    """One process of an upstream.

    Attributes:
        id: Id of the upstream.
        entry: The newest entry.
        position: Position of the newest entry, or of its removal, in the store.
        state: Whether the upstream takes requests.
        was_removed: Whether the store has removed the entry although the
            upstream could have renewed it.
        has_left: Whether any entry or answer of this process said that it is
            leaving. Such a process gets no more requests, whatever its later
            entries say.
        changed_s: Elapsed time in seconds of the last change of the state.
        performance: Load, health and speed as this gateway observes them.
        warmup: Whether the upstream may be warming up.
        sends: Requests that this gateway sent to the process recently.
        notices: What the process has said of itself in its answers.
        past: Processes that others with the same id have replaced, by their
            start times, and whether they had said that they leave.
        rival: Another process that has written since this one's last entry;
            None without one.
    """

    def __init__(
        self,
        name: InstanceId,
        entry: UpstreamEntry,
        position: Position,
        now_s: float,
    ) -> None:
        self.id = name
        self.entry = entry
        self.position = position
        self.state = UpstreamState.READY
        self.was_removed = False
        self.has_left = False
        self.changed_s = now_s
        self.performance = Performance()
        self.warmup = WarmupTracker()
        self.sends = SendLog()
        self.notices = UpstreamNotices()
        self.past: dict[int | None, bool] = {}
        self.rival: Rival | None = None
        self._name = name.encode()
        self._sent_prefixes: set[str] | None = None

    @property
    def incarnation(self) -> str:
        """Name of this process, distinct from others under the same id."""
        return f"{self.id}/{self.entry.start_ms}"

    def may_precede(self, entry: UpstreamEntry) -> bool:
        """Returns whether an entry may be of a process that ran before."""
        own_ms, other_ms = self.entry.start_ms, entry.start_ms
        if own_ms is None or other_ms is None or own_ms == other_ms:
            return False
        return other_ms < own_ms or other_ms in self.past

    def outdates(self, entry: UpstreamEntry, position: Position) -> bool:
        """Returns whether an entry was written before this was removed.

        A store that has come back from an earlier copy lists such entries, and
        the upstream is gone all the same. One that runs has written another.
        """
        return (
            self.was_removed
            and get_era(position) > get_era(self.position)
            and entry.start_ms == self.entry.start_ms
            and entry.sequence <= self.entry.sequence
        )

    def get_process_hash(self) -> int:
        """Returns a short name of this process, the same at all gateways."""
        return int(xxhash.xxh32_intdigest(self.incarnation.encode()))

    def get_rank(self, seed: int) -> int:
        """Returns the upstream's hash rank; the same at all gateways."""
        return int(xxhash.xxh3_64_intdigest(self._name, seed))

    def make_successor(
        self, entry: UpstreamEntry, position: Position, now_s: float
    ) -> Upstream:
        """Makes the process that has started under the same id.

        The new process shares no state with the old one, so nothing that was
        observed of the old process applies to it: running requests, failures,
        speed, pooled connections, cached prompt prefixes.

        Args:
            entry: The new process's entry.
            position: Position of that entry in the store.
            now_s: Elapsed time in seconds.
        """
        successor = Upstream(self.id, entry, position, now_s)
        past = {**self.past, self.entry.start_ms: self.has_left}
        # One that has said that it leaves goes on leaving.
        successor.has_left = past.pop(entry.start_ms, False)
        successor.past = dict(list(past.items())[-MAX_PAST_PROCESSES:])
        successor._sent_prefixes = set()
        return successor

    def record_sent_prefix(self, prefix: str) -> None:
        """Records that a prompt with this shared prefix is sent."""
        if self._sent_prefixes is None:
            return
        self._sent_prefixes.add(prefix)
        if len(self._sent_prefixes) >= MAX_PREFIXES:
            self._sent_prefixes = None

    def has_likely_cached(self, prefix: str) -> bool:
        """Returns whether a prefix that is hashed here is most likely cached.

        Other gateways send prompts with such prefixes to the same upstream as
        well, so the answer is False only where the upstream is known to have
        started with an empty cache.
        """
        return self._sent_prefixes is None or prefix in self._sent_prefixes

    def record_warmup(self, left_s: float, now_s: float) -> None:
        """Records for how long the upstream still warms up.

        The start of a warm-up is logged.

        Args:
            left_s: Remaining warm-up time in seconds.
            now_s: Elapsed time in seconds.
        """
        if self.warmup.record_time_left(left_s, now_s):
            _log.info(
                "upstream_cold",
                extra={
                    "upstream": self.id,
                    "service": self.entry.service,
                    "zone": self.entry.zone,
                    "left_s": round(left_s, 2),
                },
            )

    def record_answer_notices(
        self, notices: AnswerNotices, sent_s: float, now_s: float
    ) -> list[NoticeChange]:
        """Records what an answer of the upstream says of it; logs changes.

        Args:
            notices: Statements of the answer.
            sent_s: Elapsed time in seconds at which the request was sent.
            now_s: Elapsed time in seconds.

        Returns:
            What has changed, and statements that could not be used.
        """
        changes = self.notices.record_answer(notices, sent_s, now_s)
        for change in changes:
            self._log_notice(change)
        return changes

    def record_peer_limit(self, per_s: float | None, heard_s: float) -> None:
        """Records a request limit that another gateway has read; logs changes.

        Args:
            per_s: The limit; None where the upstream no longer states one.
            heard_s: Elapsed time in seconds at which that gateway read it.
        """
        previous = self.notices.limit_per_s
        if self.notices.record_peer_limit(per_s, heard_s):
            value = self.notices.limit_per_s
            self._log_notice(
                NoticeChange(NoticeKind.REQUEST_LIMIT, value, previous)
            )

    def _log_notice(self, change: NoticeChange) -> None:
        if change.malformed is not None:
            _log.warning(
                "upstream_notice_malformed",
                extra={
                    "upstream": self.id,
                    "service": self.entry.service,
                    "notice": change.kind.value,
                    "text": change.malformed,
                },
            )
            return
        _log.info(
            "upstream_notice_changed",
            extra={
                "upstream": self.id,
                "service": self.entry.service,
                "notice": change.kind.value,
                "value": change.value,
                "previous": change.previous,
            },
        )

    def set_state(self, state: UpstreamState, now_s: float) -> None:
        """Changes the state and logs the change."""
        if state is self.state:
            return
        _log.info(
            "upstream_state_changed",
            extra={
                "upstream": self.id,
                "service": self.entry.service,
                "from": self.state.value,
                "to": state.value,
                "position": format_position(self.position),
            },
        )
        self.state = state
        self.changed_s = now_s

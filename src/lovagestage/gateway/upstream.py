"""One process of an upstream, as its entry and own calls show it."""

from __future__ import annotations

import dataclasses
import enum
import logging

import xxhash

from lovagestage.decisions.warmup import WarmupLog
from lovagestage.gateway.performance import Performance
from lovagestage.types import InstanceId, ServiceId, VersionId, ZoneId

_log = logging.getLogger(__name__)

MAX_PAST_STARTS = 8
"""Replaced processes of an id whose late writes are told apart. A write is
carried out seconds late at most, and a process takes as long to start."""
MAX_SUBJECTS = 4096
"""Subjects that are told apart after a restart: several times as many as an
engine's memory holds. Once as many were sent, it is full of them."""


@dataclasses.dataclass(frozen=True)
class UpstreamEntry:
    """What an upstream says of itself.

    Attributes:
        service: Service that it serves.
        address: `IP:PORT`.
        zone: Its availability zone.
        version: Version of its software.
        slots: Requests that it works on at once.
        is_draining: It takes no new requests soon.
        born_ms: Unix time of its start; None where it does not tell. Another
            one under the same id is another process.
        warmup_left_s: Time for which it stays cold, as it was told.
    """

    service: ServiceId
    address: str
    zone: ZoneId
    version: VersionId
    slots: int
    is_draining: bool
    born_ms: int | None = None
    warmup_left_s: float = 0.0


class UpstreamState(enum.Enum):
    """Whether an upstream takes requests."""

    READY = "ready"
    DRAINING = "draining"
    LAPSED = "lapsed"
    """Its entry ended while the store was away; it may come back."""
    GONE = "gone"


class Upstream:
    """One process of an upstream.

    Attributes:
        id: Its id.
        entry: What it last said of itself.
        offset: Offset of that entry in the store.
        state: Whether it takes requests.
        has_left: Whether it ever said that it leaves. An incarnation that did
            takes nothing any more, whatever is written of it later.
        changed_s: Elapsed time at the last change of the state.
        performance: What this gateway saw of it.
        warmup: How cold it may be, and what was sent to it lately.
        past_born_ms: Starts of the processes that had its id before.
    """

    def __init__(
        self, name: InstanceId, entry: UpstreamEntry, offset: int, now_s: float
    ) -> None:
        self.id = name
        self.entry = entry
        self.offset = offset
        self.state = UpstreamState.READY
        self.has_left = False
        self.changed_s = now_s
        self.performance = Performance()
        self.warmup = WarmupLog()
        self.past_born_ms: tuple[int | None, ...] = ()
        self._name = name.encode()
        self._sent_subjects: set[str] | None = None

    @property
    def incarnation(self) -> str:
        """Names this process, apart from others under the same id."""
        return f"{self.id}/{self.entry.born_ms}"

    def get_rank(self, seed: int) -> int:
        """Its rank among others by a hash, the same at all gateways."""
        return int(xxhash.xxh3_64_intdigest(self._name, seed))

    def make_successor(
        self, entry: UpstreamEntry, offset: int, now_s: float
    ) -> Upstream:
        """The process that started under the same id.

        It knows nothing of before, and nothing that was seen of this one is
        true of it: requests that run, failures, speed, kept connections,
        prompts that it has read.
        """
        successor = Upstream(self.id, entry, offset, now_s)
        past = (*self.past_born_ms, self.entry.born_ms)
        successor.past_born_ms = past[-MAX_PAST_STARTS:]
        successor._sent_subjects = set()
        return successor

    def note_sent_prompt(self, subject: str) -> None:
        """Notes that it reads a prompt of a subject."""
        if self._sent_subjects is None:
            return
        self._sent_subjects.add(subject)
        if len(self._sent_subjects) >= MAX_SUBJECTS:
            self._sent_subjects = None

    def has_likely_read(self, subject: str) -> bool:
        """Whether it has most likely read a subject that is hashed to it.

        Other gateways send it those as well, so the answer is no only where
        it is known to have started with an empty memory.
        """
        return self._sent_subjects is None or subject in self._sent_subjects

    def note_cold(self, left_s: float, now_s: float) -> None:
        """Takes that it stays cold for so long; logs it where it is news."""
        if self.warmup.note_left(left_s, now_s):
            _log.info(
                "upstream_cold",
                extra={
                    "upstream": self.id,
                    "service": self.entry.service,
                    "zone": self.entry.zone,
                    "left_s": round(left_s, 2),
                },
            )

    def set_state(self, state: UpstreamState, now_s: float) -> None:
        """Changes the state and logs it."""
        if state is self.state:
            return
        _log.info(
            "upstream_state_changed",
            extra={
                "upstream": self.id,
                "service": self.entry.service,
                "from": self.state.value,
                "to": state.value,
                "offset": self.offset,
            },
        )
        self.state = state
        self.changed_s = now_s

"""Keeps what is known of parts of prompts: strikes, answers, accusations.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Set,
)

from lovagestage.decisions.crash_records import (
    CONVICTION_RETENTION_S,
    STRIKES_TO_PROBE,
    SUSPECT_RETENTION_S,
    Suspect,
)
from lovagestage.decisions.part_verdicts import (
    Accusation,
    Conviction,
    Strikes,
    find_convictions,
)
from lovagestage.types import Fingerprint, PartId

CLEARANCE_RETENTION_S = 120.0
"""Seconds after the last whole answer on a part for which it takes no strikes.
What crashes upstreams from a new release on is seen after that time."""
MAX_CLEARED = 10_000
"""Maximum number of cleared parts; the least recently answered are dropped."""
MAX_SUSPECT_PARTS = 5_000
"""Maximum number of parts with strikes in the table of one entry."""
MAX_ACCUSATIONS = 64
"""Maximum number of accusations; the oldest are dropped."""
MAX_REPORTED_PARTS = 48
"""Maximum number of parts in a report, those with the most strikes, so that it
fits into a packet."""
MAX_CHANGES = 256
"""Maximum number of changes that are kept until they are taken."""


class PartVerdict(enum.Enum):
    """What has become known of a part."""

    STRUCK = "struck"
    CLEARED = "cleared"
    ACCUSED = "accused"
    CONVICTED = "convicted"


@dataclasses.dataclass(frozen=True)
class PartChange:
    """Change of what is known of parts.

    Attributes:
        verdict: What has become known.
        parts: The parts; for a conviction a request is refused that holds all.
        crashes: Number of upstreams that crashed with them in flight.
    """

    verdict: PartVerdict
    parts: tuple[PartId, ...]
    crashes: int


class PartBlame:
    """Strikes, accusations and convictions of parts, and cleared parts.

    All of it is bounded.

    Args:
        get_upstreams: Returns the upstream processes that crashed with a
            request in flight.
    """

    def __init__(
        self, get_upstreams: Callable[[Fingerprint], Collection[str]]
    ) -> None:
        self._strikes = Strikes(self._get_requests, get_upstreams)
        self._suspects: dict[PartId, Suspect] = {}
        self._cleared: dict[PartId, float] = {}
        self._accusations: dict[tuple[str, Fingerprint], Accusation] = {}
        self._accused_until_s: dict[tuple[str, Fingerprint], float] = {}
        self._convictions: tuple[Conviction, ...] = ()
        self._is_stale = False
        self._changes: list[PartChange] = []

    def __len__(self) -> int:
        return len(self._suspects)

    def take_changes(self) -> list[PartChange]:
        """Returns what has changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def get_convictions(self, now_s: float) -> tuple[Conviction, ...]:
        """Returns the convictions in force."""
        if any(until_s <= now_s for until_s in self._accused_until_s.values()):
            self._expire_accusations(now_s)
        if self._is_stale:
            self._is_stale = False
            self._set_convictions(
                find_convictions(self._accusations.values(), self._strikes)
            )
        return self._convictions

    def get_explained(
        self, bearer: Suspect, held: frozenset[PartId] = frozenset()
    ) -> set[str]:
        """Returns the strikes of a request or part that convictions explain.

        Convicted parts explain the crashes of who was at theirs only, and less
        often.

        Args:
            bearer: What is known of the request or part.
            held: Parts that the request holds itself; what is convicted of them
                explains nothing.
        """
        strikes = bearer.strikes.keys()
        if any(
            strikes < conviction.crashes and not conviction.parts <= held
            for conviction in self._convictions
        ):
            return set(strikes)
        return set()

    def filter_uncleared(
        self, parts: Iterable[PartId], now_s: float
    ) -> tuple[PartId, ...]:
        """Returns the parts that no whole answer has cleared lately."""
        limit_s = now_s - CLEARANCE_RETENTION_S
        cleared = self._cleared
        return tuple(
            part for part in parts if cleared.get(part, limit_s) <= limit_s
        )

    def get_suspects(
        self, parts: Iterable[PartId], now_s: float
    ) -> Iterator[tuple[PartId, Suspect]]:
        """Yields those of the parts that have strikes, checks or a probe."""
        for part in parts if self._suspects else ():
            suspect = self._suspects.get(part)
            if suspect is None:
                continue
            if suspect.expires_s <= now_s:
                del self._suspects[part]
                continue
            yield part, suspect

    def get_or_add(self, part: PartId, now_s: float) -> Suspect:
        """Returns what is known of a part, from now on if it was nothing."""
        for _, suspect in self.get_suspects((part,), now_s):
            return suspect
        if len(self._suspects) >= MAX_SUSPECT_PARTS:
            self._drop_some()
        suspect = Suspect(expires_s=now_s + SUSPECT_RETENTION_S)
        self._suspects[part] = suspect
        return suspect

    def _is_accused(self, part: PartId) -> bool:
        """Returns whether a part is accused, alone or among others."""
        return any(part in a.parts for a in self._accusations.values())

    def get_told(
        self, parts: Iterable[PartId], now_s: float
    ) -> tuple[PartId, ...]:
        """Returns those parts of whose answer the other entries are told.

        Of a part with one strike they are not: nobody holds it back.
        """
        return tuple(
            part
            for part, suspect in self.get_suspects(parts, now_s)
            if len(suspect.strikes) >= STRIKES_TO_PROBE
            or self._is_accused(part)
        )

    def choose_reported(
        self, parts: Iterable[PartId], now_s: float
    ) -> tuple[PartId, ...]:
        """Returns the parts that a report of a crash names.

        They are the uncleared ones; of many, those with the most strikes.
        """
        uncleared = self.filter_uncleared(parts, now_s)
        if len(uncleared) <= MAX_REPORTED_PARTS:
            return uncleared
        suspects = self.get_suspects(uncleared, now_s)
        strikes = {part: len(suspect.strikes) for part, suspect in suspects}
        ranked = sorted(uncleared, key=lambda part: -strikes.get(part, 0))
        return tuple(ranked[:MAX_REPORTED_PARTS])

    def add_strike(
        self,
        parts: Iterable[PartId],
        request: Fingerprint,
        upstream: str,
        is_probe: bool,
        now_s: float,
    ) -> None:
        """Records that an upstream crashed while it ran a request.

        Args:
            parts: Parts of the request that its entry had not cleared; those
                that this one has cleared take no strike.
            request: Fingerprint of the request.
            upstream: Name of the upstream process.
            is_probe: Whether the request ran as a probe.
            now_s: Monotonic time in seconds.
        """
        uncleared = self.filter_uncleared(parts, now_s)
        is_news = (upstream, request) not in self._accusations
        if is_probe:
            self._accuse(Accusation(upstream, request, frozenset(uncleared)))
        for part in uncleared:
            suspect = self.get_or_add(part, now_s)
            if upstream not in suspect.strikes:
                self._note(
                    PartVerdict.STRUCK, (part,), len(suspect.strikes) + 1
                )
            is_news |= request not in suspect.strikes.get(upstream, ())
            suspect.add_strike(upstream, request)
            suspect.expires_s = max(
                suspect.expires_s, now_s + SUSPECT_RETENTION_S
            )
        if is_probe:
            self._retain(upstream, request, uncleared, now_s)
        self._is_stale |= is_news and bool(self._accusations)

    def clear(self, parts: Iterable[PartId], now_s: float) -> None:
        """Records a whole answer on the parts: none of them is to blame."""
        cleared = self._cleared
        for part in parts:
            cleared.pop(part, None)
            cleared[part] = now_s
            suspect = self._suspects.pop(part, None)
            if suspect is not None and suspect.strikes:
                self._note(PartVerdict.CLEARED, (part,), len(suspect.strikes))
                self._remove_from_accusations(part)
        while len(cleared) > MAX_CLEARED:
            del cleared[next(iter(cleared))]

    def _get_requests(self, part: PartId) -> Mapping[str, Set[Fingerprint]]:
        suspect = self._suspects.get(part)
        return {} if suspect is None else suspect.strikes

    def _accuse(self, accusation: Accusation) -> None:
        key = accusation.upstream, accusation.request
        if key in self._accusations:
            # Entries that have cleared more parts name fewer of them.
            known = self._accusations[key].parts
            accusation = dataclasses.replace(
                accusation, parts=known & accusation.parts
            )
        else:
            if accusation.parts:
                parts = tuple(sorted(accusation.parts))
                self._note(PartVerdict.ACCUSED, parts, 1)
        self._accusations[key] = accusation

    def _retain(
        self,
        upstream: str,
        request: Fingerprint,
        parts: Iterable[PartId],
        now_s: float,
    ) -> None:
        until_s = now_s + CONVICTION_RETENTION_S
        self._accused_until_s[upstream, request] = until_s
        for part in parts:
            self._suspects[part].expires_s = until_s
        while len(self._accusations) > MAX_ACCUSATIONS:
            oldest = next(iter(self._accusations))
            del self._accusations[oldest], self._accused_until_s[oldest]

    def _expire_accusations(self, now_s: float) -> None:
        for key, until_s in list(self._accused_until_s.items()):
            if until_s <= now_s:
                del self._accusations[key], self._accused_until_s[key]
        self._is_stale = True

    def _remove_from_accusations(self, part: PartId) -> None:
        for key, accusation in self._accusations.items():
            if part in accusation.parts:
                self._accusations[key] = dataclasses.replace(
                    accusation, parts=accusation.parts - {part}
                )
                self._is_stale = True

    def _set_convictions(self, convictions: tuple[Conviction, ...]) -> None:
        known = {conviction.parts for conviction in self._convictions}
        for conviction in convictions:
            if conviction.parts not in known:
                self._note(
                    PartVerdict.CONVICTED,
                    tuple(sorted(conviction.parts)),
                    len(conviction.crashes),
                )
        self._convictions = convictions

    def _drop_some(self) -> None:
        """Drops a tenth of the suspects, those that are not accused first."""
        accused = {p for a in self._accusations.values() for p in a.parts}
        ranked = sorted(
            self._suspects,
            key=lambda part: (part in accused, self._suspects[part].expires_s),
        )
        for part in ranked[: MAX_SUSPECT_PARTS // 10]:
            del self._suspects[part]

    def _note(
        self, verdict: PartVerdict, parts: tuple[PartId, ...], crashes: int
    ) -> None:
        if len(self._changes) < MAX_CHANGES:
            self._changes.append(PartChange(verdict, parts, crashes))

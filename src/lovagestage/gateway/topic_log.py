"""How far a topic of the store is known, and its newest records.

Records come from the store and from watchers, the same ones from both at
times, and datagrams overtake each other. Each record counts once, in order.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

from lovagestage.platform.records import Record

MAX_KEPT = 256
"""Newest records that are kept for followers: a release replaces some tens of
upstreams in a second, with two or three records each."""


class TopicLog:
    """The end of a topic as one gateway knows it.

    Args:
        end: Offset up to which it is known; None before it is.

    Attributes:
        end: The same.
    """

    def __init__(self, end: int | None) -> None:
        self.end = end
        self._kept: collections.deque[Record] = collections.deque(
            maxlen=MAX_KEPT
        )
        self._early: dict[int, Record] = {}

    def restart(self, end: int | None) -> None:
        """Forgets the records; the topic is known up to another offset."""
        self.end = end
        self._kept.clear()
        self._early.clear()

    def add(self, records: Sequence[Record]) -> tuple[Record, ...]:
        """Takes records that follow each other; returns those not known yet.

        They begin at what is known or before.
        """
        end = self.end
        assert end is not None
        fresh = tuple(record for record in records if record.offset >= end)
        if fresh:
            self.end = fresh[-1].offset + 1
            self._kept.extend(fresh)
        return fresh

    def add_told(self, records: Sequence[Record]) -> tuple[Record, ...]:
        """Takes records in any order; returns those that go on from the end.

        The others are kept until those before them are known.
        """
        if self.end is None:
            return ()
        self._early.update((record.offset, record) for record in records)
        fresh: list[Record] = []
        while (record := self._early.pop(self.end, None)) is not None:
            fresh += self.add((record,))
        self._early = {o: r for o, r in self._early.items() if o > self.end}
        return tuple(fresh)

    def get_newest(self, first: int) -> Sequence[Record]:
        """Records from an offset on; empty where one is missing."""
        records = [record for record in self._kept if record.offset >= first]
        is_whole = bool(records) and records[0].offset == first
        return records if is_whole else ()

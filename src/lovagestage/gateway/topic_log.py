"""The known end of a topic of the store, and its recent records.

Records arrive from the store and from watchers, some of them from both, and
datagrams may arrive out of order. Each record is processed once and in order.
Records of another era than the known end are ignored.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

from lovagestage.decisions.positions import advance
from lovagestage.platform.records import Record
from lovagestage.types import Position

MAX_RECENT_RECORDS = 256
"""Number of recent records that are retained for followers. A release replaces
some tens of upstreams in a second, with two or three records for each."""


class TopicLog:
    """The known end and the recent records of a topic at one gateway.

    Args:
        end: Position up to which the topic is known; None if nothing is known.

    Attributes:
        end: Position up to which the topic is known now; None if nothing
            is known.
    """

    def __init__(self, end: Position | None) -> None:
        self.end = end
        self._recent: collections.deque[Record] = collections.deque(
            maxlen=MAX_RECENT_RECORDS
        )
        self._out_of_order: dict[Position, Record] = {}

    def restart(self, end: Position | None) -> None:
        """Discards all records and sets the known end."""
        self.end = end
        self._recent.clear()
        self._out_of_order.clear()

    def add(self, records: Sequence[Record]) -> tuple[Record, ...]:
        """Adds records with consecutive positions.

        Args:
            records: The records; the first one is at the known end or before
                it.

        Returns:
            The records that were not known yet.
        """
        end = self.end
        assert end is not None
        new_records = tuple(
            record for record in records if record.position >= end
        )
        if new_records:
            self.end = advance(new_records[-1].position, 1)
            self._recent.extend(new_records)
        return new_records

    def add_relayed(self, records: Sequence[Record]) -> tuple[Record, ...]:
        """Adds records from a watcher, in any order.

        Records beyond a missing one are held back until that one is known.

        Returns:
            The records that continue the topic from its known end.
        """
        if self.end is None:
            return ()
        self._out_of_order.update(
            (record.position, record) for record in records
        )
        new_records: list[Record] = []
        while (record := self._out_of_order.pop(self.end, None)) is not None:
            new_records += self.add((record,))
        self._out_of_order = {
            position: later
            for position, later in self._out_of_order.items()
            if position > self.end
        }
        return tuple(new_records)

    def get_recent(self, first: Position) -> Sequence[Record]:
        """Returns the records from a position on; empty if one is missing."""
        records = [
            record for record in self._recent if record.position >= first
        ]
        is_complete = bool(records) and records[0].position == first
        return records if is_complete else ()

"""Positions in the topics of the metadata store, and the store's eras.

The store may come back from a copy that is some seconds old. It then loses what
it has acknowledged since and gives the same offsets out again, to other
records. It counts these times: the count, its era, stands in each of its
answers. An offset therefore says where a record stands only together with the
era in which it was read.

A position is one number with the era in its high bits, so that positions are
compared, kept, sent and stated in conditions as a whole: one of a later era is
greater than all of an earlier era, and no code can compare bare offsets by
accident. A store that states no era has era 0, and its positions are its
offsets.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import enum
import math

from lovagestage.types import Era, Offset, Position

OFFSET_BITS = 40
"""Bits of a position that hold the offset; an era has 13 more before JSON
numbers lose precision."""
FIRST_ERA = Era(0)
"""Era of a store that has never come back from a copy."""
START = Position(0)
"""Position at the beginning of a topic, before any era is known."""
SETTLE_S = 2.0
"""Time in seconds after which what the store lacks or contradicts since it came
back is adopted. By then operators and upstreams have written again what the
store lost."""


def make_position(era: Era, offset: int) -> Position:
    """Makes the position of an offset in an era."""
    return Position(era << OFFSET_BITS | offset)


def get_era(position: Position) -> Era:
    """Returns the era in which a position was read."""
    return Era(position >> OFFSET_BITS)


def get_offset(position: Position) -> Offset:
    """Returns the offset of a position in its era."""
    return Offset(position & ((1 << OFFSET_BITS) - 1))


def advance(position: Position, records: int) -> Position:
    """Returns the position a number of records later, in the same era."""
    return Position(position + records)


def format_position(position: Position | None) -> str | None:
    """Formats a position for a log line, as `ERA:OFFSET`."""
    if position is None:
        return None
    return f"{get_era(position)}:{get_offset(position)}"


def is_overtaken(position: Position, known: Position) -> bool:
    """Returns whether a copy's record may be older than the known record.

    The copy holds records of the earlier era up to some offset. A record that
    stands before the known one may be its predecessor.

    Args:
        position: Position of a record that was read from the store after it
            came back.
        known: Position of the known record of the same key.
    """
    return get_era(known) < get_era(position) and (
        get_offset(position) < get_offset(known)
    )


class EraChange(enum.Enum):
    """What the era of an answer says of the store."""

    NONE = "none"
    NEW = "new"
    OUTDATED = "outdated"
    """The answer was made before the store came back the last time."""


class StoreEras:
    """The store's era, as known to all parts of one process.

    Only answers of the store count. An era that other processes speak of may be
    wrong, and all answers would then pass for outdated ones.

    Attributes:
        current: The newest era that the store has stated.
    """

    def __init__(self) -> None:
        self.current: Era | None = None

    def observe(self, era: Era) -> EraChange:
        """Records the era of an answer."""
        if self.current is None or era == self.current:
            self.current = era
            return EraChange.NONE
        if era < self.current:
            return EraChange.OUTDATED
        self.current = era
        return EraChange.NEW


class EraSettling:
    """The time after the store came back, as one reader of a topic sees it.

    Args:
        trust_delay_s: Time in seconds for which nothing that is read in a new
            era confirms what is known: the store may lack newer records until
            they have been written again.
    """

    def __init__(self, trust_delay_s: float) -> None:
        self._trust_delay_s = trust_delay_s
        self._changed_s = -math.inf
        self._is_settling = False

    def start(self, now_s: float) -> None:
        """Records that the store has come back from a copy, or may have."""
        self._changed_s = now_s
        self._is_settling = True

    @property
    def is_settling(self) -> bool:
        """Whether what is known still precedes what the store lists."""
        return self._is_settling

    def get_left_s(self, now_s: float) -> float | None:
        """Returns the seconds until the store's list is to be adopted.

        Returns:
            The time, 0 if it is due; None if the list is in force.
        """
        if not self._is_settling:
            return None
        return max(0.0, self._changed_s + SETTLE_S - now_s)

    def release(self) -> None:
        """Records that the store came back long ago, as others have seen."""
        self._changed_s = -math.inf
        self._is_settling = False

    def finish(self) -> None:
        """Records that the store's list is adopted."""
        self._is_settling = False

    def is_trusted(self, confirmed_s: float) -> bool:
        """Returns whether a read confirms what is known.

        Args:
            confirmed_s: Time in seconds for which the read would confirm it.
        """
        return confirmed_s >= self._changed_s + self._trust_delay_s

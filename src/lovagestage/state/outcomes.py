"""What became of recent changes, by change id, bounded."""

from __future__ import annotations

import collections
import enum

import msgspec

from lovagestage.types import ChangeId, Offset


class Outcome(enum.Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    FORBIDDEN = "forbidden"
    """The author may not edit this, or the signature is wrong."""


class ChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of a change, and where.

    Attributes:
        outcome: Accepted or not.
        revision: Revision in force after the change: of the service for a
            document, number of renewals for a lease.
        offset: Offset of the record that decided it.
    """

    outcome: Outcome
    revision: int
    offset: Offset


class OutcomeEntry(msgspec.Struct, frozen=True, array_like=True):
    """One place of an outcome table, as a snapshot holds it."""

    change_id: ChangeId
    result: ChangeResult


class OutcomeTable:
    """Results of the latest changes, oldest first.

    The bound is safe: a change that comes again after its result was dropped
    names a base that has passed, so it loses for every reader.

    Args:
        limit: Most results that are remembered.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._results: collections.OrderedDict[ChangeId, ChangeResult] = (
            collections.OrderedDict()
        )

    def __contains__(self, change_id: ChangeId) -> bool:
        return change_id in self._results

    def get(self, change_id: ChangeId) -> ChangeResult | None:
        """Result of a change; None where it is not known."""
        return self._results.get(change_id)

    def add(self, change_id: ChangeId, result: ChangeResult) -> None:
        """Remembers a result and drops the oldest over the limit."""
        self._results[change_id] = result
        while len(self._results) > self._limit:
            self._results.popitem(last=False)

    def get_entries(self) -> list[OutcomeEntry]:
        """All places in order, for a snapshot."""
        return [OutcomeEntry(*item) for item in self._results.items()]

    def restore(self, entries: list[OutcomeEntry]) -> None:
        """Replaces all places by those of a snapshot."""
        self._results.clear()
        for entry in entries:
            self.add(entry.change_id, entry.result)

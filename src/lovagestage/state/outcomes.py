"""Results of recent changes by change id, with a bound on their number."""

from __future__ import annotations

import collections
import enum

import msgspec

from lovagestage.types import ChangeId, Offset


class Outcome(enum.Enum):
    """Outcome of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    FORBIDDEN = "forbidden"
    """The author may not make this change, or the signature is wrong."""


class ChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of a change and the record that decided it.

    Attributes:
        outcome: Outcome of the change.
        revision: Revision in force after the change. It is the revision of
            the service for a document, of the operator list for a change of
            the operators, the number of renewals for a lease, and the number
            of moves for a roll-out.
        offset: Log offset of the record that decided the outcome.
    """

    outcome: Outcome
    revision: int
    offset: Offset


class OutcomeEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of an outcome table, as a snapshot holds it."""

    change_id: ChangeId
    result: ChangeResult


class OutcomeTable:
    """Results of the latest changes, oldest first.

    Dropping the oldest results is safe. A change that is appended again after
    its result was dropped names a base that is no longer current, so every
    reader rejects the change.

    Args:
        limit: Largest number of results that are remembered.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._results: collections.OrderedDict[ChangeId, ChangeResult] = (
            collections.OrderedDict()
        )

    def __contains__(self, change_id: ChangeId) -> bool:
        return change_id in self._results

    def get(self, change_id: ChangeId) -> ChangeResult | None:
        """Returns the result of a change; None if it is not known."""
        return self._results.get(change_id)

    def add(self, change_id: ChangeId, result: ChangeResult) -> None:
        """Adds a result and drops the oldest results above the limit."""
        self._results[change_id] = result
        while len(self._results) > self._limit:
            self._results.popitem(last=False)

    def get_entries(self) -> list[OutcomeEntry]:
        """Returns all entries, oldest first, for a snapshot."""
        return [OutcomeEntry(*item) for item in self._results.items()]

    def restore(self, entries: list[OutcomeEntry]) -> None:
        """Replaces all entries by the entries of a snapshot."""
        self._results.clear()
        for entry in entries:
            self.add(entry.change_id, entry.result)

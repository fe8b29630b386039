"""Deterministic fold of the `control` stream.

Every process applies the same records in the same order. A change that names
its base revision therefore either applies for everyone or loses for everyone,
which gives compare-and-set over a log that has none.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib

import msgspec

from lovagestage.document import ServiceDocument
from lovagestage.exceptions import CodecError
from lovagestage.members import MemberView
from lovagestage.records import DocumentChange, decode_record
from lovagestage.types import ChangeId, Offset, ServiceId

MAX_OUTCOMES = 4096
"""Change outcomes remembered; at 1,600 changes a day, two and a half days."""


class Outcome(enum.Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class ChangeResult:
    """What became of a change, and where.

    Attributes:
        outcome: Accepted or not.
        revision: Revision in force for the service after the change.
        offset: Offset of the record that decided it.
    """

    outcome: Outcome
    revision: int
    offset: Offset


@dataclasses.dataclass(frozen=True)
class ServiceInForce:
    """A service's document with its revision."""

    revision: int
    document: ServiceDocument


class ControlState:
    """State folded from the `control` stream.

    Attributes:
        next_offset: Offset of the next record to apply.
        services: Documents in force.
        outcomes: Results by change id, oldest first, bounded.
        undecodable: Number of records that were refused.
        members: Entries that hold request keys.
    """

    def __init__(self) -> None:
        self.next_offset = Offset(0)
        self.services: dict[ServiceId, ServiceInForce] = {}
        self.outcomes: collections.OrderedDict[ChangeId, ChangeResult] = (
            collections.OrderedDict()
        )
        self.undecodable = 0
        self.members = MemberView()
        self._digest = hashlib.sha256()

    def apply(self, offset: Offset, data: bytes) -> None:
        """Applies the record at `offset`.

        Args:
            offset: Must be `next_offset`; an older one is ignored.
            data: The record's bytes.

        Raises:
            CodecError: There is a gap before `offset`.
        """
        if offset < self.next_offset:
            return
        if offset > self.next_offset:
            raise CodecError(
                f"Expected offset {self.next_offset}, found {offset}."
            )
        self.next_offset = Offset(offset + 1)
        self._digest.update(data)
        try:
            record = decode_record(data)
        except CodecError:
            self.undecodable += 1
            return
        if isinstance(record, DocumentChange):
            self._apply_change(offset, record)
        else:
            self.members.apply(offset, record)

    def get_hash(self) -> str:
        """Hash of all that was applied; equal prefixes give equal hashes."""
        return self._digest.hexdigest()

    def _apply_change(self, offset: Offset, change: DocumentChange) -> None:
        if change.change_id in self.outcomes:
            return
        current = self.services.get(change.service)
        revision = current.revision if current else 0
        outcome = Outcome.ACCEPTED
        if change.base != revision:
            outcome = Outcome.CONFLICT
        else:
            try:
                document = msgspec.json.decode(
                    change.document, type=ServiceDocument
                )
            except msgspec.DecodeError:
                outcome = Outcome.INVALID
            else:
                revision += 1
                self.services[change.service] = ServiceInForce(
                    revision, document
                )
        self.outcomes[change.change_id] = ChangeResult(
            outcome, revision, offset
        )
        while len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)

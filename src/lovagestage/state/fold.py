"""Deterministic fold of the `control` stream.

Every process applies the same records in the same order. A change that names
its base therefore either applies for everyone or loses for everyone, which
gives compare-and-set over a log that has none. The state is a set of
sub-states, each of which folds the record types that it names in `kinds`.
"""

from __future__ import annotations

import hashlib
import logging
from typing import Protocol

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.state.documents import Documents, ServiceInForce
from lovagestage.state.leases import Leases
from lovagestage.state.members import MemberView
from lovagestage.state.operators import Operators
from lovagestage.state.outcomes import ChangeResult, Outcome, OutcomeTable
from lovagestage.state.records import decode_record
from lovagestage.state.rollouts import Rollouts
from lovagestage.types import ChangeId, Offset, ServiceId

__all__ = [
    "ChangeResult",
    "ControlState",
    "Outcome",
    "ServiceInForce",
    "SubState",
]

_log = logging.getLogger(__name__)


class SubState(Protocol):
    """A part of the state; a new one is added in `ControlState`.

    Attributes:
        name: Its name within snapshots.
        kinds: Record types that it folds.
        outcomes: Results of its changes.
    """

    name: str
    kinds: tuple[type[msgspec.Struct], ...]
    outcomes: OutcomeTable

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies a record; uses nothing but the state and the record."""

    def encode(self) -> bytes:
        """Canonical encoding: equal states give equal bytes."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by an encoded one.

        Raises:
            msgspec.MsgspecError: The bytes are no encoded state.
        """


class _StateForm(msgspec.Struct, frozen=True, array_like=True):
    next_offset: Offset
    undecodable: int
    parts: list[tuple[str, bytes]]


class ControlState:
    """State folded from the `control` stream.

    Attributes:
        next_offset: Offset of the next record to apply.
        undecodable: Number of records that were refused.
        documents: Service documents.
        leases: Leases.
        rollouts: Progress of roll-outs.
        members: Entries that hold request keys.
    """

    def __init__(self, root_key: str = "") -> None:
        self.next_offset = Offset(0)
        self.undecodable = 0
        self.operators = Operators(root_key)
        self.documents = Documents(self.operators)
        self.leases = Leases()
        self.rollouts = Rollouts(self.documents, self.leases)
        self.members = MemberView()
        self._parts: tuple[SubState, ...] = (
            self.operators,
            self.documents,
            self.leases,
            self.rollouts,
            self.members,
        )
        self._part_by_kind = {
            kind: part for part in self._parts for kind in part.kinds
        }
        self._hash = ""

    @property
    def services(self) -> dict[ServiceId, ServiceInForce]:
        """Documents in force."""
        return self.documents.services

    def get_result(self, change_id: ChangeId) -> ChangeResult | None:
        """What became of a change; None where it is not known here."""
        for part in self._parts:
            result = part.outcomes.get(change_id)
            if result is not None:
                return result
        return None

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
        self._hash = ""
        try:
            record = decode_record(data)
        except CodecError as error:
            # Skipped by every reader alike, so the states stay equal. A
            # reader of another version that can decode it counts
            # differently, and its hash differs: that raises the alarm.
            self.undecodable += 1
            _log.error(
                "control_record_refused",
                extra={"offset": offset, "error": error.message},
            )
            return
        self._part_by_kind[type(record)].apply(offset, record)

    def get_hash(self) -> str:
        """SHA-256 of the encoded state, in hex; computed when asked for."""
        if not self._hash:
            self._hash = hashlib.sha256(self.encode()).hexdigest()
        return self._hash

    def encode(self) -> bytes:
        """Canonical encoding: equal states give equal bytes."""
        parts = [(part.name, part.encode()) for part in self._parts]
        return msgspec.msgpack.encode(
            _StateForm(self.next_offset, self.undecodable, parts)
        )


def restore_state(data: bytes) -> ControlState:
    """Makes a state from its encoding.

    Raises:
        CodecError: The bytes are no encoded state, or one whose encoding
            here differs, such as one with parts that are not known.
    """
    state = ControlState()
    try:
        form = msgspec.msgpack.decode(data, type=_StateForm)
        parts = dict(form.parts)
        for part in state._parts:
            if part.name in parts:
                part.restore(parts[part.name])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(f"A state does not decode: {error}.") from error
    state.next_offset = form.next_offset
    state.undecodable = form.undecodable
    if state.encode() != data:
        raise CodecError(
            f"The state at offset {form.next_offset} encodes differently here."
        )
    return state

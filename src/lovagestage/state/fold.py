"""Deterministic fold of the `control` stream.

Every process applies the same records in the same order. A change that names
its base revision is therefore either accepted by every process or rejected by
every process. This gives compare-and-set over a log that has no such operation.
The state is a set of sub-states, each of which folds the record types that it
names in `record_types`.
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
    """Part of the control state; new parts are registered in `ControlState`.

    Attributes:
        name: Name of the sub-state within snapshots.
        record_types: Record types that the sub-state folds.
        outcomes: Results of the changes that the sub-state applied.
    """

    name: str
    record_types: tuple[type[msgspec.Struct], ...]
    outcomes: OutcomeTable

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies a record; depends only on the folded state and the record."""

    def encode(self) -> bytes:
        """Returns the canonical encoding: equal states give equal bytes."""

    def restore(self, data: bytes) -> None:
        """Replaces this state by an encoded one.

        Raises:
            msgspec.MsgspecError: The bytes are not an encoded state.
        """


class _EncodedControlState(msgspec.Struct, frozen=True, array_like=True):
    next_offset: Offset
    undecodable: int
    sub_states: list[tuple[str, bytes]]


class ControlState:
    """State folded from the `control` stream.

    Args:
        root_key: Root key of the operators; see `Operators`.

    Attributes:
        next_offset: Offset of the next record to apply.
        undecodable: Number of records that could not be decoded.
        operators: Operators in force.
        documents: Service documents in force.
        leases: Leases by name.
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
        self._sub_states: tuple[SubState, ...] = (
            self.operators,
            self.documents,
            self.leases,
            self.rollouts,
            self.members,
        )
        self._sub_state_by_type = {
            record_type: sub_state
            for sub_state in self._sub_states
            for record_type in sub_state.record_types
        }
        self._hash = ""

    @property
    def services(self) -> dict[ServiceId, ServiceInForce]:
        """Documents in force, by service."""
        return self.documents.services

    def get_result(self, change_id: ChangeId) -> ChangeResult | None:
        """Returns the result of a change; None if it is not known here."""
        for sub_state in self._sub_states:
            result = sub_state.outcomes.get(change_id)
            if result is not None:
                return result
        return None

    def apply(self, offset: Offset, data: bytes) -> None:
        """Applies the record at `offset`.

        Args:
            offset: Offset of the record, which must be `next_offset`; a record
                at an older offset is ignored.
            data: The record's bytes.

        Raises:
            CodecError: Records before `offset` are missing.
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
            # Every reader skips a record that can't be decoded, so the folded
            # states stay equal. A reader of another software version that can
            # decode the record has another count of undecodable records, and
            # the comparison of state hashes reports the difference.
            self.undecodable += 1
            _log.error(
                "control_record_refused",
                extra={"offset": offset, "error": error.message},
            )
            return
        self._sub_state_by_type[type(record)].apply(offset, record)

    def get_hash(self) -> str:
        """Returns the SHA-256 of the encoded state, in hex.

        The hash is computed at the first call after each change.
        """
        if not self._hash:
            self._hash = hashlib.sha256(self.encode()).hexdigest()
        return self._hash

    def encode(self) -> bytes:
        """Returns the canonical encoding: equal states give equal bytes."""
        sub_states = [
            (sub_state.name, sub_state.encode())
            for sub_state in self._sub_states
        ]
        return msgspec.msgpack.encode(
            _EncodedControlState(self.next_offset, self.undecodable, sub_states)
        )


def restore_state(data: bytes) -> ControlState:
    """Decodes a control state.

    Args:
        data: Bytes that `ControlState.encode` made.

    Raises:
        CodecError: The bytes are not an encoded state, or this process would
            encode the state differently, for example because the state has
            sub-states that this process does not know.
    """
    state = ControlState()
    try:
        encoded = msgspec.msgpack.decode(data, type=_EncodedControlState)
        sub_states = dict(encoded.sub_states)
        for sub_state in state._sub_states:
            if sub_state.name in sub_states:
                sub_state.restore(sub_states[sub_state.name])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(f"The state can't be decoded: {error}.") from error
    state.next_offset = encoded.next_offset
    state.undecodable = encoded.undecodable
    if state.encode() != data:
        raise CodecError(
            f"The state at offset {encoded.next_offset} is encoded differently"
            " here."
        )
    return state

"""Records that the processes append to the log's `control` stream.

A record is a header of two bytes (major and minor format version) followed by
MessagePack. A reader rejects records of another major version. It accepts any
minor version and ignores fields that it does not know.
"""

from __future__ import annotations

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.state.members import MemberRecord
from lovagestage.types import (
    ChangeId,
    FencingNumber,
    LeaseId,
    RolloutPhase,
    ServiceId,
    VmId,
)

CONTROL_STREAM = "control"
SNAPSHOT_STREAM = "snapshots"
FORMAT_MAJOR = 1
FORMAT_MINOR = 0
MAX_RECORD_BYTES = 1024 * 1024


class DocumentChange(msgspec.Struct, frozen=True, tag="document_change"):
    """Replaces a service's document by an operator's new document.

    Attributes:
        change_id: Id of the change, which the writer chooses; a retried
            append has the same id.
        service: Name of the service.
        base: Revision that the operator edited; 0 if there was none.
        author: Name of the operator.
        document: The new document as JSON.
        signature: Ed25519 signature of the change by the author's key.
    """

    change_id: ChangeId
    service: ServiceId
    base: int
    author: str
    document: bytes
    signature: bytes = b""


class OperatorSpec(msgspec.Struct, frozen=True):
    """An operator's name, keys and teams.

    Attributes:
        name: Name of the operator, which changes state as their author.
        public_keys: Ed25519 public keys in hex; two while a key is being
            rotated.
        teams: Teams whose documents the operator may edit; `*` for all teams.
    """

    name: str
    public_keys: list[str]
    teams: list[str]


class OperatorsChange(msgspec.Struct, frozen=True, tag="operators_change"):
    """Replaces the list of operators.

    Attributes:
        change_id: Id of the change, which the writer chooses.
        base: Revision of the list that was edited; 0 for the first list.
        operators: The new list of operators.
        next_root_key: Ed25519 public key, in hex, that verifies the next
            change of the list; empty if the root key stays.
        signature: Ed25519 signature of the change by the root key.
    """

    change_id: ChangeId
    base: int
    operators: list[OperatorSpec]
    next_root_key: str = ""
    signature: bytes = b""


class LeaseTake(msgspec.Struct, frozen=True, tag="lease_take"):
    """Takes a lease that has no holder, or whose holder let it expire.

    Attributes:
        change_id: Id of the change, which the writer chooses.
        lease: Name of the lease.
        fencing: Fencing number of the grant that the take supersedes.
        renewals: Number of renewals of the superseded grant that the writer
            has read.
        holder: VM of the process that takes the lease.
        incarnation: Incarnation of the process that takes the lease.
        ttl_ms: Milliseconds for which the lease is held after its grant and
            after each renewal.
    """

    change_id: ChangeId
    lease: LeaseId
    fencing: FencingNumber
    renewals: int
    holder: VmId
    incarnation: int
    ttl_ms: int


class LeaseRenew(msgspec.Struct, frozen=True, tag="lease_renew"):
    """Renews a lease.

    Attributes:
        change_id: Id of the change, which the writer chooses.
        lease: Name of the lease.
        fencing: Fencing number of the holder's grant.
        renewals: Number of renewals of the grant before this one.
    """

    change_id: ChangeId
    lease: LeaseId
    fencing: FencingNumber
    renewals: int


class LeaseRelease(msgspec.Struct, frozen=True, tag="lease_release"):
    """Releases a lease; the fields are those of `LeaseRenew`."""

    change_id: ChangeId
    lease: LeaseId
    fencing: FencingNumber
    renewals: int


class RolloutProgress(msgspec.Struct, frozen=True, tag="rollout_progress"):
    """Moves a roll-out to its next phase or step.

    Attributes:
        change_id: Id of the change, which the writer chooses.
        service: Name of the service.
        model: Name of the model.
        revision: Revision of the document that last changed the roll-out.
        fencing: Fencing number of the writer's grant of the roll-out lease.
        base: Number of moves before this move.
        phase: Phase of the roll-out after this move.
        step: Index of the step after this move.
    """

    change_id: ChangeId
    service: ServiceId
    model: str
    revision: int
    fencing: FencingNumber
    base: int
    phase: RolloutPhase
    step: int


class RolloutStop(msgspec.Struct, frozen=True, tag="rollout_stop"):
    """Stops a roll-out for good; any process may append this record.

    Attributes:
        change_id: Id of the change, which the writer chooses.
        service: Name of the service.
        model: Name of the model.
        revision: Revision of the document that last changed the roll-out.
        reason: Evidence that led to the stop.
    """

    change_id: ChangeId
    service: ServiceId
    model: str
    revision: int
    reason: str


Record = (
    DocumentChange
    | OperatorsChange
    | LeaseTake
    | LeaseRenew
    | LeaseRelease
    | RolloutProgress
    | RolloutStop
)
"""Records that have a change id and an outcome."""

LogRecord = Record | MemberRecord

_decoder = msgspec.msgpack.Decoder(LogRecord)
_encoder = msgspec.msgpack.Encoder()


def encode_record(record: LogRecord) -> bytes:
    """Encodes a record for the log.

    Raises:
        CodecError: The record is larger than readers accept.
    """
    data = bytes((FORMAT_MAJOR, FORMAT_MINOR)) + _encoder.encode(record)
    _check_size(data)
    return data


def decode_record(data: bytes) -> LogRecord:
    """Decodes a record from the log.

    Raises:
        CodecError: The bytes are too long or not a record of this format.
    """
    _check_size(data)
    if len(data) < 2 or data[0] != FORMAT_MAJOR:
        raise CodecError(
            f"Expected format {FORMAT_MAJOR}, found {data[:2].hex()!r}."
        )
    try:
        return _decoder.decode(data[2:])
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise CodecError(f"The record can't be decoded: {error}.") from error


def _check_size(data: bytes) -> None:
    if len(data) > MAX_RECORD_BYTES:
        raise CodecError(
            f"A record of {len(data)} bytes is over {MAX_RECORD_BYTES}."
        )

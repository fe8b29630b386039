"""Records that the system keeps in the log's `control` stream.

A record is a header byte pair (major and minor format version) followed by
MessagePack. A reader refuses another major version and accepts any minor one,
whose new fields it ignores.
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
    """An operator's new document.

    Attributes:
        change_id: Chosen by the writer; a repeated append has the same one.
        service: The service.
        base: Revision that the operator edited; 0 where there was none.
        author: Operator's name.
        document: The document as JSON.
        signature: Ed25519 signature by the author's key.
    """

    change_id: ChangeId
    service: ServiceId
    base: int
    author: str
    document: bytes
    signature: bytes = b""


class OperatorSpec(msgspec.Struct, frozen=True):
    """An operator.

    Attributes:
        name: Name that changes give as their author.
        public_keys: Hex Ed25519 keys; two while one is being rotated.
        teams: Teams whose documents it may edit; `*` for all.
    """

    name: str
    public_keys: list[str]
    teams: list[str]


class OperatorsChange(msgspec.Struct, frozen=True, tag="operators_change"):
    """Replaces the list of operators.

    Attributes:
        change_id: Chosen by the writer.
        base: Revision of the list that was edited; 0 for the first.
        operators: The new list.
        next_root_key: Hex Ed25519 key that signs the next change; empty
            where the root key stays.
        signature: Ed25519 signature by the root key.
    """

    change_id: ChangeId
    base: int
    operators: list[OperatorSpec]
    next_root_key: str = ""
    signature: bytes = b""


class LeaseTake(msgspec.Struct, frozen=True, tag="lease_take"):
    """Takes a lease that nobody has, or that its holder let lapse.

    Attributes:
        change_id: Chosen by the writer.
        lease: The lease.
        fencing: Fencing number of the grant that it supersedes.
        renewals: Renewals of that grant that the writer has seen.
        holder: VM of the process that takes it.
        incarnation: Incarnation of that process.
        ttl_ms: How long it is held after each renewal.
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
        change_id: Chosen by the writer.
        lease: The lease.
        fencing: Fencing number of the holder's grant.
        renewals: Renewals before this one.
    """

    change_id: ChangeId
    lease: LeaseId
    fencing: FencingNumber
    renewals: int


class LeaseRelease(msgspec.Struct, frozen=True, tag="lease_release"):
    """Gives a lease up; the fields are those of `LeaseRenew`."""

    change_id: ChangeId
    lease: LeaseId
    fencing: FencingNumber
    renewals: int


class RolloutProgress(msgspec.Struct, frozen=True, tag="rollout_progress"):
    """Moves a roll-out on.

    Attributes:
        change_id: Chosen by the writer.
        service: The service.
        model: The model.
        revision: Revision of the document that last changed the roll-out.
        fencing: Number of the writer's grant of the roll-out lease.
        base: Number of moves before this one.
        phase: Phase after it.
        step: Step after it.
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
    """Stops a roll-out for good; any process may append it.

    Attributes:
        change_id: Chosen by the writer.
        service: The service.
        model: The model.
        revision: Revision of the document that last changed the roll-out.
        reason: What the evidence was.
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
"""Records with a change id and an outcome."""

LogRecord = Record | MemberRecord

_decoder = msgspec.msgpack.Decoder(LogRecord)
_encoder = msgspec.msgpack.Encoder()


def encode_record(record: LogRecord) -> bytes:
    """Encodes a record for the log.

    Raises:
        CodecError: The record is too large for any reader.
    """
    data = bytes((FORMAT_MAJOR, FORMAT_MINOR)) + _encoder.encode(record)
    _check_size(data)
    return data


def decode_record(data: bytes) -> LogRecord:
    """Decodes a record from the log.

    Raises:
        CodecError: The bytes are no record of this format.
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
        raise CodecError(f"A record does not decode: {error}.") from error


def _check_size(data: bytes) -> None:
    if len(data) > MAX_RECORD_BYTES:
        raise CodecError(
            f"A record of {len(data)} bytes is over {MAX_RECORD_BYTES}."
        )

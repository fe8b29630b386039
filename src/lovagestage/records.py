"""Records that the system keeps in the log's `control` stream.

A record is a header byte pair (major and minor format version) followed by
MessagePack. A reader refuses another major version and accepts any minor one,
whose new fields it ignores.
"""

from __future__ import annotations

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.members import MemberJoined, MemberRemoved
from lovagestage.types import ChangeId, ServiceId

CONTROL_STREAM = "control"
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
    """

    change_id: ChangeId
    service: ServiceId
    base: int
    author: str
    document: bytes


Record = DocumentChange | MemberJoined | MemberRemoved

_decoder = msgspec.msgpack.Decoder(Record)
_encoder = msgspec.msgpack.Encoder()


def encode_record(record: Record) -> bytes:
    """Encodes a record for the log."""
    return bytes((FORMAT_MAJOR, FORMAT_MINOR)) + _encoder.encode(record)


def decode_record(data: bytes) -> Record:
    """Decodes a record from the log.

    Raises:
        CodecError: The bytes are no record of this format.
    """
    if len(data) > MAX_RECORD_BYTES:
        raise CodecError(
            f"A record of {len(data)} bytes is over {MAX_RECORD_BYTES}."
        )
    if len(data) < 2 or data[0] != FORMAT_MAJOR:
        raise CodecError(
            f"Expected format {FORMAT_MAJOR}, found {data[:2].hex()!r}."
        )
    try:
        return _decoder.decode(data[2:])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CodecError(f"A record does not decode: {error}.") from error

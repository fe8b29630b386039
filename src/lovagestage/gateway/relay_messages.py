"""Messages between the watchers of the store and their followers.

The records are encoded as arrays: the order of their fields is part of the
format.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.platform.records import Record
from lovagestage.types import Position

MAX_DATAGRAM_BYTES = 1200
"""Maximum size in bytes of the records in one datagram, so that each datagram
fits into one packet. A record that is larger is read from the store."""
MAX_RESPONSE_BYTES = 48 * 1024
"""Maximum size in bytes of the records that are sent along with one response:
some 200 entries of upstreams."""


class TopicState(msgspec.Struct, frozen=True, array_like=True):
    """The state of a topic as known to a watcher.

    Attributes:
        topic: The topic.
        end: End of the topic; the watcher may still be reading records before
            it.
        confirmation_age_ms: Time in milliseconds since the topic had no
            records beyond those known to the watcher.
        last_failure_age_ms: Time in milliseconds since the store last failed
            to answer; None for never.
    """

    topic: str
    end: Position
    confirmation_age_ms: int
    last_failure_age_ms: int | None


class StateQuery(msgspec.Struct, frozen=True, array_like=True, tag="question"):
    """Queries the state of all topics.

    Attributes:
        number: Number of the query, which the response repeats.
        ends: Topics, and for each the end of the records that the querying
            gateway knows.
    """

    number: int
    ends: tuple[tuple[str, Position], ...] = ()


class RelayedRecords(
    msgspec.Struct, frozen=True, array_like=True, tag="records"
):
    """Carries records of a topic, before the response that states its end.

    Attributes:
        topic: The topic.
        first: Position of the first record.
        last_failure_age_ms: Time in milliseconds since the store last failed
            to answer; None for never.
        records: Keys and values; the value is None where the record removes
            the key.
    """

    topic: str
    first: Position
    last_failure_age_ms: int | None
    records: tuple[tuple[str, bytes | None], ...]


class StateResponse(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """Responds to a query.

    Attributes:
        number: Number of the query.
        states: States of the topics that the responding gateway reads.
    """

    number: int
    states: tuple[TopicState, ...]


class UpdateNotification(
    msgspec.Struct, frozen=True, array_like=True, tag="news"
):
    """Notifies followers that they should send a query immediately."""


Message = StateQuery | StateResponse | UpdateNotification | RelayedRecords
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encodes a message for a datagram."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Decodes a message that `encode_message` has encoded.

    Raises:
        CodecError: The data is not a valid message.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise CodecError(f"Relay: {error}.") from error


def split_records(records: Sequence[Record]) -> list[list[Record]]:
    """Splits records into one list for each datagram.

    Records are included in order until one exceeds `MAX_DATAGRAM_BYTES` or the
    total exceeds `MAX_RESPONSE_BYTES`; the rest is omitted.
    """
    groups: list[list[Record]] = []
    free_bytes = 0
    total_bytes = 0
    for record in records:
        size_bytes = len(record.key) + len(record.value or b"") + 8
        total_bytes += size_bytes
        if size_bytes > MAX_DATAGRAM_BYTES or total_bytes > MAX_RESPONSE_BYTES:
            break
        if size_bytes > free_bytes:
            groups.append([])
            free_bytes = MAX_DATAGRAM_BYTES
        groups[-1].append(record)
        free_bytes -= size_bytes
    return groups

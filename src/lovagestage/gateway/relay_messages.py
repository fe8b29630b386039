"""What watchers of the store and their followers send each other."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.platform.records import Record

MAX_DATAGRAM_BYTES = 1200
"""Records of an answer are parted so, to be carried in one packet each. Longer
ones are read from the store."""
MAX_ANSWER_BYTES = 48 * 1024
"""Most that one answer carries: some 200 entries of upstreams."""


class TopicState(msgspec.Struct, frozen=True, array_like=True):
    """What a watcher knows of a topic.

    Attributes:
        topic: The topic.
        end: Offset that the topic has reached, though it may still be reading
            the records before it.
        proof_age_ms: How long ago there was nothing beyond.
        lost_age_ms: How long ago the store last failed to answer; None for
            never.
    """

    topic: str
    end: int
    proof_age_ms: int
    lost_age_ms: int | None


class Question(msgspec.Struct, frozen=True, array_like=True, tag="question"):
    """Asks for the state of all topics.

    Attributes:
        number: Repeated in the answer.
        ends: Topics, and the offset up to which the asking gateway knows each.
    """

    number: int
    ends: tuple[tuple[str, int], ...] = ()


class Records(msgspec.Struct, frozen=True, array_like=True, tag="records"):
    """Records of a topic, sent before the answer that tells its end.

    Attributes:
        topic: The topic.
        first: Offset of the first of them.
        lost_age_ms: How long ago the store last failed to answer; None for
            never.
        records: Keys and values; None for a value that was dropped.
    """

    topic: str
    first: int
    lost_age_ms: int | None
    records: tuple[tuple[str, bytes | None], ...]


class Answer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """Answers a question.

    Attributes:
        number: Of the question.
        states: The topics that the answering gateway reads.
    """

    number: int
    states: tuple[TopicState, ...]


class News(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """Tells followers to ask at once."""


Message = Question | Answer | News | Records
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encodes a message for a datagram."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Decodes what `encode_message` makes.

    Raises:
        CodecError: It is not that.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise CodecError(f"Relay: {error}.") from error


def split_records(records: Sequence[Record]) -> list[list[Record]]:
    """Parts records by datagram; none where they are too much for an answer."""
    parts: list[list[Record]] = []
    room_bytes = 0
    total_bytes = 0
    for record in records:
        size_bytes = len(record.key) + len(record.value or b"") + 8
        total_bytes += size_bytes
        if size_bytes > MAX_DATAGRAM_BYTES or total_bytes > MAX_ANSWER_BYTES:
            break
        if size_bytes > room_bytes:
            parts.append([])
            room_bytes = MAX_DATAGRAM_BYTES
        parts[-1].append(record)
        room_bytes -= size_bytes
    return parts

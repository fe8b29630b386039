"""Records of the store's topics and their encoding on the wire."""

from __future__ import annotations

import dataclasses
import struct
from collections.abc import Callable, Iterator

from lovagestage.decisions.positions import (
    START,
    advance,
    get_era,
    make_position,
)
from lovagestage.exceptions import (
    StoreEraChangedError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from lovagestage.types import Era, Position

_KEYED_PREFIX = "keyed."
_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")


@dataclasses.dataclass(frozen=True)
class Record:
    """A record of a topic.

    Attributes:
        position: Position of the record in the topic.
        key: Key of the record; empty in topics without keys.
        value: Value in bytes; None for a record that removes the key.
    """

    position: Position
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Page:
    """The result of a read.

    Attributes:
        records: The records in the order of their positions.
        end: End of the topic: the position of the next record to be appended.
    """

    records: tuple[Record, ...]
    end: Position


class PageReader:
    """Decodes the records of a read's answer while its body arrives.

    Args:
        topic: The topic that is read.
        start: Position of the first record to read; `START` for the first
            offset in whichever era the store is.
        on_page: Called with the records that each part of the body completes.
    """

    def __init__(
        self, topic: str, start: Position, on_page: Callable[[Page], None]
    ) -> None:
        self._topic = topic
        self._is_keyed = _is_keyed(topic)
        self._next = start
        self._on_page = on_page
        self._buffer = bytearray()
        self._first: Position | None = None
        self._end: Position | None = None
        self._records: list[Record] = []

    def set_era(self, era: Era) -> None:
        """Sets the era that the head of the answer states.

        Raises:
            StoreEraChangedError: The position to read from is of another era.
        """
        if self._next == START:
            self._next = make_position(era, 0)
        if get_era(self._next) != era:
            raise StoreEraChangedError(era)

    def add_part(self, part: bytes) -> None:
        """Adds a part of the body and decodes the records that it completes."""
        self._buffer += part
        if self._end is None:
            if len(self._buffer) < _READ_HEAD.size:
                return
            end_offset, first_offset = _READ_HEAD.unpack_from(self._buffer)
            era = get_era(self._next)
            self._end = make_position(era, end_offset)
            self._first = make_position(era, first_offset)
            del self._buffer[: _READ_HEAD.size]
        if self._first is not None and self._next < self._first:
            return
        new_records = list(self._decode_buffered_records())
        self._records += new_records
        self._on_page(Page(tuple(new_records), self._end))

    def get_page(self) -> Page:
        """Returns all records that have been decoded.

        Raises:
            StoreHistoryLostError: The store has dropped the records from the
                requested position on.
            StoreUnavailableError: The body is too short to hold its header.
        """
        if self._end is None or self._first is None:
            raise StoreUnavailableError("The answer to a read is too short.")
        if self._next < self._first:
            raise StoreHistoryLostError(self._topic, self._first)
        return Page(tuple(self._records), self._end)

    def _decode_buffered_records(self) -> Iterator[Record]:
        position = 0
        while position + _LENGTH.size <= len(self._buffer):
            (size,) = _LENGTH.unpack_from(self._buffer, position)
            end = position + _LENGTH.size + size
            if end > len(self._buffer):
                break
            data = bytes(self._buffer[position + _LENGTH.size : end])
            yield _decode_record(data, self._next, self._is_keyed)
            self._next = advance(self._next, 1)
            position = end
        del self._buffer[:position]


def encode_record(topic: str, key: str, value: bytes) -> bytes:
    """Encodes a record for the body of an append.

    Args:
        topic: The topic, which decides whether the key is encoded.
        key: Key of the record; ignored in topics without keys.
        value: Value of the record.
    """
    data = value
    if _is_keyed(topic):
        name = key.encode()
        data = bytes((len(name),)) + name + value
    return _LENGTH.pack(len(data)) + data


def _is_keyed(topic: str) -> bool:
    return topic.startswith(_KEYED_PREFIX)


def _decode_record(data: bytes, position: Position, is_keyed: bool) -> Record:
    if not is_keyed or not data:
        return Record(position, "", data)
    end = 1 + data[0]
    key = data[1:end].decode("utf-8", "replace")
    return Record(position, key, data[end:] or None)

"""Records of the store's topics, and how they are written on the wire."""

from __future__ import annotations

import dataclasses
import struct
from collections.abc import Callable, Iterator

from lovagestage.exceptions import (
    StoreHistoryLostError,
    StoreUnavailableError,
)

_KEYED_PREFIX = "keyed."
_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")


@dataclasses.dataclass(frozen=True)
class Record:
    """A record of a topic.

    Attributes:
        offset: Its place in the topic.
        key: Its key; empty in topics without keys.
        value: Its bytes; None where the key was dropped.
    """

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Page:
    """What a read returned.

    Attributes:
        records: Records in order.
        end: Offset of the next record to be appended.
    """

    records: tuple[Record, ...]
    end: int


class PageReader:
    """Reads the records of an answer while it arrives.

    Args:
        topic: The topic.
        offset: Offset of the first record.
        on_page: Takes each part of the records.
    """

    def __init__(
        self, topic: str, offset: int, on_page: Callable[[Page], None]
    ) -> None:
        self._topic = topic
        self._is_keyed = _is_keyed(topic)
        self._offset = offset
        self._on_page = on_page
        self._rest = bytearray()
        self._first = 0
        self._end: int | None = None
        self._records: list[Record] = []

    def take(self, part: bytes) -> None:
        """Takes a part of the body."""
        self._rest += part
        if self._end is None:
            if len(self._rest) < _READ_HEAD.size:
                return
            self._end, self._first = _READ_HEAD.unpack_from(self._rest)
            del self._rest[: _READ_HEAD.size]
        if self._offset < self._first:
            return
        fresh = list(self._take_records())
        self._records += fresh
        self._on_page(Page(tuple(fresh), self._end))

    def get_page(self) -> Page:
        """All that was read.

        Raises:
            StoreHistoryLostError: The records were dropped.
            StoreUnavailableError: The answer is too short.
        """
        if self._end is None:
            raise StoreUnavailableError("Short answer to a read.")
        if self._offset < self._first:
            raise StoreHistoryLostError(self._topic, self._first)
        return Page(tuple(self._records), self._end)

    def _take_records(self) -> Iterator[Record]:
        position = 0
        while position + _LENGTH.size <= len(self._rest):
            (size,) = _LENGTH.unpack_from(self._rest, position)
            end = position + _LENGTH.size + size
            if end > len(self._rest):
                break
            data = bytes(self._rest[position + _LENGTH.size : end])
            yield _decode_record(data, self._offset, self._is_keyed)
            self._offset += 1
            position = end
        del self._rest[:position]


def encode_record(topic: str, key: str, value: bytes) -> bytes:
    """Encodes a record as appends carry it."""
    data = value
    if _is_keyed(topic):
        name = key.encode()
        data = bytes((len(name),)) + name + value
    return _LENGTH.pack(len(data)) + data


def _is_keyed(topic: str) -> bool:
    return topic.startswith(_KEYED_PREFIX)


def _decode_record(data: bytes, offset: int, is_keyed: bool) -> Record:
    if not is_keyed or not data:
        return Record(offset, "", data)
    end = 1 + data[0]
    key = data[1:end].decode("utf-8", "replace")
    return Record(offset, key, data[end:] or None)

"""Snapshots of the folded state, as chunks in the `snapshots` stream.

Each chunk says all that is needed to judge it: which snapshot it belongs to,
how many chunks there are, the cursor and the checksum of the whole. A reader
collects chunks in any order and takes a snapshot only where all are there and
the checksum holds; anything else is dropped, so torn, corrupt, repeated and
mixed snapshots harm nothing.
"""

from __future__ import annotations

import collections
import hashlib
import hmac
import logging
from collections.abc import Sequence

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.state.fold import ControlState, restore_state
from lovagestage.state.records import FORMAT_MAJOR, FORMAT_MINOR
from lovagestage.types import FencingNumber, Offset

_log = logging.getLogger(__name__)

CHUNK_BYTES = 192 * 1024
MAX_CHUNKS = 64
"""12 MiB: far over any state, and a bound on what a bad chunk may claim."""

MAX_PARTIAL = 4
"""Unfinished snapshots kept at once; the oldest is dropped."""

SNAPSHOTS_KEPT = 2


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """Part of a snapshot.

    Attributes:
        fencing: Lease number of the writer.
        cursor: `next_offset` of the state.
        checksum: Checksum of the whole encoded state under the first of
            the system's log keys, in hex.
        count: Number of chunks.
        index: Number of this chunk, from 0.
        data: Its part of the encoded state.
    """

    fencing: FencingNumber
    cursor: Offset
    checksum: str
    count: int
    index: int
    data: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SnapshotChunk)


def get_checksum(data: bytes, key: str) -> str:
    """Keyed BLAKE2b of an encoded state, in hex.

    A snapshot carries the operators and their root key. Without a key of its
    own, whoever can append to the log could bring in another root key.
    """
    secret = hashlib.sha256(key.encode()).digest()
    return hashlib.blake2b(data, key=secret, digest_size=32).hexdigest()


def make_chunks(
    state: ControlState,
    fencing: FencingNumber,
    chunk_bytes: int = CHUNK_BYTES,
    key: str = "",
) -> list[bytes]:
    """Encodes a state as records for the `snapshots` stream.

    Args:
        state: The state.
        fencing: Lease number of the writer.
        chunk_bytes: Largest part of the state in one record.
        key: The first of the system's log keys.

    Raises:
        CodecError: The state is too large.
    """
    data = state.encode()
    checksum = get_checksum(data, key)
    pieces = [
        data[start : start + chunk_bytes]
        for start in range(0, len(data), chunk_bytes)
    ]
    if len(pieces) > MAX_CHUNKS:
        raise CodecError(
            f"A state of {len(data)} bytes needs over {MAX_CHUNKS} chunks."
        )
    header = bytes((FORMAT_MAJOR, FORMAT_MINOR))
    return [
        header
        + _encoder.encode(
            SnapshotChunk(
                fencing, state.next_offset, checksum, len(pieces), index, piece
            )
        )
        for index, piece in enumerate(pieces)
    ]


def decode_chunk(data: bytes) -> SnapshotChunk:
    """Decodes a record of the `snapshots` stream.

    Raises:
        CodecError: The bytes are no chunk.
    """
    if len(data) < 2 or data[0] != FORMAT_MAJOR:
        raise CodecError(
            f"Expected format {FORMAT_MAJOR}, found {data[:2].hex()!r}."
        )
    try:
        chunk = _decoder.decode(data[2:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(f"A chunk does not decode: {error}.") from error
    if len(chunk.data) > CHUNK_BYTES:
        raise CodecError(
            f"A chunk of {len(chunk.data)} bytes is over {CHUNK_BYTES}."
        )
    if not 0 <= chunk.index < chunk.count <= MAX_CHUNKS:
        raise CodecError(
            f"Expected a chunk of at most {MAX_CHUNKS}, found"
            f" {chunk.index} of {chunk.count}."
        )
    return chunk


class Snapshot(msgspec.Struct, frozen=True):
    """A whole snapshot, its checksum proved.

    Attributes:
        cursor: Offset of the first record that it does not cover.
        data: The encoded state.
    """

    cursor: Offset
    data: bytes

    def restore(self) -> ControlState:
        """Makes the state.

        Raises:
            CodecError: It can't be restored here.
        """
        state = restore_state(self.data)
        if state.next_offset != self.cursor:
            raise CodecError(
                f"Expected cursor {self.cursor}, found {state.next_offset}."
            )
        return state


class _Partial:
    def __init__(self, count: int) -> None:
        self.count = count
        self.pieces: dict[int, bytes] = {}


class SnapshotShelf:
    """Collects chunks and keeps the newest whole snapshots.

    Args:
        keys: The system's log keys; each is accepted, so that one can be
            replaced.

    Attributes:
        kept: Whole snapshots, newest first, at most `SNAPSHOTS_KEPT`.
        refused: Records that were no chunk, or whose whole did not prove.
    """

    def __init__(self, keys: Sequence[str] = ()) -> None:
        self._keys = tuple(keys) or ("",)
        self.kept: list[Snapshot] = []
        self.refused = 0
        self._partial: collections.OrderedDict[
            tuple[FencingNumber, Offset, str, int], _Partial
        ] = collections.OrderedDict()

    def add(self, data: bytes) -> None:
        """Takes a record of the `snapshots` stream, in any order."""
        try:
            chunk = decode_chunk(data)
        except CodecError as error:
            self._refuse(error.message)
            return
        if any(kept.cursor == chunk.cursor for kept in self.kept):
            return
        # Two writers may write at once; the key keeps their chunks apart.
        key = (chunk.fencing, chunk.cursor, chunk.checksum, chunk.count)
        partial = self._partial.setdefault(key, _Partial(chunk.count))
        partial.pieces[chunk.index] = chunk.data
        if len(partial.pieces) == partial.count:
            del self._partial[key]
            self._finish(chunk, partial)
        while len(self._partial) > MAX_PARTIAL:
            self._partial.popitem(last=False)

    def get_cursor(self) -> Offset:
        """Cursor of the newest whole snapshot; 0 where there is none."""
        return self.kept[0].cursor if self.kept else Offset(0)

    def get_covering(self, first_offset: Offset) -> list[Snapshot]:
        """Snapshots after which no record is missing, newest first."""
        return [kept for kept in self.kept if kept.cursor >= first_offset]

    def _finish(self, last: SnapshotChunk, partial: _Partial) -> None:
        data = b"".join(partial.pieces[i] for i in range(partial.count))
        if not any(
            hmac.compare_digest(get_checksum(data, key), last.checksum)
            for key in self._keys
        ):
            self._refuse(f"Snapshot at {last.cursor} has a wrong checksum.")
            return
        self.kept.append(Snapshot(last.cursor, data))
        self.kept.sort(key=lambda kept: kept.cursor, reverse=True)
        del self.kept[SNAPSHOTS_KEPT:]

    def _refuse(self, message: str) -> None:
        self.refused += 1
        _log.error("snapshot_refused", extra={"error": message})

"""Snapshots of the folded state, stored as chunks in the `snapshots` stream.

Each chunk identifies its snapshot and states the number of chunks, the cursor
and the checksum of the complete encoded state. A reader collects chunks in any
order and accepts a snapshot only if all of its chunks have been read and the
checksum is valid. All other chunks are dropped, so incomplete, corrupt,
repeated and interleaved snapshots do no harm.
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
"""Largest number of chunks of a snapshot, which limits its size to 12 MiB.

This is far above the size of any state, and it limits the memory that a faulty
chunk can claim by stating a large count.
"""

MAX_PARTIAL_SNAPSHOTS = 4
"""Largest number of incomplete snapshots in memory; the oldest is dropped."""

MAX_SNAPSHOTS = 2


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """One chunk of a snapshot.

    Attributes:
        fencing: Fencing number of the writer's snapshot lease.
        cursor: `next_offset` of the encoded state.
        checksum: Checksum, in hex, of the complete encoded state under the
            first of the system's log keys.
        count: Number of chunks of the snapshot.
        index: Number of this chunk, from 0.
        data: Part of the encoded state that this chunk carries.
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
    """Returns the keyed BLAKE2b checksum of an encoded state, in hex.

    A snapshot contains the operators and their root key. If the checksum had
    no secret key, anyone who can append to the log could replace the root key
    by writing a snapshot.

    Args:
        data: The encoded state.
        key: One of the system's log keys.
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
        state: The state to encode.
        fencing: Fencing number of the writer's snapshot lease.
        chunk_bytes: Largest number of bytes of the state in one record.
        key: The first of the system's log keys.

    Raises:
        CodecError: The state needs more than `MAX_CHUNKS` chunks.
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
        CodecError: The bytes are not a chunk within the limits on its size and
            its number.
    """
    if len(data) < 2 or data[0] != FORMAT_MAJOR:
        raise CodecError(
            f"Expected format {FORMAT_MAJOR}, found {data[:2].hex()!r}."
        )
    try:
        chunk = _decoder.decode(data[2:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(f"The chunk can't be decoded: {error}.") from error
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
    """A complete snapshot with a valid checksum.

    Attributes:
        cursor: Offset of the first record that the snapshot does not cover.
        data: The encoded state.
    """

    cursor: Offset
    data: bytes

    def restore(self) -> ControlState:
        """Decodes the state of the snapshot.

        Raises:
            CodecError: The state can't be decoded by this process, or its
                offset differs from `cursor`.
        """
        state = restore_state(self.data)
        if state.next_offset != self.cursor:
            raise CodecError(
                f"Expected cursor {self.cursor}, found {state.next_offset}."
            )
        return state


class _PartialSnapshot:
    def __init__(self, count: int) -> None:
        self.count = count
        self.pieces: dict[int, bytes] = {}


class SnapshotCollector:
    """Collects chunks and retains the newest complete snapshots.

    Args:
        keys: The system's log keys; a checksum under any of the keys is
            accepted, so that a key can be replaced.

    Attributes:
        snapshots: Complete snapshots, newest first, at most `MAX_SNAPSHOTS`.
        refused: Number of records that were not a valid chunk, or that
            completed a snapshot with a wrong checksum.
    """

    def __init__(self, keys: Sequence[str] = ()) -> None:
        self._keys = tuple(keys) or ("",)
        self.snapshots: list[Snapshot] = []
        self.refused = 0
        self._partial: collections.OrderedDict[
            tuple[FencingNumber, Offset, str, int], _PartialSnapshot
        ] = collections.OrderedDict()

    def add(self, data: bytes) -> None:
        """Adds a record of the `snapshots` stream; any order is allowed."""
        try:
            chunk = decode_chunk(data)
        except CodecError as error:
            self._record_refusal(error.message)
            return
        if any(snapshot.cursor == chunk.cursor for snapshot in self.snapshots):
            return
        # Two writers may write concurrently. The key prevents chunks of
        # different snapshots from being joined.
        key = (chunk.fencing, chunk.cursor, chunk.checksum, chunk.count)
        partial = self._partial.setdefault(key, _PartialSnapshot(chunk.count))
        partial.pieces[chunk.index] = chunk.data
        if len(partial.pieces) == partial.count:
            del self._partial[key]
            self._add_complete_snapshot(chunk, partial)
        while len(self._partial) > MAX_PARTIAL_SNAPSHOTS:
            self._partial.popitem(last=False)

    def get_cursor(self) -> Offset:
        """Returns the cursor of the newest complete snapshot, or 0."""
        return self.snapshots[0].cursor if self.snapshots else Offset(0)

    def get_covering(self, first_offset: Offset) -> list[Snapshot]:
        """Returns the snapshots after which no record is missing.

        Args:
            first_offset: Oldest offset that the `control` stream still has.

        Returns:
            Snapshots with a cursor at or after `first_offset`, newest first.
        """
        return [
            snapshot
            for snapshot in self.snapshots
            if snapshot.cursor >= first_offset
        ]

    def _add_complete_snapshot(
        self, last: SnapshotChunk, partial: _PartialSnapshot
    ) -> None:
        data = b"".join(partial.pieces[i] for i in range(partial.count))
        if not any(
            hmac.compare_digest(get_checksum(data, key), last.checksum)
            for key in self._keys
        ):
            self._record_refusal(
                f"Snapshot at {last.cursor} has a wrong checksum."
            )
            return
        self.snapshots.append(Snapshot(last.cursor, data))
        self.snapshots.sort(key=lambda snapshot: snapshot.cursor, reverse=True)
        del self.snapshots[MAX_SNAPSHOTS:]

    def _record_refusal(self, message: str) -> None:
        self.refused += 1
        _log.error("snapshot_refused", extra={"error": message})

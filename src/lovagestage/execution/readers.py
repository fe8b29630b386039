"""A run's answer and the connections that read it, each at its own speed."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from lovagestage.bus.transport import PeerId
from lovagestage.messages.envelope import Message
from lovagestage.messages.runs import Chunk, Dispatch, Finished, Refused

WINDOW_BYTES = 128 * 1024
"""Number of bytes in flight to a reader, sent and not acknowledged, from which
on no further chunk is sent to it."""
COALESCE_BYTES = 32 * 1024
"""Size in bytes up to which waiting chunks are joined into one message, because
a message costs the same for one token as for a hundred."""
MAX_READ_AHEAD_BYTES = 256 * 1024
"""Number of bytes ahead of the fastest reader beyond which the sidecar stops
reading the engine."""

READ_INTERVAL_PER_RUN_S = 0.0015
MAX_UNPACED_RUNS = 8
MAX_READ_INTERVAL_S = 0.02

Send = Callable[[PeerId, Message], bool]


def get_read_interval_s(running: int) -> float:
    """Returns the time between two reads of one engine stream.

    Each read costs about the same for one token as for several. With many
    streams the tokens of some tens of milliseconds are read together, a delay
    that readers do not notice; with few streams each token is forwarded as it
    arrives.

    Args:
        running: Number of runs in progress.

    Returns:
        Seconds.
    """
    if running <= MAX_UNPACED_RUNS:
        return 0.0
    return min(MAX_READ_INTERVAL_S, running * READ_INTERVAL_PER_RUN_S)


@dataclasses.dataclass
class Reader:
    """One connection that reads a run.

    Attributes:
        peer: The connection.
        next_seq: Sequence number of the next chunk to send.
        acked_seq: The reader has acknowledged all chunks before this number.
        ended: Whether the end of the run was sent.
    """

    peer: PeerId
    next_seq: int
    acked_seq: int
    ended: bool = False


@dataclasses.dataclass
class Run:
    """One execution of a request.

    Attributes:
        dispatch: The request.
        readers: Connections that read the run.
        chunks: The answer so far.
        sizes: Cumulative size of the answer in bytes: before each chunk, and
            in total.
        end: How the run ended; None while it is in progress.
        ended_at_s: Monotonic time of the end, in seconds.
        task: The task that executes the run.
        readers_changed: Set when a reader is added or removed, or acknowledges
            chunks.
    """

    dispatch: Dispatch
    readers: dict[PeerId, Reader] = dataclasses.field(default_factory=dict)
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    sizes: list[int] = dataclasses.field(default_factory=lambda: [0])
    end: Finished | Refused | None = None
    ended_at_s: float = 0.0
    task: asyncio.Task[None] | None = None
    readers_changed: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    @property
    def size_bytes(self) -> int:
        """Size of the answer so far, in bytes."""
        return self.sizes[-1]

    def add_chunk(self, data: bytes) -> None:
        """Appends a chunk to the answer.

        Args:
            data: Bytes of the answer.
        """
        self.chunks.append(data)
        self.sizes.append(self.sizes[-1] + len(data))

    def attach(self, peer: PeerId, from_seq: int) -> Reader:
        """Adds a reader, or sets an existing one back to `from_seq`.

        Args:
            peer: The connection.
            from_seq: Sequence number of the first chunk to send.
        """
        from_seq = max(0, min(from_seq, len(self.chunks)))
        self.readers[peer] = Reader(peer, from_seq, from_seq)
        self.readers_changed.set()
        return self.readers[peer]

    def acknowledge(self, peer: PeerId, next_seq: int) -> Reader | None:
        """Records which chunks a reader has acknowledged.

        Args:
            peer: The connection.
            next_seq: The reader has consumed all chunks before this number.

        Returns:
            The reader; None where the acknowledgement is not new.
        """
        reader = self.readers.get(peer)
        if reader is None or next_seq <= reader.acked_seq:
            return None
        reader.acked_seq = min(next_seq, reader.next_seq)
        self.readers_changed.set()
        return reader

    def remove_reader(self, peer: PeerId) -> None:
        """Removes the reader that reads over a connection, if there is one."""
        if self.readers.pop(peer, None) is not None:
            self.readers_changed.set()

    def is_too_far_ahead(self) -> bool:
        """Returns whether the answer is too far ahead of its fastest reader.

        A run without readers is not stopped: its answer may still be asked
        for, and the engine's token limit bounds its size.
        """
        if not self.readers:
            return False
        fastest = max(reader.acked_seq for reader in self.readers.values())
        return self.size_bytes - self.sizes[fastest] > MAX_READ_AHEAD_BYTES

    def is_delivered(self) -> bool:
        """Returns whether the run's end was sent to all of its readers."""
        return self.end is not None and all(
            reader.ended for reader in self.readers.values()
        )

    def send_available(self, reader: Reader, send: Send) -> None:
        """Sends the chunks that the reader's window has space for.

        Args:
            reader: The reader.
            send: Sends a message to a connection; returns whether it could.
        """
        while reader.next_seq < len(self.chunks):
            in_flight_bytes = (
                self.sizes[reader.next_seq] - self.sizes[reader.acked_seq]
            )
            if in_flight_bytes >= WINDOW_BYTES:
                return
            chunk = self._join_chunks(reader.next_seq)
            if not send(reader.peer, chunk):
                # The send queue is full or the connection is closed. The next
                # timer, acknowledgement or attachment sends again.
                return
            reader.next_seq += chunk.count
        if self.end is not None and not reader.ended:
            reader.ended = send(reader.peer, self.end)

    def _join_chunks(self, start: int) -> Chunk:
        stop = start + 1
        limit = self.sizes[start] + COALESCE_BYTES
        while stop < len(self.chunks) and self.sizes[stop + 1] <= limit:
            stop += 1
        data = self.chunks[start]
        if stop > start + 1:
            data = b"".join(self.chunks[start:stop])
        return Chunk(
            self.dispatch.request_id,
            self.dispatch.attempt,
            start,
            data,
            stop - start,
        )

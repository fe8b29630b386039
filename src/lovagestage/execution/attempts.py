"""The reading side of a run: one attempt at a request, as its entry sees it."""

from __future__ import annotations

import asyncio
import collections
import time

from lovagestage.exceptions import RequestRefusedError
from lovagestage.execution.readers import WINDOW_BYTES
from lovagestage.messages.runs import (
    Accepted,
    Ack,
    Attach,
    Cancel,
    Chunk,
    Finished,
    Refused,
)
from lovagestage.types import RequestId, VmId

ACK_BYTES = WINDOW_BYTES // 4

AttemptKey = tuple[RequestId, int]
Event = Accepted | Chunk | Finished | Refused
Outcome = Chunk | Finished | Refused | RequestRefusedError


class Attempt:
    """Reads one run of a request in order.

    Attributes:
        key: Request id and attempt number.
        vm: The upstream.
        incarnation: The only sidecar process that may execute the run.
        accepted: Whether the sidecar may have run the request.
        next_seq: Sequence number of the next expected chunk.
        sent_s: Monotonic time of the dispatch, in seconds.
        last_event_s: Monotonic time of the latest event, in seconds.
        has_yielded_output: Whether a part of the answer has been read, so that
            the caller may have received it.
    """

    def __init__(self, key: AttemptKey, vm: VmId, incarnation: int) -> None:
        self.key = key
        self.vm = vm
        self.incarnation = incarnation
        self.accepted = False
        self.next_seq = 0
        self.sent_s = time.monotonic()
        self.last_event_s = self.sent_s
        self.has_yielded_output = False
        self._unacked_bytes = 0
        self._out_of_order: dict[int, Chunk] = {}
        self._end: Finished | Refused | None = None
        self._ready: collections.deque[Outcome] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None

    @property
    def upstream(self) -> str:
        """Name of the sidecar's process, different for each of its starts."""
        return f"{self.vm}/{self.incarnation}"

    @property
    def is_idle(self) -> bool:
        """Whether all outcomes that are ready have been read."""
        return not self._ready

    def add(self, event: Event) -> None:
        """Adds an event of the run; late and repeated chunks are dropped.

        Args:
            event: The message from the sidecar.
        """
        self.last_event_s = time.monotonic()
        self.accepted = True
        match event:
            case Accepted():
                return
            case Chunk():
                if event.seq >= self.next_seq:
                    self._out_of_order[event.seq] = event
            case _:
                self._end = event
        self._deliver_in_order()

    def fail(self, error: RequestRefusedError) -> None:
        """Ends the attempt with an error, after the chunks that have arrived.

        Args:
            error: The error.
        """
        self._enqueue(error)

    async def get(self) -> Outcome:
        """Waits for the next outcome.

        Returns:
            The next chunks in order, joined into one, or the end.
        """
        while not self._ready:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        first = self._ready.popleft()
        if not isinstance(first, Chunk):
            return first
        self.has_yielded_output = True
        return self._join_chunks(first) if self._ready else first

    def make_ack(self, chunk: Chunk) -> Ack | None:
        """Makes the acknowledgement that may be due for a chunk.

        Args:
            chunk: The chunk that was yielded.

        Returns:
            The acknowledgement; None until `ACK_BYTES` are unacknowledged.
        """
        self._unacked_bytes += len(chunk.data)
        if self._unacked_bytes < ACK_BYTES:
            return None
        self._unacked_bytes = 0
        return Ack(*self.key, chunk.seq + chunk.count)

    def make_attach(self) -> Attach:
        """Makes the message that asks for the chunks that are missing."""
        return Attach(*self.key, self.next_seq, self.incarnation)

    def make_cancel(self) -> Cancel:
        """Makes the message that cancels the run."""
        return Cancel(*self.key)

    def _join_chunks(self, first: Chunk) -> Chunk:
        chunks = [first]
        while self._ready and isinstance(self._ready[0], Chunk):
            chunk = self._ready.popleft()
            assert isinstance(chunk, Chunk)
            chunks.append(chunk)
        return Chunk(
            *self.key,
            first.seq,
            b"".join(chunk.data for chunk in chunks),
            sum(chunk.count for chunk in chunks),
        )

    def _deliver_in_order(self) -> None:
        while self.next_seq in self._out_of_order:
            chunk = self._out_of_order.pop(self.next_seq)
            self.next_seq += chunk.count
            self._enqueue(chunk)
        end = self._end
        if end is None:
            return
        if isinstance(end, Refused) or end.chunks == self.next_seq:
            self._enqueue(end)

    def _enqueue(self, outcome: Outcome) -> None:
        self._ready.append(outcome)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

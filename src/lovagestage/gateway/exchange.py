"""One attempt at one upstream, and what its end proves of the run."""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

import lovagestage.platform.headers as wire
from lovagestage.adapters.http1 import ClientConnection
from lovagestage.exceptions import (
    AttemptFailedError,
    ConnectionLostError,
    WrongMessageError,
)
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.messages import AnswerHead, OutgoingCall
from lovagestage.gateway.silence import get_patience_s
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import RunState

MAX_SKIPPED = 2
"""Late answers to earlier requests that are read past; an upstream sends one
second answer to a request."""
_BAD_GATEWAY_CODES = (502, 503, 504)


class Exchange:
    """Sends a request to an upstream and reads the answer.

    Leaving the context before the whole answer has been read closes the
    connection, which stops the upstream's work.

    Args:
        pool: Connections.
        upstream: Where to.
        call: What to send.
        is_repeatable: Whether the request may run again.
        expected_s: Time that its answer is expected to take to begin; None
            while too little is known.
        work_s: Time that it takes of the upstream by itself.

    Attributes:
        upstream: Where to.
        head: Head of the answer, once read.
        is_whole: Whether the whole answer has been read.
        connect_s: Time that the connection took to open; 0 for a kept one.
        head_s: Time from sending the request to the head of its answer.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        upstream: Upstream,
        call: OutgoingCall,
        is_repeatable: bool,
        expected_s: float | None,
        work_s: float,
    ) -> None:
        self.upstream = upstream
        self.head: AnswerHead | None = None
        self.is_whole = False
        self.connect_s = 0.0
        self.head_s = 0.0
        self._pool = pool
        self._call = call
        self._is_repeatable = is_repeatable
        self._expected_s = expected_s
        self._waiting_s = work_s
        self._connection: ClientConnection | None = None
        # A kept connection that breaks is followed by a new one. The request
        # may have run on the first, also where the second does not open.
        self._has_sent = False
        # Under this number the upstream's silence counts while it waits.
        self._waiting_number: int | None = None
        self._is_placed = False

    async def __aenter__(self) -> Self:
        performance, now_s = self.upstream.performance, get_elapsed_s()
        performance.note_sent(now_s)
        performance.running += 1
        self._place()
        performance.waiting_s += self._waiting_s
        self._waiting_number = performance.silence.add(
            now_s, get_patience_s(self._expected_s)
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        performance, now_s = self.upstream.performance, get_elapsed_s()
        performance.running -= 1
        if performance.silence.is_stalled(now_s):
            # The request is given up, at its deadline or by its caller, and
            # with it goes the sign that its upstream hangs.
            performance.note_absent(now_s)
        self._end_silence()
        self._end_wait()
        if self._is_placed:
            self.upstream.warmup.note_withdrawn()
        connection, head = self._connection, self.head
        if connection is None:
            return
        if self.is_whole and head is not None and not head.closes:
            self._pool.release(self.upstream, connection, head.idle_timeout_s)
        else:
            connection.abort()

    def note_begun(self, time_s: float) -> None:
        """Notes that the answer has begun, so many seconds after its call."""
        self._end_wait()
        if self._expected_s is not None:
            self.upstream.performance.note_time(time_s, self._expected_s)

    async def fetch_head(self) -> AnswerHead:
        """Sends the request and reads the head of its answer.

        Raises:
            AttemptFailedError: There is no answer to pass on.
        """
        while True:
            started_s = get_elapsed_s()
            connection = await self._connect()
            sent_s = get_elapsed_s()
            self.connect_s = sent_s - started_s
            was_used = connection.uses > 0
            try:
                head = await self._ask(connection)
            except ConnectionLostError as error:
                if was_used and self._is_repeatable:
                    # The upstream closed it while it was idle.
                    connection.abort()
                    self._place()
                    continue
                raise AttemptFailedError(
                    "connection_lost", RunState.UNKNOWN
                ) from error
            except WrongMessageError as error:
                raise AttemptFailedError(
                    "wrong_bytes", RunState.UNKNOWN
                ) from error
            self.upstream.performance.note_heard()
            self.upstream.performance.silence.note_heard(get_elapsed_s())
            self._end_silence()
            self._check_head(head)
            self.head = head
            self.head_s = get_elapsed_s() - sent_s
            return head

    async def fetch_part(self) -> bytes | None:
        """Reads a part of the body; None after the whole of it.

        Raises:
            AttemptFailedError: The answer broke off.
        """
        assert self._connection is not None
        try:
            part = await self._connection.receive_part()
        except (ConnectionLostError, WrongMessageError) as error:
            raise AttemptFailedError("answer_broken", RunState.RAN) from error
        self.upstream.performance.silence.note_heard(get_elapsed_s())
        self.is_whole = part is None
        return part

    async def fetch_body(self, limit_bytes: int) -> bytes:
        """Reads the whole body; fails as `fetch_part` does."""
        parts = []
        size = 0
        while (part := await self.fetch_part()) is not None:
            parts.append(part)
            size += len(part)
            if size > limit_bytes:
                raise AttemptFailedError("answer_too_long", RunState.RAN)
        return b"".join(parts)

    def _place(self) -> None:
        self._is_placed = True
        self.upstream.warmup.note_placed()

    def _end_silence(self) -> None:
        if self._waiting_number is not None:
            self.upstream.performance.silence.remove(self._waiting_number)
            self._waiting_number = None

    def _end_wait(self) -> None:
        self.upstream.performance.waiting_s -= self._waiting_s
        self._waiting_s = 0.0

    async def _connect(self) -> ClientConnection:
        performance, begun_s = self.upstream.performance, get_elapsed_s()
        performance.note_connecting(begun_s)
        try:
            self._connection = await self._pool.acquire(
                self.upstream, self._is_repeatable
            )
        except ConnectionLostError as error:
            self._connection = None
            raise AttemptFailedError(
                "unreachable",
                RunState.UNKNOWN if self._has_sent else RunState.NOT_RUN,
                has_arrived=self._has_sent,
            ) from error
        finally:
            performance.note_connect_ended(begun_s)
        return self._connection

    async def _ask(self, connection: ClientConnection) -> AnswerHead:
        call = self._call
        request = call.request
        self._has_sent = True
        self._is_placed = False
        self.upstream.warmup.note_sent(get_elapsed_s())
        connection.send(
            request.method,
            request.target,
            wire.encode_request(call),
            request.body,
        )
        for _ in range(MAX_SKIPPED):
            head = wire.decode_answer(await connection.receive_head())
            if head.request_id in (None, request.id):
                return head
            # A second answer to an earlier request came first.
            while await connection.receive_part() is not None:
                await asyncio.sleep(0)
            connection.skip_answer()
        raise WrongMessageError("Answers to other requests.")

    def _check_head(self, head: AnswerHead) -> None:
        if head.is_other_instance:
            raise AttemptFailedError("other_instance", RunState.NOT_RUN)
        if head.is_not_run:
            raise AttemptFailedError(
                "refused", RunState.NOT_RUN, at_fault=False
            )
        if not head.is_signed and head.status in _BAD_GATEWAY_CODES:
            raise AttemptFailedError("unsigned_failure", RunState.UNKNOWN)
        if head.has_encoding:
            raise AttemptFailedError("encoded", RunState.RAN)
        if not head.is_signed and head.status < 300:
            raise AttemptFailedError("unsigned", RunState.RAN)

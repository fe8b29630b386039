"""Sends one attempt to an upstream and reports whether the request ran."""

from __future__ import annotations

from types import TracebackType
from typing import Self

import lovagestage.platform.headers as wire
from lovagestage.adapters.http1 import ClientConnection
from lovagestage.exceptions import (
    AttemptFailedError,
    UpstreamConnectionError,
    UpstreamMessageError,
)
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.connections import ConnectionPool
from lovagestage.gateway.messages import AnswerHead, OutgoingCall
from lovagestage.gateway.stall_detection import get_stall_timeout_s
from lovagestage.gateway.upstream import Upstream
from lovagestage.gateway.upstream_guard import UpstreamGuard
from lovagestage.types import RunState

MAX_HEADS_READ = 4
"""Number of answer heads that are read to find the answer to a request; if none
belongs to it, the attempt fails. Late second answers to the last few requests
on the connection may come first."""
MAX_UNSTATED_BYTES = 1024 * 1024
"""Longest plain answer in bytes of which no length is stated. It may have no
end, and is held in memory until it is known to have one."""
MAX_BODY_PARTS = 1024
"""Parts in which a plain answer may be received, however small they are."""
MIN_PART_BYTES = 16
"""Bytes of a plain answer for which it may be received in one part more."""
_STATUSES_WITHOUT_BODY = (204, 304)
_BAD_GATEWAY_CODES = (502, 503, 504)


class Exchange:
    """Sends a request to an upstream and reads the answer.

    Leaving the context before the answer was read completely closes the
    connection, which makes the upstream stop working on the request.

    Args:
        pool: Connections to upstreams.
        guard: Decides whether the upstream may get the request.
        upstream: The upstream that gets the request.
        call: The request to send.
        is_repeatable: Whether the request may run more than once.
        expected_s: Expected time in seconds until the answer starts; None while
            too few answers have been observed.
        work_s: Time in seconds that the request takes at an idle upstream.

    Attributes:
        upstream: The upstream that gets the request.
        head: Head of the answer; None until it was read.
        is_complete: Whether the answer has been read completely.
        connect_s: Time in seconds that opening the connection took; about 0 for
            a pooled connection.
        head_s: Time in seconds from sending the request to receiving the head
            of its answer.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        guard: UpstreamGuard,
        upstream: Upstream,
        call: OutgoingCall,
        is_repeatable: bool,
        expected_s: float | None,
        work_s: float,
    ) -> None:
        self.upstream = upstream
        self.head: AnswerHead | None = None
        self.is_complete = False
        self.connect_s = 0.0
        self.head_s = 0.0
        self._pool = pool
        self._guard = guard
        self._call = call
        self._is_repeatable = is_repeatable
        self._expected_s = expected_s
        self._pending_work_s = work_s
        self._connection: ClientConnection | None = None
        # If a pooled connection breaks, the request is sent again on a new one.
        # It may have run on the first connection, even if the second one cannot
        # be opened.
        self._has_sent = False
        # Key of this request in the upstream's stall detector; None once the
        # request no longer counts as waiting.
        self._inactivity_key: int | None = None
        self._is_placed = False

    async def __aenter__(self) -> Self:
        performance, now_s = self.upstream.performance, get_elapsed_s()
        performance.record_sent(now_s)
        performance.running += 1
        self._place()
        performance.waiting_s += self._pending_work_s
        self._inactivity_key = performance.stall_detector.add(
            now_s, get_stall_timeout_s(self._expected_s)
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
        if performance.stall_detector.is_stalled(now_s):
            # The request is abandoned, for example at its deadline or because
            # its caller left. Removing it also removes the sign that its
            # upstream hangs, so the upstream is recorded as unavailable here.
            performance.record_unreachable(now_s)
        self._end_inactivity_check()
        self._remove_pending_work()
        if self._is_placed:
            self.upstream.sends.record_withdrawn()
        connection, head = self._connection, self.head
        if connection is None:
            return
        if self.is_complete and head is not None and not head.closes_connection:
            self._pool.release(self.upstream, connection, head.idle_timeout_s)
        else:
            connection.abort()

    def record_answer_start(self, time_s: float) -> None:
        """Records that the answer has started.

        Args:
            time_s: Time in seconds from the start of the call.
        """
        self._remove_pending_work()
        if self._expected_s is not None:
            self.upstream.performance.record_answer_time(
                time_s, self._expected_s
            )

    async def fetch_head(self) -> AnswerHead:
        """Sends the request and reads the head of its answer.

        Returns:
            The head of the answer.

        Raises:
            AttemptFailedError: There is no answer that may be forwarded.
        """
        while True:
            started_s = get_elapsed_s()
            connection = await self._connect()
            self._check_permission()
            sent_s = get_elapsed_s()
            self.connect_s = sent_s - started_s
            was_reused = connection.requests_sent > 0
            try:
                head = await self._send_call(connection)
            except UpstreamConnectionError as error:
                if was_reused and self._is_repeatable:
                    # The upstream probably closed the pooled connection while
                    # it was idle, or sent more than its last answer.
                    connection.abort()
                    self._place()
                    continue
                raise AttemptFailedError(
                    "connection_lost", RunState.UNKNOWN
                ) from error
            except UpstreamMessageError as error:
                raise AttemptFailedError(
                    "wrong_bytes", RunState.UNKNOWN
                ) from error
            self.upstream.performance.record_received()
            self.upstream.performance.stall_detector.record_data(
                get_elapsed_s()
            )
            self._end_inactivity_check()
            self._check_head(head)
            self.head = head
            self.head_s = get_elapsed_s() - sent_s
            return head

    async def fetch_chunk(self) -> bytes | None:
        """Reads a chunk of the answer's body.

        Returns:
            The chunk; None after the end of the body.

        Raises:
            AttemptFailedError: The answer ended before it was complete.
        """
        assert self._connection is not None
        try:
            chunk = await self._connection.receive_body_part()
        except (UpstreamConnectionError, UpstreamMessageError) as error:
            raise AttemptFailedError("answer_broken", RunState.RAN) from error
        self.upstream.performance.stall_detector.record_data(get_elapsed_s())
        self.is_complete = chunk is None
        return chunk

    async def fetch_body(self, limit_bytes: int) -> bytes:
        """Reads the complete body of the answer.

        Args:
            limit_bytes: Longest body that is accepted, of a stated length.

        Returns:
            The body.

        Raises:
            AttemptFailedError: The body is too long, comes in too many parts
                or ended before it was complete.
        """
        assert self.head is not None
        length_bytes = self.head.length_bytes
        if length_bytes is None:
            limit_bytes = min(limit_bytes, MAX_UNSTATED_BYTES)
        elif length_bytes > limit_bytes and self._has_body():
            raise AttemptFailedError("answer_too_long", RunState.RAN)
        body = bytearray()
        parts = 0
        while (chunk := await self.fetch_chunk()) is not None:
            body += chunk
            parts += 1
            max_parts = MAX_BODY_PARTS + len(body) // MIN_PART_BYTES
            if len(body) > limit_bytes or parts > max_parts:
                raise AttemptFailedError("answer_too_long", RunState.RAN)
        return bytes(body)

    def _has_body(self) -> bool:
        assert self.head is not None
        is_head_only = self._call.request.method == b"HEAD"
        return not (is_head_only or self.head.status in _STATUSES_WITHOUT_BODY)

    def _place(self) -> None:
        self._is_placed = True
        self.upstream.sends.record_placed()

    def _end_inactivity_check(self) -> None:
        if self._inactivity_key is not None:
            self.upstream.performance.stall_detector.remove(
                self._inactivity_key
            )
            self._inactivity_key = None

    def _remove_pending_work(self) -> None:
        self.upstream.performance.waiting_s -= self._pending_work_s
        self._pending_work_s = 0.0

    async def _connect(self) -> ClientConnection:
        performance, begun_s = self.upstream.performance, get_elapsed_s()
        performance.record_connect_start(begun_s)
        try:
            self._connection = await self._pool.acquire(
                self.upstream, self._is_repeatable
            )
        except UpstreamConnectionError as error:
            self._connection = None
            raise AttemptFailedError(
                "unreachable",
                RunState.UNKNOWN if self._has_sent else RunState.NOT_RUN,
                may_have_arrived=self._has_sent,
            ) from error
        finally:
            performance.record_connect_end(begun_s)
        return self._connection

    def _check_permission(self) -> None:
        """Checks again whether the upstream accepts the request.

        Raises:
            AttemptFailedError: It has said meanwhile that it does not, or a
                request that is sent again exceeds what it accepts.
        """
        now_s = get_elapsed_s()
        permission = self._guard.check(self.upstream, now_s, is_placed=True)
        if permission.denial is None:
            return
        raise AttemptFailedError(
            permission.denial.value,
            RunState.UNKNOWN if self._has_sent else RunState.NOT_RUN,
            is_upstream_at_fault=False,
            may_have_arrived=self._has_sent,
        )

    async def _send_call(self, connection: ClientConnection) -> AnswerHead:
        call = self._call
        request = call.request
        sent_s = get_elapsed_s()
        self._has_sent = True
        self._is_placed = False
        self.upstream.sends.record_sent(sent_s)
        connection.send(
            request.method,
            request.target,
            wire.encode_request(call),
            request.body,
        )
        for _ in range(MAX_HEADS_READ):
            head = wire.decode_answer(await connection.receive_head())
            self._check_id(head, connection)
            if head.request_id in (None, request.id):
                self._record_notices(head, sent_s)
                return head
            # This is a second answer to an earlier request on the connection.
            await connection.discard_response()
        raise UpstreamMessageError("Got only answers to other requests.")

    def _check_id(self, head: AnswerHead, connection: ClientConnection) -> None:
        """Rejects an answer that names no request on a pooled connection.

        A faulty upstream may send more bytes after a complete answer, which
        then come where the next answer is expected. On a new connection
        nothing else has been sent that they could belong to.

        Raises:
            UpstreamConnectionError: The connection can't be used any more.
        """
        was_reused = connection.requests_sent > 1
        if was_reused and self._call.request.id and head.request_id is None:
            raise UpstreamConnectionError("Got an answer without an id.")

    def _record_notices(self, head: AnswerHead, sent_s: float) -> None:
        """Records what the upstream says of itself.

        An answer of another process at this address, or one that the upstream
        did not make, says nothing of this upstream.
        """
        if head.is_other_instance or not (head.is_signed or head.is_not_run):
            return
        self._guard.record_answer(
            self.upstream, head.notices, sent_s, get_elapsed_s()
        )

    def _check_head(self, head: AnswerHead) -> None:
        if head.is_other_instance:
            raise AttemptFailedError("other_instance", RunState.NOT_RUN)
        if head.is_not_run:
            raise AttemptFailedError(
                "refused", RunState.NOT_RUN, is_upstream_at_fault=False
            )
        if not head.is_signed and head.status in _BAD_GATEWAY_CODES:
            raise AttemptFailedError("unsigned_failure", RunState.UNKNOWN)
        if head.has_encoding:
            raise AttemptFailedError("encoded", RunState.RAN)
        if not head.is_signed and head.status < 300:
            raise AttemptFailedError("unsigned", RunState.RAN)

"""Limits what is read of an upstream's answer (no I/O).

An upstream in trouble may send bytes without end, in any place where a reader
waits for something to come: ahead of a head, in a head, between chunks, in
trailers, in an answer that is read to be dropped. Each place has a limit in
bytes and, where no deadline of a request holds, in time.
"""

from __future__ import annotations

import enum

MAX_HEAD_BYTES = 64 * 1024
"""Bytes of the heads of one answer, interim ones included; the largest that
common servers allow."""
MAX_INTERIM_HEADS = 16
"""Interim heads of one answer; common servers send one or two."""
MAX_HEAD_S = 2.0
"""Time in seconds from the first byte of a head to its last one."""
MAX_DROPPED_BYTES = 256 * 1024
"""Bytes of answers that are read to be dropped. They have been sent before, so
that they are here at once."""
MAX_DROPPED_S = 1.0
"""Time in seconds in which such an answer must end."""
MAX_FRAMING_BYTES = 8 * 1024
"""Bytes of a body, beyond `FRAMING_RATIO`, that are not its content: sizes and
extensions of chunks, and trailers."""
FRAMING_RATIO = 2.0
"""Bytes of framing for each byte of content; a chunk of three bytes has so
many."""


class AnswerPart(enum.Enum):
    """Part of an answer that is being read."""

    HEAD = "head"
    BODY = "body"
    DROPPED = "dropped"
    """The body of an answer that belongs to no request that waits."""


class AnswerMeter:
    """Counts what is read of one answer.

    Args:
        now_s: Time in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._part = AnswerPart.HEAD
        self._started_s: float | None = None
        self._begun_s = now_s
        self._head_bytes = 0
        self._interim_heads = 0
        self._framing_bytes = 0
        self._content_bytes = 0
        self._dropped_bytes = 0

    def begin(self, part: AnswerPart, now_s: float) -> None:
        """Records that another part is read from now on."""
        self._part = part
        self._begun_s = now_s
        self._started_s = None

    def add_received(self, size_bytes: int, now_s: float) -> None:
        """Adds received bytes."""
        if self._started_s is None:
            self._started_s = now_s
        match self._part:
            case AnswerPart.HEAD:
                self._head_bytes += size_bytes
            case AnswerPart.BODY:
                self._framing_bytes += size_bytes
            case AnswerPart.DROPPED:
                self._dropped_bytes += size_bytes

    def add_content(self, size_bytes: int) -> None:
        """Adds bytes of a body's content, which have been received."""
        self._framing_bytes -= size_bytes
        self._content_bytes += size_bytes

    def add_interim_head(self) -> None:
        """Adds the head of an interim answer; the next one may come later."""
        self._interim_heads += 1
        self._started_s = None

    def find_excess(self, now_s: float) -> str | None:
        """Returns what exceeds its limit; None if nothing does."""
        match self._part:
            case AnswerPart.HEAD:
                return self._find_head_excess(now_s)
            case AnswerPart.BODY:
                return self._find_body_excess()
            case AnswerPart.DROPPED:
                return self._find_dropped_excess(now_s)

    def _find_head_excess(self, now_s: float) -> str | None:
        if self._head_bytes > MAX_HEAD_BYTES:
            return "head_bytes"
        if self._interim_heads > MAX_INTERIM_HEADS:
            return "interim_heads"
        started_s = self._started_s
        if started_s is not None and now_s - started_s > MAX_HEAD_S:
            return "head_time"
        return None

    def _find_body_excess(self) -> str | None:
        allowed = MAX_FRAMING_BYTES + FRAMING_RATIO * self._content_bytes
        return "framing_bytes" if self._framing_bytes > allowed else None

    def _find_dropped_excess(self, now_s: float) -> str | None:
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            return "dropped_bytes"
        if now_s - self._begun_s > MAX_DROPPED_S:
            return "dropped_time"
        return None

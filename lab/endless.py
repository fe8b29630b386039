"""Answers that never end, as workers in trouble send them.

Each form is a beginning and a block that is sent again and again until the
other side closes the connection.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum

from lab import worker as lab
from lab.worker import Arrival, Script

BLOCK_BYTES = 16 * 1024
GARBAGE = b"\xf7garbage"
"""What no sound answer holds, so that tests find it at a caller."""
_NO_LENGTH = str(10**15)


class EndlessForm(enum.Enum):
    """Where in an answer the bytes without end come."""

    BLANK_LINES = "blank_lines"
    """Ahead of the head."""
    INTERIM_HEADS = "interim_heads"
    """Heads of interim answers, ahead of the head."""
    STATUS_LINE = "status_line"
    HEADER_LINE = "header_line"
    """One header that does not end."""
    HEADERS = "headers"
    BODY = "body"
    """A body with neither a length nor chunks."""
    LONG_BODY = "long_body"
    """A body with a length that no answer has."""
    CHUNK_SIZE = "chunk_size"
    CHUNK_EXTENSION = "chunk_extension"
    """One extension of a chunk that does not end."""
    CHUNK_EXTENSIONS = "chunk_extensions"
    """Small chunks with long extensions."""
    SMALL_CHUNKS = "small_chunks"
    """Chunks of one byte."""
    TRAILERS = "trailers"
    BLANK_EVENTS = "blank_events"
    """Events of a stream that hold nothing."""
    COMMENTS = "comments"
    """Lines of a stream that never become an event."""
    OTHER_ANSWER = "other_answer"
    """The body of an answer to another request."""
    OTHER_ANSWERS = "other_answers"
    """Whole answers to another request, one after the other."""
    AFTER_ANSWER = "after_answer"
    """After a whole answer, on a connection that may be kept."""


@dataclasses.dataclass(frozen=True)
class _Endless:
    start: bytes
    block: bytes


def make_endless(form: EndlessForm, whole: Script = lab.answer_plain) -> Script:
    """Makes a worker's script that answers without end.

    Args:
        form: Where the bytes without end come.
        whole: Sends the answer of `AFTER_ANSWER`.
    """

    async def run(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        if form is EndlessForm.AFTER_ANSWER:
            await whole(arrival, writer)
        endless = _make_bytes(form, arrival)
        writer.write(endless.start)
        times = BLOCK_BYTES // len(endless.block) + 1
        while not writer.is_closing():
            writer.write(endless.block * times)
            await writer.drain()
            await asyncio.sleep(0)
        raise ConnectionResetError

    return run


def _make_bytes(form: EndlessForm, arrival: Arrival) -> _Endless:
    other = dataclasses.replace(
        arrival, headers={**arrival.headers, "attempt-id": "other"}
    )
    plain_head = lab.make_head(200, arrival)
    chunked_head = lab.make_head(200, arrival, Transfer_Encoding="chunked")
    unfinished_head = plain_head.removesuffix(b"\r\n")
    length = str(len(GARBAGE))
    status_line = plain_head.partition(b"\r\n")[0]
    extension = b"1;" + GARBAGE * 1000 + b"\r\n\xf7\r\n"
    match form:
        case EndlessForm.BLANK_LINES:
            return _Endless(b"", b"\r\n")
        case EndlessForm.INTERIM_HEADS:
            return _Endless(b"", b"HTTP/1.1 103 X\r\n\r\n")
        case EndlessForm.STATUS_LINE:
            return _Endless(status_line, GARBAGE)
        case EndlessForm.HEADER_LINE:
            return _Endless(unfinished_head + b"X: ", GARBAGE)
        case EndlessForm.HEADERS:
            return _Endless(unfinished_head, b"X: garbage\r\n")
        case EndlessForm.BODY:
            return _Endless(plain_head, GARBAGE)
        case EndlessForm.LONG_BODY:
            head = lab.make_head(200, arrival, Content_Length=_NO_LENGTH)
            return _Endless(head, GARBAGE)
        case EndlessForm.CHUNK_SIZE:
            return _Endless(chunked_head, b"0")
        case EndlessForm.CHUNK_EXTENSION:
            return _Endless(chunked_head + b"1;", GARBAGE)
        case EndlessForm.CHUNK_EXTENSIONS:
            return _Endless(chunked_head, extension)
        case EndlessForm.SMALL_CHUNKS:
            return _Endless(chunked_head, b"1\r\n\xf7\r\n")
        case EndlessForm.TRAILERS:
            return _Endless(chunked_head + b"0\r\n", b"X: garbage\r\n")
        case EndlessForm.BLANK_EVENTS:
            return _Endless(chunked_head, b"2\r\n\n\n\r\n")
        case EndlessForm.COMMENTS:
            return _Endless(chunked_head, b"a\r\n:" + GARBAGE + b"\n\r\n")
        case EndlessForm.OTHER_ANSWER:
            head = lab.make_head(200, other, Content_Length=_NO_LENGTH)
            return _Endless(head, GARBAGE)
        case EndlessForm.OTHER_ANSWERS:
            head = lab.make_head(200, other, Content_Length=length)
            return _Endless(b"", head + GARBAGE)
        case EndlessForm.AFTER_ANSWER:
            return _Endless(b"", GARBAGE)

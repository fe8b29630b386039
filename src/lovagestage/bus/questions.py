"""Questions to other processes, and the answers that belong to them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Iterator

from lovagestage.exceptions import CodecError
from lovagestage.messages.envelope import (
    Ask,
    Message,
    Reply,
    decode_message,
    encode_message,
)

_log = logging.getLogger(__name__)


class Questions:
    """The questions that wait for an answer."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Message]] = {}

    @contextlib.contextmanager
    def open(
        self, question: Message
    ) -> Iterator[tuple[Ask, asyncio.Future[Message]]]:
        """Gives what to send and the answer to wait for, until it is left."""
        call_id = next(self._ids)
        answer = asyncio.get_running_loop().create_future()
        self._waiting[call_id] = answer
        try:
            yield Ask(call_id, encode_message(question)), answer
        finally:
            del self._waiting[call_id]

    def take(self, reply: Reply) -> None:
        """Takes an answer; one that nobody waits for any more is dropped."""
        answer = self._waiting.get(reply.call_id)
        if answer is None or answer.done():
            return
        try:
            answer.set_result(decode_message(reply.payload))
        except CodecError as error:
            _log.warning("undecodable_reply", extra={"error": error.message})

"""Queries to other processes, matched with their replies by call id."""

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


class PendingQueries:
    """Queries to other processes that wait for a reply."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Message]] = {}

    @contextlib.contextmanager
    def register_query(
        self, query: Message
    ) -> Iterator[tuple[Ask, asyncio.Future[Message]]]:
        """Registers a query as pending while the context is open.

        Args:
            query: The query to send.

        Yields:
            The message to send, and the future that receives the reply.
        """
        call_id = next(self._ids)
        answer = asyncio.get_running_loop().create_future()
        self._waiting[call_id] = answer
        try:
            yield Ask(call_id, encode_message(query)), answer
        finally:
            del self._waiting[call_id]

    def resolve(self, reply: Reply) -> None:
        """Delivers a reply to its pending query; drops a reply without one."""
        answer = self._waiting.get(reply.call_id)
        if answer is None or answer.done():
            return
        try:
            answer.set_result(decode_message(reply.payload))
        except CodecError as error:
            _log.warning("undecodable_reply", extra={"error": error.message})

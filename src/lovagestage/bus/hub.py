"""Dispatches messages from a process's listener to its components."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from lovagestage.bus.transport import Listener, PeerId
from lovagestage.exceptions import CodecError
from lovagestage.messages.envelope import (
    Ask,
    Message,
    Reply,
    decode_message,
    encode_message,
)

_log = logging.getLogger(__name__)

Handler = Callable[[PeerId, Message], None]
Answerer = Callable[[Message], Awaitable[Message]]


class Hub:
    """Routes messages by type to the components that registered for them.

    A component registers when it is constructed, either as a handler of
    messages of a type, or to answer queries of a type. A query arrives
    inside `Ask`, and its answer is sent back inside `Reply`.
    """

    def __init__(self) -> None:
        self._handlers: dict[type[Message], Handler] = {}
        self._answerers: dict[type[Message], Answerer] = {}
        self._answer_tasks: set[asyncio.Task[None]] = set()
        self._listener: Listener | None = None

    def set_listener(self, listener: Listener) -> None:
        """Sets the listener that sends the answers; called once."""
        self._listener = listener

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Calls `handler` with each message of type `kind`."""
        self._handlers[kind] = handler

    def register_query_handler(
        self, kind: type[Message], answerer: Answerer
    ) -> None:
        """Answers each query of type `kind` with the result of `answerer`."""
        self._answerers[kind] = answerer

    def send(self, peer: PeerId, message: Message) -> bool:
        """Sends a message to a connection.

        Returns:
            False if there is no listener yet, the connection is closed or its
            send queue is full.
        """
        return self._listener is not None and self._listener.send(peer, message)

    def on_message(self, peer: PeerId, message: Message) -> None:
        """Dispatches one message; the listener calls it."""
        if isinstance(message, Ask):
            self._on_ask(peer, message)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            _log.warning(
                "unexpected_message", extra={"kind": type(message).__name__}
            )
            return
        handler(peer, message)

    def _on_ask(self, peer: PeerId, ask: Ask) -> None:
        try:
            query = decode_message(ask.payload)
        except CodecError as error:
            _log.warning("undecodable_ask", extra={"error": error.message})
            return
        answerer = self._answerers.get(type(query))
        if answerer is None:
            _log.warning("unexpected_ask", extra={"kind": type(query).__name__})
            return
        task = asyncio.create_task(
            self._answer(peer, ask.call_id, answerer, query)
        )
        self._answer_tasks.add(task)
        task.add_done_callback(self._answer_tasks.discard)

    async def _answer(
        self,
        peer: PeerId,
        call_id: int,
        answerer: Answerer,
        query: Message,
    ) -> None:
        answer = await answerer(query)
        self.send(peer, Reply(call_id, encode_message(answer)))

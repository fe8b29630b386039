"""Hands messages that arrive at a process's listener to its parts."""

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
    """Routes messages by type; parts register at construction.

    A part registers either for messages of a type, or to answer questions:
    messages that come inside `Ask` and whose answer goes back inside `Reply`.
    """

    def __init__(self) -> None:
        self._handlers: dict[type[Message], Handler] = {}
        self._answerers: dict[type[Message], Answerer] = {}
        self._answers: set[asyncio.Task[None]] = set()
        self._listener: Listener | None = None

    def set_listener(self, listener: Listener) -> None:
        """Gives the hub the listener to answer through; called once."""
        self._listener = listener

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Calls `handler` with each message of `kind`."""
        self._handlers[kind] = handler

    def register_answer(self, kind: type[Message], answerer: Answerer) -> None:
        """Answers each question of `kind` with what `answerer` returns."""
        self._answerers[kind] = answerer

    def send(self, peer: PeerId, message: Message) -> bool:
        """Sends to a connection; False where it is gone or its queue full."""
        return self._listener is not None and self._listener.send(peer, message)

    def on_message(self, peer: PeerId, message: Message) -> None:
        """Called by the listener."""
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
            question = decode_message(ask.payload)
        except CodecError as error:
            _log.warning("undecodable_ask", extra={"error": error.message})
            return
        answerer = self._answerers.get(type(question))
        if answerer is None:
            _log.warning(
                "unexpected_ask", extra={"kind": type(question).__name__}
            )
            return
        task = asyncio.create_task(
            self._answer(peer, ask.call_id, answerer, question)
        )
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)

    async def _answer(
        self,
        peer: PeerId,
        call_id: int,
        answerer: Answerer,
        question: Message,
    ) -> None:
        answer = await answerer(question)
        self.send(peer, Reply(call_id, encode_message(answer)))

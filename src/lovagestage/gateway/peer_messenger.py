"""Sends messages to the other gateways and receives theirs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import mode

from lovagestage.exceptions import CodecError, StoreError
from lovagestage.gateway.peer_messages import (
    PEER_MESSAGES_TOPIC,
    ActiveSessionsMessage,
    AnswerCountMessage,
    FailureMessage,
    GatewayMessage,
    HelloMessage,
    MessageBatch,
    OutcomeMessage,
    decode_batch,
    encode_batch,
)
from lovagestage.messages.crashes import CrashReport
from lovagestage.platform.records import Page
from lovagestage.platform.store import StoreClient
from lovagestage.types import VmId

_log = logging.getLogger(__name__)
_MessageKind = TypeVar(
    "_MessageKind",
    HelloMessage,
    FailureMessage,
    AnswerCountMessage,
    ActiveSessionsMessage,
    OutcomeMessage,
    CrashReport,
)

BATCH_DELAY_S = 0.15
"""Time in seconds for which a message waits for others to share an append. Each
call to the store adds load, and a verdict on a roll-out may be some seconds
late."""
APPEND_TIMEOUT_S = 1.0
"""Time limit in seconds for an append to the store."""
RETRY_DELAY_S = 0.5
"""Delay in seconds after a failed append before it is retried."""
MAX_QUEUED_MESSAGES = 500
"""Maximum number of messages that are queued while the store is unavailable.
The oldest are dropped first."""


class PeerMessenger(mode.Service):
    """Exchanges messages with the other gateways through a topic of the store.

    Args:
        store: Client for appends.
        vm: The gateway's VM.
        incarnation: Start time of the process in nanoseconds.
        hello: First message, which describes this gateway.
    """

    def __init__(
        self,
        store: StoreClient,
        vm: VmId,
        incarnation: int,
        hello: HelloMessage,
    ) -> None:
        super().__init__()
        self._store = store
        self._vm = vm
        self._incarnation = incarnation
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}
        self._gateways = {vm}
        self._outbox: list[GatewayMessage] = [hello]
        self._message_added = asyncio.Event()
        self._message_added.set()

    @property
    def gateway_count(self) -> int:
        """Number of gateways that have sent messages, including this one."""
        return len(self._gateways)

    def subscribe(
        self, kind: type[_MessageKind], handler: Callable[[_MessageKind], None]
    ) -> None:
        """Registers the handler for one kind of message of other gateways.

        Args:
            kind: Class of the messages.
            handler: Called with each message; replaces an earlier handler.
        """
        self._handlers[kind] = handler

    def enqueue(self, message: GatewayMessage) -> None:
        """Queues a message to the other gateways.

        If the queue is full, the oldest message is dropped and a warning
        logged.
        """
        self._outbox.append(message)
        if len(self._outbox) > MAX_QUEUED_MESSAGES:
            _log.warning("note_dropped", extra={"waiting": MAX_QUEUED_MESSAGES})
            del self._outbox[0]
        self._message_added.set()

    def on_newest(self, page: Page) -> None:
        """Applies the records; message batches have no keys."""
        self.on_records(page)

    def on_records(self, page: Page) -> None:
        """Dispatches message batches in order, except this gateway's own."""
        for record in page.records:
            try:
                batch = decode_batch(record.value or b"")
            except CodecError as error:
                _log.error("letter_refused", extra={"error": error.message})
                continue
            if (batch.vm, batch.incarnation) == (
                self._vm,
                self._incarnation,
            ):
                continue
            self._gateways.add(batch.vm)
            for message in batch.messages:
                handler = self._handlers.get(type(message))
                if handler is not None:
                    handler(message)

    def on_freshness_confirmed(self, at_s: float) -> None:
        """Does nothing: no decision depends on the age of the messages."""

    def on_update_available(self, at_s: float) -> None:
        """Does nothing: no decision depends on messages not read yet."""

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._message_added.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self._message_added.clear()
            messages, self._outbox = tuple(self._outbox), []
            try:
                await self._send(messages)
            except StoreError as error:
                _log.warning(
                    "notes_not_sent",
                    extra={"notes": len(messages), "reason": error.message},
                )
                self._outbox = [*messages, *self._outbox]
                self._message_added.set()
                await asyncio.sleep(RETRY_DELAY_S)

    async def _send(self, messages: tuple[GatewayMessage, ...]) -> None:
        if not messages:
            return
        # Retrying an append whose answer was lost is harmless: counting a
        # failure twice has little effect, and the other messages are
        # idempotent.
        batch = MessageBatch(self._vm, self._incarnation, messages)
        await self._store.append(
            PEER_MESSAGES_TOPIC, [("", encode_batch(batch))], APPEND_TIMEOUT_S
        )

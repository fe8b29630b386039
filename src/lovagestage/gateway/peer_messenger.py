"""Sends messages to the other gateways and receives theirs."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import mode
import xxhash

from lovagestage.exceptions import CodecError, StoreError
from lovagestage.gateway.clocks import get_elapsed_s
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
REWRITE_S = 60.0
"""Time in seconds for which a gateway's own batches are kept. The store may
come back from a copy that is some seconds old, and those that it has lost are
then appended again."""
MAX_SEEN_BATCHES = 2_000
"""Maximum number of batches that are remembered, so that none is applied twice
when the topic is read again."""


@dataclasses.dataclass(frozen=True)
class _OwnBatch:
    """A batch that this gateway has appended.

    Attributes:
        data: The batch as it is stored.
        appended_s: Elapsed time in seconds of the append.
    """

    data: bytes
    appended_s: float


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
        self._unsent: collections.deque[bytes] = collections.deque()
        self._own_batches: collections.deque[_OwnBatch] = collections.deque()
        self._seen: dict[int, None] = {}
        self._own_found: set[int] = set()
        self._must_find_own = False

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

    def on_copy(self, page: Page) -> None:
        """Applies the records; message batches have no keys."""
        self.on_records(page)

    def on_era_changed(self) -> None:
        """Looks for this gateway's batches in what is read from now on."""
        self._own_found.clear()
        self._must_find_own = True

    def on_records(self, page: Page) -> None:
        """Dispatches message batches in order, except this gateway's own.

        A batch that is read again, or was appended twice, is dispatched once.
        """
        for record in page.records:
            data = record.value or b""
            batch_hash = xxhash.xxh3_64_intdigest(data)
            try:
                batch = decode_batch(data)
            except CodecError as error:
                _log.error("letter_refused", extra={"error": error.message})
                continue
            if (batch.vm, batch.incarnation) == (
                self._vm,
                self._incarnation,
            ):
                self._own_found.add(batch_hash)
                continue
            if self._is_repeat(batch_hash):
                continue
            self._gateways.add(batch.vm)
            for message in batch.messages:
                handler = self._handlers.get(type(message))
                if handler is not None:
                    handler(message)

    def _is_repeat(self, batch_hash: int) -> bool:
        is_repeat = batch_hash in self._seen
        self._seen[batch_hash] = None
        while len(self._seen) > MAX_SEEN_BATCHES:
            del self._seen[next(iter(self._seen))]
        return is_repeat

    def on_freshness_confirmed(self, at_s: float) -> None:
        """Appends again what the store has lost, once the topic is read."""
        del at_s
        if not self._must_find_own:
            return
        self._must_find_own = False
        lost = [
            batch.data
            for batch in self._own_batches
            if xxhash.xxh3_64_intdigest(batch.data) not in self._own_found
        ]
        if lost:
            _log.warning("batches_rewritten", extra={"batches": len(lost)})
            self._unsent.extend(lost)
            self._message_added.set()

    def on_update_available(self, at_s: float) -> None:
        """Does nothing: no decision depends on messages not read yet."""

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._message_added.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self._message_added.clear()
            try:
                await self._send_all()
            except StoreError as error:
                _log.warning(
                    "notes_not_sent",
                    extra={
                        "batches": len(self._unsent),
                        "reason": error.message,
                    },
                )
                self._message_added.set()
                await asyncio.sleep(RETRY_DELAY_S)

    async def _send_all(self) -> None:
        # New messages wait in the outbox, which is bounded, while a batch
        # can't be appended.
        while self._unsent or self._outbox:
            if not self._unsent:
                messages, self._outbox = tuple(self._outbox), []
                batch = MessageBatch(self._vm, self._incarnation, messages)
                self._unsent.append(encode_batch(batch))
            await self._send(self._unsent[0])
            self._unsent.popleft()

    async def _send(self, data: bytes) -> None:
        # An append whose answer was lost is retried with the same bytes, by
        # which the others recognize a batch that was appended twice.
        await self._store.append(
            PEER_MESSAGES_TOPIC, [("", data)], APPEND_TIMEOUT_S
        )
        now_s = get_elapsed_s()
        self._own_batches.append(_OwnBatch(data, now_s))
        while self._own_batches[0].appended_s < now_s - REWRITE_S:
            self._own_batches.popleft()

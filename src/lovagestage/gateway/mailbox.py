"""Sends notes to the other gateways and takes in theirs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import mode

from lovagestage.exceptions import CodecError, StoreError
from lovagestage.gateway.notes import (
    TOPIC,
    CountNote,
    FailureNote,
    HelloNote,
    Letter,
    Note,
    OutcomeNote,
    SessionsNote,
    decode_letter,
    encode_letter,
)
from lovagestage.messages.crashes import CrashReport
from lovagestage.platform.records import Page
from lovagestage.platform.store import StoreClient
from lovagestage.types import VmId

_log = logging.getLogger(__name__)
_Kind = TypeVar(
    "_Kind",
    HelloNote,
    FailureNote,
    CountNote,
    SessionsNote,
    OutcomeNote,
    CrashReport,
)

BATCH_S = 0.15
"""Notes wait this long for others: each call to the store has its price, and
a verdict may be some seconds late."""
APPEND_TIMEOUT_S = 1.0
RETRY_S = 0.5
"""Pause after a failed append."""
MAX_WAITING = 500
"""Notes kept while the store is away; the oldest go first."""


class Mailbox(mode.Service):
    """Letters to and from the other gateways.

    Args:
        store: Client for appends.
        vm: This VM.
        incarnation: Start time of the process in nanoseconds.
        hello: What it says of itself first.
    """

    def __init__(
        self,
        store: StoreClient,
        vm: VmId,
        incarnation: int,
        hello: HelloNote,
    ) -> None:
        super().__init__()
        self._store = store
        self._vm = vm
        self._incarnation = incarnation
        self._readers: dict[type[Any], Callable[[Any], None]] = {}
        self._gateways = {vm}
        self._waiting: list[Note] = [hello]
        self._added = asyncio.Event()
        self._added.set()

    @property
    def gateways(self) -> int:
        """Gateways that have been heard of, with this one."""
        return len(self._gateways)

    def subscribe(
        self, kind: type[_Kind], reader: Callable[[_Kind], None]
    ) -> None:
        """Hands the other gateways' notes of one kind to a part."""
        self._readers[kind] = reader

    def post(self, note: Note) -> None:
        """Tells the others."""
        self._waiting.append(note)
        if len(self._waiting) > MAX_WAITING:
            _log.warning("note_dropped", extra={"waiting": MAX_WAITING})
            del self._waiting[0]
        self._added.set()

    def on_newest(self, page: Page) -> None:
        """Letters have no keys; takes them as records."""
        self.on_records(page)

    def on_records(self, page: Page) -> None:
        """Takes letters in order; own ones are known already."""
        for record in page.records:
            try:
                letter = decode_letter(record.value or b"")
            except CodecError as error:
                _log.error("letter_refused", extra={"error": error.message})
                continue
            if (letter.vm, letter.incarnation) == (
                self._vm,
                self._incarnation,
            ):
                continue
            self._gateways.add(letter.vm)
            for note in letter.notes:
                reader = self._readers.get(type(note))
                if reader is not None:
                    reader(note)

    def on_proof(self, at_s: float) -> None:
        """Nothing depends on the age of the letters."""

    def on_news(self, at_s: float) -> None:
        """Nor on letters that are not read yet."""

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._added.wait()
            await asyncio.sleep(BATCH_S)
            self._added.clear()
            notes, self._waiting = tuple(self._waiting), []
            try:
                await self._send(notes)
            except StoreError as error:
                _log.warning(
                    "notes_not_sent",
                    extra={"notes": len(notes), "reason": error.message},
                )
                self._waiting = [*notes, *self._waiting]
                self._added.set()
                await asyncio.sleep(RETRY_S)

    async def _send(self, notes: tuple[Note, ...]) -> None:
        if not notes:
            return
        # Repeating a lost append is harmless: a failure that is counted
        # twice weighs little, and the other notes are idempotent.
        letter = Letter(self._vm, self._incarnation, notes)
        await self._store.append(
            TOPIC, [("", encode_letter(letter))], APPEND_TIMEOUT_S
        )

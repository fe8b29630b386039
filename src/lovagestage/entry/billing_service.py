"""Brings an entry's bills into the log and copies them to a peer before."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
import time
from collections.abc import Coroutine, Iterator

import mode

from lovagestage.adapters.protocols import Log
from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.transport import PeerId
from lovagestage.decisions.billing import (
    BILLING_STREAM,
    Bill,
    BillingLedger,
    Peer,
    encode_batch,
)
from lovagestage.exceptions import BillingUnavailableError, LogError
from lovagestage.messages.envelope import Message
from lovagestage.messages.peers import BillCopied, BillCopy, BillRelease
from lovagestage.timers import TimerService
from lovagestage.types import VmId

_log = logging.getLogger(__name__)

COPY_TIMEOUT_S = 0.25
"""Longest time that an answer's end waits for a peer; then it goes out, and
the bill has one copy until a peer answers or the log has it."""
RENEW_INTERVAL_S = 1.0
JITTER_RATIO = 0.25
FLUSH_TIMEOUT_S = 5.0


class BillingService(mode.Service):
    """Owns the ledger of an entry.

    Args:
        ledger: The state.
        log: The platform's log.
        peers: Connections to the other entries.
        timers: Timer service.
        hub: Hands over what arrives at the listener.
        interval_s: Mean time between two appends.
        rng: Source of randomness for the spread of appends.
    """

    def __init__(
        self,
        ledger: BillingLedger,
        log: Log,
        peers: LinkTable,
        timers: TimerService,
        hub: Hub,
        interval_s: float,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._ledger = ledger
        self._platform_log = log
        self._peers = peers
        self._timers = timers
        self._interval_s = interval_s
        self._rng = rng
        self._appending = asyncio.Lock()
        self._holder: VmId | None = None
        self._tasks_open: set[asyncio.Task[None]] = set()
        hub.register(BillRelease, self._on_release)
        hub.register_answer(BillCopy, self._on_copy)

    async def on_start(self) -> None:
        """Subscribes to the timers."""
        self._timers.subscribe(RENEW_INTERVAL_S, self._on_renew_due)

    @contextlib.contextmanager
    def reserve(self) -> Iterator[None]:
        """Keeps room for the bill of a request while it is open.

        Raises:
            BillingUnavailableError: There is no room: the log has taken no
                bills for a long time.
        """
        if not self._ledger.reserve():
            _log.error("billing_buffer_full", extra=self._ledger.get_sizes())
            raise BillingUnavailableError(
                "The billing buffer is full; the request was not run.",
                retry_after_s=math.ceil(self._interval_s),
            )
        try:
            yield
        finally:
            self._ledger.release()

    async def add(self, bill: Bill) -> None:
        """Takes a bill; returns once a peer has a copy, or soon after."""
        number = self._ledger.add(bill)
        holder = self._get_holder()
        if holder is None:
            return
        copy = self._ledger.make_copy(number, holder)
        if copy is not None:
            await self._copy(copy, holder)

    def add_unattended(self, bill: Bill) -> None:
        """Takes a bill whose caller has left: nothing waits for the copy."""
        self._start(self.add(bill))

    async def flush(self) -> None:
        """Appends all bills at once: a planned stop.

        With the log out of reach, the copies remain: their holder appends
        them once this process stops renewing them.
        """
        end_s = time.monotonic() + FLUSH_TIMEOUT_S
        while self._ledger.make_batch() and time.monotonic() < end_s:
            if not await self._append():
                await asyncio.sleep(FLUSH_TIMEOUT_S / 10)
        _log.info("billing_flushed", extra=self._ledger.get_sizes())

    def get_sizes(self) -> dict[str, int]:
        """Sizes of the tables, for the state dump."""
        return self._ledger.get_sizes()

    @mode.Service.task
    async def _append_for_ever(self) -> None:
        # The first wait is spread over the whole interval: entries that start
        # together would else append together and meet the log's rate limit.
        await self.sleep(self._interval_s * self._rng.random())
        while not self.should_stop:
            await self._append()
            spread = self._rng.uniform(-JITTER_RATIO, JITTER_RATIO)
            await self.sleep(self._interval_s * (1 + spread))

    async def _append(self) -> bool:
        async with self._appending:
            batch = self._ledger.make_batch()
            if batch is None:
                return True
            try:
                await self._platform_log.append(
                    BILLING_STREAM, encode_batch(batch)
                )
            except LogError as error:
                # Also where the answer was lost: the next try may write the
                # batch a second time, and readers drop bills that they know.
                _log.warning("billing_append_failed", extra={"e": error.code})
                return False
            self._ledger.on_appended(batch)
            return True

    def _on_renew_due(self) -> None:
        taken = self._ledger.take_over_bills(time.monotonic())
        if taken:
            _log.warning("billing_taken_over", extra={"bills": taken})
        # Only the present holder is renewed. A former one takes its copies
        # over, which at worst makes duplicates.
        self._holder = self._choose_holder()
        if self._holder is None:
            return
        self._peers.send(self._holder, self._ledger.make_release())
        copy = self._ledger.make_missing_copy(self._holder)
        if copy is not None:
            self._start(self._copy(copy, self._holder))

    async def _copy(self, copy: BillCopy, holder: VmId) -> None:
        answer = await self._peers.ask(holder, copy, COPY_TIMEOUT_S)
        if isinstance(answer, BillCopied) and answer.held:
            self._ledger.on_copied(copy, holder)
        else:
            _log.warning("billing_copy_failed", extra={"peer": holder})

    def _choose_holder(self) -> VmId | None:
        links = self._peers.links
        return self._ledger.choose_holder(
            Peer(vm, links[vm].vm.zone) for vm in self._peers.get_live()
        )

    def _get_holder(self) -> VmId | None:
        link = self._peers.links.get(self._holder) if self._holder else None
        if link is None or not link.kept or not self._peers.is_heard(link):
            self._holder = self._choose_holder()
        return self._holder

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks_open.add(task)
        task.add_done_callback(self._tasks_open.discard)

    async def _on_copy(self, message: Message) -> Message:
        assert isinstance(message, BillCopy)
        return BillCopied(self._ledger.store_copies(message, time.monotonic()))

    def _on_release(self, peer: PeerId, message: Message) -> None:
        del peer
        assert isinstance(message, BillRelease)
        self._ledger.on_release(message, time.monotonic())

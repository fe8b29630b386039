"""Copies an entry's bills to a peer and appends them to the log."""

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
"""Longest time in seconds that the end of an answer waits for a peer to confirm
its copy of the bill. After that the end is sent, and the bill has one copy only
until a peer confirms a later copy or the log has accepted the bill."""
RENEW_INTERVAL_S = 1.0
JITTER_RATIO = 0.25
FLUSH_TIMEOUT_S = 5.0


class BillingService(mode.Service):
    """Runs the billing ledger of an entry.

    Args:
        ledger: The bills of this entry, and copies of other entries' bills.
        log: The platform's log.
        peers: Connections to the other entries.
        timers: Timer service.
        hub: Delivers the messages that arrive at this entry's listener.
        interval_s: Mean time between two appends, in seconds.
        rng: Source of randomness that spreads the appends over time.
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
        self._append_lock = asyncio.Lock()
        self._copy_holder: VmId | None = None
        self._background_tasks: set[asyncio.Task[None]] = set()
        hub.register(BillRelease, self._on_release)
        hub.register_query_handler(BillCopy, self._on_copy)

    async def on_start(self) -> None:
        """Subscribes to the timers."""
        self._timers.subscribe(RENEW_INTERVAL_S, self._on_renew_due)

    @contextlib.contextmanager
    def reserve_space(self) -> Iterator[None]:
        """Reserves space for the bill of a request while the request is open.

        Raises:
            BillingUnavailableError: No space is left, because the log has not
                accepted bills for a long time.
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

    async def add_bill(self, bill: Bill) -> None:
        """Adds a bill and copies it to a peer.

        The call returns once the peer has confirmed its copy, and after
        `COPY_TIMEOUT_S` at the latest. It does not wait if no peer is live.

        Args:
            bill: The bill.
        """
        number = self._ledger.add(bill)
        holder = self._get_copy_holder()
        if holder is None:
            return
        copy = self._ledger.make_copy(number, holder)
        if copy is not None:
            await self._send_copy(copy, holder)

    def add_in_background(self, bill: Bill) -> None:
        """Adds a bill whose caller has disconnected.

        The copy is sent in the background, because no caller waits for it.

        Args:
            bill: The bill.
        """
        self._start_task(self.add_bill(bill))

    async def flush(self) -> None:
        """Appends all bills immediately, before a planned stop.

        If the log is unreachable for `FLUSH_TIMEOUT_S`, the copies remain:
        the peer that holds them appends them once this process no longer
        renews them.
        """
        end_s = time.monotonic() + FLUSH_TIMEOUT_S
        while self._ledger.make_batch() and time.monotonic() < end_s:
            if not await self._append():
                await asyncio.sleep(FLUSH_TIMEOUT_S / 10)
        _log.info("billing_flushed", extra=self._ledger.get_sizes())

    def get_sizes(self) -> dict[str, int]:
        """Returns the sizes of the ledger's tables, for the state dump."""
        return self._ledger.get_sizes()

    @mode.Service.task
    async def _append_periodically(self) -> None:
        # The first wait is spread over the full interval: entries that start
        # together would otherwise append together and exceed the log's rate
        # limit.
        await self.sleep(self._interval_s * self._rng.random())
        while not self.should_stop:
            await self._append()
            spread = self._rng.uniform(-JITTER_RATIO, JITTER_RATIO)
            await self.sleep(self._interval_s * (1 + spread))

    async def _append(self) -> bool:
        async with self._append_lock:
            batch = self._ledger.make_batch()
            if batch is None:
                return True
            try:
                await self._platform_log.append(
                    BILLING_STREAM, encode_batch(batch)
                )
            except LogError as error:
                # This also covers a lost answer: the next attempt may write
                # the batch a second time, and readers drop bills that they
                # have already read.
                _log.warning("billing_append_failed", extra={"e": error.code})
                return False
            self._ledger.on_appended(batch)
            return True

    def _on_renew_due(self) -> None:
        taken_over = self._ledger.take_over_bills(time.monotonic())
        if taken_over:
            _log.warning("billing_taken_over", extra={"bills": taken_over})
        # Only the current holder is renewed. A former holder takes over the
        # copies that it has, which produces duplicate bills at worst.
        self._copy_holder = self._choose_copy_holder()
        if self._copy_holder is None:
            return
        self._peers.send(self._copy_holder, self._ledger.make_release())
        copy = self._ledger.make_missing_copy(self._copy_holder)
        if copy is not None:
            self._start_task(self._send_copy(copy, self._copy_holder))

    async def _send_copy(self, copy: BillCopy, holder: VmId) -> None:
        answer = await self._peers.ask(holder, copy, COPY_TIMEOUT_S)
        if isinstance(answer, BillCopied) and answer.held:
            self._ledger.on_copied(copy, holder)
        else:
            _log.warning("billing_copy_failed", extra={"peer": holder})

    def _choose_copy_holder(self) -> VmId | None:
        links = self._peers.links
        return self._ledger.choose_holder(
            Peer(vm, links[vm].vm.zone) for vm in self._peers.get_live()
        )

    def _get_copy_holder(self) -> VmId | None:
        link = (
            self._peers.links.get(self._copy_holder)
            if self._copy_holder
            else None
        )
        if (
            link is None
            or not link.is_permanent
            or not self._peers.is_responsive(link)
        ):
            self._copy_holder = self._choose_copy_holder()
        return self._copy_holder

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _on_copy(self, message: Message) -> Message:
        assert isinstance(message, BillCopy)
        return BillCopied(self._ledger.store_copies(message, time.monotonic()))

    def _on_release(self, peer: PeerId, message: Message) -> None:
        del peer
        assert isinstance(message, BillRelease)
        self._ledger.on_release(message, time.monotonic())

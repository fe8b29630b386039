"""What a feed does while the store fails: waits, and notices its recovery."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Awaitable, Callable

from lovagestage.exceptions import StoreError, StoreUnavailableError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.store_recovery import StoreRecoverySignal
from lovagestage.platform.store import StoreClient

_log = logging.getLogger(__name__)

BACKOFF_BASE_S = 0.1
"""Backoff in seconds after the first failed read; doubled with each failure."""
BACKOFF_LIMIT_S = 0.8
"""Longest backoff in seconds between reads of a store that fails. With this
limit, changes made during an outage are in force within a second after the
store recovers."""
STARTUP_BACKOFF_LIMIT_S = 0.3
"""Longest backoff in seconds before the store's first answer. It is shorter
because the gateway refuses every caller until then."""
RECOVERY_GRACE_S = 0.1
"""Time limit in seconds for the answer to a read that is in progress when
another feed finds that the store has recovered. A read that was sent before the
recovery usually hangs until its timeout."""

SHARED_OUTAGE_READ_INTERVAL_S = 3.0
"""Minimum interval in seconds between a follower's reads of the store while
both it and its watcher have lost the store."""


class FeedOutage:
    """The failures of one feed's reads, and its waits after them.

    Args:
        topic: The feed's topic.
        rng: Source of random numbers for the backoff.
        store_recovery: Signal shared by the feeds of a process.

    Attributes:
        last_failure_s: Elapsed time at which the store last failed to answer
            this feed or its watcher; None for never.
        own_failure_s: Elapsed time of this feed's last failure; None where the
            store has answered since.
    """

    def __init__(
        self,
        topic: str,
        rng: random.Random,
        store_recovery: StoreRecoverySignal,
    ) -> None:
        self.last_failure_s: float | None = None
        self.own_failure_s: float | None = None
        self._topic = topic
        self._rng = rng
        self._failures = 0
        self._store_recovered = store_recovery.make_event()
        self._era_changed = store_recovery.make_era_event()

    @property
    def is_lost(self) -> bool:
        """Whether the last read failed."""
        return self._failures > 0

    def record_failure_elsewhere(self, failed_s: float) -> None:
        """Records a failure of the store that this feed has not met itself.

        Args:
            failed_s: Elapsed time of the failure.
        """
        self.last_failure_s = max(failed_s, self.last_failure_s or failed_s)

    def is_shared(self, watcher_failure_s: float | None, now_s: float) -> bool:
        """Returns whether the watcher and this gateway have lost the store.

        This limits the load on a store that is down: without it, every
        gateway would read every topic each second or two. The watchers go on
        reading and notify the followers when the store recovers. This gateway
        reads rarely, in case the store is unavailable to some gateways only.

        Args:
            watcher_failure_s: Elapsed time at which the store last failed to
                answer the watcher; None for never.
            now_s: Elapsed time in seconds.
        """
        if watcher_failure_s is None or self.own_failure_s is None:
            return False
        failed_s = min(watcher_failure_s, self.own_failure_s)
        return now_s - failed_s < SHARED_OUTAGE_READ_INTERVAL_S

    async def run_read(
        self,
        read: Callable[[float], Awaitable[bool]],
        wait_s: float,
        store: StoreClient,
    ) -> bool:
        """Makes a read, and aborts it if it can bring nothing any more.

        A read that was sent while the store was lost usually hangs until its
        timeout, although another feed has reached the store again. So does one
        that the store held when it came back from a copy.

        Args:
            read: Makes the read, with the time for which the store may hold it.
            wait_s: That time in seconds; after a failure the read is sent
                without it.
            store: The client that makes the call.

        Returns:
            The result of the read.

        Raises:
            StoreUnavailableError: The read was aborted.
        """
        signal = self._store_recovered if self.is_lost else self._era_changed
        signal.clear()
        read_task = asyncio.ensure_future(read(0.0 if self.is_lost else wait_s))
        signal_task = asyncio.ensure_future(signal.wait())
        try:
            await asyncio.wait(
                (read_task, signal_task), return_when=asyncio.FIRST_COMPLETED
            )
            if not read_task.done():
                await asyncio.wait((read_task,), timeout=RECOVERY_GRACE_S)
            if not (read_task.done() or store.is_receiving):
                raise StoreUnavailableError(
                    "Read aborted: another feed has reached the store."
                )
            return await read_task
        finally:
            signal_task.cancel()
            read_task.cancel()
            # An aborted read must close its connection before the next call.
            await asyncio.wait((read_task, signal_task))

    async def wait_after_failure(
        self, error: StoreError, was_synced: bool
    ) -> None:
        """Records a failed read and waits until the next one is due.

        Args:
            error: How the read failed.
            was_synced: Whether the store has answered the feed before.
        """
        self.last_failure_s = self.own_failure_s = get_elapsed_s()
        self._failures += 1
        if _is_power_of_two(self._failures):
            _log.warning(
                "store_lost",
                extra={
                    "topic": self._topic,
                    "reason": error.message,
                    "failures": self._failures,
                    "received_bytes": error.transfer.received_bytes,
                    "expected_bytes": error.transfer.expected_bytes,
                },
            )
        max_delay_s = BACKOFF_LIMIT_S if was_synced else STARTUP_BACKOFF_LIMIT_S
        delay_s = min(max_delay_s, BACKOFF_BASE_S * 2.0 ** (self._failures - 1))
        with contextlib.suppress(TimeoutError):
            delay_s *= 0.5 + 0.5 * self._rng.random()
            async with asyncio.timeout(delay_s):
                await self._store_recovered.wait()

    def record_recovery(self, source: str) -> None:
        """Records that the store, or a watcher in its place, has answered."""
        if self._failures:
            _log.info(
                "store_regained",
                extra={
                    "topic": self._topic,
                    "failures": self._failures,
                    "source": source,
                },
            )
        self._failures = 0
        self.own_failure_s = None


def _is_power_of_two(number: int) -> bool:
    """Whether a number is a power of two.

    Used to log only the first, second, fourth, eighth and so on of a series of
    equal events.
    """
    return number & (number - 1) == 0

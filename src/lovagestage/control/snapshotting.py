"""Reads and writes snapshots of the state in the log's `snapshots` stream."""

from __future__ import annotations

import logging
import time
from collections.abc import Sequence

import mode
import msgspec

from lovagestage.adapters.protocols import Log
from lovagestage.control.leasing import LeaseKeeper
from lovagestage.control.reader import ControlReader
from lovagestage.exceptions import (
    CodecError,
    LeaseLostError,
    LogError,
    RecordsExpiredError,
)
from lovagestage.state.fold import ControlState
from lovagestage.state.records import SNAPSHOT_STREAM
from lovagestage.state.snapshots import SnapshotCollector, make_chunks
from lovagestage.types import LeaseId, Offset

_log = logging.getLogger(__name__)

SNAPSHOT_LEASE = LeaseId("snapshots")
READ_LIMIT = 50
CHECK_INTERVAL_S = 5.0


class SnapshotPolicy(msgspec.Struct, frozen=True):
    """Bounds after which the next snapshot is written.

    Both bounds have to be under a third of the log's retention, so that the
    log always has two snapshots and one of the two may be unusable.

    Attributes:
        every_records: Number of records of the `control` stream after which a
            snapshot is written.
        every_s: Seconds after which a snapshot is written, since records of
            idle streams expire as well.
    """

    every_records: int = 5000
    every_s: float = 3600.0


class SnapshotStream:
    """Reads the `snapshots` stream from this process's position in it.

    Args:
        log: Client of the platform's log.
        keys: The system's log keys; the first key signs snapshots.

    Attributes:
        collector: Collects the chunks that were read.
        key: The log key that signs snapshots; empty if there is none.
    """

    def __init__(self, log: Log, keys: Sequence[str] = ()) -> None:
        self.collector = SnapshotCollector(keys)
        self.key = keys[0] if keys else ""
        self._platform_log = log
        self._next_offset = Offset(0)

    async def read_to_end(self) -> None:
        """Reads from the current position to the end of the stream.

        Raises:
            LogError: The log does not answer.
        """
        while True:
            try:
                page = await self._platform_log.read(
                    SNAPSHOT_STREAM, self._next_offset, READ_LIMIT, 0.0
                )
            except RecordsExpiredError as error:
                # Chunks expire as well. A snapshot that lost a chunk before
                # it was read stays incomplete and is never restored.
                self._next_offset = Offset(error.first_offset)
                continue
            for offset, data in page.records:
                self.collector.add(data)
                self._next_offset = Offset(offset + 1)
            if self._next_offset >= page.next_offset or not page.records:
                return

    async def find(self, first_offset: Offset) -> ControlState | None:
        """Restores the newest snapshot after which no record is missing.

        Args:
            first_offset: Oldest offset that the `control` stream still has.

        Returns:
            None if no complete snapshot covers `first_offset`.

        Raises:
            LogError: The log does not answer.
        """
        await self.read_to_end()
        for snapshot in self.collector.get_covering(first_offset):
            try:
                return snapshot.restore()
            except CodecError as error:
                _log.error(
                    "snapshot_not_restored", extra={"error": error.message}
                )
        return None


class SnapshotWriter(mode.Service):
    """Writes snapshots while this process holds the snapshot lease.

    Args:
        log: Client of the platform's log.
        control: Reader that holds the folded control state.
        keeper: Keeper of `SNAPSHOT_LEASE`.
        policy: Bounds after which a snapshot is written.
        keys: The system's log keys; the first key signs snapshots.
    """

    def __init__(
        self,
        log: Log,
        control: ControlReader,
        keeper: LeaseKeeper,
        policy: SnapshotPolicy = SnapshotPolicy(),  # noqa: B008
        keys: Sequence[str] = (),
    ) -> None:
        super().__init__()
        self._platform_log = log
        self._control = control
        self._keeper = keeper
        self._policy = policy
        self._stream = SnapshotStream(log, keys)
        self._newest_cursor = Offset(0)
        self._newest_seen_s = float("-inf")

    @mode.Service.task
    async def _write_periodically(self) -> None:
        while not self.should_stop:
            try:
                await self._write_if_due()
            except (LogError, LeaseLostError) as error:
                _log.warning("snapshot_not_written", extra={"code": error.code})
            await self.sleep(min(CHECK_INTERVAL_S, self._policy.every_s / 4))

    async def _write_if_due(self) -> None:
        if not (self._keeper.is_held and self._control.caught_up):
            return
        await self._stream.read_to_end()
        self._update_newest_cursor()
        # Renewals of the snapshot lease are records of the `control` stream
        # as well. An idle system therefore has new records too, and each
        # snapshot has a cursor of its own.
        records = self._control.folded.next_offset - self._newest_cursor
        is_old = time.monotonic() - self._newest_seen_s >= self._policy.every_s
        if records >= self._policy.every_records or (records and is_old):
            await self._write_snapshot()

    def _update_newest_cursor(self) -> None:
        # Only snapshots that are complete in the log count. If a holder fails
        # before it has written all chunks, its snapshot is incomplete, and
        # the next holder writes a snapshot immediately.
        cursor = self._stream.collector.get_cursor()
        if cursor > self._newest_cursor:
            self._newest_cursor = cursor
            self._newest_seen_s = time.monotonic()

    async def _write_snapshot(self) -> None:
        state = self._control.folded
        chunks = make_chunks(
            state, self._keeper.get_fencing(), key=self._stream.key
        )
        cursor = state.next_offset
        for chunk in chunks:
            self._keeper.get_fencing()
            await self._platform_log.append(SNAPSHOT_STREAM, chunk)
        _log.info(
            "snapshot_written",
            extra={"cursor": cursor, "chunks": len(chunks)},
        )

"""Reads and writes snapshots in the log's `snapshots` stream."""

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
    BelowHorizonError,
    CodecError,
    LeaseLostError,
    LogError,
)
from lovagestage.state.fold import ControlState
from lovagestage.state.records import SNAPSHOT_STREAM
from lovagestage.state.snapshots import SnapshotShelf, make_chunks
from lovagestage.types import LeaseId, Offset

_log = logging.getLogger(__name__)

SNAPSHOT_LEASE = LeaseId("snapshots")
READ_LIMIT = 50
CHECK_INTERVAL_S = 5.0


class SnapshotPolicy(msgspec.Struct, frozen=True):
    """When a snapshot is written.

    Both bounds have to be under a third of the log's retention, so that two
    snapshots are always there and one may fail.

    Attributes:
        every_records: After so many records of the `control` stream.
        every_s: After so much time, since idle streams expire as well.
    """

    every_records: int = 5000
    every_s: float = 3600.0


class SnapshotStream:
    """This process's place in the `snapshots` stream.

    Args:
        log: The platform's log.
        keys: The system's log keys; the first one signs.

    Attributes:
        shelf: What was read.
        key: The key that signs.
    """

    def __init__(self, log: Log, keys: Sequence[str] = ()) -> None:
        self.shelf = SnapshotShelf(keys)
        self.key = keys[0] if keys else ""
        self._platform_log = log
        self._next_offset = Offset(0)

    async def read_to_end(self) -> None:
        """Reads on to the end of the stream.

        Raises:
            LogError: The log does not answer.
        """
        while True:
            try:
                page = await self._platform_log.read(
                    SNAPSHOT_STREAM, self._next_offset, READ_LIMIT, 0.0
                )
            except BelowHorizonError as error:
                # Chunks expire too; a snapshot that lost some stays torn.
                self._next_offset = Offset(error.first_offset)
                continue
            for offset, data in page.records:
                self.shelf.add(data)
                self._next_offset = Offset(offset + 1)
            if self._next_offset >= page.next_offset or not page.records:
                return

    async def find(self, first_offset: Offset) -> ControlState | None:
        """The newest state after which no record is missing.

        Args:
            first_offset: The oldest offset that the `control` stream has.

        Raises:
            LogError: The log does not answer.
        """
        await self.read_to_end()
        for snapshot in self.shelf.get_covering(first_offset):
            try:
                return snapshot.restore()
            except CodecError as error:
                _log.error(
                    "snapshot_not_restored", extra={"error": error.message}
                )
        return None


class SnapshotWriter(mode.Service):
    """Writes snapshots as long as it holds their lease.

    Args:
        log: The platform's log.
        control: The folded state.
        keeper: Holds `SNAPSHOT_LEASE`.
        policy: When to write.
        keys: The system's log keys.
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
        self._seen = Offset(0)
        self._seen_s = float("-inf")

    @mode.Service.task
    async def _write(self) -> None:
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
        self._observe_newest()
        # The writer's own lease renewals move the stream, so an idle system
        # has records as well, and the cursor of each snapshot is new.
        records = self._control.folded.next_offset - self._seen
        is_old = time.monotonic() - self._seen_s >= self._policy.every_s
        if records >= self._policy.every_records or (records and is_old):
            await self._write_one()

    def _observe_newest(self) -> None:
        # Only what is whole in the log counts: the snapshot of a holder that
        # died halfway is torn, and the next holder writes one at once.
        cursor = self._stream.shelf.get_cursor()
        if cursor > self._seen:
            self._seen = cursor
            self._seen_s = time.monotonic()

    async def _write_one(self) -> None:
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

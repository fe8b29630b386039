"""Follows the log's `control` stream and maintains the folded state."""

from __future__ import annotations

import asyncio
import enum
import logging
from collections.abc import Callable
from typing import Protocol

import mode

from lovagestage.adapters.protocols import Log, LogPage
from lovagestage.exceptions import LogError, RecordsExpiredError
from lovagestage.state.fold import ControlState, ServiceInForce
from lovagestage.state.records import CONTROL_STREAM
from lovagestage.types import Offset, ServiceId

_log = logging.getLogger(__name__)

READ_LIMIT = 500
READ_WAIT_S = 20.0
RETRY_S = 0.5


class FollowState(enum.Enum):
    """State of the reader with respect to the log."""

    STARTING = "starting"
    """The reader has not reached the end of the log yet."""
    FOLLOWING = "following"
    LOG_DOWN = "log_down"
    """The latest read failed; the documents in force stay in force."""
    BELOW_HORIZON = "below_horizon"
    """Records expired before they were read, and no snapshot covers them."""


class SnapshotSource(Protocol):
    """Source of a state that covers records that have expired."""

    async def find(self, first_offset: Offset) -> ControlState | None:
        """Finds a state that covers all records before an offset.

        Args:
            first_offset: Oldest offset that the `control` stream still has.

        Returns:
            A state at or after `first_offset`; None if there is none.

        Raises:
            LogError: The log does not answer.
        """


class ControlReader(mode.Service):
    """Applies each record of the `control` stream as it arrives.

    Attributes:
        folded: The folded state; only this service changes it.
        caught_up: Whether the latest read reached the end of the log.
        follow_state: State of the reader with respect to the log.

    Args:
        log: Client of the platform's log.
        snapshots: Source of a state when records expired before they were
            read; None if there is no such source.
        root_key: Root key of the operators; see `Operators`.
    """

    def __init__(
        self,
        log: Log,
        snapshots: SnapshotSource | None = None,
        root_key: str = "",
    ) -> None:
        super().__init__()
        self.folded = ControlState(root_key)
        self.caught_up = False
        self.follow_state = FollowState.STARTING
        self._is_complete = False
        self._platform_log = log
        self._snapshots = snapshots
        self._subscribers: list[Callable[[], None]] = []
        self._changed = asyncio.Event()

    @property
    def is_usable(self) -> bool:
        """Whether other components may act on the folded state.

        Until the reader reaches the end of the log, the folded state may hold
        an old document. Acting on an old document would bring a withdrawn
        version back into use. A state that is known to lack records may not
        be acted on for the same reason.
        """
        return (
            self._is_complete
            and self.follow_state is not FollowState.BELOW_HORIZON
        )

    @property
    def services(self) -> dict[ServiceId, ServiceInForce]:
        """Documents in force; empty while the state is not usable."""
        return self.folded.services if self.is_usable else {}

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback that is called after each batch of records."""
        self._subscribers.append(callback)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next batch of records, at most `timeout_s` seconds."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return

    def install(self, state: ControlState, *, is_complete: bool) -> bool:
        """Replaces the folded state by a newer one.

        Args:
            state: The newer state; the caller has already verified it.
            is_complete: Whether the state may be acted on before the log is
                read to its end.

        Returns:
            False if `state` is not newer than the folded state.
        """
        if state.next_offset <= self.folded.next_offset:
            return False
        _log.info(
            "control_state_installed",
            extra={"from": self.folded.next_offset, "to": state.next_offset},
        )
        self.folded = state
        self._is_complete = self._is_complete or is_complete
        self._notify_subscribers()
        return True

    def get_dump(self) -> dict[str, object]:
        """Returns the diagnostic dump: offset, hash, revisions and leases."""
        return {
            "state": self.follow_state.value,
            "usable": self.is_usable,
            "next_offset": self.folded.next_offset,
            "hash": self.folded.get_hash(),
            "caught_up": self.caught_up,
            "undecodable": self.folded.undecodable,
            "revisions": {
                name: service.revision
                for name, service in self.folded.services.items()
            },
            "leases": {
                name: {"holder": held.holder, "fencing": held.fencing}
                for name, held in self.folded.leases.by_id.items()
            },
        }

    async def read_to_end(self) -> None:
        """Reads to the current end of the log, concurrently with the follower.

        Raises:
            LogError: The log can't be read, or no longer has the next record.
        """
        while True:
            start = self.folded.next_offset
            page = await self._platform_log.read(
                CONTROL_STREAM, start, READ_LIMIT, 0.0
            )
            if start == self.folded.next_offset:
                self._apply(page)
                self._notify_subscribers()
            if page.next_offset <= self.folded.next_offset:
                return

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._read_once()
            except RecordsExpiredError as error:
                await self._recover(Offset(error.first_offset))
            except LogError as error:
                self._on_read_failed(error)
                await self.sleep(RETRY_S)

    async def _recover(self, first_offset: Offset) -> None:
        # Records expired before this process read them, and a withdrawal may
        # be among them. Until a later state is installed and the log is read
        # to its end, no document of this state is served. Callers receive
        # `not_ready` and never an older configuration.
        self.follow_state = FollowState.BELOW_HORIZON
        self.caught_up = False
        state = None
        try:
            if self._snapshots is not None:
                state = await self._snapshots.find(first_offset)
        except LogError as error:
            _log.warning("snapshot_read_failed", extra={"code": error.code})
        if state is None or not self.install(state, is_complete=False):
            _log.error(
                "control_below_horizon",
                extra={
                    "next_offset": self.folded.next_offset,
                    "first_offset": first_offset,
                },
            )
            await self.sleep(RETRY_S)

    async def _read_once(self) -> None:
        wait_s = READ_WAIT_S if self.caught_up else 0.0
        start = self.folded.next_offset
        page = await self._platform_log.read(
            CONTROL_STREAM, start, READ_LIMIT, wait_s
        )
        if start != self.folded.next_offset:
            return
        self._apply(page)
        self._notify_subscribers()
        if not self.caught_up and start == self.folded.next_offset:
            # A log that is behind the folded state answers every read
            # immediately. Without a pause, each reader would poll it in a
            # busy loop.
            await self.sleep(RETRY_S)

    def _apply(self, page: LogPage) -> None:
        for offset, data in page.records:
            self.folded.apply(offset, data)
        behind = page.next_offset < self.folded.next_offset
        if behind:
            # A log that lost records would assign their offsets to new
            # records, and readers would fold different records at one offset.
            # The documents in force stay in force, because only an operator
            # can decide whether the log or the folded state is right.
            _log.error(
                "log_behind_state",
                extra={
                    "log_offset": page.next_offset,
                    "state_offset": self.folded.next_offset,
                },
            )
        self.caught_up = self.folded.next_offset == page.next_offset
        if self.caught_up:
            self._is_complete = True
            self.follow_state = FollowState.FOLLOWING

    def _on_read_failed(self, error: LogError) -> None:
        self.caught_up = False
        if self.follow_state is FollowState.FOLLOWING:
            self.follow_state = FollowState.LOG_DOWN
        _log.warning("control_read_failed", extra={"code": error.code})

    def _notify_subscribers(self) -> None:
        self._changed.set()
        self._changed.clear()
        for callback in self._subscribers:
            callback()

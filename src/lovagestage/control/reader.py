"""Follows the `control` stream and keeps the folded state."""

from __future__ import annotations

import asyncio
import enum
import logging
from collections.abc import Callable
from typing import Protocol

import mode

from lovagestage.adapters.protocols import Log, LogPage
from lovagestage.exceptions import BelowHorizonError, LogError
from lovagestage.state.fold import ControlState, ServiceInForce
from lovagestage.state.records import CONTROL_STREAM
from lovagestage.types import Offset, ServiceId

_log = logging.getLogger(__name__)

READ_LIMIT = 500
READ_WAIT_S = 20.0
RETRY_S = 0.5


class FollowState(enum.Enum):
    """How the reader stands to the log."""

    STARTING = "starting"
    """The end of the log has not been reached yet."""
    FOLLOWING = "following"
    LOG_DOWN = "log_down"
    """The latest read failed; what was in force is kept."""
    BELOW_HORIZON = "below_horizon"
    """Records have expired unread, and no snapshot covers them."""


class SnapshotSource(Protocol):
    """Where a reader gets a state whose records have expired."""

    async def find(self, first_offset: Offset) -> ControlState | None:
        """A state at or after `first_offset`; None where there is none.

        Raises:
            LogError: The log does not answer.
        """


class ControlReader(mode.Service):
    """Applies each record of the `control` stream as it arrives.

    Attributes:
        folded: The folded state; only this service changes it.
        caught_up: Whether the latest read reached the end of the log.
        follow_state: How the reader stands to the log.

    Args:
        log: The platform's log.
        snapshots: Where to get a state from below the horizon.
        root_key: See `Operators`.
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
        self._whole = False
        self._platform_log = log
        self._snapshots = snapshots
        self._subscribers: list[Callable[[], None]] = []
        self._changed = asyncio.Event()

    @property
    def is_usable(self) -> bool:
        """Whether the state may be acted on.

        A state that is still being read holds an old document until the end
        is reached: to act on it would bring a withdrawn version back. The
        same holds for one that is known to miss records.
        """
        return (
            self._whole and self.follow_state is not FollowState.BELOW_HORIZON
        )

    @property
    def services(self) -> dict[ServiceId, ServiceInForce]:
        """Documents in force; none where the state may not be acted on."""
        return self.folded.services if self.is_usable else {}

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each batch of records."""
        self._subscribers.append(callback)

    async def wait_changed(self, timeout_s: float) -> None:
        """Returns after the next batch of records, or when time is over."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return

    def install(self, state: ControlState, *, whole: bool) -> bool:
        """Replaces the state by a newer one; False where it is not newer.

        Args:
            state: Checked by whoever brings it.
            whole: Whether it may be acted on before the log is read.
        """
        if state.next_offset <= self.folded.next_offset:
            return False
        _log.info(
            "control_state_installed",
            extra={"from": self.folded.next_offset, "to": state.next_offset},
        )
        self.folded = state
        self._whole = self._whole or whole
        self._publish()
        return True

    def get_dump(self) -> dict[str, object]:
        """State for the dump: offset, hash and revisions in force."""
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
                for name, held in self.folded.leases.held.items()
            },
        }

    async def read_to_end(self) -> None:
        """Reads what the log has now, beside the follower.

        Raises:
            LogError: The log can't be read, or not from here on.
        """
        while True:
            start = self.folded.next_offset
            page = await self._platform_log.read(
                CONTROL_STREAM, start, READ_LIMIT, 0.0
            )
            if start == self.folded.next_offset:
                self._apply(page)
                self._publish()
            if page.next_offset <= self.folded.next_offset:
                return

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._read_once()
            except BelowHorizonError as error:
                await self._recover(Offset(error.first_offset))
            except LogError as error:
                self._on_read_failed(error)
                await self.sleep(RETRY_S)

    async def _recover(self, first_offset: Offset) -> None:
        # Records have expired unread: a withdrawal may be among them. Until
        # a later state is read to its end, nothing is served from this one;
        # the callers see `not_ready`, never an older configuration.
        self.follow_state = FollowState.BELOW_HORIZON
        self.caught_up = False
        state = None
        try:
            if self._snapshots is not None:
                state = await self._snapshots.find(first_offset)
        except LogError as error:
            _log.warning("snapshot_read_failed", extra={"code": error.code})
        if state is None or not self.install(state, whole=False):
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
        self._publish()
        if not self.caught_up and start == self.folded.next_offset:
            # A log that is behind the state answers at once, every time:
            # without a pause each reader would ask it without end.
            await self.sleep(RETRY_S)

    def _apply(self, page: LogPage) -> None:
        for offset, data in page.records:
            self.folded.apply(offset, data)
        behind = page.next_offset < self.folded.next_offset
        if behind:
            # A log that lost records would hand out their offsets again, and
            # readers would fold different records at one offset. What is in
            # force is kept; only an operator can say which is right.
            _log.error(
                "log_behind_state",
                extra={
                    "log_offset": page.next_offset,
                    "state_offset": self.folded.next_offset,
                },
            )
        self.caught_up = self.folded.next_offset == page.next_offset
        if self.caught_up:
            self._whole = True
            self.follow_state = FollowState.FOLLOWING

    def _on_read_failed(self, error: LogError) -> None:
        self.caught_up = False
        if self.follow_state is FollowState.FOLLOWING:
            self.follow_state = FollowState.LOG_DOWN
        _log.warning("control_read_failed", extra={"code": error.code})

    def _publish(self) -> None:
        self._changed.set()
        self._changed.clear()
        for callback in self._subscribers:
            callback()

"""Follows the `control` stream and keeps the folded state."""

from __future__ import annotations

import logging
from collections.abc import Callable

import mode

from lovagestage.adapters import Log
from lovagestage.exceptions import BelowHorizonError, LogError
from lovagestage.fold import ControlState
from lovagestage.records import CONTROL_STREAM

_log = logging.getLogger(__name__)

READ_LIMIT = 500
READ_WAIT_S = 20.0
RETRY_S = 0.5


class ControlReader(mode.Service):
    """Applies each record of the `control` stream as it arrives.

    Attributes:
        folded: The folded state; only this service changes it.
        caught_up: Whether the end of the log has been reached once.
    """

    def __init__(self, log: Log) -> None:
        super().__init__()
        self.folded = ControlState()
        self.caught_up = False
        self._platform_log = log
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each batch of records."""
        self._subscribers.append(callback)

    def get_dump(self) -> dict[str, object]:
        """State for the dump: offset, hash and revisions in force."""
        return {
            "next_offset": self.folded.next_offset,
            "hash": self.folded.get_hash(),
            "caught_up": self.caught_up,
            "undecodable": self.folded.undecodable,
            "revisions": {
                name: service.revision
                for name, service in self.folded.services.items()
            },
        }

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._read_once()
            except LogError as error:
                if isinstance(error, BelowHorizonError):
                    self.caught_up = False
                _log.warning("control_read_failed", extra={"code": error.code})
                await self.sleep(RETRY_S)

    async def _read_once(self) -> None:
        wait_s = READ_WAIT_S if self.caught_up else 0.0
        page = await self._platform_log.read(
            CONTROL_STREAM, self.folded.next_offset, READ_LIMIT, wait_s
        )
        for offset, data in page.records:
            self.folded.apply(offset, data)
        self.caught_up = self.folded.next_offset >= page.next_offset
        for callback in self._subscribers:
            callback()

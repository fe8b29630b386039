"""Appends records to the `control` stream and reads back their outcome."""

from __future__ import annotations

import asyncio
import logging
import time
import uuid
from typing import Protocol

from lovagestage.adapters.protocols import Log
from lovagestage.control.reader import ControlReader
from lovagestage.exceptions import (
    ChangeUnknownError,
    LogAnswerLostError,
    LogUnavailableError,
)
from lovagestage.state.outcomes import ChangeResult
from lovagestage.state.records import CONTROL_STREAM, Record, encode_record
from lovagestage.types import ChangeId

_log = logging.getLogger(__name__)

DEFAULT_TIMEOUT_S = 20.0
CONFIRM_TIMEOUT_S = 2.0
"""Seconds to wait for a sent record in the fold before appending it again."""

RETRY_S = 0.25


class RecordWriter(Protocol):
    """Interface through which components append records to the log."""

    async def append(
        self, record: Record, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> ChangeResult:
        """Appends a record; see `ControlWriter.append`."""


def make_change_id() -> ChangeId:
    """Makes a change id that no other writer chooses."""
    return ChangeId(uuid.uuid4().hex)


class ControlWriter:
    """Appends records; a retry with the same change id has no second effect.

    Args:
        log: Client of the platform's log.
        control: Reader whose folded state shows the outcome of each change.
    """

    def __init__(self, log: Log, control: ControlReader) -> None:
        self._platform_log = log
        self._control = control

    async def append(
        self, record: Record, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> ChangeResult:
        """Appends a record, and retries until its result is known.

        Args:
            record: The record; its `change_id` identifies the change.
            timeout_s: Longest duration of the call, in seconds.

        Returns:
            The result of the change as the fold decided it.

        Raises:
            CodecError: The record is too large and was not appended.
            LogUnavailableError: This call certainly did not append the
                record.
            ChangeUnknownError: The record may have been appended.
        """
        data = encode_record(record)
        deadline_s = time.monotonic() + timeout_s
        may_be_appended = False
        while True:
            result = self._control.folded.get_result(record.change_id)
            if result is not None:
                return result
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                raise _make_timeout_error(
                    record.change_id, may_be_appended, timeout_s
                )
            try:
                # The fold drops a record whose change id it has already seen,
                # so an append that is retried after a lost answer has no
                # second effect.
                await self._append_once(data, remaining_s)
            except LogUnavailableError:
                await asyncio.sleep(min(RETRY_S, remaining_s))
                continue
            except LogAnswerLostError:
                _log.warning(
                    "append_answer_lost",
                    extra={"change_id": record.change_id},
                )
            may_be_appended = True
            await self._wait_until_folded(record.change_id, deadline_s)

    async def _append_once(self, data: bytes, timeout_s: float) -> None:
        try:
            await asyncio.wait_for(
                self._platform_log.append(CONTROL_STREAM, data), timeout_s
            )
        except TimeoutError as error:
            raise LogAnswerLostError(
                f"The log did not answer an append in {timeout_s:.1f} s."
            ) from error

    async def _wait_until_folded(
        self, change_id: ChangeId, deadline_s: float
    ) -> None:
        wait_until_s = min(deadline_s, time.monotonic() + CONFIRM_TIMEOUT_S)
        while self._control.folded.get_result(change_id) is None:
            remaining_s = wait_until_s - time.monotonic()
            if remaining_s <= 0:
                return
            await self._control.wait_for_change(remaining_s)


def _make_timeout_error(
    change_id: ChangeId, may_be_appended: bool, timeout_s: float
) -> LogUnavailableError | ChangeUnknownError:
    if may_be_appended:
        return ChangeUnknownError(change_id, timeout_s)
    return LogUnavailableError(
        f"The log accepted no append for {timeout_s:.1f} s; change"
        f" {change_id!r} was not appended."
    )

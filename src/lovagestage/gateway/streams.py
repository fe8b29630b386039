"""Events of a stream."""

from __future__ import annotations

import re

from lovagestage.exceptions import AttemptFailedError
from lovagestage.types import RunState

MAX_EVENT_BYTES = 256 * 1024
"""Longest event; what an upstream sends without an end is no event."""
_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Cuts a stream into whole events.

    Only whole events are passed on: an upstream may stop in the middle of
    one, and the next run sends that event again from its start.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest.strip())

    def split(self, data: bytes) -> list[bytes]:
        """Takes bytes; returns the events that they complete.

        Raises:
            AttemptFailedError: An event is longer than any should be.
        """
        self._rest += data
        events = []
        start = 0
        for end in _END.finditer(self._rest):
            events.append(self._rest[start : end.end()])
            start = end.end()
        self._rest = self._rest[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise AttemptFailedError("event_too_long", RunState.RAN)
        return events

"""Splits an upstream's byte stream into server-sent events."""

from __future__ import annotations

import re

from lovagestage.exceptions import AttemptFailedError
from lovagestage.types import RunState

MAX_EVENT_BYTES = 256 * 1024
"""Longest event in bytes. Longer data without an event end is treated as a
failure of the upstream, so that it cannot fill the memory."""
_EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Splits a byte stream into complete events.

    Only complete events are forwarded: an upstream may stop in the middle of an
    event, and the next run sends that event again from its start.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_incomplete_event(self) -> bool:
        """Whether an event has started and not ended."""
        return bool(self._buffer.strip())

    def split(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the events that they complete.

        Args:
            data: Bytes received from the upstream.

        Returns:
            The complete events, each with its terminating blank line.

        Raises:
            AttemptFailedError: An event exceeds `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer):
            events.append(self._buffer[start : end.end()])
            start = end.end()
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AttemptFailedError("event_too_long", RunState.RAN)
        return events

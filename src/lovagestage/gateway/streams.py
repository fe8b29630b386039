"""Splits an upstream's byte stream into server-sent events."""

from __future__ import annotations

import re

from lovagestage.exceptions import AttemptFailedError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.types import RunState

MAX_EVENT_BYTES = 256 * 1024
"""Longest event in bytes. Longer data without an event end is treated as a
failure of the upstream, so that it cannot fill the memory."""
MAX_EVENT_PARTS = 64
"""Parts in which an event may be received, however small they are."""
MIN_PART_BYTES = 256
"""Bytes of an event for which it may be received in one part more: the longest
one comes in hundreds of packets."""
MAX_EMPTY_EVENTS = 16
"""Events without a field that may follow each other at once, such as comments
that keep a connection open."""
EMPTY_EVENTS_PER_S = 20.0
"""Such events that may follow in addition, for each second of the stream: those
that have waited for the caller or for this process are read at once."""
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_END_BYTES = 4
_FIELD = re.compile(rb"^(data|id|event|retry)\b", re.MULTILINE)


def has_field(event: bytes) -> bool:
    """Returns whether an event holds more than comments."""
    return _FIELD.search(event) is not None


class EventSplitter:
    """Splits a byte stream into complete events.

    Only complete events are forwarded: an upstream may stop in the middle of an
    event, and the next run sends that event again from its start.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._parts = 0
        self._searched = 0
        self._empty_events = 0
        self._begun_s = get_elapsed_s()

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
            AttemptFailedError: An event exceeds `MAX_EVENT_BYTES` or comes in
                too many parts, or too many events hold nothing.
        """
        self._buffer += data
        self._parts += 1
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer, self._searched):
            events.append(bytes(self._buffer[start : end.end()]))
            start = end.end()
        if start:
            del self._buffer[:start]
            self._parts = 0
        # The end of an event may have been received in part.
        self._searched = max(0, len(self._buffer) - _EVENT_END_BYTES + 1)
        is_too_long = len(self._buffer) > MAX_EVENT_BYTES
        max_parts = MAX_EVENT_PARTS + len(self._buffer) // MIN_PART_BYTES
        if is_too_long or self._parts > max_parts:
            raise AttemptFailedError("event_too_long", RunState.RAN)
        self._count_empty(events)
        return events

    def _count_empty(self, events: list[bytes]) -> None:
        """Counts events without a field.

        Raises:
            AttemptFailedError: There are too many.
        """
        self._empty_events += sum(not has_field(e) for e in events)
        age_s = get_elapsed_s() - self._begun_s
        if self._empty_events > MAX_EMPTY_EVENTS + EMPTY_EVENTS_PER_S * age_s:
            raise AttemptFailedError("events_empty", RunState.RAN)

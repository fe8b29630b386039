"""Notifies the feeds of a process that the store has recovered."""

from __future__ import annotations

import asyncio


class StoreRecoverySignal:
    """Notifies feeds that have lost the store when another feed has reached it.

    On its own, each feed would detect the recovery up to 1.7 s late: a call
    that was sent just before it hangs until the timeout, and a backoff follows.
    Callers would be refused in that time, although the process knows that the
    store answers again.
    """

    def __init__(self) -> None:
        self._events: list[asyncio.Event] = []
        self._era_events: list[asyncio.Event] = []

    def make_event(self) -> asyncio.Event:
        """Returns an event that is set at each recovery; its user clears it."""
        event = asyncio.Event()
        self._events.append(event)
        return event

    def notify_feeds(self) -> None:
        """Sets the events of all feeds."""
        for event in self._events:
            event.set()

    def make_era_event(self) -> asyncio.Event:
        """Returns an event that is set when the store comes back from a copy.

        Its user clears it.
        """
        event = asyncio.Event()
        self._era_events.append(event)
        return event

    def notify_era_changed(self) -> None:
        """Sets the events of all feeds that hold reads of an earlier era."""
        for event in self._era_events:
            event.set()

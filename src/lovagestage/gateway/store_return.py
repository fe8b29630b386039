"""Tells a process's feeds that the store is back."""

from __future__ import annotations

import asyncio


class StoreReturn:
    """Tells feeds that have lost the store when another one has it back.

    Each feed finds the return by itself up to 1.7 s late, with a call that
    was sent just before and hangs, and its pause. Callers are refused
    meanwhile, though the process knows that the store answers again.
    """

    def __init__(self) -> None:
        self._events: list[asyncio.Event] = []

    def make_event(self) -> asyncio.Event:
        """An event that is set at each return; its owner clears it."""
        event = asyncio.Event()
        self._events.append(event)
        return event

    def tell(self) -> None:
        """Tells all feeds."""
        for event in self._events:
            event.set()

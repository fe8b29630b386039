"""Protocols of the objects that a feed works with.

A feed passes records to its listener, and queries a watcher through the relay
before it reads the store.
"""

from __future__ import annotations

from typing import Protocol

from lovagestage.gateway.relay import RelayedState, RelayMode
from lovagestage.platform.records import Page


class FeedListener(Protocol):
    """Receives the records and confirmations of one feed."""

    def on_newest(self, page: Page) -> None:
        """Called with the newest record of each key of the topic."""

    def on_copy(self, page: Page) -> None:
        """Called with the newest records after the store came back.

        The store may have lost newer ones, and what it does not list may be
        written again. `on_newest` follows once that has had its time.
        """

    def on_era_changed(self) -> None:
        """Called when the store has come back from an earlier copy."""

    def on_records(self, page: Page) -> None:
        """Called with new records in the order of their positions."""

    def on_freshness_confirmed(self, at_s: float) -> None:
        """Called when it is confirmed that no newer record existed.

        Args:
            at_s: Elapsed time for which that is confirmed.
        """

    def on_update_available(self, at_s: float) -> None:
        """Called when records exist that the listener has not received.

        Args:
            at_s: Elapsed time at which the feed learned of these records.
        """


class RelayClient(Protocol):
    """Decides how a topic is followed and provides a watcher's state of it.

    Attributes:
        watch_wait_s: Time in seconds for which the store holds a watcher's
            read.
    """

    watch_wait_s: float

    def get_mode(self) -> RelayMode:
        """Returns whether this gateway reads the store or queries a watcher."""

    async def wait_for_state(self, topic: str) -> RelayedState | None:
        """Waits for the next state of a topic that a watcher reports.

        Args:
            topic: The topic.

        Returns:
            The state; None if the watcher reported none in time.
        """

    def notify_followers(self) -> None:
        """Notifies followers that a topic has new records."""

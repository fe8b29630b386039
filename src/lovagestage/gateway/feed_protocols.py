"""What a feed hands on to, and whom it asks before it reads the store."""

from __future__ import annotations

from typing import Protocol

from lovagestage.gateway.relay import RelayedState, RelayMode
from lovagestage.platform.records import Page


class FeedListener(Protocol):
    """Takes what a feed reads."""

    def on_newest(self, page: Page) -> None:
        """Takes the newest record of each key."""

    def on_records(self, page: Page) -> None:
        """Takes records in order."""

    def on_proof(self, at_s: float) -> None:
        """Learns that nothing newer existed at a time."""

    def on_news(self, at_s: float) -> None:
        """Learns at a time that there is more than it was handed."""


class Watch(Protocol):
    """Tells how a topic is followed, and what a watcher says of it."""

    watch_wait_s: float

    def get_mode(self) -> RelayMode:
        """Whether this gateway reads the store or asks a watcher."""

    async def wait_state(self, topic: str) -> RelayedState | None:
        """The next state that a watcher tells; None without a sound one."""

    def tell_news(self) -> None:
        """Tells followers that a topic has grown."""

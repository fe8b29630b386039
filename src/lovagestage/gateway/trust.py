"""How long a gateway may believe that its configuration is current."""

from __future__ import annotations

MARGIN_S = 0.25
"""Ends trust before the bound: a request that is admitted at the last moment
still has to be sent, on a VM that may be slow."""
NEWS_S = 3.0
"""A newer configuration is taken to be within reach for so long after it was
last heard of: two reads that fail, with the pauses after them."""


class Trust:
    """Age of the last proof that no newer configuration exists.

    A proof counts from a moment at which the store certainly had nothing
    newer: when a read was sent, or when the wait of an answered long poll
    was over. A poll without an answer proves nothing, however recent.

    Args:
        limit_s: A key that was taken away may be used no longer than this.
        apply_s: A configuration is in force after this.
    """

    def __init__(self, limit_s: float, apply_s: float) -> None:
        self.limit_s = limit_s
        self.apply_s = apply_s
        self._proved_s: float | None = None
        self._news_s: float | None = None

    def note_proof(self, at_s: float) -> None:
        """Notes that the configuration was current at a time."""
        self._news_s = None
        if self._proved_s is None or at_s > self._proved_s:
            self._proved_s = at_s

    def note_news(self, at_s: float) -> None:
        """Notes that a newer configuration was heard of at a time."""
        self._news_s = at_s

    def is_superseded(self, now_s: float) -> bool:
        """Whether a newer configuration exists that must be in force by now.

        It may be large and arrive slowly. Served by the old one, callers
        would use routes that were taken away. It was written after the last
        proof, so no caller is refused before it must be in force. While the
        store is away there is no news, and what is open to everybody goes on.
        """
        age_s = self.get_age_s(now_s)
        has_news = self._news_s is not None and now_s - self._news_s < NEWS_S
        return has_news and (age_s is None or age_s >= self.apply_s - MARGIN_S)

    def get_age_s(self, now_s: float) -> float | None:
        """Age of the last proof; None before the first."""
        return None if self._proved_s is None else now_s - self._proved_s

    def holds(self, now_s: float) -> bool:
        """Whether keys may be relied on."""
        age_s = self.get_age_s(now_s)
        return age_s is not None and age_s < self.limit_s - MARGIN_S

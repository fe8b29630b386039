"""How long a gateway may believe that its configuration is current."""

from __future__ import annotations

MARGIN_S = 0.25
"""Ends trust before the bound: a request that is admitted at the last moment
still has to be sent, on a VM that may be slow."""


class Trust:
    """Age of the last proof that no newer configuration exists.

    A proof counts from a moment at which the store certainly had nothing
    newer: when a read was sent, or when the wait of an answered long poll
    was over. A poll without an answer proves nothing, however recent.

    Args:
        limit_s: A key that was taken away may be used no longer than this.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self._proved_s: float | None = None

    def note_proof(self, at_s: float) -> None:
        """Notes that the configuration was current at a time."""
        if self._proved_s is None or at_s > self._proved_s:
            self._proved_s = at_s

    def get_age_s(self, now_s: float) -> float | None:
        """Age of the last proof; None before the first."""
        return None if self._proved_s is None else now_s - self._proved_s

    def holds(self, now_s: float) -> bool:
        """Whether keys may be relied on."""
        age_s = self.get_age_s(now_s)
        return age_s is not None and age_s < self.limit_s - MARGIN_S

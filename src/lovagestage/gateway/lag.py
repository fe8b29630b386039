"""How far a gateway is behind a topic of the store: pure decisions."""

from __future__ import annotations

FIRST_REPORT_S = 1.0
"""A lag is reported after this, and again whenever it has doubled: what is new
takes a part of a second to be read."""


class Lag:
    """Compares what exists of a topic with what has been read of it.

    Attributes:
        end: Newest end of the topic that was heard of.
    """

    def __init__(self) -> None:
        self.end = 0
        self._since_s: float | None = None
        self._report_s = FIRST_REPORT_S

    def note_end(self, end: int, known: int | None, now_s: float) -> None:
        """Takes that the topic reaches up to an offset.

        Args:
            end: Where it ends at least.
            known: Up to where it has been read; None for nothing yet.
            now_s: Elapsed time.
        """
        self.end = max(self.end, end)
        if self._since_s is None and self.is_behind(known):
            self._since_s = now_s

    def note_known(self, known: int | None, now_s: float) -> float | None:
        """Takes how far the topic has been read.

        Returns:
            How long it took to catch up, where that had been reported.
        """
        if self._since_s is None or self.is_behind(known):
            return None
        age_s = now_s - self._since_s
        was_reported = self._report_s > FIRST_REPORT_S
        self._since_s, self._report_s = None, FIRST_REPORT_S
        return age_s if was_reported else None

    def is_behind(self, known: int | None) -> bool:
        """Whether there is more than has been read."""
        return (known or 0) < self.end

    def get_age_s(self, now_s: float) -> float:
        """How long it has been known that there is more; 0 if there isn't."""
        return 0.0 if self._since_s is None else now_s - self._since_s

    def take_report(self, now_s: float) -> float | None:
        """Its age, where it is time to report it again."""
        age_s = self.get_age_s(now_s)
        if age_s < self._report_s:
            return None
        while self._report_s <= age_s:
            self._report_s *= 2
        return age_s

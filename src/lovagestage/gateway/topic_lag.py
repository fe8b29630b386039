"""Computes how far a gateway is behind a topic of the store (no I/O)."""

from __future__ import annotations

from lovagestage.decisions.positions import START
from lovagestage.types import Position

FIRST_REPORT_S = 1.0
"""Age in seconds at which a lag is reported first. It is reported again
whenever its age has doubled. New records normally take a fraction of a second
to be read, which is not worth a report."""


class TopicLag:
    """Compares the end of a topic with the end of the records that are read.

    Attributes:
        end: Highest end of the topic that has been reported to this gateway.
    """

    def __init__(self) -> None:
        self.end = START
        self._behind_since_s: float | None = None
        self._next_report_s = FIRST_REPORT_S

    def record_end(
        self, end: Position, known_end: Position | None, now_s: float
    ) -> None:
        """Records that the topic extends at least up to an offset.

        Args:
            end: Reported end of the topic; one of a later era replaces those
                of earlier eras.
            known_end: End of the records that are read; None before the first
                read.
            now_s: Elapsed time in seconds.
        """
        self.end = max(self.end, end)
        if self._behind_since_s is None and self.is_behind(known_end):
            self._behind_since_s = now_s

    def record_known_end(
        self, known_end: Position | None, now_s: float
    ) -> float | None:
        """Records how far the topic has been read.

        Args:
            known_end: End of the records that are read; None before the first
                read.
            now_s: Elapsed time in seconds.

        Returns:
            The age in seconds of the lag that has ended; None if the lag goes
            on, if there was none, or if it had not been reported.
        """
        if self._behind_since_s is None or self.is_behind(known_end):
            return None
        age_s = now_s - self._behind_since_s
        was_reported = self._next_report_s > FIRST_REPORT_S
        self._behind_since_s, self._next_report_s = None, FIRST_REPORT_S
        return age_s if was_reported else None

    def is_behind(self, known_end: Position | None) -> bool:
        """Whether the topic extends beyond the records that are read."""
        return (known_end or START) < self.end

    def get_age_s(self, now_s: float) -> float:
        """Returns the age of the lag in seconds; 0 where there is none."""
        return (
            0.0
            if self._behind_since_s is None
            else now_s - self._behind_since_s
        )

    def check_report_due(self, now_s: float) -> float | None:
        """Returns the age of the lag in seconds if a report of it is due.

        A returned age counts as reported: the next report is due once the age
        has doubled.

        Returns:
            The age; None if no report is due.
        """
        age_s = self.get_age_s(now_s)
        if age_s < self._next_report_s:
            return None
        while self._next_report_s <= age_s:
            self._next_report_s *= 2
        return age_s

"""Logs how far a feed is behind its topic, and when it has caught up."""

from __future__ import annotations

import logging

from lovagestage.decisions.positions import format_position
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.topic_lag import TopicLag
from lovagestage.types import Position

_log = logging.getLogger(__name__)


class LagReport:
    """The lag of one feed, which is logged where that is due.

    Args:
        topic: The feed's topic.
    """

    def __init__(self, topic: str) -> None:
        self._topic = topic
        self._lag = TopicLag()

    @property
    def end(self) -> Position:
        """Highest end of the topic that has been reported to this gateway."""
        return self._lag.end

    def is_behind(self, known_end: Position | None) -> bool:
        """Returns whether the topic extends beyond the records that are read.

        Args:
            known_end: End of the records that are read; None before the first
                read.
        """
        return self._lag.is_behind(known_end)

    def get_age_s(self, now_s: float) -> float:
        """Returns the age of the lag in seconds; 0 where there is none."""
        return self._lag.get_age_s(now_s)

    def record_end(self, end: Position, known_end: Position | None) -> None:
        """Records that the topic extends at least up to an offset.

        Args:
            end: Reported end of the topic.
            known_end: End of the records that are read; None before the first
                read.
        """
        now_s = get_elapsed_s()
        self._lag.record_end(end, known_end, now_s)
        if (age_s := self._lag.check_report_due(now_s)) is not None:
            _log.warning(
                "topic_behind",
                extra={
                    "topic": self._topic,
                    "known": format_position(known_end),
                    "end": format_position(self._lag.end),
                    "age_s": round(age_s, 2),
                },
            )

    def record_known_end(self, known_end: Position | None) -> None:
        """Records how far the topic has been read; None before a read."""
        age_s = self._lag.record_known_end(known_end, get_elapsed_s())
        if age_s is not None:
            _log.info(
                "topic_caught_up",
                extra={
                    "topic": self._topic,
                    "known": format_position(known_end),
                    "age_s": round(age_s, 2),
                },
            )

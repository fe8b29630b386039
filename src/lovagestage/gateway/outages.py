"""Tells the outages of a new version's upstreams apart (no I/O).

A crash or a cut link ends all requests at an upstream at the same time, which
is one sign against the version. Times are ages of the order, which all gateways
know alike.
"""

from __future__ import annotations

import dataclasses

from lovagestage.gateway.rollout_evidence import (
    OUTAGE_QUALITIES,
    AnswerQuality,
)


@dataclasses.dataclass(frozen=True)
class RunSpan:
    """When a run began that an answer, or its absence, is weighed of.

    Attributes:
        begun_age_s: Age of the order at its begin, in seconds.
        has_answered: Whether the upstream was seen to answer since its last
            outage, by this run or by others.
    """

    begun_age_s: float
    has_answered: bool


REPEAT_S = 1.0
"""Age in seconds of an outage from which it counts again where no upstream of
the version has answered since: several times what data takes that was sent
before, and what requests take to be sent to upstreams that work."""


@dataclasses.dataclass
class _Outage:
    counted_age_s: float
    is_over: bool = False


class OutageTable:
    """Outages of the upstreams of one roll-out's new version."""

    def __init__(self) -> None:
        self._outages: dict[str, _Outage] = {}
        self._answered_age_s = 0.0

    def record_data(self, age_s: float) -> None:
        """Records that any upstream of the version has sent something.

        Args:
            age_s: Age of the order at that time, in seconds.
        """
        self._answered_age_s = max(self._answered_age_s, age_s)

    def is_over(self, upstream: str) -> bool:
        """Returns whether an upstream has answered since its last outage."""
        outage = self._outages.get(upstream)
        return outage is not None and outage.is_over

    def record(
        self, upstream: str, quality: AnswerQuality, span: RunSpan, age_s: float
    ) -> bool:
        """Records an answer of an upstream, or a run without one.

        Args:
            upstream: The upstream.
            quality: Quality of the answer.
            span: The run.
            age_s: Age of the order in seconds.

        Returns:
            Whether it counts: it is no sign of an outage, or the first one, or
            one after a while in which the version has not answered at all.
        """
        outage = self._outages.get(upstream)
        # What was sent before the outage may be read after it, and what the
        # outage ended may be noticed late.
        is_later = outage is None or span.begun_age_s > outage.counted_age_s
        if quality not in OUTAGE_QUALITIES:
            if outage is not None and is_later:
                outage.is_over = True
            self.record_data(span.begun_age_s)
            return True
        is_new = (
            outage is None
            or outage.is_over
            or span.has_answered
            or self._is_unanswered(outage, span)
        )
        if not (is_later and is_new):
            return False
        self._outages[upstream] = _Outage(age_s)
        return True

    def _is_unanswered(self, outage: _Outage, span: RunSpan) -> bool:
        """Returns whether the version is not seen to work beside an outage.

        A crash of some upstreams leaves others that answer.
        """
        is_later = span.begun_age_s > outage.counted_age_s + REPEAT_S
        return is_later and self._answered_age_s <= outage.counted_age_s

"""Weighs requests to a new version that are under way as evidence (no I/O).

Each request is counted from its first attempt until its answer ends, whatever
attempts it takes. While it lasts it is known to take at least its age, which
speaks against the version from the age on at which the old version's answers
would have started, or ended.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Protocol

from lovagestage.decisions.run_times import RunTimeTable
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.latency import LatencyTable
from lovagestage.gateway.pace import PaceClock
from lovagestage.gateway.rollout_evidence import (
    AnswerQuality,
    get_open_request_evidence,
)
from lovagestage.types import ServiceId

AGE_TOLERANCE = 1.5
"""Multiple of the old version's times that a good version may take: on trial it
is loaded as in a burst."""


class RequestUnderWay:
    """A request that has been sent to a version and not been answered.

    Args:
        route: Name of its route.
        latency: Usual times, by which the pace of a stream is judged.

    Attributes:
        route: Name of its route.
        has_started: Whether its answer has started.
        is_weighed: Whether an attempt has been weighed as a bad one.
    """

    def __init__(self, route: str, latency: LatencyTable) -> None:
        self.route = route
        self.has_started = False
        self.is_weighed = False
        self._latency = latency
        self._begun_s = get_elapsed_s()
        self._excused_s = 0.0
        self._pace_kind: Hashable = None
        self._pace_clock = PaceClock()

    def begin_attempt(
        self, excused_s: float, pace_kind: Hashable, pace_clock: PaceClock
    ) -> None:
        """Records another attempt.

        Args:
            excused_s: Time in seconds for which its upstream's queue and the
                prompt excuse it.
            pace_kind: Kind of its stream.
            pace_clock: Times the events of its stream.
        """
        self._excused_s += excused_s + self._pace_clock.excused_s
        self._pace_kind, self._pace_clock = pace_kind, pace_clock

    @property
    def is_held_up(self) -> bool:
        """Whether its caller, or this process, may be what makes it last."""
        return self._pace_clock.is_held_up

    def get_age_s(self, now_s: float) -> float:
        """Returns its age in seconds, less what excuses it."""
        excused_s = self._excused_s + self._pace_clock.excused_s
        return max(0.0, now_s - self._begun_s - excused_s)

    def is_pace_slow(self) -> bool:
        """Returns whether its events come too slowly so far."""
        interval_s = self._pace_clock.get_interval_so_far_s()
        if interval_s is None:
            return False
        quality = self._latency.judge_pace(self._pace_kind, interval_s)
        return quality is AnswerQuality.VERY_SLOW


class FailureRates(Protocol):
    """Rates at which the old version fails, by route."""

    def __call__(self, route: str) -> float:
        """Returns the rate of a route."""


class RequestsUnderWay:
    """Requests at this gateway, of versions on trial and of others."""

    def __init__(self) -> None:
        self._start_times = RunTimeTable()
        self._end_times = RunTimeTable()
        self._new: dict[ServiceId, set[RequestUnderWay]] = {}
        self._old: dict[str, set[RequestUnderWay]] = {}

    def begin(
        self, service: ServiceId, is_new: bool, request: RequestUnderWay
    ) -> None:
        """Records that a request has begun.

        Args:
            service: The service.
            is_new: Whether its version is on trial.
            request: The request.
        """
        if is_new:
            self._new.setdefault(service, set()).add(request)
        else:
            self._old.setdefault(request.route, set()).add(request)

    def start(self, request: RequestUnderWay, now_s: float) -> None:
        """Records that the answer of a request has started.

        Args:
            request: The request.
            now_s: Elapsed time in seconds.
        """
        if request in self._old.get(request.route, ()):
            self._start_times.record(request.route, request.get_age_s(now_s))

    def end(
        self,
        service: ServiceId,
        request: RequestUnderWay,
        is_whole: bool,
        now_s: float,
    ) -> None:
        """Records that a request has ended.

        Args:
            service: The service.
            request: The request.
            is_whole: Whether its answer was whole.
            now_s: Elapsed time in seconds.
        """
        self._new.get(service, set()).discard(request)
        old = self._old.get(request.route, set())
        if request not in old:
            return
        old.remove(request)
        if not old:
            del self._old[request.route]
        if is_whole:
            self._end_times.record(request.route, request.get_age_s(now_s))

    def forget_trial(self, service: ServiceId) -> None:
        """Drops the requests of a version whose roll-out is over."""
        self._new.pop(service, None)

    def get_evidence(
        self, service: ServiceId, get_rate: FailureRates, now_s: float
    ) -> float:
        """Returns what the requests under way say of a version on trial.

        Args:
            service: The service.
            get_rate: Returns the rate at which the old version fails.
            now_s: Elapsed time in seconds.

        Returns:
            The sum of their log-likelihood ratios, never negative.
        """
        return sum(
            get_open_request_evidence(
                self._get_open_share(request, now_s), get_rate(request.route)
            )
            for request in self._new.get(service, ())
            if not (request.is_weighed or request.is_held_up)
        )

    def _get_open_share(self, request: RequestUnderWay, now_s: float) -> float:
        """Returns how many of the old version's requests last as long."""
        if request.is_pace_slow():
            return 0.0
        old = self._old.get(request.route, ())
        times, beside = self._end_times, old
        if not request.has_started:
            times = self._start_times
            beside = {other for other in old if not other.has_started}
        ages_s = [o.get_age_s(now_s) for o in beside if not o.is_held_up]
        age_s = request.get_age_s(now_s) / AGE_TOLERANCE
        share = times.get_open_share(request.route, ages_s, age_s)
        return 1.0 if share is None else share

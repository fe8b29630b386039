"""Checks that gateways obey what workers say of themselves in answers."""

from __future__ import annotations

import bisect
from collections.abc import Iterator, Mapping

from lab.soak.deployment import CONTACT_S, DRAIN_S
from lab.soak.records import StatedLimit, StatedRest
from lab.soak.serving import ANSWERED_BY
from lab.soak.spans import overlaps_process_fault
from lab.soak.traffic import SentRequest
from lab.soak.world import SoakEnvironment
from lab.worker import Arrival

TOLD_S = 0.5
"""Seconds after an answer was passed on, or a rest was asked for, from which
the gateway must act on it."""
WINDOW_S = 4.0
LIMIT_RATIO, LIMIT_SLACK = 1.5, 5.0
MAX_REST_ARRIVALS = 2


class NoticeChecker:
    """Compares arrivals at workers with what these had said of themselves.

    Args:
        environment: The environment of the soak, after its end.
        sent: All requests that the callers sent.
        slack_s: Seconds that a busy machine may add to a checked duration.
    """

    def __init__(
        self,
        environment: SoakEnvironment,
        sent: list[SentRequest],
        slack_s: float,
    ) -> None:
        self._environment = environment
        self._sent: Mapping[str, SentRequest] = {s.id: s for s in sent}
        self._slack_s = slack_s

    def find_breaches(self) -> Iterator[str]:
        """Yields a description of each statement that was not obeyed."""
        for limit in self._environment.limits:
            yield from self._check_limit(limit)
        for name in self._environment.workers:
            yield from self._check_departure(name)
        for rest in self._environment.serving.rests:
            yield from self._check_rest(rest)

    def _check_limit(self, limit: StatedLimit) -> Iterator[str]:
        told_s = self._get_told_s(limit.worker, "server-limit", limit.begun_s)
        times_s = [
            arrival.arrived_s
            for arrival in self._get_arrivals(limit.worker)
            if limit.begun_s + CONTACT_S <= arrival.arrived_s < limit.ended_s
            and self._was_told(arrival, told_s)
            and not self._is_excused(
                self._get_gateway(arrival), limit.begun_s, arrival.arrived_s
            )
        ]
        allowed = LIMIT_RATIO * limit.per_s * WINDOW_S + LIMIT_SLACK
        for index, first_s in enumerate(times_s):
            count = bisect.bisect_left(times_s, first_s + WINDOW_S) - index
            if count > allowed:
                yield (
                    f"{limit.worker} got {count} requests in {WINDOW_S} s"
                    f" from {first_s:.2f}, limit {limit.per_s}"
                )
                return

    def _check_departure(self, worker: str) -> Iterator[str]:
        told_s = self._get_told_s(worker, "server-leaving", 0.0, "1")
        for arrival in self._get_arrivals(worker):
            gateway = self._get_gateway(arrival)
            if gateway not in told_s:
                continue
            limit_s = told_s[gateway] + DRAIN_S + self._slack_s
            sent_s = self._sent[arrival.request_id].sent_s
            if sent_s > limit_s and not self._is_excused(
                gateway, told_s[gateway], arrival.arrived_s
            ):
                yield f"{arrival.request_id} reached {worker}, which left"

    def _check_rest(self, rest: StatedRest) -> Iterator[str]:
        request = self._sent.get(rest.request_id)
        if request is None:
            return
        begun_s = rest.asked_s + TOLD_S + self._slack_s
        ended_s = rest.asked_s + rest.rest_s
        if self._is_excused(request.gateway, rest.asked_s, ended_s):
            return
        count = sum(
            begun_s <= arrival.arrived_s < ended_s
            and self._get_gateway(arrival) == request.gateway
            for arrival in self._get_arrivals(rest.worker)
        )
        if count > MAX_REST_ARRIVALS:
            yield (
                f"{rest.worker} got {count} requests from {request.gateway}"
                f" within a rest of {rest.rest_s:.1f} s"
            )

    def _get_arrivals(self, worker: str) -> list[Arrival]:
        return [
            arrival
            for arrival in self._environment.workers[worker].arrivals
            if arrival.request_id in self._sent
        ]

    def _get_gateway(self, arrival: Arrival) -> str:
        return self._sent[arrival.request_id].gateway

    def _was_told(self, arrival: Arrival, told_s: Mapping[str, float]) -> bool:
        at_s = told_s.get(self._get_gateway(arrival))
        return at_s is not None and at_s + TOLD_S <= arrival.arrived_s

    def _get_told_s(
        self, worker: str, header: str, from_s: float, value: str | None = None
    ) -> dict[str, float]:
        """Returns when each gateway first passed on such an answer.

        Args:
            worker: Instance name of the worker that made the statement.
            header: Header that states it.
            from_s: Monotonic time in seconds from which answers count.
            value: Value of the header; None for any.
        """
        told_s: dict[str, float] = {}
        for request in self._sent.values():
            reply = request.reply
            if reply is None:
                continue
            if reply.headers.get(ANSWERED_BY.lower()) != worker:
                continue
            stated = reply.headers.get(header)
            if stated is None or request.ended_s < from_s:
                continue
            if value in (None, stated):
                first_s = told_s.get(request.gateway, request.ended_s)
                told_s[request.gateway] = min(first_s, request.ended_s)
        return told_s

    def _is_excused(self, gateway: str, begun_s: float, ended_s: float) -> bool:
        return overlaps_process_fault(
            self._environment, begun_s - CONTACT_S, ended_s, (gateway,)
        )

"""Decides which attempts of a request are made, and how it is refused."""

from __future__ import annotations

import asyncio
import collections
import functools
import logging
import random
from collections.abc import Collection, Iterator, Sequence

from lovagestage.decisions.upstream_notices import Denial, NoticeKind
from lovagestage.exceptions import AttemptFailedError, GatewayRefusalError
from lovagestage.gateway import missing_upstreams, upstream_choice
from lovagestage.gateway.admission import RETRY_AFTER_S, AdmittedRequest
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.crash_detection import make_fingerprint, make_parts
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.requests_under_way import RequestUnderWay
from lovagestage.gateway.retry_budget import ServiceRetryBudget
from lovagestage.gateway.retry_permit import Obstacle, RetryPermit
from lovagestage.gateway.rollout_assignment import Assignment
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import (
    Fingerprint,
    InstanceId,
    PartId,
    RunState,
    ZoneId,
)

_log = logging.getLogger(__name__)

MAX_REFUSALS = 3
"""Number of upstreams that may refuse a request before its caller is asked to
retry later: where three upstreams are full, the next one most likely is, too.
"""
MIN_REMAINING_S = 0.05
"""Time in seconds that must be left until the deadline for another attempt to
be of use."""


class Attempts:
    """Counts one request's attempts and keeps it within its limits.

    Args:
        admitted: The request.
        deployment: Configuration, upstreams and roll-outs in force.
        budget: Retry budget of the request's service.
        zone: The gateway's availability zone.
        rng: Source of randomness.

    Attributes:
        admitted: The request.
        assignment: Version to which the request's session is assigned.
        sent: Number of attempts made.
        noticed: Number of attempts at upstreams that had said something of
            themselves, by its kind.
        runs: Number of attempts that may have run at an upstream.
        lost_claims: Number of times that another copy of the request was
            probed in place of this one.
        tried: Upstreams in the order of the attempts.
        waits_s: Expected queue time in seconds at each tried upstream when it
            was chosen.
        work_s: Time in seconds for which the last attempt by itself occupies
            its upstream.
        excess_s: Time in seconds that the last attempt's upstream needs beyond
            that of a request whose shared prompt prefix is cached: the
            expected queue time, and the prefill of an uncached prefix.
        is_cached: Whether the last attempt's upstream has most likely cached
            the shared prompt prefix.
        model: Model of the last attempt; None where the request names no
            model.
        first_event_s: Time in seconds from the request's head to its first
            event.
        first_attempt_s: Time in seconds from the request's head to its first
            attempt.
        connect_s: Time in seconds for which the connection of the last answer
            took to open.
        head_s: Time in seconds from sending the request to the head of the
            last answer.
        permit: Access to the retry budget.
        under_way: The request as one that is under way; None before its first
            attempt.
    """

    def __init__(
        self,
        admitted: AdmittedRequest,
        deployment: Deployment,
        budget: ServiceRetryBudget,
        zone: ZoneId,
        rng: random.Random,
    ) -> None:
        self.admitted = admitted
        self.assignment = Assignment(None)
        self.sent = 0
        self.noticed: collections.Counter[NoticeKind] = collections.Counter()
        self.runs = 0
        self.lost_claims = 0
        self.tried: list[InstanceId] = []
        self.waits_s: list[float] = []
        self.work_s = 0.0
        self.excess_s = 0.0
        self.is_cached = False
        self.model: str | None = None
        self.first_event_s: float | None = None
        self.first_attempt_s: float | None = None
        self.connect_s: float | None = None
        self.head_s: float | None = None
        self.under_way: RequestUnderWay | None = None
        self._deployment = deployment
        self.permit = RetryPermit(budget)
        self._zone = zone
        self._rng = rng
        self._excluded: set[InstanceId] = set()
        self._failed: set[InstanceId] = set()
        self._refusals = 0
        self._has_new_version_failed = False

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """Hash of the request's workspace, path and body, without its id."""
        return make_fingerprint(self.admitted)

    @functools.cached_property
    def parts(self) -> tuple[PartId, ...]:
        """Parts of the request's prompt that other requests may share."""
        return make_parts(self.admitted.request)

    @property
    def run_name(self) -> str:
        """Name of the last attempt: the request's id and attempt number."""
        return self._make_run_name(self.sent)

    @property
    def next_run_name(self) -> str:
        """Name of the attempt that is made next."""
        return self._make_run_name(self.sent + 1)

    def _make_run_name(self, number: int) -> str:
        claim = f".{self.lost_claims}" if self.lost_claims else ""
        return f"{self.admitted.request.id}/{number}{claim}"

    @property
    def remaining_s(self) -> float:
        """Time in seconds until the request's deadline."""
        now_s = asyncio.get_running_loop().time()
        return self.admitted.get_remaining_s(now_s)

    @property
    def remaining_ratio(self) -> float:
        """Share of the request's time budget that is left."""
        request = self.admitted.request
        total_s = self.admitted.deadline_s - request.arrived_s
        return self.remaining_s / max(0.001, total_s)

    def record_demand(self) -> None:
        """Counts the next attempt as one that needs a share of a limit."""
        shares = self._deployment.guard.shares
        shares.record_request(self.admitted.service, get_elapsed_s())

    def is_limited(self) -> bool:
        """Returns whether only shares of request limits stand in the way."""
        now_s, deployment = get_elapsed_s(), self._deployment
        noticed = deployment.guard.get_noticed(now_s)
        if not noticed:
            return False
        admitted = self.admitted
        ready = deployment.get_ready(admitted.service, admitted.allowed_regions)
        if len(noticed) < len(ready):
            return False
        denial = deployment.get_denial(ready, now_s)
        return denial is not None and denial.denial is Denial.LIMITED

    def choose_upstream(self, work: upstream_choice.AttemptCost) -> Upstream:
        """Chooses the next upstream and counts the attempt.

        Args:
            work: Time for which the attempt occupies an upstream, and its
                shared prompt prefix.

        Returns:
            The chosen upstream.

        Raises:
            GatewayRefusalError: No upstream is left for the request.
        """
        placement = self._choose_placement(work)
        if placement is None:
            raise missing_upstreams.make_refusal(self, self._deployment)
        upstream = placement.upstream
        if self.first_attempt_s is None:
            now_s = asyncio.get_running_loop().time()
            self.first_attempt_s = now_s - self.admitted.request.arrived_s
        self.work_s = placement.work_s
        self.is_cached = placement.is_cached
        if work.prefix_key is not None:
            upstream.record_sent_prefix(work.prefix_key)
        self.sent += 1
        self.noticed.update(upstream.notices.get_kinds(get_elapsed_s()))
        self.runs += 1
        self.tried.append(upstream.id)
        wait_s = upstream.performance.get_wait_s()
        self.waits_s.append(wait_s)
        self.excess_s = wait_s + placement.work_s - work.cached_s
        return upstream

    def _choose_placement(
        self, work: upstream_choice.AttemptCost
    ) -> upstream_choice.Placement | None:
        admitted, deployment = self.admitted, self._deployment
        now_s = get_elapsed_s()
        self.assignment = deployment.assign(
            admitted.service,
            admitted.request.session,
            str(admitted.request.id),
            now_s,
            admitted.allowed_regions,
        )
        for upstreams in self._get_upstream_groups():
            placement = upstream_choice.choose_upstream(
                upstreams,
                self._excluded,
                work,
                self._zone,
                now_s,
                self._rng,
                deployment.filter_warming_up(upstreams, now_s),
            )
            if placement is not None:
                return placement
        return None

    def _get_upstream_groups(self) -> Iterator[Sequence[Upstream]]:
        """Yields upstreams by version, in the order in which they are tried.

        A session is sent to other upstreams of its version before it changes
        the version.
        """
        if self._has_new_version_failed:
            # A failed answer of the new version is a sign against the version
            # rather than against the upstream, so other versions are tried
            # first.
            yield self._get_fallback_upstreams()
        yield self._get_assigned_upstreams()
        if self._has_new_version_failed:
            return
        admitted, deployment = self.admitted, self._deployment
        same_version = deployment.get_version_upstreams(
            admitted.service, self.assignment, admitted.allowed_regions
        )
        yield deployment.filter_available(same_version, get_elapsed_s())
        yield self._get_fallback_upstreams()

    def _get_fallback_upstreams(self) -> Sequence[Upstream]:
        admitted, deployment = self.admitted, self._deployment
        fallback = deployment.get_fallback(
            admitted.service, self.assignment, admitted.allowed_regions
        )
        return deployment.filter_available(fallback, get_elapsed_s())

    def get_shortest_wait_s(self) -> float:
        """Returns the shortest queue time among the version's upstreams."""
        return upstream_choice.get_shortest_wait_s(
            self._get_assigned_upstreams(), self._rng
        )

    def _get_assigned_upstreams(self) -> Sequence[Upstream]:
        now_s = get_elapsed_s()
        upstreams = self._deployment.get_upstreams(
            self.admitted.service,
            self.assignment,
            now_s,
            self.admitted.allowed_regions,
        )
        return self._deployment.filter_available(upstreams, now_s)

    def record_failure(
        self, upstream: Upstream, error: AttemptFailedError
    ) -> None:
        """Records the failure of an attempt.

        An attempt that reached no upstream counts neither as a retry nor as a
        sign that upstreams are full: after the crash of several upstreams,
        each request may be sent to a few stopped upstreams before it reaches
        a running one.

        Args:
            upstream: The upstream of the attempt; it gets no further attempt
                of this request.
            error: How the attempt failed, and whether the request may have
                run.
        """
        self._exclude(upstream)
        if error.run is RunState.NOT_RUN:
            self.runs -= 1
            if error.may_have_arrived:
                self._refusals += 1
        if not error.may_have_arrived:
            self.permit.return_used()

    def record_head(self, connect_s: float, head_s: float) -> None:
        """Records how long the last attempt took until its answer began.

        Args:
            connect_s: Time in seconds until the connection was open.
            head_s: Time in seconds from sending the request to the answer's
                head.
        """
        self.connect_s, self.head_s = connect_s, head_s

    def uncount_attempt(self) -> None:
        """Removes the last attempt from the counts, since it was not made."""
        self.sent -= 1
        self.runs -= 1
        self.tried.pop()
        self.waits_s.pop()

    def record_failed_answer(self, upstream: Upstream) -> None:
        """Records that the upstream's answer reported a failure.

        The upstream gets no further attempt of this request. An answer of the
        new version of a roll-out also counts against that version.
        """
        self._exclude(upstream)
        self._has_new_version_failed |= self.assignment.is_new

    def has_other_upstream(self) -> bool:
        """Returns whether any upstream has not failed the request yet."""
        return any(
            upstream.id not in self._excluded
            for upstreams in self._get_upstream_groups()
            for upstream in upstreams
        )

    def has_healthy_upstream(self, besides: Upstream | None = None) -> bool:
        """Returns whether the next attempt would get a healthy upstream.

        Args:
            besides: Upstream of an attempt under way. It is not counted, nor
                is any that has failed or refused the request before.
        """
        now_s = get_elapsed_s()
        excluded = self._excluded
        if besides is not None:
            excluded = self._failed | {besides.id}
        for upstreams in self._get_upstream_groups():
            left = [u for u in upstreams if u.id not in excluded]
            if left:
                return any(
                    upstream_choice.is_usable(u, (), now_s) for u in left
                )
        return False

    def _exclude(self, upstream: Upstream) -> None:
        self._excluded.add(upstream.id)
        self._failed.add(upstream.id)

    def readmit(self, upstreams: Collection[InstanceId]) -> None:
        """Lets upstreams have the request again.

        Where none of them is there any more, all others may have it again.
        """
        self._excluded -= set(upstreams)
        if not self.has_other_upstream():
            self._excluded.clear()

    def get_obstacle(self, outlasts_refusals: bool = False) -> Obstacle | None:
        """Returns why the request may not be sent again; None if it may.

        Args:
            outlasts_refusals: Whether it may be sent on to any number of
                upstreams that refuse it.
        """
        route = self.admitted.route
        if self.remaining_s < MIN_REMAINING_S:
            return Obstacle.NO_TIME_LEFT
        if self._refusals >= MAX_REFUSALS and not outlasts_refusals:
            return Obstacle.REFUSED
        if self.runs >= route.max_attempts:
            return Obstacle.ATTEMPTS_USED
        if self.runs and not route.may_run_again:
            return Obstacle.MAY_RUN_ONCE
        return None

    def may_retry(self) -> bool:
        """Returns whether a retry is allowed, and takes it from the budget."""
        if self.get_obstacle() is not None:
            return False
        if self.permit.take(get_elapsed_s()):
            return True
        _log.warning(
            "repeat_denied",
            extra={
                "request": self.admitted.request.id,
                "attempts": self.sent,
                "tokens": round(self.permit.tokens, 2),
            },
        )
        return False

    def may_escalate(self) -> bool:
        """Returns whether a larger model may be asked, and takes a retry.

        The retry comes from the budget; what the budget reserves for failed
        requests is left to them.
        """
        route = self.admitted.route
        if self.runs >= route.max_attempts or not route.may_run_again:
            return False
        # The answer that is ready is dropped for the larger model's.
        if not self.has_other_upstream():
            return False
        return self.permit.take_for_escalation(get_elapsed_s())

    def make_refusal(
        self,
        reason: str,
        is_retryable: bool = True,
        retry_after_s: float | None = None,
    ) -> GatewayRefusalError:
        """Makes the final error of a request that no upstream has answered.

        The error says that the request was not run (status 503) only where no
        attempt can have run.

        Args:
            reason: Stable name of the reason.
            is_retryable: Whether a retry by the caller could help.
            retry_after_s: Time in seconds after which it could; None where
                that is not known.

        Returns:
            The refusal: 503 where no attempt can have run, 504 where too
            little time is left until the deadline, 502 otherwise.
        """
        if self.runs == 0:
            if is_retryable and retry_after_s is None:
                retry_after_s = RETRY_AFTER_S
            return GatewayRefusalError(503, reason, retry_after_s)
        if self.remaining_s <= MIN_REMAINING_S:
            return GatewayRefusalError(504, reason)
        return GatewayRefusalError(502, reason)

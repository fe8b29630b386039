"""The attempts of one request: which may follow, and what may be said."""

from __future__ import annotations

import asyncio
import functools
import logging
import random
from collections.abc import Iterator, Sequence

from lovagestage.exceptions import AttemptFailedError, GatewayRefusalError
from lovagestage.gateway import choice
from lovagestage.gateway.admission import COME_BACK_S, Admitted
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.repeats import RepeatBudget
from lovagestage.gateway.rollouts import Assignment
from lovagestage.gateway.suspects import make_fingerprint
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import Fingerprint, InstanceId, RunState, ZoneId

_log = logging.getLogger(__name__)

MAX_REFUSALS = 3
"""Upstreams that may refuse a request before its caller is told to come back:
with three of them full the next one most likely is, too."""
MANY_UPSTREAMS = 100
"""The least wait is looked for among this many at most: a gauge of the load
needs no more, and each answer's head asks for it."""
MIN_LEFT_S = 0.05
"""Time that must be left for another attempt to be of use."""


class Attempts:
    """Counts one request's attempts and keeps it within its limits.

    Args:
        admitted: The request.
        deployment: What is in force.
        budget: Repeats of the service's requests.
        zone: The gateway's availability zone.
        rng: Source of randomness.

    Attributes:
        admitted: The request.
        assignment: Version that its session is on.
        sent: Attempts made.
        runs: Attempts that may have run.
        tried: Upstreams in the order of attempts.
        waits_s: Expected wait at each of them when it was chosen.
        work_s: Time that the last attempt takes of its upstream by itself.
        extra_s: What that one had to do first, beyond what such a request
            takes as a rule: the expected wait, and reading a new subject.
        is_cached: Whether that one has most likely read the subject before.
        model: Model of the last attempt; None where none is named.
        first_event_s: Time from the request's head to its first event.
        begun_s: Time from the request's head to its first attempt.
        connect_s: Time that the last answer's connection took to open.
        head_s: Time from sending the request to the head of that answer.
    """

    def __init__(
        self,
        admitted: Admitted,
        deployment: Deployment,
        budget: RepeatBudget,
        zone: ZoneId,
        rng: random.Random,
    ) -> None:
        self.admitted = admitted
        self.assignment = Assignment(None)
        self.sent = 0
        self.runs = 0
        self.tried: list[InstanceId] = []
        self.waits_s: list[float] = []
        self.work_s = 0.0
        self.extra_s = 0.0
        self.is_cached = False
        self.model: str | None = None
        self.first_event_s: float | None = None
        self.begun_s: float | None = None
        self.connect_s: float | None = None
        self.head_s: float | None = None
        self._deployment = deployment
        self._budget = budget
        self._zone = zone
        self._rng = rng
        self._excluded: set[InstanceId] = set()
        self._refusals = 0
        self._has_new_failed = False

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """Names the request whatever its id."""
        return make_fingerprint(self.admitted)

    @property
    def run_name(self) -> str:
        """Names the last attempt."""
        return f"{self.admitted.request.id}/{self.sent}"

    @property
    def left_s(self) -> float:
        """Time until the request's deadline."""
        now_s = asyncio.get_running_loop().time()
        return self.admitted.get_left_s(now_s)

    @property
    def left_ratio(self) -> float:
        """Part of the request's time that is left."""
        request = self.admitted.request
        total_s = self.admitted.deadline_s - request.arrived_s
        return self.left_s / max(0.001, total_s)

    def choose(self, work: choice.Work) -> Upstream:
        """Chooses the next upstream and counts the attempt.

        Raises:
            GatewayRefusalError: None is left.
        """
        placement = self._place(work)
        if placement is None:
            raise self.make_refusal(self._get_missing_reason())
        upstream = placement.upstream
        if self.begun_s is None:
            now_s = asyncio.get_running_loop().time()
            self.begun_s = now_s - self.admitted.request.arrived_s
        self.work_s = placement.work_s
        self.is_cached = placement.is_cached
        if work.subject is not None:
            upstream.note_sent_prompt(work.subject)
        self.sent += 1
        self.runs += 1
        self.tried.append(upstream.id)
        wait_s = upstream.performance.get_wait_s()
        self.waits_s.append(wait_s)
        self.extra_s = wait_s + placement.work_s - work.cached_s
        return upstream

    def _get_missing_reason(self) -> str:
        """Names why no upstream is left."""
        admitted, deployment = self.admitted, self._deployment
        at_home = deployment.get_ready(admitted.service, admitted.homes)
        if not at_home and deployment.get_ready(admitted.service, None):
            return "no_upstream_at_home"
        if at_home and not deployment.get_open(at_home, get_elapsed_s()):
            return "upstreams_cold"
        return "no_upstream"

    def _place(self, work: choice.Work) -> choice.Placement | None:
        admitted, deployment = self.admitted, self._deployment
        now_s = get_elapsed_s()
        self.assignment = deployment.assign(
            admitted.service,
            admitted.request.session,
            str(admitted.request.id),
            now_s,
            admitted.homes,
        )
        for upstreams in self._get_groups():
            placement = choice.choose_upstream(
                upstreams,
                self._excluded,
                work,
                self._zone,
                now_s,
                self._rng,
                deployment.get_cold(upstreams, now_s),
            )
            if placement is not None:
                return placement
        return None

    def _get_groups(self) -> Iterator[Sequence[Upstream]]:
        """Upstreams by version, in the order in which they are asked.

        A session goes to others of its version before it changes that.
        """
        if self._has_new_failed:
            # That speaks against the version, not the upstream.
            yield self._get_others()
        yield self._get_own()
        if self._has_new_failed:
            return
        admitted, deployment = self.admitted, self._deployment
        same = deployment.get_version_upstreams(
            admitted.service, self.assignment, admitted.homes
        )
        yield deployment.get_open(same, get_elapsed_s())
        yield self._get_others()

    def _get_others(self) -> Sequence[Upstream]:
        admitted, deployment = self.admitted, self._deployment
        others = deployment.get_fallback(
            admitted.service, self.assignment, admitted.homes
        )
        return deployment.get_open(others, get_elapsed_s())

    def get_least_wait_s(self) -> float:
        """Expected wait at the least busy upstream of the request's version."""
        own = self._get_own()
        if len(own) > MANY_UPSTREAMS:
            own = self._rng.sample(own, MANY_UPSTREAMS)
        return min((u.performance.get_wait_s() for u in own), default=0.0)

    def _get_own(self) -> Sequence[Upstream]:
        now_s = get_elapsed_s()
        upstreams = self._deployment.get_upstreams(
            self.admitted.service, self.assignment, now_s, self.admitted.homes
        )
        return self._deployment.get_open(upstreams, now_s)

    def note_failure(
        self, upstream: Upstream, error: AttemptFailedError
    ) -> None:
        """Takes an attempt's failure into account.

        One that reached no upstream is no repeat to anyone, nor a sign that
        upstreams are full: after the crash of several, each request may find
        a few of them gone before it finds one that is there.
        """
        self._excluded.add(upstream.id)
        if error.run is RunState.NOT_RUN:
            self.runs -= 1
            if error.has_arrived:
                self._refusals += 1
        if not error.has_arrived:
            self._budget.give_back()

    def note_head(self, connect_s: float, head_s: float) -> None:
        """Takes how long the last attempt took to be answered."""
        self.connect_s, self.head_s = connect_s, head_s

    def take_back(self) -> None:
        """Uncounts an attempt that was not made."""
        self.sent -= 1
        self.runs -= 1
        self.tried.pop()
        self.waits_s.pop()

    def note_failed_answer(self, upstream: Upstream) -> None:
        """Takes a failure that the upstream answered with into account."""
        self._excluded.add(upstream.id)
        self._has_new_failed |= self.assignment.is_new

    def has_other(self) -> bool:
        """Whether there is an upstream that has not failed this request."""
        return any(
            upstream.id not in self._excluded
            for upstreams in self._get_groups()
            for upstream in upstreams
        )

    def may_repeat(self) -> bool:
        """Whether another attempt is allowed, and takes it from the budget.

        After an attempt that may have run, only what may run again may be
        sent again, and no more often than its route allows.
        """
        route = self.admitted.route
        if self.left_s < MIN_LEFT_S or self._refusals >= MAX_REFUSALS:
            return False
        if self.runs >= route.max_attempts:
            return False
        if self.runs and not route.is_repeatable:
            return False
        if self._budget.take(get_elapsed_s()):
            return True
        _log.warning(
            "repeat_denied",
            extra={
                "request": self.admitted.request.id,
                "attempts": self.sent,
                "tokens": round(self._budget.tokens, 2),
            },
        )
        return False

    def may_escalate(self) -> bool:
        """Whether a larger model may be asked; takes it from the budget."""
        route = self.admitted.route
        if self.runs >= route.max_attempts or not route.is_repeatable:
            return False
        return self._budget.take_larger(get_elapsed_s())

    def make_refusal(
        self, reason: str, comes_back: bool = True
    ) -> GatewayRefusalError:
        """The final answer of a request that has none from an upstream.

        Only where no attempt can have run does it say so.

        Args:
            reason: Stable name of the reason.
            comes_back: Whether another try could help.
        """
        if self.runs == 0:
            retry_after_s = COME_BACK_S if comes_back else None
            return GatewayRefusalError(503, reason, retry_after_s)
        if self.left_s <= MIN_LEFT_S:
            return GatewayRefusalError(504, reason)
        return GatewayRefusalError(502, reason)

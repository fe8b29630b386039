"""Decides on moving a service's traffic to another version (no I/O).

Each gateway follows the same steps and weighs the same evidence, so all of
them send the same sessions to the new version without asking each other. The
first gateway that reaches a verdict writes it to the store; a verdict is
final.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Sequence

from lovagestage.decisions.positions import get_era, get_offset
from lovagestage.gateway.configuration import hash_to_share
from lovagestage.types import InstanceId, Position, ServiceId, VersionId

STOP_EVIDENCE = 5.0
"""Log-likelihood ratio at which a new version is stopped. The ratio compares a
version whose failure rate is higher by `BAD_FAILURE_RISE` with one that is as
good as the old version. A good version reaches the limit in about one of 150
roll-outs (Wald's bound)."""
EVIDENCE_FLOOR = -1.0
"""Lower limit of the log-likelihood ratio: good answers lower it no further
(Page's CUSUM), so that a version that becomes faulty late is found as fast as
one that is faulty from the start."""
BAD_FAILURE_RISE = 0.25
"""Rise of the failure rate that counts as bad; faulty versions fail a third of
their answers and more."""
MIN_FAILURE_RATE, MAX_FAILURE_RATE = 0.02, 0.5
"""Lower and upper limit of the old version's failure rate in the
log-likelihood ratio."""
MIN_NEW_FAILURES = 3
"""Failures of the new version that are needed to stop it, whatever their
likelihood: two failures can come from the crash of one upstream."""
EXPOSURE_USED_RATIO = 0.8
"""Share of the allowed exposure, less the exposure by the last steps, that the
first share of sessions uses; the rest is for bursts."""
FIRST_SHARES = (0.015, 0.03, 0.05, 0.07, 0.1, 0.13, 0.16, 0.2, 0.25)
"""Shares that a roll-out may begin with. They are few, so that gateways with
about the same traffic choose the same one."""
DEFAULT_SHARE = 0.05
"""First share where the gateway does not know the service's traffic yet."""


SLOW_ANSWER_RATE = 0.1
"""Minimum rate at which answers of a good version are assumed to be slow.
Answer times vary with the queues, so a slow answer is weaker evidence than a
failed one."""


class AnswerQuality(enum.Enum):
    """Quality of an answer, as evidence on the version that gave it."""

    GOOD = "good"
    SLOW = "slow"
    """The answer took several times as long as the mean."""
    FAILED = "failed"


class RolloutOutcome(enum.Enum):
    """State of a roll-out, as operators read it from the store."""

    RUNNING = "running"
    COMPLETED = "completed"
    REVERTED = "reverted"


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        service: The service.
        version: The new version.
        duration_s: Time in seconds after which the roll-out should be
            complete.
    """

    service: ServiceId
    version: VersionId
    duration_s: float


@dataclasses.dataclass(frozen=True)
class OutcomeRecord:
    """The store's record of a roll-out's state.

    Attributes:
        version: The new version.
        outcome: State of the roll-out.
        order: Position of the order.
        first_share: Share of the sessions on the new version before the load
            step; all gateways follow the first record that sets it.
    """

    version: VersionId
    outcome: RolloutOutcome
    order: Position
    first_share: float


@dataclasses.dataclass(frozen=True)
class RolloutStep:
    """A share of sessions on the new version from a point in time on.

    Attributes:
        from_ratio: Start of the step, as a share of the order's duration.
        share: Share of the sessions on the new version.
        min_answers: Answers of the new version, over all gateways, that are
            needed before the step is made.
    """

    from_ratio: float
    share: float
    min_answers: int


LOAD_STEP = RolloutStep(0.8, 0.25, 20)
"""Step that raises the load before the end of a roll-out: the new version gets
more traffic for several times as long as failures take to occur and to be
reported. Until then the share stays constant, so that no session changes its
version in the first half."""
TRIAL_LOAD_FACTOR = 1.25
"""Load of an upstream of the new version on trial, as a multiple of its load
once all traffic goes to the new version. Otherwise a version that fails only
in a burst would be detected only when the old version no longer runs."""
MIN_TRIAL_UPSTREAMS = 2
"""Minimum number of upstreams on trial: a single upstream that fails is no
evidence against its version."""
COUNT_REPORT_RATIOS = (0.77, 0.9)
"""Shares of the order's duration after which gateways report to each other how
many answers of the new version they have received: before the load step and
before the completion, which both depend on that number."""
COMPLETE_RATIO = 0.95
"""Share of the order's duration after which a version that was not stopped is
completed. It is late, so that a fault that never showed still keeps within the
allowed exposure."""
COMPLETE_ANSWERS = 20
"""Answers of the new version that are needed for its completion at
`COMPLETE_RATIO`."""
LATE_RATIO = 0.97
"""Share of the order's duration after which fewer answers suffice."""
LATE_ANSWERS = 5
"""Answers that complete the roll-out of a service with little traffic after
`LATE_RATIO` of the duration, if the evidence does not speak against the
version."""


LOST_S = 60.0
"""Age in seconds, beyond its duration, up to which an order that is read again
in a new era is taken for one that the store had lost: several times the age of
the copies that a store comes back from."""


def get_first_share(
    exposure_ratio: float, exposure_slack: float, expected_requests: float
) -> float:
    """Returns the share of sessions with which a roll-out begins.

    Args:
        exposure_ratio: Share of the service's requests that an unproved
            version may get.
        exposure_slack: Requests beyond that share.
        expected_requests: Requests of the service during the roll-out; 0 if
            unknown.
    """
    if expected_requests <= 0.0:
        return DEFAULT_SHARE
    allowed = exposure_ratio + exposure_slack / expected_requests
    last_steps = LOAD_STEP.share * (COMPLETE_RATIO - LOAD_STEP.from_ratio)
    last_steps += 1.0 - COMPLETE_RATIO
    limit = EXPOSURE_USED_RATIO * (allowed - last_steps) / LOAD_STEP.from_ratio
    allowed_shares = [share for share in FIRST_SHARES if share <= limit]
    return max(allowed_shares, default=FIRST_SHARES[0])


def choose_trial_upstreams(
    names: Sequence[InstanceId], seed: str, share: float
) -> set[InstanceId]:
    """Chooses the upstreams on which a new version is tried.

    If the small share of the new version were spread over as many upstreams as
    the full traffic needs, a version that fails under load would not meet
    that load before its completion. The share therefore goes to so few
    upstreams that each is loaded as in a burst. All gateways choose the same
    upstreams.

    Args:
        names: Upstreams of the new version.
        seed: Text that identifies the order.
        share: Share of the traffic that the chosen upstreams get together.
    """
    count = math.ceil(share * len(names) / TRIAL_LOAD_FACTOR)
    ranked = sorted(names, key=lambda name: hash_to_share(f"{seed}/{name}"))
    return set(ranked[: max(MIN_TRIAL_UPSTREAMS, count)])


def get_log_likelihood_ratio(failure_rate: float, failed: bool) -> float:
    """Returns the log-likelihood ratio of one answer of the new version.

    Args:
        failure_rate: Rate at which the old version fails such requests.
        failed: Whether the answer failed or was far too slow.
    """
    failure_rate = min(MAX_FAILURE_RATE, max(MIN_FAILURE_RATE, failure_rate))
    bad_rate = min(0.95, failure_rate + BAD_FAILURE_RISE)
    if failed:
        return math.log(bad_rate / failure_rate)
    return math.log((1.0 - bad_rate) / (1.0 - failure_rate))


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The version to which a request is sent.

    Attributes:
        version: The version; None for any version.
        is_new: Whether the version is the one that is rolled out.
    """

    version: VersionId | None
    is_new: bool = False


class Rollout:
    """A roll-out order and the gateway's state view of it.

    Args:
        order: The order.
        position: Position of the order in the store; identifies the order.
        received_s: Elapsed time in seconds at which this gateway received the
            order.
        warmup_s: Time in seconds for which upstreams warm up after their
            start.

    Attributes:
        order: The order.
        position: Position of the order.
        outcome: State of the roll-out; final once it is not RUNNING.
        is_stopped: Whether the evidence speaks against the new version.
        new_failures: Number of failures of the new version.
        first_share: Share of the sessions before the load step; 0 until it has
            been agreed. If each gateway had its own share, sessions would move
            between the versions.
        held_sessions: Sessions of all gateways that were active when the share
            was agreed; in the first half of the roll-out they are not moved to
            the new version.
    """

    def __init__(
        self,
        order: RolloutOrder,
        position: Position,
        received_s: float,
        warmup_s: float = 0.0,
    ) -> None:
        self.order = order
        self.position = position
        self._earlier_positions: set[Position] = set()
        self.outcome = RolloutOutcome.RUNNING
        self.is_stopped = False
        self.new_failures = 0
        self.first_share = 0.0
        self.held_sessions: set[str] = set()
        self._share_set_s: float | None = None
        self._received_s = received_s
        # A session that is assigned to a version while this version's
        # upstreams are warming up finds no capacity there half of the time,
        # and would alternate between the versions.
        self._collection_s = max(
            SESSION_COLLECTION_S, warmup_s + START_MARGIN_S
        )
        self._evidence: dict[str, float] = {}
        self._failed_upstreams: set[str] = set()
        self._answers: dict[str, int] = {}

    def move(self, position: Position) -> None:
        """Records that the store holds the order at another position now."""
        self._earlier_positions.add(self.position)
        self.position = position

    def is_at(self, position: Position) -> bool:
        """Returns whether the order stands, or has stood, at a position.

        Gateways of earlier releases name the offset alone.
        """
        own = {self.position, *self._earlier_positions}
        return position in own or (
            not get_era(position)
            and get_offset(position) in {get_offset(each) for each in own}
        )

    def is_repeated_by(
        self, order: RolloutOrder, position: Position, now_s: float
    ) -> bool:
        """Returns whether an order is this one, written again or kept.

        That is so only after the store has come back from a copy. An order that
        the copy holds stands at its old offset; one that the store had lost is
        written again within seconds.

        Args:
            order: The order.
            position: Its position.
            now_s: Elapsed time in seconds.
        """
        if order != self.order or get_era(position) == get_era(self.position):
            return False
        is_kept = get_offset(position) == get_offset(self.position)
        is_recent = self.get_age_s(now_s) < self.order.duration_s + LOST_S
        return is_kept or is_recent

    def set_first_share(self, first_share: float, now_s: float) -> None:
        """Sets the first share that all gateways follow."""
        if self._share_set_s is None:
            self._share_set_s = now_s
        self.first_share = first_share

    def is_below_first_share(self, session: str) -> bool:
        """Returns whether the first share includes a session."""
        return hash_to_share(self._make_seed(session)) < self.first_share

    def is_collecting(self, now_s: float) -> bool:
        """Returns whether gateways still report their active sessions."""
        return (
            self._share_set_s is None
            or now_s - self._share_set_s < self._collection_s
        )

    def apply_age(self, age_s: float, now_s: float) -> None:
        """Applies the order's age as another gateway reported it.

        The earliest time at which a gateway received the order counts.

        Args:
            age_s: Age of the order in seconds.
            now_s: Elapsed time in seconds.
        """
        self._received_s = min(self._received_s, now_s - age_s)

    def record_answers(self, gateway: str, count: int) -> None:
        """Records how many answers of the new version a gateway received."""
        known = self._answers.get(gateway, 0)
        self._answers[gateway] = max(known, count)

    def get_answer_count(self) -> int:
        """Returns how many answers the new version gave, over all gateways."""
        return sum(self._answers.values())

    def get_age_s(self, now_s: float) -> float:
        """Returns the seconds since any gateway first received the order."""
        return now_s - self._received_s

    def is_loaded(self, now_s: float) -> bool:
        """Returns whether the new version has reached its load step."""
        return self.get_share(now_s) >= LOAD_STEP.share

    def get_elapsed_ratio(self, now_s: float) -> float:
        """Returns the share of the order's duration that has passed."""
        return self.get_age_s(now_s) / max(1.0, self.order.duration_s)

    def get_share(self, now_s: float) -> float:
        """Returns the share of the sessions that go to the new version."""
        if self.outcome is RolloutOutcome.COMPLETED:
            return 1.0
        if self.is_stopped or self.outcome is RolloutOutcome.REVERTED:
            return 0.0
        if self.is_collecting(now_s):
            return 0.0
        is_due = self.get_elapsed_ratio(now_s) >= LOAD_STEP.from_ratio
        if is_due and self.get_answer_count() >= LOAD_STEP.min_answers:
            return LOAD_STEP.share
        return self.first_share

    def is_new(self, seed: str, now_s: float) -> bool:
        """Returns whether a session goes to the new version.

        Sessions on the new version stay there as the share grows.
        """
        return hash_to_share(self._make_seed(seed)) < self.get_share(now_s)

    def add_evidence(self, route: str, evidence: float) -> None:
        """Adds evidence from answers of one route.

        The evidence of each route is summed separately: a version may be
        faulty on a single route.

        Args:
            route: Name of the route.
            evidence: Log-likelihood ratio of the answers.
        """
        known = self._evidence.get(route, 0.0)
        self._evidence[route] = max(EVIDENCE_FLOOR, known + evidence)

    def add_failure(self, upstream: str, peers: int) -> None:
        """Records a failure of the new version, after its evidence was added.

        The version is stopped where the failures, the upstreams that they came
        from and the evidence suffice.

        Args:
            upstream: Upstream of the new version that failed.
            peers: Number of upstreams of the new version.
        """
        self.new_failures += 1
        self._failed_upstreams.add(upstream)
        if self.new_failures < MIN_NEW_FAILURES:
            return
        if len(self._failed_upstreams) < min(2, peers):
            # If only one upstream of several fails, the fault is that
            # upstream's and not the version's.
            return
        if max(self._evidence.values(), default=0.0) >= STOP_EVIDENCE:
            self.is_stopped = True

    def get_due_outcome(self, now_s: float) -> RolloutOutcome:
        """Returns the outcome that should be written now; RUNNING for none."""
        if self.outcome is not RolloutOutcome.RUNNING:
            return RolloutOutcome.RUNNING
        if self.is_stopped:
            return RolloutOutcome.REVERTED
        ratio, answers = self.get_elapsed_ratio(now_s), self.get_answer_count()
        if ratio >= COMPLETE_RATIO and answers >= COMPLETE_ANSWERS:
            return RolloutOutcome.COMPLETED
        is_clean = max(self._evidence.values(), default=0.0) <= 0.0
        if ratio >= LATE_RATIO and answers >= LATE_ANSWERS and is_clean:
            return RolloutOutcome.COMPLETED
        return RolloutOutcome.RUNNING

    def _make_seed(self, seed: str) -> str:
        return f"{self.order.service}/{self.order.version}/{seed}"


SESSION_HOLD_RATIO = 0.51
"""Share of the duration until which a session stays on the old version if it
began there; a little over the half, since gateways receive an order at
different moments."""
START_MARGIN_S = 0.5
"""Time in seconds that upstreams of a new version may take to start after the
order."""
SESSION_COLLECTION_S = 2.0
"""Time in seconds in which gateways report their active sessions, before any
session is moved to the new version. A session's requests arrive at any
gateway, so a single gateway does not know all sessions: a report waits up to
0.25 s for the periodic check, 0.15 s to be batched with others, and the
store's peer messages are read up to 1 s apart."""


def choose_version(
    rollout: Rollout | None,
    versions: Sequence[VersionId],
    seed: str,
    now_s: float,
    is_pinned_elsewhere: bool = False,
) -> Assignment:
    """Chooses the version of a request.

    Args:
        rollout: The service's last roll-out; None without one.
        versions: Versions of the upstreams that take requests.
        seed: The request's session, or its id.
        now_s: Elapsed time in seconds.
        is_pinned_elsewhere: Whether the session is active and was last on
            another version than the new one.

    Returns:
        The assignment; its version is None where upstreams of any version may
        be used.
    """
    if rollout is None:
        return Assignment(None)
    target = rollout.order.version
    old = [version for version in versions if version != target]
    if rollout.outcome is RolloutOutcome.COMPLETED:
        return Assignment(target)
    if target not in versions:
        return Assignment(None)
    if not old:
        # A reverted version still serves requests where no other version is
        # left.
        return Assignment(target, True)
    stays_on_old = is_pinned_elsewhere or seed in rollout.held_sessions
    stays_on_old = (
        stays_on_old and rollout.get_elapsed_ratio(now_s) < SESSION_HOLD_RATIO
    )
    is_new = rollout.is_new(seed, now_s) and not stays_on_old
    return Assignment(target if is_new else old[0], is_new)

"""Moves a service's traffic to another version: pure decisions.

Each gateway follows the same steps and weighs the same evidence, so all send
the same sessions to the new version without asking each other. Whoever
reaches a verdict first writes it; a verdict is final.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Sequence

from lovagestage.gateway.configuration import get_share
from lovagestage.types import InstanceId, ServiceId, VersionId

STOP_EVIDENCE = 5.0
"""Log-likelihood ratio at which a version is stopped, of being worse by
`BAD_RISE` against being as good as the old one. A good version reaches it in
about one of 150 roll-outs (Wald's bound)."""
EVIDENCE_FLOOR = -1.0
"""Good answers lower the evidence no further (Page's CUSUM), so that a version
that turns bad late is found as fast as one that is bad at once."""
BAD_RISE = 0.25
"""Rise of the failure rate that counts as bad; faulty versions fail a third
of their answers and more."""
MIN_RISK, MAX_RISK = 0.02, 0.5
"""Bounds of the old version's failure rate in the ratio."""
MIN_NEW_FAILURES = 3
"""Failures of the new version before it is stopped, whatever their odds: two
can come from one upstream that crashed."""
EXPOSURE_USE = 0.8
"""Part of the exposure that the last steps leave which the first share uses;
the rest is for bursts."""
SHARES = (0.015, 0.03, 0.05, 0.07, 0.1, 0.13, 0.16, 0.2, 0.25)
"""First shares, so that gateways with about the same traffic have the same."""
DEFAULT_SHARE = 0.05
"""First share of a gateway that does not know its traffic yet."""


SLOW_RISK = 0.1
"""Rate at which answers of a good version are taken to be slow at least. It
varies with what waits, so that a slow answer says less than a failed one."""


class AnswerQuality(enum.Enum):
    """What an answer says of the version that gave it."""

    GOOD = "good"
    SLOW = "slow"
    """It took several times as long as others do."""
    FAILED = "failed"


class RolloutOutcome(enum.Enum):
    """What operators read of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    REVERTED = "reverted"


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's wish to move a service to a version.

    Attributes:
        service: The service.
        version: The new version.
        duration_s: Time after which it should be done.
    """

    service: ServiceId
    version: VersionId
    duration_s: float


@dataclasses.dataclass(frozen=True)
class OutcomeRecord:
    """What the store holds of a roll-out.

    Attributes:
        version: The new version.
        outcome: Where it stands.
        order: Offset of the order.
        first_share: Share of the sessions before the load step; all gateways
            follow the first one that writes it.
    """

    version: VersionId
    outcome: RolloutOutcome
    order: int
    first_share: float


@dataclasses.dataclass(frozen=True)
class Step:
    """A share of sessions on the new version from a point in time on.

    Attributes:
        from_ratio: Start, as part of the order's duration.
        share: Share of the sessions.
        min_answers: Answers of the new version, over all gateways, without
            which the step is not made.
    """

    from_ratio: float
    share: float
    min_answers: int


LOAD_STEP = Step(0.8, 0.25, 20)
"""Before the end the new version gets more, for several times as long as
failures take to show and to be told. Before that the share stands still, so
that no session changes its version in the first half."""
TRIAL_LOAD = 1.25
"""Load of an upstream of the new version on trial, as a multiple of what it
will have once all traffic is there. A version that fails only in a burst
would else be found out when the old one is gone."""
MIN_TRIAL_UPSTREAMS = 2
"""One that fails by itself is no evidence against its version."""
COUNT_RATIOS = (0.77, 0.9)
"""When gateways tell each other how many answers they had: before the load
step and before the version is completed, which both depend on it."""
COMPLETE_RATIO = 0.95
"""Part of the duration after which an unstopped version is taken for good.
Late: a fault that never showed still keeps within the allowed exposure."""
COMPLETE_ANSWERS = 20
LATE_RATIO = 0.97
LATE_ANSWERS = 5
"""A service with little traffic is done a little later with fewer answers, if
none of them speaks against the version."""


def get_first_share(
    exposure_ratio: float, exposure_slack: float, expected_requests: float
) -> float:
    """Share with which a roll-out begins.

    Args:
        exposure_ratio: Part of the service's requests that an unproved
            version may get.
        exposure_slack: Requests beyond that part.
        expected_requests: Requests of the service while it runs; 0 if
            unknown.
    """
    if expected_requests <= 0.0:
        return DEFAULT_SHARE
    allowed = exposure_ratio + exposure_slack / expected_requests
    last = LOAD_STEP.share * (COMPLETE_RATIO - LOAD_STEP.from_ratio)
    last += 1.0 - COMPLETE_RATIO
    limit = EXPOSURE_USE * (allowed - last) / LOAD_STEP.from_ratio
    fitting = [share for share in SHARES if share <= limit]
    return max(fitting, default=SHARES[0])


def choose_trial(
    names: Sequence[InstanceId], seed: str, share: float
) -> set[InstanceId]:
    """Chooses the upstreams of the new version that take its share.

    The load that this answers: a version that fails under load gets a small
    share, spread over as many upstreams as all traffic needs, and so never
    meets that load before it is completed. The share goes to so few of them
    that each one is loaded as in a burst. All gateways choose the same.

    Args:
        names: Upstreams of the new version.
        seed: Names the order.
        share: Share of the traffic that they get together.
    """
    count = math.ceil(share * len(names) / TRIAL_LOAD)
    ranked = sorted(names, key=lambda name: get_share(f"{seed}/{name}"))
    return set(ranked[: max(MIN_TRIAL_UPSTREAMS, count)])


def get_evidence(risk: float, failed: bool) -> float:
    """Log-likelihood ratio of one answer of the new version.

    Args:
        risk: Rate at which the old version fails such requests.
        failed: Whether it failed or was far too slow.
    """
    risk = min(MAX_RISK, max(MIN_RISK, risk))
    worse = min(0.95, risk + BAD_RISE)
    if failed:
        return math.log(worse / risk)
    return math.log((1.0 - worse) / (1.0 - risk))


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Which version a request goes to.

    Attributes:
        version: The version; None for any.
        is_new: Whether it is the one that is rolled out.
    """

    version: VersionId | None
    is_new: bool = False


class Rollout:
    """One order and what is known of it.

    Args:
        order: The order.
        offset: Offset of the order in the store; names it.
        seen_s: Elapsed time at which it was first seen.
        warmup_s: Time for which upstreams are cold after their start.

    Attributes:
        order: The order.
        offset: Offset of the order.
        outcome: Its outcome; final once it is not RUNNING.
        is_stopped: Whether the evidence speaks against the new version.
        new_failures: Failures of the new version.
        first_share: Share of the sessions before the load step. 0 until it
            has been agreed: with shares of their own, gateways would move
            sessions between the versions.
        held: Sessions that were going on when the share was agreed, of all
            gateways; in the first half they stay where they are.
    """

    def __init__(
        self,
        order: RolloutOrder,
        offset: int,
        seen_s: float,
        warmup_s: float = 0.0,
    ) -> None:
        self.order = order
        self.offset = offset
        self.outcome = RolloutOutcome.RUNNING
        self.is_stopped = False
        self.new_failures = 0
        self.first_share = 0.0
        self.held: set[str] = set()
        self._agreed_s: float | None = None
        self._seen_s = seen_s
        # A session that goes to a version while this is cold finds no room
        # there half of the time, and would go to and fro between versions.
        self._collect_s = max(COLLECT_S, warmup_s + WARM_MARGIN_S)
        self._evidence: dict[str, float] = {}
        self._failed_upstreams: set[str] = set()
        self._answers: dict[str, int] = {}

    def agree(self, first_share: float, now_s: float) -> None:
        """Takes the first share that all gateways follow."""
        if self._agreed_s is None:
            self._agreed_s = now_s
        self.first_share = first_share

    def is_below_first_share(self, session: str) -> bool:
        """Whether a session would go to the new version from the start."""
        return get_share(self._make_seed(session)) < self.first_share

    def is_collecting(self, now_s: float) -> bool:
        """Whether gateways still tell which sessions are going on."""
        return (
            self._agreed_s is None or now_s - self._agreed_s < self._collect_s
        )

    def note_age(self, age_s: float, now_s: float) -> None:
        """Takes another gateway's word that the order is older."""
        self._seen_s = min(self._seen_s, now_s - age_s)

    def note_answers(self, gateway: str, count: int) -> None:
        """Takes how many answers of the new version a gateway has had."""
        known = self._answers.get(gateway, 0)
        self._answers[gateway] = max(known, count)

    def get_answers(self) -> int:
        """Answers of the new version, over all gateways."""
        return sum(self._answers.values())

    def get_age_s(self, now_s: float) -> float:
        """Time since the order was first seen by any gateway."""
        return now_s - self._seen_s

    def is_loaded(self, now_s: float) -> bool:
        """Whether the new version has reached its load step."""
        return self.get_share(now_s) >= LOAD_STEP.share

    def get_ratio(self, now_s: float) -> float:
        """Part of the order's duration that is over."""
        return self.get_age_s(now_s) / max(1.0, self.order.duration_s)

    def get_share(self, now_s: float) -> float:
        """Share of the sessions that go to the new version."""
        if self.outcome is RolloutOutcome.COMPLETED:
            return 1.0
        if self.is_stopped or self.outcome is RolloutOutcome.REVERTED:
            return 0.0
        if self.is_collecting(now_s):
            return 0.0
        is_due = self.get_ratio(now_s) >= LOAD_STEP.from_ratio
        if is_due and self.get_answers() >= LOAD_STEP.min_answers:
            return LOAD_STEP.share
        return self.first_share

    def is_new(self, seed: str, now_s: float) -> bool:
        """Whether a session goes to the new version.

        Sessions that were moved stay moved as the share grows.
        """
        return get_share(self._make_seed(seed)) < self.get_share(now_s)

    def add_evidence(self, route: str, evidence: float) -> None:
        """Takes evidence from answers of one route.

        Routes are weighed apart: a version may be bad on one of them alone.
        """
        known = self._evidence.get(route, 0.0)
        self._evidence[route] = max(EVIDENCE_FLOOR, known + evidence)

    def add_failure(self, upstream: str, peers: int) -> None:
        """Takes that the new version failed, after its evidence.

        Args:
            upstream: Which of its upstreams did.
            peers: Number of its upstreams.
        """
        self.new_failures += 1
        self._failed_upstreams.add(upstream)
        if self.new_failures < MIN_NEW_FAILURES:
            return
        if len(self._failed_upstreams) < min(2, peers):
            # One upstream of several fails by its own fault.
            return
        if max(self._evidence.values(), default=0.0) >= STOP_EVIDENCE:
            self.is_stopped = True

    def get_due_outcome(self, now_s: float) -> RolloutOutcome:
        """The outcome that should be written now; RUNNING for none."""
        if self.outcome is not RolloutOutcome.RUNNING:
            return RolloutOutcome.RUNNING
        if self.is_stopped:
            return RolloutOutcome.REVERTED
        ratio, answers = self.get_ratio(now_s), self.get_answers()
        if ratio >= COMPLETE_RATIO and answers >= COMPLETE_ANSWERS:
            return RolloutOutcome.COMPLETED
        is_clean = max(self._evidence.values(), default=0.0) <= 0.0
        if ratio >= LATE_RATIO and answers >= LATE_ANSWERS and is_clean:
            return RolloutOutcome.COMPLETED
        return RolloutOutcome.RUNNING

    def _make_seed(self, seed: str) -> str:
        return f"{self.order.service}/{self.order.version}/{seed}"


HALF_RATIO = 0.51
"""Until then a session stays on the old version if it began there; a little
over the half, since gateways learn of an order at different moments."""
WARM_MARGIN_S = 0.5
"""Time that upstreams of a new version may take to start after the order."""
COLLECT_S = 2.0
"""Time in which gateways tell which sessions are going on, before any goes to
the new version. A session's requests come to any gateway, so one gateway does
not know them all: a note waits up to 0.25 s for a look at what is due, 0.15 s
for others, and reads of notes are up to 1 s apart."""


def choose_versions(
    rollout: Rollout | None,
    versions: Sequence[VersionId],
    seed: str,
    now_s: float,
    is_pinned_off: bool = False,
) -> Assignment:
    """Chooses the version of a request.

    Args:
        rollout: The service's last order; None without one.
        versions: Versions of the upstreams that take requests.
        seed: The request's session, or its id.
        now_s: Elapsed time.
        is_pinned_off: Whether the session is going on, on another version
            than the new one.
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
        # A reverted version still serves where nothing else is left.
        return Assignment(target, True)
    is_held = is_pinned_off or seed in rollout.held
    is_held = is_held and rollout.get_ratio(now_s) < HALF_RATIO
    is_new = rollout.is_new(seed, now_s) and not is_held
    return Assignment(target if is_new else old[0], is_new)

"""Moves a service's traffic to another version: pure decisions.

Each gateway follows the same steps and weighs the same evidence, so all send
the same sessions to the new version without asking each other. Whoever
reaches a verdict first writes it; a verdict is final.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Sequence

from lovagestage.betting import FailureTest
from lovagestage.gateway.configuration import get_share
from lovagestage.types import ServiceId, VersionId

TOLERATED_RISK = 1.5
"""A new version that fails up to this much more often is not stopped."""
STOP_WEALTH = 60.0
"""Evidence at which a version is stopped: by Ville's inequality a good one is
stopped in at most one of so many roll-outs."""
MIN_NEW_FAILURES = 3
"""Failures of the new version before it is stopped, whatever their odds: two
can come from one upstream that crashed."""


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
    """

    version: VersionId
    outcome: RolloutOutcome
    order: int


@dataclasses.dataclass(frozen=True)
class Step:
    """A share of sessions on the new version from a point in time on.

    Attributes:
        from_ratio: Start, as part of the order's duration.
        share: Share of the sessions.
    """

    from_ratio: float
    share: float


STEPS = (
    Step(0.0, 0.08),
    Step(0.52, 0.25),
    Step(0.62, 0.5),
    Step(0.72, 0.9),
)
"""In the first half the share stands still, so that no session changes its
version there. Later steps load the new version as it will be loaded: some
faults show only then. The last one leaves some traffic on the old version,
without which a failure would be no evidence against the new one."""
COMPLETE_RATIO = 0.86
"""Part of the duration after which an unstopped version is taken for good;
what is left is for a store that is away."""


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Which version a request goes to.

    Attributes:
        version: The version; None for any.
        is_new: Whether it is the one that is rolled out.
        share: Chance that the request had of that; 0 outside roll-outs.
    """

    version: VersionId | None
    is_new: bool = False
    share: float = 0.0


class Rollout:
    """One order and what is known of it.

    Args:
        order: The order.
        offset: Offset of the order in the store; names it.
        seen_s: Elapsed time at which it was first seen.

    Attributes:
        order: The order.
        offset: Offset of the order.
        outcome: Its outcome; final once it is not RUNNING.
        is_stopped: Whether the evidence speaks against the new version.
        new_failures: Failures of the new version.
    """

    def __init__(self, order: RolloutOrder, offset: int, seen_s: float) -> None:
        self.order = order
        self.offset = offset
        self.outcome = RolloutOutcome.RUNNING
        self.is_stopped = False
        self.new_failures = 0
        self._failed_upstreams: set[str] = set()
        self._seen_s = seen_s
        self._test = FailureTest(TOLERATED_RISK)

    def note_age(self, age_s: float, now_s: float) -> None:
        """Takes another gateway's word that the order is older."""
        self._seen_s = min(self._seen_s, now_s - age_s)

    def get_age_s(self, now_s: float) -> float:
        """Time since the order was first seen by any gateway."""
        return now_s - self._seen_s

    def get_share(self, now_s: float) -> float:
        """Share of the sessions that go to the new version."""
        if self.outcome is RolloutOutcome.COMPLETED:
            return 1.0
        if self.is_stopped or self.outcome is RolloutOutcome.REVERTED:
            return 0.0
        ratio = self.get_age_s(now_s) / max(1.0, self.order.duration_s)
        return max(s.share for s in STEPS if s.from_ratio <= ratio)

    def is_new(self, seed: str, now_s: float) -> bool:
        """Whether a session goes to the new version.

        Sessions that were moved stay moved as the share grows.
        """
        return get_share(self._make_seed(seed)) < self.get_share(now_s)

    def add_failure(
        self, is_new: bool, share: float, upstream: str, peers: int
    ) -> None:
        """Takes a failed or far too slow answer, of any gateway.

        Args:
            is_new: Whether the new version gave it.
            share: Chance that the request had of going there.
            upstream: Who gave it.
            peers: Upstreams of the new version.
        """
        if is_new:
            self.new_failures += 1
            self._failed_upstreams.add(upstream)
        self._test.add(is_new, share)
        if self.new_failures < MIN_NEW_FAILURES:
            return
        if len(self._failed_upstreams) < min(2, peers):
            # One upstream of several fails by its own fault.
            return
        if self._test.get_wealth() >= STOP_WEALTH:
            self.is_stopped = True

    def get_due_outcome(self, now_s: float) -> RolloutOutcome:
        """The outcome that should be written now; RUNNING for none."""
        if self.outcome is not RolloutOutcome.RUNNING:
            return RolloutOutcome.RUNNING
        if self.is_stopped:
            return RolloutOutcome.REVERTED
        done_s = COMPLETE_RATIO * self.order.duration_s
        if self.get_age_s(now_s) >= done_s:
            return RolloutOutcome.COMPLETED
        return RolloutOutcome.RUNNING

    def _make_seed(self, seed: str) -> str:
        return f"{self.order.service}/{self.order.version}/{seed}"


def choose_versions(
    rollout: Rollout | None,
    versions: Sequence[VersionId],
    seed: str,
    now_s: float,
) -> Assignment:
    """Chooses the version of a request.

    Args:
        rollout: The service's last order; None without one.
        versions: Versions of the upstreams that take requests.
        seed: The request's session, or its id.
        now_s: Elapsed time.
    """
    if rollout is None:
        return Assignment(None)
    target = rollout.order.version
    old = [version for version in versions if version != target]
    if rollout.outcome is RolloutOutcome.COMPLETED:
        return Assignment(target)
    if target not in versions:
        return Assignment(None)
    share = rollout.get_share(now_s)
    if not old:
        # A reverted version still serves where nothing else is left.
        return Assignment(target, True, share)
    is_new = rollout.is_new(seed, now_s)
    return Assignment(target if is_new else old[0], is_new, share)

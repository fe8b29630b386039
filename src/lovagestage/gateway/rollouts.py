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

from lovagestage.decisions.positions import SETTLE_S, get_era, get_offset
from lovagestage.gateway.configuration import hash_to_share
from lovagestage.gateway.outages import OutageTable
from lovagestage.gateway.rollout_evidence import (
    EVIDENCE_FLOOR,
    LATE_PROOF_EVIDENCE,
    MEAN_PROOF_EVIDENCE,
    MIN_NEW_FAILURES,
    OVERDUE_SUSPICION_EVIDENCE,
    PROOF_EVIDENCE,
    STOP_EVIDENCE,
    SUSPICION_EVIDENCE,
)
from lovagestage.gateway.rollout_shares import COMPLETE_RATIO, LOAD_STEP
from lovagestage.types import Position, ServiceId, VersionId


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
class UnderWayReport:
    """What a gateway's requests under way say of a new version.

    Attributes:
        evidence: Sum of their log-likelihood ratios.
        age_s: Age of the order at the report, in seconds.
        valid_s: Time in seconds for which it counts: the requests of a gateway
            that reports no more have ended with it.
    """

    evidence: float
    age_s: float
    valid_s: float


ALL_ROUTES = ""
"""Key of the evidence of all routes together."""
COMPLETE_ANSWERS = 30
"""Answers of the new version that are needed for its completion at
`COMPLETE_RATIO`."""
VERDICT_MARGIN_S = 1.0
"""Time in seconds that a verdict needs to be reached, written and followed
everywhere; a short order is due earlier than `COMPLETE_RATIO` for it."""
MIN_DUE_RATIO = 0.9
"""Smallest share of the order's duration after which a verdict is due."""
LATE_RATIO = 0.97
"""Share of the order's duration after which fewer answers suffice."""
LATE_ANSWERS = 8
"""Answers that complete the roll-out of a service with little traffic after
`LATE_RATIO` of the duration, if the evidence does not speak against the
version."""
BUSY_ANSWERS = 14
"""Answers to be expected until the verdict from which a service has more than
little traffic."""
EXPECTED_ANSWERS_RATIO = 0.7
"""Share of the answers to be expected that are needed, where that is less than
`COMPLETE_ANSWERS`; sessions are few, and the first share gets more or less."""
MAX_UNDER_WAY_EVIDENCE = 1.0
"""Log-likelihood ratio of the requests under way above which a version is not
completed yet: about one that lasts longer than the old version's would."""
CALM_S = 0.5
"""Time in seconds for which this must have been so: while requests end and
begin, the evidence falls for a moment again and again."""
UNDER_WAY_EVIDENCE_RATIO = 0.05
"""The same for each answer, where that is more: of many requests of a good
version some last long."""
OVERDUE_RATIO = 2.0
"""Multiple of the order's duration after which an undecided version is
reverted: it is not proved, and no more answers are to be expected."""


LOST_S = 60.0
"""Age in seconds, beyond its duration, up to which an order that is read again
in a new era is taken for one that the store had lost: several times the age of
the copies that a store comes back from."""


START_MARGIN_S = 0.5
"""Time in seconds that upstreams of a new version may take to start after the
order."""
SESSION_COLLECTION_S = 2.0
"""Time in seconds in which gateways report their active sessions, before any
session is moved to the new version. A session's requests arrive at any
gateway, so a single gateway does not know all sessions: a report waits up to
0.25 s for the periodic check, 0.15 s to be batched with others, and the
store's peer messages are read up to 1 s apart."""


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
        expected_answers: Answers that the shares should bring until the
            verdict; that fewer have come is a sign by itself, as those that
            have not may be the slow ones.
        held_sessions: Sessions of all gateways that were active when the share
            was agreed; in the first half of the roll-out they are not moved to
            the new version.
        outages: Outages of the new version's upstreams.
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
        self.outages = OutageTable()
        self._share_set_s: float | None = None
        self._received_s = received_s
        # Since when this gateway would have heard of an outcome that others
        # know and the store may have lost.
        self._listening_s = received_s
        self.expected_answers = 0.0
        # A session that is assigned to a version while this version's
        # upstreams are warming up finds no capacity there half of the time,
        # and would alternate between the versions.
        self._collection_s = max(
            SESSION_COLLECTION_S, warmup_s + START_MARGIN_S
        )
        self._evidence: dict[str, float] = {}
        self._failed_upstreams: set[str] = set()
        self._is_version_suspect = False
        self._reports: dict[str, tuple[int, float]] = {}
        self._under_way: dict[str, UnderWayReport] = {}
        self._rates_per_s: dict[str, float] = {}
        # When requests were last seen to last longer than they should.
        self._lasting_s = -math.inf

    def move(self, position: Position, now_s: float) -> None:
        """Records that the store holds the order at another position now.

        It has come back from a copy, which may lack an outcome until a gateway
        that knows it has written it again.
        """
        self._earlier_positions.add(self.position)
        self.position = position
        self._listening_s = now_s

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

    def get_start_ratio(self) -> float:
        """Returns the share of the duration before the first share holds."""
        return self._collection_s / max(1.0, self.order.duration_s)

    def record_rate(self, gateway: str, requests_per_s: float) -> None:
        """Records how many requests of the service a gateway gets a second."""
        if requests_per_s > 0.0:
            self._rates_per_s[gateway] = requests_per_s

    def get_mean_rate_per_s(self) -> float:
        """Returns the mean rate of the gateways whose rate is known."""
        rates_per_s = self._rates_per_s.values()
        return sum(rates_per_s) / max(1, len(rates_per_s))

    def set_expected_requests(self, requests: float) -> None:
        """Records how many requests the service gets during the order."""
        first_step = max(0.0, LOAD_STEP.from_ratio - self.get_start_ratio())
        load_step = COMPLETE_RATIO - LOAD_STEP.from_ratio
        self.expected_answers = requests * (
            self.first_share * first_step + LOAD_STEP.share * load_step
        )

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

    def record_answers(
        self, gateway: str, count: int, evidence: float = 0.0
    ) -> None:
        """Records the answers of the new version that a gateway received.

        Args:
            gateway: The gateway. What is known of it outlives it.
            count: Number of its answers.
            evidence: Sum of their log-likelihood ratios.
        """
        known = self._reports.get(gateway, (0, 0.0))
        if count >= known[0]:
            self._reports[gateway] = (count, evidence)

    def get_answer_count(self) -> int:
        """Returns how many answers the new version gave, over all gateways."""
        return sum(count for count, _ in self._reports.values())

    def get_total_evidence(self) -> float:
        """Returns the log-likelihood ratio of all gateways' answers."""
        return sum(evidence for _, evidence in self._reports.values())

    def record_under_way(self, gateway: str, report: UnderWayReport) -> None:
        """Records what a gateway's requests under way say.

        Args:
            gateway: The gateway.
            report: What it reports; an older one than is known is ignored.
        """
        known = self._under_way.get(gateway)
        if known is None or report.age_s >= known.age_s:
            self._under_way[gateway] = report

    def get_under_way_evidence(self, now_s: float) -> float:
        """Returns what all gateways' requests under way say."""
        age_s = self.get_age_s(now_s)
        return sum(
            report.evidence
            for report in self._under_way.values()
            if age_s < report.age_s + report.valid_s
        )

    def get_age_s(self, now_s: float) -> float:
        """Returns the seconds since any gateway first received the order."""
        return now_s - self._received_s

    def is_loaded(self, now_s: float) -> bool:
        """Returns whether the new version is in its load step.

        The step lasts until the verdict, also where that comes after the
        order's duration: sessions that it moved would change versions twice if
        they went back before a good version is completed.
        """
        ratio = self.get_elapsed_ratio(now_s)
        is_due = LOAD_STEP.from_ratio <= ratio < OVERDUE_RATIO
        return is_due and self.get_answer_count() >= LOAD_STEP.min_answers

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
        if self.is_loaded(now_s):
            return LOAD_STEP.share
        return self.first_share

    def is_new(self, seed: str, now_s: float) -> bool:
        """Returns whether a session goes to the new version.

        Sessions on the new version stay there as the share grows.
        """
        return hash_to_share(self._make_seed(seed)) < self.get_share(now_s)

    def add_evidence(self, route: str, evidence: float) -> None:
        """Adds evidence from answers of one route.

        The evidence of each route is summed separately, as a version may be
        faulty on a single route, and that of all routes together, as a slow
        version is a little slow on each.

        Args:
            route: Name of the route, or the key of its pace.
            evidence: Log-likelihood ratio of the answers.
        """
        for key in (route, ALL_ROUTES):
            known = self._evidence.get(key, 0.0)
            self._evidence[key] = max(EVIDENCE_FLOOR, known + evidence)

    def get_evidence_by_route(self) -> dict[str, float]:
        """Returns the log-likelihood ratio of each route's answers."""
        return dict(self._evidence)

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
        # If only one upstream of several fails, the fault is that upstream's
        # and not the version's.
        self._is_version_suspect = (
            self.new_failures >= MIN_NEW_FAILURES
            and len(self._failed_upstreams) >= min(2, peers)
        )
        if self._is_version_suspect and self._get_suspicion() >= STOP_EVIDENCE:
            self.is_stopped = True

    def _get_suspicion(self) -> float:
        return max(self._evidence.values(), default=0.0)

    def get_due_outcome(self, now_s: float) -> RolloutOutcome:
        """Returns the outcome that should be written now; RUNNING for none."""
        if self.outcome is not RolloutOutcome.RUNNING:
            return RolloutOutcome.RUNNING
        if self.is_stopped:
            return RolloutOutcome.REVERTED
        self._look_for_lasting_requests(now_s)
        ratio = self.get_elapsed_ratio(now_s)
        due_ratio = self.get_due_ratio()
        if ratio < due_ratio:
            return RolloutOutcome.RUNNING
        suspicion = self._get_suspicion()
        is_late = ratio >= due_ratio + LATE_RATIO - COMPLETE_RATIO
        is_proved = self._is_proved(is_late, now_s)
        is_suspect = (
            self._is_version_suspect and suspicion >= SUSPICION_EVIDENCE
        )
        if is_suspect and not is_proved:
            return RolloutOutcome.REVERTED
        # A last slow answer on a route without further traffic would outlast
        # all that speaks for the version.
        is_clear = suspicion <= 0.0 or (
            ratio >= OVERDUE_RATIO and suspicion < OVERDUE_SUSPICION_EVIDENCE
        )
        if is_clear and is_proved:
            return RolloutOutcome.COMPLETED
        if ratio >= OVERDUE_RATIO and self._has_listened(now_s):
            return RolloutOutcome.REVERTED
        return RolloutOutcome.RUNNING

    def _look_for_lasting_requests(self, now_s: float) -> None:
        """Records whether requests last longer than the old version's would."""
        answers = self.get_answer_count()
        limit = max(MAX_UNDER_WAY_EVIDENCE, UNDER_WAY_EVIDENCE_RATIO * answers)
        if self.get_under_way_evidence(now_s) > limit:
            self._lasting_s = now_s

    def _has_listened(self, now_s: float) -> bool:
        """Returns whether others have had time to tell a known outcome."""
        return now_s - self._listening_s >= SETTLE_S

    def get_due_ratio(self) -> float:
        """Returns the share of the duration after which a verdict is due."""
        margin_ratio = VERDICT_MARGIN_S / max(1.0, self.order.duration_s)
        return max(MIN_DUE_RATIO, min(COMPLETE_RATIO, 1.0 - margin_ratio))

    def _is_proved(self, is_late: bool, now_s: float) -> bool:
        """Returns whether enough answers speak for the version.

        Those of a slow version that have come are its quick ones: the runs
        under way have to leave the proof standing.

        Args:
            is_late: Whether fewer answers suffice.
            now_s: Elapsed time in seconds.
        """
        if now_s - self._lasting_s < CALM_S:
            return False
        answers = self.get_answer_count()
        total = self.get_total_evidence() + self.get_under_way_evidence(now_s)
        if total > MEAN_PROOF_EVIDENCE * answers:
            return False
        needed = self._get_needed_answers()
        if answers >= needed:
            return total <= PROOF_EVIDENCE * needed / COMPLETE_ANSWERS
        return (
            is_late
            and self.expected_answers < BUSY_ANSWERS
            and answers >= LATE_ANSWERS
            and total <= LATE_PROOF_EVIDENCE
        )

    def _get_needed_answers(self) -> float:
        """Returns how many answers are needed where the service is busy."""
        if self.expected_answers < BUSY_ANSWERS:
            return COMPLETE_ANSWERS
        needed = EXPECTED_ANSWERS_RATIO * self.expected_answers
        return min(COMPLETE_ANSWERS, needed)

    def _make_seed(self, seed: str) -> str:
        return f"{self.order.service}/{self.order.version}/{seed}"

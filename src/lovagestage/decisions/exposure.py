"""Limits the requests to a new version until evidence supports it.

An `ExposureGate` exists for each roll-out at each entry. It is pure: it
receives the outcomes of requests and returns the share of requests for the new
version. The share grows only on evidence that the new version is no worse than
the old one. Before that evidence exists, the new version answers no more
requests at each step than the exposure budget allows. A stop is local and
monotone and needs no log: no later evidence revokes it. Only another epoch of
the roll-out, which an edit of the document starts, revokes it.
"""

from __future__ import annotations

import enum
import random

import msgspec

from lovagestage.decisions.sequential_tests import (
    Direction,
    FailureTest,
    PairedTest,
)
from lovagestage.messages.peers import Evidence
from lovagestage.state.document import RolloutSpec, RolloutState
from lovagestage.types import VmId

FALSE_STOP_ALPHA = 0.008
"""Probability of stopping a good roll-out, over all looks at the evidence, all
tests and all entries."""
FALSE_PASS_ALPHA = 0.1
"""Probability that a bad version passes a step, over all steps."""
STOP_TESTS = 2
"""Number of tests that can stop a roll-out: one of failures and one of
ratings."""
TOLERATED_RISK = 1.5
"""Relative risk of failure up to which a new version is not stopped: it may
fail this many times as often as the old version."""
GOOD_DROP_RATIO = 0.25
"""Fraction of the maximum quality drop up to which a version counts as good."""
MAX_FAILURE_RISE = 0.05
"""Rise of the failure rate that the evidence must rule out before a step
passes."""
HOLDBACK_SHARE = 0.25
"""Share of the requests that stays on the old version for as long as the
document contains the roll-out. Without it, a version that degrades at the last
step could not be compared with simultaneous results of the old version."""
SCORE_LEVELS = 255
"""Number of steps in the scale of scores; entries exchange a score as one
byte."""


class StopReason(enum.Enum):
    """Reason for which a roll-out was stopped."""

    FAILURES = "failures"
    RATINGS = "ratings"
    PEER = "peer"
    OPERATOR = "operator"


class Assignment(msgspec.Struct, frozen=True):
    """Assignment of one request to the old or the new version.

    Attributes:
        is_new: Whether the request goes to the new version.
        share: Probability with which the request was assigned to the new
            version.
    """

    is_new: bool
    share: float


class _Batch:
    """Observations of this entry that its next message will contain."""

    def __init__(self) -> None:
        self.scores: dict[bool, bytearray] = {False: bytearray()}
        self.scores[True] = bytearray()
        self.failures: dict[bool, bytearray] = {False: bytearray()}
        self.failures[True] = bytearray()
        self.successes = {False: 0, True: 0}


class ExposureGate:
    """Decides which requests of one roll-out go to the new version.

    Args:
        spec: The roll-out, from the document in force.
        epoch: Revision of the document that last changed the roll-out.
        entries: Number of entries that share the budget; at least one.
        vm: VM of this entry.
        incarnation: Start time of this process.
    """

    def __init__(
        self,
        spec: RolloutSpec,
        epoch: int,
        entries: int,
        vm: VmId,
        incarnation: int,
    ) -> None:
        self.spec = spec
        self.epoch = epoch
        self.step = 0
        self.stop_reason: StopReason | None = None
        self.exposed = 0
        self.max_share = 1.0
        self._entries = max(1, entries)
        self._vm = vm
        self._incarnation = incarnation
        self._sequence = 0
        self._step_exposed = 0
        self._latest_evidence: dict[VmId, tuple[int, int]] = {}
        self._batch = _Batch()
        self._stop_failures = FailureTest(TOLERATED_RISK)
        # The stop tests and the pass tests use Wald's two hypotheses with a
        # distance between them. If both used one margin, a version close to it
        # would neither pass nor stop for days.
        self._stop_ratings = PairedTest(
            spec.max_quality_drop * GOOD_DROP_RATIO,
            Direction.ABOVE,
            restarts=True,
        )
        self._step_started_s: float | None = None
        self._start_pass_tests()

    def get_share(self) -> float:
        """Returns the share of requests that go to the new version now."""
        if self.stop_reason is not None or self.is_budget_spent():
            return 0.0
        if self.spec.state is RolloutState.ABORTED:
            return 0.0
        share = self.spec.steps[min(self.step, len(self.spec.steps) - 1)]
        return min(share, self.max_share, 1.0 - HOLDBACK_SHARE)

    def is_budget_spent(self) -> bool:
        """Returns whether the step's budget is spent and evidence is due."""
        if self.step >= len(self.spec.steps):
            return False
        budget = self.spec.exposure_budget // self._entries
        return self._step_exposed >= budget

    def assign(self, rng: random.Random) -> Assignment:
        """Assigns one request to a version and counts it against the budget."""
        share = self.get_share()
        is_new = rng.random() < share
        if is_new:
            self.exposed += 1
            self._step_exposed += 1
        return Assignment(is_new, share)

    def add_outcome(self, assignment: Assignment, failed: bool) -> None:
        """Adds the outcome of one of this entry's requests.

        Args:
            assignment: Result of `assign` for the request.
            failed: Whether the request crashed, ended in an error or was
                refused by the model.
        """
        is_new = assignment.is_new
        if failed:
            level = round(assignment.share * SCORE_LEVELS)
            self._batch.failures[is_new].append(level)
            self._apply_failure(is_new, level)
        else:
            self._batch.successes[is_new] += 1
            self._pass_failures.add(is_new, 0.0)
        self._check_stop()

    def add_rating(self, is_new: bool, score: float) -> None:
        """Adds the rating, from 0 to 1, of one of this entry's answers."""
        level = round(min(1.0, max(0.0, score)) * SCORE_LEVELS)
        self._batch.scores[is_new].append(level)
        self._apply_score(is_new, level)
        self._check_stop()

    def advance(self, now_s: float) -> bool:
        """Moves to the next step if the evidence allows it.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Whether the gate has moved to the next step.
        """
        if self._step_started_s is None:
            self._step_started_s = now_s
        if not self._may_advance(now_s):
            return False
        self._enter_step(self.step + 1)
        self._step_started_s = now_s
        return True

    def apply_recorded_step(self, step: int, max_share: float) -> None:
        """Applies the recorded step in place of the decision of `advance`.

        All entries apply the same record, so that the share is the same at each
        of them. The observations of a gate can only reduce the share below the
        recorded one.

        Args:
            step: Index into the steps; the number of steps if all have passed.
            max_share: Largest share that the record allows.
        """
        self.max_share = max_share
        if step != self.step:
            self._enter_step(step)

    def raise_entry_count(self, entries: int) -> None:
        """Applies a larger number of entries; ignores a smaller one.

        An entry that this entry merely can't see still spends its part of the
        budget.
        """
        self._entries = max(self._entries, entries)

    def has_sufficient_evidence(self) -> bool:
        """Returns whether the evidence suffices to pass the present step."""
        if self.stop_reason is not None:
            return False
        limit = len(self.spec.steps) / FALSE_PASS_ALPHA
        wealth = min(
            self._pass_ratings.get_wealth(), self._pass_failures.get_wealth()
        )
        return wealth >= limit

    def stop(self, reason: StopReason) -> None:
        """Stops the roll-out for this epoch; the first reason is retained."""
        if self.stop_reason is None:
            self.stop_reason = reason

    def make_evidence(self) -> Evidence:
        """Builds the message to the other entries and empties the batch."""
        batch = self._batch
        self._batch = _Batch()
        self._sequence += 1
        return Evidence(
            self._vm,
            self._incarnation,
            self._sequence,
            self.epoch,
            self.stop_reason is not None,
            self.step,
            bytes(batch.scores[False]),
            bytes(batch.scores[True]),
            bytes(batch.failures[False]),
            bytes(batch.failures[True]),
            batch.successes[False],
            batch.successes[True],
        )

    def apply_evidence(self, evidence: Evidence) -> None:
        """Applies another entry's message; drops late and repeated messages.

        A stop of an older epoch does not apply to this epoch, because the
        operator has edited the roll-out since.
        """
        if evidence.epoch != self.epoch or evidence.vm == self._vm:
            return
        if evidence.stopped:
            self.stop(StopReason.PEER)
        order = (evidence.incarnation, evidence.sequence)
        if order <= self._latest_evidence.get(evidence.vm, (0, 0)):
            return
        self._latest_evidence[evidence.vm] = order
        self._apply_scores(evidence.old_scores, evidence.new_scores)
        self._apply_outcomes(evidence)
        self._check_stop()

    def _apply_scores(self, old: bytes, new: bytes) -> None:
        # Old and new scores are added alternately, so that a pair consists of
        # scores of about the same time.
        for index in range(max(len(old), len(new))):
            if index < len(old):
                self._apply_score(False, old[index])
            if index < len(new):
                self._apply_score(True, new[index])

    def _apply_outcomes(self, evidence: Evidence) -> None:
        for level in evidence.old_failure_shares:
            self._apply_failure(False, level)
        for level in evidence.new_failure_shares:
            self._apply_failure(True, level)
        for _ in range(evidence.old_successes):
            self._pass_failures.add(False, 0.0)
        for _ in range(evidence.new_successes):
            self._pass_failures.add(True, 0.0)

    def _apply_failure(self, is_new: bool, level: int) -> None:
        self._stop_failures.add(is_new, level / SCORE_LEVELS)
        self._pass_failures.add(is_new, 1.0)

    def _apply_score(self, is_new: bool, level: int) -> None:
        score = level / SCORE_LEVELS
        self._stop_ratings.add(is_new, score)
        self._pass_ratings.add(is_new, score)

    def _check_stop(self) -> None:
        limit = STOP_TESTS * self._entries / FALSE_STOP_ALPHA
        if self._stop_failures.get_wealth() >= limit:
            self.stop(StopReason.FAILURES)
        if self._stop_ratings.get_wealth() >= limit:
            self.stop(StopReason.RATINGS)

    def _may_advance(self, now_s: float) -> bool:
        if self.stop_reason is not None or self.step >= len(self.spec.steps):
            return False
        if self.spec.state is not RolloutState.RUNNING:
            return False
        started_s = self._step_started_s or 0.0
        if now_s - started_s < self.spec.step_min_s:
            return False
        return self.has_sufficient_evidence()

    def _enter_step(self, step: int) -> None:
        self.step = step
        self._step_exposed = 0
        self._start_pass_tests()

    def _start_pass_tests(self) -> None:
        # The pass tests start again at each step. Evidence of an earlier step
        # would hide a version that has degraded since.
        self._pass_ratings = PairedTest(
            self.spec.max_quality_drop, Direction.BELOW, restarts=False
        )
        # The observations are failures, 0 or 1, and not scores: a rise of the
        # failure rate means that new is above old.
        self._pass_failures = PairedTest(
            -MAX_FAILURE_RISE, Direction.ABOVE, restarts=False
        )

"""Limits how many requests a new version answers before it is proved.

One gate per roll-out and entry; pure: outcomes in, shares out. The share
grows only by evidence that the new version is no worse than the old one, and
at each step at most the exposure budget is answered before that evidence. A
stop is local, monotone and needs no log: no later evidence takes it back,
only another epoch of the roll-out (an edit of the document) does.
"""

from __future__ import annotations

import enum
import random

import msgspec

from lovagestage.decisions.betting import Direction, FailureTest, PairedTest
from lovagestage.messages.peers import Evidence
from lovagestage.state.document import RolloutSpec, RolloutState
from lovagestage.types import VmId

FALSE_STOP_ALPHA = 0.008
"""Chance of stopping a good roll-out, over all looks, tests and entries."""
FALSE_PASS_ALPHA = 0.1
"""Chance of passing a step with a bad version, over all steps."""
STOP_TESTS = 2
"""Tests that can stop a roll-out: failures and ratings."""
TOLERATED_RISK = 1.5
"""A new version that fails up to this much more often is not stopped."""
GOOD_DROP_RATIO = 0.25
"""Part of the greatest drop up to which a version counts as good."""
MAX_FAILURE_RISE = 0.05
"""Rise of the failure rate that a step must rule out to be passed."""
HOLDBACK_SHARE = 0.25
"""Part of the traffic that stays on the old version while the document has
the roll-out: without it a version that turns bad at the last step has nothing
of the same moment to be compared with."""
SCORE_LEVELS = 255
"""Scores cross between entries in one byte."""


class StopReason(enum.Enum):
    """Why a roll-out was stopped."""

    FAILURES = "failures"
    RATINGS = "ratings"
    PEER = "peer"
    OPERATOR = "operator"


class Assignment(msgspec.Struct, frozen=True):
    """How one request was assigned.

    Attributes:
        is_new: Whether it goes to the new version.
        share: Chance that it had of going there.
    """

    is_new: bool
    share: float


class _Batch:
    """Own observations that the next message carries."""

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
        epoch: Revision of the document that last changed it.
        entries: Entries that share the budget; at least one.
        vm: This entry.
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
        self.ceiling = 1.0
        self._entries = max(1, entries)
        self._vm = vm
        self._incarnation = incarnation
        self._sequence = 0
        self._step_exposed = 0
        self._heard: dict[VmId, tuple[int, int]] = {}
        self._batch = _Batch()
        self._stop_failures = FailureTest(TOLERATED_RISK)
        # Wald's two hypotheses, with room between them: were both tests at
        # one margin, a version near it would neither pass nor stop for days.
        self._stop_ratings = PairedTest(
            spec.max_quality_drop * GOOD_DROP_RATIO,
            Direction.ABOVE,
            restarts=True,
        )
        self._step_started_s: float | None = None
        self._start_pass_tests()

    def get_share(self) -> float:
        """Share of requests that go to the new version now."""
        if self.stop_reason is not None or self.is_held():
            return 0.0
        if self.spec.state is RolloutState.ABORTED:
            return 0.0
        share = self.spec.steps[min(self.step, len(self.spec.steps) - 1)]
        return min(share, self.ceiling, 1.0 - HOLDBACK_SHARE)

    def is_held(self) -> bool:
        """Whether the step's budget is spent and evidence is awaited."""
        if self.step >= len(self.spec.steps):
            return False
        budget = self.spec.exposure_budget // self._entries
        return self._step_exposed >= budget

    def assign(self, rng: random.Random) -> Assignment:
        """Assigns one request and counts it against the budget."""
        share = self.get_share()
        is_new = rng.random() < share
        if is_new:
            self.exposed += 1
            self._step_exposed += 1
        return Assignment(is_new, share)

    def add_outcome(self, assignment: Assignment, failed: bool) -> None:
        """Takes the end of one of this entry's requests.

        Args:
            assignment: What `assign` said of it.
            failed: It crashed, ended in an error or was refused by the model.
        """
        is_new = assignment.is_new
        if failed:
            level = round(assignment.share * SCORE_LEVELS)
            self._batch.failures[is_new].append(level)
            self._absorb_failure(is_new, level)
        else:
            self._batch.successes[is_new] += 1
            self._pass_failures.add(is_new, 0.0)
        self._check_stop()

    def add_rating(self, is_new: bool, score: float) -> None:
        """Takes the rating, from 0 to 1, of one of this entry's answers."""
        level = round(min(1.0, max(0.0, score)) * SCORE_LEVELS)
        self._batch.scores[is_new].append(level)
        self._absorb_score(is_new, level)
        self._check_stop()

    def advance(self, now_s: float) -> bool:
        """Moves to the next step where the evidence allows it.

        Args:
            now_s: Monotonic time.

        Returns:
            Whether a step was passed.
        """
        if self._step_started_s is None:
            self._step_started_s = now_s
        if not self._may_advance(now_s):
            return False
        self._enter_step(self.step + 1)
        self._step_started_s = now_s
        return True

    def follow(self, step: int, ceiling: float) -> None:
        """Takes the recorded step in place of what `advance` would decide.

        All entries follow one record, so that the share is the same at each;
        what a gate has seen can only hold back from it.

        Args:
            step: Index into the steps; their number where all are passed.
            ceiling: Largest share that the record allows.
        """
        self.ceiling = ceiling
        if step != self.step:
            self._enter_step(step)

    def raise_entries(self, entries: int) -> None:
        """Takes a larger number of entries; a smaller one is ignored.

        An entry that is only out of sight still spends its part.
        """
        self._entries = max(self._entries, entries)

    def has_proof(self) -> bool:
        """Whether the evidence to pass the present step is there."""
        if self.stop_reason is not None:
            return False
        limit = len(self.spec.steps) / FALSE_PASS_ALPHA
        proved = min(
            self._pass_ratings.get_wealth(), self._pass_failures.get_wealth()
        )
        return proved >= limit

    def stop(self, reason: StopReason) -> None:
        """Stops the roll-out for this epoch; the first reason is kept."""
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

    def absorb(self, evidence: Evidence) -> None:
        """Takes another entry's message; late and repeated ones are dropped.

        A stop of an older epoch says nothing of this one: the operator has
        edited the roll-out since.
        """
        if evidence.epoch != self.epoch or evidence.vm == self._vm:
            return
        if evidence.stopped:
            self.stop(StopReason.PEER)
        order = (evidence.incarnation, evidence.sequence)
        if order <= self._heard.get(evidence.vm, (0, 0)):
            return
        self._heard[evidence.vm] = order
        self._absorb_scores(evidence.old_scores, evidence.new_scores)
        self._absorb_outcomes(evidence)
        self._check_stop()

    def _absorb_scores(self, old: bytes, new: bytes) -> None:
        # In turn, so that a pair has scores of the same moment.
        for index in range(max(len(old), len(new))):
            if index < len(old):
                self._absorb_score(False, old[index])
            if index < len(new):
                self._absorb_score(True, new[index])

    def _absorb_outcomes(self, evidence: Evidence) -> None:
        for level in evidence.old_failure_shares:
            self._absorb_failure(False, level)
        for level in evidence.new_failure_shares:
            self._absorb_failure(True, level)
        for _ in range(evidence.old_successes):
            self._pass_failures.add(False, 0.0)
        for _ in range(evidence.new_successes):
            self._pass_failures.add(True, 0.0)

    def _absorb_failure(self, is_new: bool, level: int) -> None:
        self._stop_failures.add(is_new, level / SCORE_LEVELS)
        self._pass_failures.add(is_new, 1.0)

    def _absorb_score(self, is_new: bool, level: int) -> None:
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
        return self.has_proof()

    def _enter_step(self, step: int) -> None:
        self.step = step
        self._step_exposed = 0
        self._start_pass_tests()

    def _start_pass_tests(self) -> None:
        # Anew at each step: evidence of an earlier step would hide a version
        # that has turned bad since.
        self._pass_ratings = PairedTest(
            self.spec.max_quality_drop, Direction.BELOW, restarts=False
        )
        # Counts of failures, not scores: a rise is new above old.
        self._pass_failures = PairedTest(
            -MAX_FAILURE_RISE, Direction.ABOVE, restarts=False
        )

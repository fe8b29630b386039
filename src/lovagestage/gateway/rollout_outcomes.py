"""Outcomes of roll-outs in the store, where operators read them."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping

from lovagestage.decisions.positions import get_offset
from lovagestage.exceptions import CodecError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.rollout_evidence import AnswerQuality
from lovagestage.gateway.rollouts import (
    OutcomeRecord,
    Rollout,
    RolloutOrder,
    RolloutOutcome,
)
from lovagestage.platform.configuration import (
    decode_outcome,
    encode_outcome,
    make_outcome_key,
)
from lovagestage.platform.records import Page
from lovagestage.platform.store import OUTCOME_TOPIC, StoreClient
from lovagestage.types import Position, ServiceId

_log = logging.getLogger(__name__)

WRITE_STAGGER_S = 0.4
"""Time in seconds over which the gateways that see the same due outcome spread
their writes, so that most of them learn that it has been written before they
try."""
CALL_TIMEOUT_S = 1.0
"""Time limit in seconds of a call to the store."""


class OutcomeStore:
    """Looks up and writes the outcomes of roll-outs.

    Args:
        store: Client for this object only.
        rng: Source of randomness.
    """

    def __init__(self, store: StoreClient, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._unresolved: dict[ServiceId, Rollout] = {}
        self._stored: dict[ServiceId, tuple[Position, RolloutOutcome]] = {}
        self._write_at_s: dict[ServiceId, float] = {}

    @property
    def is_resolved(self) -> bool:
        """Whether the outcome of each known order has been looked up."""
        return not self._unresolved

    def add_order(self, rollout: Rollout) -> None:
        """Adds an order, whose outcome is looked up next."""
        self._unresolved[rollout.order.service] = rollout

    def record_written_elsewhere(
        self, rollout: Rollout, order: Position, outcome: RolloutOutcome
    ) -> None:
        """Records an outcome that another gateway has written.

        Args:
            rollout: The roll-out.
            order: Position of its order when the outcome was written. In an
                earlier era, the store may have lost the outcome since.
            outcome: The outcome.
        """
        if order == rollout.position:
            self._record_stored(rollout, outcome)
        if outcome is not RolloutOutcome.RUNNING:
            _conclude(rollout, outcome, "peer")

    async def look_up(self) -> None:
        """Looks up the outcomes of new orders.

        Raises:
            StoreError: The store did not answer.
        """
        if not self._unresolved:
            return
        page = await self._store.read_newest(OUTCOME_TOPIC, CALL_TIMEOUT_S)
        for service, rollout in list(self._unresolved.items()):
            self._apply_stored(rollout, page)
            del self._unresolved[service]

    def _apply_stored(self, rollout: Rollout, page: Page) -> None:
        """Applies the outcome that the store holds for an order."""
        key = make_outcome_key(rollout.order.service)
        for record in page.records:
            if record.key != key or record.value is None:
                continue
            try:
                found = decode_outcome(record.value)
            except CodecError as error:
                _log.error("outcome_refused", extra={"error": error.message})
                continue
            if not self._is_outcome_of(found, rollout):
                continue
            self._record_stored(rollout, found.outcome)
            rollout.set_first_share(found.first_share, get_elapsed_s())
            if found.outcome is not RolloutOutcome.RUNNING:
                _conclude(rollout, found.outcome, "store")

    @staticmethod
    def _is_outcome_of(found: OutcomeRecord, rollout: Rollout) -> bool:
        if rollout.is_at(found.order):
            return True
        # Written in an earlier era of an order that the copy kept at its place.
        return (
            get_offset(found.order) == get_offset(rollout.position)
            and found.version == rollout.order.version
        )

    def _record_stored(self, rollout: Rollout, outcome: RolloutOutcome) -> None:
        stored = (rollout.position, outcome)
        self._stored[rollout.order.service] = stored

    def is_write_due(self, rollout: Rollout, outcome: RolloutOutcome) -> bool:
        """Returns whether this gateway should write an outcome now.

        Args:
            rollout: The roll-out.
            outcome: The outcome that the store should hold.
        """
        service, now_s = rollout.order.service, get_elapsed_s()
        if self._is_stored(rollout, outcome):
            self._write_at_s.pop(service, None)
            return False
        if service not in self._write_at_s:
            delay_s = WRITE_STAGGER_S * self._rng.random()
            self._write_at_s[service] = now_s + delay_s
            return False
        return now_s >= self._write_at_s[service]

    def _is_stored(self, rollout: Rollout, outcome: RolloutOutcome) -> bool:
        """Returns whether the store holds an outcome, or a final one.

        What it held at another position of the order was written before it came
        back from a copy, and may be lost.
        """
        stored = self._stored.get(rollout.order.service)
        if stored is None or stored[0] != rollout.position:
            return False
        is_final = stored[1] is not RolloutOutcome.RUNNING
        return is_final or outcome is RolloutOutcome.RUNNING

    async def write(
        self,
        rollout: Rollout,
        outcome: RolloutOutcome,
        get_first_share: Callable[[RolloutOrder], float],
    ) -> OutcomeRecord | None:
        """Writes an outcome, unless a final one has been written already.

        Two gateways may reach different verdicts; the condition on the topic's
        end accepts one of the two appends, and the other gateway follows that
        verdict.

        Args:
            rollout: The roll-out.
            outcome: The outcome that is due.
            get_first_share: Returns the share of the sessions with which the
                roll-out begins, where none has been agreed.

        Returns:
            The record; None if the store held an outcome already.

        Raises:
            StoreError: The outcome was not written, or that is not known.
        """
        service = rollout.order.service
        page = await self._store.read_newest(OUTCOME_TOPIC, CALL_TIMEOUT_S)
        self._apply_stored(rollout, page)
        if rollout.outcome is not RolloutOutcome.RUNNING:
            outcome = rollout.outcome
        elif outcome is not RolloutOutcome.RUNNING:
            # What was reported during the read counts.
            outcome = rollout.get_due_outcome(get_elapsed_s())
            if outcome is RolloutOutcome.RUNNING:
                return None
        if self._is_stored(rollout, outcome):
            self._write_at_s.pop(service, None)
            return None
        record = OutcomeRecord(
            rollout.order.version,
            outcome,
            rollout.position,
            rollout.first_share or get_first_share(rollout.order),
        )
        await self._store.append(
            OUTCOME_TOPIC,
            [(make_outcome_key(service), encode_outcome(record))],
            CALL_TIMEOUT_S,
            expected_end=page.end,
        )
        self._write_at_s.pop(service, None)
        self._stored[service] = (record.order, outcome)
        rollout.set_first_share(record.first_share, get_elapsed_s())
        if outcome is not RolloutOutcome.RUNNING:
            _conclude(rollout, outcome, "own")
        return record


def _conclude(rollout: Rollout, outcome: RolloutOutcome, source: str) -> None:
    """Records a final outcome.

    A second one is followed only if the store holds it: operators act on
    what they read there.
    """
    is_known = rollout.outcome is not RolloutOutcome.RUNNING
    if rollout.outcome is outcome or (is_known and source != "store"):
        return
    rollout.outcome = outcome
    _log.info(
        "rollout_settled",
        extra={
            "service": rollout.order.service,
            "version": rollout.order.version,
            "outcome": outcome.value,
            "source": source,
            "age_s": round(rollout.get_age_s(get_elapsed_s()), 2),
        },
    )


def log_share(
    order: RolloutOrder,
    share: float,
    expected: float,
    own_per_s: float,
    gateways: int,
) -> None:
    """Logs the first share that this gateway proposes.

    Args:
        order: The order.
        share: The share of the sessions.
        expected: Requests of the service that are expected during the order.
        own_per_s: Requests per second of the service at this gateway.
        gateways: Number of gateways.
    """
    _log.info(
        "rollout_share_proposed",
        extra={
            "service": order.service,
            "version": order.version,
            "share": share,
            "expected": round(expected),
            "own_per_s": round(own_per_s, 2),
            "gateways": gateways,
        },
    )


def log_stop(rollout: Rollout, route: str, upstream: str) -> None:
    """Logs that the evidence speaks against the new version from now on.

    Args:
        rollout: The roll-out.
        route: Route of the last failure.
        upstream: Upstream of the last failure.
    """
    _log.warning(
        "rollout_stopped",
        extra={
            "service": rollout.order.service,
            "version": rollout.order.version,
            "failures": rollout.new_failures,
            "route": route,
            "upstream": upstream,
            "answers": rollout.get_answer_count(),
            "age_s": round(rollout.get_age_s(get_elapsed_s()), 2),
        },
    )


def log_verdict(
    rollout: Rollout,
    outcome: RolloutOutcome,
    own: Mapping[AnswerQuality, int],
) -> None:
    """Logs what this gateway knows when it writes a final outcome.

    Args:
        rollout: The roll-out.
        outcome: The outcome.
        own: Number of this gateway's answers of the new version by quality.
    """
    evidence = sorted(rollout.get_evidence_by_route().items())
    _log.info(
        "rollout_judged",
        extra={
            "service": rollout.order.service,
            "version": rollout.order.version,
            "outcome": outcome.value,
            "answers": rollout.get_answer_count(),
            "total": round(rollout.get_total_evidence(), 2),
            "under_way": round(
                rollout.get_under_way_evidence(get_elapsed_s()), 2
            ),
            "failures": rollout.new_failures,
            "evidence": ",".join(f"{r or 'all'}:{e:.2f}" for r, e in evidence),
            "own": ",".join(f"{q.value}:{own[q]}" for q in AnswerQuality),
            "age_s": round(rollout.get_age_s(get_elapsed_s()), 2),
        },
    )

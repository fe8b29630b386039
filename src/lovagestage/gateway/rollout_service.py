"""Carries out roll-outs: shares evidence and writes their outcomes."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Mapping

import mode

from lovagestage.exceptions import StoreConflictError, StoreError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.configuration import hash_to_share
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.failure_rates import FailureRateTable
from lovagestage.gateway.outages import RunSpan
from lovagestage.gateway.peer_messages import (
    ActiveSessionsMessage,
    AnswerCountMessage,
    FailureMessage,
    OutcomeMessage,
)
from lovagestage.gateway.peer_messenger import PeerMessenger
from lovagestage.gateway.requests_under_way import (
    RequestsUnderWay,
    RequestUnderWay,
)
from lovagestage.gateway.rollout_assignment import Assignment
from lovagestage.gateway.rollout_evidence import (
    OUTAGE_QUALITIES,
    AnswerQuality,
    EvidenceAspect,
    TrialEvidence,
    get_assumed_rate,
)
from lovagestage.gateway.rollout_outcomes import (
    OutcomeStore,
    log_share,
    log_stop,
    log_verdict,
)
from lovagestage.gateway.rollout_reports import (
    get_report_interval_s,
    is_report_due,
)
from lovagestage.gateway.rollout_shares import get_first_share
from lovagestage.gateway.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutOutcome,
    UnderWayReport,
)
from lovagestage.gateway.settings import Bounds
from lovagestage.gateway.upstream import Upstream
from lovagestage.platform.store import StoreClient
from lovagestage.types import Position, ServiceId, VmId

_log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
"""Interval in seconds between checks for reports and outcomes that are due."""
RETRY_S = 0.5
"""Pause in seconds after a call to the store has failed."""
REPORTS_VALID = 3.0
"""Intervals between reports for which one on requests under way counts."""
UNDER_WAY_FROM_RATIO = 0.8
"""Share of an order's duration before which requests under way are not weighed:
only the verdict asks for them."""


_RolloutMessage = (
    FailureMessage | AnswerCountMessage | ActiveSessionsMessage | OutcomeMessage
)


def _add_good_answers(
    rollout: Rollout, routes: Mapping[str, float], age_s: float
) -> None:
    """Adds the evidence of another gateway's good answers by route."""
    for route, evidence in routes.items():
        rollout.add_evidence(route, evidence)
        rollout.outages.record_data(age_s)


class RolloutService(mode.Service):
    """Follows the roll-outs of all services.

    Args:
        store: Client for reading and writing outcomes.
        deployment: Configuration, upstreams and roll-outs in force.
        vm: Id of this VM.
        bounds: Limits of the deployment.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: StoreClient,
        deployment: Deployment,
        vm: VmId,
        bounds: Bounds,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._vm = vm
        self._bounds = bounds
        self._failure_rates = FailureRateTable()
        self._own_evidence: dict[ServiceId, TrialEvidence] = {}
        self._deployment = deployment
        self._rng = rng
        self._peer_messenger: PeerMessenger | None = None
        self._outcomes = OutcomeStore(store, rng)
        self._under_way = RequestsUnderWay()

    def set_peer_messenger(self, peer_messenger: PeerMessenger) -> None:
        """Sets the messenger to the other gateways; called once."""
        self._peer_messenger = peer_messenger

    def apply_bounds(self, bounds: Bounds) -> None:
        """Applies new limits; they hold for orders that arrive later."""
        self._bounds = bounds

    @property
    def is_resolved(self) -> bool:
        """Whether the outcome of each known order has been looked up."""
        return self._outcomes.is_resolved

    def on_order(self, order: RolloutOrder, position: Position) -> None:
        """Starts to follow an order; its stored outcome is looked up later.

        The roll-out may already be complete or reverted when a gateway
        receives its order.
        """
        warmup = self._deployment.get_warmup(order.service)
        warmup_s = 0.0 if warmup is None else warmup.duration_s
        rollout = Rollout(order, position, get_elapsed_s(), warmup_s)
        self._deployment.rollouts[order.service] = rollout
        self._outcomes.add_order(rollout)
        self._own_evidence[order.service] = TrialEvidence()
        self._under_way.forget_trial(order.service)

    def _get_first_share(self, order: RolloutOrder) -> float:
        assert self._peer_messenger is not None
        own_per_s = self._get_own_rate_per_s(order.service)
        expected = (
            own_per_s * self._peer_messenger.gateway_count * order.duration_s
        )
        share = get_first_share(
            self._bounds.exposure_ratio,
            self._bounds.exposure_slack,
            expected,
            self._deployment.rollouts[order.service].get_start_ratio(),
        )
        gateways = self._peer_messenger.gateway_count
        log_share(order, share, expected, own_per_s, gateways)
        return share

    def _get_own_rate_per_s(self, service: ServiceId) -> float:
        return self._failure_rates.get_request_rate(service, get_elapsed_s())

    def _update_expected_requests(self, rollout: Rollout) -> None:
        """Estimates the service's requests by the rates that are known.

        Callers' connections are few, so that a gateway's own rate may be a
        fraction of the others'.
        """
        assert self._peer_messenger is not None
        order = rollout.order
        rollout.record_rate(self._vm, self._get_own_rate_per_s(order.service))
        gateways = self._peer_messenger.gateway_count
        all_per_s = rollout.get_mean_rate_per_s() * gateways
        rollout.set_expected_requests(all_per_s * order.duration_s)

    def begin_request(
        self,
        service: ServiceId,
        assignment: Assignment,
        request: RequestUnderWay,
    ) -> None:
        """Records that a request has been sent; as in `EvidenceSink`."""
        rollout = self._deployment.rollouts.get(service)
        is_new = (
            assignment.is_new
            and rollout is not None
            and rollout.outcome is RolloutOutcome.RUNNING
        )
        if is_new or not assignment.is_new:
            self._under_way.begin(service, is_new, request)

    def start_request(self, request: RequestUnderWay) -> None:
        """Records that an answer has started; as in `EvidenceSink`."""
        self._under_way.start(request, get_elapsed_s())

    def end_request(
        self, service: ServiceId, request: RequestUnderWay, is_whole: bool
    ) -> None:
        """Records that a request has ended; as in `EvidenceSink`."""
        self._under_way.end(service, request, is_whole, get_elapsed_s())

    def record_answer(
        self,
        service: ServiceId,
        route: str,
        assignment: Assignment,
        upstream: Upstream,
        quality: AnswerQuality,
        aspect: EvidenceAspect = EvidenceAspect.ANSWER,
        begun_s: float = 0.0,
        has_answered: bool = False,
    ) -> bool:
        """Records an answer of an upstream; as in `EvidenceSink`."""
        rollout = self._deployment.rollouts.get(service)
        if rollout is None or not assignment.is_new:
            if quality in OUTAGE_QUALITIES:
                # One outage ends many runs and says nothing of later ones; a
                # late answer is recorded when it comes.
                return False
            self._add_old_answer(service, route, quality, aspect)
            return True
        if rollout.outcome is not RolloutOutcome.RUNNING:
            return True
        span = RunSpan(
            max(0.0, rollout.get_age_s(begun_s)),
            has_answered or rollout.outages.is_over(upstream.id),
        )
        if quality in OUTAGE_QUALITIES:
            self._record_data(rollout)
        age_s = rollout.get_age_s(get_elapsed_s())
        if not rollout.outages.record(upstream.id, quality, span, age_s):
            return False
        key = aspect.make_key(route)
        self._add_new_answer(rollout, key, upstream, quality, span)
        return True

    def _record_data(self, rollout: Rollout) -> None:
        """Records when the new version's upstreams were last heard of."""
        order = rollout.order
        for upstream in self._deployment.rotation.get_ready(order.service):
            if upstream.entry.version == order.version:
                data_s = upstream.performance.stall_detector.last_data_s
                rollout.outages.record_data(rollout.get_age_s(data_s))

    def _add_old_answer(
        self,
        service: ServiceId,
        route: str,
        quality: AnswerQuality,
        aspect: EvidenceAspect,
    ) -> None:
        now_s = get_elapsed_s()
        if quality is AnswerQuality.UNJUDGED:
            self._failure_rates.record_request(service, now_s)
            return
        failed = quality not in (AnswerQuality.GOOD, AnswerQuality.SLOW)
        key = aspect.make_key(route)
        self._failure_rates.record_quality(service, key, failed)
        if aspect is EvidenceAspect.ANSWER:
            self._failure_rates.record_request(service, now_s)

    def _add_new_answer(
        self,
        rollout: Rollout,
        route: str,
        upstream: Upstream,
        quality: AnswerQuality,
        span: RunSpan,
    ) -> None:
        service = rollout.order.service
        own = self._own_evidence[service]
        evidence = own.add(
            route,
            quality,
            self._failure_rates.get_failure_rate(service, route),
            rollout.is_loaded(get_elapsed_s()),
        )
        if quality is AnswerQuality.UNJUDGED:
            return
        rollout.record_answers(self._vm, own.answers, own.total)
        rollout.add_evidence(route, evidence)
        if quality is AnswerQuality.GOOD:
            return
        message = FailureMessage(
            service,
            rollout.position,
            route,
            upstream.id,
            evidence,
            rollout.get_age_s(get_elapsed_s()),
            quality.value,
            span.begun_age_s,
            span.has_answered,
            own.take_unreported(),
            self._vm,
            own.answers,
            own.total,
        )
        self._count_failure(rollout, message)
        self._post(message)

    def _post(self, message: _RolloutMessage) -> None:
        assert self._peer_messenger is not None
        self._peer_messenger.enqueue(message)

    def on_failure_message(self, message: FailureMessage) -> None:
        """Applies another gateway's evidence on a new version."""
        rollout = self._find_rollout(
            message.service, message.order, message.age_s
        )
        if rollout is None:
            return
        rollout.record_answers(message.gateway, message.answers, message.total)
        _add_good_answers(rollout, message.earlier, message.age_s)
        span = RunSpan(message.begun_age_s, message.has_answered)
        quality = AnswerQuality(message.quality)
        if not rollout.outages.record(
            message.upstream, quality, span, message.age_s
        ):
            return
        rollout.add_evidence(message.route, message.evidence)
        self._count_failure(rollout, message)

    def on_count_message(self, message: AnswerCountMessage) -> None:
        """Applies another gateway's number of answers from a new version."""
        rollout = self._find_rollout(
            message.service, message.order, message.age_s
        )
        if rollout is not None:
            rollout.record_answers(
                message.gateway, message.answers, message.evidence
            )
            _add_good_answers(rollout, message.routes, message.age_s)
            self._record_under_way(
                rollout, message.gateway, message.under_way, message.age_s
            )
            rollout.record_rate(message.gateway, message.requests_per_s)

    def _record_under_way(
        self, rollout: Rollout, gateway: VmId, evidence: float, age_s: float
    ) -> None:
        assert self._peer_messenger is not None
        valid_s = REPORTS_VALID * get_report_interval_s(
            rollout.order.duration_s, self._peer_messenger.gateway_count
        )
        report = UnderWayReport(evidence, age_s, valid_s)
        rollout.record_under_way(gateway, report)

    def _update_under_way(self, rollout: Rollout) -> float:
        """Records what this gateway's requests under way say; returns it."""
        service, now_s = rollout.order.service, get_elapsed_s()
        if rollout.get_elapsed_ratio(now_s) < UNDER_WAY_FROM_RATIO:
            return 0.0
        slow_rate = get_assumed_rate(
            AnswerQuality.VERY_SLOW, rollout.is_loaded(now_s)
        )
        rates = self._failure_rates

        def get_rate(route: str) -> float:
            return max(slow_rate, rates.get_failure_rate(service, route))

        evidence = self._under_way.get_evidence(service, get_rate, now_s)
        age_s = rollout.get_age_s(now_s)
        self._record_under_way(rollout, self._vm, evidence, age_s)
        return evidence

    def on_sessions_message(self, message: ActiveSessionsMessage) -> None:
        """Applies the active sessions that another gateway has reported."""
        rollout = self._find_rollout(
            message.service, message.order, message.age_s
        )
        if rollout is not None:
            rollout.held_sessions.update(message.sessions)

    def on_outcome_message(self, message: OutcomeMessage) -> None:
        """Applies an outcome that another gateway has written to the store."""
        rollout = self._find_rollout(
            message.service, message.order, message.age_s
        )
        if rollout is None:
            return
        rollout.set_first_share(message.first_share, get_elapsed_s())
        outcome = RolloutOutcome(message.outcome)
        self._outcomes.record_written_elsewhere(rollout, message.order, outcome)

    def _find_rollout(
        self, service: ServiceId, order: Position, age_s: float
    ) -> Rollout | None:
        rollout = self._deployment.rollouts.get(service)
        if rollout is None or not rollout.is_at(order):
            return None
        rollout.apply_age(age_s, get_elapsed_s())
        return rollout

    def _count_failure(self, rollout: Rollout, message: FailureMessage) -> None:
        was_stopped = rollout.is_stopped
        ready = self._deployment.rotation.get_ready(message.service)
        peers = sum(u.entry.version == rollout.order.version for u in ready)
        rollout.add_failure(message.upstream, peers)
        if rollout.is_stopped and not was_stopped:
            log_stop(rollout, message.route, message.upstream)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self._outcomes.look_up()
                self._report_counts()
                self._report_sessions()
                await self._write_due()
            except StoreConflictError:
                pass  # Another gateway wrote first; the next check reads it.
            except StoreError as error:
                reason = {"reason": error.message}
                _log.warning("rollout_not_written", extra=reason)
                await asyncio.sleep(RETRY_S)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _report_counts(self) -> None:
        assert self._peer_messenger is not None
        gateways = self._peer_messenger.gateway_count
        now_s, draw = get_elapsed_s(), hash_to_share(self._vm)
        for service, rollout in self._deployment.rollouts.items():
            own = self._own_evidence[service]
            if not is_report_due(rollout, own, now_s, gateways, draw):
                continue
            under_way = self._update_under_way(rollout)
            is_known = own.is_total_reported and not own.under_way_reported
            if is_known and not under_way:
                continue
            own.under_way_reported = under_way
            self._post(
                AnswerCountMessage(
                    service,
                    rollout.position,
                    self._vm,
                    own.answers,
                    rollout.get_age_s(now_s),
                    own.total,
                    own.take_unreported(),
                    under_way,
                    self._get_own_rate_per_s(service),
                )
            )

    def _report_sessions(self) -> None:
        """Reports the active sessions that the first share would move.

        Reports are sent until the share takes effect.
        """
        now_s = get_elapsed_s()
        for service, rollout in self._deployment.rollouts.items():
            if not rollout.first_share or not rollout.is_collecting(now_s):
                continue
            active_sessions = self._deployment.pins.get_active_elsewhere(
                service, rollout.order.version, now_s
            )
            sessions = tuple(
                session
                for session in active_sessions
                if rollout.is_below_first_share(session)
                and session not in rollout.held_sessions
            )
            if not sessions:
                continue
            rollout.held_sessions.update(sessions)
            age_s = rollout.get_age_s(now_s)
            self._post(
                ActiveSessionsMessage(
                    service, rollout.position, sessions, age_s
                )
            )

    async def _write_due(self) -> None:
        """Writes outcomes that are due, and those that the store has lost."""
        for rollout in list(self._deployment.rollouts.values()):
            due = rollout.outcome
            if due is RolloutOutcome.RUNNING:
                self._update_under_way(rollout)
                self._update_expected_requests(rollout)
                due = rollout.get_due_outcome(get_elapsed_s())
            if not self._outcomes.is_write_due(rollout, due):
                continue
            written = await self._outcomes.write(
                rollout, due, self._get_first_share
            )
            if written is None:
                continue
            if written.outcome is not RolloutOutcome.RUNNING:
                own = self._own_evidence[rollout.order.service]
                log_verdict(rollout, written.outcome, own.qualities)
            self._post(
                OutcomeMessage(
                    rollout.order.service,
                    written.order,
                    written.outcome.value,
                    written.first_share,
                    rollout.get_age_s(get_elapsed_s()),
                )
            )

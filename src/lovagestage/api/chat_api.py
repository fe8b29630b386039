"""Handles chat completion requests, from the request body to the answer."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import web

from lovagestage.api.authentication import Caller
from lovagestage.api.chat_admission import ChatAdmission
from lovagestage.api.chat_answers import ChatAnswers
from lovagestage.api.chat_fields import parse_fields
from lovagestage.entry.answer_tracking import AnswerTracker
from lovagestage.entry.billing_service import BillingService
from lovagestage.entry.deferral_service import DeferralService
from lovagestage.entry.dispatcher import Dispatcher
from lovagestage.entry.escalation import Escalation, may_escalate_request
from lovagestage.entry.keyed_refusals import get_progress
from lovagestage.entry.keyed_runs import HEADER_KEY, KeyedRuns
from lovagestage.entry.limit_service import LimitService
from lovagestage.execution.request import Request, Result
from lovagestage.telemetry.measurement import get_measurement


class ChatApi:
    """Handles chat completion requests.

    Args:
        admission: Admits requests.
        answers: Writes the answers.
        dispatcher: Runs requests.
        keyed: Runs requests that have an idempotency key.
        escalation: Runs requests whose answer may be escalated to a further
            model.
        trials: Reports the outcome of answers to roll-outs and plans.
        billing: Reserves space for bills.
        limits: Charges the token limits of workspaces.
        deferrals: Delays deferrable requests until they have a slot.
    """

    def __init__(
        self,
        admission: ChatAdmission,
        answers: ChatAnswers,
        dispatcher: Dispatcher,
        keyed: KeyedRuns,
        escalation: Escalation,
        trials: AnswerTracker,
        billing: BillingService,
        limits: LimitService,
        deferrals: DeferralService,
    ) -> None:
        self._admission = admission
        self._answers = answers
        self._dispatcher = dispatcher
        self._keyed = keyed
        self._escalation = escalation
        self._trials = trials
        self._billing = billing
        self._limits = limits
        self._deferrals = deferrals

    async def handle_request(
        self, request: web.Request, body: bytes, caller: Caller
    ) -> web.StreamResponse:
        """Runs a request and sends its answer.

        Raises:
            RequestRefusedError: The request is refused.
        """
        get_progress(request).body = body
        fields = parse_fields(body)
        admitted = self._admission.admit(request, caller, fields, body)
        result = Result(admitted.version)
        max_tokens = fields.token_limit
        keyed = HEADER_KEY in request.headers
        chunks = self._deferrals.run(
            admitted,
            max_tokens,
            keyed,
            lambda: self._run(request, admitted, result),
        )
        charge = self._limits.charge(admitted, result, max_tokens, keyed)
        try:
            with self._billing.reserve_space(), charge:
                get_progress(request).is_claiming = True
                if fields.stream:
                    return await self._answers.answer_stream(
                        request, chunks, caller, admitted, result
                    )
                return await self._answers.answer_plain(
                    chunks, caller, admitted, result
                )
        finally:
            get_measurement(request).record_attempts(result.attempts)

    def _run(
        self, request: web.Request, admitted: Request, result: Result
    ) -> AsyncIterator[bytes]:
        key = request.headers.get(HEADER_KEY)
        if key is not None:
            chunks = self._keyed.run(admitted, key, result)
        elif may_escalate_request(admitted):
            chunks = self._escalation.run(admitted, result)
        else:
            chunks = self._dispatcher.run(admitted, result)
        return self._trials.track_answer(admitted, result, chunks)

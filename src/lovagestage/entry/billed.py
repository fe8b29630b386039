"""What of a request's answer is billed, and when its end may be given."""

from __future__ import annotations

from lovagestage.decisions.billing import Bill, BillOutcome
from lovagestage.entry.billing_service import BillingService
from lovagestage.execution.events import DONE
from lovagestage.execution.request import Request, Result

_CONTENT = b'"content":'


def make_bill(
    request: Request,
    result: Result,
    now_s: float,
    outcome: BillOutcome = BillOutcome.FINISHED,
    seen_tokens: int = 0,
) -> Bill:
    """Makes the bill of a request.

    Args:
        request: The request.
        result: The run whose answer the caller gets; other attempts are not
            billed.
        now_s: Unix time.
        outcome: How it ended.
        seen_tokens: Billed where the engine's own count is not known.
    """
    finished = result.finished
    return Bill(
        request.request_id,
        request.workspace,
        request.service,
        str(result.version),
        int(now_s),
        finished.prompt_tokens if finished else 0,
        finished.completion_tokens if finished else seen_tokens,
        outcome,
    )


class BilledStream:
    """Passes a stream on and keeps its end back until it is billed.

    Were the end given first, an entry lost at that moment would leave a whole
    answer that nobody is billed for. Only the part with the last event is
    kept back, so no other part waits.

    Args:
        request: The request.
        result: Filled in by the dispatcher.
        billing: Takes the bill.
    """

    def __init__(
        self, request: Request, result: Result, billing: BillingService
    ) -> None:
        self._request = request
        self._result = result
        self._billing = billing
        self._kept = b""
        self._seen_tokens = 0
        self._is_billed = False

    def add(self, part: bytes) -> bytes:
        """Takes a part; returns what may be written now."""
        self._seen_tokens += part.count(_CONTENT)
        self._kept += part
        if DONE in self._kept:
            return b""
        ready, self._kept = self._kept, b""
        return ready

    async def end(self, now_s: float) -> bytes:
        """Bills the whole answer; returns its last part."""
        self._is_billed = True
        await self._billing.add(make_bill(self._request, self._result, now_s))
        return self._kept

    def cancel(self, now_s: float) -> None:
        """Bills what had come when the caller left."""
        if self._is_billed or not self._seen_tokens:
            return
        self._is_billed = True
        self._billing.add_unattended(
            make_bill(
                self._request,
                self._result,
                now_s,
                BillOutcome.CANCELLED,
                self._seen_tokens,
            )
        )

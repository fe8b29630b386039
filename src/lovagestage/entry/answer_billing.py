"""Computes the bill of an answer and holds its end back until it is billed."""

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
    received_tokens: int = 0,
) -> Bill:
    """Makes the bill of a request.

    Args:
        request: The request.
        result: The result of the run whose answer the caller gets. Other
            attempts are not billed.
        now_s: Unix time in seconds.
        outcome: How the request ended.
        received_tokens: Completion tokens to bill where the engine has not
            reported its own count.

    Returns:
        The bill.
    """
    finished = result.finished
    return Bill(
        request.request_id,
        request.workspace,
        request.service,
        str(result.version),
        int(now_s),
        finished.prompt_tokens if finished else 0,
        finished.completion_tokens if finished else received_tokens,
        outcome,
    )


class BilledStream:
    """Forwards a stream and holds its end back until the answer is billed.

    If the caller got the end first, an entry that failed at that moment would
    leave a complete answer that is never billed. Only the chunk with the
    last event is held back, so that no other chunk is delayed.

    Args:
        request: The request.
        result: The result of the request; the dispatcher fills it in.
        billing: The service that records the bill.
    """

    def __init__(
        self, request: Request, result: Result, billing: BillingService
    ) -> None:
        self._request = request
        self._result = result
        self._billing = billing
        self._held_back = b""
        self._received_tokens = 0
        self._is_billed = False

    def add_chunk(self, chunk: bytes) -> bytes:
        """Adds a chunk of the answer.

        Args:
            chunk: Bytes of the stream.

        Returns:
            Bytes that may be sent to the caller now; empty from the last
            event on.
        """
        self._received_tokens += chunk.count(_CONTENT)
        self._held_back += chunk
        if DONE in self._held_back:
            return b""
        sendable, self._held_back = self._held_back, b""
        return sendable

    async def finish(self, now_s: float) -> bytes:
        """Bills the complete answer.

        Args:
            now_s: Unix time in seconds.

        Returns:
            The chunk that was held back, to be sent to the caller.
        """
        self._is_billed = True
        await self._billing.add_bill(
            make_bill(self._request, self._result, now_s)
        )
        return self._held_back

    def bill_partial(self, now_s: float) -> None:
        """Bills the tokens that had arrived when the caller disconnected.

        Nothing is billed if no token had arrived, or if the answer is billed
        already.

        Args:
            now_s: Unix time in seconds.
        """
        if self._is_billed or not self._received_tokens:
            return
        self._is_billed = True
        self._billing.add_in_background(
            make_bill(
                self._request,
                self._result,
                now_s,
                BillOutcome.CANCELLED,
                self._received_tokens,
            )
        )

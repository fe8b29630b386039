"""Sends answers to chat completion requests, in one body or as a stream."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
import time
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from lovagestage.api.authentication import Caller
from lovagestage.api.error_answers import make_error_body
from lovagestage.decisions.sessions import (
    HEADER_MOVED_FROM,
    HEADER_SESSION,
    SessionSigner,
    is_pinned,
    make_next_session,
)
from lovagestage.entry.answer_billing import BilledStream, make_bill
from lovagestage.entry.billing_service import BillingService
from lovagestage.exceptions import RequestRefusedError
from lovagestage.execution.request import Request, Result
from lovagestage.telemetry.measurement import Measurement, get_measurement

HEADER_REQUEST_ID = "X-Request-Id"
HEADER_VERSION = "X-Model-Version"
HEADER_ATTEMPTS = "X-Attempts"
HEADER_BILLED = "X-Billed-Tokens"


class ChatAnswers:
    """Writes answers to callers and bills them.

    Args:
        billing: Receives the bills.
        signer: Creates the session tokens.
    """

    def __init__(self, billing: BillingService, signer: SessionSigner) -> None:
        self._billing = billing
        self._signer = signer

    def _make_session_headers(
        self, caller: Caller, admitted: Request, result: Result
    ) -> dict[str, str]:
        session = make_next_session(
            admitted.session,
            secrets.token_hex(8),
            caller.workspace,
            caller.document,
            result.version,
            time.time(),
        )
        token = self._signer.make_token(session)
        if token is None:
            return {}
        headers = {HEADER_SESSION: token}
        previous = admitted.session
        if previous is not None and not is_pinned(previous, result.version):
            headers[HEADER_MOVED_FROM] = previous.version
        return headers

    async def answer_plain(
        self,
        chunks: AsyncIterator[bytes],
        caller: Caller,
        admitted: Request,
        result: Result,
    ) -> web.Response:
        """Sends the answer in one body, and bills it."""
        body = b"".join([chunk async for chunk in chunks])
        billed_request = _make_billed_request(admitted, result)
        await self._billing.add_bill(
            make_bill(billed_request, result, time.time())
        )
        return web.Response(
            body=body,
            content_type="application/json",
            headers=_make_headers(admitted, result)
            | self._make_session_headers(caller, admitted, result),
        )

    async def answer_stream(
        self,
        request: web.Request,
        chunks: AsyncIterator[bytes],
        caller: Caller,
        admitted: Request,
        result: Result,
    ) -> web.StreamResponse:
        """Sends the answer chunk by chunk, and bills what was sent."""
        try:
            # The status is sent only after the first chunk was received, so
            # that a request refused before it gets an error status.
            first_chunk = await anext(chunks, b"")
            measurement = get_measurement(request)
            measurement.record_first_chunk()
            response = web.StreamResponse(
                headers=_make_headers(admitted, result)
                | self._make_session_headers(caller, admitted, result)
            )
            response.content_type = "text/event-stream"
            await response.prepare(request)
            billed_request = _make_billed_request(admitted, result)
            stream = BilledStream(billed_request, result, self._billing)
            await _write_chunks(
                response, first_chunk, chunks, stream, measurement
            )
        finally:
            await chunks.aclose()  # type: ignore[attr-defined]
        await response.write_eof()
        return response


async def _write_chunks(
    response: web.StreamResponse,
    first_chunk: bytes,
    chunks: AsyncIterator[bytes],
    stream: BilledStream,
    measurement: Measurement,
) -> None:
    try:
        await response.write(stream.add_chunk(first_chunk))
        async for chunk in chunks:
            await response.write(stream.add_chunk(chunk))
        await response.write(await stream.finish(time.time()))
    except RequestRefusedError as error:
        measurement.record_refusal(error.code)
        body = msgspec.json.encode(make_error_body(error))
        await response.write(b"data: " + body + b"\n\n")
    except (ConnectionError, asyncio.CancelledError):
        stream.bill_partial(time.time())
        raise


def _make_billed_request(admitted: Request, result: Result) -> Request:
    # A request that joined the run of another request is billed under the id
    # of that request, so that the two bills have one id and count once.
    request_id = result.request_id or admitted.request_id
    return dataclasses.replace(admitted, request_id=request_id)


def _make_headers(admitted: Request, result: Result) -> dict[str, str]:
    headers = {
        HEADER_REQUEST_ID: result.request_id or admitted.request_id,
        HEADER_VERSION: str(result.version),
        HEADER_ATTEMPTS: str(result.attempts),
    }
    if result.finished is not None:
        headers[HEADER_BILLED] = str(result.finished.completion_tokens)
    return headers

"""Reads the answer of a plain service as the only block of a run."""

from __future__ import annotations

from collections.abc import AsyncIterator

from lovagestage.adapters.protocols import Engine, PlainService
from lovagestage.decisions.plain_calls import (
    HEADER_REQUEST_ID,
    HEADER_WORKSPACE,
)
from lovagestage.exceptions import CodecError, EngineRefusedError
from lovagestage.execution.engine_stream import EngineStream
from lovagestage.execution.events import Block
from lovagestage.messages.calls import Header, decode_call, encode_answer
from lovagestage.messages.runs import Dispatch
from lovagestage.settings import SidecarSettings


class PlainStream:
    """Makes one call to a plain service, which is never retried.

    Args:
        service: The plain service of the upstream.
        dispatch: The call.
    """

    def __init__(self, service: PlainService, dispatch: Dispatch) -> None:
        self._service = service
        self._dispatch = dispatch

    async def read(self) -> AsyncIterator[Block]:
        """Yields the answer.

        Raises:
            EngineError: There is no answer; the error says what is known of
                the run.
        """
        dispatch = self._dispatch
        headers = [
            *dispatch.headers,
            Header(HEADER_REQUEST_ID, dispatch.request_id),
            Header(HEADER_WORKSPACE, dispatch.workspace),
        ]
        try:
            call = decode_call(dispatch.body)
        except CodecError as error:
            raise EngineRefusedError(error.message) from error
        answer = await self._service.call(call, headers)
        yield Block(encode_answer(answer), 1, None, True)


def open_stream(
    upstream: Engine | PlainService,
    dispatch: Dispatch,
    settings: SidecarSettings,
) -> EngineStream | PlainStream:
    """Opens the answer of a run at an engine or a plain service.

    Args:
        upstream: The engine or the plain service.
        dispatch: The request to run.
        settings: Timeouts of the engine.
    """
    if isinstance(upstream, PlainService):
        return PlainStream(upstream, dispatch)
    return EngineStream(
        upstream,
        dispatch,
        settings.first_token_timeout_s,
        settings.progress_timeout_s,
    )

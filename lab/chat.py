"""Chat requests of a model engine: parses requests and streams answers."""

from __future__ import annotations

import time
import uuid
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from lab.answers import (
    EventEncoder,
    count_tokens,
    garbage_tokens,
    generate_answer_tokens,
    join_messages,
)
from lab.batch import Sequence
from lab.server import hang

DEFAULT_TOKENS = 16
"""Length of an answer if the request sets no limit."""
MAX_TOKENS = 4096
DEFAULT_PRIORITY = 100
"""Priority of requests without an X-Priority header; lower runs earlier."""


class WrongRequestError(Exception):
    """A chat request has a field that the engine does not accept."""


def read_sequence(
    headers: Mapping[str, str], body: dict[str, Any], *, garbage: bool
) -> Sequence:
    """Creates the sequence for a chat request.

    Args:
        headers: Request headers.
        body: Decoded JSON body of the request.
        garbage: Whether to generate the tokens of a faulty version.

    Raises:
        WrongRequestError: A field has a wrong type or value.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not all(
        isinstance(message, dict) for message in messages
    ):
        raise WrongRequestError("messages")
    model: str = body["model"]
    prompt = join_messages(messages)
    count, finish_reason = _get_token_count(body)
    if garbage:
        tokens = garbage_tokens(count)
    else:
        tokens = generate_answer_tokens(prompt, model, count)
    request_id = headers.get("X-Request-Id") or uuid.uuid4().hex
    options = body.get("stream_options") or {}
    encoder = EventEncoder(
        request_id=request_id,
        model=model,
        created_s=int(time.time()),
        tokens=tokens,
        finish_reason=finish_reason,
        usage=_make_usage(prompt, tokens),
        include_usage=bool(options.get("include_usage")),
    )
    return Sequence(
        request_id=request_id,
        model=model,
        prompt=prompt,
        tokens=tokens,
        encoder=encoder,
        priority=_get_priority(headers),
    )


async def send_events(
    request: web.Request,
    sequence: Sequence,
    seq: int,
    silent_after_tokens: int | None,
) -> web.StreamResponse:
    """Streams the events of a sequence as they are generated.

    Args:
        request: The HTTP request to answer.
        sequence: The sequence to stream.
        seq: Number of the first event to send.
        silent_after_tokens: Number of tokens after which the stream stops
            sending but keeps its connection open; None for no such fault.
    """
    response = web.StreamResponse()
    response.content_type = "text/event-stream"
    response.headers["Cache-Control"] = "no-cache"
    limit = sequence.encoder.total
    if silent_after_tokens is not None:
        limit = min(limit, silent_after_tokens + 1)
    try:
        await response.prepare(request)
        while not sequence.cancelled and seq < limit:
            end = min(limit, sequence.available)
            if seq < end:
                await response.write(sequence.encoder.encode_events(seq, end))
                seq = end
            else:
                await sequence.progress.wait()
        if limit < sequence.encoder.total:
            await hang(request)
        await response.write_eof()
    except ConnectionResetError:
        # The client has disconnected; the sequence continues, so that the
        # client can resume the stream.
        pass
    return response


def _get_token_count(body: dict[str, Any]) -> tuple[int, str]:
    requested = body.get("max_completion_tokens", body.get("max_tokens"))
    if requested is None:
        return DEFAULT_TOKENS, "stop"
    if not isinstance(requested, int) or requested < 1:
        raise WrongRequestError("max_tokens")
    return min(requested, MAX_TOKENS), "length"


def _get_priority(headers: Mapping[str, str]) -> int:
    try:
        return int(headers.get("X-Priority", DEFAULT_PRIORITY))
    except ValueError:
        raise WrongRequestError("X-Priority") from None


def _make_usage(prompt: str, tokens: list[str]) -> dict[str, int]:
    prompt_tokens = count_tokens(prompt)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(tokens),
        "total_tokens": prompt_tokens + len(tokens),
    }

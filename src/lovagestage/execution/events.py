"""Parses the server-sent events of a chat completion."""

from __future__ import annotations

import dataclasses
import re

import msgspec

_USAGE = re.compile(rb'"usage"\s*:\s*\{')
_EVENT_ID = re.compile(rb"^id: ?(\d+)", re.MULTILINE)
_DATA = re.compile(rb"^data: ?(.*)$", re.MULTILINE)
DONE = b"[DONE]"


class Usage(msgspec.Struct):
    """Token counts of an answer, as the engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class _Delta(msgspec.Struct):
    role: str | None = None
    content: str | None = None


class _Choice(msgspec.Struct):
    index: int = 0
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _ChunkForm(msgspec.Struct):
    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_Choice] = []
    usage: Usage | None = None


_chunk_decoder = msgspec.json.Decoder(_ChunkForm)


@dataclasses.dataclass(frozen=True)
class Block:
    """Complete events that arrived together.

    Attributes:
        data: Bytes for the caller, without the usage event if the caller did
            not ask for it.
        next_seq: Number of the event that follows, for resumption.
        usage: Token counts, where the block contains the usage event.
        done: Whether the block ends the stream.
    """

    data: bytes
    next_seq: int
    usage: Usage | None
    done: bool


def parse_block(data: bytes, next_seq: int, keep_usage: bool) -> Block:
    """Parses a block and decodes only the events that need decoding.

    Args:
        data: Complete events.
        next_seq: Expected number of the first event.
        keep_usage: Whether the caller asked for the usage event.
    """
    ids = _EVENT_ID.findall(data)
    following_seq = int(ids[-1]) + 1 if ids else next_seq
    usage = None
    if _USAGE.search(data):
        data, usage = _extract_usage(data, keep_usage)
    return Block(data, following_seq, usage, DONE in data)


def _extract_usage(data: bytes, keep_usage: bool) -> tuple[bytes, Usage | None]:
    usage = None
    forwarded = []
    for event in data.split(b"\n\n"):
        chunk = _parse_event(event)
        if chunk is not None and chunk.usage is not None:
            usage = chunk.usage
            if not chunk.choices and not keep_usage:
                continue
        forwarded.append(event)
    return b"\n\n".join(forwarded), usage


def _parse_event(event: bytes) -> _ChunkForm | None:
    match = _DATA.search(event)
    if match is None or match.group(1).strip() == DONE:
        return None
    try:
        return _chunk_decoder.decode(match.group(1))
    except msgspec.MsgspecError:
        return None


def make_plain_answer(events: bytes, usage: Usage) -> bytes:
    """Joins the events of a stream into one `chat.completion` object.

    Args:
        events: All events of the stream.
        usage: Token counts of the answer.

    Returns:
        The JSON body of the answer.
    """
    texts: list[str] = []
    last_chunk = _ChunkForm()
    finish_reason = "stop"
    for event in events.split(b"\n\n"):
        chunk = _parse_event(event)
        if chunk is None or not chunk.choices:
            continue
        last_chunk = chunk
        choice = chunk.choices[0]
        texts.append(choice.delta.content or "")
        finish_reason = choice.finish_reason or finish_reason
    return msgspec.json.encode(
        {
            "id": last_chunk.id,
            "object": "chat.completion",
            "created": last_chunk.created,
            "model": last_chunk.model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(texts)},
                    "finish_reason": finish_reason,
                }
            ],
            "usage": usage,
        }
    )

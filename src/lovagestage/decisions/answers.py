"""Parses complete answers in the format of OpenAI's chat completions."""

from __future__ import annotations

import msgspec

FILTERED = "content_filter"
CALLS_TOOLS = "tool_calls"
CUT_OFF = "length"
_DATA = b"data: "
_DONE = b"[DONE]"


class Answer(msgspec.Struct, frozen=True):
    """Parts of an answer that the rater and the routing use.

    Attributes:
        text: Text of the answer.
        finish_reason: Reason for which the answer ended; empty if it names
            none.
        is_refusal: Whether the model has refused to answer.
        has_tool_calls: Whether the answer calls tools, so that it needs no
            text.
    """

    text: str = ""
    finish_reason: str = ""
    is_refusal: bool = False
    has_tool_calls: bool = False

    @property
    def is_failure(self) -> bool:
        """Whether the answer is of no use to the caller."""
        if self.is_refusal or self.finish_reason == FILTERED:
            return True
        return not self.text.strip() and not self.has_tool_calls


class _Message(msgspec.Struct):
    content: str | list[object] | None = None
    refusal: str | None = None
    tool_calls: list[object] | None = None


class _Choice(msgspec.Struct):
    message: _Message | None = None
    delta: _Message | None = None
    finish_reason: str | None = None


class _Body(msgspec.Struct):
    choices: list[_Choice] = []


_decoder = msgspec.json.Decoder(_Body)


def parse_answer(body: bytes, stream: bool) -> Answer | None:
    """Parses a complete answer.

    Args:
        body: JSON, or server-sent events if the answer was streamed.
        stream: Whether the answer was streamed.

    Returns:
        The answer, or None if the body has another format.
    """
    try:
        return _merge_choices(_get_choices(body, stream))
    except msgspec.MsgspecError:
        return None


def _get_choices(body: bytes, stream: bool) -> list[_Choice]:
    documents = _split_events(body) if stream else [body]
    choices = []
    for document in documents:
        choices += _decoder.decode(document).choices[:1]
    return choices


def _split_events(body: bytes) -> list[bytes]:
    return [
        line.removeprefix(_DATA)
        for line in body.splitlines()
        if line.startswith(_DATA) and not line.endswith(_DONE)
    ]


def _merge_choices(choices: list[_Choice]) -> Answer:
    messages = [c.message or c.delta or _Message() for c in choices]
    reasons = [c.finish_reason for c in choices if c.finish_reason]
    reason = reasons[-1] if reasons else ""
    return Answer(
        "".join(c.content for c in messages if isinstance(c.content, str)),
        reason,
        any(c.refusal for c in messages),
        reason == CALLS_TOOLS or any(c.tool_calls for c in messages),
    )

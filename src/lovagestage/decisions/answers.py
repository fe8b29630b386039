"""What an answer in OpenAI's form says of itself."""

from __future__ import annotations

import msgspec

FILTERED = "content_filter"
CALLS_TOOLS = "tool_calls"
CUT_OFF = "length"
_DATA = b"data: "
_DONE = b"[DONE]"


class Answer(msgspec.Struct, frozen=True):
    """An answer as a rater and the routing see it.

    Attributes:
        text: Its text.
        finish_reason: Why it ended; empty where it does not say.
        is_refusal: The model has refused to answer.
        has_tool_calls: It calls tools, and needs no text.
    """

    text: str = ""
    finish_reason: str = ""
    is_refusal: bool = False
    has_tool_calls: bool = False

    @property
    def is_failure(self) -> bool:
        """Whether a caller has nothing from it."""
        if self.is_refusal or self.finish_reason == FILTERED:
            return True
        return not self.text.strip() and not self.has_tool_calls


class _Content(msgspec.Struct):
    content: str | list[object] | None = None
    refusal: str | None = None
    tool_calls: list[object] | None = None


class _Choice(msgspec.Struct):
    message: _Content | None = None
    delta: _Content | None = None
    finish_reason: str | None = None


class _Form(msgspec.Struct):
    choices: list[_Choice] = []


_decoder = msgspec.json.Decoder(_Form)


def parse_answer(body: bytes, stream: bool) -> Answer | None:
    """Reads a whole answer.

    Args:
        body: JSON, or server-sent events where it was streamed.
        stream: Whether it was.

    Returns:
        None where it has another form.
    """
    try:
        return _join(_get_choices(body, stream))
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


def _join(choices: list[_Choice]) -> Answer:
    contents = [c.message or c.delta or _Content() for c in choices]
    reasons = [c.finish_reason for c in choices if c.finish_reason]
    reason = reasons[-1] if reasons else ""
    return Answer(
        "".join(c.content for c in contents if isinstance(c.content, str)),
        reason,
        any(c.refusal for c in contents),
        reason == CALLS_TOOLS or any(c.tool_calls for c in contents),
    )

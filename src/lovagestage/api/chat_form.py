"""What routing reads of a chat completion request."""

from __future__ import annotations

import msgspec
from aiohttp import web

from lovagestage.exceptions import MalformedRequestError
from lovagestage.state.document import DEFAULT_CLASS

HEADER_CLASS = "X-Request-Class"


class ChatForm(msgspec.Struct):
    """The part of a chat completion request that routing looks at.

    Attributes:
        model: A service, a model or `MODEL@VERSION`.
        messages: At least one.
        stream: Whether the caller reads chunks.
        metadata: `request_class`, `session` and `deadline_s` may be given
            here.
        max_tokens: Most tokens of the answer.
        max_completion_tokens: The same by its newer name.
    """

    model: str
    messages: list[dict[str, object]]
    stream: bool = False
    metadata: dict[str, str] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def most_tokens(self) -> int | None:
        """Most tokens of the answer; None where the caller sets no limit."""
        return self.max_completion_tokens or self.max_tokens


_decoder = msgspec.json.Decoder(ChatForm)


def parse_form(body: bytes) -> ChatForm:
    """Parses the body of a request.

    Raises:
        MalformedRequestError: It is no chat completion request.
    """
    try:
        form = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise MalformedRequestError(
            f"The body is no chat completion request: {error}."
        ) from error
    if not form.messages:
        raise MalformedRequestError("Expected at least one message.")
    return form


def get_class_name(request: web.Request, form: ChatForm) -> str:
    """The request class that the header or else the body names."""
    metadata = form.metadata or {}
    return request.headers.get(
        HEADER_CLASS, metadata.get("request_class", DEFAULT_CLASS)
    )

"""Parses the fields of a chat completion request that routing needs."""

from __future__ import annotations

import msgspec
from aiohttp import web

from lovagestage.exceptions import MalformedRequestError
from lovagestage.state.document import DEFAULT_CLASS

HEADER_CLASS = "X-Request-Class"


class ChatFields(msgspec.Struct):
    """The fields of a chat completion request that routing needs.

    Attributes:
        model: Name of a service, of a model, or `MODEL@VERSION`.
        messages: Messages of the conversation, at least one.
        stream: Whether the answer is to be streamed in chunks.
        metadata: May hold the keys `request_class`, `session` and
            `deadline_s`.
        max_tokens: Maximum number of tokens of the answer, under the older
            name of the field.
        max_completion_tokens: Maximum number of tokens of the answer, under
            the newer name of the field.
    """

    model: str
    messages: list[dict[str, object]]
    stream: bool = False
    metadata: dict[str, str] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def token_limit(self) -> int | None:
        """Maximum tokens of the answer; None if the caller sets no limit."""
        return self.max_completion_tokens or self.max_tokens


_decoder = msgspec.json.Decoder(ChatFields)


def parse_fields(body: bytes) -> ChatFields:
    """Parses the body of a chat completion request.

    Raises:
        MalformedRequestError: The body is no chat completion request, or has
            no message.
    """
    try:
        fields = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise MalformedRequestError(
            f"The body is no chat completion request: {error}."
        ) from error
    if not fields.messages:
        raise MalformedRequestError("Expected at least one message.")
    return fields


def get_class_name(request: web.Request, fields: ChatFields) -> str:
    """Returns the request class from the header, or else from the body.

    A request that names no class gets the default class.
    """
    metadata = fields.metadata or {}
    return request.headers.get(
        HEADER_CLASS, metadata.get("request_class", DEFAULT_CLASS)
    )

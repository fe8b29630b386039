"""A call to a plain service and its answer, as sent."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from lovagestage.exceptions import CodecError


class Header(msgspec.Struct, frozen=True, array_like=True):
    """One header; a name may come several times."""

    name: str
    value: str


class PlainCall(msgspec.Struct, frozen=True, array_like=True):
    """What a call asks for; a request key stands for just this.

    Headers are sent beside it: those that clients and proxies add differ from
    one try to the next and don't make it another call.

    Attributes:
        method: HTTP method.
        target: Path and query at the upstream, as they came.
        content: The body.
    """

    method: str
    target: str
    content: bytes


class PlainAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer of a plain service.

    Attributes:
        status: HTTP status, whatever it is.
        headers: Its headers without those of the connection.
        content: The body.
    """

    status: int
    headers: list[Header]
    content: bytes


_Decoded = TypeVar("_Decoded")

_encoder = msgspec.msgpack.Encoder()
_call_decoder = msgspec.msgpack.Decoder(PlainCall)
_answer_decoder = msgspec.msgpack.Decoder(PlainAnswer)


def encode_call(call: PlainCall) -> bytes:
    """Encodes a call as the body of a request."""
    return _encoder.encode(call)


def decode_call(data: bytes) -> PlainCall:
    """Decodes a call.

    Raises:
        CodecError: The bytes are no call.
    """
    return _decode(_call_decoder, data, "A call")


def encode_answer(answer: PlainAnswer) -> bytes:
    """Encodes an answer as the one chunk of its run."""
    return _encoder.encode(answer)


def decode_answer(data: bytes) -> PlainAnswer:
    """Decodes an answer.

    Raises:
        CodecError: The bytes are no answer.
    """
    return _decode(_answer_decoder, data, "An answer")


def _decode(
    decoder: msgspec.msgpack.Decoder[_Decoded], data: bytes, what: str
) -> _Decoded:
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise CodecError(f"{what} does not decode: {error}.") from error

"""Calls to a plain service and their answers, as sent between processes."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from lovagestage.exceptions import CodecError


class Header(msgspec.Struct, frozen=True, array_like=True):
    """One HTTP header; several headers may have the same name."""

    name: str
    value: str


class PlainCall(msgspec.Struct, frozen=True, array_like=True):
    """The part of an HTTP call that a request key identifies.

    Headers are sent separately. The headers that clients and proxies add differ
    between a call and its retries, so they must not make a retry a different
    call.

    Attributes:
        method: HTTP method.
        target: Path and query at the upstream, as the caller sent them.
        content: Body of the call.
    """

    method: str
    target: str
    content: bytes


class PlainAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer of a plain service.

    Attributes:
        status: HTTP status, of any class.
        headers: Headers of the answer, without the connection's own headers.
        content: Body of the answer.
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
        CodecError: The bytes are not an encoded call.
    """
    return _decode(_call_decoder, data, "A call")


def encode_answer(answer: PlainAnswer) -> bytes:
    """Encodes an answer as the only chunk of its run."""
    return _encoder.encode(answer)


def decode_answer(data: bytes) -> PlainAnswer:
    """Decodes an answer.

    Raises:
        CodecError: The bytes are not an encoded answer.
    """
    return _decode(_answer_decoder, data, "An answer")


def _decode(
    decoder: msgspec.msgpack.Decoder[_Decoded], data: bytes, what: str
) -> _Decoded:
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise CodecError(f"{what} does not decode: {error}.") from error

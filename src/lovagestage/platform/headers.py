"""Decodes and encodes the headers of requests, answers and events."""

from __future__ import annotations

import h11

from lovagestage.adapters.http1 import (
    Headers,
    get_raw_headers,
    remove_hop_by_hop,
)
from lovagestage.decisions.upstream_notices import AnswerNotices
from lovagestage.exceptions import CallerMessageError
from lovagestage.gateway.messages import (
    AnswerHead,
    CallerRequest,
    OutgoingCall,
    PromptSegment,
)
from lovagestage.types import RequestId

_REQUEST_ID = b"attempt-id"
_DEADLINE = b"deadline-ms"
_EXPECTED_INSTANCE = b"expected-instance"
_WORKSPACE = b"tenant-id"
_MODEL = b"model-name"
_PREFIX_HASH = b"prefix-hash"
_TOKEN_USAGE = b"token-usage"
_LAST_EVENT_ID = b"last-event-id"
_PRIORITY = b"request-priority"
_SESSION = b"session"
_API_KEY = b"authorization"
_API_KEY_SCHEME = "token"
_GATEWAY_HEADERS = frozenset(
    (
        _DEADLINE,
        _EXPECTED_INSTANCE,
        _WORKSPACE,
        _MODEL,
        _LAST_EVENT_ID,
        _PRIORITY,
        _API_KEY,
        b"pin-ms",
        b"kv-from",
        b"kv-replica",
        b"reservation",
        b"kv-fetch",
        b"expected-version",
        b"not-executed",
        b"content-length",
        b"expect",
        b"host",
    )
)
"""Names of request headers whose values from callers are never forwarded
unchanged: the gateway sets the header itself or omits it."""
_SIGNATURE = b"response-signature"
_NOT_EXECUTED = b"not-executed"
_CONFIDENCE = b"confidence"
_REQUEST_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
_MAX_DIGITS = 15
"""Digits of the largest number that is read; the interpreter refuses to convert
very long ones."""
_DEFAULT_DEADLINE_S = 30.0
"""Deadline in seconds of a request whose caller states none."""


def decode_request(event: h11.Request) -> CallerRequest:
    """Decodes the head of a caller's request.

    Args:
        event: The request line and headers as received.

    Raises:
        CallerMessageError: The request can't be forwarded: its length is
            ambiguous or a header that must be unique is repeated.
    """
    raw = get_raw_headers(event)
    fields = {name.lower(): value for name, value in raw}
    names = [name.lower() for name, _ in raw]
    if b"transfer-encoding" in fields and b"content-length" in fields:
        raise CallerMessageError("Both a length and a transfer coding.")
    for name in (b"host", _REQUEST_ID, _API_KEY, _DEADLINE):
        if names.count(name) > 1:
            raise CallerMessageError(f"Header {name.decode()} stands twice.")
    target = event.target.decode("ascii")
    usage = _get_text(fields, _TOKEN_USAGE).split(",")
    return CallerRequest(
        id=RequestId(_get_text(fields, _REQUEST_ID)),
        method=event.method,
        target=event.target,
        path=target.partition("?")[0],
        host=_get_text(fields, b"host"),
        headers=tuple(
            (name, value)
            for name, value in remove_hop_by_hop(raw)
            if name.lower() not in _GATEWAY_HEADERS
        ),
        budget_s=_get_number(fields, _DEADLINE, _DEFAULT_DEADLINE_S * 1e3)
        / 1000,
        key=_get_api_key(fields),
        model=_get_text(fields, _MODEL) if _MODEL in fields else None,
        prompt_segments=_get_prompt_parts(_get_text(fields, _PREFIX_HASH)),
        prompt_tokens=_parse_count(usage[0]) or 0,
        resume_after=_get_text(fields, _LAST_EVENT_ID) or None,
        session=_get_text(fields, _SESSION) or None,
    )


def _get_text(fields: dict[bytes, bytes], name: bytes) -> str:
    return fields.get(name, b"").decode("latin-1")


def _get_number(
    fields: dict[bytes, bytes], name: bytes, default: float
) -> float:
    try:
        return max(0.0, float(fields[name]))
    except (KeyError, ValueError):
        return default


def _parse_count(text: str) -> int | None:
    """Returns a number written in decimal digits; None for any other text."""
    is_count = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if is_count else None


def _get_api_key(fields: dict[bytes, bytes]) -> str | None:
    scheme, _, key = _get_text(fields, _API_KEY).partition(" ")
    return key.strip() if scheme.lower() == _API_KEY_SCHEME else None


def _get_prompt_parts(text: str) -> tuple[PromptSegment, ...]:
    parts = []
    for item in text.split(","):
        name, _, tokens_text = item.strip().partition(":")
        tokens = _parse_count(tokens_text)
        if name and tokens is not None:
            parts.append(PromptSegment(name, tokens))
    return tuple(parts)


def encode_request(call: OutgoingCall) -> Headers:
    """Returns the headers of a request that is sent to an upstream."""
    request = call.request
    headers = [(b"Host", request.host.encode("latin-1")), *request.headers]
    headers.append((b"Deadline-Ms", b"%d" % max(1, int(call.left_s * 1000))))
    headers.append((b"Expected-Instance", call.upstream.encode()))
    for name, value in (
        (b"Tenant-Id", call.workspace),
        (b"Model-Name", call.model),
        (b"Last-Event-Id", call.resume_after),
        (
            b"Request-Priority",
            None if call.priority is None else str(call.priority),
        ),
    ):
        if value is not None:
            headers.append((name, value.encode("latin-1")))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return headers


def decode_answer(event: h11.Response) -> AnswerHead:
    """Decodes the status and the headers of an upstream's answer."""
    raw = get_raw_headers(event)
    fields = {name.lower(): value for name, value in raw}
    confidence = _parse_count(_get_text(fields, _CONFIDENCE))
    return AnswerHead(
        status=event.status_code,
        headers=tuple(remove_hop_by_hop(raw)),
        request_id=RequestId(_get_text(fields, _REQUEST_ID))
        if _REQUEST_ID in fields
        else None,
        is_signed=_SIGNATURE in fields,
        is_not_run=_NOT_EXECUTED in fields
        or event.status_code == _MISDIRECTED_STATUS,
        is_other_instance=event.status_code == _MISDIRECTED_STATUS,
        confidence=None if confidence is None else float(confidence),
        closes_connection=b"close" in fields.get(b"connection", b"").lower(),
        idle_timeout_s=_get_idle_timeout(_get_text(fields, b"keep-alive")),
        has_encoding=b"content-encoding" in fields,
        notices=AnswerNotices(
            request_limit=_get_texts(raw, _REQUEST_LIMIT),
            leaving=_get_texts(raw, _LEAVING),
            rest=_get_texts(raw, _RETRY_AFTER),
            is_refusal=event.status_code == _UNAVAILABLE_STATUS,
        ),
        length_bytes=None
        if b"transfer-encoding" in fields
        else _parse_count(_get_text(fields, b"content-length")),
        ends_with_connection=not fields.keys()
        & {b"content-length", b"transfer-encoding"},
    )


def _get_texts(raw: Headers, name: bytes) -> tuple[str, ...]:
    """Returns the values of all headers with a name."""
    return tuple(
        value.decode("latin-1") for key, value in raw if key.lower() == name
    )


def _get_idle_timeout(text: str) -> float | None:
    for item in text.split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout":
            timeout_s = _parse_count(value)
            return None if timeout_s is None else float(timeout_s)
    return None


def encode_answer(
    request_id: str, retry_after_s: float | None, body: bytes
) -> Headers:
    """Returns the headers of an answer that the gateway makes itself.

    Args:
        request_id: Id of the request; empty where the request has none.
        retry_after_s: Time in seconds after which the caller may retry; None
            to omit the header.
        body: The answer's body.
    """
    headers = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(body)),
    ]
    if request_id:
        headers.append((b"Attempt-Id", request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    return headers


def decode_event_id(event_bytes: bytes) -> str | None:
    """Returns the id of one event of a stream.

    Args:
        event_bytes: The lines of the event.

    Returns:
        The id; None for an event without an id.
    """
    for line in event_bytes.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None

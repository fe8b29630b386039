"""Headers of requests, answers and events."""

from __future__ import annotations

import h11

from lovagestage.adapters.http1 import (
    Headers,
    get_raw_headers,
    remove_hop_by_hop,
)
from lovagestage.exceptions import WrongMessageError
from lovagestage.gateway.messages import (
    AnswerHead,
    CallerRequest,
    OutgoingCall,
    PromptPart,
)
from lovagestage.types import RequestId

_ID = b"attempt-id"
_DEADLINE = b"deadline-ms"
_INSTANCE = b"expected-instance"
_WORKSPACE = b"tenant-id"
_MODEL = b"model-name"
_PREFIX = b"prefix-hash"
_USAGE = b"token-usage"
_RESUME = b"last-event-id"
_PRIORITY = b"request-priority"
_SESSION = b"session"
_KEY = b"authorization"
_KEY_SCHEME = "token"
_SET_BY_US = frozenset(
    (
        _DEADLINE,
        _INSTANCE,
        _WORKSPACE,
        _MODEL,
        _RESUME,
        _PRIORITY,
        _KEY,
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
"""What a caller sends under these names is not passed on as it is."""
_SIGNATURE = b"response-signature"
_NOT_RUN = b"not-executed"
_CONFIDENCE = b"confidence"
_MISDIRECTED = 421
_DEFAULT_DEADLINE_S = 30.0
"""Of a caller that names none."""


def decode_request(event: h11.Request) -> CallerRequest:
    """Decodes the head of a caller's request.

    Raises:
        WrongMessageError: It can't be passed on.
    """
    raw = get_raw_headers(event)
    fields = {name.lower(): value for name, value in raw}
    names = [name.lower() for name, _ in raw]
    if b"transfer-encoding" in fields and b"content-length" in fields:
        raise WrongMessageError("Both a length and a transfer coding.")
    for name in (b"host", _ID, _KEY, _DEADLINE):
        if names.count(name) > 1:
            raise WrongMessageError(f"Header {name.decode()} stands twice.")
    target = event.target.decode("ascii")
    usage = _get_text(fields, _USAGE).split(",")
    return CallerRequest(
        id=RequestId(_get_text(fields, _ID)),
        method=event.method,
        target=event.target,
        path=target.partition("?")[0],
        host=_get_text(fields, b"host"),
        headers=tuple(
            (name, value)
            for name, value in remove_hop_by_hop(raw)
            if name.lower() not in _SET_BY_US
        ),
        budget_s=_get_number(fields, _DEADLINE, _DEFAULT_DEADLINE_S * 1e3)
        / 1000,
        key=_get_key(fields),
        model=_get_text(fields, _MODEL) if _MODEL in fields else None,
        parts=_get_parts(_get_text(fields, _PREFIX)),
        prompt_tokens=int(usage[0]) if usage[0].isdigit() else 0,
        resume_after=_get_text(fields, _RESUME) or None,
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


def _get_key(fields: dict[bytes, bytes]) -> str | None:
    scheme, _, key = _get_text(fields, _KEY).partition(" ")
    return key.strip() if scheme.lower() == _KEY_SCHEME else None


def _get_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def encode_request(call: OutgoingCall) -> Headers:
    """Headers of a request to an upstream."""
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
    """Decodes the head of an upstream's answer."""
    raw = get_raw_headers(event)
    fields = {name.lower(): value for name, value in raw}
    confidence = _get_text(fields, _CONFIDENCE)
    return AnswerHead(
        status=event.status_code,
        headers=tuple(remove_hop_by_hop(raw)),
        request_id=RequestId(_get_text(fields, _ID)) if _ID in fields else None,
        is_signed=_SIGNATURE in fields,
        is_not_run=_NOT_RUN in fields or event.status_code == _MISDIRECTED,
        is_other_instance=event.status_code == _MISDIRECTED,
        confidence=float(confidence) if confidence.isdigit() else None,
        closes=b"close" in fields.get(b"connection", b"").lower(),
        idle_timeout_s=_get_idle_timeout(_get_text(fields, b"keep-alive")),
        has_encoding=b"content-encoding" in fields,
    )


def _get_idle_timeout(text: str) -> float | None:
    for item in text.split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


def encode_answer(
    request_id: str, retry_after_s: float | None, body: bytes, closes: bool
) -> Headers:
    """Headers of an answer of the gateway's own."""
    headers = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(body)),
    ]
    if request_id:
        headers.append((b"Attempt-Id", request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    if closes:
        headers.append((b"Connection", b"close"))
    return headers


def decode_event(block: bytes) -> str | None:
    """The id of one event of a stream; None where it has none."""
    for line in block.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None

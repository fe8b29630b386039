"""Requests and answers as the gateway's modules pass them to each other."""

from __future__ import annotations

import dataclasses

from lovagestage.decisions.upstream_notices import AnswerNotices
from lovagestage.types import (
    InstanceId,
    RequestId,
    WorkspaceId,
)

ANY_MODEL = "*"
"""Model name in a request that leaves the choice of the model to the router."""


@dataclasses.dataclass(frozen=True)
class PromptSegment:
    """A segment of a prompt that other requests may share.

    Attributes:
        text_hash: Hash of the segment's text.
        tokens: Length of the segment in tokens.
    """

    text_hash: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request as its caller sent it.

    Attributes:
        id: The caller's id of this attempt.
        method: HTTP method.
        target: Path and query, forwarded unchanged.
        path: Path without the query.
        host: Value of the Host header.
        headers: Headers that are forwarded unchanged.
        budget_s: Time in seconds for which the caller waits.
        key: API key; None without one.
        model: Requested model; None if the request names none.
        prompt_segments: Segments of the prompt, in order.
        prompt_tokens: Length of the prompt in tokens.
        resume_after: Id of the last stream event that the caller has received;
            None for a stream from its start.
        session: Session to which the request belongs; None without one.
        body: The complete body.
        arrived_s: Loop time in seconds at which the request's head was read.
    """

    id: RequestId
    method: bytes
    target: bytes
    path: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    budget_s: float
    key: str | None
    model: str | None
    prompt_segments: tuple[PromptSegment, ...]
    prompt_tokens: int
    resume_after: str | None
    session: str | None
    body: bytes = b""
    arrived_s: float = 0.0

    @property
    def prefix_key(self) -> str | None:
        """Key of the prompt prefix that other requests may share.

        It is the hash of the last segment but one, as the last segment belongs
        to this request alone. It is None for a prompt with fewer than two
        segments.
        """
        if len(self.prompt_segments) < 2:
            return None
        return self.prompt_segments[-2].text_hash


@dataclasses.dataclass(frozen=True)
class OutgoingCall:
    """A request as it is sent to one upstream.

    Attributes:
        request: The caller's request.
        upstream: The upstream process that may run the request.
        left_s: Time in seconds until the request's deadline.
        workspace: Workspace of the request's API key; None on public routes.
        model: Model that is to answer; None if none is named.
        resume_after: Id of the last event that must not be sent again; None for
            a stream from its start.
        priority: Priority from 0, the most urgent; None for the default.
    """

    request: CallerRequest
    upstream: InstanceId
    left_s: float
    workspace: WorkspaceId | None = None
    model: str | None = None
    resume_after: str | None = None
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """The head of an upstream's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that are forwarded unchanged.
        request_id: Id of the request that is answered; None without one.
        is_signed: Whether the answer carries the upstream's signature.
        is_not_run: Whether the upstream states that it has not run the request.
        is_other_instance: Whether a different upstream process uses the address
            now.
        confidence: The model's rough confidence in its answer, 0 to 100; None
            without one.
        closes_connection: Whether the upstream closes the connection after the
            answer.
        idle_timeout_s: Time in seconds after which the upstream closes an idle
            connection; None if it announces none.
        has_encoding: Whether the body has a content encoding, so that it is not
            as the upstream made it.
        notices: What the upstream says of itself.
        length_bytes: Stated length of the body in bytes; None without one.
        ends_with_connection: Whether the body is neither chunked nor of a
            stated length, so that the end of the connection ends it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    request_id: RequestId | None
    is_signed: bool
    is_not_run: bool
    is_other_instance: bool
    confidence: float | None
    closes_connection: bool
    idle_timeout_s: float | None
    has_encoding: bool
    notices: AnswerNotices
    length_bytes: int | None = None
    ends_with_connection: bool = False

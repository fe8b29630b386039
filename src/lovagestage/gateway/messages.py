"""Requests and answers as the gateway's parts hand them to each other."""

from __future__ import annotations

import dataclasses

from lovagestage.types import (
    InstanceId,
    RequestId,
    WorkspaceId,
)

ANY_MODEL = "*"
"""A caller's model name that leaves the choice to the router."""


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        name: Hash of its text.
        tokens: Its length.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request as its caller sent it.

    Attributes:
        id: The caller's id of this attempt.
        method: HTTP method.
        target: Path and query, passed on unchanged.
        path: Path without the query.
        host: Host that it names.
        headers: Headers that are passed on unchanged.
        budget_s: Time that the caller waits.
        key: API key; None without one.
        model: Model that it names; None where it names none.
        parts: Parts of its prompt, in order.
        prompt_tokens: Length of the prompt.
        resume_after: Id of the last event that the caller has.
        session: Requests that follow each other; None without one.
        body: The whole body.
        arrived_s: Loop time at which its head was read.
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
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    resume_after: str | None
    session: str | None
    body: bytes = b""
    arrived_s: float = 0.0

    @property
    def subject(self) -> str | None:
        """The last part of the prompt that other requests may share."""
        if len(self.parts) < 2:
            return None
        return self.parts[-2].name


@dataclasses.dataclass(frozen=True)
class OutgoingCall:
    """A request as it is sent to one upstream.

    Attributes:
        request: What the caller sent.
        upstream: The incarnation that may run it.
        left_s: Time that is left.
        workspace: Whose key it came with; None on public routes.
        model: Model that is to answer; None where none is named.
        resume_after: Id of the last event that is not to be sent again.
        priority: From 0 for the most urgent; None for the default.
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
        headers: Headers that are passed on unchanged.
        request_id: Id of the request that it answers; None without one.
        is_signed: It bears the upstream's signature.
        is_not_run: The upstream says that it has not run the request.
        is_other_instance: Another incarnation has the address now.
        confidence: The model's rough opinion of its answer, 0 to 100.
        closes: The upstream closes the connection.
        idle_timeout_s: Time after which it closes an idle connection.
        has_encoding: The body is not as the upstream made it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    request_id: RequestId | None
    is_signed: bool
    is_not_run: bool
    is_other_instance: bool
    confidence: float | None
    closes: bool
    idle_timeout_s: float | None
    has_encoding: bool

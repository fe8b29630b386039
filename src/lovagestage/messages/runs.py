"""Messages about one run, between an entry and a sidecar.

A run is named by the request id together with the attempt number; frames of
another attempt are dropped.
"""

from __future__ import annotations

import msgspec

from lovagestage.messages.calls import Header
from lovagestage.types import (
    RequestId,
    RunState,
    WorkspaceId,
)


class Dispatch(msgspec.Struct, frozen=True, array_like=True, tag="dispatch"):
    """Runs a request at the sidecar's upstream.

    Attributes:
        request_id: The request.
        attempt: Attempt number from 1; names the run with the request id.
        workspace: Who asks; the sidecar checks it again.
        service: The service.
        version: `MODEL@VERSION`.
        priority: 0 is most urgent.
        deadline_s: Time left until the deadline.
        stream: Whether chunks are wanted as they arrive.
        body: The request's JSON body for the engine.
        in_session: It goes on with an open session, so that a retired version
            takes it.
        incarnation: The process that may run it; 0 is any. A restarted
            sidecar remembers nothing and must not run what was meant for
            the one before.
        keyed: It was claimed under a request key.
        permit_ms: That process's clock when it was chosen, where keyed.
        strikes: Crashes at which the request was in flight.
        probe: It must not run beside others that have strikes.
        clock_ms: That process's clock as the entry had heard it last; -1
            where it had not.
        headers: Headers of a call to a plain service.
    """

    request_id: RequestId
    attempt: int
    workspace: WorkspaceId
    service: str
    version: str
    priority: int
    deadline_s: float
    stream: bool
    body: bytes
    in_session: bool = False
    incarnation: int = 0
    keyed: bool = False
    permit_ms: int = 0
    strikes: int = 0
    probe: bool = False
    clock_ms: int = -1
    headers: tuple[Header, ...] = ()


class Attach(msgspec.Struct, frozen=True, array_like=True, tag="attach"):
    """Asks for a run's chunks again, from `from_seq`.

    Where the sidecar never saw the run, it bars it and answers `not_run`.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        from_seq: First chunk that is wanted.
        incarnation: The process that was to run it; 0 is any.
    """

    request_id: RequestId
    attempt: int
    from_seq: int
    incarnation: int = 0


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """The reader has passed on all chunks before `next_seq`."""

    request_id: RequestId
    attempt: int
    next_seq: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancels a run, down to the engine."""

    request_id: RequestId
    attempt: int


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="accepted"):
    """The sidecar has taken the run; from here on it may have run."""

    request_id: RequestId
    attempt: int


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag="chunk"):
    """Part of an answer.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        seq: Number of the chunk within the run, from 0.
        data: Bytes for the caller.
        count: Number of chunks that are joined in `data`.
    """

    request_id: RequestId
    attempt: int
    seq: int
    data: bytes
    count: int = 1


class Finished(msgspec.Struct, frozen=True, array_like=True, tag="finished"):
    """The run is whole.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        chunks: Number of chunks; all must have arrived.
        prompt_tokens: As the engine counted.
        completion_tokens: As the engine counted.
        digest: xxh3 of the answer's bytes, in hex.
    """

    request_id: RequestId
    attempt: int
    chunks: int
    prompt_tokens: int
    completion_tokens: int
    digest: str


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The run ends without a whole answer.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        code: Code of the error.
        message: Whole sentences.
        run: Whether it was run.
        retry_after_s: When to come back; None where that does not help.
    """

    request_id: RequestId
    attempt: int
    code: str
    message: str
    run: RunState
    retry_after_s: int | None = None

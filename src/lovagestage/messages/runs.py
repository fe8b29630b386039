"""Messages about one run, between an entry and a sidecar.

A run is identified by the request id together with the attempt number; frames
of another attempt are dropped.
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
    """Orders a sidecar to run a request at its upstream.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1; together with the request id
            it identifies the run.
        workspace: Workspace of the caller; the sidecar checks its rights
            again.
        service: Name of the service.
        version: Version to run, as `MODEL@VERSION`.
        priority: Priority of the request; 0 is the most urgent.
        deadline_s: Seconds left until the deadline.
        stream: Whether the caller wants chunks as they arrive.
        body: The request's JSON body for the engine.
        in_session: Whether the request belongs to an open session, so that a
            retired version accepts it.
        incarnation: Incarnation of the sidecar's process that may run the
            request; 0 is any. A restarted sidecar has no record of earlier
            runs and must not run a request that was sent to its predecessor.
        keyed: Whether the run was claimed under a request key.
        permit_ms: Clock of the sidecar's process, in milliseconds, as the
            entry had last received it when it chose this sidecar for the run;
            0 if the run is not keyed.
        strikes: Number of upstream crashes at which the request was in flight.
        probe: Whether the request must not run beside other requests that
            have strikes.
        clock_ms: Clock of the sidecar's process, in milliseconds, as the
            entry last received it; -1 if the entry never received it.
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
    """Requests a run's chunks again, from `from_seq`.

    A sidecar that never received the run refuses the run for good and answers
    `not_run`. If its table of refused and forgotten runs is full, or lacks a
    forgotten run because the table was full, it answers `unknown` instead.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        from_seq: Number of the first requested chunk.
        incarnation: Incarnation of the sidecar's process that was to execute
            the run; 0 is any.
    """

    request_id: RequestId
    attempt: int
    from_seq: int
    incarnation: int = 0


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """Confirms that the reader has forwarded all chunks before `next_seq`."""

    request_id: RequestId
    attempt: int
    next_seq: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancels a run, down to the engine."""

    request_id: RequestId
    attempt: int


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="accepted"):
    """Reports that the sidecar accepted the run; it may execute from now on."""

    request_id: RequestId
    attempt: int


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag="chunk"):
    """Part of the answer of a run.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
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
    """Reports that the answer of a run is complete.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        chunks: Number of chunks of the answer; the reader must have received
            all of them.
        prompt_tokens: Number of prompt tokens that the engine counted.
        completion_tokens: Number of generated tokens that the engine counted.
        digest: xxh3 digest of the answer's bytes, in hex.
    """

    request_id: RequestId
    attempt: int
    chunks: int
    prompt_tokens: int
    completion_tokens: int
    digest: str


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Reports that a run ended without a complete answer.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        code: Code of the error.
        message: Description of the error, in complete sentences.
        run: Whether the request was executed.
        retry_after_s: Seconds after which to retry; None if a retry does not
            help.
    """

    request_id: RequestId
    attempt: int
    code: str
    message: str
    run: RunState
    retry_after_s: int | None = None

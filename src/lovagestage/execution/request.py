"""A request that was admitted, and what is known of its answer."""

from __future__ import annotations

import dataclasses

from lovagestage.decisions.admission import Trial
from lovagestage.decisions.sessions import Session
from lovagestage.exceptions import (
    DeadlineExceededError,
    IsolatedRunPendingError,
    RequestRefusedError,
    UpstreamCrashedError,
    UpstreamFailedError,
    UpstreamLostError,
)
from lovagestage.execution.attempts import Attempt
from lovagestage.messages.calls import Header
from lovagestage.messages.counters import Arm
from lovagestage.messages.runs import Finished
from lovagestage.types import (
    ModelVersion,
    RequestId,
    RunState,
    ServiceId,
    WorkspaceId,
)


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that was admitted.

    Attributes:
        request_id: Id that the entry has assigned.
        workspace: The workspace that sent the request.
        service: The service.
        version: Version to run on.
        priority: Priority; 0 is the most urgent.
        repeatable: Whether the request may run more than once.
        deadline_at_s: Monotonic time of the deadline, in seconds.
        stream: Whether the caller reads the answer as a stream.
        body: The JSON body.
        session: The session that the request belongs to.
        trial: Assignment in a roll-out.
        class_name: The request class.
        arm: Counter that the answer is added to, where the request follows a
            cascade plan.
        headers: Headers of a call to a plain service.
        deferrable: Whether the request may wait until its deadline.
    """

    request_id: RequestId
    workspace: WorkspaceId
    service: ServiceId
    version: ModelVersion
    priority: int
    repeatable: bool
    deadline_at_s: float
    stream: bool
    body: bytes
    session: Session | None = None
    trial: Trial | None = None
    class_name: str = ""
    arm: Arm | None = None
    headers: tuple[Header, ...] = ()
    deferrable: bool = False


@dataclasses.dataclass
class Result:
    """What is known of an answer.

    Attributes:
        version: Version that answered.
        attempts: Number of attempts made.
        request_id: The request whose run is read, where another request with
            the same key has started it. The run is billed to that request.
        finished: Token counts and digest, once the answer is complete.
        probe_waits: Number of attempts that were refused because a probe of a
            suspect had to end first.
        run: Whether any failed attempt was run.
        has_yielded_output: Whether a part of the answer has been read, so that
            the caller may have received it.
        version_failed: Whether an attempt failed in a way that a bad version
            would cause.
        replaced_answer: Token counts of an earlier answer that a second
            version's answer has replaced.
    """

    version: ModelVersion
    attempts: int = 0
    request_id: RequestId | None = None
    finished: Finished | None = None
    probe_waits: int = 0
    run: RunState = RunState.NOT_RUN
    has_yielded_output: bool = False
    version_failed: bool = False
    replaced_answer: Finished | None = None

    def replace_answer(self, second: Result) -> None:
        """Replaces this answer by the answer of another version.

        Args:
            second: Result of the other version's run.
        """
        self.replaced_answer = self.finished
        self.version = second.version
        self.attempts = second.attempts
        self.finished = second.finished

    def record_failure(
        self, error: RequestRefusedError, attempt: Attempt
    ) -> None:
        """Accumulates what is known of the run over all attempts.

        Args:
            error: How the attempt failed.
            attempt: The attempt.
        """
        self.has_yielded_output = (
            self.has_yielded_output or attempt.has_yielded_output
        )
        self.probe_waits += isinstance(error, IsolatedRunPendingError)
        # A retry that succeeds would hide a version that fails occasionally.
        self.version_failed |= is_version_at_fault(error)
        self.run = combine_run_states(self.run, error.run)


def is_version_at_fault(error: RequestRefusedError) -> bool:
    """Returns whether a failure may be caused by its version.

    Failures of the upstream itself affect old and new versions alike, and the
    exposure gate distinguishes them; a lack of capacity is a failure of
    neither version.

    Args:
        error: The failure.
    """
    return isinstance(
        error,
        UpstreamFailedError
        | UpstreamCrashedError
        | UpstreamLostError
        | DeadlineExceededError,
    )


def combine_run_states(earlier: RunState, later: RunState) -> RunState:
    """Combines the run states of two attempts.

    The result is `RAN` if either attempt ran, and otherwise `NOT_RUN` only if
    both attempts were not run.

    Args:
        earlier: Run state of the earlier attempt.
        later: Run state of the later attempt.
    """
    if RunState.RAN in (earlier, later):
        return RunState.RAN
    return earlier if later is RunState.NOT_RUN else later

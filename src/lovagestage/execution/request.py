"""A request that was admitted, and what is known of its answer."""

from __future__ import annotations

import dataclasses

from lovagestage.decisions.admission import Trial
from lovagestage.decisions.sessions import Session
from lovagestage.exceptions import (
    DeadlineExceededError,
    RequestRefusedError,
    SuspectWaitingError,
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
        request_id: Chosen by the entry.
        workspace: Who asks.
        service: The service.
        version: Version to run on.
        priority: 0 is most urgent.
        repeatable: Whether it may run more than once.
        deadline_at_s: Monotonic time of the deadline.
        stream: Whether the caller reads chunks.
        body: The JSON body.
        session: The session that it came with.
        trial: Its part in a roll-out.
        class_name: Its request class.
        arm: What its answer counts for, where it follows a plan.
        headers: Headers of a call to a plain service.
        deferrable: It may wait until its deadline.
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
    """What is known of an answer once it is whole.

    Attributes:
        version: Version that answered.
        attempts: Attempts made.
        request_id: The request whose run is read, where another one with
            the same key has started it; the bill is that one's.
        finished: Token counts and digest.
        waits: Attempts that were refused until a probe has ended.
        run: Whether any attempt that failed was run.
        passed_on: Whether the caller has had a part of the answer.
        version_failed: Whether an attempt failed as a bad version's would.
        first: Token counts of an earlier answer that was not good enough.
    """

    version: ModelVersion
    attempts: int = 0
    request_id: RequestId | None = None
    finished: Finished | None = None
    waits: int = 0
    run: RunState = RunState.NOT_RUN
    passed_on: bool = False
    version_failed: bool = False
    first: Finished | None = None

    def take(self, second: Result) -> None:
        """Puts another version's answer in place of this one."""
        self.first = self.finished
        self.version = second.version
        self.attempts = second.attempts
        self.finished = second.finished

    def note_failure(
        self, error: RequestRefusedError, attempt: Attempt
    ) -> None:
        """Keeps what is known of the run over all attempts."""
        self.passed_on = self.passed_on or attempt.passed_on
        self.waits += isinstance(error, SuspectWaitingError)
        # A retry that succeeds would hide a version that fails now and then.
        self.version_failed |= is_version_at_fault(error)
        self.run = join_run_states(self.run, error.run)


def is_version_at_fault(error: RequestRefusedError) -> bool:
    """Whether a failure may be its version's doing.

    An upstream's own failures hit old and new versions alike and are told
    apart by the exposure gate; a lack of capacity is no failure of either.
    """
    return isinstance(
        error,
        UpstreamFailedError
        | UpstreamCrashedError
        | UpstreamLostError
        | DeadlineExceededError,
    )


def join_run_states(earlier: RunState, later: RunState) -> RunState:
    """Run state of two attempts together: a proof of a run stands."""
    if RunState.RAN in (earlier, later):
        return RunState.RAN
    return earlier if later is RunState.NOT_RUN else later

"""What callers and workers see on a day, and what was done to the gateways."""

from __future__ import annotations

import dataclasses
import enum
import math
from http import HTTPStatus

from lab.day.deployment import LOSS_SLACK_S, RequestClass


class RunEnd(enum.Enum):
    """How the run of a request at a worker ended."""

    AT_WORK = "at_work"
    COMPLETE = "complete"
    DROPPED = "dropped"
    """Its connection was closed from the other side."""
    BROKEN_OFF = "broken_off"
    """The worker ended."""


@dataclasses.dataclass
class Run:
    """A run of a request at a worker.

    Attributes:
        worker: Name of the worker.
        begun_s: Monotonic time in seconds of its start.
        ended_s: Monotonic time in seconds of its end; infinite while at work.
        end: How it ended.
    """

    worker: str
    begun_s: float
    ended_s: float = math.inf
    end: RunEnd = RunEnd.AT_WORK


class Outcome(enum.Enum):
    """How an attempt ended for its caller."""

    OPEN = "open"
    ANSWERED = "answered"
    """An answer came whole, or a refusal."""
    CUT = "cut"
    """The connection ended without a complete answer."""
    ABANDONED = "abandoned"
    """The caller left."""
    UNCONNECTED = "unconnected"
    """No connection was made, so nothing was sent."""


@dataclasses.dataclass
class Attempt:
    """One attempt of a caller.

    Attributes:
        id: Its id.
        request_class: Kind of request.
        gateway: Name of the gateway that it was sent to.
        is_kept: Whether its connection had served a request before.
        sent_s: Monotonic time in seconds at which its last byte was sent.
        deadline_s: Time in seconds that its caller waits for it.
        ended_s: Monotonic time in seconds of its end.
        outcome: How it ended.
        status: Status of its answer; 0 without one.
    """

    id: str
    request_class: RequestClass
    gateway: str
    is_kept: bool
    sent_s: float
    deadline_s: float
    ended_s: float = math.inf
    outcome: Outcome = Outcome.OPEN
    status: int = 0
    was_reset: bool = False
    """Whether the connection was reset: its gateway had closed it with bytes in
    the socket that it had not read."""
    request_id: str = ""
    """Id of the first attempt at the same request."""

    @property
    def is_served(self) -> bool:
        """Whether the caller got a complete answer."""
        return self.outcome is Outcome.ANSWERED and self.status == HTTPStatus.OK


class WorkKind(enum.Enum):
    """Kinds of work on gateways, or on all of them."""

    TERM = "term"
    HUP = "hup"
    CONFIGURATION = "configuration"
    FREEZE = "freeze"
    """Not planned: it excuses its gateway."""
    KILL = "kill"
    """Not planned, as above."""
    SKEW = "skew"
    """Most new connections go to the gateway; it excuses nothing."""


@dataclasses.dataclass
class Work:
    """Something that was done to a gateway.

    Attributes:
        kind: What was done.
        gateway: Name of the gateway; empty for a configuration.
        begun_s: Monotonic time in seconds of its start.
        ended_s: Monotonic time in seconds of its end: of a configuration, its
            acknowledgement.
    """

    kind: WorkKind
    gateway: str
    begun_s: float
    ended_s: float = math.inf


@dataclasses.dataclass
class DayRecord:
    """All that was seen on a day.

    Attributes:
        attempts: Attempts of callers in the order in which they were sent.
        runs: Runs of each attempt, by its id.
        works: What was done to the gateways.
        outcomes: States of roll-outs that the gateways have written.
    """

    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    runs: dict[str, list[Run]] = dataclasses.field(default_factory=dict)
    works: list[Work] = dataclasses.field(default_factory=list)
    outcomes: list[str] = dataclasses.field(default_factory=list)

    def was_read(self, attempt: Attempt) -> bool:
        """Whether a gateway has read the request of an attempt that ended.

        One that was cut before any run was not read if its connection was
        reset, or closed as it was sent.
        """
        if attempt.outcome is Outcome.UNCONNECTED:
            return False
        if attempt.outcome is not Outcome.CUT or self.runs.get(attempt.id):
            return True
        time_s = attempt.ended_s - attempt.sent_s
        return not attempt.was_reset and time_s > LOSS_SLACK_S

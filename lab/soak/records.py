"""What a soak records of its faults and of the workers' runs."""

from __future__ import annotations

import dataclasses
import math
from typing import NamedTuple


@dataclasses.dataclass
class StatedLimit:
    """A request limit that a worker states in its answers.

    Attributes:
        worker: Instance name of the worker.
        per_s: Requests per second from all gateways together.
        begun_s: Monotonic time in seconds from which its answers say so.
        ended_s: Monotonic time in seconds until which they do.
    """

    worker: str
    per_s: float
    begun_s: float
    ended_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class StatedRest:
    """A refusal in which a worker asks a gateway for a rest.

    Attributes:
        worker: Instance name of the worker.
        request_id: Id of the refused request.
        asked_s: Monotonic time in seconds of the refusal.
        rest_s: Length of the rest in seconds.
    """

    worker: str
    request_id: str
    asked_s: float
    rest_s: float


@dataclasses.dataclass(frozen=True)
class CrashingRun:
    """A run of a request that crashes the worker which runs it.

    Attributes:
        worker: Instance name of the worker.
        request_id: Id of the request.
        arrived_s: Monotonic time in seconds of its arrival, and of the crash.
    """

    worker: str
    request_id: str
    arrived_s: float


class Run(NamedTuple):
    """A run of a request.

    Attributes:
        begun_s: Monotonic time in seconds of its start.
        worker: Instance name of the worker.
    """

    begun_s: float
    worker: str


@dataclasses.dataclass
class ProcessFault:
    """A restart, suspension or cut of one gateway or worker.

    Attributes:
        name: Name of the gateway or the worker.
        begun_s: Monotonic time in seconds of its start.
        ended_s: Monotonic time in seconds of its end.
        is_planned: Whether it is an announced stop of the process.
    """

    name: str
    begun_s: float
    ended_s: float = math.inf
    is_planned: bool = False


@dataclasses.dataclass
class CrashingPart:
    """A part of prompts that crashes each worker which begins to answer.

    Attributes:
        name: Id of the part.
        begun_s: Monotonic time in seconds of the first request with it.
        ended_s: Monotonic time in seconds of the last one.
        runs: Runs of requests with the part, in the order of their arrival.
    """

    name: str
    begun_s: float
    ended_s: float = math.inf
    runs: list[CrashingRun] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class SlowRollout:
    """A roll-out of a version that answers several times as slowly.

    Attributes:
        version: The new version.
        ordered_s: Monotonic time in seconds of the order.
        duration_s: Time in seconds that the order allows.
        slow_ratio: Ratio of the version's requests that are answered slowly.
        factor: How many times as long a slow answer takes.
        ended_s: Monotonic time in seconds at which its workers left.
        answers_s: Monotonic times in seconds at which slow answers ended.
        outcomes: States of the roll-out that the gateways have written.
    """

    version: str
    ordered_s: float
    duration_s: float
    slow_ratio: float
    factor: float
    ended_s: float = math.inf
    answers_s: list[float] = dataclasses.field(default_factory=list)
    outcomes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class SkewedTime:
    """A time in which most new connections go to one gateway.

    Attributes:
        begun_s: Monotonic time in seconds of its start.
        gateway: Name of the gateway that gets them now.
        ended_s: Monotonic time in seconds of its end.
    """

    begun_s: float
    gateway: str
    ended_s: float = math.inf

"""Everything outside of the system, behind protocols.

The modules `http_*` hold the adapters that speak HTTP; `docs/PLATFORM.md`
gives its form. Nothing else in the package speaks to anything outside, but
for `metrics`, which sends to statsd.
"""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator, Sequence
from typing import Protocol, runtime_checkable

import msgspec

from lovagestage.exceptions import LovagestageError
from lovagestage.messages.calls import Header, PlainAnswer, PlainCall
from lovagestage.messages.envelope import OrderState
from lovagestage.types import (
    FencingNumber,
    ModelVersion,
    Offset,
    RequestId,
    Role,
    VmId,
    VmState,
    ZoneId,
)


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Records read from the log.

    Attributes:
        first_offset: Oldest offset that the log still has.
        next_offset: Offset that the next append will get.
        records: Pairs of offset and bytes, ascending.
    """

    first_offset: Offset
    next_offset: Offset
    records: list[tuple[Offset, bytes]]


class Log(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, data: bytes) -> Offset:
        """Appends one record.

        Raises:
            LogUnavailableError: It was certainly not appended.
            LogAnswerLostError: It may have been appended.
        """

    async def read(
        self, stream: str, start: Offset, limit: int, wait_s: float
    ) -> LogPage:
        """Reads from `start`, waiting up to `wait_s` for a first record.

        Raises:
            LogUnavailableError: The log does not answer.
            BelowHorizonError: `start` has expired.
        """


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM as the platform lists it.

    Attributes:
        vm: Name.
        role: Role of the system's process on it.
        zone: Availability zone.
        state: Live or leaving.
        bus: `HOST:PORT` of the process's listener.
    """

    vm: VmId
    role: Role
    zone: ZoneId
    state: VmState
    bus: str


class VmList(Protocol):
    """The platform's list of VMs."""

    async def get_vms(self) -> list[Vm]:
        """Reads the list.

        Raises:
            VmListError: It can't be read.
        """


class VmListError(LovagestageError):
    """The list of VMs can't be read."""

    code = "vm_list_unavailable"


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Load that an engine reports, some time late.

    Attributes:
        running: Requests in the batch.
        waiting: Requests in the queue.
        max_batch: Most requests in the batch.
        kv_used_ratio: Share of the KV cache in use, from 0 to 1.
        token_interval_ms: Time between tokens of a stream.
    """

    running: int
    waiting: int
    max_batch: int
    kv_used_ratio: float
    token_interval_ms: float


class Engine(Protocol):
    """The model engine beside a sidecar."""

    def run(
        self, request_id: RequestId, priority: int, body: bytes
    ) -> AsyncIterator[bytes]:
        """Runs a streamed request; yields blocks of whole events.

        Raises:
            EngineRefusedError: The engine did not run it.
            EngineError: It failed, with what is known of its run.
        """

    def resume(
        self, request_id: RequestId, from_seq: int
    ) -> AsyncIterator[bytes]:
        """Yields the events of a running stream again, from `from_seq`."""

    async def cancel(self, request_id: RequestId) -> None:
        """Cancels a request; nothing happens where it is unknown."""

    async def get_load(self) -> EngineLoad:
        """Reads the reported load."""

    async def order(self, version: str, fencing: FencingNumber) -> OrderState:
        """Orders it to load `MODEL@VERSION`; loading takes a while.

        Raises:
            EngineError: It did not answer; it may have taken the order.
        """

    async def get_versions(self) -> list[str]:
        """Reads the loaded versions as `MODEL@VERSION`."""


@dataclasses.dataclass(frozen=True)
class RatedAnswer:
    """An answer to be rated.

    Attributes:
        request_id: The request.
        version: Version that answered.
        class_name: Request class.
        prompt: The request's messages as JSON.
        text: The answer.
    """

    request_id: RequestId
    version: ModelVersion
    class_name: str
    prompt: str
    text: str


class Rating(msgspec.Struct, frozen=True):
    """A rating; `score` lies between 0 and 1."""

    request_id: RequestId
    score: float


class RatingPage(msgspec.Struct, frozen=True):
    """Ratings read from the rater.

    Attributes:
        next: Number to read on from.
        ratings: Ratings, in the order in which they were made.
    """

    next: int
    ratings: list[Rating]


class Rater(Protocol):
    """The platform's rater, which scores a sample of the answers, late."""

    async def post(self, answer: RatedAnswer) -> None:
        """Hands an answer over.

        Raises:
            RaterError: It may not have been taken.
        """

    async def read(self, start: int) -> RatingPage:
        """Reads the ratings from number `start` on.

        Raises:
            RaterError: The rater does not answer.
        """


class RaterError(LovagestageError):
    """The rater does not answer."""

    code = "rater_unavailable"


@runtime_checkable
class PlainService(Protocol):
    """The plain service beside a sidecar."""

    async def call(
        self, call: PlainCall, headers: Sequence[Header]
    ) -> PlainAnswer:
        """Makes one call, once; any status is an answer.

        Raises:
            EngineRefusedError: It certainly did not reach the service.
            EngineError: There is no whole answer, with what is known.
        """

    async def cancel(self, request_id: RequestId) -> None:
        """Does nothing: what a plain service has begun is not taken back."""

    async def is_up(self) -> bool:
        """Whether it takes connections."""

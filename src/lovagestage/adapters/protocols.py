"""Protocols of the services outside the system that the package calls.

The modules `http_*` hold the adapters, which use HTTP; `docs/PLATFORM.md`
describes the format of their calls. No other part of the package communicates
with services outside the system, except `metrics`, which sends to statsd.
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
    """Records that one call has read from the log.

    Attributes:
        first_offset: Oldest offset that the log still holds.
        next_offset: Offset that the next appended record will get.
        records: Pairs of offset and bytes, in ascending order of the offset.
    """

    first_offset: Offset
    next_offset: Offset
    records: list[tuple[Offset, bytes]]


class Log(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, data: bytes) -> Offset:
        """Appends one record to a stream of the log.

        Returns:
            The record's offset.

        Raises:
            LogUnavailableError: The record was certainly not appended.
            LogAnswerLostError: The record may have been appended.
        """

    async def read(
        self, stream: str, start: Offset, limit: int, wait_s: float
    ) -> LogPage:
        """Reads at most `limit` records of a stream, from offset `start` on.

        Args:
            stream: Name of the stream.
            start: Offset of the first record.
            limit: Maximum number of records.
            wait_s: Longest time in seconds to wait for a first record.

        Raises:
            LogUnavailableError: The log does not answer, or refused the read.
            RecordsExpiredError: The record at `start` has expired.
        """


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM as the platform lists it.

    Attributes:
        vm: Name of the VM.
        role: Role of the system's process on the VM.
        zone: Availability zone of the VM.
        state: Whether the VM is live or leaving.
        bus_address: `HOST:PORT` of the listener of the VM's process.
    """

    vm: VmId
    role: Role
    zone: ZoneId
    state: VmState
    bus_address: str


class VmList(Protocol):
    """The platform's list of VMs."""

    async def get_vms(self) -> list[Vm]:
        """Reads the list of VMs.

        Raises:
            VmListError: The list can't be read.
        """


class VmListError(LovagestageError):
    """The list of VMs can't be read."""

    code = "vm_list_unavailable"


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Load that an engine reports, with some delay.

    Attributes:
        running: Number of requests in the batch.
        waiting: Number of requests in the queue.
        max_batch: Maximum number of requests in the batch.
        kv_used_ratio: Share of the KV cache in use, from 0 to 1.
        token_interval_ms: Time between two tokens of a stream, in ms.
    """

    running: int
    waiting: int
    max_batch: int
    kv_used_ratio: float
    token_interval_ms: float


class Engine(Protocol):
    """The model engine on the VM of a sidecar."""

    def run(
        self, request_id: RequestId, priority: int, body: bytes
    ) -> AsyncIterator[bytes]:
        """Runs a streamed request; yields blocks of complete events.

        Raises:
            EngineRefusedError: The engine did not run the request.
            EngineError: The request failed; `run` says whether the engine is
                known to have run it.
        """

    def resume(
        self, request_id: RequestId, from_seq: int
    ) -> AsyncIterator[bytes]:
        """Yields the events of a running stream again, from `from_seq` on."""

    async def cancel(self, request_id: RequestId) -> None:
        """Cancels a request; has no effect if the engine doesn't know it."""

    async def get_load(self) -> EngineLoad:
        """Reads the load that the engine reports."""

    async def order(self, version: str, fencing: FencingNumber) -> OrderState:
        """Orders the engine to load a version, which takes some time.

        Args:
            version: The version as `MODEL@VERSION`.
            fencing: Fencing number of the lease under which the order is sent.

        Raises:
            EngineError: The engine did not answer; it may have accepted the
                order.
        """

    async def get_versions(self) -> list[str]:
        """Reads the loaded versions as `MODEL@VERSION`."""


@dataclasses.dataclass(frozen=True)
class RatedAnswer:
    """An answer that the rater is to score.

    Attributes:
        request_id: Id of the request.
        version: Model version that generated the answer.
        class_name: Name of the request class.
        prompt: The request's messages as JSON.
        text: Text of the answer.
    """

    request_id: RequestId
    version: ModelVersion
    class_name: str
    prompt: str
    text: str


class Rating(msgspec.Struct, frozen=True):
    """The rating of an answer; `score` lies between 0 and 1."""

    request_id: RequestId
    score: float


class RatingPage(msgspec.Struct, frozen=True):
    """Ratings that one call has read from the rater.

    Attributes:
        next: Number of the rating at which the next read starts.
        ratings: Ratings, in the order in which they were made.
    """

    next: int
    ratings: list[Rating]


class Rater(Protocol):
    """The platform's rater, which scores a sample of answers with a delay."""

    async def post(self, answer: RatedAnswer) -> None:
        """Sends an answer to the rater.

        Raises:
            RaterError: The rater may not have accepted the answer.
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
    """The plain service on the VM of a sidecar."""

    async def call(
        self, call: PlainCall, headers: Sequence[Header]
    ) -> PlainAnswer:
        """Sends a call to the service at most once.

        A response with any HTTP status counts as an answer.

        Raises:
            EngineRefusedError: The call certainly did not reach the service.
            EngineError: There is no complete answer; `run` says whether the
                service is known to have run the call.
        """

    async def cancel(self, request_id: RequestId) -> None:
        """Does nothing: a call that a plain service has begun is not undone."""

    async def is_up(self) -> bool:
        """Returns whether the service accepts TCP connections."""

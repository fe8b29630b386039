"""Engines and platform services behind protocols, with HTTP adapters.

`docs/PLATFORM.md` gives the HTTP form. Nothing else in the package speaks to
anything outside of the system.
"""

from __future__ import annotations

import base64
import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol

import aiohttp
import msgspec

from lovagestage.exceptions import (
    BelowHorizonError,
    EngineError,
    EngineRefusedError,
    LogAnswerLostError,
    LogUnavailableError,
    LovagestageError,
)
from lovagestage.messages import OrderState
from lovagestage.types import (
    FencingNumber,
    ModelVersion,
    Offset,
    RequestId,
    Role,
    RunState,
    VmId,
    VmState,
    ZoneId,
)

CONNECT_TIMEOUT_S = 2.0
SHORT_CALL_TIMEOUT_S = 5.0
READ_LIMIT_BYTES = 256 * 1024


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


class _RecordForm(msgspec.Struct):
    offset: int
    data: str


class _PageForm(msgspec.Struct):
    first_offset: int
    next_offset: int
    records: list[_RecordForm]


class _AppendForm(msgspec.Struct):
    offset: int


class _ErrorForm(msgspec.Struct):
    first_offset: int = 0


class HttpLog:
    """The log over HTTP.

    Args:
        session: HTTP client of the process.
        url: Base URL.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")

    async def append(self, stream: str, data: bytes) -> Offset:
        """See `Log.append`."""
        try:
            async with self._session.post(
                self._get_url(stream), data=data, timeout=_SHORT
            ) as response:
                body = await response.read()
                if response.status in (429, 503):
                    raise LogUnavailableError(
                        f"The log refused an append with {response.status}."
                    )
                if response.status != 200:
                    raise LogAnswerLostError(
                        f"The log answered {response.status} to an append."
                    )
                return Offset(
                    msgspec.json.decode(body, type=_AppendForm).offset
                )
        except aiohttp.ClientConnectorError as error:
            raise LogUnavailableError(f"The log is down: {error}.") from error
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.MsgspecError,
        ) as error:
            raise LogAnswerLostError(
                f"The log's answer is lost: {error!r}."
            ) from error

    async def read(
        self, stream: str, start: Offset, limit: int, wait_s: float
    ) -> LogPage:
        """See `Log.read`."""
        query = {
            "from": str(start),
            "limit": str(limit),
            "wait_ms": str(int(wait_s * 1000)),
        }
        timeout = aiohttp.ClientTimeout(total=wait_s + SHORT_CALL_TIMEOUT_S)
        try:
            async with self._session.get(
                self._get_url(stream), params=query, timeout=timeout
            ) as response:
                body = await response.read()
                if response.status == 410:
                    form = msgspec.json.decode(body, type=_ErrorForm)
                    raise BelowHorizonError(stream, form.first_offset)
                if response.status != 200:
                    raise LogUnavailableError(
                        f"The log answered {response.status} to a read."
                    )
                return _make_page(msgspec.json.decode(body, type=_PageForm))
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.MsgspecError,
        ) as error:
            raise LogUnavailableError(f"The log is down: {error!r}.") from error

    def _get_url(self, stream: str) -> str:
        return f"{self._url}/v1/streams/{stream}/records"


_UNREADABLE = (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError)
_SHORT = aiohttp.ClientTimeout(total=SHORT_CALL_TIMEOUT_S)


def _make_page(form: _PageForm) -> LogPage:
    return LogPage(
        Offset(form.first_offset),
        Offset(form.next_offset),
        [
            (Offset(record.offset), base64.b64decode(record.data))
            for record in form.records
        ],
    )


class _VmForm(msgspec.Struct):
    vm: VmId
    role: Role
    zone: ZoneId
    state: VmState
    bus: str


class _VmsForm(msgspec.Struct):
    vms: list[_VmForm]


class HttpVmList:
    """The list of VMs over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")

    async def get_vms(self) -> list[Vm]:
        """See `VmList.get_vms`."""
        try:
            async with self._session.get(
                f"{self._url}/v1/vms", timeout=_SHORT
            ) as response:
                response.raise_for_status()
                form = msgspec.json.decode(await response.read(), type=_VmsForm)
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.MsgspecError,
        ) as error:
            raise VmListError(
                f"The list of VMs can't be read: {error!r}."
            ) from error
        return [
            Vm(vm.vm, vm.role, vm.zone, vm.state, vm.bus) for vm in form.vms
        ]


_ORDER_STATES = {
    200: OrderState.DONE,
    202: OrderState.STARTED,
    503: OrderState.THROTTLED,
}


class _LoadForm(msgspec.Struct):
    running: int
    waiting: int
    max_batch: int
    kv_used_ratio: float
    token_interval_ms: float


class _ModelForm(msgspec.Struct):
    id: str


class _ModelsForm(msgspec.Struct):
    data: list[_ModelForm]


class HttpRater:
    """The rater over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url.rstrip('/')}/v1/ratings"

    async def post(self, answer: RatedAnswer) -> None:
        """See `Rater.post`."""
        body = {
            "request_id": answer.request_id,
            "model": answer.version.model,
            "version": answer.version.version,
            "class": answer.class_name,
            "prompt": answer.prompt,
            "answer": answer.text,
        }
        try:
            async with self._session.post(
                self._url, json=body, timeout=_SHORT
            ) as response:
                response.raise_for_status()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise RaterError(f"The rater took no answer: {error!r}.") from error

    async def read(self, start: int) -> RatingPage:
        """See `Rater.read`."""
        try:
            async with self._session.get(
                self._url, params={"from": str(start)}, timeout=_SHORT
            ) as response:
                response.raise_for_status()
                return msgspec.json.decode(
                    await response.read(), type=RatingPage
                )
        except _UNREADABLE as error:
            raise RaterError(f"No ratings can be read: {error!r}.") from error


class HttpEngine:
    """An OpenAI-compatible engine over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")

    async def run(
        self, request_id: RequestId, priority: int, body: bytes
    ) -> AsyncIterator[bytes]:
        """See `Engine.run`."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
            "X-Priority": str(priority),
        }
        request = self._session.post(
            f"{self._url}/v1/chat/completions",
            data=body,
            headers=headers,
            timeout=_STREAM,
        )
        async for block in self._get_blocks(request):
            yield block

    async def resume(
        self, request_id: RequestId, from_seq: int
    ) -> AsyncIterator[bytes]:
        """See `Engine.resume`."""
        request = self._session.get(
            f"{self._url}/v1/streams/{request_id}",
            params={"from_seq": str(from_seq)},
            timeout=_STREAM,
        )
        async for block in self._get_blocks(request):
            yield block

    async def cancel(self, request_id: RequestId) -> None:
        """See `Engine.cancel`."""
        try:
            async with self._session.delete(
                f"{self._url}/v1/streams/{request_id}", timeout=_SHORT
            ):
                pass
        except (TimeoutError, aiohttp.ClientError):
            # The engine ends the request itself when its batch gets to it;
            # the tokens it spends until then are the only loss.
            return

    async def get_load(self) -> EngineLoad:
        """See `Engine.get_load`."""
        form = msgspec.json.decode(await self._get("/load"), type=_LoadForm)
        return EngineLoad(
            form.running,
            form.waiting,
            form.max_batch,
            form.kv_used_ratio,
            form.token_interval_ms,
        )

    async def get_versions(self) -> list[str]:
        """See `Engine.get_versions`."""
        form = msgspec.json.decode(
            await self._get("/v1/models"), type=_ModelsForm
        )
        return [model.id for model in form.data]

    async def order(self, version: str, fencing: FencingNumber) -> OrderState:
        """See `Engine.order`."""
        model, _, name = version.partition("@")
        body = {
            "kind": "load",
            "model": model,
            "version": name,
            "fencing": fencing,
        }
        try:
            async with self._session.post(
                f"{self._url}/orders", json=body, timeout=_SHORT
            ) as response:
                return _ORDER_STATES.get(response.status, OrderState.REFUSED)
        except (TimeoutError, aiohttp.ClientError) as error:
            raise EngineError(
                f"The engine does not answer an order: {error!r}.",
                RunState.UNKNOWN,
            ) from error

    async def _get(self, path: str) -> bytes:
        try:
            async with self._session.get(
                f"{self._url}{path}", timeout=_SHORT
            ) as response:
                response.raise_for_status()
                return await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise EngineError(
                f"The engine does not answer {path}: {error!r}.",
                RunState.UNKNOWN,
            ) from error

    async def _get_blocks(
        self, request: aiohttp.client._RequestContextManager
    ) -> AsyncIterator[bytes]:
        sent = False
        try:
            async with request as response:
                sent = True
                if response.status in (404, 429, 503):
                    raise EngineRefusedError(
                        f"The engine refused with {response.status}."
                    )
                if response.status != 200:
                    raise EngineError(
                        f"The engine answered {response.status}.",
                        RunState.RAN,
                    )
                async for block in _split_events(response.content):
                    yield block
        except aiohttp.ClientConnectorError as error:
            raise EngineRefusedError(
                f"The engine can't be reached: {error}."
            ) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            state = "while it answered" if sent else "before it answered"
            raise EngineError(
                f"The engine was lost {state}: {error!r}.", RunState.UNKNOWN
            ) from error


_STREAM = aiohttp.ClientTimeout(
    total=None,
    sock_connect=CONNECT_TIMEOUT_S,
    sock_read=None,
)
"""The reader of a stream watches its progress: see `runs`."""


async def _split_events(
    content: aiohttp.StreamReader,
) -> AsyncIterator[bytes]:
    """Yields whole server-sent events, as many as have arrived together."""
    rest = b""
    while True:
        data = await content.readany()
        if not data:
            return
        data = rest + data
        end = data.rfind(b"\n\n")
        if end < 0:
            rest = data
            continue
        rest = data[end + 2 :]
        yield data[: end + 2]

"""Client for the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import enum
import time
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any

import h11
import msgspec

from lovagestage.adapters.http1 import ClientConnection, open_channel
from lovagestage.decisions.positions import (
    EraChange,
    StoreEras,
    get_era,
    get_offset,
    make_position,
)
from lovagestage.exceptions import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreEraChangedError,
    StoreHistoryLostError,
    StoreUnavailableError,
    TransferProgress,
    UpstreamConnectionError,
    UpstreamMessageError,
)
from lovagestage.platform.records import (
    Page,
    PageReader,
    Record,
    encode_record,
)
from lovagestage.types import Era, Position

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
OUTCOME_TOPIC = "keyed.status"
_ERA_HEADER = b"store-era"
_BODY_LIMIT_BYTES = 8 * 1024 * 1024


class CallKind(enum.Enum):
    """Kinds of calls to the store."""

    READ = "read"
    WAITING_READ = "waiting_read"
    NEWEST = "newest"
    APPEND = "append"


class CallOutcome(enum.Enum):
    """Outcomes of calls to the store."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """The store answered with a status other than 200."""
    LOST = "lost"
    """No complete answer arrived within the timeout."""


@dataclasses.dataclass(frozen=True)
class CallResult:
    """A call to the store that has ended.

    Attributes:
        kind: Kind of the call.
        outcome: Outcome of the call.
        duration_s: Time in seconds from the start of the call to its end.
        received_bytes: Bytes of the answer's body that were received.
    """

    kind: CallKind
    outcome: CallOutcome
    duration_s: float
    received_bytes: int


CallListener = Callable[[CallResult], None]
"""Callback that receives each call that has ended."""
EraListener = Callable[[Era], None]
"""Callback that receives the era that the head of an answer states."""
PartListener = Callable[[bytes], None]
"""Callback that receives one part of an answer's body."""


class StoreClient:
    """Makes calls to the store, one at a time, over one connection.

    Args:
        address: Address of the store as `IP:PORT`.
        on_call: Called with each call that has ended.
        eras: The store's era, shared by all clients of a process; None for a
            client that shares it with no other.
    """

    def __init__(
        self,
        address: str,
        on_call: CallListener = lambda *_: None,
        eras: StoreEras | None = None,
    ) -> None:
        self._address = address
        self._eras = eras or StoreEras()
        self._on_call = on_call
        self._connection: ClientConnection | None = None
        self._transfer = TransferProgress()

    def close(self) -> None:
        """Aborts the connection; the next call opens another."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    @property
    def is_receiving(self) -> bool:
        """Whether the answer to the current call has begun to arrive."""
        transfer = self._transfer
        return (
            transfer.expected_bytes is not None or transfer.received_bytes > 0
        )

    async def read(
        self,
        topic: str,
        start: Position,
        wait_s: float,
        inactivity_timeout_s: float,
        on_page: Callable[[Page], None] = lambda _: None,
    ) -> Page:
        """Reads records from a position on, waiting up to `wait_s` for one.

        Args:
            topic: The topic.
            start: Position of the first record to read; `START` for the first
                offset in whichever era the store is.
            wait_s: Time in seconds for which the store may hold the call
                while there is no record (long polling).
            inactivity_timeout_s: Time in seconds without a received byte
                after which the call is aborted. The complete answer may
                take longer: its time depends on its size and on the link, and a
                call that is retried starts again from the first byte.
            on_page: Called with the records in parts while they arrive. These
                records remain valid if the rest of the answer is lost.

        Raises:
            StoreEraChangedError: The store is in another era than the
                position.
            StoreHistoryLostError: The store has dropped the records.
            StoreUnavailableError: The store refused the call or did not
                answer.
        """
        query = f"Topic={topic}&part=0&Source={get_offset(start)}"
        if wait_s:
            query += f"&WaitMs={int(wait_s * 1000)}"
        kind = CallKind.WAITING_READ if wait_s else CallKind.READ
        path = f"/v1/log-read?{query}"
        page_reader = PageReader(topic, start, on_page)
        await self._get(
            kind,
            path,
            wait_s + inactivity_timeout_s,
            inactivity_timeout_s,
            page_reader.set_era,
            page_reader.add_part,
        )
        return page_reader.get_page()

    async def read_newest(
        self, topic: str, inactivity_timeout_s: float
    ) -> Page:
        """Reads the newest record of each key of a topic.

        Args:
            topic: The topic.
            inactivity_timeout_s: As for `read`.

        Raises:
            StoreEraChangedError: The store came back from a copy meanwhile.
            StoreHistoryLostError: The store has dropped the records.
            StoreUnavailableError: The store refused the call or did not
                answer.
        """
        records: list[Record] = []
        end: Position | None = None
        eras: list[Era] = []
        query = f"Topic={topic}&part=0"
        after_query = ""
        while True:
            path = f"/v1/log-newest?{query}{after_query}"
            body = await self._get(
                CallKind.NEWEST,
                path,
                inactivity_timeout_s,
                inactivity_timeout_s,
                eras.append,
            )
            if eras[-1] != eras[0]:
                raise StoreEraChangedError(eras[-1])
            fields = _decode(body)
            # The pages together are not a snapshot. A key of a later page may
            # get a newer record, beyond the end that the first page states.
            # With the first page's end as the result's end, the next read
            # begins there and includes that record.
            if end is None:
                end = make_position(eras[0], fields["EndOffset"])
            records += [
                Record(
                    make_position(eras[0], item["Offset"]),
                    item["Key"],
                    base64.b64decode(item["Data"]),
                )
                for item in fields["Entries"]
            ]
            if not fields.get("HasMore") or not fields["Entries"]:
                return Page(tuple(records), end)
            after_query = "&After=" + urllib.parse.quote(
                fields["Entries"][-1]["Key"], safe=""
            )

    async def append(
        self,
        topic: str,
        records: Sequence[tuple[str, bytes]],
        timeout_s: float,
        expected_end: Position | None = None,
    ) -> Position:
        """Appends records to a topic, either all of them or none.

        Args:
            topic: The topic.
            records: Pairs of key and value; the key is empty in topics
                without keys.
            timeout_s: Time limit for the call in seconds.
            expected_end: Position at which the topic must end for the append
                to take place; None to append in any case.

        Returns:
            The position of the first appended record.

        Raises:
            StoreConflictError: The topic does not end at `expected_end`.
            StoreEraChangedError: The store is in another era than
                `expected_end`; the records may have been appended.
            StoreUnavailableError: Nothing was appended.
            StoreAnswerLostError: The records may have been appended.
        """
        path = f"/v1/log-append?Topic={topic}&part=0"
        if expected_end is not None:
            self._check_era(expected_end, self._eras.current)
            path += f"&At={get_offset(expected_end)}"
        body = b"".join(
            encode_record(topic, key, value) for key, value in records
        )
        eras: list[Era] = []
        status, answer = await self._call(
            CallKind.APPEND, path, body, timeout_s, on_era=eras.append
        )
        (era,) = eras
        if expected_end is not None:
            self._check_era(expected_end, era)
        if status == 412:
            end_offset = _decode(answer)["EndOffset"]
            raise StoreConflictError(make_position(era, end_offset))
        if status != 200:
            raise StoreUnavailableError(f"Append: status {status}.")
        return make_position(era, _decode(answer)["Offset"])

    @staticmethod
    def _check_era(position: Position, era: Era | None) -> None:
        if era is not None and get_era(position) != era:
            raise StoreEraChangedError(era)

    async def _get(
        self,
        kind: CallKind,
        path: str,
        head_timeout_s: float,
        inactivity_timeout_s: float,
        on_era: EraListener,
        on_part: PartListener = lambda _: None,
    ) -> bytes:
        eras: list[Era] = []

        def add_era(era: Era) -> None:
            eras.append(era)
            on_era(era)

        try:
            status, body = await self._call(
                kind,
                path,
                b"",
                head_timeout_s,
                inactivity_timeout_s,
                add_era,
                on_part,
            )
        except StoreAnswerLostError as error:
            raise StoreUnavailableError(
                error.message, error.transfer
            ) from error
        if status == 410:
            first_offset = int(_decode(body).get("StartOffset", 0))
            first = make_position(eras[-1], first_offset)
            raise StoreHistoryLostError(path, first)
        if status != 200:
            raise StoreUnavailableError(f"Read: status {status}.")
        return body

    async def _call(
        self,
        kind: CallKind,
        path: str,
        body: bytes,
        timeout_s: float,
        inactivity_timeout_s: float | None = None,
        on_era: EraListener = lambda _: None,
        on_part: PartListener = lambda _: None,
    ) -> tuple[int, bytes]:
        """Makes one call to the store.

        Args:
            kind: Kind of the call.
            path: Path and query of the URL.
            body: Body of the request.
            timeout_s: Time limit in seconds for the complete call, or for the
                head of the answer where `inactivity_timeout_s` is set.
            inactivity_timeout_s: Time limit in seconds from one part of the
                answer's body to the next; None where `timeout_s` limits the
                complete call.
            on_era: Called with the era that the answer states; an error that
                it raises ends the call.
            on_part: Called with each part of the body as it arrives; with
                empty bytes in place of a part if the status is not 200.
        """
        method = b"POST" if kind is CallKind.APPEND else b"GET"
        started_s = time.monotonic()
        outcome = CallOutcome.LOST
        try:
            async with asyncio.timeout(timeout_s) as timeout:

                def apply_part(part: bytes) -> None:
                    if inactivity_timeout_s is not None:
                        now_s = asyncio.get_running_loop().time()
                        timeout.reschedule(now_s + inactivity_timeout_s)
                    on_part(part)

                status, answer = await self._exchange(
                    method, path, body, on_era, apply_part
                )
            is_ok = status == 200
            outcome = CallOutcome.ANSWERED if is_ok else CallOutcome.REFUSED
            return status, answer
        except (
            UpstreamConnectionError,
            UpstreamMessageError,
            TimeoutError,
        ) as error:
            was_sent = self._connection is not None
            self.close()
            error_type = (
                StoreAnswerLostError if was_sent else StoreUnavailableError
            )
            raise error_type(
                f"{path}: {type(error).__name__}.", self._transfer
            ) from error
        except (asyncio.CancelledError, StoreEraChangedError):
            self.close()
            raise
        finally:
            time_s = time.monotonic() - started_s
            received_bytes = self._transfer.received_bytes
            self._transfer = TransferProgress()
            self._on_call(CallResult(kind, outcome, time_s, received_bytes))

    async def _exchange(
        self,
        method: bytes,
        path: str,
        body: bytes,
        on_era: EraListener,
        on_part: PartListener,
    ) -> tuple[int, bytes]:
        if self._connection is None or not self._connection.channel.is_open:
            self.close()
            channel = await open_channel(self._address, 60.0)
            self._connection = ClientConnection(channel)
        connection = self._connection
        headers = [(b"Host", self._address.encode())]
        if method == b"POST":
            headers.append((b"Content-Length", b"%d" % len(body)))
        connection.send(method, path.encode(), headers, body)
        head: h11.Response = await connection.receive_head()
        era = _get_era(head, self._eras.current)
        if self._eras.observe(era) is EraChange.OUTDATED:
            raise UpstreamMessageError(f"Answer of the earlier era {era}.")
        on_era(era)
        answer = await self._receive_body(connection, head, on_part)
        if not connection.make_reusable():
            self.close()
        return head.status_code, answer

    async def _receive_body(
        self,
        connection: ClientConnection,
        head: h11.Response,
        on_part: PartListener,
    ) -> bytes:
        expected_bytes = _get_length(head)
        self._transfer = TransferProgress(0, expected_bytes)
        is_ok = head.status_code == 200
        on_part(b"")
        parts: list[bytes] = []
        while (part := await connection.receive_body_part()) is not None:
            on_part(part if is_ok else b"")
            parts.append(part)
            received_bytes = self._transfer.received_bytes + len(part)
            self._transfer = TransferProgress(received_bytes, expected_bytes)
            if received_bytes > _BODY_LIMIT_BYTES:
                raise UpstreamMessageError(
                    f"Body over {_BODY_LIMIT_BYTES} bytes."
                )
        return b"".join(parts)


def _get_era(head: h11.Response, current: Era | None) -> Era:
    """Returns the era that an answer states.

    An answer that states none, as of a part in front of the store, says nothing
    of it.
    """
    for name, value in head.headers:
        if name == _ERA_HEADER and value.isdigit():
            return Era(int(value))
    return Era(0) if current is None else current


def _get_length(head: h11.Response) -> int | None:
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return None


def _decode(body: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(f"Undecodable answer: {error}.") from error

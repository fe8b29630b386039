"""Client of the platform's metadata store."""

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
from lovagestage.exceptions import (
    ConnectionLostError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreHistoryLostError,
    StoreUnavailableError,
    Transfer,
    WrongMessageError,
)
from lovagestage.platform.records import (
    Page,
    PageReader,
    Record,
    encode_record,
)

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
OUTCOME_TOPIC = "keyed.status"
_BODY_LIMIT_BYTES = 8 * 1024 * 1024


class CallKind(enum.Enum):
    """Kinds of calls."""

    READ = "read"
    WAITING_READ = "waiting_read"
    NEWEST = "newest"
    APPEND = "append"


class CallOutcome(enum.Enum):
    """How a call ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """By another status than 200."""
    LOST = "lost"
    """Without a whole answer in time."""


@dataclasses.dataclass(frozen=True)
class CallEnd:
    """A call that ended.

    Attributes:
        kind: Its kind.
        outcome: How it ended.
        time_s: From its start to its end.
        received_bytes: What came of the answer's body.
    """

    kind: CallKind
    outcome: CallOutcome
    time_s: float
    received_bytes: int


CallListener = Callable[[CallEnd], None]
"""Takes each call that ended."""
PartListener = Callable[[bytes], None]
"""Takes a part of an answer's body."""


class StoreClient:
    """Calls to the store, one at a time on one connection.

    Args:
        address: `IP:PORT`.
        on_call: Told of each call that ended.
    """

    def __init__(
        self, address: str, on_call: CallListener = lambda *_: None
    ) -> None:
        self._address = address
        self._on_call = on_call
        self._connection: ClientConnection | None = None
        self._transfer = Transfer()

    def close(self) -> None:
        """Drops the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    @property
    def is_receiving(self) -> bool:
        """Whether the answer to the call under way has begun to arrive."""
        transfer = self._transfer
        return (
            transfer.expected_bytes is not None or transfer.received_bytes > 0
        )

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        silence_s: float,
        on_page: Callable[[Page], None] = lambda _: None,
    ) -> Page:
        """Reads records from an offset on, waiting up to `wait_s` for one.

        Args:
            topic: The topic.
            offset: Where to begin.
            wait_s: Time for which the store may hold the call.
            silence_s: Time without a byte after which it is given up. The
                whole may take longer: how long depends on size and link, and
                a call that is sent again begins from the start.
            on_page: Takes the records in parts while they arrive. They stay
                known where the rest of the answer is lost.

        Raises:
            StoreHistoryLostError: The records were dropped.
            StoreUnavailableError: The store refused or did not answer.
        """
        query = f"Topic={topic}&part=0&Source={offset}"
        if wait_s:
            query += f"&WaitMs={int(wait_s * 1000)}"
        kind = CallKind.WAITING_READ if wait_s else CallKind.READ
        path = f"/v1/log-read?{query}"
        pages = PageReader(topic, offset, on_page)
        await self._get(kind, path, wait_s + silence_s, silence_s, pages.take)
        return pages.get_page()

    async def read_newest(self, topic: str, silence_s: float) -> Page:
        """Reads the newest record of each key.

        Limit and failures are those of `read`.
        """
        records: list[Record] = []
        end: int | None = None
        query = f"Topic={topic}&part=0"
        after = ""
        while True:
            path = f"/v1/log-newest?{query}{after}"
            body = await self._get(CallKind.NEWEST, path, silence_s, silence_s)
            fields = _decode(body)
            # Pages are not a snapshot: a record that moves from a later page
            # to after the first page's end is read again from there.
            end = fields["EndOffset"] if end is None else end
            records += [
                Record(
                    item["Offset"],
                    item["Key"],
                    base64.b64decode(item["Data"]),
                )
                for item in fields["Entries"]
            ]
            if not fields.get("HasMore") or not fields["Entries"]:
                return Page(tuple(records), end)
            after = "&After=" + urllib.parse.quote(
                fields["Entries"][-1]["Key"], safe=""
            )

    async def append(
        self,
        topic: str,
        records: Sequence[tuple[str, bytes]],
        timeout_s: float,
        expected_end: int | None = None,
    ) -> int:
        """Appends records of key and value, all or none.

        Args:
            topic: The topic.
            records: Key, empty in topics without keys, and value.
            timeout_s: Time for the call.
            expected_end: Offset at which the topic must end.

        Returns:
            The offset of the first record.

        Raises:
            StoreConflictError: The topic ends elsewhere.
            StoreUnavailableError: Nothing was appended.
            StoreAnswerLostError: It may have been appended.
        """
        path = f"/v1/log-append?Topic={topic}&part=0"
        if expected_end is not None:
            path += f"&At={expected_end}"
        body = b"".join(
            encode_record(topic, key, value) for key, value in records
        )
        status, answer = await self._call(
            CallKind.APPEND, path, body, timeout_s
        )
        if status == 412:
            raise StoreConflictError(_decode(answer)["EndOffset"])
        if status != 200:
            raise StoreUnavailableError(f"Append: status {status}.")
        return int(_decode(answer)["Offset"])

    async def _get(
        self,
        kind: CallKind,
        path: str,
        head_s: float,
        silence_s: float,
        on_part: PartListener = lambda _: None,
    ) -> bytes:
        try:
            status, body = await self._call(
                kind, path, b"", head_s, silence_s, on_part
            )
        except StoreAnswerLostError as error:
            raise StoreUnavailableError(
                error.message, error.transfer
            ) from error
        if status == 410:
            first = int(_decode(body).get("StartOffset", 0))
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
        silence_s: float | None = None,
        on_part: PartListener = lambda _: None,
    ) -> tuple[int, bytes]:
        """Makes one call.

        Args:
            kind: Its kind.
            path: Path and query.
            body: What is sent.
            timeout_s: Time for the call, or for the head of its answer.
            silence_s: Time for each part of the body after the one before;
                None where the whole call has a time.
            on_part: Takes the body of a good answer as it arrives.
        """
        method = b"POST" if kind is CallKind.APPEND else b"GET"
        started_s = time.monotonic()
        outcome = CallOutcome.LOST
        try:
            async with asyncio.timeout(timeout_s) as limit:

                def take_part(part: bytes) -> None:
                    if silence_s is not None:
                        now_s = asyncio.get_running_loop().time()
                        limit.reschedule(now_s + silence_s)
                    on_part(part)

                status, answer = await self._exchange(
                    method, path, body, take_part
                )
            is_good = status == 200
            outcome = CallOutcome.ANSWERED if is_good else CallOutcome.REFUSED
            return status, answer
        except (ConnectionLostError, WrongMessageError, TimeoutError) as error:
            was_sent = self._connection is not None
            self.close()
            failure = (
                StoreAnswerLostError if was_sent else StoreUnavailableError
            )
            raise failure(
                f"{path}: {type(error).__name__}.", self._transfer
            ) from error
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            time_s = time.monotonic() - started_s
            received_bytes = self._transfer.received_bytes
            self._transfer = Transfer()
            self._on_call(CallEnd(kind, outcome, time_s, received_bytes))

    async def _exchange(
        self,
        method: bytes,
        path: str,
        body: bytes,
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
        self._transfer = Transfer(0, expected_bytes)
        is_good = head.status_code == 200
        on_part(b"")
        parts: list[bytes] = []
        while (part := await connection.receive_part()) is not None:
            on_part(part if is_good else b"")
            parts.append(part)
            received_bytes = self._transfer.received_bytes + len(part)
            self._transfer = Transfer(received_bytes, expected_bytes)
            if received_bytes > _BODY_LIMIT_BYTES:
                raise WrongMessageError(f"Body over {_BODY_LIMIT_BYTES} bytes.")
        return b"".join(parts)


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

"""Client of the platform's append-only log over HTTP."""

from __future__ import annotations

import base64

import aiohttp
import msgspec

from lovagestage.adapters.http_calls import (
    READ_ERRORS,
    SHORT_TIMEOUT,
    make_read_timeout,
)
from lovagestage.adapters.protocols import LogPage
from lovagestage.exceptions import (
    LogAnswerLostError,
    LogUnavailableError,
    RecordsExpiredError,
)
from lovagestage.types import Offset


class _RecordEntry(msgspec.Struct):
    offset: int
    data: str


class _PageResponse(msgspec.Struct):
    first_offset: int
    next_offset: int
    records: list[_RecordEntry]


class _AppendResponse(msgspec.Struct):
    offset: int


class _ErrorResponse(msgspec.Struct):
    first_offset: int = 0


class HttpLog:
    """Client of the platform's append-only log over HTTP.

    Args:
        session: HTTP client of the process.
        url: Base URL of the log.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")

    async def append(self, stream: str, data: bytes) -> Offset:
        """See `Log.append`."""
        try:
            async with self._session.post(
                self._get_url(stream), data=data, timeout=SHORT_TIMEOUT
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
                    msgspec.json.decode(body, type=_AppendResponse).offset
                )
        except aiohttp.ClientConnectorError as error:
            raise LogUnavailableError(f"The log is down: {error}.") from error
        except READ_ERRORS as error:
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
        timeout = make_read_timeout(wait_s)
        try:
            async with self._session.get(
                self._get_url(stream), params=query, timeout=timeout
            ) as response:
                body = await response.read()
                if response.status == 410:
                    decoded = msgspec.json.decode(body, type=_ErrorResponse)
                    raise RecordsExpiredError(stream, decoded.first_offset)
                if response.status != 200:
                    raise LogUnavailableError(
                        f"The log answered {response.status} to a read."
                    )
                return _make_page(msgspec.json.decode(body, type=_PageResponse))
        except READ_ERRORS as error:
            raise LogUnavailableError(f"The log is down: {error!r}.") from error

    def _get_url(self, stream: str) -> str:
        return f"{self._url}/v1/streams/{stream}/records"


def _make_page(decoded: _PageResponse) -> LogPage:
    return LogPage(
        Offset(decoded.first_offset),
        Offset(decoded.next_offset),
        [
            (Offset(record.offset), base64.b64decode(record.data))
            for record in decoded.records
        ],
    )

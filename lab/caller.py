"""Low-level HTTP client of a gateway that controls each byte it sends."""

from __future__ import annotations

import asyncio
import dataclasses

HOST = "ficu95.example"
"""Value of the Host header."""


@dataclasses.dataclass
class Reply:
    """An HTTP response as its caller received it.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        body: The received part of the body.
        is_complete: Whether the body was received completely.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


def make_request(
    path: str,
    method: str = "POST",
    body: bytes = b"",
    request_id: str = "a1",
    key: str | None = None,
    **extra_headers: str,
) -> bytes:
    """Encodes an HTTP request; keyword arguments become headers, `_` as `-`."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines.append(f"Attempt-Id: {request_id}")
    if key:
        lines.append(f"Authorization: Token {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    extra_headers = {"Deadline_Ms": "4000", **extra_headers}
    lines += [
        f"{name.replace('_', '-')}: {v}" for name, v in extra_headers.items()
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Reads one HTTP response.

    Raises:
        asyncio.IncompleteReadError: The connection closed before the end of
            the response head, or of a body with a Content-Length.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    status = int(status_line.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        return Reply(status, headers, *await _read_chunks(reader))
    length = int(headers.get("content-length", "0"))
    return Reply(status, headers, await reader.readexactly(length), True)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False

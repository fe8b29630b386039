"""A caller of a gateway, down to the bytes on its connection."""

from __future__ import annotations

import asyncio
import dataclasses

HOST = "ficu95.example"


@dataclasses.dataclass
class Reply:
    """An answer as its caller got it.

    Attributes:
        status: HTTP status.
        headers: Values by name in lower case.
        body: What came of the body.
        whole: Whether the body came whole.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def make_request(
    path: str,
    method: str = "POST",
    body: bytes = b"",
    request_id: str = "a1",
    key: str | None = None,
    **more: str,
) -> bytes:
    """A whole request; `more` are headers with `_` for `-`."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines.append(f"Attempt-Id: {request_id}")
    if key:
        lines.append(f"Authorization: Token {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    more = {"Deadline_Ms": "4000", **more}
    lines += [f"{name.replace('_', '-')}: {v}" for name, v in more.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Reads an answer.

    Raises:
        asyncio.IncompleteReadError: It broke off before the end of its head,
            or of a body with a length.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    status = int(first.split(" ")[1])
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

"""Answers of a soak's workers, sound and faulty ones."""

from __future__ import annotations

import asyncio
import hashlib
from typing import Any

from lab import worker as lab
from lab.endless import EndlessForm, make_endless
from lab.worker import Arrival

STRAY_ANSWER = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
STRAY_DELAY_S = 0.01
UNFRAMED_RATIO = 0.15
"""Ratio of answers with neither a length nor chunks."""


def make_body(arrival: Arrival) -> bytes:
    """Returns the response body of a worker.

    The body contains every part of the request that a gateway must forward
    unchanged: its id, method, target and the digest of its body.
    """
    digest = hashlib.sha256(arrival.body).hexdigest()
    name = f"{arrival.request_id} {arrival.method} {arrival.target}"
    return f"{name} {digest}".encode()


async def send_unframed(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Sends an answer that ends with its connection."""
    writer.write(lab.make_head(200, arrival) + make_body(arrival))
    await writer.drain()
    writer.close()


async def _answer(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    await lab.send(writer, 200, arrival, make_body(arrival))


async def _answer_twice(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    for body in (make_body(arrival), b"second"):
        await lab.send(writer, 200, arrival, body)


async def _answer_late_twice(
    arrival: Arrival, writer: asyncio.StreamWriter
) -> None:
    """Answers, after a second answer to the last request that it answered.

    The second answer is kept with the connection, where it comes in place of
    the answer that is expected.
    """
    transport: Any = writer.transport
    writer.write(getattr(transport, "second_answer", b""))
    body = make_body(arrival)
    length = str(len(body))
    answer = lab.make_head(200, arrival, Content_Length=length) + body
    transport.second_answer = answer
    writer.write(answer)
    await writer.drain()


async def _answer_and_add(
    arrival: Arrival, writer: asyncio.StreamWriter
) -> None:
    """Answers, and sends an answer that names no request a moment later."""
    await lab.send(writer, 200, arrival, make_body(arrival))
    await asyncio.sleep(STRAY_DELAY_S)
    writer.write(STRAY_ANSWER)
    await writer.drain()


async def _cut_short(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    body = make_body(arrival)
    head = lab.make_head(200, arrival, Content_Length=str(len(body) + 9))
    writer.write(head + body)
    await writer.drain()
    lab.reset_connection(writer)


async def _cut_unframed(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    writer.write(lab.make_head(200, arrival) + make_body(arrival)[:-9])
    await writer.drain()
    await asyncio.sleep(0.01)
    lab.reset_connection(writer)


SCRIPTS: dict[str, lab.Script] = {
    "fail": lab.fail,
    "refuse": lab.refuse,
    "reset": lab.reset,
    "hang": lab.hang,
    "twice": _answer_twice,
    "late": _answer_late_twice,
    "stray": _answer_and_add,
    "short": _cut_short,
    "unframed": _cut_unframed,
}
ENDLESS_SCRIPTS = {
    form.value: make_endless(form, _answer) for form in EndlessForm
}
"""Answers that never end, by the name of their form."""

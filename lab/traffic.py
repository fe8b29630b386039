"""Mixed traffic from callers that retry correctly, with recorded outcomes."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import json
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp

from lab.answers import generate_answer_tokens, join_messages
from lovagestage.decisions.sessions import HEADER_MOVED_FROM, HEADER_SESSION

RETRY_TIMEOUT_S = 3.0
"""Time limit in seconds of a request without streaming that may be retried.

The caller then closes the connection and retries at another entry.
"""
RESPONSE_TIMEOUT_S = 30.0
"""Time limit in seconds of streams, session turns and unretryable requests."""
MAX_RETRY_S = 25.0
"""Time in seconds since its start after which a request is not retried."""
HEALTH_INTERVAL_S = 0.25
"""Interval in seconds between two health checks of each entry."""
HEALTH_TIMEOUT_S = 1.0
"""Time limit in seconds of a health check."""
TURNS = 5
"""Number of requests in a session."""
TURN_PAUSE_S = 0.7
"""Pause in seconds between two requests of a session."""


class Kind(enum.Enum):
    """Kinds of requests in the traffic."""

    PLAIN = "plain"
    STREAM = "stream"
    KEYED = "keyed"
    KEYED_STREAM = "keyed_stream"
    ONCE = "once"
    """Has no idempotency key and may not run twice."""
    VERSION = "version"
    """Requests the version that will be withdrawn."""
    TURN = "turn"
    """One request of a session."""

    @property
    def is_keyed(self) -> bool:
        """Whether the request has an idempotency key."""
        return self in (Kind.KEYED, Kind.KEYED_STREAM)

    @property
    def runs_once(self) -> bool:
        """Whether the request may not run twice."""
        return self.is_keyed or self is Kind.ONCE

    @property
    def is_stream(self) -> bool:
        """Whether the answer is streamed."""
        return self in (Kind.STREAM, Kind.KEYED_STREAM)


WEIGHTS = {
    Kind.PLAIN: 45,
    Kind.STREAM: 15,
    Kind.KEYED: 15,
    Kind.KEYED_STREAM: 8,
    Kind.ONCE: 10,
    Kind.VERSION: 7,
}


@dataclasses.dataclass
class Send:
    """One HTTP request with the outcome that its caller observed.

    Attributes:
        tag: Identifies the request at the engines. Each HTTP request has its
            own tag, except that requests with one idempotency key share it.
        kind: Kind of the request.
        entry: Name of the entry that the request was sent to.
        sent_s: Unix time at which the request was sent.
        ended_s: Unix time at which the request ended.
        status: HTTP status; 0 if no response head was received.
        run: Run state of a refusal.
        code: Code of a refusal, or of the error that ended a stream.
        request_id: Request id that the answer is billed under.
        version: Model version that answered.
        tokens: Number of tokens of a complete answer; 0 for any other.
        is_wrong: Whether the answer has unexpected bytes.
        is_cut: Whether the connection broke after a part of the answer.
        has_timed_out: Whether the caller stopped waiting before the end.
        retry_after_s: Time in seconds after which a retry is suggested; None
            if the response suggests none.
    """

    tag: str
    kind: Kind
    entry: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    run: str = ""
    code: str = ""
    request_id: str = ""
    version: str = ""
    tokens: int = 0
    is_wrong: bool = False
    is_cut: bool = False
    has_timed_out: bool = False
    retry_after_s: float | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the complete answer was received."""
        return self.status == 200 and self.tokens > 0


@dataclasses.dataclass(frozen=True)
class Served:
    """A request with all its retries, to measure service interruptions.

    Attributes:
        kind: Kind of the request.
        started_s: Unix time of the first attempt.
        took_s: Time in seconds from the first attempt to the last outcome.
        is_answered: Whether the last attempt was answered completely.
        code: Error code of the last attempt if the caller gave up.
    """

    kind: Kind
    started_s: float
    took_s: float
    is_answered: bool
    code: str


class Traffic:
    """Open-loop traffic through the entries that pass their health checks.

    Args:
        rng: Random generator of kinds, arrival times and entries.
        get_urls: Returns the current URLs of the entries by name.

    Attributes:
        sends: HTTP requests that were sent.
        served: Requests that have ended, with all their retries.
        changed_sessions: Number of times that a session changed its version
            without a notice in the response.
        urls: Current URLs of the entries by name.
    """

    def __init__(
        self, rng: random.Random, get_urls: Callable[[], dict[str, str]]
    ) -> None:
        self.sends: list[Send] = []
        self.served: list[Served] = []
        self.changed_sessions = 0
        self.urls = get_urls()
        self._get_urls = get_urls
        self._rng = rng
        self._healthy: set[str] = set(self.urls)
        self._tag_count = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self, duration_s: float, rate_per_s: float) -> None:
        """Sends requests for a time and waits for the end of all of them.

        Args:
            duration_s: Time in seconds during which requests start.
            rate_per_s: Mean number of new requests per second.
        """
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector) as self._http:
            health = asyncio.create_task(self._watch_health())
            end_s = time.time() + duration_s
            kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
            due_s = time.time()
            while due_s < end_s:
                await asyncio.sleep(max(0.0, due_s - time.time()))
                (kind,) = self._rng.choices(kinds, weights)
                self._start_task(self._run_request(kind))
                if self._rng.random() < 1.0 / rate_per_s:
                    self._start_task(self._run_session())
                due_s += self._rng.expovariate(rate_per_s)
            await asyncio.gather(*self._tasks)
            health.cancel()

    def _start_task(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _watch_health(self) -> None:
        while True:
            self.urls = self._get_urls()
            for name, url in self.urls.items():
                self._start_task(self._check_health(name, url))
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _check_health(self, name: str, url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            async with self._http.get(
                f"{url}/healthz", timeout=timeout
            ) as answer:
                is_healthy = answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            is_healthy = False
        if self.urls.get(name) == url:
            (self._healthy.add if is_healthy else self._healthy.discard)(name)

    def _choose_entry(self, last_entry: str) -> str:
        names = sorted(self._healthy & set(self.urls)) or sorted(self.urls)
        others = [name for name in names if name != last_entry] or names
        return self._rng.choice(others)

    def _make_tag(self) -> str:
        self._tag_count += 1
        return f"r{self._tag_count}"

    async def _run_request(self, kind: Kind) -> None:
        started_s = time.time()
        tag, last_entry = self._make_tag(), ""
        tokens = 30 if kind.is_stream else 6
        while True:
            last_entry = self._choose_entry(last_entry)
            send = await self._send(kind, tag, last_entry, tokens)
            waited_s = time.time() - started_s
            if not _may_retry(send) or waited_s > MAX_RETRY_S:
                break
            if not kind.is_keyed:
                tag = self._make_tag()
            if send.status:
                pause_s = min(send.retry_after_s or 0.2, 1.0)
                await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
        took_s = time.time() - started_s
        self.served.append(
            Served(kind, started_s, took_s, send.is_answered, send.code)
        )

    async def _run_session(self) -> None:
        model = self._rng.choice(["vault", "large@1", "large@2"])
        token, version, last_entry = "", "", ""
        for _ in range(TURNS):
            last_entry = self._choose_entry(last_entry)
            send, new_token, moved_from = await self._send_turn(
                last_entry, model, token
            )
            if send.is_answered:
                if version and version != send.version and not moved_from:
                    self.changed_sessions += 1
                token, version = new_token or token, send.version
            await asyncio.sleep(TURN_PAUSE_S)

    async def _send_turn(
        self, entry: str, model: str, token: str
    ) -> tuple[Send, str, str]:
        headers = {HEADER_SESSION: token} if token else {}
        send = Send(self._make_tag(), Kind.TURN, entry, time.time())
        answer = await self._post(send, model, 6, headers, RESPONSE_TIMEOUT_S)
        return (
            send,
            answer.get(HEADER_SESSION, ""),
            answer.get(HEADER_MOVED_FROM, ""),
        )

    async def _send(
        self, kind: Kind, tag: str, entry: str, tokens: int
    ) -> Send:
        send = Send(tag, kind, entry, time.time())
        headers: dict[str, str] = {}
        model = "large@2" if kind is Kind.VERSION else "vault"
        if kind.is_keyed:
            headers["Idempotency-Key"] = f"key-{tag}"
        if kind.runs_once:
            headers["X-Request-Class"] = "policy-draft"
        wait_s = (
            RESPONSE_TIMEOUT_S
            if kind is Kind.ONCE or kind.is_stream
            else RETRY_TIMEOUT_S
        )
        await self._post(send, model, tokens, headers, wait_s)
        return send

    async def _post(
        self,
        send: Send,
        model: str,
        tokens: int,
        headers: dict[str, str],
        wait_s: float,
    ) -> Mapping[str, str]:
        messages = [{"role": "user", "content": f"{send.tag} why"}]
        body = {
            "model": model,
            "messages": messages,
            "max_tokens": tokens,
            "stream": send.kind.is_stream,
        }
        data = b""
        response_headers: Mapping[str, str] = {}
        url = f"{self.urls[send.entry]}/v1/chat/completions"
        headers = {**headers, "Authorization": "Bearer key-audit"}
        self.sends.append(send)
        try:
            async with (
                asyncio.timeout(wait_s),
                self._http.post(url, json=body, headers=headers) as answer,
            ):
                send.status = answer.status
                response_headers = answer.headers
                send.request_id = response_headers.get("X-Request-Id", "")
                send.version = response_headers.get("X-Model-Version", "")
                async for chunk in answer.content.iter_any():
                    data += chunk
        except TimeoutError:
            send.has_timed_out = True
        except aiohttp.ClientError:
            send.is_cut = send.status != 0
        send.ended_s = time.time()
        text = join_messages(messages)
        _check_answer(
            send, data, text, tokens, response_headers.get("Retry-After")
        )
        return response_headers


def _may_retry(send: Send) -> bool:
    if send.is_answered:
        return False
    if send.kind.runs_once and send.run == "ran":
        return False
    if send.kind is Kind.ONCE:
        return send.run == "not_run" and send.retry_after_s is not None
    if send.status in (0, 200):
        return True
    return send.retry_after_s is not None


def _check_answer(
    send: Send, data: bytes, prompt: str, tokens: int, retry_after: str | None
) -> None:
    send.retry_after_s = float(retry_after) if retry_after else None
    if send.status not in (0, 200):
        if not send.is_cut and not send.has_timed_out:
            error = json.loads(data)["error"]
            send.run, send.code = error.get("run", ""), error["code"]
        return
    if not data:
        return
    expected = generate_answer_tokens(prompt, send.version, tokens)
    if send.kind.is_stream:
        _check_stream(send, data, expected)
    elif not send.has_timed_out and not send.is_cut:
        message = json.loads(data)["choices"][0]["message"]
        send.is_wrong = message["content"] != "".join(expected)
        send.tokens = tokens


def _check_stream(send: Send, data: bytes, expected: list[str]) -> None:
    text = ""
    for line in data[: data.rfind(b"\n\n") + 1].splitlines():
        if not line.startswith(b"data: "):
            continue
        if line == b"data: [DONE]":
            send.tokens = len(expected)
            continue
        event = json.loads(line[6:])
        if "error" in event:
            send.run = event["error"].get("run", "")
            send.code = event["error"]["code"]
            continue
        for choice in event["choices"]:
            text += choice["delta"].get("content", "")
    expected_text = "".join(expected)
    send.is_wrong = (
        text != expected_text
        if send.tokens
        else not expected_text.startswith(text)
    )
    send.is_cut = not send.tokens and not send.code and not send.has_timed_out

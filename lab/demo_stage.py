"""What each row of the demo gets, and helpers that the rows share."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Mapping

import openai

from lab.clients import make_client
from lab.fleet import Fleet

MESSAGE = "Explain the failed snapshot of Tuesday night"
POLL_S = 0.1


@dataclasses.dataclass(frozen=True)
class Stage:
    """A fleet and whose requests are shown on it.

    Attributes:
        fleet: The fleet.
        workspace: The workspace that asks.
        once_class: A request class that may not be repeated.
    """

    fleet: Fleet
    workspace: str
    once_class: str

    @property
    def route_url(self) -> str:
        """The plain service's URL at the first entry."""
        return f"{self.fleet.entries[0].url}/{self.fleet.shape.pool}"

    def make_client(self, entry: int = 0) -> openai.OpenAI:
        """A client of the workspace."""
        return make_client(self.fleet, self.workspace, entry)


@dataclasses.dataclass(frozen=True)
class Row:
    """One line of the table; `check` tells what was shown."""

    name: str
    check: Callable[[Stage], str]


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer with what its headers say.

    Attributes:
        text: The answer.
        version: Version that answered.
        session: Token for the next request.
        request_id: Request that it is billed under.
    """

    text: str
    version: str
    session: str
    request_id: str


def ask(
    stage: Stage,
    model: str,
    entry: int = 0,
    tokens: int = 8,
    headers: Mapping[str, str] | None = None,
) -> Reply:
    """Sends a plain request.

    Raises:
        openai.OpenAIError: It was refused.
    """
    raw = stage.make_client(entry).chat.completions.with_raw_response.create(
        model=model,
        messages=[{"role": "user", "content": MESSAGE}],
        max_tokens=tokens,
        extra_headers=headers,
    )
    return Reply(
        raw.parse().choices[0].message.content or "",
        raw.headers["X-Model-Version"],
        raw.headers["X-Session"],
        raw.headers["X-Request-Id"],
    )


def read_stream(stage: Stage, model: str, entry: int, tokens: int) -> int:
    """Reads a stream to its end; returns how many words it had."""
    stream = stage.make_client(entry).chat.completions.create(
        model=model,
        messages=[{"role": "user", "content": MESSAGE}],
        max_tokens=tokens,
        stream=True,
    )
    parts = [c.choices[0].delta.content or "" for c in stream if c.choices]
    return len("".join(parts).split())


def wait_until(is_so: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Waits until something is so.

    Raises:
        AssertionError: It was not in time.
    """
    end_s = time.monotonic() + timeout_s
    while not is_so():
        assert time.monotonic() < end_s, f"{what} took over {timeout_s} s"
        time.sleep(POLL_S)

"""Environment of the demo rows and the helper functions that they share."""

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
class DemoEnvironment:
    """A fleet with the workspace and request class that the demo uses on it.

    Attributes:
        fleet: The running fleet.
        workspace: Workspace that sends the requests.
        once_class: Request class whose requests may not be retried.
    """

    fleet: Fleet
    workspace: str
    once_class: str

    @property
    def route_url(self) -> str:
        """URL of the plain service's route at the first entry."""
        return f"{self.fleet.entries[0].url}/{self.fleet.shape.pool}"

    def make_client(self, entry: int = 0) -> openai.OpenAI:
        """Returns an OpenAI client of the workspace for the given entry."""
        return make_client(self.fleet, self.workspace, entry)


@dataclasses.dataclass(frozen=True)
class Row:
    """One line of the demo's table.

    Attributes:
        name: Name in the table.
        check: Runs the check and returns a summary of what it showed.
    """

    name: str
    check: Callable[[DemoEnvironment], str]


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer with the values of its response headers.

    Attributes:
        text: Text of the answer.
        version: Model version that answered.
        session: Session token for the next request.
        request_id: Request id that the answer is billed under.
    """

    text: str
    version: str
    session: str
    request_id: str


def ask(
    environment: DemoEnvironment,
    model: str,
    entry: int = 0,
    tokens: int = 8,
    headers: Mapping[str, str] | None = None,
) -> Reply:
    """Sends a chat request without streaming.

    Raises:
        openai.OpenAIError: The request failed or was refused.
    """
    raw = environment.make_client(
        entry
    ).chat.completions.with_raw_response.create(
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


def read_stream(
    environment: DemoEnvironment, model: str, entry: int, tokens: int
) -> int:
    """Reads a streamed answer to its end and returns its number of words."""
    stream = environment.make_client(entry).chat.completions.create(
        model=model,
        messages=[{"role": "user", "content": MESSAGE}],
        max_tokens=tokens,
        stream=True,
    )
    parts = [c.choices[0].delta.content or "" for c in stream if c.choices]
    return len("".join(parts).split())


def wait_until(
    condition: Callable[[], bool], timeout_s: float, description: str
) -> None:
    """Polls a condition until it is true.

    Args:
        condition: Returns whether to stop waiting.
        timeout_s: Longest time to wait, in seconds.
        description: Description of the awaited event for the error message.

    Raises:
        AssertionError: The condition was not true in time.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, (
            f"{description} took over {timeout_s} s"
        )
        time.sleep(POLL_S)

"""Sends requests to lovagestage with the unmodified OpenAI client.

Start a fleet with `make up`. Then run this script with the URLs of two entries,
the API key of a workspace and the service name, all of which `make up` prints.
A model or a model version can be given instead of the service:

    python examples/client.py http://127.0.0.1:PORT http://127.0.0.1:PORT \
        key-audit vault
"""

from __future__ import annotations

import argparse
import uuid

import openai

MESSAGES: list[openai.types.chat.ChatCompletionMessageParam] = [
    {"role": "user", "content": "Why did last night's snapshot fail?"}
]


def ask_plain(client: openai.OpenAI, service: str) -> None:
    """Requests one answer; the service selects the model version."""
    answer = client.chat.completions.create(model=service, messages=MESSAGES)
    print(f"plain: {answer.choices[0].message.content}")


def ask_streamed(client: openai.OpenAI, service: str) -> None:
    """Requests a streamed answer and reads it while it is generated."""
    stream = client.chat.completions.create(
        model=service, messages=MESSAGES, stream=True
    )
    parts = [c.choices[0].delta.content or "" for c in stream if c.choices]
    print(f"stream: {len(parts)} chunks, {''.join(parts)}")


def ask_in_session(
    first: openai.OpenAI, second: openai.OpenAI, service: str
) -> None:
    """Shows that a session keeps its model version through all entries."""
    versions: list[str] = []
    headers: dict[str, str] = {}
    for client in (first, second, first):
        raw = client.chat.completions.with_raw_response.create(
            model=service, messages=MESSAGES, extra_headers=headers
        )
        versions.append(raw.headers["X-Model-Version"])
        headers = {"X-Session": raw.headers["X-Session"]}
    print(f"session: {' '.join(versions)}")


def ask_with_key(
    first: openai.OpenAI, second: openai.OpenAI, service: str
) -> None:
    """Shows that a request repeated with its key gets the same answer."""
    headers = {"Idempotency-Key": str(uuid.uuid4())}
    ids = [
        client.chat.completions.with_raw_response.create(
            model=service, messages=MESSAGES, extra_headers=headers
        ).headers["X-Request-Id"]
        for client in (first, second)
    ]
    print(f"key: {' '.join(ids)}")


def main() -> None:
    """Sends each of the four types of requests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entries", nargs=2, metavar="URL")
    parser.add_argument("api_key")
    parser.add_argument("service")
    options = parser.parse_args()
    first, second = (
        openai.OpenAI(base_url=f"{url}/v1", api_key=options.api_key)
        for url in options.entries
    )
    ask_plain(first, options.service)
    ask_streamed(first, options.service)
    ask_in_session(first, second, options.service)
    ask_with_key(first, second, options.service)


if __name__ == "__main__":
    main()

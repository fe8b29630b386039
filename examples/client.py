"""Asks lovagestage with the unmodified OpenAI client.

Start a fleet with `make up`, then run this with two of its entries, the key
of a workspace and the service that it prints, or a model or a version:

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
    """One answer, on the version that the service chooses."""
    answer = client.chat.completions.create(model=service, messages=MESSAGES)
    print(f"plain: {answer.choices[0].message.content}")


def ask_streamed(client: openai.OpenAI, service: str) -> None:
    """An answer that is read while it is written."""
    stream = client.chat.completions.create(
        model=service, messages=MESSAGES, stream=True
    )
    parts = [c.choices[0].delta.content or "" for c in stream if c.choices]
    print(f"stream: {len(parts)} chunks, {''.join(parts)}")


def ask_in_session(
    first: openai.OpenAI, second: openai.OpenAI, service: str
) -> None:
    """A conversation stays on its version, through whichever entry."""
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
    """A request that is sent again with its key gets the one answer."""
    headers = {"Idempotency-Key": str(uuid.uuid4())}
    ids = [
        client.chat.completions.with_raw_response.create(
            model=service, messages=MESSAGES, extra_headers=headers
        ).headers["X-Request-Id"]
        for client in (first, second)
    ]
    print(f"key: {' '.join(ids)}")


def main() -> None:
    """Asks in four ways."""
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

"""Text that the simulated engines generate, and its encoding in HTTP bodies."""

from __future__ import annotations

import functools
import hashlib
import json
from typing import Any

CHARS_PER_TOKEN = 4
"""Number of prompt characters that count as one token."""
GARBAGE_TOKEN = "###"
"""Token that a faulty version repeats; the rater scores it 0."""
PREFIX_CHARS = 256
"""Number of leading characters that identify a prompt's prefix."""
VOCABULARY = 1000

_LCG_MULTIPLIER = 6364136223846793005
_LCG_INCREMENT = 1442695040888963407
_LCG_MASK = (1 << 64) - 1


def join_messages(messages: list[dict[str, Any]]) -> str:
    """Joins all messages of a conversation into one prompt."""
    return "".join(
        f"{message.get('role', '')}: {message.get('content', '')}\n"
        for message in messages
    )


def count_tokens(prompt: str) -> int:
    """Returns the number of tokens of a prompt, derived from its length."""
    return max(1, len(prompt) // CHARS_PER_TOKEN)


def prefix_hash(model: str, prompt: str) -> str:
    """Hashes a prompt's prefix and a model version into a cache key."""
    text = f"{model}\n{prompt[:PREFIX_CHARS]}"
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def generate_answer_tokens(prompt: str, model: str, count: int) -> list[str]:
    """Generates the deterministic answer of a model version to a prompt.

    Args:
        prompt: Text of the complete conversation.
        model: `NAME@VERSION`.
        count: Number of tokens to generate.
    """
    seed = hashlib.blake2b(f"{model}\n{prompt}".encode(), digest_size=8)
    state = int.from_bytes(seed.digest(), "big")
    tokens: list[str] = []
    for index in range(count):
        state = (state * _LCG_MULTIPLIER + _LCG_INCREMENT) & _LCG_MASK
        separator = " " if index else ""
        tokens.append(f"{separator}w{(state >> 33) % VOCABULARY}")
    return tokens


def garbage_tokens(count: int) -> list[str]:
    """Generates the tokens of a faulty model version."""
    return [f"{' ' if i else ''}{GARBAGE_TOKEN}" for i in range(count)]


class EventEncoder:
    """Encodes an answer as server-sent events; event N always has equal bytes.

    The events are the role, one event for each token, the finish reason, the
    usage if the request asked for it, and `[DONE]`.

    Attributes:
        total: Number of events.
    """

    def __init__(
        self,
        *,
        request_id: str,
        model: str,
        created_s: int,
        tokens: list[str],
        finish_reason: str,
        usage: dict[str, int],
        include_usage: bool,
    ) -> None:
        self._tokens = tokens
        self._finish_reason = finish_reason
        self._usage = usage
        self._include_usage = include_usage
        head = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion.chunk",
            "created": created_s,
            "model": model,
        }
        self._response_head = head | {"object": "chat.completion"}
        self._head = json.dumps(head, separators=(",", ":"))[:-1]
        self._tail = ',"usage":null}\n\n' if include_usage else "}\n\n"
        self.total = len(tokens) + (4 if include_usage else 3)

    def encode_events(self, start: int, end: int) -> bytes:
        """Encodes the events from `start` up to, but not including, `end`."""
        return "".join(
            f"id: {seq}\ndata: {self._get_event_data(seq)}"
            for seq in range(start, end)
        ).encode()

    def make_response_body(self) -> dict[str, Any]:
        """Returns the answer as the body of a non-streamed response."""
        message = {"role": "assistant", "content": "".join(self._tokens)}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": self._finish_reason,
        }
        return {
            **self._response_head,
            "choices": [choice],
            "usage": self._usage,
        }

    def _get_event_data(self, seq: int) -> str:
        count = len(self._tokens)
        if seq == 0:
            return self._format_chunk(
                '{"role":"assistant","content":""}', "null"
            )
        if seq <= count:
            return self._format_chunk(
                f'{{"content":"{self._tokens[seq - 1]}"}}', "null"
            )
        if seq == count + 1:
            return self._format_chunk("{}", f'"{self._finish_reason}"')
        if seq == count + 2 and self._include_usage:
            return self._usage_chunk
        return "[DONE]\n\n"

    def _format_chunk(self, delta: str, finish_reason: str) -> str:
        return (
            f'{self._head},"choices":[{{"index":0,"delta":{delta},'
            f'"finish_reason":{finish_reason}}}]{self._tail}'
        )

    @functools.cached_property
    def _usage_chunk(self) -> str:
        usage = json.dumps(self._usage, separators=(",", ":"))
        return f'{self._head},"choices":[],"usage":{usage}}}\n\n'

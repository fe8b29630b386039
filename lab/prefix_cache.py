"""Prefix cache of a simulated model engine and the events that it reports."""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from typing import Any

from lab.answers import CHARS_PER_TOKEN, prefix_hash

MAX_EVENTS = 10_000
"""Number of retained events."""
MAX_CACHED_CHARS = 65_536
"""Number of characters of a prompt that are cached."""
OMISSION_CYCLE = 100
"""Number of successive events of which a fixed share is omitted."""


def get_common_length(left: str, right: str) -> int:
    """Returns the length of the longest common prefix, by binary search."""
    low, high = 0, min(len(left), len(right))
    while low < high:
        middle = (low + high + 1) // 2
        if left[:middle] == right[:middle]:
            low = middle
        else:
            high = middle - 1
    return low


class PrefixCache:
    """Bounded LRU cache of prompts by the hash of their prefix.

    Only the latest prompt with a given prefix is cached. A hit saves the
    prefill of the tokens that the new prompt has in common with it.

    Args:
        capacity: Maximum number of cached prompts.
        lag_ms: Delay in milliseconds until an event is reported.
        gap_ratio: Share of the events that are omitted from reports.

    Attributes:
        hits: Number of prompts with a cached prefix.
        misses: Number of prompts without a cached prefix.
    """

    def __init__(self, capacity: int, lag_ms: float, gap_ratio: float) -> None:
        self._capacity = capacity
        self._lag_ms = lag_ms
        self._gap_ratio = gap_ratio
        self._prompts: OrderedDict[str, str] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(
            maxlen=MAX_EVENTS
        )
        self._next_seq = 0
        self.hits = 0
        self.misses = 0

    def use(self, model: str, prompt: str) -> int:
        """Stores a prompt and returns how many of its tokens were cached."""
        name = prefix_hash(model, prompt)
        cached = self._prompts.get(name)
        self.store(name, prompt)
        if cached is None:
            self.misses += 1
            return 0
        self.hits += 1
        return (
            get_common_length(cached, prompt[:MAX_CACHED_CHARS])
            // CHARS_PER_TOKEN
        )

    def store(self, name: str, prompt: str) -> None:
        """Stores a prompt and evicts the least recently used when full."""
        if name not in self._prompts:
            self._record_event("stored", name)
        self._prompts[name] = prompt[:MAX_CACHED_CHARS]
        self._prompts.move_to_end(name)
        while len(self._prompts) > self._capacity:
            evicted, _ = self._prompts.popitem(last=False)
            self._record_event("evicted", evicted)

    def events(self, start: int) -> dict[str, Any]:
        """Returns the events from number `start` whose delay has passed."""
        limit_s = time.monotonic() - self._lag_ms / 1000
        due = [event for at_s, event in self._events if at_s <= limit_s]
        requested = [event for event in due if event["seq"] >= start]
        end = due[-1]["seq"] + 1 if due else 0
        return {
            "next": max(start, end),
            "events": [
                event for event in requested if not self._is_omitted(event)
            ],
        }

    def _is_omitted(self, event: dict[str, Any]) -> bool:
        # The last events of each cycle are omitted, so every run omits events
        # with the same numbers.
        position: int = event["seq"] % OMISSION_CYCLE
        return position >= OMISSION_CYCLE * (1 - self._gap_ratio)

    def _record_event(self, kind: str, name: str) -> None:
        event = {"seq": self._next_seq, "kind": kind, "prefix_hash": name}
        self._next_seq += 1
        self._events.append((time.monotonic(), event))

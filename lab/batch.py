"""Simulation of a model engine's continuous batching: timing, no inference."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections import deque
from collections.abc import Callable

import msgspec

from lab.answers import EventEncoder, count_tokens
from lab.prefix_cache import PrefixCache

# Factors on the times of a prefill and of a decoded token, by engine role.
ROLE_FACTORS: dict[str, tuple[float, float]] = {
    "both": (1.0, 1.0),
    "prefill": (0.5, 2.0),
    "decode": (2.0, 0.5),
}
INTERVAL_WEIGHT = 0.2
"""Weight of the latest step in the moving average of the token interval."""


class Timing(msgspec.Struct, kw_only=True):
    """Batch size, KV cache capacity and durations of prefill and decoding.

    Attributes:
        max_batch: Maximum number of running sequences.
        base_ttft_ms: Time to the first token, excluding the prefill of prompt
            tokens.
        prefill_ms_per_token: Prefill time in milliseconds of a prompt token
            that is not cached.
        token_ms: Duration of a decode step, in milliseconds.
        token_ms_per_running: Milliseconds added to a decode step per running
            sequence.
        kv_capacity_tokens: Capacity of the KV cache in tokens.
    """

    max_batch: int = 32
    base_ttft_ms: float = 20.0
    prefill_ms_per_token: float = 0.05
    token_ms: float = 10.0
    token_ms_per_running: float = 0.15
    kv_capacity_tokens: int = 100_000


class Sequence:
    """One request in the engine, with the tokens of its answer.

    Args:
        request_id: Id of the request.
        model: Model version as `NAME@VERSION`.
        prompt: Text of the complete conversation.
        tokens: Tokens of the answer, which the batch releases one by one.
        encoder: Encoder of the answer's events.
        priority: Queue priority; a lower number is admitted earlier.

    Attributes:
        produced: Number of tokens generated so far.
        ready_at_s: Monotonic time at which the prefill ends.
        progress: Wakes the readers when a token is generated.
    """

    def __init__(
        self,
        *,
        request_id: str,
        model: str,
        prompt: str,
        tokens: list[str],
        encoder: EventEncoder,
        priority: int,
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.prompt = prompt
        self.prompt_tokens = count_tokens(prompt)
        self.tokens = tokens
        self.encoder = encoder
        self.priority = priority
        self.produced = 0
        self.ready_at_s = 0.0
        self.cancelled = False
        self.progress = asyncio.Event()

    @property
    def done(self) -> bool:
        """Whether all tokens have been generated."""
        return self.produced >= len(self.tokens)

    @property
    def closed(self) -> bool:
        """Whether the sequence will produce no further event."""
        return self.cancelled or self.done

    @property
    def available(self) -> int:
        """Number of server-sent events that can be sent so far."""
        if self.done:
            return self.encoder.total
        return self.produced + 1 if self.produced else 0

    def notify_readers(self) -> None:
        """Wakes all tasks that wait for progress of the sequence."""
        self.progress.set()
        self.progress.clear()


class Batch:
    """Running sequences, queued sequences and the loop that decodes tokens.

    Args:
        timing: Batch size and durations.
        cache: Prefix cache, which shortens prefills.
        on_admit: Called when a sequence starts to run.
        on_token: Called for each generated token.
        slow_factor: Returns the factor that all durations are multiplied by.

    Attributes:
        role: Key of `ROLE_FACTORS`.
        token_interval_ms: Moving average of the time between two steps.
        prefilled: Ids of requests whose KV cache was imported; their next
            admission needs no prefill.
    """

    def __init__(
        self,
        timing: Timing,
        cache: PrefixCache,
        on_admit: Callable[[Sequence], None],
        on_token: Callable[[Sequence], None],
        slow_factor: Callable[[], float],
    ) -> None:
        self.timing = timing
        self.role = "both"
        self.token_interval_ms = timing.token_ms
        self.prefilled: set[str] = set()
        self._cache = cache
        self._on_admit = on_admit
        self._on_token = on_token
        self._slow_factor = slow_factor
        self._queue: list[tuple[int, int, Sequence]] = []
        self._arrivals = 0
        self._running: list[Sequence] = []
        self._work = asyncio.Event()

    @property
    def running(self) -> int:
        """Number of running sequences."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of queued sequences that were not cancelled."""
        return sum(not entry[2].cancelled for entry in self._queue)

    @property
    def kv_used_ratio(self) -> float:
        """Share of the KV cache that the running sequences occupy."""
        used = sum(s.prompt_tokens + s.produced for s in self._running)
        return min(1.0, used / self.timing.kv_capacity_tokens)

    def submit(self, sequence: Sequence) -> None:
        """Queues a sequence by priority (lowest number first), then arrival."""
        entry = (sequence.priority, self._arrivals, sequence)
        self._arrivals += 1
        heapq.heappush(self._queue, entry)
        self._admit()
        self._work.set()

    def cancel(self, sequence: Sequence) -> None:
        """Cancels a sequence, removes it and wakes its readers immediately."""
        sequence.cancelled = True
        if sequence in self._running:
            self._running.remove(sequence)
        sequence.notify_readers()
        self._admit()

    async def run(self) -> None:
        """Runs decode steps without end: one token per step and sequence.

        A sequence gets no token before its prefill has ended.
        """
        last_s = time.monotonic()
        while True:
            if not self._running:
                self._work.clear()
                await self._work.wait()
                last_s = time.monotonic()
            due_s = self._get_due_s(last_s)
            await asyncio.sleep(due_s - time.monotonic())
            now_s = time.monotonic()
            self._update_token_interval((now_s - last_s) * 1000)
            # After a step that was late by over one step time, the schedule
            # restarts from now: no burst of steps catches up.
            last_s = due_s if now_s - due_s < due_s - last_s else now_s
            self._step(now_s)

    def _get_due_s(self, last_s: float) -> float:
        step_s = self._get_step_ms() / 1000
        first_ready_s = min((s.ready_at_s for s in self._running), default=0.0)
        return max(last_s + step_s, first_ready_s)

    def _get_step_ms(self) -> float:
        timing = self.timing
        step_ms = timing.token_ms + timing.token_ms_per_running * self.running
        return step_ms * ROLE_FACTORS[self.role][1] * self._slow_factor()

    def _update_token_interval(self, interval_ms: float) -> None:
        change_ms = interval_ms - self.token_interval_ms
        self.token_interval_ms += INTERVAL_WEIGHT * change_ms

    def _step(self, now_s: float) -> None:
        unfinished: list[Sequence] = []
        for sequence in self._running:
            if sequence.ready_at_s <= now_s:
                sequence.produced += 1
                self._on_token(sequence)
                sequence.notify_readers()
            if not sequence.done:
                unfinished.append(sequence)
        self._running = unfinished
        self._admit()

    def _admit(self) -> None:
        while self._queue and self.running < self.timing.max_batch:
            sequence = heapq.heappop(self._queue)[2]
            if sequence.cancelled:
                continue
            ttft_s = self._get_prefill_ms(sequence) / 1000
            sequence.ready_at_s = time.monotonic() + ttft_s
            self._running.append(sequence)
            self._on_admit(sequence)

    def _get_prefill_ms(self, sequence: Sequence) -> float:
        cached = self._cache.use(sequence.model, sequence.prompt)
        uncached_tokens = max(0, sequence.prompt_tokens - cached)
        if sequence.request_id in self.prefilled:
            self.prefilled.discard(sequence.request_id)
            uncached_tokens = 0
        timing = self.timing
        prefill_ms = timing.prefill_ms_per_token * uncached_tokens
        factor = ROLE_FACTORS[self.role][0] * self._slow_factor()
        return (timing.base_ttft_ms + prefill_ms) * factor


class LoadHistory:
    """Samples of an engine's load, so that it can be reported with a delay.

    Args:
        batch: Batch whose load is sampled.
        interval_s: Interval in seconds between two samples.
        max_samples: Number of retained samples.
    """

    def __init__(
        self, batch: Batch, interval_s: float, max_samples: int
    ) -> None:
        self._batch = batch
        self._interval_s = interval_s
        self._samples: deque[dict[str, float]] = deque(maxlen=max_samples)
        self._samples.append(self._take_sample())

    async def run(self) -> None:
        """Samples the load periodically, without end."""
        while True:
            await asyncio.sleep(self._interval_s)
            self._samples.append(self._take_sample())

    def get_load(self, lag_ms: float) -> dict[str, float]:
        """Returns the load `lag_ms` milliseconds ago, or the oldest sample."""
        if lag_ms <= 0:
            return self._take_sample()
        limit_ms = time.time() * 1000 - lag_ms
        for sample in reversed(self._samples):
            if sample["at_ms"] <= limit_ms:
                return sample
        return self._samples[0]

    def _take_sample(self) -> dict[str, float]:
        return {
            "at_ms": time.time() * 1000,
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "max_batch": self._batch.timing.max_batch,
            "kv_used_ratio": self._batch.kv_used_ratio,
            "token_interval_ms": self._batch.token_interval_ms,
        }

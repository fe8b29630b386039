"""Model engine: an OpenAI-compatible HTTP API over a simulated batch."""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import os
import pathlib
import time
from collections import Counter, deque
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from aiohttp import web

from lab.answers import prefix_hash
from lab.batch import Batch, LoadHistory, Sequence, Timing
from lab.chat import WrongRequestError, read_sequence, send_events
from lab.faults import Faults, error, read_object
from lab.models import Models, Order
from lab.prefix_cache import PrefixCache
from lab.recorded_runs import RecordedRun, append_run
from lab.server import add_server_arguments, hang, make_app, run_app

MAX_RETAINED_STREAMS = 8192
"""Maximum number of ended streams that are retained for a resume."""
LOAD_SAMPLE_S = 0.02
"""Interval in seconds between two load samples."""
LOAD_SAMPLES = 1500
"""Number of retained load samples, which limits the load lag to 30 s."""
EVICTION_INTERVAL_S = 1.0
"""Interval in seconds between two evictions of ended streams."""


class EngineFaults(Faults):
    """Injectable faults of the engine; versions are given as `NAME@VERSION`."""

    # Exits at the first token of a prompt that contains this text.
    crash_on: str | None = None
    # Stops sending after this number of tokens; the connection stays open.
    silent_after_tokens: int | None = None
    # Answers 503 to all requests, which do not run.
    outage: bool = False
    # Answers 500 to requests for this version.
    refuse_model: str | None = None
    # Answers requests for this version with garbage.
    bad_version: str | None = None
    # Multiplies all prefill and step times.
    slow_factor: float = 1.0
    # Orders to load a version never finish.
    hang_load: bool = False
    # Replaces the load lag that the process was started with.
    lag_ms: float | None = None


class EngineOptions(msgspec.Struct, kw_only=True):
    """Options that an engine is started with.

    Attributes:
        models: Versions that are loaded at the start, as `NAME@VERSION`.
        timing: Batch size and durations of the simulated batch.
        prices: Price of a token, by version.
        weights_url: URL of the weight store; None loads without a transfer.
        load_ms: Time in milliseconds to load a version after its transfer.
        checks_fencing: Whether orders with a stale fencing number are refused.
        load_lag_ms: Delay in milliseconds of the reported load.
        cache_prefixes: Capacity of the prefix cache in prompts.
        cache_lag_ms: Delay in milliseconds of the reported cache events.
        cache_gap_ratio: Share of the cache events that are omitted.
        keep_streams_s: Time in seconds for which an ended stream can be
            resumed.
        runs_file: File to which each run is appended as a line, so that the
            records survive the process; none if empty.
    """

    models: list[str]
    timing: Timing = msgspec.field(default_factory=Timing)
    prices: dict[str, float] = msgspec.field(default_factory=dict)
    weights_url: str | None = None
    load_ms: float = 500.0
    checks_fencing: bool = True
    load_lag_ms: float = 100.0
    cache_prefixes: int = 512
    cache_lag_ms: float = 200.0
    cache_gap_ratio: float = 0.05
    keep_streams_s: float = 60.0
    runs_file: str = ""


class Engine:
    """One simulated engine with its HTTP handlers."""

    def __init__(self, options: EngineOptions) -> None:
        self.faults = EngineFaults()
        self._options = options
        self._cache = PrefixCache(
            options.cache_prefixes,
            options.cache_lag_ms,
            options.cache_gap_ratio,
        )
        self.batch = Batch(
            options.timing,
            self._cache,
            on_admit=self._count_run,
            on_token=self._count_token,
            slow_factor=lambda: self.faults.slow_factor,
        )
        self.models = Models(
            self.batch,
            options.models,
            weights_url=options.weights_url,
            load_ms=options.load_ms,
            checks_fencing=options.checks_fencing,
            is_load_hung=lambda: self.faults.hang_load,
        )
        self._history = LoadHistory(self.batch, LOAD_SAMPLE_S, LOAD_SAMPLES)
        self._streams: dict[str, Sequence] = {}
        self._ended: deque[tuple[float, Sequence]] = deque()
        self._runs: Counter[str] = Counter()
        self._tokens: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._cancels = 0
        self._resumes = 0

    def app(self) -> web.Application:
        """Creates the web application that serves this engine."""
        app = make_app(self.faults, self.stats)
        router = app.router
        router.add_post("/v1/chat/completions", self._handle_chat)
        router.add_get("/v1/streams/{request_id}", self._handle_resume)
        router.add_delete("/v1/streams/{request_id}", self._handle_cancel)
        router.add_get("/v1/models", self._handle_models)
        router.add_get("/load", self._handle_load)
        router.add_get("/cache_events", self._handle_cache_events)
        router.add_post("/kv/export", self._handle_export)
        router.add_post("/kv/import", self._handle_import)
        router.add_post("/orders", self._handle_order)
        app.cleanup_ctx.append(self._run_loops)
        return app

    def stats(self) -> dict[str, Any]:
        """Returns the engine's counters, role and orders for `/_stats`."""
        prices = self._options.prices
        return {
            "runs": self._runs,
            "tokens": self._tokens.total(),
            "tokens_by_model": self._tokens,
            "cost": sum(
                count * prices.get(model, 0.0)
                for model, count in self._tokens.items()
            ),
            "refused_by_model": self._refused,
            "cancels": self._cancels,
            "resumes": self._resumes,
            "cache_hits": self._cache.hits,
            "cache_misses": self._cache.misses,
            "role": self.batch.role,
            "orders": self.models.orders,
        }

    async def _run_loops(self, _app: web.Application) -> AsyncIterator[None]:
        loops = (
            self.batch.run(),
            self._history.run(),
            self._evict_ended_streams(),
        )
        tasks = [asyncio.create_task(loop) for loop in loops]
        yield
        for task in tasks:
            task.cancel()
        await self.models.close()

    async def _evict_ended_streams(self) -> None:
        """Evicts streams that ended over `keep_streams_s` ago, or too many."""
        while True:
            await asyncio.sleep(EVICTION_INTERVAL_S)
            limit_s = time.monotonic() - self._options.keep_streams_s
            while self._ended and (
                self._ended[0][0] < limit_s
                or len(self._ended) > MAX_RETAINED_STREAMS
            ):
                sequence = self._ended.popleft()[1]
                if self._streams.get(sequence.request_id) is sequence:
                    del self._streams[sequence.request_id]

    def _count_run(self, sequence: Sequence) -> None:
        self._runs[sequence.request_id] += 1
        if self._options.runs_file:
            append_run(
                pathlib.Path(self._options.runs_file),
                RecordedRun(
                    time.time(),
                    sequence.request_id,
                    sequence.model,
                    sequence.prompt,
                ),
            )

    def _count_token(self, sequence: Sequence) -> None:
        crash_on = self.faults.crash_on
        if crash_on and crash_on in sequence.prompt:
            os._exit(1)
        self._tokens[sequence.model] += 1
        if sequence.done:
            self._ended.append((time.monotonic(), sequence))

    async def _handle_chat(self, request: web.Request) -> web.StreamResponse:
        body = await read_object(request)
        if self.faults.outage:
            return error(503, "outage")
        model = body.get("model")
        if not isinstance(model, str) or model not in self.models.loaded:
            return error(404, "model_not_loaded")
        if model == self.faults.refuse_model:
            self._refused[model] += 1
            return error(500, "internal")
        try:
            sequence = read_sequence(
                request.headers, body, garbage=model == self.faults.bad_version
            )
        except WrongRequestError as wrong:
            return error(400, "invalid_request_error", detail=str(wrong))
        self._streams[sequence.request_id] = sequence
        self.batch.submit(sequence)
        silent_after = self.faults.silent_after_tokens
        if body.get("stream"):
            return await send_events(request, sequence, 0, silent_after)
        while not sequence.closed:
            await sequence.progress.wait()
        if silent_after is not None and sequence.produced > silent_after:
            await hang(request)
        if sequence.cancelled:
            return error(409, "cancelled")
        return web.json_response(sequence.encoder.make_response_body())

    async def _handle_resume(self, request: web.Request) -> web.StreamResponse:
        sequence = self._streams.get(request.match_info["request_id"])
        if sequence is None:
            return error(404, "unknown_stream")
        start = request.query.get("from_seq", "0")
        if not start.isdecimal():
            return error(400, "wrong_query")
        self._resumes += 1
        return await send_events(request, sequence, int(start), None)

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        sequence = self._streams.pop(request.match_info["request_id"], None)
        if sequence is None:
            return error(404, "unknown_stream")
        if not sequence.done:
            self._cancels += 1
            self.batch.cancel(sequence)
        return web.json_response({"cancelled": sequence.cancelled})

    async def _handle_models(self, _request: web.Request) -> web.Response:
        return web.json_response(self.models.listing())

    async def _handle_load(self, _request: web.Request) -> web.Response:
        lag_ms = self.faults.lag_ms
        if lag_ms is None:
            lag_ms = self._options.load_lag_ms
        return web.json_response(self._history.get_load(lag_ms))

    async def _handle_cache_events(self, request: web.Request) -> web.Response:
        start = request.query.get("from", "0")
        if not start.isdecimal():
            return error(400, "wrong_query")
        return web.json_response(self._cache.events(int(start)))

    async def _handle_export(self, request: web.Request) -> web.Response:
        request_id = str((await read_object(request)).get("request_id"))
        sequence = self._streams.get(request_id)
        if sequence is None or not sequence.produced:
            return error(404, "unknown_stream")
        content = {"model": sequence.model, "prompt": sequence.prompt}
        blob = base64.b64encode(json.dumps(content).encode()).decode()
        return web.json_response({"request_id": request_id, "blob": blob})

    async def _handle_import(self, request: web.Request) -> web.Response:
        body = await read_object(request)
        try:
            content = json.loads(base64.b64decode(body["blob"], validate=True))
            name = prefix_hash(content["model"], content["prompt"])
            request_id = str(body["request_id"])
        except (KeyError, TypeError, ValueError):
            return error(400, "wrong_blob")
        self._cache.store(name, content["prompt"])
        self.batch.prefilled.add(request_id)
        return web.json_response({"request_id": request_id})

    async def _handle_order(self, request: web.Request) -> web.Response:
        try:
            order = msgspec.json.decode(await request.read(), type=Order)
        except (msgspec.DecodeError, msgspec.ValidationError) as wrong:
            return error(400, "wrong_order", detail=str(wrong))
        return await self.models.execute(order)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    add_server_arguments(parser)
    defaults = EngineOptions(models=[])
    parser.add_argument("--models", default="", help="NAME@VERSION,...")
    parser.add_argument("--price", action="append", default=[])
    parser.add_argument("--weights", help="URL of the weight store")
    parser.add_argument("--role", default="both")
    parser.add_argument(
        "--fencing", choices=("honour", "ignore"), default="honour"
    )
    for field in msgspec.structs.fields(Timing):
        flag = "--" + field.name.replace("_", "-")
        parser.add_argument(flag, type=field.type, default=field.default)
    for name in ("load_ms", "load_lag_ms", "cache_lag_ms", "cache_gap_ratio"):
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=float, default=getattr(defaults, name))
    parser.add_argument("--cache-prefixes", type=int, default=512)
    parser.add_argument("--keep-streams-s", type=float, default=60.0)
    parser.add_argument("--runs-file", default="")


def run(args: argparse.Namespace) -> int:
    names = [field.name for field in msgspec.structs.fields(Timing)]
    timing = Timing(**{name: getattr(args, name) for name in names})
    prices = (price.rsplit("=", 1) for price in args.price)
    options = EngineOptions(
        models=[name for name in args.models.split(",") if name],
        timing=timing,
        prices={name: float(value) for name, value in prices},
        weights_url=args.weights,
        load_ms=args.load_ms,
        checks_fencing=args.fencing == "honour",
        load_lag_ms=args.load_lag_ms,
        cache_prefixes=args.cache_prefixes,
        cache_lag_ms=args.cache_lag_ms,
        cache_gap_ratio=args.cache_gap_ratio,
        keep_streams_s=args.keep_streams_s,
        runs_file=args.runs_file,
    )

    def build() -> web.Application:
        engine = Engine(options)
        engine.batch.role = args.role
        return engine.app()

    return run_app(build, args.host, args.port)

"""Rater: scores a sample of the answers after a delay."""

from __future__ import annotations

import argparse
import hashlib
import heapq
import time
from collections import Counter
from typing import Any

import msgspec
from aiohttp import web

from lab.answers import GARBAGE_TOKEN
from lab.faults import Faults, error
from lab.server import add_server_arguments, hang, make_app, run_app

DEFAULT_QUALITY = 0.8
"""Mean score of versions without a configured quality."""
MAX_SPREAD = 0.2
"""Largest deviation of a score from its version's mean score."""
MAX_ANSWERED = 1000
"""Maximum number of ratings in one response."""


class RaterFaults(Faults):
    """Injectable faults of the rater."""

    # Answers 503 to every call.
    outage: bool = False
    # Gives no response to any call.
    stall: bool = False
    # Replaces the mean score of versions, given as `NAME@VERSION`.
    quality: dict[str, float] = msgspec.field(default_factory=dict)
    # Replaces the delay that the process was started with.
    delay_s: float | None = None
    # Replaces the sampling ratio that the process was started with.
    sample_ratio: float | None = None


class RatingRequest(msgspec.Struct, kw_only=True):
    """An answer that is submitted for rating."""

    request_id: str
    model: str
    version: str
    request_class: str | None = msgspec.field(name="class", default=None)
    prompt: str
    answer: str


def hash_to_unit(salt: str, text: str) -> float:
    """Hashes a salt and a text to a number from 0 to 1, without 1 itself."""
    digest = hashlib.blake2b(f"{salt}\n{text}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64


def compute_score(request_id: str, mean: float, answer: str) -> float:
    """Returns the deterministic score of an answer.

    An empty answer or one with garbage tokens scores 0.

    Args:
        request_id: Request id, which determines the deviation from the mean.
        mean: Mean score over many requests.
        answer: Text of the answer.
    """
    if not answer or GARBAGE_TOKEN in answer:
        return 0.0
    spread = min(MAX_SPREAD, mean, 1 - mean)
    return mean + (2 * hash_to_unit("score", request_id) - 1) * spread


class Rater:
    """The rater's ratings and HTTP handlers.

    Args:
        quality: Mean score by version, given as `NAME@VERSION`.
        delay_s: Time in seconds until the rating of an answer is published.
        sample_ratio: Share of the submitted answers that are rated.
    """

    def __init__(
        self, quality: dict[str, float], delay_s: float, sample_ratio: float
    ) -> None:
        self.faults = RaterFaults()
        self._quality = quality
        self._delay_s = delay_s
        self._sample_ratio = sample_ratio
        self._pending: list[tuple[float, int, dict[str, Any]]] = []
        self._ratings: list[dict[str, Any]] = []
        self._received: Counter[str] = Counter()
        self._sampled = 0

    def app(self) -> web.Application:
        """Creates the web application that serves this rater."""
        app = make_app(self.faults, self.stats)
        app.router.add_post("/v1/ratings", self._handle_post)
        app.router.add_get("/v1/ratings", self._handle_list)
        return app

    def stats(self) -> dict[str, Any]:
        """Returns the counts of received and sampled answers."""
        return {"received": self._received, "sampled": self._sampled}

    def mean(self, name: str) -> float:
        """Returns the current mean score of a version `NAME@VERSION`."""
        configured = self._quality.get(name, DEFAULT_QUALITY)
        return self.faults.quality.get(name, configured)

    async def _check_faults(self, request: web.Request) -> web.Response | None:
        if self.faults.stall:
            await hang(request)
        if self.faults.outage or self.faults.stall:
            return error(503, "outage")
        return None

    async def _handle_post(self, request: web.Request) -> web.Response:
        refusal = await self._check_faults(request)
        if refusal is not None:
            return refusal
        try:
            rating_request = msgspec.json.decode(
                await request.read(), type=RatingRequest
            )
        except (msgspec.DecodeError, msgspec.ValidationError) as wrong:
            return error(400, "wrong_rating", detail=str(wrong))
        self._received[f"{rating_request.model}@{rating_request.version}"] += 1
        ratio = self.faults.sample_ratio
        if ratio is None:
            ratio = self._sample_ratio
        if hash_to_unit("sample", rating_request.request_id) < ratio:
            self._rate(rating_request)
        return web.json_response({}, status=202)

    def _rate(self, rating_request: RatingRequest) -> None:
        delay_s = self.faults.delay_s
        if delay_s is None:
            delay_s = self._delay_s
        mean = self.mean(f"{rating_request.model}@{rating_request.version}")
        rating = {
            "request_id": rating_request.request_id,
            "model": rating_request.model,
            "version": rating_request.version,
            "class": rating_request.request_class,
            "score": compute_score(
                rating_request.request_id, mean, rating_request.answer
            ),
        }
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._pending, (due_s, self._sampled, rating))
        self._sampled += 1

    def _publish_due(self) -> None:
        now_s = time.monotonic()
        while self._pending and self._pending[0][0] <= now_s:
            rating = heapq.heappop(self._pending)[2]
            self._ratings.append({"seq": len(self._ratings), **rating})

    async def _handle_list(self, request: web.Request) -> web.Response:
        refusal = await self._check_faults(request)
        if refusal is not None:
            return refusal
        start_text = request.query.get("from", "0")
        if not start_text.isdecimal():
            return error(400, "wrong_query")
        start = int(start_text)
        self._publish_due()
        ratings = self._ratings[start : start + MAX_ANSWERED]
        return web.json_response(
            {"next": start + len(ratings), "ratings": ratings}
        )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    add_server_arguments(parser)
    parser.add_argument(
        "--quality", action="append", default=[], help="NAME@VERSION=MEAN"
    )
    parser.add_argument("--delay-s", type=float, default=1.0)
    parser.add_argument("--sample-ratio", type=float, default=0.5)


def run(args: argparse.Namespace) -> int:
    pairs = (text.rsplit("=", 1) for text in args.quality)
    quality = {name: float(mean) for name, mean in pairs}

    def build() -> web.Application:
        return Rater(quality, args.delay_s, args.sample_ratio).app()

    return run_app(build, args.host, args.port)

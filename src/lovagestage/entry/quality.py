"""Sends answers to the rater and delivers its ratings to their consumers."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging

import mode

from lovagestage.adapters.protocols import RatedAnswer, Rater, RaterError
from lovagestage.entry.cascade_service import CascadeService
from lovagestage.entry.exposure_service import ExposureService
from lovagestage.execution.request import Request
from lovagestage.types import RequestId

_log = logging.getLogger(__name__)

MAX_CONCURRENT_POSTS = 4
MAX_QUEUED = 1_000
MAX_AWAITED = 50_000
"""Largest number of answers whose ratings are awaited. At 20 requests/s it is
reached after 40 minutes, whereas ratings arrive within a few minutes."""
POLL_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 2.0


class QualityService(mode.Service):
    """Posts answers to the rater and polls for ratings.

    Args:
        rater: The platform's rater.
        exposure: Receives the ratings of requests in roll-outs.
        cascades: Receives the ratings of requests that follow a plan.

    Attributes:
        dropped: Number of answers that were not handed to the rater.
    """

    def __init__(
        self,
        rater: Rater,
        exposure: ExposureService,
        cascades: CascadeService,
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._rater = rater
        self._exposure = exposure
        self._cascades = cascades
        self._queue: asyncio.Queue[RatedAnswer] = asyncio.Queue(MAX_QUEUED)
        self._awaited: collections.OrderedDict[RequestId, Request] = (
            collections.OrderedDict()
        )
        self._next_rating = 0
        self._rated = 0

    async def on_start(self) -> None:
        """Starts the tasks that post answers."""
        for _ in range(MAX_CONCURRENT_POSTS):
            self.add_future(self._post_answers())

    def offer(self, answer: RatedAnswer, request: Request) -> None:
        """Queues an answer for the rater without waiting.

        If the call waited, a rater that is slow or down would delay the
        callers; if the queue had no bound, answers would fill the memory.
        Answers are dropped for old and new versions alike, so that a drop
        reduces the evidence but does not bias it.

        Args:
            answer: The answer.
            request: The request that was answered.
        """
        try:
            self._queue.put_nowait(answer)
        except asyncio.QueueFull:
            self.dropped += 1
            return
        # The body may be large, and the rating does not need it.
        pending_request = dataclasses.replace(request, body=b"")
        self._awaited[answer.request_id] = pending_request
        if len(self._awaited) > MAX_AWAITED:
            self._awaited.popitem(last=False)

    def get_sizes(self) -> dict[str, int]:
        """Returns sizes and counts, for the state dump."""
        return {
            "queued": self._queue.qsize(),
            "awaited": len(self._awaited),
            "dropped": self.dropped,
            "rated": self._rated,
            "next": self._next_rating,
        }

    def _deliver_rating(self, request: Request, score: float) -> None:
        if request.trial is not None:
            self._exposure.add_rating(request.trial, score)
        if request.arm is not None:
            self._cascades.add_rating(request.arm, score)

    async def _post_answers(self) -> None:
        while not self.should_stop:
            answer = await self._queue.get()
            try:
                await self._rater.post(answer)
            except RaterError as error:
                self.dropped += 1
                self._awaited.pop(answer.request_id, None)
                _log.warning("answer_not_rated", extra={"code": error.code})
                await self.sleep(RETRY_INTERVAL_S)

    @mode.Service.task
    async def _poll_ratings(self) -> None:
        while not self.should_stop:
            try:
                count = await self._read_page()
            except RaterError as error:
                _log.warning("ratings_not_read", extra={"code": error.code})
                await self.sleep(RETRY_INTERVAL_S)
                continue
            if not count:
                await self.sleep(POLL_INTERVAL_S)

    async def _read_page(self) -> int:
        page = await self._rater.read(self._next_rating)
        self._next_rating = max(self._next_rating, page.next)
        for rating in page.ratings:
            # Each entry reads all ratings; this entry does not know the
            # requests of other entries.
            request = self._awaited.pop(rating.request_id, None)
            if request is not None:
                self._rated += 1
                self._deliver_rating(request, rating.score)
        return len(page.ratings)

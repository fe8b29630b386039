"""Client of the answer rater over HTTP."""

from __future__ import annotations

import aiohttp
import msgspec

from lovagestage.adapters.http_calls import (
    READ_ERRORS,
    SHORT_TIMEOUT,
    make_read_timeout,
)
from lovagestage.adapters.protocols import RatedAnswer, RaterError, RatingPage


class HttpRater:
    """Client of the answer rater over HTTP.

    Args:
        session: HTTP client of the process.
        url: Base URL of the rater.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url.rstrip('/')}/v1/ratings"

    async def post(self, answer: RatedAnswer) -> None:
        """See `Rater.post`."""
        body = {
            "request_id": answer.request_id,
            "model": answer.version.model,
            "version": answer.version.version,
            "class": answer.class_name,
            "prompt": answer.prompt,
            "answer": answer.text,
        }
        try:
            async with self._session.post(
                self._url, json=body, timeout=SHORT_TIMEOUT
            ) as response:
                response.raise_for_status()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise RaterError(
                f"The rater did not accept an answer: {error!r}."
            ) from error

    async def read(self, start: int) -> RatingPage:
        """See `Rater.read`."""
        try:
            async with self._session.get(
                self._url,
                params={"from": str(start)},
                timeout=make_read_timeout(),
            ) as response:
                response.raise_for_status()
                return msgspec.json.decode(
                    await response.read(), type=RatingPage
                )
        except READ_ERRORS as error:
            raise RaterError(f"No ratings can be read: {error!r}.") from error

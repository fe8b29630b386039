"""HTTP answers of refusals, in the standard form."""

from __future__ import annotations

from aiohttp import web

from lovagestage.exceptions import RequestRefusedError
from lovagestage.types import RunState


def make_error_body(error: RequestRefusedError) -> dict[str, object]:
    """Builds the standard error body."""
    return {
        "error": {
            "message": error.message,
            "type": error.kind,
            "param": None,
            "code": error.code,
            "run": error.run.value,
        }
    }


def make_error_response(error: RequestRefusedError) -> web.Response:
    """Builds the HTTP answer of a refusal."""
    headers = {"X-Run-State": error.run.value}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(error.retry_after_s)
    elif error.run is not RunState.NOT_RUN:
        # The OpenAI client repeats 5xx answers by itself; a request that may
        # have run must not be repeated by a library that cannot know.
        headers["x-should-retry"] = "false"
    return web.json_response(
        make_error_body(error), status=error.status, headers=headers
    )

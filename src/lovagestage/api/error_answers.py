"""HTTP responses of refused requests, in the OpenAI error format."""

from __future__ import annotations

from aiohttp import web

from lovagestage.exceptions import RequestRefusedError
from lovagestage.types import RunState


def make_error_body(error: RequestRefusedError) -> dict[str, object]:
    """Builds the error body in the OpenAI format, with the run state."""
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
    """Builds the HTTP response of a refused request."""
    headers = {"X-Run-State": error.run.value}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(error.retry_after_s)
    elif error.run is not RunState.NOT_RUN:
        # The OpenAI client retries by itself after a 5xx response. A library
        # that can't know whether the request has run must not retry it.
        headers["x-should-retry"] = "false"
    return web.json_response(
        make_error_body(error), status=error.status, headers=headers
    )

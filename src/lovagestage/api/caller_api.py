"""The OpenAI-compatible HTTP API for callers."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web
from aiohttp.typedefs import Handler

from lovagestage.api.authentication import Authenticator
from lovagestage.api.chat_api import ChatApi
from lovagestage.api.error_answers import make_error_response
from lovagestage.api.plain_api import PlainApi
from lovagestage.bus.upstreams import UpstreamTable
from lovagestage.control.reader import ControlReader
from lovagestage.decisions.plain_calls import find_route
from lovagestage.entry.keyed_refusals import KeyedRefusalCorrector
from lovagestage.exceptions import (
    BodyTooLargeError,
    IncompleteBodyError,
    RequestRefusedError,
    RouteNotFoundError,
)
from lovagestage.settings import EntrySettings
from lovagestage.state.document import get_open_versions
from lovagestage.telemetry.measurement import HEALTH_PATH, RequestMeter

MAX_START_S = 10.0
"""Time in seconds after the start from which an entry with a configuration is
ready even if some upstream has sent no heartbeat. Without this limit one
unreachable upstream would prevent the entry from serving."""


class CallerApi:
    """Request handlers of the callers' API.

    Args:
        settings: Limits of the API.
        control: Reader of the configuration in force.
        upstreams: Connections to sidecars.
        authenticator: Identifies callers by their API keys.
        chat: Answers chat completion requests.
        plain: Answers calls to plain services.
        refusals: Corrects the run state in refusals of requests that carry an
            idempotency key.
        meter: Measures requests.
    """

    def __init__(
        self,
        settings: EntrySettings,
        control: ControlReader,
        upstreams: UpstreamTable,
        authenticator: Authenticator,
        chat: ChatApi,
        plain: PlainApi,
        refusals: KeyedRefusalCorrector,
        meter: RequestMeter,
    ) -> None:
        self._settings = settings
        self._control = control
        self._upstreams = upstreams
        self._authenticator = authenticator
        self._chat = chat
        self._plain = plain
        self._refusals = refusals
        self._meter = meter
        self._started_at_s = time.monotonic()
        self._was_ready = False
        self.leaving = False
        self.open_requests = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def make_app(self) -> web.Application:
        """Builds the HTTP application."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[self._handle_errors, self._meter.measure],
        )
        app.on_response_prepare.append(self._on_response_prepare)
        app.router.add_get(HEALTH_PATH, self._get_health)
        app.router.add_get("/v1/models", self._get_models)
        app.router.add_post("/v1/chat/completions", self._post_chat)
        app.router.add_route("*", "/{path:.*}", self._handle_call)
        return app

    async def _on_response_prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        del request
        if self.leaving:
            # A balancer that keeps connections open would continue to send
            # requests on them until the process ends and aborts one of them.
            response.headers["Connection"] = "close"
            response.force_close()

    @web.middleware
    async def _handle_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self.open_requests += 1
        self._meter.set_open_requests(self.open_requests)
        self.idle.clear()
        try:
            return await handler(request)
        except RequestRefusedError as error:
            return await self._answer_refusal(request, error)
        except web.HTTPRequestEntityTooLarge:
            too_large = BodyTooLargeError(
                "Expected a body of at most"
                f" {self._settings.max_body_bytes} bytes."
            )
            return await self._answer_refusal(request, too_large)
        finally:
            self.open_requests -= 1
            self._meter.set_open_requests(self.open_requests)
            if self.open_requests == 0:
                self.idle.set()

    async def _answer_refusal(
        self, request: web.Request, error: RequestRefusedError
    ) -> web.Response:
        await self._refusals.correct_run_state(request, error)
        return make_error_response(error)

    async def _get_health(self, request: web.Request) -> web.Response:
        del request
        if self.leaving or not self._is_ready():
            return web.Response(status=503, text="leaving or not ready")
        return web.Response(text="ok")

    def _is_ready(self) -> bool:
        # Once ready, the entry stays ready. If readiness depended on the
        # upstreams all the time, a fault that all entries share would remove
        # every entry from the balancer.
        if not self._was_ready and self._control.services:
            waited_s = time.monotonic() - self._started_at_s
            self._was_ready = (
                self._upstreams.has_versions_of_all() or waited_s > MAX_START_S
            )
        return self._was_ready

    async def _get_models(self, request: web.Request) -> web.Response:
        caller = self._authenticator.identify_caller(request)
        allowed = get_open_versions(caller.document, caller.workspace)
        names = [str(caller.document.service), *(str(v) for v in allowed)]
        return web.json_response(
            {
                "object": "list",
                "data": [
                    {
                        "id": name,
                        "object": "model",
                        "created": 0,
                        "owned_by": caller.document.team,
                    }
                    for name in names
                ],
            }
        )

    async def _post_chat(self, request: web.Request) -> web.StreamResponse:
        caller = self._authenticator.identify_caller(request)
        body = await self._read_body(request)
        return await self._chat.handle_request(request, body, caller)

    async def _handle_call(self, request: web.Request) -> web.Response:
        caller = self._authenticator.identify_caller(request)
        route = find_route(caller.document, request.raw_path)
        if route is None:
            raise RouteNotFoundError(f"There is nothing at {request.path!r}.")
        content = await self._read_body(request)
        return await self._plain.handle_call(
            request, content, caller.workspace, caller.document, route
        )

    async def _read_body(self, request: web.Request) -> bytes:
        try:
            return await asyncio.wait_for(
                request.read(), self._settings.body_timeout_s
            )
        except (TimeoutError, ConnectionError, web.RequestPayloadError):
            raise IncompleteBodyError(
                "The body was not whole within"
                f" {self._settings.body_timeout_s} s."
            ) from None

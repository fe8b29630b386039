"""The OpenAI-compatible HTTP API for callers."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import secrets
import time
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from lovagestage.admission import Choice
from lovagestage.billed import BilledStream, make_bill
from lovagestage.billing_service import BillingService
from lovagestage.control import ControlReader
from lovagestage.deferral_service import (
    HEADER_DEADLINE,
    DeferralService,
    resolve_deadline_s,
)
from lovagestage.dispatcher import Dispatcher, Request, Result
from lovagestage.document import (
    DEFAULT_CLASS,
    ClassSpec,
    Repeatable,
    ServiceDocument,
    get_key_digest,
    get_open_versions,
)
from lovagestage.escalation import Escalation, may_run_twice
from lovagestage.exceptions import (
    BodyTooLargeError,
    IncompleteBodyError,
    MalformedRequestError,
    ModelNotAllowedError,
    NotReadyError,
    RequestRefusedError,
    UnknownModelError,
    UnknownRouteError,
    WrongKeyError,
)
from lovagestage.keyed_refusals import KeyedRefusals, get_progress
from lovagestage.keyed_runs import HEADER_KEY, KeyedRuns
from lovagestage.limit_service import LimitService
from lovagestage.plain_api import PlainApi
from lovagestage.plain_calls import find_route
from lovagestage.sessions import (
    HEADER_MOVED_FROM,
    HEADER_SESSION,
    Session,
    SessionSigner,
    check_session,
    get_token,
    is_pinned,
    make_next_session,
    resolve_model,
)
from lovagestage.settings import EntrySettings
from lovagestage.trials import Trials
from lovagestage.types import (
    ModelVersion,
    RequestId,
    RunState,
    WorkspaceId,
    parse_model_version,
)
from lovagestage.upstreams import UpstreamTable

_log = logging.getLogger(__name__)

HEADER_CLASS = "X-Request-Class"
HEADER_REQUEST_ID = "X-Request-Id"
HEADER_VERSION = "X-Model-Version"
HEADER_ATTEMPTS = "X-Attempts"
HEADER_BILLED = "X-Billed-Tokens"
MAX_START_S = 10.0
"""An upstream not heard by then keeps the entry from serving no longer."""
_BEARER = "Bearer "


class ChatForm(msgspec.Struct):
    """The part of a chat completion request that routing looks at.

    Attributes:
        model: A service, a model or `MODEL@VERSION`.
        messages: At least one.
        stream: Whether the caller reads chunks.
        metadata: `request_class`, `session` and `deadline_s` may be given
            here.
        max_tokens: Most tokens of the answer.
        max_completion_tokens: The same by its newer name.
    """

    model: str
    messages: list[dict[str, object]]
    stream: bool = False
    metadata: dict[str, str] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_form_decoder = msgspec.json.Decoder(ChatForm)


@dataclasses.dataclass(frozen=True)
class Caller:
    """Who asks, by its API key.

    Attributes:
        workspace: The workspace.
        document: The document in force that names it.
    """

    workspace: WorkspaceId
    document: ServiceDocument


class CallerApi:
    """Handlers of the callers' API.

    Args:
        settings: Limits of the API.
        control: Configuration in force.
        dispatcher: Runs requests.
        upstreams: Connections to sidecars.
        keyed: Runs requests that have a key.
        billing: Takes the bills.
        trials: Assigns requests to roll-outs.
        refusals: Makes refusals of requests with a key true.
        limits: Charges workspaces.
        deferrals: Holds deferrable requests.
    """

    def __init__(
        self,
        settings: EntrySettings,
        control: ControlReader,
        dispatcher: Dispatcher,
        upstreams: UpstreamTable,
        billing: BillingService,
        keyed: KeyedRuns,
        trials: Trials,
        refusals: KeyedRefusals,
        limits: LimitService,
        deferrals: DeferralService,
    ) -> None:
        self._trials = trials
        self._limits = limits
        self._deferrals = deferrals
        self._billing = billing
        self._keyed = keyed
        self._refusals = refusals
        self._upstreams = upstreams
        self._started_at_s = time.monotonic()
        self._ready = False
        self.leaving = False
        self.open_requests = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._settings = settings
        self._control = control
        self._dispatcher = dispatcher
        self._escalation = Escalation(dispatcher)
        self._plain = PlainApi(dispatcher, keyed, settings.default_deadline_s)
        self._signer = SessionSigner(settings.session_keys)

    def make_app(self) -> web.Application:
        """Builds the HTTP application."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[self._handle_errors],
        )
        app.on_response_prepare.append(self._on_response_prepare)
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/v1/models", self._get_models)
        app.router.add_post("/v1/chat/completions", self._post_chat)
        app.router.add_route("*", "/{path:.*}", self._handle_call)
        return app

    async def _on_response_prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        del request
        if self.leaving:
            # A balancer that keeps connections open would go on sending
            # requests on them until the process ends and cuts one off.
            response.headers["Connection"] = "close"
            response.force_close()

    @web.middleware
    async def _handle_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self.open_requests += 1
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
            if self.open_requests == 0:
                self.idle.set()

    async def _answer_refusal(
        self, request: web.Request, error: RequestRefusedError
    ) -> web.Response:
        await self._refusals.correct(request, error)
        return make_error_response(error)

    async def _get_health(self, request: web.Request) -> web.Response:
        del request
        if self.leaving or not self._is_ready():
            return web.Response(status=503, text="leaving or not ready")
        return web.Response(text="ok")

    def _is_ready(self) -> bool:
        # Readiness is not taken back: were it to follow the upstreams, one
        # fault common to all entries would empty the balancer.
        if not self._ready and self._control.services:
            waited_s = time.monotonic() - self._started_at_s
            self._ready = (
                self._upstreams.has_heard_all() or waited_s > MAX_START_S
            )
        return self._ready

    async def _get_models(self, request: web.Request) -> web.Response:
        caller = self._get_caller(request)
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
        caller = self._get_caller(request)
        body = await self._read_body(request)
        get_progress(request).body = body
        form = _parse_form(body)
        admitted = self._admit(request, caller, form, body)
        result = Result(admitted.version)
        most = form.max_completion_tokens or form.max_tokens
        keyed = HEADER_KEY in request.headers
        parts = self._deferrals.run(
            admitted,
            most,
            keyed,
            lambda: self._run(request, admitted, result),
        )
        charge = self._limits.charge(admitted, result, most, keyed)
        with self._billing.reserve(), charge:
            get_progress(request).is_claiming = True
            if form.stream:
                return await self._answer_stream(
                    request, parts, caller, admitted, result
                )
            return await self._answer_plain(parts, caller, admitted, result)

    async def _handle_call(self, request: web.Request) -> web.Response:
        caller = self._get_caller(request)
        route = find_route(caller.document, request.raw_path)
        if route is None:
            raise UnknownRouteError(f"There is nothing at {request.path!r}.")
        content = await self._read_body(request)
        return await self._plain.answer(
            request, content, caller.workspace, caller.document, route
        )

    def _run(
        self, request: web.Request, admitted: Request, result: Result
    ) -> AsyncIterator[bytes]:
        key = request.headers.get(HEADER_KEY)
        if key is not None:
            parts = self._keyed.run(admitted, key, result)
        elif may_run_twice(admitted):
            parts = self._escalation.run(admitted, result)
        else:
            parts = self._dispatcher.run(admitted, result)
        return self._trials.watch(admitted, result, parts)

    def _get_caller(self, request: web.Request) -> Caller:
        if not self._control.services:
            raise NotReadyError(
                "No service document is in force yet.", retry_after_s=1
            )
        header = request.headers.get("Authorization", "")
        digest = get_key_digest(header.removeprefix(_BEARER))
        for service in self._control.services.values():
            for name, workspace in service.document.workspaces.items():
                if digest in workspace.key_digests:
                    get_progress(request).workspace = name
                    document = self._trials.get_document(service.document)
                    return Caller(name, document)
        raise WrongKeyError("The API key belongs to no workspace.")

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

    def _admit(
        self, request: web.Request, caller: Caller, form: ChatForm, body: bytes
    ) -> Request:
        class_name = _get_class_name(request, form)
        spec = _get_class(class_name, caller.document)
        deadline_s = resolve_deadline_s(
            request.headers.get(HEADER_DEADLINE), form.metadata, spec
        )
        deadline_s = deadline_s or self._settings.default_deadline_s
        session = self._read_session(request, caller, form)
        choice = self._choose_planned(
            session, form.model, caller, class_name, len(body)
        ) or self._choose(session, form.model, caller, spec)
        return Request(
            RequestId(secrets.token_hex(16)),
            caller.workspace,
            caller.document.service,
            choice.version,
            spec.priority,
            spec.repeatable is Repeatable.ALWAYS,
            time.monotonic() + deadline_s,
            form.stream,
            body,
            session,
            choice.trial,
            class_name,
            choice.arm,
            deferrable=spec.deferrable,
        )

    def _choose_planned(
        self,
        session: Session | None,
        name: str,
        caller: Caller,
        class_name: str,
        prompt_bytes: int,
    ) -> Choice | None:
        document = caller.document
        if session is not None or name != document.service:
            return None
        return self._trials.choose_plan(
            document,
            caller.workspace,
            class_name,
            document.classes[class_name],
            prompt_bytes,
        )

    def _choose(
        self,
        session: Session | None,
        name: str,
        caller: Caller,
        spec: ClassSpec,
    ) -> Choice:
        resolved = resolve_session_version(session, name, caller, spec)
        if is_pinned(session, resolved):
            return Choice(resolved)
        return self._trials.choose(
            name, resolved, caller.document, caller.workspace
        )

    def _read_session(
        self, request: web.Request, caller: Caller, form: ChatForm
    ) -> Session | None:
        token = get_token(request.headers, form.metadata)
        if token is None:
            return None
        session = self._signer.read_token(token)
        service = caller.document.service
        check_session(session, caller.workspace, service, time.time())
        return session

    def _make_session_headers(
        self, caller: Caller, admitted: Request, result: Result
    ) -> dict[str, str]:
        session = make_next_session(
            admitted.session,
            secrets.token_hex(8),
            caller.workspace,
            caller.document,
            result.version,
            time.time(),
        )
        token = self._signer.make_token(session)
        if token is None:
            return {}
        headers = {HEADER_SESSION: token}
        previous = admitted.session
        if previous is not None and not is_pinned(previous, result.version):
            headers[HEADER_MOVED_FROM] = previous.version
        return headers

    async def _answer_plain(
        self,
        parts: AsyncIterator[bytes],
        caller: Caller,
        admitted: Request,
        result: Result,
    ) -> web.Response:
        body = b"".join([part async for part in parts])
        billed = _get_billed(admitted, result)
        await self._billing.add(make_bill(billed, result, time.time()))
        return web.Response(
            body=body,
            content_type="application/json",
            headers=_make_headers(admitted, result)
            | self._make_session_headers(caller, admitted, result),
        )

    async def _answer_stream(
        self,
        request: web.Request,
        parts: AsyncIterator[bytes],
        caller: Caller,
        admitted: Request,
        result: Result,
    ) -> web.StreamResponse:
        try:
            # The first chunk is awaited before the status is sent, so that a
            # request refused before it has an error status of its own.
            first = await anext(parts, b"")
            response = web.StreamResponse(
                headers=_make_headers(admitted, result)
                | self._make_session_headers(caller, admitted, result)
            )
            response.content_type = "text/event-stream"
            await response.prepare(request)
            billed = _get_billed(admitted, result)
            stream = BilledStream(billed, result, self._billing)
            await _write_parts(response, first, parts, stream)
        finally:
            await parts.aclose()  # type: ignore[attr-defined]
        await response.write_eof()
        return response


async def _write_parts(
    response: web.StreamResponse,
    first: bytes,
    parts: AsyncIterator[bytes],
    stream: BilledStream,
) -> None:
    try:
        await response.write(stream.add(first))
        async for part in parts:
            await response.write(stream.add(part))
        await response.write(await stream.end(time.time()))
    except RequestRefusedError as error:
        body = msgspec.json.encode(make_error_body(error))
        await response.write(b"data: " + body + b"\n\n")
    except (ConnectionError, asyncio.CancelledError):
        stream.cancel(time.time())
        raise


def resolve_version(name: str, caller: Caller, spec: ClassSpec) -> ModelVersion:
    """Finds the version that a request gets.

    Args:
        name: A service, a model or `MODEL@VERSION`.
        caller: Who asks.
        spec: The request's class.

    Raises:
        UnknownModelError: The name is none of these.
        ModelNotAllowedError: The workspace may not use it.
    """
    allowed = get_open_versions(caller.document, caller.workspace)
    if name == caller.document.service:
        candidates = [
            version
            for text in spec.cascade
            if (version := parse_model_version(text)) in allowed
        ]
    else:
        candidates = [v for v in allowed if name in (v.model, str(v))]
    chosen = candidates[0] if candidates else None
    if chosen is not None:
        return chosen
    known = {
        part
        for version in caller.document.versions
        for part in (version.name, version.name.partition("@")[0])
    }
    if name not in known and name != caller.document.service:
        raise UnknownModelError(f"There is no model {name!r}.")
    raise ModelNotAllowedError(
        f"Workspace {caller.workspace!r} may not use {name!r}."
    )


def resolve_session_version(
    session: Session | None, name: str, caller: Caller, spec: ClassSpec
) -> ModelVersion:
    """Finds the version of a request that may come with a session.

    Raises:
        RequestRefusedError: See `resolve_version` and `resolve_model`.
    """
    if session is None:
        return resolve_version(name, caller, spec)
    target = resolve_model(session, name, caller.document)
    if target is not None:
        return resolve_version(target, caller, spec)
    pinned = parse_model_version(session.version)
    assert pinned is not None
    return pinned


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


def _parse_form(body: bytes) -> ChatForm:
    try:
        form = _form_decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise MalformedRequestError(
            f"The body is no chat completion request: {error}."
        ) from error
    if not form.messages:
        raise MalformedRequestError("Expected at least one message.")
    return form


def _get_class_name(request: web.Request, form: ChatForm) -> str:
    metadata = form.metadata or {}
    return request.headers.get(
        HEADER_CLASS, metadata.get("request_class", DEFAULT_CLASS)
    )


def _get_class(name: str, document: ServiceDocument) -> ClassSpec:
    spec = document.classes.get(name)
    if spec is None:
        raise MalformedRequestError(
            f"There is no request class {name!r}; expected one of"
            f" {sorted(document.classes)}."
        )
    return spec


def _get_billed(admitted: Request, result: Result) -> Request:
    # A request that joined another's run bills it under that one's id, so
    # that the two bills are one.
    request_id = result.request_id or admitted.request_id
    return dataclasses.replace(admitted, request_id=request_id)


def _make_headers(admitted: Request, result: Result) -> dict[str, str]:
    headers = {
        HEADER_REQUEST_ID: result.request_id or admitted.request_id,
        HEADER_VERSION: str(result.version),
        HEADER_ATTEMPTS: str(result.attempts),
    }
    if result.finished is not None:
        headers[HEADER_BILLED] = str(result.finished.completion_tokens)
    return headers

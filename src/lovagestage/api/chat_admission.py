"""Admits chat completion requests: sets their class, deadline and version."""

from __future__ import annotations

import secrets
import time

from aiohttp import web

from lovagestage.api.authentication import Caller
from lovagestage.api.chat_fields import ChatFields, get_class_name
from lovagestage.decisions.admission import Choice
from lovagestage.decisions.sessions import (
    Session,
    SessionSigner,
    check_session,
    get_token,
    is_pinned,
    resolve_model,
)
from lovagestage.entry.answer_tracking import AnswerTracker
from lovagestage.entry.deferral_service import (
    HEADER_DEADLINE,
    resolve_deadline_s,
)
from lovagestage.exceptions import (
    MalformedRequestError,
    ModelNotAllowedError,
    ModelNotFoundError,
)
from lovagestage.execution.request import Request
from lovagestage.state.document import (
    ClassSpec,
    Repeatable,
    ServiceDocument,
    get_open_versions,
)
from lovagestage.types import ModelVersion, RequestId, parse_model_version


class ChatAdmission:
    """Builds the request to run from the caller's HTTP request.

    Args:
        trials: Assigns requests to cascade plans and roll-outs.
        signer: Verifies and decodes session tokens.
        default_deadline_s: Deadline in seconds of requests that state none.
    """

    def __init__(
        self,
        trials: AnswerTracker,
        signer: SessionSigner,
        default_deadline_s: float,
    ) -> None:
        self._trials = trials
        self._signer = signer
        self._default_deadline_s = default_deadline_s

    def admit(
        self,
        request: web.Request,
        caller: Caller,
        fields: ChatFields,
        body: bytes,
    ) -> Request:
        """Chooses the version of a request and sets its deadline.

        Raises:
            RequestRefusedError: The request can't be admitted.
        """
        class_name = get_class_name(request, fields)
        spec = _get_class(class_name, caller.document)
        deadline_s = resolve_deadline_s(
            request.headers.get(HEADER_DEADLINE), fields.metadata, spec
        )
        deadline_s = deadline_s or self._default_deadline_s
        session = self._read_session(request, caller, fields)
        choice = self._choose_from_plan(
            session, fields.model, caller, class_name, len(body)
        ) or self._choose(session, fields.model, caller, spec)
        return Request(
            RequestId(secrets.token_hex(16)),
            caller.workspace,
            caller.document.service,
            choice.version,
            spec.priority,
            spec.repeatable is Repeatable.ALWAYS,
            time.monotonic() + deadline_s,
            fields.stream,
            body,
            session,
            choice.trial,
            class_name,
            choice.arm,
            deferrable=spec.deferrable,
        )

    def _choose_from_plan(
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
        resolved_version = resolve_session_version(session, name, caller, spec)
        if is_pinned(session, resolved_version):
            return Choice(resolved_version)
        return self._trials.choose_version(
            name, resolved_version, caller.document, caller.workspace
        )

    def _read_session(
        self, request: web.Request, caller: Caller, fields: ChatFields
    ) -> Session | None:
        token = get_token(request.headers, fields.metadata)
        if token is None:
            return None
        session = self._signer.read_token(token)
        service = caller.document.service
        check_session(session, caller.workspace, service, time.time())
        return session


def resolve_version(name: str, caller: Caller, spec: ClassSpec) -> ModelVersion:
    """Finds the version that runs a request.

    Args:
        name: Name of a service, of a model, or `MODEL@VERSION`.
        caller: Sender of the request.
        spec: Specification of the request's class.

    Raises:
        ModelNotFoundError: No service, model or version has the name.
        ModelNotAllowedError: The workspace may not use the named version.
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
        known_name
        for version in caller.document.versions
        for known_name in (version.name, version.name.partition("@")[0])
    }
    if name not in known and name != caller.document.service:
        raise ModelNotFoundError(f"There is no model {name!r}.")
    raise ModelNotAllowedError(
        f"Workspace {caller.workspace!r} may not use {name!r}."
    )


def resolve_session_version(
    session: Session | None, name: str, caller: Caller, spec: ClassSpec
) -> ModelVersion:
    """Finds the version of a request that may belong to a session.

    Args:
        session: The request's session; None if it has none.
        name: Name of a service, of a model, or `MODEL@VERSION`.
        caller: Sender of the request.
        spec: Specification of the request's class.

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


def _get_class(name: str, document: ServiceDocument) -> ClassSpec:
    spec = document.classes.get(name)
    if spec is None:
        raise MalformedRequestError(
            f"There is no request class {name!r}; expected one of"
            f" {sorted(document.classes)}."
        )
    return spec

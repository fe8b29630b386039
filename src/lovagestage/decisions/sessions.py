"""Sessions: signed tokens that pin a conversation to its version.

A session consists of its token alone. No process stores sessions, so any entry
can continue a session and none is lost with a VM. The decisions in this module
are pure; the caller passes the time and the random ids.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
from collections.abc import Mapping, Sequence

import itsdangerous
import msgspec

from lovagestage.exceptions import (
    ModelNotAllowedError,
    SessionExpiredError,
    SessionInvalidError,
    SessionVersionConflictError,
    SessionVersionWithdrawnError,
)
from lovagestage.state.document import (
    OnWithdraw,
    ServiceDocument,
    get_allowed_versions,
    get_open_versions,
    is_version_granted,
)
from lovagestage.types import (
    ModelVersion,
    ServiceId,
    WorkspaceId,
    parse_model_version,
)

HEADER_SESSION = "X-Session"
HEADER_MOVED_FROM = "X-Session-Moved-From"
METADATA_SESSION = "session"
MAX_TOKEN_CHARS = 1024
"""Maximum length of a token in characters; longer tokens are rejected without
decoding."""
_SALT = "lovagestage.session.1"
"""Separates these signatures from signatures by the same keys for other
uses."""


class Session(msgspec.Struct, frozen=True, array_like=True):
    """Content of a session token.

    Fields may only be appended, and need defaults, so that older tokens decode.

    Attributes:
        session_id: Id that all tokens of a session share; used in logs.
        workspace: Workspace that owns the session.
        service: The service.
        version: Version on which all requests of the session run,
            `MODEL@VERSION`.
        started_at_s: Unix time in seconds of the first answer.
        expires_at_s: Unix time in seconds at which the session expires unless
            it is used before.
    """

    session_id: str
    workspace: WorkspaceId
    service: ServiceId
    version: str
    started_at_s: int
    expires_at_s: int


class SessionSigner:
    """Signs and verifies session tokens.

    Args:
        keys: Signing keys. The first one signs and each one is accepted, so
            that a key can be replaced while sessions are open. Without any key
            there are no sessions.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        self._signer = None
        if keys:
            self._signer = itsdangerous.Signer(
                list(reversed(keys)),
                salt=_SALT,
                key_derivation="hmac",
                digest_method=hashlib.sha256,
            )

    def make_token(self, session: Session) -> str | None:
        """Makes a token; returns None if no key is configured."""
        if self._signer is None:
            return None
        payload = base64.urlsafe_b64encode(msgspec.msgpack.encode(session))
        return self._signer.sign(payload).decode()

    def read_token(self, token: str) -> Session:
        """Verifies and decodes a token.

        Raises:
            SessionInvalidError: None of this system's keys has signed the
                token.
        """
        if self._signer is None or len(token) > MAX_TOKEN_CHARS:
            raise SessionInvalidError("The session is not one of this system.")
        try:
            payload = self._signer.unsign(token.encode())
            _check_canonical(token)
            return msgspec.msgpack.decode(
                base64.urlsafe_b64decode(payload), type=Session
            )
        except (
            itsdangerous.BadSignature,
            msgspec.MsgspecError,
            binascii.Error,
            UnicodeError,
        ):
            raise SessionInvalidError(
                "The session is not one of this system."
            ) from None


def _check_canonical(token: str) -> None:
    """Rejects a valid signature in a non-canonical encoding.

    Base64 has several encodings of the same bytes (unused bits, `/` for `_`).
    All of them prove the same, but a token must have a single encoding where
    tokens are compared.

    Raises:
        itsdangerous.BadSignature: The encoding of the signature is not
            canonical.
    """
    signature = token.rpartition(".")[2].encode()
    if (
        itsdangerous.base64_encode(itsdangerous.base64_decode(signature))
        != signature
    ):
        raise itsdangerous.BadSignature("The signature is not canonical.")


def get_token(
    headers: Mapping[str, str], metadata: Mapping[str, str] | None
) -> str | None:
    """Finds a request's token; the header has precedence over the metadata."""
    return headers.get(HEADER_SESSION) or (metadata or {}).get(METADATA_SESSION)


def check_session(
    session: Session,
    workspace: WorkspaceId,
    service: ServiceId,
    now_s: float,
) -> None:
    """Checks that a session belongs to the caller and has not expired.

    Raises:
        SessionInvalidError: The session belongs to another workspace or
            service.
        SessionExpiredError: The session was not used for too long.
    """
    if (session.workspace, session.service) != (workspace, service):
        # The error is the same as for a forged token, because a caller must not
        # learn whether the token of another workspace is genuine.
        raise SessionInvalidError("The session is not one of this system.")
    if now_s >= session.expires_at_s:
        raise SessionExpiredError(
            f"The session {session.session_id!r} has ended: it was not used"
            " for longer than the service allows."
        )


def resolve_model(
    session: Session, name: str, document: ServiceDocument
) -> str | None:
    """Determines what a session's request runs on.

    Args:
        session: A session that `check_session` has accepted.
        name: Model that the request names.
        document: The document in force.

    Returns:
        None if the request runs on the session's version. If the session moves,
        the name for which a version has to be chosen.

    Raises:
        SessionInvalidError: The session contains no valid version.
        SessionVersionConflictError: The request names another version.
        SessionVersionWithdrawnError: The version is withdrawn, and either the
            service ends its sessions with it or no version is left to move to.
        ModelNotAllowedError: The workspace may no longer use the version.
    """
    version = parse_model_version(session.version)
    if version is None:
        raise SessionInvalidError("The session names no version.")
    if name not in (document.service, version.model, str(version)):
        raise SessionVersionConflictError(
            f"The session runs on {session.version!r} and the request names"
            f" {name!r}; leave the session out to start another."
        )
    if version in get_allowed_versions(document, session.workspace):
        return None
    if not is_version_granted(document, session.workspace, version):
        raise ModelNotAllowedError(
            f"Workspace {session.workspace!r} may not use {session.version!r}."
        )
    target = _get_move_target(session.workspace, version, document)
    if document.sessions.on_withdraw is OnWithdraw.END or target is None:
        raise SessionVersionWithdrawnError(
            f"The session's version {session.version!r} is withdrawn; start a"
            " new session."
        )
    return target


def is_pinned(session: Session | None, version: ModelVersion) -> bool:
    """Returns whether a request on `version` continues its session."""
    return session is not None and session.version == str(version)


def make_next_session(
    previous: Session | None,
    session_id: str,
    workspace: WorkspaceId,
    document: ServiceDocument,
    version: ModelVersion,
    now_s: float,
) -> Session:
    """Makes the session that the caller receives with an answer.

    Args:
        previous: Session that the request came with; None if there was none.
        session_id: Unused id for a session that starts or moves.
        workspace: Workspace of the caller.
        document: The document in force.
        version: Version that answered.
        now_s: Unix time in seconds.
    """
    expires_at_s = int(now_s + document.sessions.idle_timeout_s)
    if previous is not None and is_pinned(previous, version):
        # Requests of one session may overlap; the expiry time never moves back.
        return msgspec.structs.replace(
            previous, expires_at_s=max(previous.expires_at_s, expires_at_s)
        )
    return Session(
        session_id,
        workspace,
        document.service,
        str(version),
        int(now_s),
        expires_at_s,
    )


def _get_move_target(
    workspace: WorkspaceId, version: ModelVersion, document: ServiceDocument
) -> str | None:
    open_versions = get_open_versions(document, workspace)
    if not open_versions:
        return None
    if any(
        open_version.model == version.model for open_version in open_versions
    ):
        return version.model
    return document.service

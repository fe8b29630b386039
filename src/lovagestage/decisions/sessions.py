"""Sessions: signed tokens that pin a conversation to its version.

The token is all there is of a session: no process remembers one, so any entry
can go on with it and none of them is lost with a VM. The decisions here are
pure; the caller of this module brings the clock and the randomness.
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
_SALT = "lovagestage.session.1"
"""Keeps signatures apart from any other use of the same keys."""


class Session(msgspec.Struct, frozen=True, array_like=True):
    """What a token says; fields may only be appended, with defaults.

    Attributes:
        session_id: Same over all tokens of a session; for logs.
        workspace: Whose session it is.
        service: The service.
        version: `MODEL@VERSION` that all its requests run on.
        started_at_s: Unix time of the first answer.
        expires_at_s: Unix time at which it ends unless it is used before.
    """

    session_id: str
    workspace: WorkspaceId
    service: ServiceId
    version: str
    started_at_s: int
    expires_at_s: int


class SessionSigner:
    """Makes and reads tokens.

    Args:
        keys: The first signs; each of them is accepted, so that a key can be
            replaced while sessions are open. None at all: no sessions.
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
        """Makes a token; None where no key is set."""
        if self._signer is None:
            return None
        payload = base64.urlsafe_b64encode(msgspec.msgpack.encode(session))
        return self._signer.sign(payload).decode()

    def read_token(self, token: str) -> Session:
        """Reads a token.

        Raises:
            SessionInvalidError: This system's keys did not sign it.
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
    """Refuses another spelling of a right signature.

    Base64 has several for the same bytes (unused bits, `/` for `_`). They
    prove the same, but a token must have one spelling where it is compared.

    Raises:
        itsdangerous.BadSignature: The signature is spelt another way.
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
    """Finds the token of a request: the header goes before the metadata."""
    return headers.get(HEADER_SESSION) or (metadata or {}).get(METADATA_SESSION)


def check_session(
    session: Session,
    workspace: WorkspaceId,
    service: ServiceId,
    now_s: float,
) -> None:
    """Checks that a session is the caller's own and still open.

    Raises:
        SessionInvalidError: It belongs to another workspace or service.
        SessionExpiredError: It was not used for too long.
    """
    if (session.workspace, session.service) != (workspace, service):
        # Says no more than a forged token gets: whether another workspace's
        # token is genuine is none of the caller's business.
        raise SessionInvalidError("The session is not one of this system.")
    if now_s >= session.expires_at_s:
        raise SessionExpiredError(
            f"The session {session.session_id!r} has ended: it was not used"
            " for longer than the service allows."
        )


def resolve_model(
    session: Session, name: str, document: ServiceDocument
) -> str | None:
    """Decides where a session's request runs.

    Args:
        session: A session that was checked.
        name: The model that the request names.
        document: The document in force.

    Returns:
        None where the request runs on the session's version; where the
        session moves, the name to choose a version of.

    Raises:
        SessionVersionConflictError: The request names another version.
        SessionVersionWithdrawnError: The version is withdrawn and the
            service's sessions end with it, or nothing is left to move to.
        ModelNotAllowedError: The workspace has lost its right to the version.
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
    """Whether a request on `version` goes on with the session it came with."""
    return session is not None and session.version == str(version)


def make_next_session(
    previous: Session | None,
    session_id: str,
    workspace: WorkspaceId,
    document: ServiceDocument,
    version: ModelVersion,
    now_s: float,
) -> Session:
    """Makes the session that an answer hands to its caller.

    Args:
        previous: The session that the request came with.
        session_id: Unused id, taken where a session starts or moves.
        workspace: Who asks.
        document: The document in force.
        version: Version that answered.
        now_s: Unix time.
    """
    expires_at_s = int(now_s + document.sessions.idle_timeout_s)
    if previous is not None and is_pinned(previous, version):
        # Requests of one session may overlap; the end never moves back.
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
    if any(other.model == version.model for other in open_versions):
        return version.model
    return document.service

"""Tests of session tokens and of the decisions about sessions."""

from __future__ import annotations

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from lovagestage.decisions import sessions
from lovagestage.exceptions import (
    ModelNotAllowedError,
    RequestRefusedError,
    SessionExpiredError,
    SessionInvalidError,
    SessionVersionConflictError,
    SessionVersionWithdrawnError,
)
from lovagestage.state.document import (
    ClassSpec,
    OnWithdraw,
    ServiceDocument,
    SessionSpec,
    VersionSpec,
    VersionState,
    WorkspaceSpec,
)
from lovagestage.types import parse_model_version

NOW_S = 1_000_000
SESSION = sessions.Session(
    "s1", "audit", "vault", "large@1", NOW_S, NOW_S + 3600
)
NAMES = ("large@1", "large@2", "small@1")


def make_document(
    states=(VersionState.ACTIVE,) * 3, on_withdraw=OnWithdraw.END, allowed=None
) -> ServiceDocument:
    return ServiceDocument(
        "vault",
        "team",
        [
            VersionSpec(name, 1.0, 1.0, state)
            for name, state in zip(NAMES, states, strict=True)
        ],
        {"audit": WorkspaceSpec([], allowed or ["small", "large"], 1.0)},
        {"default": ClassSpec(["small@1", "large@1"])},
        SessionSpec(on_withdraw=on_withdraw),
    )


def test_token_contains_the_signed_session():
    signer = sessions.SessionSigner(["k1"])
    assert signer.read_token(signer.make_token(SESSION)) == SESSION


@pytest.mark.parametrize(
    ("signing", "reading"),
    [(["old"], ["old", "new"]), (["old"], ["new", "old"]), (["b", "a"], ["b"])],
)
def test_token_stays_valid_after_a_key_rotation(signing, reading):
    token = sessions.SessionSigner(signing).make_token(SESSION)
    assert sessions.SessionSigner(reading).read_token(token) == SESSION


def test_token_of_a_removed_key_is_refused():
    token = sessions.SessionSigner(["old"]).make_token(SESSION)
    with pytest.raises(SessionInvalidError):
        sessions.SessionSigner(["new"]).read_token(token)


def test_other_spelling_of_the_signature_is_refused():
    # Base64 has several spellings of the same bytes. Only the spelling that
    # the signer issued is accepted as the session's token.
    signer = sessions.SessionSigner(["key"])
    refused = 0
    for number in range(40):
        session = sessions.Session(str(number), "w", "s", "m@1", 1, 2)
        token = signer.make_token(session)
        for other in (token.replace("_", "/"), token.replace("-", "+")):
            if other == token:
                continue
            refused += 1
            with pytest.raises(SessionInvalidError):
                signer.read_token(other)
    assert refused > 5


@hypothesis.given(st.data())
def test_changed_token_is_refused(data):
    signer = sessions.SessionSigner(["k1"])
    token = signer.make_token(SESSION)
    place = data.draw(st.integers(0, len(token) - 1))
    other = data.draw(st.characters(codec="utf-8"))
    forged = token[:place] + other + token[place + 1 :]
    hypothesis.assume(forged != token)
    # The last character of the base64 text has unused bits. A change of only
    # these bits decodes to the same signature and so to the same session.
    hypothesis.assume(place != len(token) - 1)
    with pytest.raises(SessionInvalidError):
        signer.read_token(forged)


@pytest.mark.parametrize("token", ["", "my-chat-17", "a.b", "x" * 9000])
def test_id_that_the_caller_chose_is_refused(token):
    with pytest.raises(SessionInvalidError):
        sessions.SessionSigner(["k1"]).read_token(token)


def test_header_takes_precedence_over_metadata():
    assert sessions.get_token({"X-Session": "a"}, {"session": "b"}) == "a"
    assert sessions.get_token({}, {"session": "b"}) == "b"
    assert sessions.get_token({}, None) is None


@pytest.mark.parametrize(
    ("workspace", "service", "now_s", "kind"),
    [
        ("trial", "vault", NOW_S, SessionInvalidError),
        ("audit", "toyshop", NOW_S, SessionInvalidError),
        ("audit", "vault", NOW_S + 3600, SessionExpiredError),
    ],
)
def test_foreign_or_expired_session_is_refused(workspace, service, now_s, kind):
    with pytest.raises(kind):
        sessions.check_session(SESSION, workspace, service, now_s)


def test_used_session_stays_open_and_never_ends_earlier():
    document = make_document()
    version = parse_model_version("large@1")
    args = ("s2", "audit", document, version)
    later = sessions.make_next_session(SESSION, *args, NOW_S + 3000)
    assert later.session_id == "s1"
    assert later.started_at_s == NOW_S
    assert later.expires_at_s == NOW_S + 3000 + 3600
    assert sessions.make_next_session(later, *args, NOW_S) == later


def test_moved_session_is_a_new_one():
    moved = sessions.make_next_session(
        SESSION,
        "s2",
        "audit",
        make_document(),
        parse_model_version("large@2"),
        NOW_S,
    )
    assert (moved.session_id, moved.version) == ("s2", "large@2")


@pytest.mark.parametrize("name", ["large@2", "small", "small@1", "missing"])
def test_request_for_another_version_is_refused(name):
    with pytest.raises(SessionVersionConflictError):
        sessions.resolve_model(SESSION, name, make_document())


def test_workspace_without_access_is_refused():
    with pytest.raises(ModelNotAllowedError):
        sessions.resolve_model(
            SESSION, "vault", make_document(allowed=["small"])
        )


@pytest.mark.parametrize(
    ("others", "target"),
    [
        ((VersionState.ACTIVE, VersionState.ACTIVE), "large"),
        ((VersionState.RETIRED, VersionState.ACTIVE), "vault"),
    ],
)
def test_session_moves_to_its_model_first(others, target):
    document = make_document((VersionState.WITHDRAWN, *others), OnWithdraw.MOVE)
    assert sessions.resolve_model(SESSION, "vault", document) == target


def test_session_without_a_version_to_move_to_ends():
    document = make_document((VersionState.WITHDRAWN,) * 3, OnWithdraw.MOVE)
    with pytest.raises(SessionVersionWithdrawnError):
        sessions.resolve_model(SESSION, "vault", document)


@hypothesis.given(
    st.tuples(*[st.sampled_from(VersionState)] * 3),
    st.sampled_from(OnWithdraw),
    st.sampled_from(["vault", "large", *NAMES]),
    st.sets(st.sampled_from(["large", "small", *NAMES])).map(sorted),
)
def test_session_runs_on_its_version_or_is_refused_or_moved(
    states, on_withdraw, name, allowed
):
    # For every document, a session's request either runs on the session's
    # version, which is then neither withdrawn nor forbidden, or is refused
    # as not run, or moves to another version if the document allows it.
    document = make_document(states, on_withdraw, allowed or ["none"])
    granted = bool({"large", "large@1"} & set(allowed))
    withdrawn = states[0] is VersionState.WITHDRAWN
    try:
        target = sessions.resolve_model(SESSION, name, document)
    except RequestRefusedError as error:
        assert error.run.value == "not_run"
        assert withdrawn or not granted or name not in ("vault", "large")
        return
    assert granted
    assert (target is None) == (not withdrawn)
    assert target is None or on_withdraw is OnWithdraw.MOVE


def test_token_fits_into_a_header():
    token = sessions.SessionSigner(["k1"]).make_token(
        msgspec.structs.replace(SESSION, workspace="w" * 64)
    )
    assert len(token) < sessions.MAX_TOKEN_CHARS

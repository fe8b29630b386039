"""Lookup of an API key's workspace while service documents change."""

from __future__ import annotations

import types

import msgspec
import pytest

from lovagestage.api.authentication import Authenticator
from lovagestage.exceptions import InvalidApiKeyError, NotReadyError
from lovagestage.state.document import get_key_digest
from lovagestage.state.fold import ControlState
from lovagestage.state.records import DocumentChange, encode_record

TRIALS_STUB = types.SimpleNamespace(get_document=lambda document: document)


class FakeControl:
    """Replaces the `ControlReader`: holds the folded state without a log."""

    def __init__(self) -> None:
        self.folded = ControlState()

    @property
    def services(self):
        return self.folded.services

    def publish(self, service: str, base: int, **keys: str) -> None:
        workspaces = {
            name: {
                "key_digests": [get_key_digest(key)],
                "allowed": [],
                "limit_tokens_per_s": 1.0,
            }
            for name, key in keys.items()
        }
        document = {"service": service, "team": "t", "versions": []}
        document |= {"workspaces": workspaces, "classes": {}}
        change = DocumentChange(
            f"{service}-{base}",
            service,
            base,
            "op",
            msgspec.json.encode(document),
        )
        self.folded.apply(self.folded.next_offset, encode_record(change))


class FakeRequest(dict):
    def __init__(self, key: str) -> None:
        super().__init__()
        self.headers = {"Authorization": f"Bearer {key}"}


def find_workspace(authenticator, key: str) -> str:
    return authenticator.identify_caller(FakeRequest(key)).workspace


def test_replaced_key_stops_working_with_the_next_document():
    # Guards against a stale index of keys. A key has leaked and the team
    # replaces it. As soon as the new document is folded, the old key is
    # refused, although it was looked up just before.
    control = FakeControl()
    authenticator = Authenticator(control, TRIALS_STUB)
    with pytest.raises(NotReadyError):
        find_workspace(authenticator, "old")
    control.publish("s", 0, till="old")
    assert find_workspace(authenticator, "old") == "till"
    control.publish("s", 1, till="new")
    assert find_workspace(authenticator, "new") == "till"
    with pytest.raises(InvalidApiKeyError):
        find_workspace(authenticator, "old")


def test_state_that_was_replaced_at_the_same_offset_is_looked_up_anew():
    control = FakeControl()
    authenticator = Authenticator(control, TRIALS_STUB)
    control.publish("s", 0, till="a")
    assert find_workspace(authenticator, "a") == "till"
    control.folded = ControlState()
    control.publish("s", 0, till="b")
    with pytest.raises(InvalidApiKeyError):
        find_workspace(authenticator, "a")


def test_first_service_that_names_a_key_keeps_it():
    control = FakeControl()
    control.publish("one", 0, first="k")
    control.publish("two", 0, second="k")
    assert find_workspace(Authenticator(control, TRIALS_STUB), "k") == "first"

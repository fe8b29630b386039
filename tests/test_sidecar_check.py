"""The sidecar's last check of a version, against an entry that lags."""

from __future__ import annotations

import types

import pytest

from lovagestage.document import VersionState
from lovagestage.fold import ServiceInForce
from lovagestage.hub import Hub
from lovagestage.messages import Dispatch, Refused
from lovagestage.settings import SidecarSettings
from lovagestage.sidecar import Sidecar
from tests.test_sessions import make_document


class Recorder:
    """Stands in for the run table and for the listener."""

    gate = types.SimpleNamespace(incarnation=1)

    def __init__(self) -> None:
        self.running = 0
        self.seen: list[object] = []

    def start(self, peer, dispatch) -> None:
        self.seen.append("started")

    def is_barred_beside(self, dispatch) -> bool:
        return False

    def send(self, peer, message) -> bool:
        assert isinstance(message, Refused)
        self.seen.append((message.code, message.run.value))
        return True


WITHDRAWN = ("version_withdrawn", "not_run")


@pytest.mark.parametrize(
    ("state", "in_session", "seen"),
    [
        (VersionState.ACTIVE, False, "started"),
        (VersionState.ACTIVE, True, "started"),
        (VersionState.RETIRED, False, WITHDRAWN),
        (VersionState.RETIRED, True, "started"),
        (VersionState.WITHDRAWN, False, WITHDRAWN),
        (VersionState.WITHDRAWN, True, WITHDRAWN),
    ],
)
def test_sidecar_decides_by_its_own_document(state, in_session, seen):
    # The entry still has the document in which the version was active and
    # dispatches to it; the sidecar has read the later one.
    document = make_document((state, VersionState.ACTIVE, VersionState.ACTIVE))
    control = types.SimpleNamespace(
        services={"vault": ServiceInForce(2, document, b"", 0, {})}
    )
    recorder = Recorder()
    hub = Hub()
    hub.set_listener(recorder)
    Sidecar(
        None,
        SidecarSettings("http://unused", max_running=1),
        control,
        None,
        recorder,
        None,
        hub,
    )
    dispatch = ("r1", 1, "audit", "vault", "large@1", 0, 9.0, False, b"{}")
    hub.on_message(b"peer", Dispatch(*dispatch, in_session))
    assert recorder.seen == [seen]

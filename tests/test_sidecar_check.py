"""Tests of the sidecar's version check and of its view of the engine."""

from __future__ import annotations

import asyncio
import time
import types

import aiohttp
import pytest

from lab.plain import PlainService
from lab.server import start_app
from lovagestage.adapters.http_plain_service import HttpPlainService
from lovagestage.adapters.protocols import EngineLoad
from lovagestage.bus.hub import Hub
from lovagestage.decisions.upstream_notices import AnswerNotices, Denial
from lovagestage.exceptions import EngineError
from lovagestage.execution.sidecar import Sidecar
from lovagestage.execution.upstream_gate import UpstreamGate
from lovagestage.messages.calls import PlainCall
from lovagestage.messages.runs import Dispatch, Refused
from lovagestage.settings import SidecarSettings
from lovagestage.state.document import VersionState
from lovagestage.state.fold import ServiceInForce
from lovagestage.types import RunState
from tests.test_sessions import make_document


class Recorder:
    """Replaces the run table and the listener, and records their calls."""

    gate = types.SimpleNamespace(incarnation=1)

    def __init__(self) -> None:
        self.running = 0
        self.is_held = False
        self.seen: list[object] = []

    def start(self, peer, dispatch) -> None:
        self.seen.append("started")

    def holds(self, dispatch) -> bool:
        return self.is_held

    def conflicts_with_probe(self, dispatch) -> bool:
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
    # Guards against running a withdrawn version for an entry that is behind.
    # The entry still has the document in which the version was active and
    # dispatches to the version. The sidecar has read the later document.
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
        UpstreamGate(),
        None,
        hub,
    )
    dispatch = ("r1", 1, "audit", "vault", "large@1", 0, 9.0, False, b"{}")
    hub.on_message(b"peer", Dispatch(*dispatch, in_session))
    assert recorder.seen == [seen]


class FlakyEngine:
    """Engine whose load can't be read while `fails` is set."""

    def __init__(self):
        self.fails = False

    async def get_load(self):
        if self.fails:
            raise EngineError("The connection was closed.", RunState.NOT_RUN)
        return EngineLoad(0, 0, 8, 0.0, 0.0)

    async def get_versions(self):
        return ["large@1"]


async def test_one_failed_load_request_does_not_hide_an_engine(monkeypatch):
    # The connection to the engine closes while its load is read, although
    # the engine still serves requests. If the sidecar dropped the versions
    # immediately, entries would answer 503 until the next successful read
    # when the other upstream is leaving.
    monkeypatch.setattr("lovagestage.execution.sidecar.ENGINE_TIMEOUT_S", 0.2)
    engine, hub = FlakyEngine(), Hub()
    hub.set_listener(Recorder())
    sidecar_settings = SidecarSettings("http://unused", max_running=1)
    sidecar = Sidecar(
        None,
        sidecar_settings,
        None,
        engine,
        Recorder(),
        UpstreamGate(),
        None,
        hub,
    )
    sidecar._send_heartbeats = lambda: None
    await sidecar._refresh_load()
    engine.fails = True
    await sidecar._refresh_load()
    assert sidecar._versions == ["large@1"]
    await asyncio.sleep(0.3)
    await sidecar._refresh_load()
    assert sidecar._versions == []
    engine.fails = False
    await sidecar._refresh_load()
    assert sidecar._versions == ["large@1"]


def make_gated_sidecar(notices):
    """Makes a sidecar whose upstream has answered with these notices."""
    document = make_document((VersionState.ACTIVE,) * 3)
    control = types.SimpleNamespace(
        services={"vault": ServiceInForce(2, document, b"", 0, {})}
    )
    recorder, hub, gate = Recorder(), Hub(), UpstreamGate()
    hub.set_listener(recorder)
    role = SidecarSettings("http://unused", max_running=4)
    sidecar = Sidecar(None, role, control, None, recorder, gate, None, hub)
    gate.record_answer(notices, time.monotonic())
    return sidecar, recorder, hub


def send_dispatch(hub, name):
    fields = (1, "audit", "vault", "large@1", 0, 9.0, False, b"{}")
    hub.on_message(b"peer", Dispatch(name, *fields, False))


REFUSED = ("no_capacity", "not_run")


@pytest.mark.parametrize(
    ("notices", "expected"),
    [
        (AnswerNotices(leaving=("1",)), [REFUSED] * 3),
        (AnswerNotices(rest=("5",), is_refusal=True), [REFUSED] * 3),
        (AnswerNotices(rest=("5",)), ["started"] * 3),
        (AnswerNotices(request_limit=("2",)), ["started"] * 2 + [REFUSED]),
        (AnswerNotices(request_limit=("x",), leaving=("?",)), ["started"] * 3),
    ],
)
def test_sidecar_obeys_what_its_upstream_says_of_itself(notices, expected):
    # Guards against requests from any entry to an upstream that has said that
    # it leaves, rests or accepts only so many requests.
    _, recorder, hub = make_gated_sidecar(notices)
    for name in ("r1", "r2", "r3"):
        send_dispatch(hub, name)
    assert recorder.seen == expected


def test_sidecar_publishes_what_its_upstream_says_of_itself():
    leaving, *_ = make_gated_sidecar(AnswerNotices(leaving=("1",)))
    assert leaving._get_current_state().leaving
    resting, *_ = make_gated_sidecar(
        AnswerNotices(rest=("5",), is_refusal=True)
    )
    assert resting._get_current_state().full
    assert not resting._get_current_state().leaving


def test_repeated_dispatch_is_not_refused_while_the_upstream_rests():
    # Guards against "not run" as the answer to the repeat of a dispatch whose
    # run is in progress: the entry would run the request a second time.
    notices = AnswerNotices(rest=("5",), is_refusal=True)
    _, recorder, hub = make_gated_sidecar(notices)
    recorder.is_held = True
    send_dispatch(hub, "r1")
    assert recorder.seen == ["started"]


async def test_engine_that_can_not_be_reached_is_another_one_next_time():
    engine, hub, gate = FlakyEngine(), Hub(), UpstreamGate()
    hub.set_listener(Recorder())
    role = SidecarSettings("http://unused", max_running=1)
    sidecar = Sidecar(None, role, None, engine, Recorder(), gate, None, hub)
    sidecar._send_heartbeats = lambda: None
    gate.record_answer(AnswerNotices(leaving=("1",)), time.monotonic())
    assert gate.check().denial is Denial.LEAVING
    engine.fails = True
    await sidecar._refresh_load()
    assert gate.check().denial is None


async def test_adapters_read_the_notices_of_upstreams():
    gate, service = UpstreamGate(), PlainService()
    service.faults.update({"notices": {"X-Leaving": "1"}})
    runner, port = await start_app(service.app(), "127.0.0.1", 0)
    async with aiohttp.ClientSession() as session:
        adapter = HttpPlainService(
            session, f"http://127.0.0.1:{port}", 1000, gate.record_answer
        )
        await adapter.call(PlainCall("GET", "/lookup", b""), [])
    await runner.cleanup()
    assert gate.check().denial is Denial.LEAVING

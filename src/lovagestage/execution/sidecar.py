"""The sidecar process, which makes the last check before a request runs."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import time
from collections.abc import Coroutine

import mode
import msgspec
import xxhash

from lovagestage.adapters.protocols import Engine, EngineLoad, PlainService
from lovagestage.bus.hub import Hub
from lovagestage.bus.transport import PeerId
from lovagestage.control.reader import ControlReader
from lovagestage.decisions.plain_calls import make_pool_version
from lovagestage.decisions.retries import RETRY_AFTER_S
from lovagestage.decisions.upstream_notices import PERMITTED, Denial
from lovagestage.exceptions import (
    EngineError,
    ModelNotAllowedError,
    RequestRefusedError,
    RouteNotAllowedError,
)
from lovagestage.execution.permissions import check_pool, check_version
from lovagestage.execution.runs import RunTable
from lovagestage.execution.upstream_gate import UpstreamGate
from lovagestage.messages.envelope import (
    DumpAnswer,
    DumpRequest,
    Heartbeat,
    Hello,
    Message,
)
from lovagestage.messages.runs import Ack, Attach, Cancel, Dispatch, Refused
from lovagestage.settings import Settings, SidecarSettings
from lovagestage.state.document import ServiceDocument
from lovagestage.timers import TimerService
from lovagestage.types import (
    PoolId,
    RunState,
    ServiceId,
    VmId,
    ZoneId,
    parse_model_version,
)

_log = logging.getLogger(__name__)

EXPIRY_INTERVAL_S = 1.0
ENGINE_TIMEOUT_S = 2.0
"""Time in seconds after which an engine whose state can't be read is reported
to have no versions; it equals the time that an entry waits for a sidecar that
sends nothing. A single read may fail on a connection that the engine has just
closed, and entries would refuse requests until the next read although the
engine serves them."""
_RETRYABLE_CODES = (
    "no_capacity",
    "version_withdrawn",
    "not_ready",
    "dispatch_lost",
    "suspect_waiting",
)
"""Codes of refusals that a retry may overcome: another upstream may have
capacity, and the entry will have read the document that this process has."""
_DENIAL_TEXTS = {
    Denial.COLD: "The upstream is warming up.",
    Denial.LEAVING: "The upstream is leaving.",
    Denial.LIMITED: "The upstream's request limit is used up.",
    Denial.RESTING: "The upstream has asked for a rest.",
}
_NO_LOAD = EngineLoad(0, 0, 0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True)
class _PublishedState:
    """State that is published to entries immediately when it changes."""

    leaving: bool
    full: bool
    is_up: bool
    versions: tuple[str, ...]


def get_state_hash(vm: VmId, zone: ZoneId, versions: list[str]) -> int:
    """Returns the hash of the state that a heartbeat may omit; never 0.

    Args:
        vm: VM of the sidecar.
        zone: Availability zone of the sidecar.
        versions: Versions that the engine has loaded.
    """
    text = "\0".join((vm, zone, *versions))
    return int(xxhash.xxh32_intdigest(text.encode())) or 1


def omit_known_state(heartbeat: Heartbeat, hello: Hello) -> Heartbeat:
    """Omits the state that the asking entry already knows.

    Args:
        heartbeat: The complete heartbeat.
        hello: Message of the entry, with the hash of the state that it knows.
    """
    if hello.known_state != heartbeat.state_hash:
        return heartbeat
    return msgspec.structs.replace(
        heartbeat, vm=VmId(""), zone=ZoneId(""), versions=[], shortened=True
    )


class Sidecar(mode.Service):
    """Runs requests at one upstream for any number of entries.

    Args:
        settings: Settings of the process.
        role: The section of the settings for sidecars.
        control: Configuration in force.
        engine: The engine or plain service of the upstream.
        runs: Runs at the upstream.
        gate: Applies what the upstream says of itself.
        timers: Timer service.
        hub: Delivers the messages that arrive at the sidecar's listener.
    """

    def __init__(
        self,
        settings: Settings,
        role: SidecarSettings,
        control: ControlReader,
        engine: Engine | PlainService,
        runs: RunTable,
        gate: UpstreamGate,
        timers: TimerService,
        hub: Hub,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._role = role
        self._control = control
        self._engine = engine
        self._timers = timers
        self._sequence = 0
        self._leaving = False
        self._load = _NO_LOAD
        self._versions: list[str] = []
        self._is_up = False
        self._engine_last_read_s = time.monotonic()
        self._published = _PublishedState(False, False, False, ())
        self._peers: dict[PeerId, float] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._hub = hub
        self._runs = runs
        self._gate = gate
        hub.register(Hello, self._on_hello)
        hub.register(Dispatch, self._on_dispatch)
        hub.register(Attach, self._on_attach)
        hub.register(Ack, self._on_ack)
        hub.register(Cancel, self._on_cancel)
        hub.register(DumpRequest, self._on_dump_request)

    async def on_start(self) -> None:
        """Subscribes to the timers."""
        bus = self._settings.bus
        self._timers.subscribe(bus.heartbeat_interval_s, self._on_heartbeat)
        self._timers.subscribe(EXPIRY_INTERVAL_S, self._on_expiry)

    async def drain(self) -> None:
        """Refuses new work and waits for runs in progress, for a planned stop.

        The wait ends after the setting `drain_timeout_s`.
        """
        self._leaving = True
        self._send_heartbeats()
        _log.info("drain_started", extra={"running": self._runs.running})
        try:
            await asyncio.wait_for(
                self._runs.wait_until_delivered(),
                self._role.drain_timeout_s,
            )
        except TimeoutError:
            _log.warning("drain_timeout", extra={"running": self._runs.running})

    def _on_hello(self, peer: PeerId, message: Message) -> None:
        assert isinstance(message, Hello)
        self._peers[peer] = time.monotonic()
        heartbeat = self._make_heartbeat(message.sequence)
        self._hub.send(peer, omit_known_state(heartbeat, message))

    def _on_attach(self, peer: PeerId, message: Message) -> None:
        assert isinstance(message, Attach)
        if message.incarnation in (0, self._runs.gate.incarnation):
            self._runs.attach(peer, message)
            return
        # The run was sent to an earlier process of this sidecar. This process
        # does not know what the earlier one did with it.
        self._hub.send(
            peer,
            Refused(
                message.request_id,
                message.attempt,
                "upstream_lost",
                "The sidecar has restarted since the request was sent to it.",
                RunState.UNKNOWN,
            ),
        )

    def _on_ack(self, peer: PeerId, message: Message) -> None:
        assert isinstance(message, Ack)
        self._runs.acknowledge(peer, message)

    def _on_cancel(self, peer: PeerId, message: Message) -> None:
        del peer
        assert isinstance(message, Cancel)
        self._start_task(self._runs.cancel(message))

    def _on_dump_request(self, peer: PeerId, message: Message) -> None:
        del message
        self._hub.send(peer, DumpAnswer(self._make_dump()))

    def _on_dispatch(self, peer: PeerId, dispatch: Message) -> None:
        assert isinstance(dispatch, Dispatch)
        # A repeated dispatch sends the upstream nothing, and to refuse it as
        # not run would be wrong.
        is_repeated = self._runs.holds(dispatch)
        permission = PERMITTED if is_repeated else self._gate.check()
        reason = self._get_refusal(dispatch, permission.denial)
        if reason is None:
            if not is_repeated:
                self._gate.record_sent()
            self._runs.start(peer, dispatch)
            return
        if dispatch.keyed:
            self._runs.forbid(dispatch)
        code, text = reason
        retry_after_s = max(RETRY_AFTER_S, math.ceil(permission.wait_s or 0.0))
        self._hub.send(
            peer,
            Refused(
                dispatch.request_id,
                dispatch.attempt,
                code,
                text,
                RunState.NOT_RUN,
                retry_after_s if code in _RETRYABLE_CODES else None,
            ),
        )

    def _get_refusal(
        self, dispatch: Dispatch, denial: Denial | None
    ) -> tuple[str, str] | None:
        if dispatch.incarnation not in (0, self._runs.gate.incarnation):
            return "dispatch_lost", "The sidecar has restarted."
        if self._leaving:
            return "no_capacity", "The upstream is leaving."
        if denial is not None:
            return "no_capacity", _DENIAL_TEXTS[denial]
        if self._runs.running >= self._role.max_running:
            return "no_capacity", "The upstream is full."
        if self._runs.conflicts_with_probe(dispatch):
            return "suspect_waiting", "A request is being probed here."
        service = self._control.services.get(ServiceId(dispatch.service))
        if service is None:
            return "not_ready", "The sidecar has no document of the service."
        try:
            _check_permissions(service.document, dispatch, self._role.pool)
        except RequestRefusedError as error:
            return error.code, error.message
        return None

    def _on_heartbeat(self) -> None:
        self._start_task(self._refresh_load())
        self._remove_inactive_peers()
        if self._get_current_state() != self._published:
            self._send_heartbeats()

    def _on_expiry(self) -> None:
        self._runs.on_timer()

    async def _refresh_load(self) -> None:
        previous = (self._versions, self._is_up)
        if isinstance(self._engine, PlainService):
            self._is_up = await self._engine.is_up()
            if not self._is_up:
                self._gate.reset()
        else:
            await self._refresh_engine(self._engine)
        if (self._versions, self._is_up) != previous:
            # Until the next heartbeat, entries would otherwise refuse a version
            # that is loaded, or send requests for one that is not.
            self._send_heartbeats()

    async def _refresh_engine(self, engine: Engine) -> None:
        try:
            self._load = await engine.get_load()
            self._versions = await engine.get_versions()
            self._engine_last_read_s = time.monotonic()
        except EngineError as error:
            # The engine may have stopped, and the next answer may come from
            # another process.
            self._gate.reset()
            age_s = time.monotonic() - self._engine_last_read_s
            if age_s > ENGINE_TIMEOUT_S:
                self._versions = []
            _log.warning(
                "engine_load_failed",
                extra={"error": error.message, "age_s": round(age_s, 1)},
            )

    def _send_heartbeats(self) -> None:
        self._published = self._get_current_state()
        heartbeat = self._make_heartbeat()
        for peer in list(self._peers):
            if not self._hub.send(peer, heartbeat):
                del self._peers[peer]
                self._runs.remove_peer(peer)

    def _remove_inactive_peers(self) -> None:
        # An entry with an open run sends heartbeats often: if it sends none, it
        # no longer reads. An idle entry has no run open and sends them rarely.
        bus = self._settings.bus
        now_s = time.monotonic()
        for peer, last_received_s in list(self._peers.items()):
            inactive_s = now_s - last_received_s
            if inactive_s > bus.silent_after_s:
                self._runs.remove_peer(peer)
            if inactive_s > bus.silent_after_s + bus.idle_heartbeat_interval_s:
                del self._peers[peer]

    def _get_current_state(self) -> _PublishedState:
        is_full = self._get_shown_running() >= self._role.max_running
        versions = tuple(self._versions)
        return _PublishedState(
            self._is_leaving(), is_full, self._is_up, versions
        )

    def _is_leaving(self) -> bool:
        return self._leaving or self._gate.check().denial is Denial.LEAVING

    def _get_shown_running(self) -> int:
        """Returns the number of runs that is published to entries.

        An upstream that accepts nothing now is published as full, so that
        entries choose another one.
        """
        if self._gate.check().denial is not None:
            return max(self._runs.running, self._role.max_running)
        return self._runs.running

    def _make_heartbeat(self, answered_sequence: int = 0) -> Heartbeat:
        self._sequence += 1
        return Heartbeat(
            self._settings.vm,
            self._settings.zone,
            self._runs.gate.incarnation,
            self._sequence,
            self._is_leaving(),
            self._versions,
            self._get_shown_running(),
            self._load.waiting,
            self._role.max_running,
            self._load.token_interval_ms,
            self._control.folded.next_offset,
            self._runs.get_clock_ms(),
            answered_sequence,
            self._load.max_batch,
            self._role.pool,
            self._is_up,
            get_state_hash(
                self._settings.vm, self._settings.zone, self._versions
            ),
        )

    def _make_dump(self) -> bytes:
        return msgspec.json.encode(
            {
                "role": "sidecar",
                "vm": self._settings.vm,
                "zone": self._settings.zone,
                "leaving": self._leaving,
                "versions": self._versions,
                "pool": self._role.pool,
                "is_up": self._is_up,
                "runs": self._runs.get_sizes(),
                "peers": len(self._peers),
                "control": self._control.get_dump(),
            }
        )

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _check_permissions(
    document: ServiceDocument, dispatch: Dispatch, pool: PoolId
) -> None:
    if pool:
        if dispatch.version != str(make_pool_version(pool)):
            raise RouteNotAllowedError(
                f"The upstream of pool {pool!r} is no {dispatch.version!r}."
            )
        check_pool(document, dispatch.workspace, pool)
        return
    version = parse_model_version(dispatch.version)
    if version is None:
        raise ModelNotAllowedError(f"{dispatch.version!r} is no version.")
    check_version(
        document, dispatch.workspace, version, in_session=dispatch.in_session
    )

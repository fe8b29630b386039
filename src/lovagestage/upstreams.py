"""An entry's connections to sidecars, from the VM list and heartbeats."""

from __future__ import annotations

import dataclasses
import logging
import time
from collections.abc import Callable

import mode
import zmq

from lovagestage.adapters import Vm, VmList, VmListError
from lovagestage.messages import Heartbeat, Hello, Message
from lovagestage.routing import UpstreamView
from lovagestage.settings import BusSettings
from lovagestage.timers import TimerService
from lovagestage.transport import Connection
from lovagestage.types import Role, VmId, VmState

_log = logging.getLogger(__name__)

VM_LIST_INTERVAL_S = 1.0


@dataclasses.dataclass
class Upstream:
    """One sidecar as this entry sees it.

    Attributes:
        vm: Its place in the VM list.
        connection: The open connection.
        heartbeat: The latest heartbeat; None before the first.
        heard_s: Monotonic time of the latest frame, over reconnections.
        connected_s: Monotonic time at which the connection was opened.
        key_index: Which accepted key the connection uses.
        open_requests: Requests of this entry that run there.
    """

    vm: Vm
    connection: Connection
    heartbeat: Heartbeat | None = None
    heard_s: float = 0.0
    connected_s: float = 0.0
    key_index: int = 0
    open_requests: int = 0


class UpstreamTable(mode.Service):
    """Connects to every sidecar that the VM list names.

    Args:
        context: The process's zmq context.
        settings: Keys and heartbeat times.
        own: Name and incarnation that the entry shows.
        vms: The platform's list.
        timers: Timer service.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        settings: BusSettings,
        own: Hello,
        vms: VmList,
        timers: TimerService,
    ) -> None:
        super().__init__()
        self.upstreams: dict[VmId, Upstream] = {}
        self._context = context
        self._settings = settings
        self._own = own
        self._vms = vms
        self._timers = timers
        self._on_message: Callable[[VmId, Message], None] = _ignore
        self._on_reconnect: Callable[[VmId], None] = lambda _: None

    def subscribe(
        self,
        on_message: Callable[[VmId, Message], None],
        on_reconnect: Callable[[VmId], None],
    ) -> None:
        """Sets who gets messages, and who hears of replaced connections."""
        self._on_message = on_message
        self._on_reconnect = on_reconnect

    async def on_start(self) -> None:
        """Subscribes to the timers."""
        self._timers.subscribe(
            self._settings.heartbeat_interval_s, self._on_heartbeat_due
        )

    async def on_stop(self) -> None:
        """Closes all connections."""
        for upstream in self.upstreams.values():
            upstream.connection.close()

    def has_heard_all(self) -> bool:
        """Whether each listed sidecar has sent a heartbeat."""
        return bool(self.upstreams) and all(
            upstream.heartbeat is not None and upstream.heartbeat.versions
            for upstream in self.upstreams.values()
        )

    def get_views(self) -> list[UpstreamView]:
        """Upstreams that take new work."""
        horizon_s = time.monotonic() - self._settings.silent_after_s
        return [
            _make_view(upstream, upstream.heartbeat)
            for upstream in self.upstreams.values()
            if upstream.heartbeat is not None
            and not upstream.heartbeat.leaving
            and upstream.vm.state is VmState.LIVE
            and upstream.heard_s > horizon_s
        ]

    def send(self, vm: VmId, message: Message) -> bool:
        """Sends to a sidecar; False where it certainly was not sent."""
        upstream = self.upstreams.get(vm)
        return upstream is not None and upstream.connection.send(message)

    def get_dump(self) -> list[dict[str, object]]:
        """State of each connection, for the dump."""
        now_s = time.monotonic()
        return [
            {
                "vm": name,
                "zone": upstream.vm.zone,
                "state": upstream.vm.state.value,
                "leaving": bool(
                    upstream.heartbeat and upstream.heartbeat.leaving
                ),
                "heard_s_ago": round(now_s - upstream.heard_s, 3),
                "open_requests": upstream.open_requests,
            }
            for name, upstream in self.upstreams.items()
        ]

    @mode.Service.task
    async def _follow_vm_list(self) -> None:
        while not self.should_stop:
            try:
                self._apply_vm_list(await self._vms.get_vms())
            except VmListError as error:
                # The last list stays in use: heartbeats tell more than it.
                _log.warning("vm_list_failed", extra={"error": error.message})
            await self.sleep(VM_LIST_INTERVAL_S)

    def _apply_vm_list(self, vms: list[Vm]) -> None:
        listed = {vm.vm: vm for vm in vms if vm.role is Role.SIDECAR}
        for name, vm in listed.items():
            known = self.upstreams.get(name)
            if known is None or known.vm.bus != vm.bus:
                self._connect(vm)
            else:
                known.vm = vm
        for name, upstream in list(self.upstreams.items()):
            if name not in listed and upstream.open_requests == 0:
                upstream.connection.close()
                del self.upstreams[name]

    def _connect(self, vm: Vm, key_index: int = 0) -> None:
        previous = self.upstreams.get(vm.vm)
        if previous is not None:
            previous.connection.close()
        keys = self._settings.accepted_keys
        connection = Connection(
            self._context,
            self._settings,
            vm.bus,
            keys[key_index % len(keys)],
            lambda message: self._on_frame(vm.vm, message),
        )
        connection.send(self._own)
        upstream = Upstream(
            vm,
            connection,
            heard_s=previous.heard_s if previous else time.monotonic(),
            connected_s=time.monotonic(),
            key_index=key_index,
            open_requests=previous.open_requests if previous else 0,
        )
        self.upstreams[vm.vm] = upstream
        if previous is not None:
            self._on_reconnect(vm.vm)

    def _on_frame(self, vm: VmId, message: Message) -> None:
        upstream = self.upstreams.get(vm)
        if upstream is None:
            return
        upstream.heard_s = time.monotonic()
        if not isinstance(message, Heartbeat):
            self._on_message(vm, message)
        elif _is_newer(message, upstream.heartbeat):
            upstream.heartbeat = message

    def _on_heartbeat_due(self) -> None:
        now_s = time.monotonic()
        for upstream in list(self.upstreams.values()):
            latest_s = max(upstream.heard_s, upstream.connected_s)
            if now_s - latest_s > self._settings.silent_after_s:
                # Something between the two ends may have lost track of the
                # connection: it stays open and nothing arrives. A new one
                # works, and open runs are read on from their last chunk. The
                # next accepted key is tried, for a peer that has rotated.
                _log.warning(
                    "connection_silent", extra={"upstream": upstream.vm.vm}
                )
                self._connect(upstream.vm, upstream.key_index + 1)
            else:
                upstream.connection.send(self._own)


def _is_newer(message: Heartbeat, known: Heartbeat | None) -> bool:
    if known is None:
        return True
    return (message.incarnation, message.sequence) > (
        known.incarnation,
        known.sequence,
    )


def _make_view(upstream: Upstream, heartbeat: Heartbeat) -> UpstreamView:
    return UpstreamView(
        upstream.vm.vm,
        upstream.vm.zone,
        frozenset(heartbeat.versions),
        max(heartbeat.running, upstream.open_requests),
        heartbeat.max_running,
    )


def _ignore(vm: VmId, message: Message) -> None:
    del vm, message

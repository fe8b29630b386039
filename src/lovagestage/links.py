"""Connections from one process to all processes of a role.

Which VMs exist comes from the platform's list, which lags; whether one is
there now comes from what is heard on its connection.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import logging
import time
from collections.abc import Callable

import mode
import msgspec
import zmq

from lovagestage.adapters import Vm
from lovagestage.exceptions import CodecError
from lovagestage.messages import (
    Ask,
    Heartbeat,
    Hello,
    Message,
    Reply,
    decode_message,
    encode_message,
)
from lovagestage.settings import BusSettings
from lovagestage.timers import TimerService
from lovagestage.transport import (
    Connection,
    ConnectionEvent,
    is_refused,
)
from lovagestage.types import Role, VmId, VmState

_log = logging.getLogger(__name__)


@dataclasses.dataclass
class Link:
    """One connection.

    Attributes:
        vm: The other process's place in the VM list.
        connection: The open connection.
        heard_s: Monotonic time at which a heartbeat of this process was last
            answered, over reconnections.
        connected_s: Monotonic time at which the connection was opened.
        key_index: Which accepted key the connection uses.
        in_use: Number of requests that keep the link from being closed.
        answered: Whether this connection has carried a heartbeat both ways.
        gone: The process's port refuses connections.
        sequence: Number of the latest heartbeat sent.
        heard_sequence: Number of the latest heartbeat answered.
    """

    vm: Vm
    connection: Connection
    heard_s: float = 0.0
    connected_s: float = 0.0
    key_index: int = 0
    in_use: int = 0
    answered: bool = False
    gone: bool = False
    sequence: int = 0
    heard_sequence: int = 0


class LinkTable(mode.Service):
    """Connections to every process of one role, but this one.

    Args:
        role: Role of the processes to connect to.
        context: The process's zmq context.
        settings: Keys and heartbeat times.
        own: Name and incarnation that this process shows.
        timers: Timer service.
    """

    def __init__(
        self,
        role: Role,
        context: zmq.Context[zmq.Socket[bytes]],
        settings: BusSettings,
        own: Hello,
        timers: TimerService,
    ) -> None:
        super().__init__()
        self.links: dict[VmId, Link] = {}
        self.bus = settings
        self._role = role
        self._context = context
        self._own = own
        self._timers = timers
        self._on_message: Callable[[VmId, Message], None] = _ignore
        self._on_reconnect: Callable[[VmId], None] = lambda _: None
        self._on_gone: Callable[[VmId], None] = lambda _: None
        self._probes: dict[VmId, asyncio.Task[None]] = {}
        self._call_ids = itertools.count(1)
        self._calls: dict[int, asyncio.Future[Message]] = {}

    def subscribe(
        self,
        on_message: Callable[[VmId, Message], None],
        on_reconnect: Callable[[VmId], None],
        on_gone: Callable[[VmId], None],
    ) -> None:
        """Sets who gets messages, and who hears of connections.

        Args:
            on_message: Gets each message.
            on_reconnect: Called when a connection was replaced.
            on_gone: Called when a process has certainly ended.
        """
        self._on_message = on_message
        self._on_reconnect = on_reconnect
        self._on_gone = on_gone

    async def on_start(self) -> None:
        """Subscribes to the timers."""
        self._timers.subscribe(
            self.bus.heartbeat_interval_s, self._on_heartbeat_due
        )

    async def on_stop(self) -> None:
        """Closes all connections."""
        for probe in self._probes.values():
            probe.cancel()
        for link in self.links.values():
            link.connection.close()

    def send(self, vm: VmId, message: Message) -> bool:
        """Sends to a process; False where it certainly was not sent."""
        link = self.links.get(vm)
        return link is not None and link.connection.send(message)

    async def ask(
        self, vm: VmId, question: Message, timeout_s: float
    ) -> Message | None:
        """Asks a process; None where no answer came in time."""
        call_id = next(self._call_ids)
        future = asyncio.get_running_loop().create_future()
        self._calls[call_id] = future
        try:
            if not self.send(vm, Ask(call_id, encode_message(question))):
                return None
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return None
        finally:
            del self._calls[call_id]

    def is_heard(self, link: Link) -> bool:
        """Whether the process answered lately and is not known to be gone."""
        silent_s = time.monotonic() - link.heard_s
        return not link.gone and silent_s <= self.bus.silent_after_s

    def is_lost(self, link: Link) -> bool:
        """Whether the process is gone, or silent over reconnections."""
        silent_s = time.monotonic() - link.heard_s
        return link.gone or silent_s > self.bus.lost_after_s

    def get_live(self) -> list[VmId]:
        """Processes that are listed live and heard lately."""
        return [
            name
            for name, link in self.links.items()
            if link.vm.state is VmState.LIVE and self.is_heard(link)
        ]

    def get_dump(self) -> list[dict[str, object]]:
        """State of each connection, for the dump."""
        now_s = time.monotonic()
        return [
            {
                "vm": name,
                "zone": link.vm.zone,
                "state": link.vm.state.value,
                "heard_s_ago": round(now_s - link.heard_s, 3),
                "in_use": link.in_use,
                "answered": link.answered,
                "gone": link.gone,
            }
            for name, link in self.links.items()
        ]

    def apply_vm_list(self, vms: list[Vm]) -> None:
        """Connects to new VMs and closes links of those gone and unused."""
        listed = {
            vm.vm: vm
            for vm in vms
            if vm.role is self._role and vm.vm != self._own.vm
        }
        for name, vm in listed.items():
            known = self.links.get(name)
            if known is None or known.vm.bus != vm.bus:
                self._connect(vm)
            else:
                known.vm = vm
        for name, link in list(self.links.items()):
            if name not in listed and link.in_use == 0:
                link.connection.close()
                del self.links[name]
                self.on_removed(name)

    def on_frame(self, vm: VmId, message: Message) -> None:
        """Handles a message other than `Reply`; subclasses may take some."""
        self._on_message(vm, message)

    def on_removed(self, vm: VmId) -> None:
        """Called when a VM's link is gone; subclasses forget it."""

    def _connect(self, vm: Vm, key_index: int = 0) -> None:
        previous = self.links.get(vm.vm)
        if previous is not None:
            previous.connection.close()
        keys = self.bus.accepted_keys
        connection = Connection(
            self._context,
            self.bus,
            vm.bus,
            keys[key_index % len(keys)],
            lambda message: self._on_any_frame(vm.vm, message),
            lambda event: self._on_event(vm.vm, event),
        )
        now_s = time.monotonic()
        link = Link(vm, connection, now_s, now_s, key_index)
        if previous is not None:
            link.heard_s = previous.heard_s
            link.in_use = previous.in_use
            link.gone = previous.gone
            link.sequence = previous.sequence
            link.heard_sequence = previous.sequence
        self.links[vm.vm] = link
        self._send_hello(link)
        if previous is not None:
            self._on_reconnect(vm.vm)

    def _on_any_frame(self, vm: VmId, message: Message) -> None:
        link = self.links.get(vm)
        if link is None:
            return
        if isinstance(message, Hello | Heartbeat):
            self._note_answer(link, message.heard_sequence)
        if isinstance(message, Reply):
            self._on_reply(message)
        else:
            self.on_frame(vm, message)

    def _note_answer(self, link: Link, heard_sequence: int) -> None:
        # Frames from the other side prove one direction only. A connection
        # that swallows what this side sends would look well for ever while
        # requests vanish on it; an answered heartbeat proves both.
        if heard_sequence <= link.heard_sequence:
            return
        link.heard_sequence = heard_sequence
        link.heard_s = time.monotonic()
        link.answered = True
        link.gone = False

    def _send_hello(self, link: Link) -> None:
        link.sequence += 1
        link.connection.send(
            msgspec.structs.replace(self._own, sequence=link.sequence)
        )

    def _on_event(self, vm: VmId, event: ConnectionEvent) -> None:
        link = self.links.get(vm)
        if link is None:
            return
        if event is ConnectionEvent.OPENED:
            self._send_hello(link)
            return
        if vm not in self._probes:
            self._probes[vm] = asyncio.create_task(self._probe(vm))
        if link.answered:
            self._connect(link.vm, link.key_index)

    async def _probe(self, vm: VmId) -> None:
        # A killed process is noticed within milliseconds this way, where its
        # silence would take seconds to tell from a connection's.
        try:
            link = self.links.get(vm)
            if link is None or link.gone or not await is_refused(link.vm.bus):
                return
            link = self.links.get(vm)
            if link is not None and not link.gone:
                link.gone = True
                _log.warning("process_gone", extra={"peer": vm})
                self._on_gone(vm)
        finally:
            del self._probes[vm]

    def _on_reply(self, reply: Reply) -> None:
        future = self._calls.get(reply.call_id)
        if future is None or future.done():
            return
        try:
            future.set_result(decode_message(reply.payload))
        except CodecError as error:
            _log.warning("undecodable_reply", extra={"error": error.message})

    def _on_heartbeat_due(self) -> None:
        now_s = time.monotonic()
        for link in list(self.links.values()):
            latest_s = max(link.heard_s, link.connected_s)
            if now_s - latest_s > self.bus.silent_after_s:
                # Something between the two ends may have lost track of the
                # connection: it stays open and nothing arrives. A new one
                # works, and open runs are read on from their last chunk. The
                # next accepted key is tried, for a peer that has rotated.
                _log.warning("connection_silent", extra={"peer": link.vm.vm})
                self._connect(link.vm, link.key_index + 1)
            elif not link.gone:
                self._send_hello(link)


def _ignore(vm: VmId, message: Message) -> None:
    del vm, message

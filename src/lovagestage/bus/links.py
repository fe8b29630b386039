"""Connections from one process to processes of a role.

Which VMs exist comes from the platform's list, which lags; whether one is
there now comes from what is heard on its connection. Connections to a subset
are kept; any other is made when something is sent, and closed when idle.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import mode
import msgspec
import zmq

from lovagestage.adapters.protocols import Vm
from lovagestage.bus.link import Link
from lovagestage.bus.questions import Questions
from lovagestage.bus.transport import Connection, ConnectionEvent, is_refused
from lovagestage.decisions.subsets import ProcessLocation, choose_subset
from lovagestage.messages.envelope import (
    Ask,
    Heartbeat,
    Hello,
    Message,
    Reply,
)
from lovagestage.messages.runs import Attach, Dispatch
from lovagestage.settings import BusSettings
from lovagestage.timers import TimerService
from lovagestage.types import Role, VmId, VmState, ZoneId

_log = logging.getLogger(__name__)

_PROBED = (Ask, Attach, Dispatch)
_LEFT_OUT = VmId("")


class LinkTable(mode.Service):
    """Connections to processes of one role, but this one.

    Args:
        role: Role of the processes to connect to.
        context: The process's zmq context.
        settings: Keys and heartbeat times.
        own: Name and incarnation that this process shows.
        timers: Timer service.
        zone: This process's availability zone.
        subset_size: Processes that it picks to stay connected to.
    """

    def __init__(
        self,
        role: Role,
        context: zmq.Context[zmq.Socket[bytes]],
        settings: BusSettings,
        own: Hello,
        timers: TimerService,
        zone: ZoneId,
        subset_size: int,
    ) -> None:
        super().__init__()
        self._own_place = ProcessLocation(own.vm, zone)
        self._subset_size = subset_size
        self._listed: dict[VmId, Vm] = {}
        self._entries: frozenset[VmId] = frozenset()
        self._subset: frozenset[VmId] = frozenset()
        self._extra: frozenset[VmId] = frozenset()
        self._all_since_s: float | None = None
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
        self._questions = Questions()

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
        link = self.links.get(vm) or self._connect_on_demand(vm)
        if link is None:
            return False
        now_s = time.monotonic()
        link.used_s = now_s
        # An idle connection may have gone silent since its last heartbeat.
        # The next would come seconds later, and its silence be noticed only
        # then, with a request on it; asked now, it shows as fast as ever.
        interval_s = self.bus.heartbeat_interval_s
        if isinstance(message, _PROBED) and now_s - link.hello_s >= interval_s:
            self._send_hello(link)
        return link.connection.send(message)

    def get_kept(self) -> list[VmId]:
        """Processes of the subset."""
        return [name for name, link in self.links.items() if link.kept]

    def get_listed(self) -> list[VmId]:
        """All processes of the role, connected to or not."""
        return list(self._listed)

    def get_presumed(self) -> list[VmId]:
        """All listed processes but those of the subset that are silent.

        Nothing is heard of a process beside the subset; it counts as there
        until the list drops it.
        """
        silent = set(self.get_kept()) - set(self.get_live())
        return [vm for vm in self._listed if vm not in silent]

    @property
    def has_all(self) -> bool:
        """Whether all processes of the role are in the subset."""
        return len(self._subset) == len(self._listed)

    def follow_all(self, wanted: bool) -> bool:
        """Keeps connections to all; whether there was time to hear them."""
        if wanted and self._all_since_s is None:
            self._all_since_s = time.monotonic()
            self._update_links()
        elif not wanted and self._all_since_s is not None:
            self._all_since_s = None
            self._update_links()
        if self._all_since_s is None:
            return False
        waited_s = time.monotonic() - self._all_since_s
        return self.has_all or waited_s > self.bus.silent_after_s

    def set_extra(self, vms: frozenset[VmId]) -> None:
        """Keeps connections to these beside the subset."""
        if vms != self._extra:
            self._extra = vms
            self._update_links()

    async def ask(
        self, vm: VmId, question: Message, timeout_s: float
    ) -> Message | None:
        """Asks a process; None where no answer came in time."""
        with self._questions.open(question) as (ask, answer):
            if not self.send(vm, ask):
                return None
            self.change_use(vm, 1)
            try:
                return await asyncio.wait_for(answer, timeout_s)
            except TimeoutError:
                return None
            finally:
                self.change_use(vm, -1)

    def change_use(self, vm: VmId, by: int) -> None:
        """Counts what keeps a connection open and its heartbeats frequent."""
        link = self.links.get(vm)
        if link is None and by > 0:
            link = self._connect_on_demand(vm)
        if link is not None:
            link.in_use = max(0, link.in_use + by)

    def is_heard(self, link: Link) -> bool:
        """Whether the process answered lately and is not known to be gone."""
        silent_s = link.get_silent_s(time.monotonic())
        return not link.gone and silent_s <= self.bus.silent_after_s

    def is_lost(self, link: Link) -> bool:
        """Whether the process is gone, or silent over reconnections."""
        silent_s = link.get_silent_s(time.monotonic())
        return link.gone or silent_s > self.bus.lost_after_s

    def get_live(self) -> list[VmId]:
        """Processes of the subset that are listed live and heard lately."""
        return [
            name
            for name, link in self.links.items()
            if link.kept
            and link.vm.state is VmState.LIVE
            and self.is_heard(link)
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
                "silent_s": round(link.get_silent_s(now_s), 3),
                "in_use": link.in_use,
                "answered": link.answered,
                "gone": link.gone,
                "kept": link.kept,
            }
            for name, link in self.links.items()
        ]

    def apply_vm_list(self, vms: list[Vm]) -> None:
        """Connects to the subset and closes links that none needs."""
        listed = {
            vm.vm: vm
            for vm in vms
            if vm.role is self._role and vm.vm != self._own.vm
        }
        entries = frozenset(vm.vm for vm in vms if vm.role is Role.ENTRY)
        if entries != self._entries or _is_moved(listed, self._listed):
            self._subset = choose_subset(
                self._own_place,
                sorted(entries),
                [ProcessLocation(vm.vm, vm.zone) for vm in listed.values()],
                self._subset_size,
            )
        self._listed, self._entries = listed, entries
        self._update_links()

    def is_watched(self, vm: VmId) -> bool:
        """Whether this process is to notice that one's silence."""
        return vm in self._subset or vm not in self._listed

    def _update_links(self) -> None:
        kept = self._subset | (self._extra & self._listed.keys())
        if self._all_since_s is not None:
            kept = frozenset(self._listed)
        for name, vm in self._listed.items():
            known = self.links.get(name)
            if known is None:
                if name in kept:
                    self._connect(vm)
            elif known.vm.bus != vm.bus:
                self._connect(vm)
            else:
                known.vm = vm
        for name, link in list(self.links.items()):
            link.kept = name in kept
            if not link.kept and self._is_unused(name, link):
                link.connection.close()
                del self.links[name]
                self.on_removed(name)

    def _is_unused(self, name: VmId, link: Link) -> bool:
        idle_s = time.monotonic() - max(link.used_s, link.connected_s)
        is_idle = name not in self._listed or idle_s > self.bus.idle_close_s
        return link.in_use == 0 and is_idle

    def _connect_on_demand(self, vm: VmId) -> Link | None:
        listed = self._listed.get(vm)
        if listed is None:
            return None
        self._connect(listed)
        self.links[vm].kept = False
        return self.links[vm]

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
            link.kept = previous.kept
            link.asked_s = previous.asked_s
            link.used_s = previous.used_s
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
            self._questions.take(message)
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
        link.asked_s = None
        link.answered = True
        link.gone = False

    def get_known_state(self, vm: VmId) -> int:
        """What `Hello.known_state` says, once a connection has answered."""
        del vm
        return 1

    def _send_hello(self, link: Link) -> None:
        link.sequence += 1
        link.hello_s = time.monotonic()
        if link.asked_s is None:
            link.asked_s = link.hello_s
        known = self.get_known_state(link.vm.vm) if link.answered else 0
        link.connection.send(self._make_hello(link.sequence, known))

    def _make_hello(self, sequence: int, known: int) -> Hello:
        if known:
            return Hello(_LEFT_OUT, 0, sequence, known_state=known)
        return msgspec.structs.replace(self._own, sequence=sequence)

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

    def _on_heartbeat_due(self) -> None:
        now_s = time.monotonic()
        for link in list(self.links.values()):
            silent_s = min(link.get_silent_s(now_s), now_s - link.connected_s)
            if silent_s > self.bus.silent_after_s:
                # Something between the two ends may have lost track of the
                # connection: it stays open and nothing arrives. A new one
                # works, and open runs are read on from their last chunk. The
                # next accepted key is tried, for a peer that has rotated.
                _log.warning("connection_silent", extra={"peer": link.vm.vm})
                self._connect(link.vm, link.key_index + 1)
            elif not link.gone and self._is_hello_due(link, now_s):
                self._send_hello(link)

    def _is_hello_due(self, link: Link, now_s: float) -> bool:
        if link.in_use or link.asked_s is not None:
            return True
        return now_s - link.hello_s >= self.bus.idle_heartbeat_interval_s


def _is_moved(now: dict[VmId, Vm], before: dict[VmId, Vm]) -> bool:
    return now.keys() != before.keys() or any(
        before[name].zone != vm.zone for name, vm in now.items()
    )


def _ignore(vm: VmId, message: Message) -> None:
    del vm, message

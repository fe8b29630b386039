"""Connections from one process to the processes of one role.

The platform's list names the VMs that exist, with a delay. Answers to
heartbeats show whether a process is reachable now. Connections to a subset
of the processes stay open. Any other connection is opened when a message is
sent to the process, and closed when it has been idle.
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
from lovagestage.bus.questions import PendingQueries
from lovagestage.bus.transport import (
    Connection,
    ConnectionEvent,
    is_connection_refused,
)
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

_HEARTBEAT_FIRST_TYPES = (Ask, Attach, Dispatch)
"""Types of messages before which a heartbeat is sent on an idle connection."""
_OMITTED_VM = VmId("")


class LinkTable(mode.Service):
    """Connections to the processes of one role, without this process itself.

    Args:
        role: Role of the processes to connect to.
        context: The zmq context of this process.
        settings: Keys, and times of the heartbeats.
        own_hello: First message on a connection, with the VM name and the
            incarnation of this process.
        timers: Timer service.
        zone: Availability zone of this process.
        subset_size: Number of processes that this process chooses to stay
            connected to.
    """

    def __init__(
        self,
        role: Role,
        context: zmq.Context[zmq.Socket[bytes]],
        settings: BusSettings,
        own_hello: Hello,
        timers: TimerService,
        zone: ZoneId,
        subset_size: int,
    ) -> None:
        super().__init__()
        self._own_place = ProcessLocation(own_hello.vm, zone)
        self._subset_size = subset_size
        self._listed: dict[VmId, Vm] = {}
        self._entries: frozenset[VmId] = frozenset()
        self._subset: frozenset[VmId] = frozenset()
        self._extra_vms: frozenset[VmId] = frozenset()
        self._all_kept_since_s: float | None = None
        self.links: dict[VmId, Link] = {}
        self.bus = settings
        self._role = role
        self._context = context
        self._own_hello = own_hello
        self._timers = timers
        self._on_message: Callable[[VmId, Message], None] = _ignore_message
        self._on_reconnect: Callable[[VmId], None] = lambda _: None
        self._on_gone: Callable[[VmId], None] = lambda _: None
        self._probes: dict[VmId, asyncio.Task[None]] = {}
        self._pending = PendingQueries()

    def subscribe(
        self,
        on_message: Callable[[VmId, Message], None],
        on_reconnect: Callable[[VmId], None],
        on_gone: Callable[[VmId], None],
    ) -> None:
        """Sets the callbacks for messages and for changes of connections.

        Args:
            on_message: Called with each message.
            on_reconnect: Called when a connection was replaced.
            on_gone: Called when a process has certainly ended, because its
                port refuses connections.
        """
        self._on_message = on_message
        self._on_reconnect = on_reconnect
        self._on_gone = on_gone

    async def on_start(self) -> None:
        """Subscribes to the heartbeat timer."""
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
        """Sends a message to a process, over a new connection if needed.

        Returns:
            False if the message was certainly not sent.
        """
        link = self.links.get(vm) or self._connect_on_demand(vm)
        if link is None:
            return False
        now_s = time.monotonic()
        link.last_sent_s = now_s
        # An idle connection may have stopped carrying data since its last
        # heartbeat. The next heartbeat is due only seconds later, and the
        # failure would be detected only after it, with a request already on
        # the connection. A heartbeat sent now makes the detection as fast as
        # on a connection in use.
        interval_s = self.bus.heartbeat_interval_s
        if (
            isinstance(message, _HEARTBEAT_FIRST_TYPES)
            and now_s - link.last_hello_s >= interval_s
        ):
            self._send_hello(link)
        return link.connection.send(message)

    def get_permanent(self) -> list[VmId]:
        """Returns the processes whose connections stay open while idle."""
        return [name for name, link in self.links.items() if link.is_permanent]

    def get_listed(self) -> list[VmId]:
        """Returns all listed processes of the role, connected or not."""
        return list(self._listed)

    def get_presumed_running(self) -> list[VmId]:
        """Returns the listed processes that are presumed to be running.

        Excluded are processes with a permanent connection that are not live,
        by the list or by their heartbeats. A process without such a connection
        is not monitored, so it counts as running until the list drops it.
        """
        unreachable = set(self.get_permanent()) - set(self.get_live())
        return [vm for vm in self._listed if vm not in unreachable]

    @property
    def subset_has_all(self) -> bool:
        """Whether the subset holds all listed processes of the role."""
        return len(self._subset) == len(self._listed)

    def keep_all_connected(self, wanted: bool) -> bool:
        """Keeps connections to all listed processes open, or stops doing so.

        Args:
            wanted: Whether the connections are to stay open.

        Returns:
            Whether all connections are kept open and had time to receive
            heartbeats: `silent_after_s` has passed since the first such call,
            or the subset holds all processes anyway.
        """
        if wanted and self._all_kept_since_s is None:
            self._all_kept_since_s = time.monotonic()
            self._update_links()
        elif not wanted and self._all_kept_since_s is not None:
            self._all_kept_since_s = None
            self._update_links()
        if self._all_kept_since_s is None:
            return False
        waited_s = time.monotonic() - self._all_kept_since_s
        return self.subset_has_all or waited_s > self.bus.silent_after_s

    def set_extra_vms(self, vms: frozenset[VmId]) -> None:
        """Keeps connections to `vms` open in addition to the subset."""
        if vms != self._extra_vms:
            self._extra_vms = vms
            self._update_links()

    async def ask(
        self, vm: VmId, question: Message, timeout_s: float
    ) -> Message | None:
        """Sends a query to a process and waits for the reply.

        Args:
            vm: VM of the process.
            question: The query.
            timeout_s: Longest wait for the reply.

        Returns:
            The reply; None if the query was not sent or no reply was
            received in time.
        """
        with self._pending.register_query(question) as (ask, answer):
            if not self.send(vm, ask):
                return None
            self.change_use_count(vm, 1)
            try:
                return await asyncio.wait_for(answer, timeout_s)
            except TimeoutError:
                return None
            finally:
                self.change_use_count(vm, -1)

    def change_use_count(self, vm: VmId, change: int) -> None:
        """Changes the use count of a connection.

        A connection in use is not closed, and its heartbeats are sent at the
        shorter interval.

        Args:
            vm: VM of the process.
            change: Change of the count; a positive one opens the connection if
                there is none.
        """
        link = self.links.get(vm)
        if link is None and change > 0:
            link = self._connect_on_demand(vm)
        if link is not None:
            link.in_use = max(0, link.in_use + change)

    def is_responsive(self, link: Link) -> bool:
        """Returns whether the process answers heartbeats.

        A process whose port refuses connections does not count as answering.
        """
        unanswered_s = link.get_unanswered_s(time.monotonic())
        return (
            not link.is_port_refused and unanswered_s <= self.bus.silent_after_s
        )

    def is_lost(self, link: Link) -> bool:
        """Returns whether the process has ended or is considered lost.

        A process is lost when it has answered no heartbeat for `lost_after_s`,
        also across replaced connections.
        """
        unanswered_s = link.get_unanswered_s(time.monotonic())
        return link.is_port_refused or unanswered_s > self.bus.lost_after_s

    def get_live(self) -> list[VmId]:
        """Returns the processes that are listed as live and answer heartbeats.

        Only processes whose connections stay open while idle are included.
        """
        return [
            name
            for name, link in self.links.items()
            if link.is_permanent
            and link.vm.state is VmState.LIVE
            and self.is_responsive(link)
        ]

    def get_dump(self) -> list[dict[str, object]]:
        """Returns the state of each connection, for the dump."""
        now_s = time.monotonic()
        return [
            {
                "vm": name,
                "zone": link.vm.zone,
                "state": link.vm.state.value,
                "heard_s_ago": round(now_s - link.last_answer_s, 3),
                "silent_s": round(link.get_unanswered_s(now_s), 3),
                "in_use": link.in_use,
                "answered": link.answered,
                "gone": link.is_port_refused,
                "kept": link.is_permanent,
            }
            for name, link in self.links.items()
        ]

    def apply_vm_list(self, vms: list[Vm]) -> None:
        """Applies a new VM list.

        Chooses the subset again if an entry or a process of the role was
        added or removed, or a process moved to another availability zone.
        Then opens the connections to the subset and closes unused ones.
        """
        listed = {
            vm.vm: vm
            for vm in vms
            if vm.role is self._role and vm.vm != self._own_hello.vm
        }
        entries = frozenset(vm.vm for vm in vms if vm.role is Role.ENTRY)
        if entries != self._entries or _has_changed(listed, self._listed):
            self._subset = choose_subset(
                self._own_place,
                sorted(entries),
                [ProcessLocation(vm.vm, vm.zone) for vm in listed.values()],
                self._subset_size,
            )
        self._listed, self._entries = listed, entries
        self._update_links()

    def must_monitor(self, vm: VmId) -> bool:
        """Returns whether this process must detect that a peer is unreachable.

        This holds for processes of the subset, and for those that the VM list
        does not name.
        """
        return vm in self._subset or vm not in self._listed

    def _update_links(self) -> None:
        permanent = self._subset | (self._extra_vms & self._listed.keys())
        if self._all_kept_since_s is not None:
            permanent = frozenset(self._listed)
        for name, vm in self._listed.items():
            existing = self.links.get(name)
            if existing is None:
                if name in permanent:
                    self._connect(vm)
            elif existing.vm.bus_address != vm.bus_address:
                self._connect(vm)
            else:
                existing.vm = vm
        for name, link in list(self.links.items()):
            link.is_permanent = name in permanent
            if not link.is_permanent and self._is_unused(name, link):
                link.connection.close()
                del self.links[name]
                self.on_removed(name)

    def _is_unused(self, name: VmId, link: Link) -> bool:
        idle_s = time.monotonic() - max(link.last_sent_s, link.connected_s)
        is_idle = name not in self._listed or idle_s > self.bus.idle_close_s
        return link.in_use == 0 and is_idle

    def _connect_on_demand(self, vm: VmId) -> Link | None:
        listed = self._listed.get(vm)
        if listed is None:
            return None
        self._connect(listed)
        self.links[vm].is_permanent = False
        return self.links[vm]

    def on_frame(self, vm: VmId, message: Message) -> None:
        """Handles a message that is not a `Reply`.

        Subclasses may handle some types of messages themselves.
        """
        self._on_message(vm, message)

    def on_removed(self, vm: VmId) -> None:
        """Called when a VM's connection was removed.

        Subclasses drop their state of the VM.
        """

    def _connect(self, vm: Vm, key_index: int = 0) -> None:
        previous = self.links.get(vm.vm)
        if previous is not None:
            previous.connection.close()
        keys = self.bus.accepted_keys
        connection = Connection(
            self._context,
            self.bus,
            vm.bus_address,
            keys[key_index % len(keys)],
            lambda message: self._on_any_frame(vm.vm, message),
            lambda event: self._on_event(vm.vm, event),
        )
        now_s = time.monotonic()
        link = Link(vm, connection, now_s, now_s, key_index)
        if previous is not None:
            link.last_answer_s = previous.last_answer_s
            link.in_use = previous.in_use
            link.is_port_refused = previous.is_port_refused
            link.sequence = previous.sequence
            link.answered_sequence = previous.sequence
            link.is_permanent = previous.is_permanent
            link.unanswered_since_s = previous.unanswered_since_s
            link.last_sent_s = previous.last_sent_s
        self.links[vm.vm] = link
        self._send_hello(link)
        if previous is not None:
            self._on_reconnect(vm.vm)

    def _on_any_frame(self, vm: VmId, message: Message) -> None:
        link = self.links.get(vm)
        if link is None:
            return
        if isinstance(message, Hello | Heartbeat):
            self._record_heartbeat_answer(link, message.answered_sequence)
        if isinstance(message, Reply):
            self._pending.resolve(message)
        else:
            self.on_frame(vm, message)

    def _record_heartbeat_answer(
        self, link: Link, answered_sequence: int
    ) -> None:
        # Frames received from the peer prove only that the incoming direction
        # works. A connection that drops everything this process sends would
        # appear usable without end although all requests on it are lost. An
        # answered heartbeat proves that both directions work.
        if answered_sequence <= link.answered_sequence:
            return
        link.answered_sequence = answered_sequence
        link.last_answer_s = time.monotonic()
        link.unanswered_since_s = None
        link.answered = True
        link.is_port_refused = False

    def get_known_state_hash(self, vm: VmId) -> int:
        """Returns `Hello.known_state` for a connection that has answered."""
        del vm
        return 1

    def _send_hello(self, link: Link) -> None:
        link.sequence += 1
        link.last_hello_s = time.monotonic()
        if link.unanswered_since_s is None:
            link.unanswered_since_s = link.last_hello_s
        known_state = (
            self.get_known_state_hash(link.vm.vm) if link.answered else 0
        )
        link.connection.send(self._make_hello(link.sequence, known_state))

    def _make_hello(self, sequence: int, known_state: int) -> Hello:
        if known_state:
            return Hello(_OMITTED_VM, 0, sequence, known_state=known_state)
        return msgspec.structs.replace(self._own_hello, sequence=sequence)

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
        # The probe detects a killed process within milliseconds. By missing
        # heartbeats alone it would take seconds to distinguish an ended
        # process from a failed connection.
        try:
            link = self.links.get(vm)
            if (
                link is None
                or link.is_port_refused
                or not await is_connection_refused(link.vm.bus_address)
            ):
                return
            link = self.links.get(vm)
            if link is not None and not link.is_port_refused:
                link.is_port_refused = True
                _log.warning("process_gone", extra={"peer": vm})
                self._on_gone(vm)
        finally:
            del self._probes[vm]

    def _on_heartbeat_due(self) -> None:
        now_s = time.monotonic()
        for link in list(self.links.values()):
            unanswered_s = min(
                link.get_unanswered_s(now_s), now_s - link.connected_s
            )
            if unanswered_s > self.bus.silent_after_s:
                # A device between the two processes may have lost the state
                # of the connection: it stays open, but no data arrives. A new
                # connection works, and open runs are resumed after their last
                # chunk. The new connection uses the next accepted key, in
                # case the peer has rotated its key.
                _log.warning("connection_silent", extra={"peer": link.vm.vm})
                self._connect(link.vm, link.key_index + 1)
            elif not link.is_port_refused and self._is_hello_due(link, now_s):
                self._send_hello(link)

    def _is_hello_due(self, link: Link, now_s: float) -> bool:
        if link.in_use or link.unanswered_since_s is not None:
            return True
        return now_s - link.last_hello_s >= self.bus.idle_heartbeat_interval_s


def _has_changed(current: dict[VmId, Vm], earlier: dict[VmId, Vm]) -> bool:
    return current.keys() != earlier.keys() or any(
        earlier[name].zone != vm.zone for name, vm in current.items()
    )


def _ignore_message(vm: VmId, message: Message) -> None:
    del vm, message

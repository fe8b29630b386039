"""An entry's view of the sidecars: links with their heartbeats."""

from __future__ import annotations

import dataclasses
import random

import msgspec
import zmq

from lovagestage.bus.links import LinkTable
from lovagestage.decisions.plain_calls import make_pool_version
from lovagestage.decisions.routing import UpstreamView
from lovagestage.messages.envelope import Heartbeat, Hello, Message
from lovagestage.settings import BusSettings
from lovagestage.timers import TimerService
from lovagestage.types import Role, VmId, VmState, ZoneId

FIRST_TURNS = 1 << 16


@dataclasses.dataclass
class _Note:
    """What this entry adds to an upstream's latest heartbeat.

    Attributes:
        versions: What the heartbeat says may be sent there.
        in_use: Own requests there when the heartbeat came.
        last_sent: See `UpstreamView`.
    """

    versions: frozenset[str] = frozenset()
    in_use: int = 0
    last_sent: int = 0


class UpstreamTable(LinkTable):
    """Links to sidecars, with what each says of itself."""

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        settings: BusSettings,
        own: Hello,
        timers: TimerService,
        zone: ZoneId,
        subset_size: int,
    ) -> None:
        super().__init__(
            Role.SIDECAR, context, settings, own, timers, zone, subset_size
        )
        self._heartbeats: dict[VmId, Heartbeat] = {}
        self._notes: dict[VmId, _Note] = {}
        self._sent = 0
        self._rng = random.Random()

    def has_heard_all(self) -> bool:
        """Whether each listed sidecar has said which versions it has."""
        return bool(self.links) and all(
            name in self._heartbeats and _get_targets(self._heartbeats[name])
            for name in self.links
        )

    def get_heartbeat(self, vm: VmId) -> Heartbeat | None:
        """The latest heartbeat of a sidecar."""
        return self._heartbeats.get(vm)

    def may_return(self, version: str, excluded: set[VmId]) -> bool:
        """Whether a silent upstream that had the version is not yet lost."""
        return any(
            link.vm.state is VmState.LIVE
            and name not in excluded
            and not self.is_heard(link)
            and not self.is_lost(link)
            and name in self._heartbeats
            and not self._heartbeats[name].leaving
            and version in _get_targets(self._heartbeats[name])
            for name, link in self.links.items()
        )

    def get_views(self) -> list[UpstreamView]:
        """Upstreams that take new work."""
        return [
            self._make_view(name, self._heartbeats[name])
            for name in self.get_live()
            if name in self._heartbeats and not self._heartbeats[name].leaving
        ]

    def note_sent(self, vm: VmId) -> None:
        """Counts a request that is sent to an upstream."""
        self.change_use(vm, 1)
        self._sent += 1
        if vm in self._notes:
            self._notes[vm].last_sent = self._sent

    def on_frame(self, vm: VmId, message: Message) -> None:
        """Keeps the newest heartbeat; hands on everything else."""
        if not isinstance(message, Heartbeat):
            super().on_frame(vm, message)
            return
        known = self._heartbeats.get(vm)
        if message.shortened:
            if known is None or known.state_hash != message.state_hash:
                return
            message = _fill(message, known)
        if _is_newer(message, known):
            self._heartbeats[vm] = message
            self._note_heartbeat(vm, message)

    def get_known_state(self, vm: VmId) -> int:
        """Hash of what the sidecar has said of itself; 0 for nothing."""
        heartbeat = self._heartbeats.get(vm)
        return heartbeat.state_hash if heartbeat else 0

    def get_versions(self) -> dict[VmId, list[str]]:
        """Versions at each sidecar that takes new work."""
        return {
            name: sorted(_get_targets(self._heartbeats[name]))
            for name in self.get_live()
            if name in self._heartbeats and not self._heartbeats[name].leaving
        }

    def get_subset_versions(self) -> dict[VmId, list[str]]:
        """The same, without connections beside the subset."""
        versions = self.get_versions()
        return {vm: versions[vm] for vm in versions if self.is_watched(vm)}

    def on_removed(self, vm: VmId) -> None:
        """Forgets the heartbeat."""
        self._heartbeats.pop(vm, None)
        self._notes.pop(vm, None)

    def _note_heartbeat(self, vm: VmId, heartbeat: Heartbeat) -> None:
        note = self._notes.get(vm)
        if note is None:
            # A random place in the turns: entries that start together would
            # otherwise all begin with the same upstream.
            note = _Note(last_sent=-self._rng.randrange(FIRST_TURNS))
            self._notes[vm] = note
        note.versions = _get_targets(heartbeat)
        note.in_use = self.links[vm].in_use

    def _make_view(self, vm: VmId, heartbeat: Heartbeat) -> UpstreamView:
        link, note = self.links[vm], self._notes[vm]
        return UpstreamView(
            vm,
            link.vm.zone,
            note.versions,
            max(0, heartbeat.running + link.in_use - note.in_use),
            heartbeat.max_running,
            heartbeat.max_batch,
            heartbeat.token_interval_ms,
            note.last_sent,
            not heartbeat.pool,
        )


def _fill(message: Heartbeat, known: Heartbeat) -> Heartbeat:
    return msgspec.structs.replace(
        message,
        vm=known.vm,
        zone=known.zone,
        versions=known.versions,
        shortened=False,
    )


def _get_targets(heartbeat: Heartbeat) -> frozenset[str]:
    if heartbeat.is_up:
        return frozenset({str(make_pool_version(heartbeat.pool))})
    return frozenset(heartbeat.versions)


def _is_newer(message: Heartbeat, known: Heartbeat | None) -> bool:
    if known is None:
        return True
    return (message.incarnation, message.sequence) > (
        known.incarnation,
        known.sequence,
    )

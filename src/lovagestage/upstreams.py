"""An entry's view of the sidecars: links with their heartbeats."""

from __future__ import annotations

import msgspec
import zmq

from lovagestage.links import LinkTable
from lovagestage.messages import Heartbeat, Hello, Message
from lovagestage.routing import UpstreamView
from lovagestage.settings import BusSettings
from lovagestage.timers import TimerService
from lovagestage.types import Role, VmId, VmState, ZoneId


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

    def has_heard_all(self) -> bool:
        """Whether each listed sidecar has said which versions it has."""
        return bool(self.links) and all(
            name in self._heartbeats and self._heartbeats[name].versions
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
            and version in self._heartbeats[name].versions
            for name, link in self.links.items()
        )

    def get_views(self) -> list[UpstreamView]:
        """Upstreams that take new work."""
        return [
            self._make_view(name, self._heartbeats[name])
            for name in self.get_live()
            if name in self._heartbeats and not self._heartbeats[name].leaving
        ]

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

    def get_known_state(self, vm: VmId) -> int:
        """Hash of what the sidecar has said of itself; 0 for nothing."""
        heartbeat = self._heartbeats.get(vm)
        return heartbeat.state_hash if heartbeat else 0

    def get_versions(self) -> dict[VmId, list[str]]:
        """Versions at each sidecar that takes new work."""
        return {
            name: self._heartbeats[name].versions
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

    def _make_view(self, vm: VmId, heartbeat: Heartbeat) -> UpstreamView:
        link = self.links[vm]
        return UpstreamView(
            vm,
            link.vm.zone,
            frozenset(heartbeat.versions),
            max(heartbeat.running, link.in_use),
            heartbeat.max_running,
        )


def _fill(message: Heartbeat, known: Heartbeat) -> Heartbeat:
    return msgspec.structs.replace(
        message,
        vm=known.vm,
        zone=known.zone,
        versions=known.versions,
        shortened=False,
    )


def _is_newer(message: Heartbeat, known: Heartbeat | None) -> bool:
    if known is None:
        return True
    return (message.incarnation, message.sequence) > (
        known.incarnation,
        known.sequence,
    )

"""An entry's view of the sidecars: connections and latest heartbeats."""

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

INITIAL_TURN_RANGE = 1 << 16
"""Number of different initial values of `last_sent`, from which an entry draws
one at random for each upstream."""


@dataclasses.dataclass
class _UpstreamRecord:
    """This entry's own record of an upstream, beside the latest heartbeat.

    Attributes:
        versions: Versions, or the pool, that the heartbeat lists as ready for
            requests.
        in_use: This entry's own requests at the upstream when the heartbeat
            was received.
        last_sent: See `UpstreamView.last_sent`.
    """

    versions: frozenset[str] = frozenset()
    in_use: int = 0
    last_sent: int = 0


class UpstreamTable(LinkTable):
    """Connections to sidecars, with the state that each one reports."""

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        settings: BusSettings,
        own_hello: Hello,
        timers: TimerService,
        zone: ZoneId,
        subset_size: int,
    ) -> None:
        super().__init__(
            Role.SIDECAR,
            context,
            settings,
            own_hello,
            timers,
            zone,
            subset_size,
        )
        self._heartbeats: dict[VmId, Heartbeat] = {}
        self._records: dict[VmId, _UpstreamRecord] = {}
        self._sent_count = 0
        self._rng = random.Random()

    def has_versions_of_all(self) -> bool:
        """Returns whether each connected sidecar has reported a version."""
        return bool(self.links) and all(
            name in self._heartbeats
            and _get_ready_versions(self._heartbeats[name])
            for name in self.links
        )

    def get_heartbeat(self, vm: VmId) -> Heartbeat | None:
        """Returns a sidecar's latest heartbeat; None before the first."""
        return self._heartbeats.get(vm)

    def may_recover(self, version: str, excluded: set[VmId]) -> bool:
        """Returns whether an upstream with the version may become reachable.

        Such an upstream has reported the version and does not answer
        heartbeats now, but is not yet considered lost.

        Args:
            version: Version that a request needs.
            excluded: Upstreams that do not count.
        """
        return any(
            link.vm.state is VmState.LIVE
            and name not in excluded
            and not self.is_responsive(link)
            and not self.is_lost(link)
            and name in self._heartbeats
            and not self._heartbeats[name].leaving
            and version in _get_ready_versions(self._heartbeats[name])
            for name, link in self.links.items()
        )

    def get_views(self) -> list[UpstreamView]:
        """Returns the reachable upstreams that accept new requests."""
        return [
            self._make_view(name, self._heartbeats[name])
            for name in self.get_live()
            if name in self._heartbeats and not self._heartbeats[name].leaving
        ]

    def record_sent(self, vm: VmId) -> None:
        """Counts a request that this entry sends to an upstream."""
        self.change_use_count(vm, 1)
        self._sent_count += 1
        if vm in self._records:
            self._records[vm].last_sent = self._sent_count

    def on_frame(self, vm: VmId, message: Message) -> None:
        """Stores the newest heartbeat; forwards all other messages."""
        if not isinstance(message, Heartbeat):
            super().on_frame(vm, message)
            return
        known = self._heartbeats.get(vm)
        if message.shortened:
            if known is None or known.state_hash != message.state_hash:
                return
            message = _fill_omitted_fields(message, known)
        if _is_newer(message, known):
            self._heartbeats[vm] = message
            self._record_heartbeat(vm, message)

    def get_known_state_hash(self, vm: VmId) -> int:
        """Returns the state hash of the latest heartbeat; 0 without one."""
        heartbeat = self._heartbeats.get(vm)
        return heartbeat.state_hash if heartbeat else 0

    def get_versions(self) -> dict[VmId, list[str]]:
        """Returns the versions at each sidecar that accepts new requests."""
        return {
            name: sorted(_get_ready_versions(self._heartbeats[name]))
            for name in self.get_live()
            if name in self._heartbeats and not self._heartbeats[name].leaving
        }

    def get_subset_versions(self) -> dict[VmId, list[str]]:
        """Returns `get_versions` without the sidecars outside the subset."""
        versions = self.get_versions()
        return {vm: versions[vm] for vm in versions if self.must_monitor(vm)}

    def on_removed(self, vm: VmId) -> None:
        """Drops the sidecar's heartbeat and this entry's record of it."""
        self._heartbeats.pop(vm, None)
        self._records.pop(vm, None)

    def _record_heartbeat(self, vm: VmId, heartbeat: Heartbeat) -> None:
        record = self._records.get(vm)
        if record is None:
            # `last_sent` starts at a random value: entries that start
            # together would otherwise all send to the same upstream first.
            record = _UpstreamRecord(
                last_sent=-self._rng.randrange(INITIAL_TURN_RANGE)
            )
            self._records[vm] = record
        record.versions = _get_ready_versions(heartbeat)
        record.in_use = self.links[vm].in_use

    def _make_view(self, vm: VmId, heartbeat: Heartbeat) -> UpstreamView:
        link, record = self.links[vm], self._records[vm]
        return UpstreamView(
            vm,
            link.vm.zone,
            record.versions,
            max(0, heartbeat.running + link.in_use - record.in_use),
            heartbeat.max_running,
            heartbeat.max_batch,
            heartbeat.token_interval_ms,
            record.last_sent,
            not heartbeat.pool,
        )


def _fill_omitted_fields(message: Heartbeat, known: Heartbeat) -> Heartbeat:
    return msgspec.structs.replace(
        message,
        vm=known.vm,
        zone=known.zone,
        versions=known.versions,
        shortened=False,
    )


def _get_ready_versions(heartbeat: Heartbeat) -> frozenset[str]:
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

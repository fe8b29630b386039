"""Upstreams that may take requests, by the store's entries."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from lovagestage.decisions.positions import format_position
from lovagestage.gateway.settings import DEFAULT_HEARTBEAT_S
from lovagestage.gateway.upstream import (
    Rival,
    Upstream,
    UpstreamEntry,
    UpstreamState,
)
from lovagestage.types import InstanceId, Position, ServiceId

_log = logging.getLogger(__name__)

EXPIRED_GRACE_S = 1.4
"""Time in seconds for which an upstream is still used whose entry expired
while the store was unavailable: its next heartbeat writes the entry again. It
is shorter than the shortest time for which a leaving upstream still serves
requests, so one that has really left is never sent a request too late."""
PROOF_HEARTBEATS = 1.25
"""Heartbeats between two entries of one process, without an entry of the known
one, that show that it is the first that runs: the known one would have written
meanwhile."""
GONE_RETENTION_S = 600.0
"""Time in seconds for which upstreams in the state GONE are remembered, for
stale reads of the store and for entries that are written late. Where 655
upstreams leave in a day, about five are held in memory."""


class Rotation:
    """All upstreams that this gateway knows of.

    A new process may reuse the id of an upstream. One that names a later start
    time than the known process replaces it immediately. An entry with an
    earlier one, or with that of a process that was replaced, is most likely a
    write that the store carried out late; but the upstream's clock may have
    gone back, or the known process may be the one whose write came late. Such a
    process replaces the known one once it goes on writing for longer than the
    known one would be silent, so that no entry of a process that runs is
    ignored for good.

    Args:
        heartbeat_s: Interval in seconds between the writes of an upstream.

    Attributes:
        revision: Number that grows whenever upstream processes are added,
            replaced or removed.
        cold_until_s: Elapsed time in seconds from which no known upstream is
            warming up.
    """

    def __init__(self, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self._proof_s = PROOF_HEARTBEATS * heartbeat_s
        self.revision = 0
        self.cold_until_s = 0.0
        self._ready: dict[ServiceId, list[Upstream]] = {}
        self._upstreams: dict[InstanceId, Upstream] = {}
        self._by_service: dict[ServiceId, list[Upstream]] = {}
        self._by_process_hash: dict[int, Upstream] = {}
        self._hashed_revision = -1

    def __len__(self) -> int:
        return len(self._upstreams)

    def apply(
        self,
        name: InstanceId,
        entry: UpstreamEntry | None,
        position: Position,
        now_s: float,
        was_store_unavailable: bool,
    ) -> None:
        """Applies an entry of the store, or its removal.

        Args:
            name: Id of the upstream.
            entry: The entry; None where it was removed.
            position: Position of the record; a record that is older than the
                known one is ignored, since a read may be stale.
            now_s: Elapsed time in seconds.
            was_store_unavailable: Whether the store was recently unavailable,
                so that a removal may only mean that the upstream could not
                write.
        """
        known = self._upstreams.get(name)
        if known is not None and position < known.position:
            return
        if (
            known is not None
            and entry is not None
            and known.outdates(entry, position)
        ):
            return
        self._ready.clear()
        if entry is None:
            if known is not None:
                known.position = position
                self._remove(known, now_s, was_store_unavailable)
            return
        if known is not None and not self._is_credible(
            known, entry, position, now_s
        ):
            _log_late_entry(known, entry, position)
            return
        upstream = self._get_process(name, entry, position, now_s)
        upstream.rival = None
        if upstream.entry.start_ms != entry.start_ms:
            self.revision += 1
        upstream.entry = entry
        upstream.was_removed = False
        upstream.position = position
        upstream.has_left = upstream.has_left or entry.is_draining
        self.record_warmup(upstream, entry.warmup_left_s, now_s)
        is_draining = upstream.has_left
        upstream.set_state(
            UpstreamState.DRAINING if is_draining else UpstreamState.READY,
            now_s,
        )

    def record_leaving(self, upstream: Upstream, now_s: float) -> None:
        """Takes out an upstream that has said in an answer that it leaves.

        The process does not return, whatever entries it has written before.
        """
        upstream.has_left = True
        if upstream.state is not UpstreamState.GONE:
            upstream.set_state(UpstreamState.DRAINING, now_s)
            self._ready.clear()

    def replace_all(
        self,
        entries: Iterable[tuple[InstanceId, UpstreamEntry, Position]],
        end: Position,
        now_s: float,
        was_store_unavailable: bool,
    ) -> None:
        """Applies a full list; upstreams that it does not name were removed.

        Args:
            entries: Id, entry and position of each upstream.
            end: Position up to which the list is complete; newer records stay.
            now_s: Elapsed time in seconds.
            was_store_unavailable: Whether the store was recently unavailable.
        """
        listed = set()
        for name, entry, position in entries:
            listed.add(name)
            self.apply(name, entry, position, now_s, was_store_unavailable)
        for upstream in self._upstreams.values():
            if upstream.id not in listed and upstream.position < end:
                self._remove(upstream, now_s, was_store_unavailable)
        self._ready.clear()

    def expire(self, now_s: float) -> None:
        """Sets the state GONE where an expired entry was not renewed.

        Upstreams that have been GONE for `GONE_RETENTION_S` are forgotten.
        """
        for upstream in list(self._upstreams.values()):
            age_s = now_s - upstream.changed_s
            if upstream.state is UpstreamState.EXPIRED:
                if age_s > EXPIRED_GRACE_S:
                    upstream.set_state(UpstreamState.GONE, now_s)
                    self._ready.clear()
            elif (
                upstream.state is UpstreamState.GONE
                and age_s > GONE_RETENTION_S
            ):
                self._drop(upstream)

    def get_ready(self, service: ServiceId) -> list[Upstream]:
        """Returns a service's upstreams that take requests.

        The caller must not change the list.
        """
        ready = self._ready.get(service)
        if ready is None:
            usable = (UpstreamState.READY, UpstreamState.EXPIRED)
            ready = [
                upstream
                for upstream in self._by_service.get(service, ())
                if upstream.state in usable
            ]
            self._ready[service] = ready
        return ready

    def record_warmup(
        self, upstream: Upstream, left_s: float, now_s: float
    ) -> None:
        """Records for how many seconds an upstream still warms up."""
        upstream.record_warmup(left_s, now_s)
        self.cold_until_s = max(self.cold_until_s, now_s + left_s)

    def get_all(self) -> list[Upstream]:
        """Returns all upstreams, including those in the state GONE."""
        return list(self._upstreams.values())

    def find_process(self, process_hash: int) -> Upstream | None:
        """Returns the upstream process with a hash; None if it is not known."""
        if self._hashed_revision != self.revision:
            self._hashed_revision = self.revision
            self._by_process_hash = {
                upstream.get_process_hash(): upstream
                for upstream in self._upstreams.values()
            }
        return self._by_process_hash.get(process_hash)

    def _get_process(
        self,
        name: InstanceId,
        entry: UpstreamEntry,
        position: Position,
        now_s: float,
    ) -> Upstream:
        """Returns the upstream process that an entry belongs to.

        The process is listed under the entry's service.
        """
        known = self._upstreams.get(name)
        if known is None:
            return self._add(name, entry, position, now_s)
        if self._is_restart(known, entry):
            return self._restart(known, entry, position, now_s)
        if entry.service != known.entry.service:
            self._drop(known)
            known.entry = entry
            self._insert(known)
        return known

    def _is_credible(
        self,
        known: Upstream,
        entry: UpstreamEntry,
        position: Position,
        now_s: float,
    ) -> bool:
        """Returns whether an entry is of the process that runs now.

        An entry of a process that has most likely stopped is remembered: a
        second one, later than the known process would have written, shows that
        it runs.
        """
        if not known.may_precede(entry):
            return True
        rival = known.rival
        if rival is None or rival.start_ms != entry.start_ms:
            known.rival = Rival(entry.start_ms, position, now_s)
            return False
        is_later = position > rival.position
        return is_later and now_s - rival.seen_s >= self._proof_s

    @staticmethod
    def _is_restart(known: Upstream, entry: UpstreamEntry) -> bool:
        # An entry without a start time is no sign of a new process, neither
        # before nor after an entry with one.
        starts = (known.entry.start_ms, entry.start_ms)
        return None not in starts and starts[0] != starts[1]

    def _restart(
        self,
        known: Upstream,
        entry: UpstreamEntry,
        position: Position,
        now_s: float,
    ) -> Upstream:
        self._drop(known)
        successor = known.make_successor(entry, position, now_s)
        self._insert(successor)
        _log.info(
            "upstream_restarted",
            extra={
                "upstream": known.id,
                "service": entry.service,
                "born": entry.start_ms,
                "before": known.entry.start_ms,
                "position": format_position(position),
            },
        )
        known.set_state(UpstreamState.GONE, now_s)
        return successor

    def _insert(self, upstream: Upstream) -> None:
        self.revision += 1
        self._upstreams[upstream.id] = upstream
        service = upstream.entry.service
        self._by_service.setdefault(service, []).append(upstream)

    def _drop(self, upstream: Upstream) -> None:
        self.revision += 1
        del self._upstreams[upstream.id]
        self._by_service[upstream.entry.service].remove(upstream)

    def _add(
        self,
        name: InstanceId,
        entry: UpstreamEntry,
        position: Position,
        now_s: float,
    ) -> Upstream:
        upstream = Upstream(name, entry, position, now_s)
        self._insert(upstream)
        _log.info(
            "upstream_added",
            extra={
                "upstream": name,
                "service": entry.service,
                "version": entry.version,
                "address": entry.address,
                "position": format_position(position),
            },
        )
        return upstream

    def _remove(
        self, upstream: Upstream, now_s: float, was_store_unavailable: bool
    ) -> None:
        if upstream.state is UpstreamState.GONE:
            return
        is_expiry = was_store_unavailable and upstream.state in (
            UpstreamState.READY,
            UpstreamState.EXPIRED,
        )
        upstream.was_removed = not is_expiry
        upstream.set_state(
            UpstreamState.EXPIRED if is_expiry else UpstreamState.GONE, now_s
        )


def _log_late_entry(
    known: Upstream, entry: UpstreamEntry, position: Position
) -> None:
    _log.info(
        "upstream_entry_late",
        extra={
            "upstream": known.id,
            "born": entry.start_ms,
            "known": known.entry.start_ms,
            "position": format_position(position),
        },
    )

"""Upstreams that may take requests, as the store and own calls show them."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from lovagestage.gateway.upstream import (
    Upstream,
    UpstreamEntry,
    UpstreamState,
)
from lovagestage.types import InstanceId, ServiceId

_log = logging.getLogger(__name__)

LAPSE_GRACE_S = 1.4
"""An upstream whose entry ended while the store was away is used so long: its
next heartbeat writes it again. Under the shortest time for which a leaving
upstream still serves, so one that has really left is never sent a request
too late."""
FORGET_S = 600.0
"""Upstreams that are gone are remembered for the reads that show the past, and
for entries that are written late. With 655 that leave a day, five are kept."""


class Rotation:
    """All upstreams that this gateway knows of.

    An id may be used again by a process that starts anew. The order of the
    store's records tells which of two processes is the newer one, not their
    clocks: a start that was not seen before is a new process even where its
    time is an earlier one. A start that was replaced is of a process that is
    gone, and its record a write that was carried out late.

    Attributes:
        revision: Grows whenever processes come or go.
        cold_until_s: Elapsed time from which none is known to be cold.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.cold_until_s = 0.0
        self._ready: dict[ServiceId, list[Upstream]] = {}
        self._upstreams: dict[InstanceId, Upstream] = {}
        self._by_service: dict[ServiceId, list[Upstream]] = {}

    def __len__(self) -> int:
        return len(self._upstreams)

    def apply(
        self,
        name: InstanceId,
        entry: UpstreamEntry | None,
        offset: int,
        now_s: float,
        was_away: bool,
    ) -> None:
        """Takes an entry of the store, or its removal.

        Args:
            name: Its id.
            entry: What it says; None where the entry was removed.
            offset: Offset of the record; an older one than known is ignored,
                since a read may show the past.
            now_s: Elapsed time.
            was_away: Whether the store was lately out of reach, so that a
                removal may only mean that the upstream could not write.
        """
        known = self._upstreams.get(name)
        if known is not None and offset < known.offset:
            return
        self._ready.clear()
        if entry is None:
            if known is not None:
                known.offset = offset
                self._remove(known, now_s, was_away)
            return
        if known is not None and entry.born_ms in known.past_born_ms:
            _log_late(known, entry, offset)
            return
        upstream = self._get_process(name, entry, offset, now_s)
        if upstream.entry.born_ms != entry.born_ms:
            self.revision += 1
        upstream.entry = entry
        upstream.offset = offset
        upstream.has_left = upstream.has_left or entry.is_draining
        self.note_cold(upstream, entry.warmup_left_s, now_s)
        is_draining = upstream.has_left
        upstream.set_state(
            UpstreamState.DRAINING if is_draining else UpstreamState.READY,
            now_s,
        )

    def replace_all(
        self,
        entries: Iterable[tuple[InstanceId, UpstreamEntry, int]],
        end: int,
        now_s: float,
        was_away: bool,
    ) -> None:
        """Takes a full list; what is missing in it has been removed."""
        listed = set()
        for name, entry, offset in entries:
            listed.add(name)
            self.apply(name, entry, offset, now_s, was_away)
        for upstream in self._upstreams.values():
            if upstream.id not in listed and upstream.offset < end:
                self._remove(upstream, now_s, was_away)
        self._ready.clear()

    def expire(self, now_s: float) -> None:
        """Gives up lapsed upstreams that did not come back."""
        for upstream in list(self._upstreams.values()):
            age_s = now_s - upstream.changed_s
            if upstream.state is UpstreamState.LAPSED:
                if age_s > LAPSE_GRACE_S:
                    upstream.set_state(UpstreamState.GONE, now_s)
                    self._ready.clear()
            elif upstream.state is UpstreamState.GONE and age_s > FORGET_S:
                self._drop(upstream)

    def get_ready(self, service: ServiceId) -> list[Upstream]:
        """Upstreams of a service that take requests; not to be changed."""
        ready = self._ready.get(service)
        if ready is None:
            usable = (UpstreamState.READY, UpstreamState.LAPSED)
            ready = [
                upstream
                for upstream in self._by_service.get(service, ())
                if upstream.state in usable
            ]
            self._ready[service] = ready
        return ready

    def note_cold(
        self, upstream: Upstream, left_s: float, now_s: float
    ) -> None:
        """Takes that an upstream stays cold for so long."""
        upstream.note_cold(left_s, now_s)
        self.cold_until_s = max(self.cold_until_s, now_s + left_s)

    def get_all(self) -> list[Upstream]:
        """All upstreams, also those that are gone."""
        return list(self._upstreams.values())

    def _get_process(
        self, name: InstanceId, entry: UpstreamEntry, offset: int, now_s: float
    ) -> Upstream:
        """The process that an entry is of, listed under the entry's service."""
        known = self._upstreams.get(name)
        if known is None:
            return self._add(name, entry, offset, now_s)
        if self._is_restart(known, entry):
            return self._restart(known, entry, offset, now_s)
        if entry.service != known.entry.service:
            self._drop(known)
            known.entry = entry
            self._insert(known)
        return known

    @staticmethod
    def _is_restart(known: Upstream, entry: UpstreamEntry) -> bool:
        # An entry of one that does not tell its start is no sign of a new
        # process, neither before nor after one that does.
        starts = (known.entry.born_ms, entry.born_ms)
        return None not in starts and starts[0] != starts[1]

    def _restart(
        self, known: Upstream, entry: UpstreamEntry, offset: int, now_s: float
    ) -> Upstream:
        self._drop(known)
        successor = known.make_successor(entry, offset, now_s)
        self._insert(successor)
        _log.info(
            "upstream_restarted",
            extra={
                "upstream": known.id,
                "service": entry.service,
                "born": entry.born_ms,
                "before": known.entry.born_ms,
                "offset": offset,
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
        self, name: InstanceId, entry: UpstreamEntry, offset: int, now_s: float
    ) -> Upstream:
        upstream = Upstream(name, entry, offset, now_s)
        self._insert(upstream)
        _log.info(
            "upstream_added",
            extra={
                "upstream": name,
                "service": entry.service,
                "version": entry.version,
                "address": entry.address,
                "offset": offset,
            },
        )
        return upstream

    def _remove(self, upstream: Upstream, now_s: float, was_away: bool) -> None:
        if upstream.state is UpstreamState.GONE:
            return
        is_lapse = was_away and upstream.state in (
            UpstreamState.READY,
            UpstreamState.LAPSED,
        )
        upstream.set_state(
            UpstreamState.LAPSED if is_lapse else UpstreamState.GONE, now_s
        )


def _log_late(known: Upstream, entry: UpstreamEntry, offset: int) -> None:
    _log.info(
        "upstream_entry_late",
        extra={
            "upstream": known.id,
            "born": entry.born_ms,
            "known": known.entry.born_ms,
            "offset": offset,
        },
    )

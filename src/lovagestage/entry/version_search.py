"""Finds upstreams of versions that an entry's own subset lacks.

A subset is chosen by names alone, so that a version which few upstreams have
loaded may be missing from it. Other entries have other subsets: the search asks
some of them which of their sidecars have the version, and connects to these
sidecars as well.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Iterable, Mapping, Sequence

import mode

from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.upstreams import UpstreamTable
from lovagestage.control.reader import ControlReader
from lovagestage.decisions.plain_calls import make_pool_version
from lovagestage.messages.envelope import Message
from lovagestage.messages.peers import (
    VersionAnswer,
    VersionLocation,
    VersionQuestion,
)
from lovagestage.types import PoolId, VmId

_log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
MAX_PAUSE_S = 30.0
"""Longest pause in seconds between searches that find nothing new."""
ASK_TIMEOUT_S = 1.0
MAX_ENTRIES_ASKED = 8
MIN_UPSTREAMS = 4
"""Number of upstreams of each version that an entry tries to know."""


def find_scarce_versions(
    wanted: Iterable[str], loaded: Mapping[VmId, Sequence[str]]
) -> list[str]:
    """Returns the wanted versions that too few known upstreams have loaded.

    Args:
        wanted: Versions in the documents.
        loaded: Loaded versions by upstream.
    """
    counts = dict.fromkeys(wanted, 0)
    for versions in loaded.values():
        for version in counts.keys() & set(versions):
            counts[version] += 1
    return sorted(v for v, count in counts.items() if count < MIN_UPSTREAMS)


def find_locations(
    versions: Iterable[str], loaded: Mapping[VmId, Sequence[str]]
) -> list[VersionLocation]:
    """Returns, for each version, some of the upstreams that have loaded it.

    Args:
        versions: The versions.
        loaded: Loaded versions by upstream.
    """
    locations = []
    for version in versions:
        holders = (vm for vm in sorted(loaded) if version in loaded[vm])
        locations += [
            VersionLocation(vm, version)
            for vm, _ in zip(holders, range(MIN_UPSTREAMS), strict=False)
        ]
    return locations


def choose_extra_upstreams(
    locations: Iterable[VersionLocation],
    wanted: Iterable[str],
    known: Mapping[VmId, Sequence[str]],
) -> frozenset[VmId]:
    """Chooses upstreams to connect to in addition to the subset.

    Args:
        locations: Where versions are loaded, as other entries have reported.
        wanted: Versions in the documents.
        known: Loaded versions by upstream of the subset.
    """
    scarce = set(find_scarce_versions(wanted, known))
    extra: dict[str, list[VmId]] = {version: [] for version in scarce}
    for location in locations:
        vms = extra.get(location.version)
        if vms is not None and len(vms) < MIN_UPSTREAMS:
            vms.append(location.vm)
    return frozenset(vm for vms in extra.values() for vm in vms)


class VersionSearch(mode.Service):
    """Asks other entries where versions are loaded, and answers such questions.

    Args:
        control: Configuration in force.
        upstreams: Connections to sidecars.
        peers: Connections to the other entries.
        hub: Delivers the other entries' questions.
        rng: Source of randomness for the choice of the entries to ask.
    """

    def __init__(
        self,
        control: ControlReader,
        upstreams: UpstreamTable,
        peers: LinkTable,
        hub: Hub,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._control = control
        self._upstreams = upstreams
        self._peers = peers
        self._rng = rng
        self._locations: list[VersionLocation] = []
        self._pause_s = CHECK_INTERVAL_S
        self._next_search_s = 0.0
        hub.register_query_handler(VersionQuestion, self._answer_question)

    @mode.Service.task
    async def _search_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            await self.search(time.monotonic())

    async def search(self, now_s: float) -> None:
        """Searches for scarce versions, with longer pauses while it fails.

        Args:
            now_s: Monotonic time in seconds.
        """
        scarce = find_scarce_versions(
            self._list_wanted_versions(), self._upstreams.get_versions()
        )
        if not scarce or self._upstreams.subset_has_all:
            self._pause_s = CHECK_INTERVAL_S
            return
        if now_s < self._next_search_s:
            return
        found = await self._ask_entries(scarce)
        new_locations = [
            location for location in found if location not in self._locations
        ]
        self._pause_s = (
            CHECK_INTERVAL_S
            if new_locations
            else min(MAX_PAUSE_S, self._pause_s * 2)
        )
        self._next_search_s = now_s + self._pause_s
        self._apply_locations(found)

    def _apply_locations(self, found: list[VersionLocation]) -> None:
        # The extra upstreams' own heartbeats take precedence over the reports
        # of other entries: an upstream that has unloaded the version since is
        # dropped, unless an entry has just reported it again.
        loaded = self._upstreams.get_versions()
        still_loaded = [
            location
            for location in self._locations
            if location.version in loaded.get(location.vm, ())
            and location not in found
        ]
        self._locations = still_loaded + found
        known = self._upstreams.get_subset_versions()
        wanted = self._list_wanted_versions()
        extra = choose_extra_upstreams(self._locations, wanted, known)
        if extra:
            _log.info("versions_found", extra={"upstreams": len(extra)})
        self._upstreams.set_extra_vms(extra)

    def _list_wanted_versions(self) -> set[str]:
        wanted = set()
        for service in self._control.services.values():
            document = service.document
            wanted |= {version.name for version in document.versions}
            wanted |= {
                str(make_pool_version(PoolId(route.pool)))
                for route in document.routes
            }
        return wanted

    async def _ask_entries(self, versions: list[str]) -> list[VersionLocation]:
        entries = self._peers.get_listed()
        chosen_entries = self._rng.sample(
            entries, min(MAX_ENTRIES_ASKED, len(entries))
        )
        question = VersionQuestion(versions)
        answers = await asyncio.gather(
            *(
                self._peers.ask(vm, question, ASK_TIMEOUT_S)
                for vm in chosen_entries
            )
        )
        locations = [
            location
            for answer in answers
            if isinstance(answer, VersionAnswer)
            for location in answer.locations
        ]
        return list(dict.fromkeys(locations))

    async def _answer_question(self, message: Message) -> Message:
        assert isinstance(message, VersionQuestion)
        loaded = self._upstreams.get_versions()
        return VersionAnswer(find_locations(message.versions, loaded))

"""An entry finds versions that its subset lacks by asking other entries."""

from __future__ import annotations

import random
import types

from lovagestage.bus.hub import Hub
from lovagestage.entry.version_search import (
    MAX_PAUSE_S,
    MIN_UPSTREAMS,
    VersionSearch,
    choose_extra_upstreams,
    find_locations,
    find_scarce_versions,
)
from lovagestage.messages.peers import (
    VersionAnswer,
    VersionLocation,
    VersionQuestion,
)

RARE = "rare@1"


class FakeUpstreams:
    def __init__(self, versions) -> None:
        self.versions = versions
        self.subset_has_all = False
        self.extra: frozenset[str] = frozenset()

    def get_versions(self):
        return self.versions

    get_subset_versions = get_versions

    def set_extra_vms(self, vms) -> None:
        self.extra = vms


class FakePeers:
    """Other entries, each with its own upstreams."""

    def __init__(self, loaded) -> None:
        self.loaded = loaded
        self.question_count = 0

    def get_listed(self):
        return list(self.loaded)

    async def ask(self, vm, question, timeout_s):
        del timeout_s
        assert isinstance(question, VersionQuestion)
        self.question_count += 1
        return VersionAnswer(find_locations(question.versions, self.loaded[vm]))


def make_search(upstreams, peers) -> VersionSearch:
    version = types.SimpleNamespace(name=RARE)
    document = types.SimpleNamespace(versions=[version], routes=[])
    service = types.SimpleNamespace(document=document)
    control = types.SimpleNamespace(services={"s": service})
    rng = random.Random(1)
    return VersionSearch(control, upstreams, peers, Hub(), rng)


async def test_version_outside_the_subset_is_connected_to():
    # The caller would be refused for lack of capacity: the only upstream that
    # has loaded the version is outside this entry's subset, but it is in the
    # subset of another entry.
    upstreams = FakeUpstreams({"near": ["common@1"]})
    peers = FakePeers({"e-1": {"near": ["common@1"]}, "e-2": {"far": [RARE]}})
    await make_search(upstreams, peers).search(0.0)
    assert upstreams.extra == {"far"}


async def test_search_pauses_grow_while_nothing_is_found():
    upstreams = FakeUpstreams({"near": ["common@1"]})
    peers = FakePeers({"e-1": {}})
    search = make_search(upstreams, peers)
    for now_s in range(300):
        await search.search(float(now_s))
    assert 300 / MAX_PAUSE_S < peers.question_count < 300 / MAX_PAUSE_S + 6


def test_search_covers_versions_with_too_few_upstreams():
    loaded = {f"vm-{n}": [RARE] for n in range(MIN_UPSTREAMS + 2)}
    assert find_scarce_versions([RARE], loaded) == []
    assert find_scarce_versions([RARE, "b@1"], {"vm-0": [RARE]}) == [
        "b@1",
        RARE,
    ]
    locations = find_locations([RARE], loaded)
    assert len(locations) == MIN_UPSTREAMS
    assert choose_extra_upstreams(locations, [RARE], loaded) == frozenset()
    extra = choose_extra_upstreams([VersionLocation("far", RARE)], [RARE], {})
    assert extra == {"far"}

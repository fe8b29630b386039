"""Bad versions through real processes: stopped by what callers get."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import itertools
import json
import time
import urllib.error
import urllib.request

import msgspec
import pytest

from lab.fleet import Fleet
from lab.shapes import EXAMPLES, SHAPES
from lovagestage.settings import parse_file
from lovagestage.state.document import RolloutSpec, ServiceDocument

DOCUMENT = parse_file(EXAMPLES / "vault.jsonc", ServiceDocument)
NEW = "large@2"
SPEC = RolloutSpec(
    "large@1",
    NEW,
    [0.5, 1.0],
    step_min_s=0.5,
    exposure_budget=120,
    max_quality_drop=0.4,
)
TIMEOUT_S = 15.0
WORKERS = 6
MAX_FAILURES = 60
"""Attempts that fail until both entries have stopped: at a share of a half
16 failed requests are enough, with two attempts each, and some are under way
meanwhile."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got: a version or an error code, and its session."""

    version: str
    code: str
    session: str


class Scene:
    """A fleet of two entries whose roll-outs are published in turn."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._revisions = itertools.count(1)
        self._pool = concurrent.futures.ThreadPoolExecutor(WORKERS)
        fleet.set_fault("rater", delay_s=0.1, sample_ratio=1.0)
        fleet.set_fault("rater", quality={"large@1": 0.9, NEW: 0.9})

    def publish(self, **changes) -> None:
        revision = next(self._revisions)
        # Another time makes it another roll-out than the one before.
        changes["step_min_s"] = SPEC.step_min_s + revision / 1000
        spec = msgspec.structs.replace(SPEC, **changes)
        document = msgspec.structs.replace(DOCUMENT, rollouts={"large": spec})
        self.fleet.publish_document(document, revision)
        self.wait(lambda gate: gate["revision"] == revision + 1, "published")
        self.wait(lambda gate: gate["share"] > 0, "stepping")

    def set_engine_fault(self, **faults) -> None:
        for engine in self.fleet.engines:
            self.fleet.set_fault(engine.name, **faults)

    def get_gates(self) -> list:
        dumps = [self.fleet.get_dump(e.name) for e in self.fleet.entries]
        return [g for d in dumps for g in d["rollouts"]["gates"]]

    def wait(self, is_reached, what: str, send: int = 0) -> None:
        end_s = time.monotonic() + TIMEOUT_S
        while True:
            gates = self.get_gates()
            if len(gates) == 2 and all(map(is_reached, gates)):
                return
            assert time.monotonic() < end_s, (what, gates)
            self.ask_many(send)

    def wait_for_stop(self, send: int = 4) -> None:
        self.wait(lambda gate: gate["stop_reason"], "stopped", send)

    def get_progress(self) -> tuple[int, int]:
        gates = self.get_gates()
        return min(g["step"] for g in gates), max(g["step"] for g in gates)

    def count_new(self) -> int:
        """Requests that engines have begun on, or refused for, `NEW`."""
        stats = [self.fleet.get_stats(e.name) for e in self.fleet.engines]
        return sum(
            each[field].get(NEW, 0)
            for each in stats
            for field in ("tokens_by_model", "refused_by_model")
        )

    def ask_many(self, count: int, **options) -> list[Answer]:
        entries = self.fleet.entries
        urls = [entries[i % len(entries)].url for i in range(count)]
        return list(self._pool.map(lambda u: ask(u, **options), urls))


def ask(url: str, model="large", session="", stream=False) -> Answer:
    body = {"model": model, "max_tokens": 1, "stream": stream}
    body["messages"] = [{"role": "user", "content": f"Why {time.time_ns()}"}]
    headers = {"Authorization": "Bearer key-audit", "X-Session": session}
    request = urllib.request.Request(
        f"{url}/v1/chat/completions", json.dumps(body).encode(), headers
    )
    try:
        with urllib.request.urlopen(request, timeout=30) as response:
            response.read()
            return Answer(
                response.headers["X-Model-Version"],
                "",
                response.headers["X-Session"],
            )
    except urllib.error.HTTPError as refused:
        return Answer("", json.loads(refused.read())["error"]["code"], "")


@pytest.fixture(scope="module")
def scene():
    fleet = Fleet(SHAPES["thin"], ("--base-ttft-ms", "5"))
    fleet.entry_options["lease_ttl_s"] = 2.0
    with fleet:
        yield Scene(fleet)


@pytest.mark.parametrize("stream", [False, True])
def test_garbage_is_stopped_by_ratings(scene, stream):
    # The new version answers, fast and without error, with garbage. Only the
    # rater sees it, a moment later. The first entry with enough ratings stops
    # and tells the other; from then on callers of either get the old version.
    scene.publish()
    scene.set_engine_fault(bad_version=NEW)
    before = scene.count_new()
    end_s = time.monotonic() + TIMEOUT_S
    while not all(g["stop_reason"] for g in scene.get_gates()):
        assert time.monotonic() < end_s, scene.get_gates()
        scene.ask_many(4, stream=stream)
    stopped = scene.count_new()
    answers = scene.ask_many(40, stream=stream)
    scene.set_engine_fault(bad_version=None)
    # Ratings come late; until then the step's budget is the bound.
    assert 0 < stopped - before <= SPEC.exposure_budget
    assert scene.count_new() == stopped
    assert {a.version for a in answers} == {SPEC.old}


@pytest.mark.parametrize("log_down", [False, True])
def test_errors_stop_a_version_with_or_without_the_log(scene, log_down):
    # Each engine answers 500 for the new version. The entry that saw the
    # failures stops at once by itself and tells the other, whether the log
    # takes the record or not. Once it does, the log has the stop as well.
    scene.publish()
    scene.fleet.set_fault("log", outage=log_down)
    scene.set_engine_fault(refuse_model=NEW)
    before = scene.count_new()
    scene.wait_for_stop()
    stopped = scene.count_new()
    answers = scene.ask_many(40)
    after = scene.count_new()
    scene.set_engine_fault(refuse_model=None)
    scene.fleet.set_fault("log", outage=False)
    assert 0 < stopped - before <= MAX_FAILURES
    assert after == stopped
    assert {a.version for a in answers} == {SPEC.old}
    # The share that the log allows has gone to nothing: the stop is in it.
    scene.wait(lambda gate: gate["is_recorded"], "recorded")


def test_restarted_entry_keeps_to_a_stop_that_the_log_has_not(scene):
    # The log is down, an entry has stopped a version, and the other entry is
    # replaced: the new process begins with a gate that knows of no stop. It
    # hears of it with the first report of its peer.
    scene.publish()
    scene.fleet.set_fault("log", outage=True)
    scene.set_engine_fault(refuse_model=NEW)
    scene.wait_for_stop()
    scene.fleet.kill("entry-1")
    scene.fleet.start_entry(1)
    scene.fleet.wait_until_ready(scene.fleet.children["entry-1"])
    scene.wait_for_stop(send=0)
    answers = scene.ask_many(40)
    scene.set_engine_fault(refuse_model=None)
    scene.fleet.set_fault("log", outage=False)
    assert {a.version for a in answers} == {SPEC.old}


def test_open_session_ends_with_a_stopped_version(scene):
    # A conversation runs on the new version when it is stopped. Its next
    # request is refused as for a withdrawn version, and was not run; so is a
    # request that names the version. A conversation on the old one goes on.
    scene.publish()
    url = scene.fleet.entries[0].url
    opened = {a.version: a.session for a in scene.ask_many(30)}
    scene.set_engine_fault(refuse_model=NEW)
    scene.wait_for_stop()
    scene.set_engine_fault(refuse_model=None)
    ended = ask(url, session=opened[NEW])
    named = ask(url, model=NEW)
    kept = ask(url, session=opened[SPEC.old])
    assert ended.code == "session_version_withdrawn"
    assert named.code == "model_not_allowed"
    assert kept.version == SPEC.old


def test_good_version_goes_through_all_steps(scene):
    # Nothing is wrong with the new version. Ratings of both entries add up to
    # the proof that each step needs; the driver waits for it and moves on.
    scene.publish(max_quality_drop=0.6, exposure_budget=2000)
    scene.wait(lambda gate: gate["step"] >= 1, "second step", send=24)
    scene.wait(lambda gate: gate["step"] >= 2, "done", send=24)
    assert not any(g["stop_reason"] for g in scene.get_gates())


def test_cascade_follows_the_ratings_of_the_cheap_version():
    # A class begins with its best version. Ratings of a few explored answers
    # prove the cheap one good enough, at either entry; most requests then go
    # there. It turns bad: within a few windows the class is back on the best.
    fleet = Fleet(SHAPES["thin"], ("--base-ttft-ms", "5"))
    fleet.entry_options["learning_window_s"] = 1.0
    with fleet:
        scene = Scene(fleet)
        fleet.set_fault("rater", quality={"small@1": 0.95, "large@1": 0.95})
        first = scene.ask_many(8, model="vault")
        # One of them may already be explored.
        assert [a.version for a in first].count("large@1") >= 7
        wait_for_share(scene, lambda cheap: cheap > 0.7)
        fleet.set_fault("rater", quality={"small@1": 0.1, "large@1": 0.95})
        wait_for_share(scene, lambda cheap: cheap < 0.3)


def wait_for_share(scene, is_reached) -> None:
    end_s = time.monotonic() + 3 * TIMEOUT_S
    while True:
        answers = scene.ask_many(60, model="vault")
        cheap = sum(a.version == "small@1" for a in answers) / len(answers)
        if is_reached(cheap):
            return
        assert time.monotonic() < end_s, cheap

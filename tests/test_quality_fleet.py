"""Bad versions in real processes are stopped by what callers receive."""

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
from lovagestage.settings import parse_json_file
from lovagestage.state.document import RolloutSpec, ServiceDocument

DOCUMENT = parse_json_file(EXAMPLES / "vault.jsonc", ServiceDocument)
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
"""Largest number of attempts that may fail until both entries have stopped: at
a share of one half 16 failed requests are enough, each with two attempts, and
some more requests are in progress meanwhile."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller received: a version or an error code, and a session."""

    version: str
    code: str
    session: str


class RolloutHarness:
    """A fleet of two entries whose roll-outs are published in turn."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._revisions = itertools.count(1)
        self._pool = concurrent.futures.ThreadPoolExecutor(WORKERS)
        fleet.set_fault("rater", delay_s=0.1, sample_ratio=1.0)
        fleet.set_fault("rater", quality={"large@1": 0.9, NEW: 0.9})

    def publish(self, **changes) -> None:
        revision = next(self._revisions)
        # Another step time makes this a different roll-out from the last one.
        changes["step_min_s"] = SPEC.step_min_s + revision / 1000
        spec = msgspec.structs.replace(SPEC, **changes)
        document = msgspec.structs.replace(DOCUMENT, rollouts={"large": spec})
        self.fleet.publish_document(document, revision)
        self.wait_for_gates(
            lambda gate: gate["revision"] == revision + 1, "published"
        )
        self.wait_for_gates(lambda gate: gate["share"] > 0, "stepping")

    def set_engine_fault(self, **faults) -> None:
        for engine in self.fleet.engines:
            self.fleet.set_fault(engine.name, **faults)

    def get_gates(self) -> list:
        dumps = [self.fleet.get_dump(e.name) for e in self.fleet.entries]
        return [g for d in dumps for g in d["rollouts"]["gates"]]

    def wait_for_gates(self, is_reached, what: str, send: int = 0) -> None:
        end_s = time.monotonic() + TIMEOUT_S
        while True:
            gates = self.get_gates()
            if len(gates) == 2 and all(map(is_reached, gates)):
                return
            assert time.monotonic() < end_s, (what, gates)
            self.send_requests(send)

    def wait_for_stop(self, send: int = 4) -> None:
        self.wait_for_gates(lambda gate: gate["stop_reason"], "stopped", send)

    def get_progress(self) -> tuple[int, int]:
        gates = self.get_gates()
        return min(g["step"] for g in gates), max(g["step"] for g in gates)

    def count_new_version_requests(self) -> int:
        """Returns the requests that engines have started or refused for `NEW`.

        Started requests are counted by their tokens; each asks for one token.
        """
        stats = [self.fleet.get_stats(e.name) for e in self.fleet.engines]
        return sum(
            engine_stats[field].get(NEW, 0)
            for engine_stats in stats
            for field in ("tokens_by_model", "refused_by_model")
        )

    def send_requests(self, count: int, **options) -> list[Answer]:
        entries = self.fleet.entries
        urls = [entries[i % len(entries)].url for i in range(count)]
        return list(self._pool.map(lambda u: send_request(u, **options), urls))


def send_request(url: str, model="large", session="", stream=False) -> Answer:
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
    except urllib.error.HTTPError as http_error:
        return Answer("", json.loads(http_error.read())["error"]["code"], "")


@pytest.fixture(scope="module")
def harness():
    fleet = Fleet(SHAPES["thin"], ("--base-ttft-ms", "5"))
    fleet.entry_options["lease_ttl_s"] = 2.0
    with fleet:
        yield RolloutHarness(fleet)


@pytest.mark.parametrize("stream", [False, True])
def test_garbage_is_stopped_by_ratings(harness, stream):
    # The new version answers fast and without errors, but with garbage. Only
    # the rater detects that, a moment later. The first entry with enough
    # ratings stops the version and informs the other entry; from then on the
    # callers of both entries get the old version.
    harness.publish()
    harness.set_engine_fault(bad_version=NEW)
    count_before = harness.count_new_version_requests()
    end_s = time.monotonic() + TIMEOUT_S
    while not all(g["stop_reason"] for g in harness.get_gates()):
        assert time.monotonic() < end_s, harness.get_gates()
        harness.send_requests(4, stream=stream)
    count_at_stop = harness.count_new_version_requests()
    answers = harness.send_requests(40, stream=stream)
    harness.set_engine_fault(bad_version=None)
    # Ratings arrive late; until then the budget of the step is the limit.
    assert 0 < count_at_stop - count_before <= SPEC.exposure_budget
    assert harness.count_new_version_requests() == count_at_stop
    assert {a.version for a in answers} == {SPEC.old}


@pytest.mark.parametrize("log_down", [False, True])
def test_errors_stop_a_version_with_or_without_the_log(harness, log_down):
    # Each engine answers 500 for the new version. The entry that received the
    # failures stops the version immediately on its own and informs the other
    # entry, whether or not the log accepts the record. Once the log accepts
    # appends again, it contains the stop as well.
    harness.publish()
    harness.fleet.set_fault("log", outage=log_down)
    harness.set_engine_fault(refuse_model=NEW)
    count_before = harness.count_new_version_requests()
    harness.wait_for_stop()
    count_at_stop = harness.count_new_version_requests()
    answers = harness.send_requests(40)
    count_after = harness.count_new_version_requests()
    harness.set_engine_fault(refuse_model=None)
    harness.fleet.set_fault("log", outage=False)
    assert 0 < count_at_stop - count_before <= MAX_FAILURES
    assert count_after == count_at_stop
    assert {a.version for a in answers} == {SPEC.old}
    # The share that the log allows has become 0, because the log contains the
    # stop.
    harness.wait_for_gates(lambda gate: gate["is_recorded"], "recorded")


def test_restarted_entry_applies_a_stop_missing_from_the_log(harness):
    # The log is down, an entry has stopped a version, and the other entry is
    # replaced. The new process starts with a gate that knows of no stop, and
    # receives the stop with the first report of its peer.
    harness.publish()
    harness.fleet.set_fault("log", outage=True)
    harness.set_engine_fault(refuse_model=NEW)
    harness.wait_for_stop()
    harness.fleet.kill("entry-1")
    harness.fleet.start_entry(1)
    harness.fleet.wait_until_ready(harness.fleet.children["entry-1"])
    harness.wait_for_stop(send=0)
    answers = harness.send_requests(40)
    harness.set_engine_fault(refuse_model=None)
    harness.fleet.set_fault("log", outage=False)
    assert {a.version for a in answers} == {SPEC.old}


def test_open_session_ends_with_a_stopped_version(harness):
    # A session runs on the new version when that is stopped. Its next request
    # is refused as for a withdrawn version, and was not run; so is a request
    # that names the version. A session on the old version continues.
    harness.publish()
    url = harness.fleet.entries[0].url
    sessions = {a.version: a.session for a in harness.send_requests(30)}
    harness.set_engine_fault(refuse_model=NEW)
    harness.wait_for_stop()
    harness.set_engine_fault(refuse_model=None)
    ended = send_request(url, session=sessions[NEW])
    by_name = send_request(url, model=NEW)
    continued = send_request(url, session=sessions[SPEC.old])
    assert ended.code == "session_version_withdrawn"
    assert by_name.code == "model_not_allowed"
    assert continued.version == SPEC.old


def test_good_version_goes_through_all_steps(harness):
    # The new version is good. The ratings of both entries add up to the proof
    # that each step needs; the roll-out driver waits for the proof and then
    # proceeds to the next step.
    harness.publish(max_quality_drop=0.6, exposure_budget=2000)
    harness.wait_for_gates(
        lambda gate: gate["step"] >= 1, "second step", send=24
    )
    harness.wait_for_gates(lambda gate: gate["step"] >= 2, "done", send=24)
    assert not any(g["stop_reason"] for g in harness.get_gates())


def test_cascade_adapts_to_ratings_of_the_cheap_version():
    # A class starts with its best version. The ratings of a few explored
    # answers prove at both entries that the cheap version is good enough, and
    # most requests then go to it. When the cheap version becomes bad, the
    # class is back on the best version within a few windows.
    fleet = Fleet(SHAPES["thin"], ("--base-ttft-ms", "5"))
    fleet.entry_options["learning_window_s"] = 1.0
    with fleet:
        harness = RolloutHarness(fleet)
        fleet.set_fault("rater", quality={"small@1": 0.95, "large@1": 0.95})
        first_answers = harness.send_requests(8, model="vault")
        # One of the answers may already be explored.
        assert [a.version for a in first_answers].count("large@1") >= 7
        wait_for_share(harness, lambda cheap_share: cheap_share > 0.7)
        fleet.set_fault("rater", quality={"small@1": 0.1, "large@1": 0.95})
        wait_for_share(harness, lambda cheap_share: cheap_share < 0.3)


def wait_for_share(harness, is_reached) -> None:
    end_s = time.monotonic() + 3 * TIMEOUT_S
    while True:
        answers = harness.send_requests(60, model="vault")
        cheap_share = sum(a.version == "small@1" for a in answers) / len(
            answers
        )
        if is_reached(cheap_share):
            return
        assert time.monotonic() < end_s, cheap_share

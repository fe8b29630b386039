"""Entries that are connected only to a subset of the fleet's processes."""

from __future__ import annotations

import http.client
import json
import os
import signal
import threading
import time

import pytest

from lab.fleet import Fleet
from lab.shapes import Shape
from tests.test_thin_path import MESSAGES

ENTRIES = 7
SHAPE = Shape("vault", ("lhe-a", "lhe-b"), ENTRIES, 4, 0, "large@1,small@1")
OPTIONS = {"upstream_subset": 1, "peer_subset": 1, "member_silence_s": 2.0}


@pytest.fixture(scope="module")
def fleet():
    with Fleet(SHAPE, entry_options=OPTIONS) as started:
        wait_for(lambda: count_members(started, 0) == ENTRIES, 20)
        yield started


def wait_for(condition, limit_s: float) -> None:
    deadline_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.1)


def count_members(fleet: Fleet, index: int) -> int:
    dump = fleet.get_dump(f"entry-{index}")
    return len(dump["request_keys"]["members"])


def post(fleet: Fleet, index: int, key: str, results: list) -> None:
    connection = http.client.HTTPConnection(
        "127.0.0.1", fleet.entries[index].port, timeout=20
    )
    body = {"model": "large@1", "messages": MESSAGES, "max_tokens": 60}
    headers = {"Authorization": "Bearer key-audit", "Idempotency-Key": key}
    connection.request(
        "POST", "/v1/chat/completions", json.dumps(body), headers
    )
    response = connection.getresponse()
    results.append((response.status, response.read()))


def test_entry_keeps_links_to_a_part_of_the_fleet(fleet):
    dumps = [fleet.get_dump(f"entry-{index}") for index in range(ENTRIES)]
    kept_counts = [
        sum(upstream["kept"] for upstream in dump["upstreams"])
        for dump in dumps
    ]
    assert min(kept_counts) < SHAPE.engines
    peer_counts = [
        sum(peer["kept"] for peer in dump["peers"]) for dump in dumps
    ]
    assert min(peer_counts) < ENTRIES - 1


def test_retry_joins_a_run_outside_the_subset(fleet):
    # Guards against several runs of one key. Requests with the same key reach
    # all entries at the same time. Most entries are connected neither to the
    # key's owner nor to the sidecar that runs the request, and open these
    # connections for the request. Every entry sends the same answer.
    results: list = []
    threads = [
        threading.Thread(target=post, args=(fleet, index, "joined", results))
        for index in range(ENTRIES)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    assert len(results) == ENTRIES
    assert len({(status, body) for status, body in results}) == 1, results
    assert results[0][0] == 200
    stats = [fleet.get_stats(engine.name)["runs"] for engine in fleet.engines]
    assert sum(sum(runs.values()) for runs in stats) == 1


def test_paused_entry_is_removed_by_those_that_watch_it(fleet):
    # An entry is paused, so that its port still accepts connections. Most
    # entries have no connection to it and would never detect that. While it
    # is a member, callers with a key that it held would be refused.
    process_id = fleet.children["entry-0"].process.pid
    os.kill(process_id, signal.SIGSTOP)
    try:
        wait_for(lambda: count_members(fleet, 1) == ENTRIES - 1, 20)
        assert count_members(fleet, 2) >= ENTRIES - 1
    finally:
        os.kill(process_id, signal.SIGCONT)

"""Entries that are each connected to a part of the fleet only."""

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
    end_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end_s
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
    dumps = [fleet.get_dump(f"entry-{n}") for n in range(ENTRIES)]
    kept = [sum(u["kept"] for u in dump["upstreams"]) for dump in dumps]
    assert min(kept) < SHAPE.engines
    peers = [sum(p["kept"] for p in dump["peers"]) for dump in dumps]
    assert min(peers) < ENTRIES - 1


def test_retry_joins_a_run_outside_the_subset(fleet):
    # Every entry gets the one answer. The same key comes through all entries
    # at once; most are connected neither to the key's owner nor to the
    # sidecar that runs it, and make these connections for it.
    results: list = []
    threads = [
        threading.Thread(target=post, args=(fleet, n, "joined", results))
        for n in range(ENTRIES)
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
    # Callers with a key that the entry held would be refused as long as it
    # is a member. It is paused, so that its port still takes connections;
    # most entries have none to it and would never notice.
    process_id = fleet.children["entry-0"].process.pid
    os.kill(process_id, signal.SIGSTOP)
    try:
        wait_for(lambda: count_members(fleet, 1) == ENTRIES - 1, 20)
        assert count_members(fleet, 2) >= ENTRIES - 1
    finally:
        os.kill(process_id, signal.SIGCONT)

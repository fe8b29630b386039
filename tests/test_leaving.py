"""A process that is leaving gets no new work, and its open work is finished."""

from __future__ import annotations

import asyncio
import http.client
import json
import threading
import time

import pytest

from lab.demo import make_client
from lab.fleet import Fleet
from lab.shapes import SHAPES
from lovagestage.messages.runs import Ack, Chunk, Finished
from tests.test_connections import StreamReader, post_plain, wait_for_runs
from tests.test_runs import (
    KEY,
    FakeEngine,
    make_dispatch,
    make_table,
    wait_until_engine_is_idle,
)
from tests.test_thin_path import MESSAGES, get_expected_text

LEAVING_S = 2.0
LISTED_S = 4.0


@pytest.fixture
def fleet():
    with Fleet(SHAPES["thin"]) as running_fleet:
        yield running_fleet


def count_runs(fleet: Fleet, engine: str) -> int:
    return sum(fleet.get_stats(engine)["runs"].values())


def test_kept_alive_connection_of_a_leaving_entry_is_served_then_closed(fleet):
    # A request on a kept-alive connection is answered even after the entry
    # was ordered to stop. The answer says that the connection closes, so that
    # the next request goes to another entry. A caller with an idle connection
    # does not delay the stop.
    port = fleet.entries[0].port
    kept_alive = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    idle = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    headers = {"Authorization": "Bearer key-audit"}
    for connection in (kept_alive, idle):
        connection.request("GET", "/v1/models", headers=headers)
        assert connection.getresponse().read()
    exit_codes = []
    stop = threading.Thread(
        target=lambda: exit_codes.append(fleet.stop("entry-0"))
    )
    stop.start()
    time.sleep(0.3)
    body = {"model": "large@1", "messages": MESSAGES, "max_tokens": 300}
    kept_alive.request(
        "POST", "/v1/chat/completions", json.dumps(body), headers=headers
    )
    response = kept_alive.getresponse()
    answer = json.loads(response.read())
    assert response.headers["Connection"] == "close"
    text = answer["choices"][0]["message"]["content"]
    assert text == get_expected_text("large@1", 300)
    stop.join(10)
    assert exit_codes == [0]


def test_stopping_sidecar_gets_no_new_requests_and_completes_open_streams(
    fleet,
):
    # Callers get no refusal. A sidecar with an open stream receives SIGTERM:
    # two seconds later no new request runs there, and the stream is complete.
    readers = [StreamReader(fleet, 400) for _ in range(6)]
    wait_for_runs(fleet, 6)
    exit_codes = []
    stop = threading.Thread(
        target=lambda: exit_codes.append(fleet.stop("sidecar-0"))
    )
    stop.start()
    start_s = time.monotonic()
    runs_when_leaving = None
    while time.monotonic() < start_s + LEAVING_S + 1:
        if runs_when_leaving is None and time.monotonic() > start_s + LEAVING_S:
            runs_when_leaving = count_runs(fleet, "engine-0")
        response, answer = post_plain(fleet, "restore")
        assert response.status == 200, (
            f"{time.monotonic() - start_s:.3f} s after the signal: {answer}"
            f"\n{fleet.get_log_tail('entry-0')}"
            f"\n{fleet.get_log_tail('sidecar-1')}"
        )
    assert count_runs(fleet, "engine-0") == runs_when_leaving
    for reader in readers:
        reader.join(20)
        assert reader.text == get_expected_text("large@1", 400)
    stop.join(10)
    assert exit_codes == [0]


def test_upstream_listed_as_leaving_gets_no_new_requests(fleet):
    # The sidecar does not know yet that its VM is leaving. Only the platform's
    # list, which is a second late, says so.
    bus = fleet.children["sidecar-0"].bus
    entry = {"vm": "sidecar-0", "role": "sidecar", "zone": "lhe-a"}
    fleet.set_vm("sidecar-0", {**entry, "bus": bus, "state": "leaving"})
    time.sleep(LISTED_S)
    runs_before = count_runs(fleet, "engine-0")
    client = make_client(fleet)
    for _ in range(12):
        client.chat.completions.create(
            model="large@1", messages=MESSAGES, max_tokens=1
        )
    assert count_runs(fleet, "engine-0") == runs_before
    assert count_runs(fleet, "engine-1") >= 12


async def test_stop_waits_for_a_slow_reader_to_get_the_end():
    # The engine has finished and the sidecar was ordered to stop, but the
    # caller reads slowly and its window is full. A stop at this point would
    # truncate the caller's stream.
    engine = FakeEngine(200)
    table, hub = make_table(engine)
    table.start(b"entry", make_dispatch())
    await wait_until_engine_is_idle(engine)
    assert engine.event_count == 200
    with pytest.raises(TimeoutError):
        await wait_until_delivered_within(table, 0.2)
    while not hub.get(Finished):
        last = hub.get(Chunk)[-1]
        table.acknowledge(b"entry", Ack(*KEY, last.seq + last.count))
    await wait_until_delivered_within(table, 0.2)


async def wait_until_delivered_within(table, timeout_s: float) -> None:

    await asyncio.wait_for(table.wait_until_delivered(), timeout_s)

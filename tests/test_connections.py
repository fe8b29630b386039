"""Connections that die or go silent between entry, sidecar and engine."""

from __future__ import annotations

import http.client
import json
import os
import signal
import threading
import time

import pytest

from lab.demo import make_client
from lab.fleet import Fleet
from lab.relay import Relay
from lab.shapes import SHAPES
from tests.test_thin_path import MESSAGES, get_expected_text

TOKENS = 150
SERVICE_GAP_S = 1.0
POLL_S = 0.02


@pytest.fixture
def fleet():
    with Fleet(SHAPES["thin"]) as started:
        yield started


class StreamReader(threading.Thread):
    """Reads one stream and keeps text, error and the longest gap."""

    def __init__(self, fleet: Fleet, tokens: int = TOKENS) -> None:
        super().__init__(daemon=True)
        self.text = ""
        self.error: Exception | None = None
        self.gap_s = 0.0
        self._client = make_client(fleet)
        self._tokens = tokens
        self.start()

    def run(self) -> None:
        try:
            last_s = 0.0
            for chunk in self._client.chat.completions.create(
                model="large@1",
                messages=MESSAGES,
                max_tokens=self._tokens,
                stream=True,
            ):
                now_s = time.monotonic()
                self.gap_s = max(self.gap_s, now_s - (last_s or now_s))
                last_s = now_s
                self.text += chunk.choices[0].delta.content or ""
        except Exception as error:
            self.error = error


def post_plain(
    fleet: Fleet, request_class: str, tokens: int = 4, timeout: float = 20
):
    connection = http.client.HTTPConnection(
        "127.0.0.1", fleet.entries[0].port, timeout=timeout
    )
    body = {"model": "large@1", "messages": MESSAGES, "max_tokens": tokens}
    headers = {"Authorization": "Bearer key-audit"}
    headers["X-Request-Class"] = request_class
    connection.request(
        "POST", "/v1/chat/completions", json.dumps(body), headers
    )
    response = connection.getresponse()
    return response, json.loads(response.read())


def start_relays(fleet: Fleet) -> list[Relay]:
    relays = []
    for name, child in fleet.children.items():
        if name.startswith("sidecar"):
            relay = Relay(child.bus).__enter__()
            relays.append(relay)
            fleet.set_vm_bus(name, relay.address)
    end_s = time.monotonic() + 8
    while not all(relay.accepted for relay in relays):
        assert time.monotonic() < end_s
        time.sleep(POLL_S)
    time.sleep(1.0)
    return relays


def get_total_runs(fleet: Fleet) -> int:
    return sum(
        sum(fleet.get_stats(engine.name)["runs"].values())
        for engine in fleet.engines
    )


def wait_for_runs(fleet: Fleet, count: int) -> None:
    end_s = time.monotonic() + 5
    while get_total_runs(fleet) < count:
        assert time.monotonic() < end_s
        time.sleep(POLL_S)


@pytest.mark.parametrize("role", ["sidecar", "engine"])
def test_service_goes_on_within_a_second_of_a_kill(fleet, role):
    # The caller waits under a second longer than usual. A process is killed
    # while plain requests run through it. Its port refuses connections, which
    # proves that it is gone, so the entry sends them elsewhere at once and
    # does not wait for a silence to grow long.
    took_s = []

    def call() -> None:
        start_s = time.monotonic()
        response, _ = post_plain(fleet, "restore", 40)
        assert response.status == 200
        took_s.append(time.monotonic() - start_s)

    call()
    usual_s = took_s.pop()
    threads = [threading.Thread(target=call) for _ in range(8)]
    for thread in threads:
        thread.start()
    wait_for_runs(fleet, 9)
    fleet.kill(f"{role}-0")
    for thread in threads:
        thread.join(20)
    assert len(took_s) == 8
    assert max(took_s) < 2 * usual_s + SERVICE_GAP_S


def test_stream_goes_on_over_a_new_connection(fleet):
    # The caller sees a pause and then the rest of its stream, each byte once.
    # Something on the way swallows the bytes of all open connections to the
    # sidecars while new ones work; heartbeats end, a new connection is opened
    # and the run is read on from the next chunk. It is not run again.
    relays = start_relays(fleet)
    reader = StreamReader(fleet, 400)
    wait_for_runs(fleet, 1)
    for relay in relays:
        relay.swallow_existing()
    reader.join(20)
    assert (reader.error, reader.text) == (
        None,
        get_expected_text("large@1", 400),
    )
    assert get_total_runs(fleet) == 1


def test_lost_dispatch_is_proved_not_run_and_sent_again(fleet):
    # The caller of a request that may run only once gets its answer. The
    # dispatch vanishes on a connection that has gone silent. On the new
    # connection the sidecar finds that it never saw the run, bars it for
    # ever, and says so: only then is it safe to send the request again.
    for relay in start_relays(fleet):
        relay.swallow_existing()
    response, answer = post_plain(fleet, "policy-draft")
    assert response.status == 200, answer
    assert int(response.headers["X-Attempts"]) > 1
    assert get_total_runs(fleet) == 1


def test_stream_outlives_an_engine_connection_gone_silent(fleet):
    # The caller sees a short pause and its whole stream. The engine's
    # connection goes silent after some tokens and stays open; the sidecar
    # notices that no progress comes and resumes the stream on a new one.
    for engine in fleet.engines:
        fleet.set_fault(engine.name, silent_after_tokens=20)
    reader = StreamReader(fleet, 60)
    reader.join(20)
    assert (reader.error, reader.text) == (
        None,
        get_expected_text("large@1", 60),
    )
    assert reader.gap_s < 6.0
    assert get_total_runs(fleet) == 1


def test_frames_of_a_resumed_sidecar_are_dropped(fleet):
    # The caller gets one whole answer. The sidecar is paused while it runs a
    # repeatable request, is given up, and the request runs elsewhere; then
    # the sidecar goes on and sends frames of the old attempt.
    results = []
    thread = threading.Thread(
        target=lambda: results.append(post_plain(fleet, "restore", 200))
    )
    thread.start()
    wait_for_runs(fleet, 1)
    name = next(
        f"sidecar-{engine.name[-1]}"
        for engine in fleet.engines
        if fleet.get_stats(engine.name)["runs"]
    )
    process_id = fleet.children[name].process.pid
    os.kill(process_id, signal.SIGSTOP)
    wait_for_runs_elsewhere_s = time.monotonic() + 8
    while get_total_runs(fleet) < 2:
        assert time.monotonic() < wait_for_runs_elsewhere_s
        time.sleep(POLL_S)
    os.kill(process_id, signal.SIGCONT)
    thread.join(20)
    response, answer = results[0]
    assert response.headers["X-Attempts"] == "2"
    text = answer["choices"][0]["message"]["content"]
    assert text == get_expected_text("large@1", 200)


@pytest.mark.parametrize("stream", [False, True])
def test_caller_that_leaves_cancels_at_the_engine(fleet, stream):
    # The caller closes its connection in the middle of an answer. The entry
    # sees it and cancels at the sidecar, which cancels at the engine; without
    # it the engine would spend thousands of tokens on nobody.
    connection = http.client.HTTPConnection("127.0.0.1", fleet.entries[0].port)
    body = {"model": "large@1", "messages": MESSAGES, "max_tokens": 4000}
    connection.request(
        "POST",
        "/v1/chat/completions",
        json.dumps({**body, "stream": stream}),
        {"Authorization": "Bearer key-audit"},
    )
    wait_for_runs(fleet, 1)
    connection.close()
    end_s = time.monotonic() + 3
    while not any(
        fleet.get_stats(engine.name)["cancels"] for engine in fleet.engines
    ):
        assert time.monotonic() < end_s, "nothing was cancelled"
        time.sleep(POLL_S)

"""Connections between entry, sidecar and engine that close or stop working."""

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
MAX_EXTRA_DELAY_S = 1.0
POLL_S = 0.02


@pytest.fixture
def fleet():
    with Fleet(SHAPES["thin"]) as started:
        yield started


class StreamReader(threading.Thread):
    """Reads one stream; records text, error and longest chunk interval."""

    def __init__(self, fleet: Fleet, tokens: int = TOKENS) -> None:
        super().__init__(daemon=True)
        self.text = ""
        self.error: Exception | None = None
        self.longest_interval_s = 0.0
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
                self.longest_interval_s = max(
                    self.longest_interval_s, now_s - (last_s or now_s)
                )
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
    deadline_s = time.monotonic() + 8
    while not all(relay.accepted for relay in relays):
        assert time.monotonic() < deadline_s
        time.sleep(POLL_S)
    time.sleep(1.0)
    return relays


def get_total_runs(fleet: Fleet) -> int:
    return sum(
        sum(fleet.get_stats(engine.name)["runs"].values())
        for engine in fleet.engines
    )


def wait_for_runs(fleet: Fleet, count: int) -> None:
    deadline_s = time.monotonic() + 5
    while get_total_runs(fleet) < count:
        assert time.monotonic() < deadline_s
        time.sleep(POLL_S)


@pytest.mark.parametrize("role", ["sidecar", "engine"])
def test_service_goes_on_within_a_second_of_a_kill(fleet, role):
    # Guards against long waits of callers after a crash. A process is killed
    # while plain requests run through it. Its port refuses connections, which
    # proves that it has ended, so the entry sends the requests elsewhere
    # immediately, without waiting for the inactivity timeout. A caller waits
    # under a second longer than usual.
    durations_s = []

    def call() -> None:
        start_s = time.monotonic()
        response, _ = post_plain(fleet, "restore", 40)
        assert response.status == 200
        durations_s.append(time.monotonic() - start_s)

    call()
    usual_duration_s = durations_s.pop()
    threads = [threading.Thread(target=call) for _ in range(8)]
    for thread in threads:
        thread.start()
    wait_for_runs(fleet, 9)
    fleet.kill(f"{role}-0")
    for thread in threads:
        thread.join(20)
    assert len(durations_s) == 8
    assert max(durations_s) < 2 * usual_duration_s + MAX_EXTRA_DELAY_S


def test_stream_goes_on_over_a_new_connection(fleet):
    # A relay drops the bytes of all open connections to the sidecars while
    # new connections work. Heartbeats stay unanswered, a new connection is
    # opened, and the run is resumed at the next chunk without a second run.
    # The caller receives a pause and each byte once.
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
    # The dispatch of a request that may run only once is lost on a connection
    # that drops all bytes. On the new connection the sidecar finds that it
    # never received the run, refuses it for good and reports that. Only then
    # is it safe to send the request again, and the caller gets its answer.
    for relay in start_relays(fleet):
        relay.swallow_existing()
    response, answer = post_plain(fleet, "policy-draft")
    assert response.status == 200, answer
    assert int(response.headers["X-Attempts"]) > 1
    assert get_total_runs(fleet) == 1


def test_stream_outlives_an_engine_connection_gone_silent(fleet):
    # The engine's connection stays open but sends no data after some tokens.
    # The sidecar detects the missing progress and resumes the stream on a new
    # connection. The caller receives the complete stream with a short pause.
    for engine in fleet.engines:
        fleet.set_fault(engine.name, silent_after_tokens=20)
    reader = StreamReader(fleet, 60)
    reader.join(20)
    assert (reader.error, reader.text) == (
        None,
        get_expected_text("large@1", 60),
    )
    assert reader.longest_interval_s < 6.0
    assert get_total_runs(fleet) == 1


def test_frames_of_a_resumed_sidecar_are_dropped(fleet):
    # Guards against frames of two attempts in one answer. A sidecar is paused
    # while it runs a repeatable request and is considered lost, so the request
    # runs elsewhere. Then the sidecar continues and sends frames of the old
    # attempt.
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
    second_run_deadline_s = time.monotonic() + 8
    while get_total_runs(fleet) < 2:
        assert time.monotonic() < second_run_deadline_s
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
    # detects that and cancels at the sidecar, which cancels at the engine.
    # Without the cancellation the engine would generate thousands of tokens
    # for no caller.
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
    deadline_s = time.monotonic() + 3
    while not any(
        fleet.get_stats(engine.name)["cancels"] for engine in fleet.engines
    ):
        assert time.monotonic() < deadline_s, "nothing was cancelled"
        time.sleep(POLL_S)

"""Billing in real processes, with an entry killed and the log unavailable."""

from __future__ import annotations

import concurrent.futures
import http.client
import json
import time

import pytest

from lab.fleet import Fleet
from lab.shapes import SHAPES
from lovagestage.cli import main
from tests.test_sessions_fleet import send_request

REQUESTS = 40
REQUESTS_SENT = 30
TOKENS = 8


@pytest.fixture
def small_fleet():
    fleet = Fleet(SHAPES["thin"])
    with fleet:
        yield fleet


def get_usage(fleet, capsys):
    capsys.readouterr()
    assert main(["usage", "--json", "--log", fleet.children["log"].url]) == 0
    return json.loads(capsys.readouterr().out)["sums"]


def wait_for_usage(fleet, capsys, requests, timeout_s):
    end_s = time.monotonic() + timeout_s
    while True:
        sums = get_usage(fleet, capsys)
        count = sum(usage["requests"] for usage in sums)
        if count >= requests or time.monotonic() > end_s:
            return count, sum(usage["completion_tokens"] for usage in sums)
        time.sleep(0.3)


def get_runs(fleet):
    runs: dict[str, int] = {}
    for engine in fleet.engines:
        for request_id, count in fleet.get_stats(engine.name)["runs"].items():
            runs[request_id] = runs.get(request_id, 0) + count
    return runs


def test_killed_entry_loses_no_bill(small_fleet, capsys):
    # Callers get complete answers through entry-0, plain and streamed. The
    # entry is killed after the last answer, before its bills are in the log.
    # The other entry holds copies that are no longer renewed, and appends
    # them: the usage equals what the engines ran.
    fleet = small_fleet
    fleet.set_fault("log", outage=True)
    entry = fleet.entries[0]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        answers = list(
            pool.map(
                lambda i: send_request(entry, tokens=TOKENS, stream=i % 2 == 0),
                range(REQUESTS),
            )
        )
    fleet.kill("entry-0")
    fleet.set_fault("log", outage=False)
    ids = {headers["X-Request-Id"] for _, headers in answers}
    assert ids == set(get_runs(fleet)) and len(ids) == REQUESTS
    assert answers[0][0].rstrip().endswith("[DONE]")
    expected = (REQUESTS, REQUESTS * TOKENS)
    assert wait_for_usage(fleet, capsys, REQUESTS, 20) == expected


def test_planned_stop_and_lost_log_answers_bill_once(small_fleet, capsys):
    # The log accepts the first batches but its answers are lost, so that the
    # batches are appended twice; usage counts each request once. An entry that
    # stops as planned appends its bills before it exits.
    fleet = small_fleet
    fleet.set_fault("log", lose_answer=2)
    for index in range(6):
        send_request(fleet.entries[index % 2], tokens=TOKENS)
    assert fleet.stop("entry-0") == 0
    assert fleet.stop("entry-1") == 0
    assert wait_for_usage(fleet, capsys, 6, 0) == (6, 6 * TOKENS)
    assert fleet.get_stats("log")["lost"] == 2


def test_full_buffer_refuses_and_loses_nothing(capsys):
    # The log is unavailable and the buffer holds only a few bills. Requests
    # are refused as not run, with a retry time, before a bill could be lost.
    # When the log is available again, the bills are appended and requests are
    # served.
    fleet = Fleet(SHAPES["thin"])
    fleet.entry_options |= {
        "billing_buffer_bytes": 1600,
        "billing_interval_s": 1.0,
    }
    with fleet:
        fleet.set_fault("log", outage=True)
        entry = fleet.entries[0]
        answers = [
            send_request(entry, tokens=TOKENS) for _ in range(REQUESTS_SENT)
        ]
        refused = [
            headers
            for text, headers in answers
            if text == "billing_unavailable"
        ]
        served = REQUESTS_SENT - len(refused)
        assert 0 < served < REQUESTS_SENT
        assert {headers["X-Run-State"] for headers in refused} == {"not_run"}
        assert {headers["Retry-After"] for headers in refused} == {"1"}
        assert len(get_runs(fleet)) == served
        fleet.set_fault("log", outage=False)
        counts = wait_for_usage(fleet, capsys, served, 10)
        assert counts == (served, served * TOKENS)
        assert send_request(entry)[1]["X-Billed-Tokens"]


def test_cancelled_stream_is_billed_for_received_tokens(small_fleet, capsys):
    # The caller disconnects in the middle of a stream. The stream is billed,
    # for fewer tokens than the caller asked for.
    fleet = small_fleet
    body = {"model": "large", "stream": True, "max_tokens": 400}
    body["messages"] = [{"role": "user", "content": "Why did it fail"}]
    connection = http.client.HTTPConnection(
        "127.0.0.1", fleet.entries[0].port, timeout=30
    )
    connection.request(
        "POST",
        "/v1/chat/completions",
        json.dumps(body),
        {"Authorization": "Bearer key-audit"},
    )
    response = connection.getresponse()
    response.read(2000)
    response.close()
    connection.close()
    count, tokens = wait_for_usage(fleet, capsys, 1, 10)
    assert count == 1
    assert 0 < tokens < 400

"""Deferrable requests through a real entry."""

from __future__ import annotations

import concurrent.futures
import json
import threading
import time
import urllib.error
import urllib.request

import pytest

from lab.fleet import Fleet
from lab.shapes import Shape

SHAPE = Shape("toyshop", ("tas-a",), 1, 1, 0)
JOBS = 4
STOP_JOBS = 10
TOKENS = 60
TOKEN_S = 0.01


@pytest.fixture
def fleet():
    options = {"deferred_slots": 1, "deferred_tokens_per_s": 50.0}
    with Fleet(SHAPE, entry_options=options) as fleet:
        yield fleet


def send_request(fleet, deadline_s, request_class="reconcile"):
    body = {"model": "large@1", "max_tokens": TOKENS}
    body["messages"] = [{"role": "user", "content": "Reconcile the order"}]
    headers = {
        "Authorization": "Bearer key-reconciliation",
        "X-Request-Class": request_class,
        "X-Deadline-S": str(deadline_s),
    }
    request = urllib.request.Request(
        f"{fleet.entries[0].url}/v1/chat/completions",
        json.dumps(body).encode(),
        headers,
    )
    try:
        with urllib.request.urlopen(request, timeout=30) as response:
            response.read()
            return "whole"
    except urllib.error.HTTPError as http_error:
        error = json.loads(http_error.read())["error"]
        return f"{error['code']} {error['run']}"


def start_jobs(fleet, pool, count):
    jobs = [pool.submit(send_request, fleet, 60) for _ in range(count)]
    time.sleep(0.3)
    return jobs


def test_jobs_wait_for_their_slot_and_infeasible_ones_are_refused(fleet):
    # Four jobs arrive together and share one slot, so that they run one after
    # another. A job that could not be finished in time is refused immediately
    # and never run, and an ordinary request is answered in between.
    with concurrent.futures.ThreadPoolExecutor() as pool:
        start_s = time.monotonic()
        jobs = start_jobs(fleet, pool, JOBS)
        sent_s = time.monotonic()
        assert send_request(fleet, 3) == "deadline_infeasible not_run"
        assert time.monotonic() - sent_s < 0.5
        assert send_request(fleet, 30, "default") == "whole"
        ordinary_s = time.monotonic() - start_s
        assert [job.result() for job in jobs] == ["whole"] * JOBS
    elapsed_s = time.monotonic() - start_s
    assert elapsed_s >= JOBS * TOKENS * TOKEN_S > ordinary_s
    assert len(fleet.get_stats("engine-0")["runs"]) == JOBS + 1


def test_planned_stop_runs_queued_requests(fleet):
    # The entry stops as planned while jobs wait for their slot. One after
    # another, the jobs would delay the stop for hours and be cut off in the
    # end. They are started in parallel, and all get complete answers.
    with concurrent.futures.ThreadPoolExecutor(STOP_JOBS) as pool:
        jobs = start_jobs(fleet, pool, STOP_JOBS)
        stop = threading.Thread(target=fleet.stop, args=("entry-0",))
        start_s = time.monotonic()
        stop.start()
        assert [job.result() for job in jobs] == ["whole"] * STOP_JOBS
        elapsed_s = time.monotonic() - start_s
        stop.join()
    assert elapsed_s < STOP_JOBS * TOKENS * TOKEN_S / 2

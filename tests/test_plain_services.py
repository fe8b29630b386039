"""Plain services in real processes: routed, run once, refused, drained."""

from __future__ import annotations

import http.client
import json
import threading
import time

import msgspec
import pytest

from lab.fleet import Fleet
from lab.shapes import EXAMPLES, Shape
from lovagestage.decisions.plain_calls import find_route
from lovagestage.settings import parse_json_file
from lovagestage.state.document import (
    RouteSpec,
    ServiceDocument,
    get_key_digest,
)

SHAPE = Shape("vault", ("lhe-a", "lhe-b"), 2, 1, 2, "small@1", "portal")
KEY = {"Authorization": "Bearer key-audit"}
MAX_BODY_BYTES = 100_000
DEADLINE_S = 3.0
HEARTBEATS_S = 1.0
OPTIONS = {"max_body_bytes": MAX_BODY_BYTES, "default_deadline_s": DEADLINE_S}
NEAREST = "plain-1"
"""The plain service in the availability zone of the first entry, which prefers
it."""


@pytest.fixture(scope="module")
def running_fleet():
    with Fleet(SHAPE, entry_options=OPTIONS) as new_fleet:
        wait_until_keys_in_sync(new_fleet)
        yield new_fleet


@pytest.fixture
def fleet(running_fleet):
    yield running_fleet
    for plain in running_fleet.plains:
        running_fleet.set_fault(
            plain.name, drop_after_run=0, slow_ms=0, stall=False
        )


def wait_until_keys_in_sync(fleet):
    end_s = time.monotonic() + 15
    while time.monotonic() < end_s:
        keys = [fleet.get_dump(e.name)["request_keys"] for e in fleet.entries]
        if all(
            len(k["members"]) == 2 and k["slots_whole"] == k["slots_held"]
            for k in keys
        ):
            return
        time.sleep(0.1)
    raise AssertionError(keys)


def call(fleet, method, path, body=b"", entry=0, **headers):
    header_values = {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    connection = http.client.HTTPConnection(
        "127.0.0.1", fleet.entries[entry].port, timeout=20
    )
    connection.request(method, path, body, KEY | header_values)
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response, json.loads(data) if data else None


def sum_stats(fleet, kind, name):
    return sum(
        fleet.get_stats(plain.name)[kind].get(name, 0) for plain in fleet.plains
    )


def set_fault(fleet, **faults):
    for plain in fleet.plains:
        fleet.set_fault(plain.name, **faults)


def restart_sidecar(fleet, name):
    """Starts a sidecar again and waits until the entries know its service."""
    start_s = time.monotonic()
    fleet.start_sidecar(int(name.rpartition("-")[2]))
    # The entries receive a heartbeat every few seconds only on idle links, but
    # from the restarted sidecar as soon as it is up.
    while not all(
        link["silent_s"] < 1 and not link["gone"]
        for entry in fleet.entries
        for link in fleet.get_dump(entry.name)["upstreams"]
        if link["vm"] == name
    ):
        assert time.monotonic() < start_s + 10
        time.sleep(0.1)
    time.sleep(HEARTBEATS_S)


def test_call_reaches_the_service_and_its_answer_comes_back(fleet):
    response, answer = call(fleet, "POST", "/portal/charge?till=4", b"5 AUD")
    assert response.status == 200
    assert answer["path"] == "/charge"
    assert (answer["query"], answer["body"]) == ("till=4", "5 AUD")
    request_id = response.headers["X-Request-Id"]
    assert sum_stats(fleet, "runs", request_id) == 1


def test_status_and_headers_of_the_answer_are_passed_back(fleet):
    more = {"Status": "418", "Connection": "x-hop", "X_Hop": "1"}
    response, answer = call(fleet, "POST", "/portal/echo", **more)
    assert response.status == 418
    assert response.headers.get_all("Set-Cookie") == [
        "a=1; Path=/",
        "b=2; Path=/",
    ]
    received = {name.lower() for name, _ in answer["headers"]}
    assert "x-workspace" in received
    assert not received & {"authorization", "x-hop"}


def test_cookies_of_one_caller_are_not_sent_with_anothers_call(fleet):
    for _ in range(4):
        _, answer = call(fleet, "POST", "/portal/echo")
    assert "cookie" not in {name.lower() for name, _ in answer["headers"]}


@pytest.mark.parametrize(
    ("path", "body", "key", "status", "code"),
    [
        ("/portal/charge", b"", "wrong", 401, "invalid_api_key"),
        ("/other/charge", b"", "key-audit", 404, "route_not_found"),
        ("/portal/%2E./x", b"", "key-audit", 400, "malformed_request"),
        ("/portal/charge", b" " * (MAX_BODY_BYTES + 1), "key-audit", 413, None),
    ],
)
def test_wrong_call_is_refused_and_not_run(
    fleet, path, body, key, status, code
):
    before = sum_stats(fleet, "runs_by_path", "/charge")
    response, answer = call(
        fleet, "POST", path, body, Authorization=f"Bearer {key}"
    )
    assert response.status == status
    assert answer["error"]["code"] == (code or "body_too_large")
    assert answer["error"]["run"] == "not_run"
    assert sum_stats(fleet, "runs_by_path", "/charge") == before


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
def test_dropped_answer_is_unknown_and_not_run_again(fleet, method):
    # The service executes a call, and its connection breaks before the answer.
    # The call must not be retried, so that no other upstream receives it, and
    # the caller is informed that it may have run. An HTTP client library would
    # retry PUT and DELETE by itself on a kept-alive connection.
    call(fleet, method, "/portal/echo")
    before = sum_stats(fleet, "runs_by_path", "/echo")
    set_fault(fleet, drop_after_run=1)
    response, answer = call(fleet, method, "/portal/echo")
    assert response.status == 502
    assert answer["error"]["run"] == "unknown"
    assert response.headers["X-Run-State"] == "unknown"
    assert sum_stats(fleet, "runs_by_path", "/echo") == before + 1


def test_get_request_is_retried_at_another_upstream(fleet):
    # One plain service drops an answer. A GET has no effect, so that the entry
    # retries it at the other service; the caller only sees a second attempt.
    fleet.set_fault(NEAREST, drop_after_run=1)
    answers = [call(fleet, "GET", "/portal/lookup?x=1") for _ in range(8)]
    assert {response.status for response, _ in answers} == {200}
    attempts = [int(response.headers["X-Attempts"]) for response, _ in answers]
    assert sum(attempts) == len(answers) + 1


def test_charge_repeated_through_another_entry_runs_once(fleet):
    # The caller's connection breaks while the charge runs. The caller sends
    # the charge again with the same key, but through the other entry and with
    # other headers, and gets the answer of the first run.
    set_fault(fleet, slow_ms=800)
    first = http.client.HTTPConnection("127.0.0.1", fleet.entries[0].port)
    first.request(
        "POST", "/portal/charge", b"7", KEY | {"Idempotency-Key": "charge-7"}
    )
    time.sleep(0.4)
    first.close()
    for trace in ("b", "c"):
        response, answer = call(
            fleet,
            "POST",
            "/portal/charge",
            b"7",
            1,
            Idempotency_Key="charge-7",
            Traceparent=trace,
        )
        assert (response.status, answer["body"]) == (200, "7")
    assert sum_stats(fleet, "runs_by_key", "charge-7") == 1


def test_keyed_charge_whose_answer_was_dropped_stays_unknown(fleet):
    # The service executed the charge and dropped the answer. A retry through
    # either entry reports that and causes no second run.
    set_fault(fleet, drop_after_run=1)
    for entry in (0, 1, 0):
        response, answer = call(
            fleet, "POST", "/portal/charge", b"8", entry, Idempotency_Key="c-8"
        )
        assert (response.status, answer["error"]["run"]) == (502, "unknown")
    assert sum_stats(fleet, "runs_by_key", "c-8") == 1


def test_same_key_with_another_body_is_refused(fleet):
    call(fleet, "POST", "/portal/charge", b"1", Idempotency_Key="same")
    response, answer = call(
        fleet, "POST", "/portal/charge", b"2", Idempotency_Key="same"
    )
    assert response.status == 422
    assert answer["error"]["code"] == "idempotency_key_reused"


def test_call_that_is_never_answered_ends_at_its_deadline(fleet):
    # The service accepts the call and never answers. The caller gets a refusal
    # at the deadline, and it does not say that nothing was run.
    set_fault(fleet, stall=True)
    start_s = time.monotonic()
    response, answer = call(fleet, "POST", "/portal/charge")
    assert response.status == 504
    assert answer["error"]["run"] == "unknown"
    assert DEADLINE_S - 0.5 < time.monotonic() - start_s < DEADLINE_S + 1


def wait_for_run(fleet, before):
    """Waits until a charge has reached the service; returns its sidecar."""
    end_s = time.monotonic() + 5
    while sum_stats(fleet, "runs_by_path", "/charge") == before:
        assert time.monotonic() < end_s, "The charge did not run."
        time.sleep(0.02)
    return next(
        name
        for name in ("sidecar-1", "sidecar-2")
        if fleet.get_dump(name)["runs"]["running"]
    )


def test_charge_whose_sidecar_is_killed_is_not_run_again(fleet):
    # The sidecar is killed while the charge runs. The entry detects that the
    # process has ended, sends the charge to no other sidecar, and reports that
    # the charge may have run.
    set_fault(fleet, slow_ms=1500)
    before = sum_stats(fleet, "runs_by_path", "/charge")
    received = []
    thread = threading.Thread(
        target=lambda: received.append(call(fleet, "POST", "/portal/charge"))
    )
    thread.start()
    name = wait_for_run(fleet, before)
    fleet.kill(name)
    thread.join()
    restart_sidecar(fleet, name)
    ((response, answer),) = received
    assert (response.status, answer["error"]["run"]) == (502, "unknown")
    assert sum_stats(fleet, "runs_by_path", "/charge") == before + 1


def test_planned_stop_of_a_sidecar_completes_open_charges(fleet):
    # A charge is slow, and its sidecar is ordered to stop meanwhile. The charge
    # is answered, later charges go to the other sidecar, and the process exits
    # with status 0.
    set_fault(fleet, slow_ms=1200)
    received = []
    threads = [
        threading.Thread(
            target=lambda entry: received.append(
                call(fleet, "POST", "/portal/charge", entry=entry)
            ),
            args=[number % 2],
        )
        for number in range(6)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    codes = [fleet.stop("sidecar-1")]
    for thread in threads:
        thread.join()
    set_fault(fleet, slow_ms=0)
    received += [call(fleet, "POST", "/portal/charge") for _ in range(6)]
    restart_sidecar(fleet, "sidecar-1")
    assert codes == [0]
    assert [response.status for response, _ in received] == [200] * 12


def test_two_services_may_have_one_prefix(fleet):
    # A second service publishes the same prefix with a pool that no upstream
    # serves. Each caller gets the route of the service that has its key.
    document = parse_json_file(EXAMPLES / "vault.jsonc", ServiceDocument)
    spec = msgspec.structs.replace(
        document.workspaces["audit"], key_digests=[get_key_digest("key-other")]
    )
    fleet.publish_document(
        msgspec.structs.replace(
            document,
            service="other",
            workspaces={"other": spec},
            routes=[RouteSpec("/portal/", "empty")],
        ),
        0,
    )
    other = {"Authorization": "Bearer key-other"}
    end_s = time.monotonic() + 5
    while time.monotonic() < end_s:
        refused, answer = call(fleet, "POST", "/portal/charge", **other)
        if refused.status != 401:
            break
    assert answer["error"]["code"] == "no_capacity"
    assert answer["error"]["run"] == "not_run"
    assert call(fleet, "POST", "/portal/charge")[0].status == 200


def test_longest_prefix_wins():
    document = msgspec.structs.replace(
        parse_json_file(EXAMPLES / "vault.jsonc", ServiceDocument),
        routes=[RouteSpec("/a/", "one"), RouteSpec("/a/b/", "two")],
    )
    pools = [
        route.pool if (route := find_route(document, path)) else None
        for path in ("/a/x", "/a/b/x", "/a/b", "/b/")
    ]
    assert pools == ["one", "two", "one", None]

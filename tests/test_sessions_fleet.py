"""Sessions in real processes while versions are retired and withdrawn."""

from __future__ import annotations

import collections
import json
import pathlib
import threading
import time
import urllib.error
import urllib.request

import msgspec
import pytest

from lab.calls import call
from lab.fleet import Fleet
from lab.shapes import EXAMPLES, SHAPES
from lovagestage.settings import parse_json_file
from lovagestage.state.document import OnWithdraw, ServiceDocument, VersionState

IN_FORCE_S = 2.0
"""Longest time in seconds until an accepted document is in force everywhere."""
LOADED_S = 4.0
"""Longest time in seconds until entries know that an engine has loaded a
version: loading takes 0.5 s, and the entries learn of it a heartbeat later."""


class Publisher:
    """Publishes successive revisions of the vault's document."""

    def __init__(self, fleet: Fleet) -> None:
        path = pathlib.Path(EXAMPLES / "vault.jsonc")
        self.fleet = fleet
        self.document = parse_json_file(path, ServiceDocument)
        self.revision = 1

    def publish(self, states, on_withdraw=OnWithdraw.END) -> None:
        replace = msgspec.structs.replace
        document = replace(
            self.document,
            versions=[
                replace(v, state=states.get(v.name, VersionState.ACTIVE))
                for v in self.document.versions
            ],
            sessions=replace(self.document.sessions, on_withdraw=on_withdraw),
        )
        self.fleet.publish_document(document, self.revision)
        self.revision += 1


@pytest.fixture(scope="module")
def publisher():
    with Fleet(SHAPES["thin"]) as fleet:
        yield Publisher(fleet)


def send_request(
    entry, model="large", session=None, key="key-audit", tokens=8, **body
):
    body |= {"model": model, "max_tokens": tokens}
    body |= {"messages": [{"role": "user", "content": "Why did it fail"}]}
    headers = {"Authorization": f"Bearer {key}"}
    if session is not None:
        headers["X-Session"] = session
    request = urllib.request.Request(
        f"{entry.url}/v1/chat/completions", json.dumps(body).encode(), headers
    )
    try:
        with urllib.request.urlopen(request, timeout=30) as response:
            return response.read().decode(), response.headers
    except urllib.error.HTTPError as http_error:
        error = json.loads(http_error.read())["error"]
        return error["code"], http_error.headers


def wait_for_refusal(entry, model):
    end_s = time.monotonic() + IN_FORCE_S
    while time.monotonic() < end_s:
        if "model_not_allowed" == send_request(entry, model)[0]:
            return
    raise AssertionError("the document is not in force")


def get_tokens(fleet, version):
    return sum(
        fleet.get_stats(engine.name)["tokens_by_model"].get(version, 0)
        for engine in fleet.engines
    )


def test_session_stays_on_a_retired_version_over_entries(publisher):
    # A session starts on large@1. Then large@1 is retired, and the session's
    # entry is killed and replaced by a new process. The session continues on
    # large@1 through either entry, and a new session starts on large@2. Both
    # hold because the session's state is in its token and in no process.
    fleet = publisher.fleet
    _, first = send_request(fleet.entries[0])
    assert first["X-Model-Version"] == "large@1"
    publisher.publish({"large@1": VersionState.RETIRED})
    for entry in fleet.entries:
        wait_for_refusal(entry, "large@1")
    fleet.kill("entry-0")
    fleet.wait_until_ready(fleet.start_entry(0))
    session = first["X-Session"]
    for entry in (*fleet.entries, *fleet.entries):
        _, headers = send_request(entry, "vault", session)
        assert headers["X-Model-Version"] == "large@1"
        session = headers["X-Session"]
        assert send_request(entry)[1]["X-Model-Version"] == "large@2"
    _, headers = send_request(fleet.entries[0], metadata={"session": session})
    assert headers["X-Model-Version"] == "large@1"
    publisher.publish({})


def test_session_of_another_workspace_is_refused(publisher):
    entry = publisher.fleet.entries[0]
    token = send_request(entry, "small")[1]["X-Session"]
    code, headers = send_request(entry, "small", token, key="key-trial")
    assert (code, headers["X-Run-State"]) == ("session_invalid", "not_run")


def send_order(fleet, kind):
    for engine in fleet.engines:
        body = {"kind": kind, "model": "large", "version": "1", "fencing": 1}
        call("POST", f"{engine.url}/orders", json.dumps(body).encode())


def test_session_request_is_refused_while_its_version_has_no_capacity(
    publisher,
):
    # For a while no engine has loaded large@1, and all have capacity for
    # large@2. The session's request is refused as not run, with a retry time,
    # instead of moved; no new session is opened on large@1 either. Once the
    # version is loaded again, the session continues.
    fleet = publisher.fleet
    token = send_request(fleet.entries[0])[1]["X-Session"]
    send_order(fleet, "unload")
    time.sleep(IN_FORCE_S)
    for entry, session in ((fleet.entries[0], token), (fleet.entries[1], None)):
        code, headers = send_request(entry, session=session)
        assert (code, headers["X-Run-State"]) == ("no_capacity", "not_run")
        assert headers["Retry-After"] == "1"
        assert headers["X-Session"] is None
    send_order(fleet, "load")
    end_s = time.monotonic() + LOADED_S
    while (headers := send_request(fleet.entries[1], session=token)[1]).get(
        "Retry-After"
    ):
        assert time.monotonic() < end_s
        time.sleep(0.1)
    assert headers["X-Model-Version"] == "large@1"


def test_withdrawn_version_gets_no_new_work(publisher):
    # Requests run through both entries when a document withdraws large@1. A
    # stream that runs on it is completed, its session ends with a typed error,
    # requests without a session continue with large@2, and a few seconds later
    # the engines no longer generate any token of large@1.
    fleet = publisher.fleet
    token = send_request(fleet.entries[0])[1]["X-Session"]
    streamed: list[str] = []
    codes: collections.Counter[str] = collections.Counter()
    stop = threading.Event()

    def stream() -> None:
        streamed.append(
            send_request(fleet.entries[0], tokens=150, stream=True)[0]
        )

    def send_requests(entry) -> None:
        while not stop.is_set():
            codes[send_request(entry)[1].get("X-Model-Version", "refused")] += 1
            answer, headers = send_request(entry, session=token)
            codes["in " + headers.get("X-Model-Version", answer)] += 1

    threads = [
        threading.Thread(target=send_requests, args=[e]) for e in fleet.entries
    ]
    threads.append(threading.Thread(target=stream))
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    publisher.publish({"large@1": VersionState.WITHDRAWN})
    time.sleep(IN_FORCE_S)
    threads[-1].join(30)
    before = get_tokens(fleet, "large@1")
    time.sleep(1.0)
    after = get_tokens(fleet, "large@1")
    stop.set()
    for thread in threads:
        thread.join(30)
    assert before == after > 0
    assert streamed[0].rstrip().endswith("[DONE]")
    assert codes["large@1"] and codes["in large@1"]
    assert codes["large@2"] and codes["in session_version_withdrawn"]
    assert codes["refused"] <= len(fleet.entries), codes


def test_session_move_is_reported_where_the_document_allows_it(publisher):
    fleet = publisher.fleet
    publisher.publish({})
    for entry in fleet.entries:
        end_s = time.monotonic() + IN_FORCE_S
        while send_request(entry, "large@1")[0] == "model_not_allowed":
            assert time.monotonic() < end_s
    token = send_request(fleet.entries[0])[1]["X-Session"]
    publisher.publish({"large@1": VersionState.WITHDRAWN}, OnWithdraw.MOVE)
    for entry in fleet.entries:
        wait_for_refusal(entry, "large@1")
    _, moved = send_request(fleet.entries[1], session=token)
    assert moved["X-Model-Version"] == "large@2"
    assert moved["X-Session-Moved-From"] == "large@1"
    _, headers = send_request(fleet.entries[0], session=moved["X-Session"])
    assert headers["X-Model-Version"] == "large@2"
    assert headers["X-Session-Moved-From"] is None

"""`lab up` as seen by its users: addresses, example client, balancer."""

from __future__ import annotations

import concurrent.futures
import http.client
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from lab.fleet import Fleet
from lab.shapes import SHAPES

ROOT = pathlib.Path(__file__).parent.parent
RATE_PER_S = 40
LOAD_S = 4.0
BODY = (
    b'{"model": "small@1", "max_tokens": 24,'
    b' "messages": [{"role": "user", "content": "Why"}]}'
)
HEADERS = {"Authorization": "Bearer key-audit"}
ENVIRONMENT = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}


@pytest.fixture(scope="module")
def up_lines():
    command = [sys.executable, "-m", "lab", "up", "--fleet", "thin"]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env=ENVIRONMENT
    ) as process:
        output_lines = []
        while not output_lines or output_lines[-1] not in ("ready", ""):
            output_lines.append(process.stdout.readline().strip())
        yield output_lines
        process.send_signal(signal.SIGINT)
        assert process.wait(20) == 0


def get_values(up_lines, name):
    return [x.partition("=")[2] for x in up_lines if x.startswith(f"{name}=")]


def test_up_prints_what_the_contract_says(up_lines):
    names = [line.partition("=")[0].partition(" ")[0] for line in up_lines]
    assert names[:4] == ["entry", "entry", "balancer", "log"]
    assert names[4:-2] == ["workspace"] * 10
    assert up_lines[-2:] == ["service=vault", "ready"]
    assert "audit key=key-audit" in get_values(up_lines, "workspace")


def test_example_client_gets_its_answers(up_lines):
    done = subprocess.run(
        [
            sys.executable,
            str(ROOT / "examples" / "client.py"),
            *get_values(up_lines, "entry")[:2],
            "key-audit",
            "large@1",
        ],
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    values = dict(line.split(": ", 1) for line in done.stdout.splitlines())
    assert values["stream"].partition("chunks, ")[2] == values["plain"]
    assert values["session"].split() == ["large@1"] * 3
    assert len(set(values["key"].split())) == 1


def post_request(url):
    host = url.removeprefix("http://")
    connection = http.client.HTTPConnection(host, timeout=20)
    try:
        connection.request("POST", "/v1/chat/completions", BODY, HEADERS)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException) as error:
        return repr(error)
    finally:
        connection.close()


def test_stop_of_an_entry_behind_the_balancer_loses_no_request():
    # Callers send requests through the balancer at a fixed rate, whether or not
    # answers arrive. One entry is stopped: its health check fails, the balancer
    # sends it no new requests, it answers its open requests, and it exits.
    with (
        Fleet(SHAPES["thin"]) as fleet,
        concurrent.futures.ThreadPoolExecutor(64) as pool,
    ):
        url = fleet.start_balancer().url
        start_s = time.monotonic()
        requests = []
        stop = None
        for number in range(int(RATE_PER_S * LOAD_S)):
            time.sleep(max(0, start_s + number / RATE_PER_S - time.monotonic()))
            requests.append(pool.submit(post_request, url))
            if stop is None and number > RATE_PER_S:
                stop = pool.submit(fleet.stop, "entry-0")
        statuses = [request.result() for request in requests]
        assert stop.result() == 0
    assert statuses == [200] * int(RATE_PER_S * LOAD_S)

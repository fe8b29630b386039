"""Checks a recorded history of requests against the engines' run counts.

The checks for each idempotency key are: at most one run if the request may not
be retried, equal bytes in all complete answers, and refusals that report the
correct run state.
"""

from __future__ import annotations

import dataclasses
import http.client
import json
import threading
import time
from collections import Counter, defaultdict

from lab.fleet import Child, Fleet

TIMEOUT_S = 30.0
"""Time limit in seconds of each socket operation of a request."""


@dataclasses.dataclass(frozen=True)
class Sent:
    """One HTTP request with the outcome that its caller observed.

    Attributes:
        key: Idempotency key.
        prompt: Text that identifies the request at the engines.
        entry: Name of the entry that the request was sent to.
        sent_s: Monotonic time at which the request was sent.
        ended_s: Monotonic time at which the request ended.
        status: HTTP status; 0 if the connection broke.
        run: Run state of a refusal; empty for an answer.
        code: Error code of a refusal; empty for an answer.
        retry_after: Retry-After header; empty if the response has none.
        request_id: Request id that the answer is billed under.
        body: Response body.
    """

    key: str
    prompt: str
    entry: str
    sent_s: float
    ended_s: float
    status: int
    run: str
    code: str
    retry_after: str
    request_id: str
    body: bytes


class History:
    """Sends requests and records the outcomes that their callers observed.

    Args:
        fleet: Fleet that the requests are sent to.

    Attributes:
        sent: Requests that have ended.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.sent: list[Sent] = []
        self._fleet = fleet
        self._initial_runs = get_runs(fleet)
        self._threads: list[threading.Thread] = []

    def send(
        self,
        entry: Child,
        key: str,
        prompt: str,
        request_class: str = "policy-draft",
        max_tokens: int = 8,
        stream: bool = False,
    ) -> Sent:
        """Sends one request, waits for its end and records the outcome."""
        body = {
            "model": "vault",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        headers = {
            "Authorization": "Bearer key-audit",
            "Idempotency-Key": key,
            "X-Request-Class": request_class,
        }
        sent = _post(entry, key, prompt, json.dumps(body), headers)
        self.sent.append(sent)
        return sent

    def start(
        self, entry: Child, key: str, prompt: str, **options: int
    ) -> None:
        """Sends one request in a thread without waiting for its end."""
        thread = threading.Thread(
            target=self.send, args=(entry, key, prompt), kwargs=options
        )
        thread.start()
        self._threads.append(thread)

    def wait(self) -> None:
        """Waits for the end of all requests sent with `start`."""
        for thread in self._threads:
            thread.join()
        self._threads.clear()

    def get_new_runs(self) -> int:
        """Returns the number of engine runs since this history was created."""
        return sum((get_runs(self._fleet) - self._initial_runs).values())

    def get_running_engine(self) -> str:
        """Returns the name of an engine that ran one of the requests."""
        name = next(iter(get_runs(self._fleet) - self._initial_runs))
        return name.partition("/")[0]

    def find_violations(self) -> list[str]:
        """Returns descriptions of all violations; empty if there are none.

        All requests of one history must be of a class that may not be
        retried: each key accounts for at most one run.
        """
        violations = []
        by_key: dict[str, list[Sent]] = defaultdict(list)
        for sent in self.sent:
            by_key[sent.key].append(sent)
        runs = self.get_new_runs()
        if runs > len(by_key):
            violations.append(f"{len(by_key)} keys ran {runs} times")
        reported_runs = 0
        for key, group in by_key.items():
            violations += _check_key(key, group)
            reported_runs += any(_is_reported_as_run(sent) for sent in group)
        if runs < reported_runs:
            violations.append(
                f"{reported_runs} keys are reported as run, {runs} ran"
            )
        if all(s.run == "not_run" for s in self.sent) and runs:
            violations.append(f"all were refused as not run, {runs} ran")
        return violations


def get_runs(fleet: Fleet) -> Counter[str]:
    """Returns the number of runs by `ENGINE/REQUEST_ID`."""
    runs: Counter[str] = Counter()
    for engine in fleet.engines:
        for name, count in fleet.get_stats(engine.name)["runs"].items():
            runs[f"{engine.name}/{name}"] = count
    return runs


def _is_reported_as_run(sent: Sent) -> bool:
    return sent.status == 200 or sent.run == "ran"


def _check_key(key: str, group: list[Sent]) -> list[str]:
    violations = []
    answers = {sent.body for sent in group if sent.status == 200}
    if len(answers) > 1:
        violations.append(f"{key}: {len(answers)} different answers")
    billed = {sent.request_id for sent in group if sent.status == 200}
    if len(billed) > 1:
        violations.append(f"{key}: billed under {len(billed)} request ids")
    for refused in group:
        earlier = [
            sent
            for sent in group
            if _is_reported_as_run(sent) and sent.ended_s < refused.sent_s
        ]
        if refused.run == "not_run" and earlier:
            violations.append(f"{key}: refused as 'not run' after it has run")
    return violations


def _post(
    entry: Child, key: str, prompt: str, body: str, headers: dict[str, str]
) -> Sent:
    connection = http.client.HTTPConnection(
        "127.0.0.1", entry.port, timeout=TIMEOUT_S
    )
    started_s = time.monotonic()
    status, run, code, retry_after, data = 0, "", "", "", b""
    request_id = ""
    try:
        connection.request("POST", "/v1/chat/completions", body, headers)
        response = connection.getresponse()
        data = response.read()
        status = response.status
        request_id = response.headers.get("X-Request-Id", "")
        retry_after = response.headers.get("Retry-After", "")
    except (OSError, http.client.HTTPException):
        status = 0
    finally:
        connection.close()
    if status not in (0, 200):
        error = json.loads(data)["error"]
        run, code = error["run"], error["code"]
    return Sent(
        key,
        prompt,
        entry.name,
        started_s,
        time.monotonic(),
        status,
        run,
        code,
        retry_after,
        request_id,
        data,
    )

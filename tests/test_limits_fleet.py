"""Token limits in a fleet of real entries, one of which is killed."""

from __future__ import annotations

import concurrent.futures
import time

from lab.fleet import Fleet
from lab.shapes import EXAMPLES, Shape
from lovagestage.settings import parse_json_file
from lovagestage.state.document import ServiceDocument
from lovagestage.types import WorkspaceId
from tests.test_sessions_fleet import send_request

SHAPE = Shape("vault", ("lhe-a", "lhe-b"), 3, 2, 0)
LIMITED_WORKSPACE = WorkspaceId("trial")
CALLERS = 6
TOKENS = 16
LOAD_S = 9.0
KILL_AT_S = 4.0
TOLERANCE = 0.2
"""Allowed deviation as a share of the granted tokens. In so short a time, an
entry that dies, the estimates of open requests and one reporting interval each
weigh more than in a minute."""


class LoadGenerator:
    """Callers that go to the next entry when an entry is lost."""

    def __init__(self, fleet: Fleet) -> None:
        self.entries = fleet.entries
        self.end_s = time.monotonic() + LOAD_S

    def run(self, index: int, key: str, pause_s: float) -> list[str]:
        answers = []
        while time.monotonic() < self.end_s:
            entry = self.entries[index % len(self.entries)]
            try:
                text, _ = send_request(entry, "small", key=key, tokens=TOKENS)
            except OSError:
                index += 1
                continue
            answers.append(text)
            time.sleep(pause_s)
        return answers


def test_limit_holds_through_three_entries_and_a_kill():
    # The callers of one workspace ask for several times its limit through
    # three entries, and one entry is killed meanwhile. The workspace gets what
    # its limit and burst grant, neither three times as much nor a third; the
    # other workspace is refused nothing.
    document = parse_json_file(EXAMPLES / "vault.jsonc", ServiceDocument)
    limit = document.workspaces[LIMITED_WORKSPACE]
    with Fleet(SHAPE) as fleet, concurrent.futures.ThreadPoolExecutor() as pool:
        time.sleep(1.0)
        generator = LoadGenerator(fleet)
        limited_callers = [
            pool.submit(generator.run, index, f"key-{LIMITED_WORKSPACE}", 0.02)
            for index in range(CALLERS)
        ]
        other_caller = pool.submit(generator.run, 1, "key-sukkur-board", 0.3)
        time.sleep(KILL_AT_S)
        fleet.kill("entry-0")
        texts = [text for caller in limited_callers for text in caller.result()]
        other_answers = other_caller.result()
    refused = texts.count("workspace_limit_exceeded")
    received_tokens = (len(texts) - refused) * TOKENS
    granted_tokens = limit.burst_tokens + limit.limit_tokens_per_s * LOAD_S
    assert abs(received_tokens - granted_tokens) <= TOLERANCE * granted_tokens
    assert refused > len(texts) / 3
    assert (
        len(other_answers) > LOAD_S
        and "workspace_limit_exceeded" not in other_answers
    )

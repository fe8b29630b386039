"""Token limits through real entries, one of them killed."""

from __future__ import annotations

import concurrent.futures
import time

from lab.fleet import Fleet
from lab.shapes import EXAMPLES, Shape
from lovagestage.settings import parse_file
from lovagestage.state.document import ServiceDocument
from lovagestage.types import WorkspaceId
from tests.test_sessions_fleet import ask

SHAPE = Shape("vault", ("lhe-a", "lhe-b"), 3, 2, 0)
BIG = WorkspaceId("trial")
CALLERS = 6
TOKENS = 16
LOAD_S = 9.0
KILL_AT_S = 4.0
TOLERANCE = 0.2
"""Of what is granted in so short a time: an entry that dies, estimates of
open requests and one reporting interval each count more than in a minute."""


class Load:
    """Callers that go on to the next entry when one is lost."""

    def __init__(self, fleet: Fleet) -> None:
        self.entries = fleet.entries
        self.end_s = time.monotonic() + LOAD_S

    def run(self, index: int, key: str, pause_s: float) -> list[str]:
        answers = []
        while time.monotonic() < self.end_s:
            entry = self.entries[index % len(self.entries)]
            try:
                text, _ = ask(entry, "small", key=key, tokens=TOKENS)
            except OSError:
                index += 1
                continue
            answers.append(text)
            time.sleep(pause_s)
        return answers


def test_limit_holds_through_three_entries_and_a_kill():
    # Callers of one workspace ask for several times its limit through three
    # entries, and one entry is killed in between. The workspace gets what its
    # limit and burst grant, neither three times that nor a third; the others
    # are refused nothing.
    document = parse_file(EXAMPLES / "vault.jsonc", ServiceDocument)
    limit = document.workspaces[BIG]
    with Fleet(SHAPE) as fleet, concurrent.futures.ThreadPoolExecutor() as pool:
        time.sleep(1.0)
        load = Load(fleet)
        big = [
            pool.submit(load.run, index, f"key-{BIG}", 0.02)
            for index in range(CALLERS)
        ]
        small = pool.submit(load.run, 1, "key-sukkur-board", 0.3)
        time.sleep(KILL_AT_S)
        fleet.kill("entry-0")
        texts = [text for each in big for text in each.result()]
        others = small.result()
    refused = texts.count("workspace_limit_exceeded")
    got = (len(texts) - refused) * TOKENS
    granted = limit.burst_tokens + limit.limit_tokens_per_s * LOAD_S
    assert abs(got - granted) <= TOLERANCE * granted
    assert refused > len(texts) / 3
    assert len(others) > LOAD_S and "workspace_limit_exceeded" not in others

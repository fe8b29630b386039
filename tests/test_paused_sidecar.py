"""A sidecar that was paused while requests waited in its sockets."""

from __future__ import annotations

import threading
import time

import openai
import pytest

from lab.demo import make_client
from lab.fleet import Fleet
from lab.shapes import EXAMPLES, SHAPES
from lovagestage.operations.edits import make_withdrawal_edit
from lovagestage.settings import parse_json_file
from lovagestage.state.document import ServiceDocument
from tests.test_thin_path import MESSAGES

DOCUMENT = parse_json_file(EXAMPLES / "vault.jsonc", ServiceDocument)


def test_resumed_sidecar_runs_nothing_on_a_withdrawn_version():
    # The sidecars are paused with requests in their sockets, and the version
    # is withdrawn during the pause. When they resume, they handle the requests
    # before they have read of the withdrawal. The engines must receive none
    # of them, however long the pause was.
    withdrawn = make_withdrawal_edit("large@2")(DOCUMENT)
    with Fleet(SHAPES["thin"]) as fleet:
        for index in (0, 1):
            fleet.suspend(f"sidecar-{index}")
        callers = [
            threading.Thread(target=expect_refusal, args=(fleet, entry))
            for entry in range(2)
        ]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        fleet.publish_document(withdrawn, 1)
        time.sleep(5.0)
        for index in (0, 1):
            fleet.resume(f"sidecar-{index}")
        for caller in callers:
            caller.join()
        time.sleep(1.0)
        runs = [
            fleet.get_stats(engine.name)["runs"] for engine in fleet.engines
        ]
    assert runs == [{}, {}]


def expect_refusal(fleet, entry):
    with pytest.raises(openai.APIStatusError):
        make_client(fleet, entry=entry).chat.completions.create(
            model="large@2", messages=MESSAGES
        )

"""Planned stops of a process interrupt no request."""

from __future__ import annotations

import threading
import time

import pytest

from lab.demo import make_client
from lab.fleet import Fleet
from lab.shapes import SHAPES
from tests.test_thin_path import MESSAGES, get_expected_text

TOKENS = 120


def read_stream(fleet, entry: int, texts: list[str]) -> None:
    stream = make_client(fleet, entry=entry).chat.completions.create(
        model="large@1", messages=MESSAGES, max_tokens=TOKENS, stream=True
    )
    texts.append("".join(c.choices[0].delta.content or "" for c in stream))


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_stop_completes_open_streams(role):
    # A process receives SIGTERM while streams run through it. It must accept
    # no new requests, let the open streams run to their end and only then exit
    # with 0, so that each caller receives its complete stream.
    with Fleet(SHAPES["thin"]) as fleet:
        texts: list[str] = []
        threads = [
            threading.Thread(target=read_stream, args=(fleet, 0, texts))
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        assert fleet.stop(f"{role}-0") == 0
        for thread in threads:
            thread.join(30)
        assert texts == [get_expected_text("large@1", TOKENS)] * 8

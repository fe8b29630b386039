"""Runs that engines have counted in a file, so that a kill loses none."""

from __future__ import annotations

import os
import pathlib

import msgspec


class RecordedRun(msgspec.Struct, array_like=True):
    """One run at an engine.

    Attributes:
        at_s: Unix time of its start.
        request_id: Request id that the engine was given.
        model: `NAME@VERSION`.
        prompt: The prompt, which names the request.
    """

    at_s: float
    request_id: str
    model: str
    prompt: str


def append_run(path: pathlib.Path, run: RecordedRun) -> None:
    """Appends a run in one write, which other processes can't interleave."""
    line = msgspec.json.encode(run) + b"\n"
    file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    try:
        os.write(file, line)
    finally:
        os.close(file)


def read_runs(path: pathlib.Path) -> list[RecordedRun]:
    """All runs so far, in order."""
    if not path.exists():
        return []
    decoder = msgspec.json.Decoder(RecordedRun)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]

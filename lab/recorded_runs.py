"""Runs that engines record in a file, so that a killed engine loses none."""

from __future__ import annotations

import os
import pathlib

import msgspec


class RecordedRun(msgspec.Struct, array_like=True):
    """One run of a request at an engine.

    Attributes:
        at_s: Unix time at which the run started.
        request_id: Request id that the engine received.
        model: Model version as `NAME@VERSION`.
        prompt: Prompt text, which contains the tag of the request.
    """

    at_s: float
    request_id: str
    model: str
    prompt: str


def append_run(path: pathlib.Path, run: RecordedRun) -> None:
    """Appends a run in one write, so that processes do not mix their lines."""
    line = msgspec.json.encode(run) + b"\n"
    file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    try:
        os.write(file, line)
    finally:
        os.close(file)


def read_runs(path: pathlib.Path) -> list[RecordedRun]:
    """Reads all runs recorded so far, in order; empty without a file."""
    if not path.exists():
        return []
    decoder = msgspec.json.Decoder(RecordedRun)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]

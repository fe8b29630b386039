"""HTTP clients of a fleet: the OpenAI library, plain calls, the commands."""

from __future__ import annotations

import functools
import json
import os
import pathlib
import subprocess
import sys
import urllib.error
import urllib.request
from collections.abc import Callable
from typing import Any

import msgspec
import openai

from lab.fleet import Fleet
from lovagestage.state.document import ServiceDocument

TIMEOUT_S = 30.0
_ROOT = pathlib.Path(__file__).parent.parent


class CommandError(Exception):
    """A command of the operator ended with an error."""


class Answer(msgspec.Struct, frozen=True):
    """The answer to a plain call.

    Attributes:
        status: HTTP status.
        run: What a refusal says of the run; empty for an answer.
        body: The body.
    """

    status: int
    run: str
    body: bytes


def make_client(
    fleet: Fleet, workspace: str = "audit", entry: int = 0
) -> openai.OpenAI:
    """An unmodified OpenAI client for one workspace."""
    return _open_client(f"{fleet.entries[entry].url}/v1", f"key-{workspace}")


@functools.lru_cache(maxsize=64)
def _open_client(url: str, key: str) -> openai.OpenAI:
    # A client costs some 40 ms of processor time to make.
    return openai.OpenAI(base_url=url, api_key=key)


def call_plain(
    url: str, workspace: str, key: str = "", body: bytes = b""
) -> Answer:
    """Posts to a plain service through an entry."""
    headers = {"Authorization": f"Bearer key-{workspace}"}
    if key:
        headers["Idempotency-Key"] = key
    request = urllib.request.Request(url, body, headers, method="POST")
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return Answer(response.status, "", response.read())
    except urllib.error.HTTPError as refused:
        run = refused.headers.get("X-Run-State", "")
        return Answer(refused.code, run, refused.read())


def run_command(fleet: Fleet, *words: str) -> Any:
    """Runs one of the operator's commands as a process; returns its JSON.

    Raises:
        CommandError: Its exit code is not 0.
    """
    settings = fleet.make_operator_settings()
    if words[0] == "usage":
        where = ("--log", fleet.children["log"].url)
    else:
        where = ("--settings", str(settings))
    done = subprocess.run(
        [sys.executable, "-m", "lovagestage", *words, "--json", *where],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
        env={**os.environ, "PYTHONPATH": f"{_ROOT / 'src'}"},
    )
    if done.returncode != 0:
        raise CommandError(f"{' '.join(words)}: {done.stderr or done.stdout}")
    return json.loads(done.stdout)


Edit = Callable[[ServiceDocument], ServiceDocument]


def edit_document(fleet: Fleet, edit: Edit) -> None:
    """Edits the fleet's document through the commands."""
    service = fleet.shape.service
    shown = run_command(fleet, "service", "get", service)
    document = msgspec.convert(shown["document"], ServiceDocument)
    path = fleet.folder / "edited.json"
    path.write_bytes(msgspec.json.encode(edit(document)))
    base = str(shown["revision"])
    run_command(fleet, "service", "put", str(path), "--base", base)
